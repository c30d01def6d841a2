#include "command/start_delay.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

constexpr TimeUs roundTripUs = 3 * usPerMs; // to a backend server over an idle link, with processing on both sides
constexpr TimeUs slowLinkUs = 2 * usPerMs;  // per order; 15 tasks at once take 30 ms then
constexpr TimeUs learningShare = 8;         // inverse weight of the last answer
// Largest growth by one answer, so that one backend server that answers late counts little.
constexpr TimeUs maxGrowth = 2;
constexpr TimeUs minGrowthUs = 1 * usPerMs;

} // namespace

void StartDelay::learn(TimeUs tookUs, std::size_t unanswered)
{
    const auto orders = static_cast<TimeUs>(std::max<std::size_t>(unanswered, 1));
    const TimeUs sampleUs =
            std::min(std::max<TimeUs>(tookUs - roundTripUs, 0) / orders, maxGrowth * m_perOrderUs + minGrowthUs);
    m_perOrderUs += (sampleUs - m_perOrderUs) / learningShare;
}

bool StartDelay::isSlowLink() const
{
    return m_perOrderUs >= slowLinkUs;
}

} // namespace clementinelift::command
