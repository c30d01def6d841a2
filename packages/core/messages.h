// Messages between entry VMs and records in the log service, as plain structs. Encoding lives in packages/net.
//
// Contents
//   Log records    streams "ownership" and "config"
//   Membership     probes and gossip
//   Submissions    forwarded to the owner of the key
//   Slots          borrowed for one task
//   Reports        headroom, demand and configuration offset
#pragma once

#include "core/types.h"

#include <bitset>
#include <variant>

namespace clementinelift::core {

// Log records ---------------------------------------------------------------------------------------

enum class Stream : std::uint8_t { Ownership, Config };

using PartitionSet = std::bitset<partitionCount>;

// "The incarnation owns the partitions for issue times [fromMs, toMs)". from is per grant, so one record holds
// partitions whose coverage ends at the same time.
struct GrantRecord
{
    std::string node;    // name of the entry VM
    std::string address; // ip:port of its peer link
    Incarnation incarnation{};
    PartitionSet partitions;
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;
};

// Ends all grants of the incarnation at an issue time. Later grants of it are void.
struct ReleaseRecord
{
    Incarnation incarnation{};
    std::int64_t atMs = 0;
};

// One entry of a change. An empty text deletes the entry.
struct ConfigEntryChange
{
    std::string name;             // "template/NAME" or "organisation/NAME"
    std::int64_t baseVersion = 0; // log offset + 1 of the record it was based on, 0: did not exist
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
    std::int64_t version = 0; // log offset + 1 of the record that set it
    std::string author;
    std::string changeId;
    std::string text; // empty: deleted, kept so that a stale base version is still a conflict
};

// The accepted state after all records below nextOffset.
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
    std::uint32_t version = 0; // raised only by the node itself, to refute a suspicion
};

struct Probe
{
    std::uint64_t sequence = 0;
    std::int64_t wallMs = 0; // sender's wall clock, to notice clock errors
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
    Substitute, // submission of a job that may repeat, to an entry VM that does not own its key
};

// A caller's request passed on to the owner of the key. Sending it again is harmless: the owner joins it to the job.
struct SubmitForward
{
    std::uint64_t requestId = 0; // unique for the sending incarnation
    SubmitKind kind = SubmitKind::Submit;
    std::int64_t waitMs = 0; // Fetch: longest time to wait for the end of the job; Submit: -1 answers Pending at once
    JobRequest request;      // Fetch and Cancel: organisation and key only
};

// Answers a SubmitForward exactly once.
struct SubmitResult
{
    std::uint64_t requestId = 0;
    Answer answer;
};

// Slots ---------------------------------------------------------------------------------------------

// Asks for one slot for one task.
struct SlotRequest
{
    std::uint64_t requestId = 0; // unique for the sending incarnation
    std::string templateName;
    float cores = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t maxServiceUs = 0; // no use for a slot that is expected to take longer; 0: any, even some ms later
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

// Gives a slot back, with what was learned about the backend server.
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

// Demand of all organisations that have any; others have none.
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
    std::optional<DemandReport> demand; // empty: as last reported
};

struct ConfigRequest
{
    std::int64_t nextOffset = 0; // wants everything from here on
};

// Answers a ConfigRequest: a snapshot when records from nextOffset on are not kept any more.
struct ConfigRecords
{
    std::optional<SnapshotRecord> snapshot;
    std::vector<LogRecord> records; // ascending, without gaps; an empty SnapshotRecord in the place of a snapshot
    std::int64_t nextOffset = 0;    // of the sender; ask again while the own one is lower
};

// A backend server is leaving; passed on because the VM list lags differently for each reader.
struct BackendLeaving
{
    std::string backend;
};

using PeerMessage = std::variant<Probe, ProbeAck, ProbeRequest, SubmitForward, SubmitResult, SlotRequest, SlotGrant,
                                 SlotRefuse, SlotReturn, Report, ConfigRequest, ConfigRecords, BackendLeaving>;

} // namespace clementinelift::core
