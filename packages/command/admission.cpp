#include "command/admission.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

// Share of a job's objective that is kept back for errors of its estimate. At 1.5 times the capacity a fifth more of
// the worth is served than when jobs wait until a quarter of the objective after their latest start.
constexpr double refusalReserve = 0.1;
// Of the objective. Jobs that have waited longer for scarce room are hardly ever served, and their callers would hear
// of it only at the end of their wait.
constexpr std::int64_t lateFactor = 3;
// Of the backend servers, with room for a further task. Late jobs that took the last free places would make the next
// ones late as well; with less, 2 to 4% of the worth is lost at twice the capacity.
constexpr std::size_t plentifulShare = 4;

} // namespace

bool isHopeless(const Job &job, TimeUs now)
{
    const auto reserveUs = static_cast<TimeUs>(refusalReserve * static_cast<double>(job.dueAt - job.arrivedAt));
    return now > job.latestStart() - reserveUs;
}

bool isTooLate(const Job &job, TimeUs now)
{
    return now > job.arrivedAt + lateFactor * (job.dueAt - job.arrivedAt);
}

bool isRoomPlentiful(std::span<const Candidate> candidates, const Resources &taskResources)
{
    const auto free =
            static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](const Candidate &place) {
                return taskResources.fitsInto(place.free);
            }));
    return free * plentifulShare >= candidates.size() && free > 0;
}

// A late answer is worth little, so while others wait no job takes a place on which it would be late.
TimeUs longestRun(const Job &job, TimeUs now, bool othersWait)
{
    return (othersWait ? std::min(job.dueAt, job.lastUsefulAt) : job.lastUsefulAt) - now;
}

} // namespace clementinelift::command
