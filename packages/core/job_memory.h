// Bounds the memory of the jobs and waiting requests of one entry VM.
//
// Answers callers that submit jobs of many tasks or large payloads: 100 bytes of a request can become megabytes that
// are kept until the deadline. What does not fit is refused before it is built. A job may take only a share of what is
// left, so that a few large jobs leave room for many small ones.
#pragma once

#include <cstddef>

namespace clementinelift::core {

class JobMemory
{
public:
    // The largest job takes limitBytes / freeMemoryDivisor.
    static constexpr std::size_t freeMemoryDivisor = 4;

    explicit JobMemory(std::size_t limitBytes) : m_limitBytes(limitBytes) {}

    // False when there is no room; nothing is taken then.
    bool tryTake(std::size_t bytes);
    void release(std::size_t bytes);

    std::size_t usedBytes() const { return m_usedBytes; }
    std::size_t limitBytes() const { return m_limitBytes; }

private:
    std::size_t m_limitBytes;
    std::size_t m_usedBytes = 0;
};

} // namespace clementinelift::core
