#include "command/run_times.h"

#include <algorithm>
#include <cmath>

namespace clementinelift::command {

namespace {

constexpr double workLearnRate = 0.03;          // weight of each task in the work of a route: averages about 30 tasks
constexpr double declaredWeight = 0.5;          // of a declared estimate against the learned work; both are off by 40%
constexpr TimeUs unknownWorkUs = 200 * usPerMs; // without an estimate or earlier tasks: typical of sub-second tasks
constexpr double speedLearnRate = 0.06;         // weight of each task in the speed; the first tasks have more weight
constexpr double minLogSpeed = -3.0;            // 20 times slower
constexpr double maxLogSpeed = 1.4;             // 4 times faster
constexpr double outlierThreshold = 1.2;        // difference in logarithm: twice the usual spread of samples
constexpr double outlierRate = 0.5;   // after two consecutive outliers in one direction: the speed has changed
constexpr double maxSampleStep = 1.5; // difference in logarithm: bounds the effect of one outlier

double logUs(TimeUs time)
{
    return std::log(static_cast<double>(std::max<TimeUs>(time, 1)));
}

} // namespace

TimeUs WorkEstimates::expect(std::string_view route, TimeUs declaredUs) const
{
    const auto found = m_routes.find(route);
    const double weight = found == m_routes.end() ? 0 : found->second.weight;
    if (weight <= 0)
        return declaredUs > 0 ? declaredUs : unknownWorkUs;
    if (declaredUs <= 0)
        return static_cast<TimeUs>(std::exp(found->second.logWork));
    const double learnedShare = weight * (1 - declaredWeight);
    return static_cast<TimeUs>(std::exp(learnedShare * found->second.logWork + (1 - learnedShare) * logUs(declaredUs)));
}

void WorkEstimates::learn(std::string_view route, TimeUs workUs)
{
    Learned &learned = m_routes[route];
    const double rate = std::max(workLearnRate, 1 - learned.weight);
    learned.logWork += rate * (logUs(workUs) - learned.logWork);
    learned.weight = std::min(1.0, learned.weight + workLearnRate + (learned.weight == 0 ? 0.2 : 0));
}

double SpeedEstimate::speed() const
{
    return std::exp(m_logSpeed);
}

void SpeedEstimate::learn(TimeUs expectedWorkUs, TimeUs ranUs)
{
    const double sample = std::clamp(logUs(expectedWorkUs) - logUs(ranUs), minLogSpeed, maxLogSpeed);
    double rate = std::max(speedLearnRate, 1 / (m_samples + 3)); // the initial speed 1 has the weight of two tasks
    const double deviation = sample - m_logSpeed;
    const bool isOutlier = std::abs(deviation) > outlierThreshold;
    if (isOutlier && m_lastOutlier * deviation > 0)
        rate = std::max(rate, outlierRate);
    m_lastOutlier = isOutlier ? deviation : 0;
    m_logSpeed += rate * std::clamp(sample - m_logSpeed, -maxSampleStep, maxSampleStep);
    m_samples += 1;
}

} // namespace clementinelift::command
