#include "core/job_memory.h"

#include <cassert>

namespace clementinelift::core {

// The limit on each job follows the free memory, as the thresholds of A. K. Choudhury and E. L. Hahne, "Dynamic queue
// length thresholds for shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2), 1998.
bool JobMemory::tryTake(std::size_t bytes)
{
    if (bytes > (m_limitBytes - m_usedBytes) / freeMemoryDivisor)
        return false;
    m_usedBytes += bytes;
    return true;
}

void JobMemory::release(std::size_t bytes)
{
    assert(bytes <= m_usedBytes);
    m_usedBytes -= bytes;
}

} // namespace clementinelift::core
