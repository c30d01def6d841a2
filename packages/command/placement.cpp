#include "command/placement.h"

namespace clementinelift::command {

TimeUs expectFinish(const Candidate &candidate, TimeUs workUs)
{
    return candidate.extraUs + static_cast<TimeUs>(static_cast<double>(workUs) / candidate.speed);
}

std::optional<std::size_t> choosePlace(std::span<const Candidate> candidates, std::string_view service,
                                       const Resources &taskResources, TimeUs workUs, TimeUs latestUs)
{
    std::optional<std::size_t> best;
    TimeUs bestFinish = latestUs;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (!taskResources.fitsInto(candidate.free) || candidate.service != service)
            continue;
        const TimeUs finish = expectFinish(candidate, workUs);
        if (finish > bestFinish)
            continue;
        best = i;
        bestFinish = finish;
    }
    return best;
}

} // namespace clementinelift::command
