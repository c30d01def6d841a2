// Who may start jobs for a key: the grant table, a pure function of the records in the log stream "ownership".
//
// Contents
//   OwnershipTable   fold of grants and releases, look-up by (partition, issue time)
//   GrantPlanner     which partitions this entry VM claims next
#pragma once

#include "core/messages.h"
#include "core/parameters.h"

#include <absl/container/flat_hash_map.h>

namespace clementinelift::core {

enum class Coverage : std::uint8_t {
    Owned,     // incarnation is set
    TooOld,    // below the dedupe horizon
    Uncovered, // a gap, or past the end of coverage
};

struct OwnerLookup
{
    Coverage coverage = Coverage::Uncovered;
    Incarnation incarnation{};
    std::string_view node;    // valid until the next apply()
    std::string_view address; // valid until the next apply()
};

class OwnershipTable
{
public:
    OwnershipTable(std::int64_t horizonMs, std::int64_t maxProgressStepMs);

    // Applies the next record of the stream. Records must come in log order.
    void apply(const GrantRecord &grant, std::int64_t recordTimeMs);
    void apply(const ReleaseRecord &release);

    // Forgets everything; the caller applies the records from the first available one on.
    void reset();

    OwnerLookup find(std::uint32_t partition, std::int64_t issueMs) const;
    std::int64_t coverageEndMs(std::uint32_t partition) const; // end of the last interval, 0: never covered
    std::int64_t progressMs() const;                           // largest granted issue time, 0: no grant yet
    bool isReleased(Incarnation incarnation) const;
    std::size_t intervalCount() const;

private:
    struct Interval
    {
        std::int64_t fromMs = 0;
        std::int64_t toMs = 0;
        Incarnation incarnation{};
    };
    struct Holder
    {
        std::string node;
        std::string address;
        std::int64_t releasedAtMs = -1; // -1: not released
    };

    void addInterval(std::vector<Interval> &intervals, Interval added);
    void dropBelowHorizon();

    std::int64_t m_horizonMs;
    std::int64_t m_maxProgressStepMs;
    std::int64_t m_progressMs = 0;
    std::vector<std::vector<Interval>> m_intervals; // by partition, ascending, not overlapping
    absl::flat_hash_map<Incarnation, Holder> m_holders;
};

// Plans the grants of one entry VM. Claims partitions that rendezvous hashing over the live entry VMs gives to it.
class GrantPlanner
{
public:
    explicit GrantPlanner(const CoreSettings &settings);

    // Returns the records to append now, one for each distinct start of coverage; empty when nothing is due.
    // live contains the own entry VM. Partitions are split over live by rendezvous hashing on the node names.
    std::vector<GrantRecord> plan(const OwnershipTable &table, std::span<const NodeInfo> live, Now now);

    // Stops all further grants and returns the release; atMs is above every issue time accepted so far.
    ReleaseRecord release(std::int64_t atMs);

    std::int64_t nextPlanUs() const;

private:
    const CoreSettings &m_settings;
    std::int64_t m_nextPlanUs = 0;
    bool m_released = false;
};

} // namespace clementinelift::core
