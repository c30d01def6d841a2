// How many tasks a backend server that is still cold may start now.
//
// Meant for backend servers that have been idle, as after the evacuation of their zone: they are slow until they have
// warmed up, and a full load at once makes all its tasks late. Two limits hold while a backend server is cold: a number
// of starts a second, if its service sets one, and after an evacuation a load that rises linearly to its capacity.
#pragma once

#include "command/types.h"

#include <vector>

namespace clementinelift::command {

constexpr std::uint32_t unlimitedStarts = std::numeric_limits<std::uint32_t>::max();

class ColdStart
{
public:
    // The backend server is cold for this much longer, as it has reported.
    void setRemaining(TimeUs now, TimeUs remainingUs) { m_coldUntil = remainingUs > 0 ? now + remainingUs : 0; }
    // The evacuation of its zone was withdrawn.
    void takeBack(TimeUs now);

    bool isCold(TimeUs now) const { return now < m_coldUntil; }
    // perS: largest number of starts a second, 0: no limit; capacityMilliCores: of the backend server.
    std::uint32_t startsLeft(TimeUs now, double perS, std::int64_t capacityMilliCores) const;
    // workUs: expected run time of the task.
    void onStart(TimeUs now, double perS, std::int64_t capacityMilliCores, std::int64_t taskMilliCores, TimeUs workUs);

private:
    double earnedWork(TimeUs now, std::int64_t capacityMilliCores) const;

    TimeUs m_coldUntil = 0;
    TimeUs m_takenBackAt = 0;      // 0: the load does not rise slowly
    double m_startedWork = 0;      // since m_takenBackAt, in thousandths of a core x us
    std::vector<TimeUs> m_started; // starts within the window of the limit
};

} // namespace clementinelift::command
