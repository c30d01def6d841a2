#include "command/retry_after.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

constexpr double minEndsPerS = 1;               // while nothing runs here
constexpr TimeUs maxRetryAfterUs = 10 * usPerS; // not all callers return, so a later time would leave capacity free
constexpr TimeUs retryAfterUnitUs = 1 * usPerS; // of the header Retry-After

} // namespace

TimeUs RetryPlanner::book(TimeUs now, std::size_t taskCount, std::size_t waitingTaskCount, double endsPerS)
{
    const double perTaskUs = static_cast<double>(usPerS) / std::max(endsPerS, minEndsPerS);
    const auto backlogUs = static_cast<TimeUs>(perTaskUs * static_cast<double>(waitingTaskCount));
    const auto ownUs = static_cast<TimeUs>(perTaskUs * static_cast<double>(taskCount));
    m_bookedUntil = std::min(std::max(m_bookedUntil, now + backlogUs) + ownUs, now + maxRetryAfterUs);
    const TimeUs units = (m_bookedUntil - now + retryAfterUnitUs - 1) / retryAfterUnitUs;
    return std::max<TimeUs>(units, 1) * retryAfterUnitUs;
}

} // namespace clementinelift::command
