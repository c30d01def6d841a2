// Messages between entry VMs and records in the log service, as plain structs. packages/net encodes them.
//
// Contents
//   Log records    streams "ownership" and "config"
//   Membership     probes and gossip
//   Submissions    requests forwarded to the owner of the key
//   Slots          slots borrowed from other entry VMs, each for one task
//   Reports        free capacity, demand, log offsets and leaving backend servers
#pragma once

#include "core/types.h"

#include <bitset>
#include <variant>

namespace clementinelift::core {

// Log records ---------------------------------------------------------------------------------------

enum class Stream : std::uint8_t { Ownership, Config };

using PartitionSet = std::bitset<partitionCount>;

// The incarnation owns the partitions for issue times in [fromMs, toMs). The interval applies to all partitions of the
// record, so a record holds partitions whose previous coverage ends at the same time.
struct GrantRecord
{
    std::string node;    // name of the entry VM
    std::string address; // ip:port of its peer link
    Incarnation incarnation{};
    PartitionSet partitions;
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;
};

// Ends all grants of the incarnation at an issue time. Later grants of the same incarnation are ignored.
struct ReleaseRecord
{
    Incarnation incarnation{};
    std::int64_t atMs = 0;
};

// One entry of a change. An empty text deletes the entry.
struct ConfigEntryChange
{
    std::string name;             // "template/NAME" or "organisation/NAME"
    std::int64_t baseVersion = 0; // log offset + 1 of the record that the change is based on, 0: no such entry
    std::string text;             // INI text
};

struct ChangeRecord
{
    std::string changeId; // UUID, unique
    std::string author;
    std::vector<ConfigEntryChange> entries;
};

struct ConfigEntry
{
    std::string name;
    std::int64_t version = 0; // log offset + 1 of the record that set the entry
    std::string author;
    std::string changeId;
    std::string text; // empty: deleted; kept so that a change with a stale base version is still a conflict
};

// The accepted entries after all records below nextOffset have been applied.
struct SnapshotRecord
{
    std::int64_t nextOffset = 0;
    std::vector<ConfigEntry> entries;
};

using LogBody = std::variant<GrantRecord, ReleaseRecord, ChangeRecord, SnapshotRecord>;

struct LogRecord
{
    std::int64_t offset = 0;
    std::int64_t timeMs = 0; // wall clock of the log service at the append
    LogBody body;
};

// Membership ----------------------------------------------------------------------------------------

enum class NodeState : std::uint8_t { Alive, Suspect, Dead, Left };

// One change of the membership view; piggybacked on probes.
struct MemberUpdate
{
    NodeInfo node;
    NodeState state = NodeState::Alive;
    std::uint32_t version = 0; // incremented only by the node itself, to refute a suspicion
};

struct Probe
{
    std::uint64_t sequence = 0;
    std::int64_t wallMs = 0; // sender's wall clock, to detect clock errors
    std::vector<MemberUpdate> updates;
};

struct ProbeAck
{
    std::uint64_t sequence = 0;
    std::int64_t wallMs = 0;
    std::vector<MemberUpdate> updates;
};

// Asks the receiver to probe target on behalf of the sender.
struct ProbeRequest
{
    std::uint64_t sequence = 0;
    std::string target; // name of the entry VM
};

// Submissions ---------------------------------------------------------------------------------------

enum class SubmitKind : std::uint8_t {
    Submit,
    Fetch,
    Cancel,
    Substitute, // submission of a repeatable job to an entry VM that runs the job in place of the owner of its key
};

// A caller's request, forwarded to the owner of the key. Idempotent: the owner joins a duplicate to the running job.
struct SubmitForward
{
    std::uint64_t requestId = 0; // unique for the sending incarnation
    SubmitKind kind = SubmitKind::Submit;
    std::int64_t waitMs = 0; // Fetch: longest wait for the end of the job; Submit: -1 answers Pending on acceptance
    JobRequest request;      // Fetch and Cancel: organisation and key only
};

// The answer to a SubmitForward.
struct SubmitResult
{
    std::uint64_t requestId = 0;
    Answer answer;
};

// Slots ---------------------------------------------------------------------------------------------

// Requests one slot for one task.
struct SlotRequest
{
    std::uint64_t requestId = 0; // unique for the sending incarnation
    std::string templateName;
    float cores = 0;
    std::uint32_t memoryMb = 0;
    // Longest acceptable expected service time; 0: any, even when the slot becomes free some ms later.
    std::uint32_t maxServiceUs = 0;
};

// Lends one slot until slotReturn or leaseMs have passed.
struct SlotGrant
{
    std::uint64_t requestId = 0;
    std::string backend;
    std::int64_t leaseMs = 0;
};

struct SlotRefuse
{
    std::uint64_t requestId = 0;
};

// Returns a slot and reports the outcome of the attempt that used it.
struct SlotReturn
{
    std::uint64_t requestId = 0;
    bool used = false;
    AttemptOutcome outcome = AttemptOutcome::NotStarted;
    std::uint32_t serviceUs = 0;
};

// Reports -------------------------------------------------------------------------------------------

struct OrganisationDemand
{
    std::string organisation;
    std::uint32_t running = 0; // tasks started and not ended
    std::uint32_t waiting = 0; // tasks queued
    float startsPerS = 0;      // job arrivals per second, smoothed
};

// Demand of every organisation that has any. Organisations that are not listed have none.
struct DemandReport
{
    std::vector<OrganisationDemand> organisations;
};

struct Report
{
    std::uint32_t freeSlots = 0;
    std::uint32_t queuedTasks = 0;
    float bestFactor = 0; // speed factor of the fastest free slot, 1: average, 0: none free
    std::int64_t configNext = 0;
    std::int64_t ownershipNext = 0;
    std::optional<DemandReport> demand; // empty: unchanged since the last report
};

struct ConfigRequest
{
    std::int64_t nextOffset = 0; // first offset that the sender lacks
};

// Reply to a ConfigRequest. Has a snapshot when the sender no longer keeps the records from the requested offset on.
struct ConfigRecords
{
    std::optional<SnapshotRecord> snapshot;
    std::vector<LogRecord> records; // ascending, without gaps; snapshot records are replaced by empty ones
    std::int64_t nextOffset = 0;    // of the sender; the receiver asks again while its own is lower
};

// A backend server is leaving. Sent to peers because entry VMs read the VM list with different delays.
struct BackendLeaving
{
    std::string backend;
};

using PeerMessage = std::variant<Probe, ProbeAck, ProbeRequest, SubmitForward, SubmitResult, SlotRequest, SlotGrant,
                                 SlotRefuse, SlotReturn, Report, ConfigRequest, ConfigRecords, BackendLeaving>;

} // namespace clementinelift::core
