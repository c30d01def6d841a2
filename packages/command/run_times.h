// Learned run times: the work of the tasks of a route, and the speed of each backend server.
//
// A backend server of speed 2 needs half the time of one of speed 1. The error of declared estimates varies from job to
// job, so the expected work is a weighted mean of the estimate and the work of earlier tasks of the route.
#pragma once

#include "command/types.h"

#include "command/text.h"

namespace clementinelift::command {

// Work of the tasks of each route, as run time on a backend server of speed 1.
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
    double m_lastOutlier = 0; // deviation of the last sample if it was an outlier, otherwise 0
};

} // namespace clementinelift::command
