#include "command/placement.h"

namespace clementinelift::command {

namespace {

// A peer's backend server is chosen only if it saves this share of the task's work. Each task at a peer costs two
// messages and wakes five threads of two processes, and learned speeds differ by more than this from sample to sample.
constexpr double minPeerGain = 0.15;

} // namespace

TimeUs expectFinish(const Candidate &candidate, TimeUs workUs)
{
    return candidate.roundTripUs + static_cast<TimeUs>(static_cast<double>(workUs) / candidate.speed);
}

std::optional<std::size_t> choosePlace(std::span<const Candidate> candidates, std::string_view service,
                                       const Resources &taskResources, TimeUs workUs, TimeUs latestUs)
{
    const auto peerCostUs = static_cast<TimeUs>(minPeerGain * static_cast<double>(workUs));
    std::optional<std::size_t> best;
    TimeUs bestCostUs = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (!taskResources.fitsInto(candidate.free) || candidate.service != service)
            continue;
        const TimeUs finish = expectFinish(candidate, workUs);
        const TimeUs costUs = finish + (candidate.node.empty() ? 0 : peerCostUs);
        if (finish > latestUs || (best && costUs > bestCostUs))
            continue;
        best = i;
        bestCostUs = costUs;
    }
    return best;
}

} // namespace clementinelift::command
