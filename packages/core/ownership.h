// Ownership of keys: the entry VM that may start jobs for a key. The table of grants is a pure function of the records
// in the log stream "ownership".
//
// Contents
//   OwnershipTable   state built from grants and releases, look-up by (partition, issue time)
//   GrantPlanner     decides which partitions this entry VM claims next
//
// Rules by which records are applied, in log order:
//   - The first grant that covers a (partition, issue time) pair wins; the overlapping part of a later one is void.
//   - A grant reaches at most maxProgressStepMs past the record time of the log service.
//   - Issue times below the horizon are void: horizonMs below progress, the largest granted issue time. The part of
//     a grant that lies horizonMs or more below its own record time is void as well, so that two grants that compete
//     for an issue time are recorded within horizonMs + maxProgressStepMs of each other. When the log keeps records
//     for longer than that, a process that starts reads every grant that its own could collide with.
//   - The first release of an incarnation ends its grants at the stated issue time; later grants of it are void.
#pragma once

#include "core/messages.h"
#include "core/parameters.h"

#include <absl/container/flat_hash_map.h>

namespace clementinelift::core {

// OwnershipTable ------------------------------------------------------------------------------------

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

    // Drops all intervals; the caller then applies the records from the first available one on. Progress and releases
    // stay. The lost records may hold grants that reach maxProgressStepMs past the first record that is applied
    // next, so this process treats all issue times below that time as too old.
    void reset();

    OwnerLookup find(std::uint32_t partition, std::int64_t issueMs) const;
    std::int64_t coverageEndMs(std::uint32_t partition) const; // end of the last interval, 0: none above the horizon
    std::int64_t progressMs() const;                           // largest granted issue time, 0: no grant yet
    std::int64_t floorMs() const;                              // keys issued earlier are too old
    bool isReleased(Incarnation incarnation) const;
    std::size_t intervalCount() const;

    // First issue time at or above minIssueMs that nobody owns, not below the first interval of the partition;
    // 0 when the partition has no interval that ends above minIssueMs.
    std::int64_t firstGapMs(std::uint32_t partition, std::int64_t minIssueMs) const;

private:
    struct Interval
    {
        std::int64_t fromMs = 0;
        std::int64_t toMs = 0;
        Incarnation incarnation{};
    };
    struct Grantee
    {
        std::string node;
        std::string address;
        std::int64_t releasedAtMs = -1; // -1: not released
        std::int64_t maxToMs = 0;       // largest granted issue time
    };

    void addInterval(std::vector<Interval> &intervals, Interval added);
    void removeExpiredIntervals();

    std::int64_t m_horizonMs;
    std::int64_t m_maxProgressStepMs;
    std::int64_t m_progressMs = 0;
    std::int64_t m_floorAfterResetMs = 0;           // see reset()
    std::int64_t m_expiredBelowMs = 0;              // floor at the last removeExpiredIntervals()
    bool m_isEmpty = true;                          // no record applied since the start or reset()
    bool m_hasLostRecords = false;                  // reset() was called after records had been applied
    std::vector<std::vector<Interval>> m_intervals; // by partition, ascending, not overlapping
    absl::flat_hash_map<Incarnation, Grantee> m_grantees;
};

// GrantPlanner --------------------------------------------------------------------------------------

// Plans the grants of one entry VM. Claims partitions that rendezvous hashing over the live entry VMs gives to it.
class GrantPlanner
{
public:
    explicit GrantPlanner(const CoreSettings &settings);

    // Returns the records to append now; empty when nothing is due. Call plan() only when the stream was read to its
    // end. live contains the own entry VM. Partitions are split over live by rendezvous hashing on the node names.
    //
    // A claim starts at the first gap above the horizon, or shortly before the wall clock when the partition has no
    // coverage there, and reaches grantAheadMs past the wall clock. A call returns at most two records: one for all
    // partitions with coverage, which starts at their earliest gap (the part that is covered already is void), and one
    // for all partitions without coverage. Calls that plan something are at least grantExtendMs / 5 apart, and a
    // partition is claimed at most once in grantExtendMs / 2, also when an append or the log is slow.
    //
    // clockErrorMs is Membership::medianClockErrorMs(). A wall clock further than futureSkewMs from the peers' is not
    // trusted: claims then follow the peers' median and stay at or below the progress that others have made.
    std::vector<GrantRecord> plan(const OwnershipTable &table, std::span<const NodeInfo> live, Now now,
                                  std::int64_t clockErrorMs = 0);

    // Stops all further grants and returns the release; atMs is above every issue time accepted so far.
    ReleaseRecord release(std::int64_t atMs);

    std::int64_t nextPlanUs() const;

private:
    void updateOwnPartitions(std::span<const NodeInfo> live);

    const CoreSettings &m_settings;
    std::int64_t m_nextPlanUs = 0;
    bool m_released = false;
    std::uint64_t m_nodeNamesHash = 0;       // hash of the node names that m_ownPartitions was computed from
    PartitionSet m_ownPartitions;            // partitions that rendezvous hashing assigns to this entry VM
    std::vector<std::int64_t> m_nextClaimUs; // by partition, monotonic: earliest time of the next claim
};

// Index of the node that rendezvous hashing on the names prefers for a partition. nodes must not be empty.
std::size_t preferredOwner(std::span<const NodeInfo> nodes, std::uint32_t partition);

} // namespace clementinelift::core
