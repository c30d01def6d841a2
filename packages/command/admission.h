// Which waiting jobs are given up, and which places are too slow for a job.
//
// Answers the overload of a burst or of many lost backend servers: when room is scarce it goes to jobs that can still
// be on time, and the callers of all others learn at once that theirs has not run.
#pragma once

#include "command/job.h"
#include "command/placement.h"

#include <span>

namespace clementinelift::command {

// Whether a job of which nothing has started is refused now instead of waiting on.
bool isHopeless(const Job &job, TimeUs now);

// Whether a job that has begun is given up because a task of it still waits for room.
bool isTooLate(const Job &job, TimeUs now);

// Longest time from now that a task of the job may take on its backend server. othersWait: for room that is
// scarce.
TimeUs longestRun(const Job &job, TimeUs now, bool othersWait);

// Whether jobs may take places on which they are late although others wait.
bool isRoomPlentiful(std::span<const Candidate> candidates, const Resources &taskResources);

} // namespace clementinelift::command
