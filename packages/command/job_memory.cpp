#include "command/job_memory.h"

#include "command/job.h"

#include <cassert>

namespace clementinelift::command {

namespace {

// A job takes at most a quarter of what is left: the limit on each queue follows the free memory, as the thresholds of
// A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for shared-memory packet switches", IEEE/ACM
// Transactions on Networking 6(2), 1998.
constexpr std::size_t freeMemoryDivisor = 4;
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

bool JobMemory::tryTake(std::size_t bytes)
{
    const std::size_t freeBytes = m_limitBytes - m_usedBytes;
    if (bytes > freeBytes / freeMemoryDivisor)
        return false;
    m_usedBytes += bytes;
    return true;
}

void JobMemory::release(std::size_t bytes)
{
    assert(bytes <= m_usedBytes);
    m_usedBytes -= bytes;
}

} // namespace clementinelift::command
