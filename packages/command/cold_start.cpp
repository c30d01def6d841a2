#include "command/cold_start.h"

#include <algorithm>
#include <cmath>

namespace clementinelift::command {

namespace {

// Work that was allowed and not used is available for this long, so that a quiet time does not allow a full load.
constexpr TimeUs maxUnusedUs = 100 * usPerMs;

// Starts are counted in a window of one second, or longer when the limit is below one a second.
TimeUs windowUs(double perS)
{
    return std::max(usPerS, static_cast<TimeUs>(static_cast<double>(usPerS) / perS));
}

std::uint32_t startsInWindow(double perS)
{
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(std::min(perS, 1e6))));
}

} // namespace

void ColdStart::takeBack(TimeUs now)
{
    m_takenBackAt = now;
    m_startedWork = 0;
}

// Integral of a load that rises linearly from 0 at m_takenBackAt to the capacity at m_coldUntil. Tasks that occupy half
// of a backend server allow no other loads than none, half and full, so the load is linear on average over time.
double ColdStart::earnedWork(TimeUs now, std::int64_t capacityMilliCores) const
{
    const auto elapsed = static_cast<double>(now - m_takenBackAt);
    const auto rise = static_cast<double>(std::max<TimeUs>(m_coldUntil - m_takenBackAt, 1));
    return static_cast<double>(capacityMilliCores) * elapsed * elapsed / (2 * rise);
}

std::uint32_t ColdStart::startsLeft(TimeUs now, double perS, std::int64_t capacityMilliCores) const
{
    if (!isCold(now))
        return unlimitedStarts;
    std::uint32_t left = unlimitedStarts;
    if (perS > 0) {
        const TimeUs from = now - windowUs(perS);
        const auto recent =
                std::count_if(m_started.begin(), m_started.end(), [&](TimeUs started) { return started > from; });
        const std::uint32_t allowed = startsInWindow(perS);
        left = allowed - std::min(allowed, static_cast<std::uint32_t>(recent));
    }
    if (m_takenBackAt == 0)
        return left;
    return m_startedWork <= earnedWork(now, capacityMilliCores) ? std::min(left, 1U) : 0;
}

void ColdStart::onStart(TimeUs now, double perS, std::int64_t capacityMilliCores, std::int64_t taskMilliCores,
                        TimeUs workUs)
{
    if (!isCold(now)) {
        m_takenBackAt = 0;
        m_started.clear();
        return;
    }
    if (perS > 0) {
        std::erase_if(m_started, [from = now - windowUs(perS)](TimeUs started) { return started <= from; });
        m_started.push_back(now);
    }
    if (m_takenBackAt == 0)
        return;
    const double earned = earnedWork(now, capacityMilliCores);
    const double unused = earned - earnedWork(std::max(m_takenBackAt, now - maxUnusedUs), capacityMilliCores);
    m_startedWork = std::max(m_startedWork, earned - unused)
            + static_cast<double>(taskMilliCores) * static_cast<double>(workUs);
}

} // namespace clementinelift::command
