// Memory that the jobs and waiting requests of one entry VM take from its JobMemory.
#pragma once

#include "command/events.h"
#include "core/job_memory.h"

#include <cstddef>

namespace clementinelift::command {

using core::JobMemory;

// Bytes of a request, and of the job that it becomes.
std::size_t memoryOf(const CallerRequest &request);
std::size_t memoryOfJob(const JobRequest &request);

} // namespace clementinelift::command
