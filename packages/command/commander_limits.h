// Limits that the sources of the commander share.
#pragma once

#include "command/types.h"

namespace clementinelift::command::detail {

constexpr double minClockRate = 0.98;                // the clock of a backend server may be 2% slow
constexpr TimeUs clockResolutionUs = 2 * usPerMs;    // clocks are reported in whole milliseconds
constexpr TimeUs minProbeIntervalUs = 100 * usPerMs; // between holds to a backend server that does not answer
constexpr TimeUs maxProbeIntervalUs = 800 * usPerMs; // the same, after several missing answers
constexpr TimeUs answerTimeoutUs = 150 * usPerMs;    // of orders that are answered at once: 100 round-trip times
constexpr TimeUs stopBoundUs = 100 * usPerMs;  // a run has ended by then after its stop was answered; it takes 50 ms
constexpr TimeUs stopTimeoutUs = 80 * usPerMs; // a stop without an answer is sent again after this
// Stops in progress at a time. Each takes a request of the HTTP client, about 10 KB; further ones are delayed.
constexpr std::size_t maxStopsInProgress = 256;
constexpr TimeUs delayedStopUs = 20 * usPerMs;
constexpr TimeUs unhealthyBlockUs = 150 * usPerMs; // after the answer "unhealthy"

constexpr TimeUs maxListAgeUs = 20 * usPerMs; // lists are handled within a pass of the control thread

// Longest time that a lease lasts on the clock of this entry VM.
constexpr TimeUs leaseBound(TimeUs leaseUs)
{
    return static_cast<TimeUs>(static_cast<double>(leaseUs) / minClockRate) + clockResolutionUs;
}

// Shortest time that a lease lasts after its order was sent: its end is computed from a lower bound of the clock, which
// may be behind by what an answer takes and by 2% of the time since.
constexpr TimeUs shortestLease(TimeUs leaseUs)
{
    return leaseUs - leaseUs / 10;
}

} // namespace clementinelift::command::detail
