// Learned run times: how much work the tasks of a route are and how fast each backend server is.
//
// A backend server of speed 2 needs half the time of one of speed 1. Declared estimates are off by a factor that varies
// from job to job, so an estimate and what the route's tasks needed before are weighed against each other.
#pragma once

#include "command/types.h"

#include "command/text.h"

namespace clementinelift::command {

// Work of the tasks of one route, in time on a backend server of speed 1.
class WorkEstimates
{
public:
    // declaredUs: 0 when nothing was declared.
    TimeUs expect(std::string_view route, TimeUs declaredUs) const;
    void learn(std::string_view route, TimeUs workUs);

private:
    struct Learned
    {
        double logWork = 0; // natural logarithm of microseconds
        double weight = 0;  // 0 .. 1, confidence in logWork
    };
    TextMap<Learned> m_routes;
};

// Speed of one backend server.
class SpeedEstimate
{
public:
    double speed() const;
    void learn(TimeUs expectedWorkUs, TimeUs ranUs);

private:
    double m_logSpeed = 0;
    double m_samples = 0;
    double m_lastOutlier = 0; // how far the last sample was off, 0: as usual
};

} // namespace clementinelift::command
