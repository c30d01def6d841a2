// Forecast of places for waiting tasks: which waiting jobs cannot start in time and are refused at once.
//
// Meant for overload, in which a caller would otherwise be told only shortly before the latest start of its job. The
// places that become free are expected from the runs of this coordinator in progress: capacity that others release is
// unknown, and about as much as it takes from them.
#pragma once

#include "command/types.h"

#include <cstddef>

namespace clementinelift::command {

class PlaceForecast
{
public:
    // While tasks wait: tasks were placed since the last call, and endsPerS ends of runs per second are expected now.
    // Learns from calls that follow each other within the time of a window how many more places there are than
    // expected.
    void update(TimeUs now, double endsPerS, std::size_t placed);
    // After the loss of a peer or a change of the own role; nothing is refused until the forecast was checked again.
    void reset() { *this = {}; }

    // Whether a job needs more places than can be expected within timeUs, by more than the error of the forecast.
    // taskCount: waiting tasks of the job and of those before it.
    bool isShort(std::size_t taskCount, TimeUs timeUs) const;

private:
    TimeUs m_windowBegan = 0;
    TimeUs m_updatedAt = 0;
    double m_endsPerS = 0;
    double m_expected = 0; // places in this window
    double m_placed = 0;   // the same, actual
    double m_ratio = 1;    // of actual to expected places
    int m_windows = 0;     // checked
};

} // namespace clementinelift::command
