// When the caller of a job that was refused for lack of capacity is asked to submit it again.
//
// Meant for bursts, and for the loss of many backend servers: callers that all return after the same short time meet a
// queue that is still full and are refused again. Each refusal books the time in which the freed capacity will have
// served the waiting tasks and the callers that were refused before, so callers return in the order of their refusals
// at the rate at which capacity becomes free.
#pragma once

#include "command/types.h"

#include <cstddef>

namespace clementinelift::command {

class RetryPlanner
{
public:
    // Time from now, in whole seconds as in Retry-After, for a refused job of taskCount tasks, while waitingTaskCount
    // tasks wait here and endsPerS tasks are expected to end here a second.
    TimeUs book(TimeUs now, std::size_t taskCount, std::size_t waitingTaskCount, double endsPerS);

private:
    TimeUs m_bookedUntil = 0;
};

} // namespace clementinelift::command
