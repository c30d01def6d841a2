// Everything that can happen to the core, and everything that it may ask for in return.
//
// Contents
//   Caller events     requests of callers
//   Backend events    ends of attempts
//   Peer events       links and messages between entry VMs
//   Platform events   log service and VM list
//   Process events    timer and drain
//   Actions           what the embedding process has to carry out, in order
#pragma once

#include "core/messages.h"

namespace clementinelift::core {

// Caller events -------------------------------------------------------------------------------------

struct SubmitJob
{
    CallerId caller{};
    bool wait = true; // false: a Pending answer as soon as the job is accepted
    JobRequest request;
};

struct FetchAnswer
{
    CallerId caller{};
    std::string organisation;
    Key key;
    std::int64_t waitMs = 0; // answer Pending after this time
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

// The caller's connection is gone; the job goes on.
struct CallerGone
{
    CallerId caller{};
};

// Backend events ------------------------------------------------------------------------------------

struct AttemptEnded
{
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    std::string result;          // of Completed; a reason for people otherwise
    std::uint32_t serviceUs = 0; // run time that the backend server reports, 0: not known
};

// Answers QueryAttempt.
struct AttemptStatus
{
    AttemptId attempt;
    AttemptState state = AttemptState::Unreachable;
    std::string result;
};

// Answers ProbeBackend.
struct BackendProbed
{
    BackendId backend{};
    bool healthy = false;
};

// Peer events ---------------------------------------------------------------------------------------

// The link is up and both sides have checked hello. Sent again with a new incarnation after a restart.
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

// The next records of a stream, ascending. firstAvailable > the offset asked for: records were dropped.
struct LogRead
{
    Stream stream = Stream::Ownership;
    std::int64_t firstAvailable = 0;
    std::int64_t nextOffset = 0; // continue here
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

// One line of the bounded trace of a job.
struct TraceEntry
{
    std::int64_t wallMs = 0;
    std::string text;
};

struct AnswerTrace
{
    CallerId caller{};
    std::vector<TraceEntry> entries; // empty: nothing known
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
    std::int64_t leaseMs = 0; // the backend server stops the task on its own after this time
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

// Keep a link to this entry VM; repeated calls are harmless.
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

// Read the stream again from this offset (it was continued from a snapshot of a peer).
struct SeekLog
{
    Stream stream = Stream::Config;
    std::int64_t offset = 0;
};

// Deliver TimerFired at this time or shortly after; replaces an earlier request.
struct SetTimer
{
    std::int64_t monoUs = 0;
};

enum class NoticeLevel : std::uint8_t { Debug, Info, Warning, Error };

// A line for the log of the process.
struct Notice
{
    NoticeLevel level = NoticeLevel::Info;
    std::string_view part; // static text: "jobs", "keys", "config", "members", "slots", "breakers", "limits"
    std::string text;
};

// All jobs have ended and the grants are released; the process may exit. It hands over the events that it has read
// already first: each is answered at once.
struct DrainFinished
{};

using Action =
        std::variant<AnswerCaller, AnswerKeys, AnswerTrace, StartAttempt, StopAttempt, QueryAttempt, ProbeBackend,
                     SendPeer, ConnectPeer, DisconnectPeer, AppendLog, SeekLog, SetTimer, Notice, DrainFinished>;
using Actions = std::vector<Action>;

} // namespace clementinelift::core
