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
constexpr double maxSampleStep = 1.5;           // difference in logarithm: bounds the effect of one outlier
// A change is detected by cumulative sums (Page, Continuous Inspection Schemes, 1954): of how far the samples deviate
// in one direction beyond half of a change by a factor of two, or beyond what is usual for this backend server. With
// lower limits, false detections cost 1% of the value of the jobs at 2.4 times the capacity.
constexpr double minUsualChange = 0.35; // difference in logarithm
constexpr double usualChangeFactor = 2.0;
constexpr double changeThreshold = 1.0;
constexpr double minChangeSamples = 3;       // tasks of one job come together and share the error of its estimate
constexpr double earlyChangeThreshold = 1.8; // with two samples: both are outliers
constexpr double samplesAfterChange = 8;     // what was learned before the change counts little
constexpr double kindLearnRate = 0.03;       // weight of each run in the speed of a kind
constexpr std::uint32_t minKindSamples = 20;
// Difference in logarithm: kinds that differ by less than 15% are taken for equal, so that servers of one speed are
// placed as if their kinds were not known.
constexpr double minKindDifference = 0.14;
constexpr double maxKindStep = 0.7; // difference in logarithm: a server that has turned slow does not change its kind

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

double SpeedEstimate::speed(double logPrior) const
{
    return std::exp(m_logSpeed + m_priorShare * logPrior);
}

// Returns whether the sums show a change.
bool SpeedEstimate::Side::add(double excess)
{
    sum = std::max(sum + excess, 0.0);
    samples = sum > 0 ? samples + 1 : 0;
    return sum > (samples >= minChangeSamples ? changeThreshold : earlyChangeThreshold) && samples > 1;
}

void SpeedEstimate::learn(TimeUs expectedWorkUs, TimeUs ranUs, double logPrior)
{
    const double sample = std::clamp(logUs(expectedWorkUs) - logUs(ranUs), minLogSpeed, maxLogSpeed);
    const double rate = std::max(speedLearnRate, 1 / (m_samples + 3)); // the prior has the weight of two tasks
    double logSpeed = m_logSpeed + m_priorShare * logPrior;
    const double step = std::clamp(sample - logSpeed, -maxSampleStep, maxSampleStep);
    const double usual = std::max(minUsualChange, usualChangeFactor * m_usualDeviation);
    m_usualDeviation += speedLearnRate * (std::abs(step) - m_usualDeviation);
    const bool isFaster = m_faster.add(step - usual);
    const bool isSlower = m_slower.add(-step - usual);
    logSpeed += rate * step;
    m_samples += 1;
    m_priorShare *= 1 - rate;
    if (isFaster || isSlower) {
        const Side &side = isFaster ? m_faster : m_slower;
        const double change = side.sum / side.samples + usual;
        logSpeed += isFaster ? change - rate * step : -change - rate * step;
        m_samples = std::min(m_samples, samplesAfterChange);
        m_faster = {};
        m_slower = {};
    }
    m_logSpeed = logSpeed - m_priorShare * logPrior;
}

double KindSpeeds::logPrior(std::size_t kind) const
{
    if (kind >= m_kinds.size() || m_kinds[kind].samples < minKindSamples)
        return 0;
    const double logSpeed = m_kinds[kind].logSpeed;
    return std::abs(logSpeed) < minKindDifference ? 0 : logSpeed;
}

namespace {

// The first samples have equal weight.
template <typename Learned> void learnSample(double &mean, Learned &learned, double sample)
{
    const double rate = std::max(kindLearnRate, 1.0 / (learned.samples + 1));
    const double step =
            learned.samples < minKindSamples ? sample - mean : std::clamp(sample - mean, -maxKindStep, maxKindStep);
    mean += rate * step;
    ++learned.samples;
}

} // namespace

void KindSpeeds::learn(std::size_t kind, TimeUs expectedWorkUs, TimeUs ranUs)
{
    if (kind >= m_kinds.size())
        m_kinds.resize(kind + 1);
    Learned &learned = m_kinds[kind];
    learnSample(learned.logSpeed, learned, std::clamp(logUs(expectedWorkUs) - logUs(ranUs), minLogSpeed, maxLogSpeed));
}

std::span<const double> RouteSpeeds::factors(std::string_view route) const
{
    if (m_unevenRoutes == 0)
        return {};
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? std::span<const double>() : std::span(found->second.factors);
}

std::vector<double> RouteSpeeds::computeFactors(const RouteKinds &route)
{
    std::vector<double> factors;
    bool isDifferent = false;
    for (const Learned &learned : route.kinds) {
        const double logFactor = learned.logFactor - route.all.logFactor;
        const bool isClear = learned.samples >= minKindSamples && std::abs(logFactor) >= minKindDifference;
        factors.push_back(isClear ? std::exp(logFactor) : 1.0);
        isDifferent = isDifferent || isClear;
    }
    return isDifferent ? factors : std::vector<double>();
}

void RouteSpeeds::learn(std::string_view route, std::size_t kind, TimeUs expectedWorkUs, TimeUs ranUs,
                        double serverSpeed)
{
    RouteKinds &learned = m_routes[route];
    if (kind >= learned.kinds.size())
        learned.kinds.resize(kind + 1);
    const double sample = std::clamp(logUs(expectedWorkUs) - logUs(ranUs), minLogSpeed, maxLogSpeed)
            - std::log(std::max(serverSpeed, std::exp(minLogSpeed)));
    learnSample(learned.all.logFactor, learned.all, sample);
    learnSample(learned.kinds[kind].logFactor, learned.kinds[kind], sample);
    m_unevenRoutes -= learned.factors.empty() ? 0 : 1;
    learned.factors = computeFactors(learned);
    m_unevenRoutes += learned.factors.empty() ? 0 : 1;
}

} // namespace clementinelift::command
