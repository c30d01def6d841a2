#include "core/limits.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace clementinelift::core {

namespace {

// Look-ups of this Abseil release take absl::string_view, which is not std::string_view.
absl::string_view toKey(std::string_view text)
{
    return {text.data(), text.size()};
}

constexpr std::int64_t reportValidUs = 3 * usPerS;
constexpr std::int64_t nodeRetentionUs = 300 * usPerS; // how long a peer that is no longer live keeps its fixed share
constexpr double evenShare = 0.2;                      // of the limit, divided evenly so that new demand can start
constexpr std::int64_t rotationMs = 2000;              // for limits below the number of entry VMs with demand
constexpr double maxCreditUs = 10.0 * usPerS;          // of service that an idle organisation may accumulate
constexpr double burstSeconds = 0.25;                  // starts at the permitted rate that may come at once
constexpr double minRetriesPerWindow = 5;              // allowed whatever the number of first attempts
constexpr double usableBudgetShare = 0.9;              // keeps windows that start within a bucket below the budget
constexpr std::int64_t firstBackoffUs = 10 * usPerMs;
constexpr std::int64_t maxBackoffUs = 2 * usPerS;

} // namespace

// FairQueue -----------------------------------------------------------------------------------------

FairQueue::Organisation &FairQueue::organisation(OrganisationId id)
{
    if (raw(id) >= m_organisations.size())
        m_organisations.resize(raw(id) + 1);
    return m_organisations[raw(id)];
}

void FairQueue::setWeight(OrganisationId id, double weight)
{
    organisation(id).weight = std::max(weight, 1e-3);
}

void FairQueue::insert(const QueueEntry &entry)
{
    auto &priorityClass = m_classes[entry.priorityClass];
    auto &queue = priorityClass.queues[entry.organisation];
    if (queue.jobs.empty()) {
        // An organisation that was idle or below its share gets a bounded credit, so that the tasks of its next job are
        // not interleaved with those of an organisation with a long backlog.
        queue.virtualTime = std::max(queue.virtualTime,
                                     priorityClass.virtualTime - maxCreditUs / organisation(entry.organisation).weight);
        if (!organisation(entry.organisation).blocked)
            priorityClass.ready.emplace(queue.virtualTime, entry.organisation);
    }
    queue.jobs.emplace(entry.deadlineUs, entry.job);
}

void FairQueue::erase(const QueueEntry &entry)
{
    const auto found = m_classes.find(entry.priorityClass);
    if (found == m_classes.end())
        return;
    auto &queue = found->second.queues[entry.organisation];
    queue.jobs.erase({entry.deadlineUs, entry.job});
    if (queue.jobs.empty())
        found->second.ready.erase({queue.virtualTime, entry.organisation});
}

void FairQueue::charge(const QueueEntry &entry, double costUs)
{
    auto &priorityClass = m_classes[entry.priorityClass];
    auto &queue = priorityClass.queues[entry.organisation];
    const bool wasReady = priorityClass.ready.erase({queue.virtualTime, entry.organisation}) > 0;
    priorityClass.virtualTime = std::max(priorityClass.virtualTime, queue.virtualTime);
    queue.virtualTime += costUs / organisation(entry.organisation).weight;
    if (wasReady)
        priorityClass.ready.emplace(queue.virtualTime, entry.organisation);
}

void FairQueue::block(OrganisationId id)
{
    organisation(id).blocked = true;
    for (auto &[number, priorityClass] : m_classes)
        if (const auto queue = priorityClass.queues.find(id); queue != priorityClass.queues.end())
            priorityClass.ready.erase({queue->second.virtualTime, id});
}

void FairQueue::unblock(OrganisationId id)
{
    organisation(id).blocked = false;
    for (auto &[number, priorityClass] : m_classes)
        if (const auto queue = priorityClass.queues.find(id);
            queue != priorityClass.queues.end() && !queue->second.jobs.empty())
            priorityClass.ready.emplace(queue->second.virtualTime, id);
}

bool FairQueue::isBlocked(OrganisationId id) const
{
    return raw(id) < m_organisations.size() && m_organisations[raw(id)].blocked;
}

std::optional<FairQueue::QueueEntry> FairQueue::first() const
{
    for (const auto &[number, priorityClass] : m_classes) {
        if (priorityClass.ready.empty())
            continue;
        const OrganisationId id = priorityClass.ready.begin()->second;
        const auto &job = *priorityClass.queues.at(id).jobs.begin();
        return QueueEntry{number, id, job.first, job.second};
    }
    return std::nullopt;
}

std::optional<FairQueue::QueueEntry> FairQueue::last() const
{
    for (auto priorityClass = m_classes.rbegin(); priorityClass != m_classes.rend(); ++priorityClass) {
        if (priorityClass->second.ready.empty())
            continue;
        const OrganisationId id = priorityClass->second.ready.rbegin()->second;
        const auto &job = *priorityClass->second.queues.at(id).jobs.rbegin();
        return QueueEntry{priorityClass->first, id, job.first, job.second};
    }
    return std::nullopt;
}

// FleetShare ----------------------------------------------------------------------------------------

void FleetShare::setPeers(std::span<const NodeInfo> live, std::string_view self, std::int64_t nowUs)
{
    for (auto &[name, node] : m_nodes)
        node.live = false;
    for (const NodeInfo &info : live) {
        if (info.name == self)
            continue;
        auto &node = m_nodes[info.name];
        node.live = true;
        node.lastSeenUs = nowUs;
    }
    absl::erase_if(m_nodes, [&](const auto &entry) {
        return !entry.second.live && nowUs - entry.second.lastSeenUs > nodeRetentionUs;
    });
}

void FleetShare::onReport(std::string_view name, std::span<const OrganisationDemand> demand, std::int64_t nowUs)
{
    const auto found = m_nodes.find(toKey(name));
    if (found == m_nodes.end())
        return;
    auto &node = found->second;
    node.lastReportUs = nowUs;
    node.demand.clear();
    for (const auto &entry : demand)
        node.demand[entry.organisation] = entry.running + entry.waiting;
}

void FleetShare::discardReport(std::string_view name)
{
    const auto found = m_nodes.find(toKey(name));
    if (found != m_nodes.end())
        found->second.lastReportUs = -1;
}

double FleetShare::share(double limit, std::string_view organisation, double ownDemand, std::int64_t nowUs) const
{
    std::uint32_t reportingNodes = 1;
    double total = ownDemand;
    for (const auto &[name, node] : m_nodes) {
        if (!node.live || node.lastReportUs < 0 || nowUs - node.lastReportUs > reportValidUs)
            continue;
        ++reportingNodes;
        const auto entry = node.demand.find(toKey(organisation));
        total += entry == node.demand.end() ? 0 : entry->second;
    }
    const double pool = limit * reportingNodes / knownNodes();
    if (reportingNodes == 1)
        return pool;
    if (total <= 0)
        return pool / reportingNodes;
    return pool * (evenShare / reportingNodes + (1 - evenShare) * ownDemand / total);
}

double FleetShare::wholeTaskShare(double limit, double part, std::string_view organisation, std::string_view self,
                                  std::int64_t wallMs) const
{
    if (limit * part >= 1 || limit < 1)
        return limit * part;
    const auto rotation = static_cast<std::uint64_t>(wallMs / rotationMs);
    const auto rank = [&](std::string_view node) {
        return XXH3_64bits_withSeed(node.data(), node.size(),
                                    XXH3_64bits_withSeed(organisation.data(), organisation.size(), rotation));
    };
    const std::uint64_t own = rank(self);
    const auto ahead = std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &entry) {
        const auto demand = entry.second.demand.find(toKey(organisation));
        const bool wants = entry.second.lastReportUs < 0 || (demand != entry.second.demand.end() && demand->second > 0);
        return wants && rank(entry.first) > own;
    });
    return static_cast<double>(ahead) < limit ? 1 : 0;
}

std::uint32_t FleetShare::knownNodes() const
{
    return static_cast<std::uint32_t>(m_nodes.size()) + 1;
}

// StartLimiter --------------------------------------------------------------------------------------

void StartLimiter::setShares(double concurrency, double ratePerS, std::int64_t nowUs)
{
    mayStart(nowUs); // fills the bucket at the old rate
    m_concurrency = concurrency;
    m_ratePerS = ratePerS;
    m_tokens = std::min(m_tokens, std::max(1.0, m_ratePerS * burstSeconds));
}

bool StartLimiter::mayStart(std::int64_t nowUs)
{
    if (nowUs > m_filledUs) {
        const double elapsedS = static_cast<double>(nowUs - m_filledUs) / usPerS;
        m_tokens = std::min(std::max(1.0, m_ratePerS * burstSeconds), m_tokens + elapsedS * m_ratePerS);
        m_filledUs = nowUs;
    }
    return m_tokens >= 1 && m_ratePerS > 0 && !isAtConcurrency();
}

void StartLimiter::onStart()
{
    m_tokens -= 1;
    ++m_running;
}

void StartLimiter::onEnd()
{
    assert(m_running > 0);
    --m_running;
}

double StartLimiter::tokens(std::int64_t nowUs) const
{
    const double elapsedS = static_cast<double>(std::max<std::int64_t>(0, nowUs - m_filledUs)) / usPerS;
    return std::min(std::max(1.0, m_ratePerS * burstSeconds), m_tokens + elapsedS * m_ratePerS);
}

std::int64_t StartLimiter::nextTokenUs() const
{
    if (m_tokens >= 1)
        return m_filledUs;
    if (m_ratePerS <= 0)
        return INT64_MAX;
    return m_filledUs + static_cast<std::int64_t>(std::ceil((1 - m_tokens) / m_ratePerS * usPerS)) + 1;
}

// RetryBudget ---------------------------------------------------------------------------------------

void RetryBudget::advance(std::int64_t nowUs)
{
    const std::int64_t bucket = nowUs / bucketUs;
    const std::int64_t steps = std::min<std::int64_t>(bucket - m_currentBucket, bucketCount);
    for (std::int64_t i = 0; i < steps; ++i) {
        const std::size_t index = static_cast<std::size_t>(bucket - i) % bucketCount;
        m_firstAttemptSum -= m_firstAttempts[index];
        m_retrySum -= m_retries[index];
        m_firstAttempts[index] = m_retries[index] = 0;
    }
    m_currentBucket = std::max(m_currentBucket, bucket);
}

void RetryBudget::onFirstAttempt(std::int64_t nowUs)
{
    advance(nowUs);
    ++m_firstAttempts[static_cast<std::size_t>(m_currentBucket) % bucketCount];
    ++m_firstAttemptSum;
}

bool RetryBudget::takeRetry(double percent, std::int64_t nowUs)
{
    advance(nowUs);
    // The oldest bucket may lie outside the window: its retries count, its first attempts do not.
    const std::uint32_t oldest = m_firstAttempts[static_cast<std::size_t>(m_currentBucket + 1) % bucketCount];
    const double budget = percent / 100 * usableBudgetShare * (m_firstAttemptSum - oldest);
    if (percent <= 0 || m_retrySum + 1 > std::max(budget, minRetriesPerWindow))
        return false;
    ++m_retries[static_cast<std::size_t>(m_currentBucket) % bucketCount];
    ++m_retrySum;
    return true;
}

// Backoff -------------------------------------------------------------------------------------------

std::int64_t backoffUs(std::uint32_t attempt, std::mt19937_64 &random)
{
    const std::uint32_t doublings = std::min(attempt > 0 ? attempt - 1 : 0, 10u);
    const std::int64_t longest = std::min(firstBackoffUs << doublings, maxBackoffUs);
    return longest / 2 + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(longest / 2 + 1));
}

} // namespace clementinelift::core
