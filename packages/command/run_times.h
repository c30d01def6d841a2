// Learned run times: the work of the tasks of a route, the speed of each backend server, and the speeds of kinds of
// backend servers, for all routes and for one.
//
// A backend server of speed 2 needs half the time of one of speed 1. The error of declared estimates varies from job to
// job, so the expected work is a weighted mean of the estimate and the work of earlier tasks of the route.
#pragma once

#include "command/types.h"

#include "command/text.h"

#include <span>
#include <vector>

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

// Speed of one backend server. A change by a factor of two or more is noticed within five runs.
//
// logPrior: natural logarithm of the speed that is expected of the server without a run, with the weight of two runs.
class SpeedEstimate
{
public:
    double speed(double logPrior = 0) const;
    void learn(TimeUs expectedWorkUs, TimeUs ranUs, double logPrior = 0);

private:
    struct Side // cumulative sum of deviations in one direction
    {
        double sum = 0;
        double samples = 0; // since the sum was 0

        bool add(double excess);
    };

    double m_logSpeed = 0;   // without the prior
    double m_priorShare = 1; // of the prior in the speed
    double m_samples = 0;
    double m_usualDeviation = 0.25; // mean of the absolute deviations of samples
    Side m_faster;
    Side m_slower;
};

// Speed of each kind of backend server, the prior of servers with few runs. Kinds are numbered by the caller.
class KindSpeeds
{
public:
    // Natural logarithm of the speed; 0 while it is not known, or not clearly different from 1.
    double logPrior(std::size_t kind) const;
    void learn(std::size_t kind, TimeUs expectedWorkUs, TimeUs ranUs);

private:
    struct Learned
    {
        double logSpeed = 0;
        std::uint32_t samples = 0;
    };
    std::vector<Learned> m_kinds;
};

// How much faster the tasks of a route run on a kind of backend server than its speed tells, compared with the other
// kinds.
class RouteSpeeds
{
public:
    // Factors to the speeds of the backend servers, by kind; empty: none of them is clearly different from 1. Valid
    // until the next learn().
    std::span<const double> factors(std::string_view route) const;
    // serverSpeed: that was expected of the backend server, without the factor.
    void learn(std::string_view route, std::size_t kind, TimeUs expectedWorkUs, TimeUs ranUs, double serverSpeed);

private:
    struct Learned
    {
        double logFactor = 0;
        std::uint32_t samples = 0;
    };
    struct RouteKinds
    {
        Learned all; // of all kinds; what they have in common is an error of the expected work
        std::vector<Learned> kinds;
        std::vector<double> factors; // as returned by factors()
    };
    static std::vector<double> computeFactors(const RouteKinds &route);

    TextMap<RouteKinds> m_routes;
    std::size_t m_unevenRoutes = 0; // with factors; 0 spares each placing pass a look-up for each job
};

} // namespace clementinelift::command
