// Events that the embedding process passes to the core, and actions that the core returns.
//
// Contents
//   Caller events     requests of callers
//   Backend events    results of attempts, status queries and health probes
//   Peer events       links and messages between entry VMs
//   Platform events   log service and VM list
//   Process events    timer and start of the drain
//   Actions           requests to the embedding process, carried out in order
#pragma once

#include "core/messages.h"

namespace clementinelift::core {

// Caller events -------------------------------------------------------------------------------------

struct SubmitJob
{
    CallerId caller{};
    bool wait = true; // false: answer Pending as soon as the job is accepted
    JobRequest request;
};

struct FetchAnswer
{
    CallerId caller{};
    std::string organisation;
    Key key;
    std::int64_t waitMs = 0; // answer Pending when the job has not ended after this time
};

struct CancelJob
{
    CallerId caller{};
    std::string organisation;
    Key key;
};

struct RequestKeys
{
    CallerId caller{};
    std::string organisation;
    std::uint32_t count = 1;
};

struct RequestTrace
{
    CallerId caller{};
    std::string organisation;
    Key key;
};

// The caller has disconnected. Its job continues.
struct CallerGone
{
    CallerId caller{};
};

// Backend events ------------------------------------------------------------------------------------

struct AttemptEnded
{
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    std::string result;          // of Completed; otherwise a human-readable reason
    std::uint32_t serviceUs = 0; // run time that the backend server reports, 0: not known
};

// Reply to QueryAttempt.
struct AttemptStatus
{
    AttemptId attempt;
    AttemptState state = AttemptState::Unreachable;
    std::string result;
};

// Reply to ProbeBackend.
struct BackendProbed
{
    BackendId backend{};
    bool healthy = false;
};

// Peer events ---------------------------------------------------------------------------------------

// The link is up and both sides have checked the hello message. Passed again, with a new incarnation, after the peer
// has restarted.
struct PeerConnected
{
    NodeInfo node;
};

struct PeerDisconnected
{
    std::string node;
};

struct PeerMessageReceived
{
    std::string node;
    Incarnation incarnation{};
    PeerMessage message;
};

// Platform events -----------------------------------------------------------------------------------

// The next records of a stream, in ascending order. When firstAvailable exceeds the requested offset, the records in
// between were dropped by the log service.
struct LogRead
{
    Stream stream = Stream::Ownership;
    std::int64_t firstAvailable = 0;
    std::int64_t nextOffset = 0; // offset of the next read
    bool caughtUp = false;       // nextOffset was the end of the stream
    std::vector<LogRecord> records;
};

struct LogUnavailable
{
    Stream stream = Stream::Ownership;
};

enum class AppendOutcome : std::uint8_t { Appended, Refused, Unknown };

struct AppendEnded
{
    AppendId append{};
    AppendOutcome outcome = AppendOutcome::Unknown;
    std::int64_t offset = -1; // of Appended
};

struct VmListRead
{
    std::vector<BackendInfo> backends;
    std::vector<NodeInfo> nodes;
};

// Process events ------------------------------------------------------------------------------------

struct TimerFired
{};
struct BeginDrain
{};

using Event = std::variant<SubmitJob, FetchAnswer, CancelJob, RequestKeys, RequestTrace, CallerGone, AttemptEnded,
                           AttemptStatus, BackendProbed, PeerConnected, PeerDisconnected, PeerMessageReceived, LogRead,
                           LogUnavailable, AppendEnded, VmListRead, TimerFired, BeginDrain>;

// Actions -------------------------------------------------------------------------------------------

struct AnswerCaller
{
    CallerId caller{};
    Answer answer;
};

struct AnswerKeys
{
    CallerId caller{};
    std::vector<Key> keys;
    Reason reason = Reason::None; // set when keys is empty
};

// One entry in the trace of a job.
struct TraceEntry
{
    std::int64_t wallMs = 0;
    std::string text;
};

struct AnswerTrace
{
    CallerId caller{};
    std::vector<TraceEntry> entries; // empty: no trace is stored
};

struct StartAttempt
{
    AttemptId attempt;
    BackendId backend{};
    std::string backendName;
    std::string address; // ip:port
    std::string organisation;
    std::string templateName;
    std::string payload;
    std::int64_t leaseMs = 0; // the backend server stops the task after this time
};

struct StopAttempt
{
    AttemptId attempt;
    BackendId backend{};
    std::string address;
};

struct QueryAttempt
{
    AttemptId attempt;
    BackendId backend{};
    std::string address;
};

struct ProbeBackend
{
    BackendId backend{};
    std::string address;
};

struct SendPeer
{
    std::string node;
    PeerMessage message;
};

// Opens and maintains a link to this entry VM; idempotent.
struct ConnectPeer
{
    NodeInfo node;
};

struct DisconnectPeer
{
    std::string node;
};

struct AppendLog
{
    AppendId append{};
    Stream stream = Stream::Ownership;
    LogBody body;
};

// Continue reading the stream at this offset, after a lost read or after a snapshot has replaced records.
struct SeekLog
{
    Stream stream = Stream::Config;
    std::int64_t offset = 0;
};

// Deliver TimerFired at this time or shortly after. Replaces the previous timer.
struct SetTimer
{
    std::int64_t monoUs = 0;
};

enum class NoticeLevel : std::uint8_t { Debug, Info, Warning, Error };

// A line for the process log.
struct Notice
{
    NoticeLevel level = NoticeLevel::Info;
    std::string_view part; // static string: "jobs", "keys", "config", "members", "slots", "breakers", "limits"
    std::string text;
};

// All jobs have ended, and the grants are released or expire by themselves; the process may exit. Before it exits, it
// passes the events that it has already read: each is answered immediately.
struct DrainFinished
{};

using Action =
        std::variant<AnswerCaller, AnswerKeys, AnswerTrace, StartAttempt, StopAttempt, QueryAttempt, ProbeBackend,
                     SendPeer, ConnectPeer, DisconnectPeer, AppendLog, SeekLog, SetTimer, Notice, DrainFinished>;
using Actions = std::vector<Action>;

} // namespace clementinelift::core
