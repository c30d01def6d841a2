// Requests of the operator to evacuate an availability zone: start nothing more on its backend servers.
//
// Meant for zones that are to be emptied while entry VMs are paused, restarted, turned away by the store or cut off.
// The store orders all requests by their offsets. Entry VMs learn of them from the store and from the reports of peers,
// in any order; the higher offset wins. The last known state holds while neither says anything new.
//
// Contents
//   ZoneEvacuation, EvacuationState
//   Evacuations
#pragma once

#include "command/types.h"

#include <map>
#include <string>
#include <vector>

namespace clementinelift::command {

// ZoneEvacuation, EvacuationState -------------------------------------------------------------------

// One record of the store.
struct ZoneEvacuation
{
    std::string zone;
    bool requested = false;  // false: a request was withdrawn
    std::int64_t offset = 0; // of the record

    bool operator==(const ZoneEvacuation &) const = default;
};

// What an entry VM knows of all zones, for its peers.
struct EvacuationState
{
    std::int64_t completeOffset = 0; // a zone whose last record is before this offset and that is not named: no request
    std::vector<ZoneEvacuation> zones;

    bool operator==(const EvacuationState &) const = default;
};

// Evacuations ---------------------------------------------------------------------------------------

class Evacuations
{
public:
    using Changes = std::vector<ZoneEvacuation>; // records that were not known, and requests found withdrawn

    // A record of the store.
    Changes apply(TimeUs now, const ZoneEvacuation &record);
    // All records of the store below the offset have been applied; zones are those with a request among them. A
    // request for any other zone was withdrawn. With unreadable keys, some of these zones may not be named.
    Changes complete(std::int64_t offset, const std::vector<std::string> &zones, bool hasUnreadableKeys);
    // The state that a peer reports.
    Changes merge(TimeUs now, const EvacuationState &reported);

    // The process was suspended.
    void onPause(TimeUs now, TimeUs pausedUs);
    // The state is as new as the store or a peer had it at this time.
    void confirm(TimeUs asOf);

    bool isKnown() const { return m_completeOffset >= 0; }
    // Known, and confirmed after the last pauses.
    bool isCurrent() const;
    // Whether backend servers outside evacuated zones may get starts: isCurrent(), or no confirmation has come in time.
    bool mayStart(TimeUs now) const;
    bool isEvacuated(std::string_view zone) const;
    bool hasAny() const { return m_inForce > 0; }

    struct InForce
    {
        std::string zone;
        std::int64_t offset = 0;
        TimeUs since = 0; // when the request was learned here
    };
    std::vector<InForce> inForce() const; // in the order of zones
    EvacuationState state() const;
    std::uint64_t version() const { return m_version; } // increases when state() changes; 0: not known

private:
    struct Entry
    {
        bool requested = false;
        std::int64_t offset = 0;
        TimeUs since = 0;
    };

    bool isNews(const ZoneEvacuation &record) const;
    bool set(TimeUs now, const ZoneEvacuation &record);
    void dropMissing(std::int64_t offset, const std::vector<std::string> &zones, Changes &changes);
    void onChanged();

    std::map<std::string, Entry, std::less<>> m_zones; // in force, or withdrawn at or after m_completeOffset
    std::int64_t m_completeOffset = -1;                // -1: not known
    std::size_t m_inForce = 0;
    std::uint64_t m_version = 0;
    TimeUs m_resumedAt = 0;
    TimeUs m_unconfirmedPauseUs = 0; // sum of the pauses since the state was confirmed
};

} // namespace clementinelift::command
