#include "core/routing.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace clementinelift::core {

namespace {

constexpr double initialFactor = 0.7;          // below 1, so that backend servers without samples are tried
constexpr double factorSmoothing = 0.08;       // weight of one sample
constexpr double shiftedFactorSmoothing = 0.4; // the same after slowSamplesToShift slow samples in a row
constexpr double longTermSmoothing = 0.02;
constexpr double templateSmoothing = 0.02;
constexpr double pairSmoothing = 0.05;
constexpr double scaleSmoothing = 0.01;
constexpr double outcomeSmoothing = 0.15;
constexpr double maxLogError = 2.0;             // bounds the effect of one straggler on an estimate
constexpr double slowLogThreshold = 1.2;        // log of service time over expectation that counts as slow
constexpr std::uint32_t slowSamplesToShift = 3; // in a row
constexpr std::uint32_t minPairSamples = 8;     // before the correction of a pair is used
constexpr double maxPairLog = 0.7;
constexpr double minSuccess = 0.05;
constexpr std::int64_t decayAfterUs = 2 * usPerS;
constexpr double decayRate = 0.2; // per call of decayToLongTerm()
constexpr double lowestFactor = 1.0 / 16;
constexpr double bucketsPerDoubling = 6;
constexpr std::uint32_t maxFittingCandidates = 6;  // that are large enough, compared by expected time
constexpr std::uint32_t maxVisitedCandidates = 64; // bounds the search for tasks that fit few backend servers

std::uint64_t pairKey(TemplateId templateId, BackendId id)
{
    return static_cast<std::uint64_t>(raw(templateId)) << 32 | raw(id);
}

double sampleWeight(std::uint32_t samples, double least)
{
    return std::max(least, 1.0 / (samples + 1.0));
}

} // namespace

bool fits(const TaskShape &shape, const BackendInfo &backend)
{
    return shape.cores <= backend.cores && shape.memoryMb <= backend.memoryMb;
}

// ServiceModel --------------------------------------------------------------------------------------

void ServiceModel::addBackend(BackendId id)
{
    assert(raw(id) == m_backends.size());
    BackendModel model;
    model.logFactor = model.logLongTerm = std::log(initialFactor);
    m_backends.push_back(model);
}

void ServiceModel::addTemplate(TemplateId id, double declaredUs)
{
    if (raw(id) >= m_templates.size())
        m_templates.resize(raw(id) + 1);
    auto &model = m_templates[raw(id)];
    model.logDeclared = std::log(std::max(declaredUs, 1.0));
    if (model.samples == 0)
        model.logMean = model.logDeclared;
}

double ServiceModel::logBase(const TaskShape &shape) const
{
    const auto &model = m_templates[raw(shape.templateId)];
    if (model.samples > 0 && model.meanVariance < model.ratioVariance)
        return model.logMean;
    return std::log(std::max(shape.declaredUs, 1.0)) + model.logRatio;
}

double ServiceModel::logCorrection(TemplateId templateId, BackendId id) const
{
    const auto pair = m_pairs.find(pairKey(templateId, id));
    return pair == m_pairs.end() || pair->second.samples < minPairSamples ? 0 : pair->second.logCorrection;
}

double ServiceModel::baseUs(const TaskShape &shape) const
{
    return std::exp(logBase(shape));
}

double ServiceModel::expectedUs(const TaskShape &shape, BackendId id) const
{
    return std::exp(logBase(shape) + m_backends[raw(id)].logFactor + logCorrection(shape.templateId, id));
}

double ServiceModel::expectedPerSuccessUs(const TaskShape &shape, BackendId id) const
{
    return expectedUs(shape, id) / std::max(m_backends[raw(id)].success, minSuccess);
}

double ServiceModel::factor(BackendId id) const
{
    const auto &model = m_backends[raw(id)];
    return std::exp(model.logFactor) / std::max(model.success, minSuccess);
}

double ServiceModel::meanBaseUs() const
{
    return m_meanBaseUs;
}

double ServiceModel::scale() const
{
    return std::exp(m_logScale);
}

bool ServiceModel::learn(const TaskShape &shape, BackendId id, double serviceUs, std::int64_t nowUs)
{
    auto &backend = m_backends[raw(id)];
    auto &model = m_templates[raw(shape.templateId)];
    const double logService = std::log(std::max(serviceUs, 1.0));
    const double base = logBase(shape);
    const double correction = logCorrection(shape.templateId, id);
    const double before = backend.logFactor;

    const double error = logService - base - correction - before;
    const double clipped = std::clamp(error, -maxLogError, maxLogError);
    backend.consecutiveSlow =
            error > slowLogThreshold && backend.samples >= slowSamplesToShift ? backend.consecutiveSlow + 1 : 0;
    const bool shifted = backend.consecutiveSlow >= slowSamplesToShift;
    const double weight = shifted ? shiftedFactorSmoothing : sampleWeight(backend.samples, factorSmoothing);
    backend.logFactor += weight * clipped;
    backend.logLongTerm += sampleWeight(backend.samples, longTermSmoothing) * (backend.logFactor - backend.logLongTerm);
    ++backend.samples;
    backend.lastUs = nowUs;

    auto &pair = m_pairs[pairKey(shape.templateId, id)];
    pair.logCorrection =
            std::clamp(pair.logCorrection + pairSmoothing * clipped * (1 - weight), -maxPairLog, maxPairLog);
    ++pair.samples;

    // The template learns with the factor as it was before this sample; otherwise both would correct the same error.
    const double seen = logService - before - correction;
    const double share = std::max(templateSmoothing, 1.0 / (model.samples + 2.0));
    const double ratioError = std::clamp(seen - std::log(std::max(shape.declaredUs, 1.0)) - model.logRatio, -4.0, 4.0);
    const double meanError = std::clamp(seen - model.logMean, -4.0, 4.0);
    model.logRatio += share * ratioError;
    model.logMean += share * meanError;
    model.ratioVariance += share * (ratioError * ratioError - model.ratioVariance);
    model.meanVariance += share * (meanError * meanError - model.meanVariance);
    ++model.samples;

    m_logScale += scaleSmoothing * (model.logRatio - m_logScale);
    m_meanBaseUs += scaleSmoothing * (serviceUs / std::exp(before) - m_meanBaseUs);
    return shifted;
}

void ServiceModel::learnOutcome(TemplateId templateId, BackendId id, bool success)
{
    auto &backend = m_backends[raw(id)];
    backend.success += outcomeSmoothing * ((success ? 1 : 0) - backend.success);
    auto &model = m_templates[raw(templateId)];
    model.failureRate += templateSmoothing * ((success ? 0 : 1) - model.failureRate);
}

double ServiceModel::failureRate(TemplateId id) const
{
    return m_templates[raw(id)].failureRate;
}

void ServiceModel::decayToLongTerm(BackendId id, std::int64_t nowUs)
{
    auto &backend = m_backends[raw(id)];
    if (nowUs - backend.lastUs < decayAfterUs)
        return;
    backend.logFactor += decayRate * (backend.logLongTerm - backend.logFactor);
    backend.success += decayRate * (1 - backend.success);
    backend.consecutiveSlow = 0;
}

// SlotPool ------------------------------------------------------------------------------------------

std::uint32_t factorBucket(double factor)
{
    const double position = std::log2(std::max(factor, lowestFactor) / lowestFactor) * bucketsPerDoubling;
    return std::min(factorBuckets - 1, static_cast<std::uint32_t>(position));
}

BackendId SlotPool::add(const BackendInfo &info)
{
    const auto id = BackendId(static_cast<std::uint32_t>(m_backends.size()));
    m_backends.push_back(BackendSlots{.info = info});
    m_byName.emplace(info.name, id);
    return id;
}

std::optional<BackendId> SlotPool::find(std::string_view name) const
{
    const auto found = m_byName.find(absl::string_view(name.data(), name.size()));
    return found == m_byName.end() ? std::nullopt : std::optional(found->second);
}

void SlotPool::addToFreeLists(BackendId id)
{
    auto &backend = m_backends[raw(id)];
    auto &bucket = m_freeBuckets[backend.bucket];
    backend.bucketPosition = static_cast<std::uint32_t>(bucket.size());
    bucket.push_back(id);
    m_nonEmptyBuckets |= std::uint64_t(1) << backend.bucket;
    backend.listPosition = static_cast<std::uint32_t>(m_freeList.size());
    m_freeList.push_back(id);
}

void SlotPool::removeFromFreeLists(BackendId id)
{
    auto &backend = m_backends[raw(id)];
    auto &bucket = m_freeBuckets[backend.bucket];
    bucket[backend.bucketPosition] = bucket.back();
    m_backends[raw(bucket.back())].bucketPosition = backend.bucketPosition;
    bucket.pop_back();
    if (bucket.empty())
        m_nonEmptyBuckets &= ~(std::uint64_t(1) << backend.bucket);
    m_freeList[backend.listPosition] = m_freeList.back();
    m_backends[raw(m_freeList.back())].listPosition = backend.listPosition;
    m_freeList.pop_back();
}

void SlotPool::refresh(BackendId id, double factor, std::int64_t nowUs)
{
    auto &backend = m_backends[raw(id)];
    if (backend.free > 0)
        removeFromFreeLists(id);
    m_freeSlots -= backend.free;
    if (backend.rate > 0) {
        m_rate[backend.bucket] -= backend.rate;
        m_held[backend.bucket] -= 1;
        m_totalRate -= backend.rate;
        m_heldSlots -= backend.countedSlots;
    }

    const bool usable = !backend.gone && !backend.leaving;
    const std::uint32_t inUse = backend.used + backend.lent;
    backend.free = usable && backend.held > inUse && nowUs >= backend.blockedUntilUs ? backend.held - inUse : 0;
    backend.free = std::min(backend.free, backend.allowed);
    if (backend.attempts >= backend.connections)
        backend.free = 0;
    backend.bucket = factorBucket(factor);
    backend.rate = usable && (backend.allowed > 0 || inUse > 0) ? backend.held / factor : 0;

    if (backend.rate > 0) {
        m_rate[backend.bucket] += backend.rate;
        m_held[backend.bucket] += 1;
        m_totalRate += backend.rate;
        m_heldSlots += backend.countedSlots = backend.held;
    }
    m_freeSlots += backend.free;
    if (backend.free > 0)
        addToFreeLists(id);
}

std::optional<BackendId> SlotPool::slowestFree(std::uint32_t bucket, const TaskShape &shape) const
{
    for (std::uint32_t i = bucket + 1; i-- > 0;)
        for (const BackendId id : m_freeBuckets[i])
            if (fits(shape, m_backends[raw(id)].info))
                return id;
    return std::nullopt;
}

SlotPool::FasterSlots SlotPool::fasterThan(std::uint32_t bucket) const
{
    FasterSlots faster;
    double weighted = 0;
    for (std::uint32_t i = 0; i < bucket; ++i) {
        if (m_held[i] == 0)
            continue;
        faster.rate += m_rate[i];
        weighted += m_rate[i] * lowestFactor * std::exp2((i + 0.5) / bucketsPerDoubling);
    }
    faster.meanFactor = faster.rate > 0 ? weighted / faster.rate : 0;
    return faster;
}

double SlotPool::fastestFactor() const
{
    for (std::uint32_t i = 0; i < factorBuckets; ++i)
        if (m_held[i] > 0)
            return lowestFactor * std::exp2(i / bucketsPerDoubling);
    return 1;
}

std::uint32_t assignedSlotCount(const BackendInfo &backend, std::string_view self, std::span<const NodeInfo> candidates)
{
    // Rendezvous hashing alone could give one of two entry VMs 7 of 8 slots and spread the load of a zone unevenly.
    const auto count = static_cast<std::uint32_t>(candidates.size());
    const std::uint32_t most = count > 0 ? (backend.slots + count - 1) / count : 0;
    std::vector<std::uint32_t> held(count);
    for (std::uint32_t slot = 0; slot < backend.slots && count > 0; ++slot) {
        const std::uint64_t slotHash = XXH3_64bits_withSeed(backend.name.data(), backend.name.size(), slot);
        std::optional<std::uint32_t> best;
        std::uint64_t bestRank = 0;
        for (std::uint32_t i = 0; i < count; ++i) {
            const std::string &name = candidates[i].name;
            const std::uint64_t rank = XXH3_64bits_withSeed(name.data(), name.size(), slotHash);
            const bool first = !best || rank > bestRank || (rank == bestRank && name > candidates[*best].name);
            if (held[i] < most && first) {
                best = i;
                bestRank = rank;
            }
        }
        ++held[*best];
    }
    for (std::uint32_t i = 0; i < count; ++i)
        if (candidates[i].name == self)
            return held[i];
    return 0;
}

// Policies ------------------------------------------------------------------------------------------

std::optional<BackendId> ExpectedFinish::choose(const SlotPool &pool, const ServiceModel &model, const TaskShape &shape,
                                                std::mt19937_64 &)
{
    std::optional<BackendId> best;
    double bestUs = 0;
    std::uint32_t checked = 0;
    std::uint32_t seen = 0;
    pool.visitFree([&](BackendId id) {
        ++seen;
        if (fits(shape, pool[id].info)) {
            const double expected = model.expectedPerSuccessUs(shape, id);
            if (!best || expected < bestUs) {
                best = id;
                bestUs = expected;
            }
            ++checked;
        }
        return checked < maxFittingCandidates && seen < maxVisitedCandidates;
    });
    return best;
}

namespace {

std::optional<BackendId> chooseRandomly(const SlotPool &pool, const TaskShape &shape, std::mt19937_64 &random)
{
    const auto free = pool.freeBackends();
    for (std::uint32_t tries = 0; tries < maxVisitedCandidates && !free.empty(); ++tries) {
        const BackendId id = free[random() % free.size()];
        if (fits(shape, pool[id].info))
            return id;
    }
    return std::nullopt;
}

} // namespace

std::optional<BackendId> RandomChoice::choose(const SlotPool &pool, const ServiceModel &, const TaskShape &shape,
                                              std::mt19937_64 &random)
{
    return chooseRandomly(pool, shape, random);
}

std::optional<BackendId> RoundRobin::choose(const SlotPool &pool, const ServiceModel &, const TaskShape &shape,
                                            std::mt19937_64 &)
{
    for (std::size_t tries = 0; tries < pool.size(); ++tries) {
        const auto id = BackendId(next++ % static_cast<std::uint32_t>(pool.size()));
        if (pool[id].free > 0 && fits(shape, pool[id].info))
            return id;
    }
    return std::nullopt;
}

std::optional<BackendId> PowerOfTwo::choose(const SlotPool &pool, const ServiceModel &, const TaskShape &shape,
                                            std::mt19937_64 &random)
{
    const auto first = chooseRandomly(pool, shape, random);
    const auto second = chooseRandomly(pool, shape, random);
    return first && second && pool[*second].attempts < pool[*first].attempts ? second : first;
}

std::optional<BackendId> LeastOutstanding::choose(const SlotPool &pool, const ServiceModel &, const TaskShape &shape,
                                                  std::mt19937_64 &random)
{
    const auto free = pool.freeBackends();
    std::optional<BackendId> best;
    const std::size_t start = free.empty() ? 0 : random() % free.size();
    for (std::size_t i = 0; i < free.size(); ++i) {
        const BackendId id = free[(start + i) % free.size()];
        if (fits(shape, pool[id].info) && (!best || pool[id].attempts < pool[*best].attempts))
            best = id;
    }
    return best;
}

} // namespace clementinelift::core
