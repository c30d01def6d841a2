#include "command/evacuation.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

// No task may be started in a zone 5,000 ms after its evacuation was requested. A request is usually read within 2,000
// ms, and a pause of this length leaves 2,000 ms for a slow store.
constexpr TimeUs maxUnconfirmedPauseUs = 1 * usPerS;
// From a pause until the last known state holds without confirmation. Links are open again 500 ms after a pause, an
// idle peer reports every 600 ms, and a slow store answers within 1,200 ms.
constexpr TimeUs confirmationWaitUs = 2 * usPerS;

} // namespace

// A record below the complete state that is not in it has been replaced by a later one.
bool Evacuations::isNews(const ZoneEvacuation &record) const
{
    if (record.offset < m_completeOffset)
        return false;
    const auto known = m_zones.find(record.zone);
    return known == m_zones.end() || record.offset > known->second.offset;
}

// Returns whether the record changes or repeats a request in force.
bool Evacuations::set(TimeUs now, const ZoneEvacuation &record)
{
    Entry &entry = m_zones[record.zone];
    const bool wasRequested = std::exchange(entry.requested, record.requested);
    entry.offset = record.offset;
    if (record.requested && !wasRequested)
        entry.since = now;
    return record.requested || wasRequested;
}

void Evacuations::onChanged()
{
    m_inForce = static_cast<std::size_t>(
            std::count_if(m_zones.begin(), m_zones.end(), [](const auto &zone) { return zone.second.requested; }));
    ++m_version;
}

Evacuations::Changes Evacuations::apply(TimeUs now, const ZoneEvacuation &record)
{
    if (!isNews(record))
        return {};
    const bool isChange = set(now, record);
    onChanged();
    return isChange ? Changes{record} : Changes{};
}

// Removes the zones whose last record is below the offset and that have no request.
void Evacuations::dropMissing(std::int64_t offset, const std::vector<std::string> &zones, Changes &changes)
{
    std::erase_if(m_zones, [&](const auto &known) {
        const auto &[zone, entry] = known;
        const bool isNamed = std::find(zones.begin(), zones.end(), zone) != zones.end();
        if (entry.offset >= offset || (isNamed && entry.requested))
            return false;
        if (entry.requested)
            changes.push_back({zone, false, offset});
        return true;
    });
}

Evacuations::Changes Evacuations::complete(std::int64_t offset, const std::vector<std::string> &zones,
                                           bool hasUnreadableKeys)
{
    Changes changes;
    // A state with unreadable keys is used, as otherwise one damaged record would keep every task from being started,
    // but it withdraws nothing.
    if (!hasUnreadableKeys)
        dropMissing(offset, zones, changes);
    const std::int64_t complete = std::max(m_completeOffset, hasUnreadableKeys ? 0 : offset);
    if (std::exchange(m_completeOffset, complete) != complete || !changes.empty())
        onChanged();
    return changes;
}

Evacuations::Changes Evacuations::merge(TimeUs now, const EvacuationState &reported)
{
    Changes changes;
    bool isChanged = false;
    std::vector<std::string> requested;
    for (const ZoneEvacuation &record : reported.zones) {
        if (record.requested)
            requested.push_back(record.zone);
        if (!isNews(record))
            continue;
        isChanged = true;
        if (set(now, record))
            changes.push_back(record);
    }
    if (reported.completeOffset > m_completeOffset) {
        dropMissing(reported.completeOffset, requested, changes);
        m_completeOffset = reported.completeOffset;
        isChanged = true;
    }
    if (isChanged)
        onChanged();
    return changes;
}

void Evacuations::onPause(TimeUs now, TimeUs pausedUs)
{
    m_resumedAt = now;
    m_unconfirmedPauseUs += pausedUs;
}

void Evacuations::confirm(TimeUs asOf)
{
    if (asOf >= m_resumedAt)
        m_unconfirmedPauseUs = 0;
}

bool Evacuations::isCurrent() const
{
    return isKnown() && m_unconfirmedPauseUs <= maxUnconfirmedPauseUs;
}

bool Evacuations::mayStart(TimeUs now) const
{
    return isCurrent() || (isKnown() && now - m_resumedAt >= confirmationWaitUs);
}

bool Evacuations::isEvacuated(std::string_view zone) const
{
    if (m_inForce == 0)
        return false;
    const auto known = m_zones.find(zone);
    return known != m_zones.end() && known->second.requested;
}

std::vector<Evacuations::InForce> Evacuations::inForce() const
{
    std::vector<InForce> zones;
    for (const auto &[zone, entry] : m_zones) {
        if (entry.requested)
            zones.push_back({zone, entry.offset, entry.since});
    }
    return zones;
}

EvacuationState Evacuations::state() const
{
    EvacuationState state{m_completeOffset, {}};
    for (const auto &[zone, entry] : m_zones)
        state.zones.push_back({zone, entry.requested, entry.offset});
    return state;
}

} // namespace clementinelift::command
