// Identifiers, clocks, submission keys, reasons and records shared by all parts of the core.
//
// Contents
//   Identifiers   typed ids; table indexes are dense and valid within one process
//   Time          the two clocks that the embedding process passes in
//   Keys          submission keys (UUIDv7) and their partitions
//   Reasons       refusals, failures and retries, one counter each
//   Records       requests, answers, backend servers and entry VMs
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelift::core {

// Identifiers ---------------------------------------------------------------------------------------

enum class CallerId : std::uint64_t {};       // one waiting caller, chosen by the embedding process
enum class JobId : std::uint64_t {};          // one job in this process, never reused
enum class AppendId : std::uint64_t {};       // one append to the log service
enum class BackendId : std::uint32_t {};      // index in the backend server table
enum class OrganisationId : std::uint32_t {}; // index in the organisation table
enum class TemplateId : std::uint32_t {};     // index in the template table
enum class NodeId : std::uint32_t {};         // index in the table of entry VMs
enum class Incarnation : std::uint64_t {};    // random number of one run of a process

// Returns the underlying integer of an id.
template <typename Id> constexpr auto raw(Id id)
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

// One task of a job; index counts from 0 in the order of the submission.
struct TaskRef
{
    JobId job{};
    std::uint32_t index = 0;

    friend bool operator==(const TaskRef &, const TaskRef &) = default;
    template <typename H> friend H AbslHashValue(H h, const TaskRef &task)
    {
        return H::combine(std::move(h), raw(task.job), task.index);
    }
};

// One attempt to run a task; unique over all entry VMs and all time.
struct AttemptId
{
    Incarnation incarnation{};
    std::uint64_t sequence = 0;

    friend bool operator==(const AttemptId &, const AttemptId &) = default;
    template <typename H> friend H AbslHashValue(H h, const AttemptId &attempt)
    {
        return H::combine(std::move(h), raw(attempt.incarnation), attempt.sequence);
    }
};

// Text form in requests to backend servers: "<incarnation, 16 hex digits>-<sequence>".
std::string toString(const AttemptId &attempt);
std::optional<AttemptId> parseAttemptId(std::string_view text);

// Time ----------------------------------------------------------------------------------------------

// Readings of both clocks at one event. Timers use the monotonic clock, issue times the wall clock.
struct Now
{
    std::int64_t monoUs = 0; // monotonic, microseconds, arbitrary origin
    std::int64_t wallMs = 0; // milliseconds since the Unix epoch; may jump when the clock is set
};

constexpr std::int64_t usPerMs = 1000;
constexpr std::int64_t usPerS = 1000 * usPerMs;

// Keys ----------------------------------------------------------------------------------------------

constexpr std::uint32_t partitionCount = 1024; // part of the protocol, see docs/protocols.md

// A submission key: UUIDv7 of RFC 9562, most significant half first.
struct Key
{
    std::uint64_t high = 0; // 48 bits of issue time, version, 12 random bits
    std::uint64_t low = 0;  // variant, 62 random bits

    friend auto operator<=>(const Key &, const Key &) = default;
    template <typename H> friend H AbslHashValue(H h, const Key &key)
    {
        return H::combine(std::move(h), key.high, key.low);
    }
};

// Issue time in milliseconds since the Unix epoch.
constexpr std::int64_t issueTimeMs(const Key &key)
{
    return static_cast<std::int64_t>(key.high >> 16);
}

// Builds a key from an issue time and random bits; version and variant bits are set here.
Key makeKey(std::int64_t issueMs, std::uint64_t randomHigh, std::uint64_t randomLow);

// Derives a key from a caller's own id and issue time, for callers without UUIDv7 keys.
Key makeKeyFromId(std::string_view id, std::int64_t issueMs);

// Canonical text form with lower-case hex digits, 36 characters.
std::string toString(const Key &key);

// Returns nullopt when the text is not a UUID of version 7.
std::optional<Key> parseKey(std::string_view text);

// Partition of a key, 0 .. partitionCount - 1.
std::uint32_t partitionOf(std::string_view organisation, const Key &key);

// Reasons -------------------------------------------------------------------------------------------

// Why a submission was refused or a job failed. Answers and counters use the names that toString() returns.
enum class Reason : std::uint8_t {
    None,
    // Refusals: this submission started nothing.
    DeadlineUnreachable,     // expected completion is after the deadline
    NeverRunnable,           // larger than every backend server
    QueueFull,               // the queue of this entry VM is at its limit
    OrganisationConcurrency, // the organisation is at its concurrency limit
    OrganisationRate,        // the organisation is at its rate limit
    UnknownTemplate,         // no such template in force
    UnknownOrganisation,     // no such organisation in force
    TemplateNotAllowed,      // the organisation may not use the template
    TooManyTasks,            // more tasks than the template allows
    Draining,                // this entry VM is stopping
    NotReady,                // this entry VM has no configuration yet
    DedupeFull,              // the table of remembered keys is full
    KeyTooOld,               // issue time below the dedupe horizon
    KeyInFuture,             // issue time too far ahead of the clock of this entry VM
    NoGrant,                 // no entry VM has a grant for the key
    OwnerUnreachable,        // the owner of the key cannot be reached
    OwnerGone,               // the process that owned the key has ended
    KeyReused,               // the key was used before with a different body
    NoBackend,               // no usable backend server
    // Failures: the job was accepted.
    TaskFailed,       // a task ran and failed
    DeadlineExceeded, // the deadline passed
    Cancelled,        // the caller cancelled the job
    OutcomeUnknown,   // an attempt may have run, its outcome is unknown
    AnswerDropped,    // the job ended, its answer is no longer stored
    RetryBudget,      // the retry budget of the organisation is used up
    UnknownKey,       // the answering entry VM knows no job with this key
    Count
};

std::string_view toString(Reason reason);

// Why a task was attempted again.
enum class RetryReason : std::uint8_t { NotStarted, Busy, Failed, LostBackend, Count };

std::string_view toString(RetryReason reason);

// Records -------------------------------------------------------------------------------------------

enum class Repeat : std::uint8_t { Never, Allowed };

struct TaskRequest
{
    std::string payload;        // opaque to the dispatcher
    std::uint32_t runMs = 0;    // declared run time in ms, 0: use the template's
    float cores = 0;            // declared cores, 0: use the template's
    std::uint32_t memoryMb = 0; // declared memory in MiB, 0: use the template's
};

struct JobRequest
{
    std::string organisation;
    std::string templateName;
    Key key;
    std::int64_t deadlineMs = 0; // relative to receipt; 0: use the template's
    std::uint64_t bodyHash = 0;  // XXH3-64 over template and tasks, to detect reused keys
    std::vector<TaskRequest> tasks;
};

enum class AnswerKind : std::uint8_t { Pending, Complete, Failed, Refused };
// What a refusal states: NotRun, no submission of the key has started anything; AttemptNotRun, this submission started
// nothing, but another submission of the key may have.
enum class Statement : std::uint8_t { None, NotRun, AttemptNotRun };

// Whether a task of a failed job may have run.
enum class Effects : std::uint8_t { None, Possible };

// The answer to one request. results is set for Complete only and has one entry per task, in task order.
struct Answer
{
    AnswerKind kind = AnswerKind::Pending;
    Statement statement = Statement::None;
    Effects effects = Effects::None;
    Reason reason = Reason::None;
    std::vector<std::string> results;
    std::string detail; // human-readable, may be empty
};

enum class AttemptOutcome : std::uint8_t {
    Completed,  // ran and succeeded
    Failed,     // ran and failed
    NotStarted, // did not start: no connection, or refused by the backend server
    Busy,       // did not start: all slots of the backend server are in use
    Unknown     // connection lost or timeout after the request was sent; may have run
};

// Reply of a backend server to a status query. Unreachable: there was no reply.
enum class AttemptState : std::uint8_t { Running, Completed, Failed, NotKnown, Unreachable };

// A backend server as the VM list describes it.
struct BackendInfo
{
    std::string name;                // unique over the platform
    std::string address;             // ip:port
    std::string zone;                // availability zone
    std::string rack;                // servers of a rack are assumed to fail together
    std::uint32_t slots = 8;         // concurrent tasks
    std::uint32_t connections = 60;  // concurrent connections, over all entry VMs
    float cores = 32;                // of the whole backend server
    std::uint32_t memoryMb = 131072; // of the whole backend server, MiB
    bool leaving = false;            // receives no new tasks
};

// An entry VM as described by the settings, the VM list or a peer.
struct NodeInfo
{
    std::string name;          // unique over the platform
    std::string address;       // ip:port of its peer link
    std::string zone;          // availability zone
    Incarnation incarnation{}; // 0: not known yet
    bool leaving = false;      // draining or about to drain
};

} // namespace clementinelift::core
