#include "command/job_memory.h"

#include "command/job.h"

namespace clementinelift::command {

namespace {

// Names of the backend server and the commander of a task that are too long for the string itself.
constexpr std::size_t namesOfTask = 64;

} // namespace

std::size_t memoryOfJob(const JobRequest &request)
{
    const std::size_t taskCount = request.steps.empty() ? 0 : request.steps.front().count;
    return sizeof(Job) + request.spec.size() + taskCount * (sizeof(Task) + namesOfTask);
}

std::size_t memoryOf(const CallerRequest &request)
{
    std::size_t bytes = sizeof(CallerRequest) + request.host.size() + request.path.size() + request.problem.size();
    if (!request.job)
        return bytes;
    bytes += request.job->spec.size();
    for (const StepRequest &step : request.job->steps)
        bytes += sizeof step + step.requiredLabel.size() + step.unsupported.size() + step.dataRack.size();
    return bytes;
}

} // namespace clementinelift::command
