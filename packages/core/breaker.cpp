#include "core/breaker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace clementinelift::core {

namespace {

constexpr std::int64_t togetherUs = 700 * usPerMs; // trips within this window count as one event
constexpr std::uint32_t tripsToMove = 3;           // before a group is corrected
constexpr double shareToMove = 0.6;                // of the trips that must agree

constexpr std::uint32_t badInRowToCut = 2;
constexpr std::uint32_t badInRowToOpen = 4;
constexpr double badShareToCut = 0.5;
constexpr double badShareRate = 0.15;
constexpr double cutFactor = 0.5;
constexpr double stepUp = 1.0; // limit gained by each good attempt
constexpr std::int64_t minBackoffUs = 500 * usPerMs;
constexpr std::int64_t maxBackoffUs = 4 * usPerS;
constexpr std::int64_t maxGroupBackoffUs = 1500 * usPerMs;
constexpr std::int64_t probeTimeoutUs = 2 * usPerS;
constexpr double jitterShare = 0.2;

constexpr double groupDecayUs = 500.0 * usPerMs; // time constant of the counts of signals
constexpr double groupBadToCut = 2.5;
constexpr std::uint32_t groupMembersToCut = 2;
constexpr std::int64_t groupCutEveryUs = 40 * usPerMs;

std::uint64_t pairKey(BackendId a, BackendId b)
{
    const auto [low, high] = std::minmax({raw(a), raw(b)}); // by value: raw() returns temporaries
    return static_cast<std::uint64_t>(low) << 32 | high;
}

} // namespace

// GroupCorrector ------------------------------------------------------------------------------------

void GroupCorrector::add(BackendId id, std::uint32_t group)
{
    assert(raw(id) == m_members.size());
    m_members.push_back(Member{.group = group});
    if (group >= m_groupSizes.size())
        m_groupSizes.resize(group + 1);
    ++m_groupSizes[group];
}

std::vector<GroupMove> GroupCorrector::onTrip(BackendId id, std::int64_t nowUs)
{
    std::vector<GroupMove> moved;
    judgeOldTrips(nowUs, moved);
    auto &member = m_members[raw(id)];
    if (member.lastTripUs >= 0 && nowUs - member.lastTripUs < togetherUs)
        return moved;
    ++member.trips;
    member.lastTripUs = nowUs;
    for (const Trip &trip : m_recent) {
        auto &other = m_members[raw(trip.backend)];
        const std::uint32_t together = ++m_together[pairKey(id, trip.backend)];
        if (other.group == member.group || together < tripsToMove)
            continue;
        if (together < shareToMove * member.trips || together < shareToMove * other.trips)
            continue;
        // The member of the smaller group moves, so that a correction never splits a larger one.
        const bool moveSelf = m_groupSizes[member.group] <= m_groupSizes[other.group];
        auto &mover = moveSelf ? member : other;
        moved.push_back(GroupMove{moveSelf ? id : trip.backend, mover.group});
        --m_groupSizes[mover.group];
        mover.group = moveSelf ? other.group : member.group;
        ++m_groupSizes[mover.group];
    }
    m_recent.push_back(Trip{nowUs, id});
    return moved;
}

void GroupCorrector::judgeOldTrips(std::int64_t nowUs, std::vector<GroupMove> &moved)
{
    while (!m_recent.empty() && nowUs - m_recent.front().atUs > togetherUs) {
        const Trip trip = m_recent.front();
        m_recent.pop_front();
        auto &member = m_members[raw(trip.backend)];
        bool lonely = m_groupSizes[member.group] > 1;
        for (std::size_t i = 0; i < m_members.size() && lonely; ++i) {
            const Member &other = m_members[i];
            lonely = i == raw(trip.backend) || other.group != member.group || other.lastTripUs < 0
                    || std::abs(other.lastTripUs - trip.atUs) > togetherUs;
        }
        member.lonelyTrips += lonely ? 1 : 0;
        if (!lonely || member.lonelyTrips < tripsToMove || member.lonelyTrips < shareToMove * member.trips)
            continue;
        moved.push_back(GroupMove{trip.backend, member.group});
        --m_groupSizes[member.group];
        member.group = static_cast<std::uint32_t>(m_groupSizes.size());
        member.lonelyTrips = 0;
        m_groupSizes.push_back(1);
    }
}

// BreakerBoard --------------------------------------------------------------------------------------

BreakerBoard::BreakerBoard(std::uint64_t seed) : m_random(seed) {}

void BreakerBoard::add(BackendId id, std::string_view rack)
{
    assert(raw(id) == m_breakers.size());
    const auto [entry, isNew] =
            m_byRack.try_emplace(std::string(rack), static_cast<std::uint32_t>(m_groupStates.size()));
    if (isNew)
        m_groupStates.emplace_back();
    m_groups.add(id, entry->second);
    m_groupStates[entry->second].members.push_back(id);
    m_breakers.emplace_back();
}

void BreakerBoard::setCapacity(BackendId id, std::uint32_t slots)
{
    auto &breaker = m_breakers[raw(id)];
    auto &group = groupOf(id);
    const bool wasFull = breaker.limit >= breaker.capacity;
    const bool groupWasFull = group.limit >= group.capacity;
    group.capacity = group.capacity - breaker.capacity + slots;
    breaker.capacity = slots;
    if (wasFull || breaker.limit > slots)
        breaker.limit = slots;
    if (groupWasFull || group.limit > group.capacity)
        group.limit = group.capacity;
    m_changed.push_back(id);
}

void BreakerBoard::setUsable(BackendId id, bool usable)
{
    m_breakers[raw(id)].usable = usable;
    m_changed.push_back(id);
}

std::uint32_t BreakerBoard::allowed(BackendId id) const
{
    const auto &breaker = m_breakers[raw(id)];
    const auto &group = groupOf(id);
    const auto room = [](double limit, std::uint32_t inProgress) {
        return limit > inProgress ? static_cast<std::uint32_t>(limit) - inProgress : 0;
    };
    if (!breaker.usable || group.state == BreakerState::Open)
        return 0;
    if (group.state == BreakerState::HalfOpen)
        return group.probe == id && group.probed && group.inProgress == 0 ? 1 : 0;
    if (breaker.state == BreakerState::Open)
        return 0;
    const bool groupCut = group.limit < group.capacity;
    const std::uint32_t groupRoom = groupCut ? room(group.limit, group.inProgress) : UINT32_MAX;
    if (breaker.state == BreakerState::HalfOpen)
        return breaker.probed && breaker.inProgress == 0 ? std::min(1u, groupRoom) : 0;
    // A full breaker does not bound at all: borrowed slots come on top of the own capacity.
    const bool cut = breaker.limit < breaker.capacity;
    return std::min(cut ? room(breaker.limit, breaker.inProgress) : UINT32_MAX, groupRoom);
}

BreakerState BreakerBoard::state(BackendId id) const
{
    return m_breakers[raw(id)].state;
}

BreakerState BreakerBoard::groupState(BackendId id) const
{
    return groupOf(id).state;
}

std::uint32_t BreakerBoard::groupLimit(BackendId id) const
{
    const auto &group = groupOf(id);
    return group.state == BreakerState::Closed ? static_cast<std::uint32_t>(group.limit)
                                               : (group.state == BreakerState::HalfOpen ? 1 : 0);
}

std::int64_t BreakerBoard::jitter(std::int64_t us)
{
    const double unit = static_cast<double>(m_random() >> 11) * 0x1p-53;
    return us + static_cast<std::int64_t>(static_cast<double>(us) * jitterShare * (2 * unit - 1));
}

void BreakerBoard::markGroup(const Group &group)
{
    m_changed.insert(m_changed.end(), group.members.begin(), group.members.end());
}

void BreakerBoard::takeChanged(std::vector<BackendId> &changed)
{
    changed.clear();
    changed.swap(m_changed);
}

void BreakerBoard::move(BackendId id, std::uint32_t from)
{
    auto &old = m_groupStates[from];
    std::erase(old.members, id);
    const auto &breaker = m_breakers[raw(id)];
    old.capacity -= breaker.capacity;
    old.limit = std::min(old.limit, static_cast<double>(old.capacity));
    old.inProgress -= std::min(old.inProgress, breaker.inProgress);
    if (m_groups.group(id) >= m_groupStates.size())
        m_groupStates.resize(m_groups.group(id) + 1);
    auto &joined = groupOf(id);
    const bool wasFull = joined.limit >= joined.capacity;
    joined.members.push_back(id);
    joined.capacity += breaker.capacity;
    joined.inProgress += breaker.inProgress;
    if (wasFull)
        joined.limit = joined.capacity;
    if (m_groupStates[from].state == BreakerState::HalfOpen && m_groupStates[from].probe == id)
        m_groupStates[from].state = BreakerState::Open;
    markGroup(m_groupStates[from]);
    markGroup(joined);
}

void BreakerBoard::onStart(BackendId id, std::int64_t)
{
    ++m_breakers[raw(id)].inProgress;
    auto &group = groupOf(id);
    ++group.inProgress;
    m_changed.push_back(id);
    if (group.limit < group.capacity || group.state != BreakerState::Closed)
        markGroup(group);
}

void BreakerBoard::onEnd(BackendId id, Signal signal, std::int64_t startUs, std::int64_t nowUs)
{
    auto &breaker = m_breakers[raw(id)];
    auto &group = groupOf(id);
    if (startUs >= breaker.epochUs && breaker.inProgress > 0)
        --breaker.inProgress;
    if (startUs >= group.epochUs && group.inProgress > 0)
        --group.inProgress;
    const double age = static_cast<double>(nowUs - group.decayedUs);
    const double decay = std::exp(-age / groupDecayUs);
    group.good *= decay;
    group.bad *= decay;
    group.decayedUs = nowUs;
    m_changed.push_back(id);
    if (group.limit < group.capacity || group.state != BreakerState::Closed)
        markGroup(group);
    if (signal == Signal::Good)
        onGood(id, nowUs);
    else if (signal != Signal::Neutral)
        onBad(id, signal, startUs, nowUs);
}

void BreakerBoard::onGood(BackendId id, std::int64_t nowUs)
{
    auto &breaker = m_breakers[raw(id)];
    auto &group = groupOf(id);
    group.good += 1;
    breaker.badInRow = 0;
    breaker.badShare -= badShareRate * breaker.badShare;
    if (group.state == BreakerState::HalfOpen && group.probe == id && group.probed) {
        reopenGroup(group, nowUs);
        return;
    }
    if (group.state != BreakerState::Closed)
        return;
    if (group.limit < group.capacity)
        group.limit = std::min(group.limit + stepUp, static_cast<double>(group.capacity));
    if (group.limit >= group.capacity)
        group.backoffUs = 0;
    if (breaker.state == BreakerState::HalfOpen && breaker.probed) {
        breaker.state = BreakerState::Closed;
        breaker.limit = 1;
    } else if (breaker.state == BreakerState::Closed && breaker.limit < breaker.capacity) {
        breaker.limit = std::min(breaker.limit + stepUp, static_cast<double>(breaker.capacity));
    }
    if (breaker.state == BreakerState::Closed && breaker.limit >= breaker.capacity)
        breaker.backoffUs = 0;
}

void BreakerBoard::onBad(BackendId id, Signal signal, std::int64_t startUs, std::int64_t nowUs)
{
    auto &breaker = m_breakers[raw(id)];
    auto &group = groupOf(id);
    group.bad += 1;
    breaker.lastBadUs = nowUs;
    if (group.state == BreakerState::HalfOpen && group.probe == id && group.probed && startUs >= group.epochUs) {
        openGroup(group, nowUs);
        return;
    }
    if (group.state == BreakerState::Closed)
        cutGroup(id, nowUs);
    if (startUs < breaker.epochUs)
        return;
    if (breaker.state == BreakerState::HalfOpen) {
        open(breaker, nowUs);
        return;
    }
    if (breaker.state == BreakerState::Open)
        return;
    if (signal == Signal::Bad) {
        ++breaker.badInRow;
        breaker.badShare += badShareRate * (1 - breaker.badShare);
    }
    const bool cut = signal == Signal::Slow || breaker.badInRow >= badInRowToCut || breaker.badShare > badShareToCut;
    if (!cut || (startUs < breaker.lastCutUs && breaker.badInRow < badInRowToOpen))
        return;
    breaker.lastCutUs = nowUs;
    const double inUse = std::min<double>(breaker.limit, breaker.inProgress + 1);
    breaker.limit = std::max(1.0, inUse * cutFactor);
    if (breaker.badInRow >= badInRowToOpen || (breaker.limit <= 1 && breaker.badShare > badShareToCut))
        open(breaker, nowUs);
    trip(id, nowUs);
}

// Records the trip for the correction of groups.
void BreakerBoard::trip(BackendId id, std::int64_t nowUs)
{
    for (const GroupMove &moved : m_groups.onTrip(id, nowUs)) {
        move(moved.backend, moved.from);
        ++m_corrections;
    }
}

void BreakerBoard::open(Breaker &breaker, std::int64_t nowUs)
{
    breaker.state = BreakerState::Open;
    breaker.backoffUs = std::clamp(breaker.backoffUs * 2, minBackoffUs, maxBackoffUs);
    breaker.retryAtUs = nowUs + jitter(breaker.backoffUs);
    breaker.epochUs = nowUs + 1;
    breaker.inProgress = 0;
    breaker.badInRow = 0;
    breaker.probed = false;
    wakeAt(breaker.retryAtUs);
}

void BreakerBoard::requireProbe(BackendId id, std::int64_t nowUs)
{
    Breaker &breaker = m_breakers[raw(id)];
    if (breaker.state != BreakerState::Closed || !breaker.usable)
        return;
    open(breaker, nowUs);
    breaker.retryAtUs = nowUs;
    wakeAt(nowUs);
    m_changed.push_back(id);
}

void BreakerBoard::cutGroup(BackendId id, std::int64_t nowUs)
{
    auto &group = groupOf(id);
    if (group.members.size() < 2 || group.bad < groupBadToCut || group.bad < group.good
        || nowUs - group.lastCutUs < groupCutEveryUs)
        return;
    const auto badMembers = std::count_if(group.members.begin(), group.members.end(), [&](BackendId member) {
        const auto at = m_breakers[raw(member)].lastBadUs;
        return at >= 0 && nowUs - at < togetherUs;
    });
    if (badMembers < static_cast<std::ptrdiff_t>(groupMembersToCut)
        || badMembers * 4 < static_cast<std::ptrdiff_t>(group.members.size()))
        return;
    group.lastCutUs = nowUs;
    group.limit = std::min<double>(group.limit, group.inProgress + 1) * cutFactor;
    if (group.limit < 1)
        openGroup(group, nowUs);
    markGroup(group);
}

void BreakerBoard::openGroup(Group &group, std::int64_t nowUs)
{
    group.state = BreakerState::Open;
    group.limit = 0;
    group.backoffUs = std::clamp(group.backoffUs * 3 / 2, minBackoffUs, maxGroupBackoffUs);
    group.retryAtUs = nowUs + jitter(group.backoffUs);
    group.epochUs = nowUs + 1;
    group.inProgress = 0;
    group.probed = false;
    wakeAt(group.retryAtUs);
    markGroup(group);
}

// After a good probe the limit of the group restarts at two, and members that had tripped start with one attempt.
void BreakerBoard::reopenGroup(Group &group, std::int64_t nowUs)
{
    group.state = BreakerState::Closed;
    group.limit = std::min(2.0, static_cast<double>(group.capacity));
    group.good = group.bad = 0;
    group.lastCutUs = nowUs;
    for (const BackendId id : group.members) {
        auto &member = m_breakers[raw(id)];
        member.state = BreakerState::Closed;
        member.limit = std::min(1.0, static_cast<double>(member.capacity));
        member.epochUs = nowUs;
        member.inProgress = 0;
        member.badInRow = 0;
        member.badShare = 0;
        member.backoffUs = 0;
    }
    markGroup(group);
}

void BreakerBoard::onProbed(BackendId id, bool healthy, std::int64_t nowUs)
{
    auto &group = groupOf(id);
    auto &breaker = m_breakers[raw(id)];
    m_changed.push_back(id);
    if (group.state == BreakerState::HalfOpen && group.probe == id && !group.probed) {
        if (healthy)
            group.probed = true;
        else
            openGroup(group, nowUs);
    } else if (breaker.state == BreakerState::HalfOpen && !breaker.probed) {
        if (healthy)
            breaker.probed = true;
        else
            open(breaker, nowUs);
    }
}

void BreakerBoard::onTimer(std::int64_t nowUs, std::vector<BackendId> &probes)
{
    if (nowUs < m_nextTimerUs)
        return;
    m_nextTimerUs = INT64_MAX;
    for (auto &group : m_groupStates) {
        if (group.state == BreakerState::Closed)
            continue;
        const bool due = nowUs >= group.retryAtUs && !group.probed;
        if (due) {
            std::vector<BackendId> usable;
            std::copy_if(group.members.begin(), group.members.end(), std::back_inserter(usable),
                         [&](BackendId id) { return m_breakers[raw(id)].usable && m_breakers[raw(id)].capacity > 0; });
            group.retryAtUs = nowUs + probeTimeoutUs;
            if (!usable.empty()) {
                group.probe = usable[m_random() % usable.size()];
                group.state = BreakerState::HalfOpen;
                group.epochUs = nowUs;
                group.inProgress = 0;
                probes.push_back(group.probe);
            }
        }
        if (!group.probed)
            wakeAt(group.retryAtUs);
    }
    for (std::uint32_t i = 0; i < m_breakers.size(); ++i) {
        auto &breaker = m_breakers[i];
        if (breaker.state == BreakerState::Closed || breaker.probed || !breaker.usable)
            continue;
        // While the group is open, its probe decides for all members.
        if (nowUs >= breaker.retryAtUs && groupOf(BackendId(i)).state == BreakerState::Closed) {
            breaker.state = BreakerState::HalfOpen;
            breaker.retryAtUs = nowUs + probeTimeoutUs;
            breaker.epochUs = nowUs;
            breaker.inProgress = 0;
            probes.push_back(BackendId(i));
        }
        wakeAt(std::max(breaker.retryAtUs, nowUs + minBackoffUs / 5));
    }
}

} // namespace clementinelift::core
