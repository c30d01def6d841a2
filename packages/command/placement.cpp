#include "command/placement.h"

#include "command/start_delay.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

// A peer's backend server is chosen only if it saves this share of the task's work. Each task at a peer costs two
// messages and wakes five threads of two processes, and learned speeds differ by more than this from sample to sample.
constexpr double minPeerGain = 0.15;
constexpr Resources noRoom{-1, -1, -1}; // for no task, also if it needs no resources

} // namespace

TimeUs expectStart(const Candidate &candidate, const LinkLoad &link)
{
    const TimeUs ownLinkUs = link.queuedUs + (candidate.hasOrder ? 0 : link.perOrderUs);
    return candidate.node.empty() ? ownLinkUs
                                  : ownLinkUs + candidate.roundTripUs + candidate.startQueueUs + candidate.perStartUs;
}

TimeUs expectFinish(const Candidate &candidate, const LinkLoad &link, TimeUs workUs)
{
    return expectStart(candidate, link) + static_cast<TimeUs>(static_cast<double>(workUs) / candidate.speed);
}

std::optional<std::size_t> choosePlace(std::span<const Candidate> candidates, const LinkLoad &link,
                                       const PlacingTask &task)
{
    if (link.queuedUs > maxStartDelayUs)
        return std::nullopt;
    const auto peerCostUs = static_cast<TimeUs>(minPeerGain * static_cast<double>(task.workUs));
    std::optional<std::size_t> best;
    TimeUs bestCostUs = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (!task.resources.fitsInto(candidate.free) || candidate.service != task.service
            || (task.needsWholeServer && candidate.free != candidate.total) || candidate.startQueueUs > maxStartDelayUs)
            continue;
        const TimeUs finish = expectFinish(candidate, link, task.workOn(candidate));
        const TimeUs costUs = finish + (candidate.node.empty() ? 0 : peerCostUs);
        if (finish > std::min(task.latestUs, candidate.endsByUs) || (best && costUs > bestCostUs))
            continue;
        best = i;
        bestCostUs = costUs;
    }
    return best;
}

void addTask(std::span<Candidate> candidates, std::size_t chosen, const Resources &taskResources, LinkLoad &link)
{
    candidates[chosen].free -= taskResources;
    if (candidates[chosen].startsLeft != unlimitedStarts && --candidates[chosen].startsLeft == 0)
        candidates[chosen].free = noRoom;
    const std::string_view node = candidates[chosen].node;
    if (!candidates[chosen].hasOrder)
        link.queuedUs += link.perOrderUs;
    if (node.empty())
        return;
    for (Candidate &candidate : candidates) {
        if (candidate.node != node)
            continue;
        candidate.hasOrder = true;
        candidate.startQueueUs += candidate.perStartUs;
    }
}

std::size_t countRoom(std::span<const Candidate> candidates, std::string_view service, const Resources &taskResources,
                      std::size_t limit)
{
    std::size_t count = 0;
    for (const Candidate &candidate : candidates) {
        if (candidate.service != service)
            continue;
        for (Resources free = candidate.free; count < limit && taskResources.fitsInto(free); ++count)
            free -= taskResources;
    }
    return count;
}

void removeTask(std::span<Candidate> candidates, std::size_t chosen, const CandidateRoom &before)
{
    candidates[chosen].free = before.free;
    candidates[chosen].startsLeft = before.startsLeft;
    const std::string_view node = candidates[chosen].node;
    if (node.empty())
        return;
    for (Candidate &candidate : candidates)
        candidate.startQueueUs -= candidate.node == node ? candidate.perStartUs : 0;
}

} // namespace clementinelift::command
