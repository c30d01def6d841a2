#include "command/admission.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

// Share of the time to a job's objective that is reserved for errors of its estimate. At 1.5 times the capacity, a
// fifth more of the value of the jobs is served than when jobs wait until a quarter of that time after their latest
// start.
constexpr double refusalReserveShare = 0.1;
// Multiple of the time to a job's objective. Jobs that have waited longer for scarce capacity are hardly ever
// completed, and their callers would be told only at the end of their timeout.
constexpr std::int64_t giveUpFactor = 3;
// Value of a late answer, as a share of that of one on time. A late answer has none after giveUpFactor times the time
// to the objective.
constexpr double lateValueShare = 0.2;
// Capacity is ample when at least one in this many backend servers has room for a further task. Late jobs that took the
// last free capacity would make the next jobs late as well; with a smaller share of free backend servers, 2 to 4% of
// the value of the jobs is lost at twice the capacity.
constexpr std::size_t ampleCapacityDivisor = 4;

// A later answer has no value.
TimeUs lateEnd(const Job &job)
{
    return job.arrivedAt + giveUpFactor * (job.dueAt - job.arrivedAt);
}

} // namespace

TimeUs refusedFrom(const Job &job)
{
    const auto reserveUs = static_cast<TimeUs>(refusalReserveShare * static_cast<double>(job.dueAt - job.arrivedAt));
    return job.latestStart() - reserveUs;
}

bool shouldRefuse(const Job &job, TimeUs now)
{
    return now > refusedFrom(job);
}

// A job that is late because its last tasks found no place has used the others for nothing, and its caller submits all
// of it again.
bool mayBeginInPart(const Job &job, TimeUs now, std::size_t taskCount, double endsPerS)
{
    const double endsInTime = endsPerS * static_cast<double>(job.latestStart() - now) / usPerS;
    return static_cast<double>(taskCount) <= endsInTime;
}

bool shouldGiveUp(const Job &job, TimeUs now)
{
    return now > lateEnd(job);
}

double remainingShare(const Job &job, TimeUs now)
{
    double remaining = 0;
    for (const Task &task : job.tasks) {
        if (task.state == TaskState::Done)
            continue;
        const TimeUs ranUs = task.state == TaskState::Placed ? now - task.placedAt - task.startUs : 0;
        const double doneShare =
                static_cast<double>(ranUs) * task.speed / static_cast<double>(std::max<TimeUs>(job.workUs, 1));
        remaining += 1 - std::clamp(doneShare, 0.0, 1.0);
    }
    return remaining / static_cast<double>(std::max<std::size_t>(job.tasks.size(), 1));
}

bool isWorthFinishingLate(const Job &job, TimeUs now)
{
    return now + job.workUs <= lateEnd(job) && remainingShare(job, now) <= lateValueShare;
}

bool hasAmpleCapacity(std::span<const Candidate> candidates, std::size_t serverCount, const Resources &taskResources)
{
    const auto freeCount =
            static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](const Candidate &place) {
                return taskResources.fitsInto(place.free);
            }));
    return freeCount * ampleCapacityDivisor >= serverCount && freeCount > 0;
}

// A late answer has little value, so while other jobs wait, no job is placed on a backend server where it would be
// late, unless little of its work is left. Jobs that are late with more to do wait for ample capacity: given up at
// once, their callers submit all of it again, and up to two hundredths less of the value is served at 1.5 times the
// capacity.
TimeUs runTimeLimit(const Job &job, TimeUs now, bool othersWait)
{
    if (!othersWait)
        return job.lastUsefulAt - now;
    const bool isLate = now > job.latestStart() && (job.mayHaveRun || job.placed > 0);
    const TimeUs endsBy = isLate && isWorthFinishingLate(job, now) ? lateEnd(job) : job.dueAt;
    return std::min(endsBy, job.lastUsefulAt) - now;
}

} // namespace clementinelift::command
