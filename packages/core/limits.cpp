#include "core/limits.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace clementinelift::core {

namespace {

// Abseil of this release has its own string_view, which its look-ups take.
absl::string_view toKey(std::string_view text)
{
    return {text.data(), text.size()};
}

constexpr std::int64_t reportValidUs = 3 * usPerS;
constexpr std::int64_t rememberNodeUs =
        300 * usPerS;                     // a peer that is not live any more keeps its fixed share this long
constexpr double evenPart = 0.2;          // of the pool, divided evenly so that new demand can start
constexpr std::int64_t turnMs = 2000;     // of limits below the number of entry VMs that want a part
constexpr double savedUs = 10.0 * usPerS; // of service that an organisation may save up
constexpr double burstS = 0.25;           // seconds of rate that may start at once
constexpr double freeRetries = 5;         // in each window
constexpr double usableBudget = 0.9;      // of the budget: windows that start between two slots stay below it
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

void FairQueue::insert(const Place &place)
{
    auto &group = m_classes[place.priorityClass];
    auto &lane = group.lanes[place.organisation];
    if (lane.jobs.empty()) {
        // A lane that was idle or below its share saves up a bounded amount, so that its next job is not spread out
        // between the tasks of an organisation with a long backlog.
        lane.virtualTime =
                std::max(lane.virtualTime, group.virtualTime - savedUs / organisation(place.organisation).weight);
        if (!organisation(place.organisation).blocked)
            group.ready.emplace(lane.virtualTime, place.organisation);
    }
    lane.jobs.emplace(place.deadlineUs, place.job);
}

void FairQueue::erase(const Place &place)
{
    const auto found = m_classes.find(place.priorityClass);
    if (found == m_classes.end())
        return;
    auto &lane = found->second.lanes[place.organisation];
    lane.jobs.erase({place.deadlineUs, place.job});
    if (lane.jobs.empty())
        found->second.ready.erase({lane.virtualTime, place.organisation});
}

void FairQueue::charge(const Place &place, double costUs)
{
    auto &group = m_classes[place.priorityClass];
    auto &lane = group.lanes[place.organisation];
    const bool wasReady = group.ready.erase({lane.virtualTime, place.organisation}) > 0;
    group.virtualTime = std::max(group.virtualTime, lane.virtualTime);
    lane.virtualTime += costUs / organisation(place.organisation).weight;
    if (wasReady)
        group.ready.emplace(lane.virtualTime, place.organisation);
}

void FairQueue::block(OrganisationId id)
{
    organisation(id).blocked = true;
    for (auto &[number, group] : m_classes)
        if (const auto lane = group.lanes.find(id); lane != group.lanes.end())
            group.ready.erase({lane->second.virtualTime, id});
}

void FairQueue::unblock(OrganisationId id)
{
    organisation(id).blocked = false;
    for (auto &[number, group] : m_classes)
        if (const auto lane = group.lanes.find(id); lane != group.lanes.end() && !lane->second.jobs.empty())
            group.ready.emplace(lane->second.virtualTime, id);
}

bool FairQueue::isBlocked(OrganisationId id) const
{
    return raw(id) < m_organisations.size() && m_organisations[raw(id)].blocked;
}

std::optional<FairQueue::Place> FairQueue::first() const
{
    for (const auto &[number, group] : m_classes) {
        if (group.ready.empty())
            continue;
        const OrganisationId id = group.ready.begin()->second;
        const auto &job = *group.lanes.at(id).jobs.begin();
        return Place{number, id, job.first, job.second};
    }
    return std::nullopt;
}

std::optional<FairQueue::Place> FairQueue::last() const
{
    for (auto group = m_classes.rbegin(); group != m_classes.rend(); ++group) {
        if (group->second.ready.empty())
            continue;
        const OrganisationId id = group->second.ready.rbegin()->second;
        const auto &job = *group->second.lanes.at(id).jobs.rbegin();
        return Place{group->first, id, job.first, job.second};
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
        return !entry.second.live && nowUs - entry.second.lastSeenUs > rememberNodeUs;
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

void FleetShare::forget(std::string_view name)
{
    const auto found = m_nodes.find(toKey(name));
    if (found != m_nodes.end())
        found->second.lastReportUs = -1;
}

double FleetShare::share(double limit, std::string_view organisation, double ownDemand, std::int64_t nowUs) const
{
    std::uint32_t heard = 1;
    double total = ownDemand;
    for (const auto &[name, node] : m_nodes) {
        if (!node.live || node.lastReportUs < 0 || nowUs - node.lastReportUs > reportValidUs)
            continue;
        ++heard;
        const auto entry = node.demand.find(toKey(organisation));
        total += entry == node.demand.end() ? 0 : entry->second;
    }
    const double pool = limit * heard / knownNodes();
    if (heard == 1)
        return pool;
    if (total <= 0)
        return pool / heard;
    return pool * (evenPart / heard + (1 - evenPart) * ownDemand / total);
}

double FleetShare::wholeShare(double limit, double part, std::string_view organisation, std::string_view self,
                              std::int64_t wallMs) const
{
    if (limit * part >= 1 || limit < 1)
        return limit * part;
    const auto turn = static_cast<std::uint64_t>(wallMs / turnMs);
    const auto rank = [&](std::string_view node) {
        return XXH3_64bits_withSeed(node.data(), node.size(),
                                    XXH3_64bits_withSeed(organisation.data(), organisation.size(), turn));
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
    m_tokens = std::min(m_tokens, std::max(1.0, m_ratePerS * burstS));
}

bool StartLimiter::mayStart(std::int64_t nowUs)
{
    if (nowUs > m_filledUs) {
        const double elapsedS = static_cast<double>(nowUs - m_filledUs) / usPerS;
        m_tokens = std::min(std::max(1.0, m_ratePerS * burstS), m_tokens + elapsedS * m_ratePerS);
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
    return std::min(std::max(1.0, m_ratePerS * burstS), m_tokens + elapsedS * m_ratePerS);
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
    const std::int64_t slot = nowUs / slotUs;
    const std::int64_t steps = std::min<std::int64_t>(slot - m_slot, slotCount);
    for (std::int64_t i = 0; i < steps; ++i) {
        const std::size_t index = static_cast<std::size_t>(slot - i) % slotCount;
        m_firstSum -= m_first[index];
        m_retrySum -= m_retries[index];
        m_first[index] = m_retries[index] = 0;
    }
    m_slot = std::max(m_slot, slot);
}

void RetryBudget::onFirst(std::int64_t nowUs)
{
    advance(nowUs);
    ++m_first[static_cast<std::size_t>(m_slot) % slotCount];
    ++m_firstSum;
}

bool RetryBudget::takeRetry(double percent, std::int64_t nowUs)
{
    advance(nowUs);
    // The oldest slot may lie outside the window: its first attempts do not count, its retries do.
    const std::uint32_t oldest = m_first[static_cast<std::size_t>(m_slot + 1) % slotCount];
    const double budget = percent / 100 * usableBudget * (m_firstSum - oldest);
    if (percent <= 0 || m_retrySum + 1 > std::max(budget, freeRetries))
        return false;
    ++m_retries[static_cast<std::size_t>(m_slot) % slotCount];
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
