#include "command/forecast.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

// Expected places are multiplied by this, as estimates are off by 40% and a wrong refusal costs more than a late
// answer. With 1, jobs of 8 tasks lose at a load that nearly all are served; with 3, few are refused early.
constexpr double margin = 1.5;
constexpr TimeUs windowUs = 100 * usPerMs; // some dozens of ends under overload
constexpr int minWindows = 5;              // checked before the forecast is used
constexpr double learningRate = 0.2;       // of one window
constexpr double maxRatio = 4;             // bounds how much a window with free capacity elsewhere teaches

} // namespace

void PlaceForecast::update(TimeUs now, double endsPerS, std::size_t placed)
{
    if (now - m_updatedAt > windowUs) { // nothing waited in between, so places were not needed
        m_windowBegan = now;
        m_expected = 0;
        m_placed = 0;
    } else {
        m_expected += m_endsPerS * static_cast<double>(now - m_updatedAt) / usPerS;
        m_placed += static_cast<double>(placed);
    }
    m_updatedAt = now;
    m_endsPerS = endsPerS;
    if (now - m_windowBegan < windowUs || m_expected <= 0)
        return;
    const double ratio = std::min(m_placed / m_expected, maxRatio);
    m_ratio += learningRate * (ratio - m_ratio);
    ++m_windows;
    m_windowBegan = now;
    m_expected = 0;
    m_placed = 0;
}

// Fewer places than expected do not make it stricter: they may have been refused to jobs that needed more at once.
bool PlaceForecast::isShort(std::size_t taskCount, TimeUs timeUs) const
{
    if (m_windows < minWindows || m_endsPerS <= 0)
        return false;
    const double places = m_endsPerS * static_cast<double>(std::max<TimeUs>(timeUs, 0)) / usPerS;
    return static_cast<double>(taskCount) > margin * std::max(m_ratio, 1.0) * places;
}

} // namespace clementinelift::command
