#include "core/ownership.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace clementinelift::core {

namespace {

constexpr std::int64_t firstClaimLookbackMs = 10000;      // a first claim covers keys that callers already hold
constexpr std::int64_t plansPerExtendPeriod = 5;          // plan() looks for due partitions every grantExtendMs / 5
constexpr std::int64_t expiryStepsPerHorizon = 16;        // expired intervals are removed in steps of horizon / 16
constexpr std::int64_t claimsPerExtendPeriod = 2;         // a lost claim is repeated after grantExtendMs / 2
constexpr std::int64_t maxClaimsPerExtendPeriod = 2;      // a claim shorter than grantExtendMs / 2 waits
constexpr std::int64_t releaseRetentionMs = 24 * 3600000; // until then, late grants of a released incarnation are void
constexpr std::uint64_t nodeNamesHashSeed = 0x6f776e6572736869; // differs from the seeds of partition hashes

} // namespace

// OwnershipTable ------------------------------------------------------------------------------------

OwnershipTable::OwnershipTable(std::int64_t horizonMs, std::int64_t maxProgressStepMs)
    : m_horizonMs(horizonMs), m_maxProgressStepMs(maxProgressStepMs), m_intervals(partitionCount)
{
    assert(horizonMs > 0 && maxProgressStepMs > 0);
}

void OwnershipTable::apply(const GrantRecord &grant, std::int64_t recordTimeMs)
{
    if (m_isEmpty && m_hasLostRecords)
        m_floorAfterResetMs = std::max(m_floorAfterResetMs, recordTimeMs + m_maxProgressStepMs);
    m_isEmpty = false;
    const std::int64_t toMs = std::min(grant.toMs, recordTimeMs + m_maxProgressStepMs);
    if (isReleased(grant.incarnation) || raw(grant.incarnation) == 0 || toMs <= grant.fromMs)
        return;
    m_progressMs = std::max(m_progressMs, toMs);
    const std::int64_t fromMs = std::max({grant.fromMs, recordTimeMs - m_horizonMs, m_progressMs - m_horizonMs});
    if (fromMs >= toMs)
        return;
    Grantee &grantee = m_grantees[grant.incarnation];
    grantee.node = grant.node;
    grantee.address = grant.address;
    grantee.maxToMs = std::max(grantee.maxToMs, toMs);
    for (std::uint32_t partition = 0; partition < partitionCount; ++partition) {
        if (grant.partitions[partition])
            addInterval(m_intervals[partition], {fromMs, toMs, grant.incarnation});
    }
    removeExpiredIntervals();
}

void OwnershipTable::apply(const ReleaseRecord &release)
{
    m_isEmpty = m_isEmpty && m_hasLostRecords; // a release has no record time to compute m_floorAfterResetMs from
    Grantee &grantee = m_grantees[release.incarnation];
    if (grantee.releasedAtMs >= 0)
        return;
    grantee.releasedAtMs = std::max<std::int64_t>(release.atMs, 0);
    for (auto &intervals : m_intervals) {
        for (Interval &interval : intervals) {
            if (interval.incarnation == release.incarnation)
                interval.toMs = std::min(interval.toMs, release.atMs);
        }
        std::erase_if(intervals, [](const Interval &interval) { return interval.fromMs >= interval.toMs; });
    }
}

void OwnershipTable::reset()
{
    m_hasLostRecords = m_hasLostRecords || !m_isEmpty;
    m_isEmpty = true;
    for (auto &intervals : m_intervals)
        intervals.clear();
}

OwnerLookup OwnershipTable::find(std::uint32_t partition, std::int64_t issueMs) const
{
    assert(partition < partitionCount);
    if (issueMs < floorMs())
        return {Coverage::TooOld, {}, {}, {}};
    const auto &intervals = m_intervals[partition];
    const auto after = std::upper_bound(intervals.begin(), intervals.end(), issueMs,
                                        [](std::int64_t at, const Interval &interval) { return at < interval.fromMs; });
    if (after == intervals.begin() || std::prev(after)->toMs <= issueMs)
        return {};
    const Incarnation owner = std::prev(after)->incarnation;
    const Grantee &grantee = m_grantees.at(owner);
    return {Coverage::Owned, owner, grantee.node, grantee.address};
}

std::int64_t OwnershipTable::coverageEndMs(std::uint32_t partition) const
{
    assert(partition < partitionCount);
    return m_intervals[partition].empty() ? 0 : m_intervals[partition].back().toMs;
}

std::int64_t OwnershipTable::progressMs() const
{
    return m_progressMs;
}

std::int64_t OwnershipTable::floorMs() const
{
    return std::max(m_progressMs - m_horizonMs, m_floorAfterResetMs);
}

bool OwnershipTable::isReleased(Incarnation incarnation) const
{
    const auto grantee = m_grantees.find(incarnation);
    return grantee != m_grantees.end() && grantee->second.releasedAtMs >= 0;
}

std::size_t OwnershipTable::intervalCount() const
{
    std::size_t count = 0;
    for (const auto &intervals : m_intervals)
        count += intervals.size();
    return count;
}

std::int64_t OwnershipTable::firstGapMs(std::uint32_t partition, std::int64_t minIssueMs) const
{
    std::int64_t gap = 0;
    for (const Interval &interval : m_intervals[partition]) {
        if (interval.toMs <= minIssueMs)
            continue;
        if (gap != 0 && interval.fromMs > gap)
            return gap;
        gap = interval.toMs;
    }
    return gap;
}

// Inserts the parts of added that no interval covers yet, and joins neighbours of the same incarnation.
void OwnershipTable::addInterval(std::vector<Interval> &intervals, Interval added)
{
    std::vector<Interval> merged;
    merged.reserve(intervals.size() + 1);
    const auto append = [&merged](const Interval &next) {
        if (next.fromMs >= next.toMs)
            return;
        if (!merged.empty() && merged.back().incarnation == next.incarnation && merged.back().toMs == next.fromMs)
            merged.back().toMs = next.toMs;
        else
            merged.push_back(next);
    };
    for (const Interval &interval : intervals) {
        append({added.fromMs, std::min(added.toMs, interval.fromMs), added.incarnation});
        append(interval);
        added.fromMs = std::max(added.fromMs, interval.toMs);
    }
    append(added);
    intervals = std::move(merged);
}

void OwnershipTable::removeExpiredIntervals()
{
    const std::int64_t floor = m_progressMs - m_horizonMs;
    if (floor < m_expiredBelowMs + m_horizonMs / expiryStepsPerHorizon)
        return;
    m_expiredBelowMs = floor;
    for (auto &intervals : m_intervals)
        std::erase_if(intervals, [floor](const Interval &interval) { return interval.toMs <= floor; });
    absl::erase_if(m_grantees, [floor](const auto &entry) {
        const Grantee &grantee = entry.second;
        return grantee.maxToMs <= floor
                && grantee.releasedAtMs <= (grantee.releasedAtMs < 0 ? 0 : floor - releaseRetentionMs);
    });
}

// GrantPlanner --------------------------------------------------------------------------------------

std::size_t preferredOwner(std::span<const NodeInfo> nodes, std::uint32_t partition)
{
    assert(!nodes.empty());
    std::size_t best = 0;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const std::uint64_t weight = XXH3_64bits_withSeed(nodes[i].name.data(), nodes[i].name.size(), partition);
        if (i == 0 || weight > bestWeight || (weight == bestWeight && nodes[i].name < nodes[best].name)) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

GrantPlanner::GrantPlanner(const CoreSettings &settings) : m_settings(settings), m_nextClaimUs(partitionCount, 0)
{
    assert(settings.grantAheadMs > settings.grantExtendMs && settings.grantExtendMs > 0);
}

std::vector<GrantRecord> GrantPlanner::plan(const OwnershipTable &table, std::span<const NodeInfo> live, Now now,
                                            std::int64_t clockErrorMs)
{
    if (m_released || now.monoUs < m_nextPlanUs)
        return {};
    m_nextPlanUs = now.monoUs + m_settings.grantExtendMs * usPerMs / plansPerExtendPeriod;
    updateOwnPartitions(live);

    const bool isClockTrusted = std::abs(clockErrorMs) <= m_settings.futureSkewMs;
    const std::int64_t nowMs = isClockTrusted ? now.wallMs : now.wallMs - clockErrorMs;
    std::int64_t toMs = nowMs + m_settings.grantAheadMs;
    if (!isClockTrusted)
        toMs = std::min(toMs, table.progressMs());
    const std::int64_t minIssueMs = std::max(nowMs - m_settings.dedupeHorizonMs, table.floorMs());

    GrantRecord extension;
    extension.node = m_settings.self.name;
    extension.address = m_settings.self.address;
    extension.incarnation = m_settings.self.incarnation;
    extension.fromMs = toMs;
    extension.toMs = toMs;
    GrantRecord firstClaim = extension;
    firstClaim.fromMs = std::max(nowMs - firstClaimLookbackMs, minIssueMs);
    bool isDue = false;
    for (std::uint32_t partition = 0; partition < partitionCount; ++partition) {
        if (!m_ownPartitions[partition] || now.monoUs < m_nextClaimUs[partition])
            continue;
        const std::int64_t gapMs = table.firstGapMs(partition, minIssueMs);
        const std::int64_t length = toMs - (gapMs == 0 ? firstClaim.fromMs : gapMs);
        if (length <= 0 || length < m_settings.grantExtendMs / maxClaimsPerExtendPeriod)
            continue;
        isDue = isDue || length >= m_settings.grantExtendMs;
        if (gapMs == 0) {
            firstClaim.partitions.set(partition);
        } else {
            extension.partitions.set(partition);
            extension.fromMs = std::min(extension.fromMs, gapMs);
        }
    }
    std::vector<GrantRecord> records;
    if (!isDue)
        return records;
    const std::int64_t nextClaimUs = now.monoUs + m_settings.grantExtendMs * usPerMs / claimsPerExtendPeriod;
    for (GrantRecord *record : {&extension, &firstClaim}) {
        if (record->partitions.none())
            continue;
        for (std::uint32_t partition = 0; partition < partitionCount; ++partition) {
            if (record->partitions[partition])
                m_nextClaimUs[partition] = nextClaimUs;
        }
        records.push_back(std::move(*record));
    }
    return records;
}

ReleaseRecord GrantPlanner::release(std::int64_t atMs)
{
    m_released = true;
    return {m_settings.self.incarnation, atMs};
}

std::int64_t GrantPlanner::nextPlanUs() const
{
    return m_released ? std::numeric_limits<std::int64_t>::max() : m_nextPlanUs;
}

void GrantPlanner::updateOwnPartitions(std::span<const NodeInfo> live)
{
    std::uint64_t namesHash = nodeNamesHashSeed;
    for (const NodeInfo &node : live)
        namesHash = XXH3_64bits_withSeed(node.name.data(), node.name.size(), namesHash);
    if (namesHash == m_nodeNamesHash)
        return;
    m_nodeNamesHash = namesHash;
    m_ownPartitions.reset();
    if (live.empty())
        return;
    for (std::uint32_t partition = 0; partition < partitionCount; ++partition)
        m_ownPartitions.set(partition, live[preferredOwner(live, partition)].name == m_settings.self.name);
}

} // namespace clementinelift::core
