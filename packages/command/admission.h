// Admission control: which waiting jobs are refused or given up, and which backend servers are too slow for a job.
//
// Handles overload by a burst or by the loss of many backend servers: scarce capacity goes to jobs that can still be on
// time, and the callers of refused jobs are told at once that nothing of their job has run.
#pragma once

#include "command/job.h"
#include "command/placement.h"

#include <span>

namespace clementinelift::command {

// From when on a job of which nothing has started is refused instead of kept waiting.
TimeUs refusedFrom(const Job &job);
// Whether a job of which nothing has started is refused now instead of kept waiting.
bool shouldRefuse(const Job &job, TimeUs now);

// Whether a job that has begun is given up because one of its tasks still waits for capacity.
bool shouldGiveUp(const Job &job, TimeUs now);

// Whether a job of which nothing has started may begin although there is no room yet for taskCount of its tasks: places
// for these are expected before its latest start. endsPerS: ends of tasks per second that free places here.
bool mayBeginInPart(const Job &job, TimeUs now, std::size_t taskCount, double endsPerS);

// Share of the work of all tasks that is left, 0 .. 1; runs in progress count with what is left of their expected time.
double remainingShare(const Job &job, TimeUs now);

// Whether a late answer to the job is worth at least what the capacity that it still needs earns elsewhere.
bool isWorthFinishingLate(const Job &job, TimeUs now);

// Longest time from now that a task of the job may take on its backend server; shorter when other jobs wait for the
// same capacity and the job has no late answer worth finishing.
TimeUs runTimeLimit(const Job &job, TimeUs now, bool othersWait);

// Whether so many backend servers have room for a further task that jobs may run late although others wait.
// serverCount: all usable backend servers, also those that are no candidates.
bool hasAmpleCapacity(std::span<const Candidate> candidates, std::size_t serverCount, const Resources &taskResources);

} // namespace clementinelift::command
