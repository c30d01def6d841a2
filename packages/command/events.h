// Events that the command core handles, and actions that it returns.
//
// Contents
//   Configuration     routes and services, as published by the operator
//   Evacuations       of availability zones
//   Backend servers   registry entries, orders and their results
//   Callers           requests and answers
//   Peers             messages between entry VMs
//   Event, Action
#pragma once

#include "command/cold_start.h"
#include "command/crash_record.h"
#include "command/evacuation.h"
#include "command/types.h"
#include "command/unconfirmed_starts.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace clementinelift::command {

// Configuration -------------------------------------------------------------------------------------

// Requests with this host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;            // its backend servers run the tasks
    std::uint32_t priority = 0;     // 0 is the most urgent
    std::uint32_t maxAttempts = 1;  // number of failed runs of a task after which its job fails
    double stretch = 1.0;           // a job is on time within stretch x expected work + targetUs
    TimeUs targetUs = 0;            // see stretch
    TimeUs timeoutUs = 30 * usPerS; // longest time until the answer

    bool operator==(const Route &) const = default;
};

struct Service
{
    std::string name;
    bool rejectsOverload = false; // its backend servers reject tasks beyond their capacity
    TimeUs coldStartUs = 0;       // longest time for which a backend server is cold; 0: as it reports
    double coldPerS = 0;          // starts a second on a cold backend server; 0: no limit
};

struct Configuration
{
    std::int64_t version = 0; // increases with every change
    std::vector<Route> routes;
    std::vector<Service> services;
};

// Evacuations ---------------------------------------------------------------------------------------

// A record of the store. Records that are read one after the other arrive in the order of their offsets.
using EvacuationRead = ZoneEvacuation;
// EvacuationRead was sent for all records below the offset; see Evacuations::complete().
struct EvacuationsKnown
{
    std::int64_t offset = 0;
    std::vector<std::string> zones;
    bool hasUnreadableKeys = false;
};
// Every record was read that the store had at this time.
struct EvacuationsConfirmed
{
    TimeUs asOf = 0;
};

// Backend servers -----------------------------------------------------------------------------------

// A backend server, as registered.
struct ServerEntry
{
    std::string id;
    std::string service;
    std::string address; // ip:port
    std::string zone;    // availability zone
    std::string rack;
    std::string kind;
    Resources capacity;
    bool draining = false;               // takes no new tasks
    std::int64_t incarnationStartMs = 0; // Unix time; 0: unknown
    TimeUs coldRemainingUs = 0;          // how much longer it is slow

    bool operator==(const ServerEntry &) const = default;
};

struct ServerListed
{
    ServerEntry entry;
};
struct ServerDelisted
{
    std::string id;
};
struct StoreState // availability of the platform's store
{
    bool available = true;
};
struct ServersKnown // ServerListed was sent for all entries of the first complete read
{};

// The shards of the own availability zone whose backend servers this entry VM commands.
struct ShardsAssigned
{
    FencingToken token = 0;
    std::uint32_t shardCount = 0;
    std::vector<std::uint32_t> shards;
};

// The clock of a backend server, read with one request.
struct ClockReading
{
    std::int64_t serverMs = 0;
    TimeUs sentAt = 0;
    TimeUs receivedAt = 0;
};

enum class OrderOutcome : std::uint8_t {
    Accepted,
    NoRoom,
    Fenced,        // another entry VM has sent orders under a higher token
    OldRun,        // the backend server has already had a run with this or a higher number
    Late,          // the lease had expired before the order arrived
    Unhealthy,     // the backend server rejected the order without effect
    Malformed,     // the backend server does not understand the order
    OtherInstance, // another incarnation answers at this address; the order has not reached it
    NotSent,       // no connection
    Unknown,       // no answer; the order may have taken effect or may still do so
};

std::string_view toString(OrderOutcome outcome);

struct StartResult
{
    std::string server;
    TaskId task;
    RunNumber run = 0;
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<ClockReading> clock;
};
struct StopResult
{
    std::string server;
    TaskId task;
    RunNumber run = 0;
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<ClockReading> clock;
};

struct RunningRun
{
    TaskId task;
    RunNumber run = 0;
};
struct EndedRun
{
    std::int64_t number = 0; // increases with every end within an incarnation
    TaskId task;
    RunNumber run = 0;
    RunEnd end = RunEnd::Done;
};

// Result of SendHold.
struct HoldResult
{
    std::string server;
    std::uint64_t sequence = 0; // of the SendHold
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<ClockReading> clock;
    std::int64_t incarnationStartMs = 0; // 0: unknown
    bool isRefused = false;              // nothing listens at the address: the process has ended
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended;
};

// The lease ends of orders and the numbers of ends mean something to one incarnation of a backend server only, which
// keeps its id and address when it restarts. An order that names an incarnation is therefore sent only over a
// connection on which this incarnation has answered: a connection does not outlive the process at its other end, so
// that the order reaches this incarnation or none, however late.
struct SendStart
{
    std::string server;
    std::string address;
    std::int64_t incarnationStartMs = 0; // Unix time; 0: not known, the order may reach any incarnation
    TaskId task;
    RunNumber run = 0;
    std::string spec;
    std::int64_t leaseEndMs = 0; // on the clock of the backend server
    FencingToken token = 0;
    TimeUs timeoutUs = 0;
};
struct SendStop
{
    std::string server;
    std::string address;
    TaskId task;
    RunNumber run = 0;
    FencingToken token = 0;
    TimeUs timeoutUs = 0;
};
// Acknowledges ends, renews the leases of all runs when leaseEndMs is set, and asks for runs and ends.
struct SendHold
{
    std::string server;
    std::string address;
    std::int64_t incarnationStartMs = 0; // as SendStart; 0 when the order holds nothing that depends on it
    std::uint64_t sequence = 0;
    std::optional<std::int64_t> leaseEndMs; // on the clock of the backend server
    std::int64_t acknowledgedEnd = 0;
    std::int64_t waitMs = 0; // the backend server waits this long for an end before its answer
    FencingToken token = 0;
    TimeUs timeoutUs = 0;
};

// Callers -------------------------------------------------------------------------------------------

enum class Verb : std::uint8_t { Submit, Query, Cancel };

struct StepRequest
{
    std::uint32_t count = 0;
    Resources taskResources;
    TimeUs estimateUs = 0;     // 0: not declared
    std::string requiredLabel; // empty: none
    std::string unsupported;   // a property that this version does not support; empty: none
    std::string dataRack = {}; // rack of the data, on which the tasks run faster; empty: any
};

struct JobRequest
{
    std::string spec;
    std::vector<StepRequest> steps;
    bool answerIsResult = false; // answered when the job has ended, without storing the job
    std::string unsupported;     // as StepRequest::unsupported
};

struct CallerRequest
{
    CallerId caller{};
    Verb verb = Verb::Submit;
    std::string host;
    std::string path;
    TimeUs budgetUs = 0;           // the caller waits this long; 0: unknown
    std::optional<JobRequest> job; // of a valid Submit
    std::string problem;           // why the body of a Submit is malformed
};
// May arrive before the CallerRequest.
struct CallerGone
{
    CallerId caller{};
};

enum class AnswerKind : std::uint8_t {
    Completed,    // all tasks are done
    Failed,       // a task has failed maxAttempts times or can never run
    GivenUp,      // the job was not completed in time; its tasks are stopped and may have had effects
    Refused,      // nothing of the job has run or will run
    NotReady,     // as Refused: configuration or backend servers are not known yet
    UnknownRoute, // no route for the host and path
    UnknownJob,   // no such job
    Malformed,    // the request cannot be understood
    State,        // state of a job
    Pending,      // number of waiting jobs of a route
    Cancelled,
};

std::string_view toString(AnswerKind kind);

struct AnswerCaller
{
    CallerId caller{};
    AnswerKind kind = AnswerKind::Failed;
    std::string reason;        // of Failed and Refused
    std::string detail;        // of Malformed
    TimeUs retryAfterUs = 0;   // of Refused, NotReady and GivenUp: when to submit again; 0: not known
    std::uint32_t pending = 0; // of Pending
    bool running = false;      // of State: false means queued
};

// Peers ---------------------------------------------------------------------------------------------

// Asks the commander of backend servers to start tasks of one job.
struct PlaceTasks
{
    struct Item
    {
        std::uint32_t index = 0;
        RunNumber run = 0;
        std::string server;
    };
    std::string job;
    std::string spec;
    std::string service;
    Resources taskResources;
    TimeUs expectedUs = 0;       // work on a backend server of speed 1
    std::uint64_t sequence = 0;  // of the messages of this kind to this peer
    TimeUs echo = 0;             // sentAt of the last CapacityReport from the receiver; bounds the age of the order
    std::uint32_t lossCount = 0; // as CapacityReport::lossCount
    std::vector<Item> items;
};
// Reports to the coordinator of a job how a run ended.
struct TaskEnded
{
    TaskId task;
    RunNumber run = 0;
    RunEnd end = RunEnd::Done;
    TimeUs maxRemainingUs = 0; // of Lost: upper bound of the time until the run has ended
    std::string server;
};
// Asks the commander to stop the runs of a job.
struct StopJob
{
    std::string job;
    bool stalled = false; // stop only the run of task stalledIndex, which is overdue
    std::uint32_t stalledIndex = 0;
};
// Free capacity of the backend servers that the sender commands; also the heartbeat of a link.
struct CapacityReport
{
    struct ServerCapacity
    {
        std::string server;
        Resources free;
        double speed = 1.0;
        FencingToken token = 0;
        bool usable = false;
        std::uint32_t startsLeft = unlimitedStarts; // that it can take now
    };
    TimeUs sentAt = 0;              // on the sender's clock
    bool coordinates = false;       // the sender accepts jobs of other entry VMs of its zone
    bool stopping = false;          // the sender drains
    std::uint64_t lastSequence = 0; // of the last PlaceTasks from the receiver that the sender has handled
    bool hasRecentContact = false;  // the sender has received messages of the receiver recently
    std::uint32_t lossCount = 0; // how often the sender has lost the receiver and given up the runs it requested there
    std::vector<ServerCapacity> capacities; // changes since the last report; not usable: remove the entry
    std::int64_t configurationVersion = 0;
    bool wantsCapacity = true;                       // the sender has waiting tasks, or had some recently
    TimeUs startQueueUs = 0;                         // expected wait of a further start at the link of the sender
    TimeUs perStartUs = 0;                           // what each further start adds to it
    std::vector<CrashCount> crashes;                 // changes since the last report
    std::vector<UnconfirmedStart> unconfirmedStarts; // changes since the last report
    // Of PlaceTasks from the receiver: the runs requested up to it exist, have ended, or will never begin.
    std::uint64_t confirmedSequence = 0;
    bool holdsShards = true; // shards are assigned to the sender
    TimeUs handoverInUs = 0; // the sender drains: runs on its backend servers must end within this time; 0: it does not
    bool knowsEvacuations = false;              // the state that the sender has reported is Evacuations::isCurrent()
    std::optional<EvacuationState> evacuations; // when it has changed since the last report
};
// A configuration that the receiver may not have yet.
struct RelayedConfiguration
{
    Configuration configuration;
};

// Forwards a caller's request to a coordinator.
struct ForwardRequest
{
    std::uint64_t sequence = 0; // of the requests that the sender has forwarded
    TimeUs echo = 0;            // as PlaceTasks::echo
    CallerRequest request;      // the caller id is valid at the sender only
};
// Reports to the coordinator that the caller has disconnected.
struct ForwardGone
{
    std::uint64_t sequence = 0;
};
// Answer to a ForwardRequest.
struct ForwardAnswer
{
    std::uint64_t sequence = 0;
    AnswerCaller answer; // the caller id is valid at the receiver only
};

using PeerMessage = std::variant<PlaceTasks, TaskEnded, StopJob, CapacityReport, RelayedConfiguration, ForwardRequest,
                                 ForwardGone, ForwardAnswer>;

// An entry VM of the deployment, as registered.
struct PeerAnnounced
{
    std::string node;
    std::string zone;
    std::uint32_t milliCores = 0; // of its processor
};
struct PeerWithdrawn
{
    std::string node;
};
struct PeersKnown // PeerAnnounced was sent for all entry VMs of the first complete read
{
    bool isFirstStart = false; // this entry VM was not yet registered: others may start at the same time
};

struct PeerConnected
{
    std::string node;
    std::string zone;
};
struct PeerDisconnected
{
    std::string node;
};
struct PeerReceived
{
    std::string node;
    PeerMessage message;
};
struct SendPeer
{
    std::string node;
    PeerMessage message;
};
// Opens and keeps a link to an announced entry VM, or closes the link.
struct LinkPeer
{
    std::string node;
    bool wanted = false;
};
// Whether this entry VM is a candidate when the shards of its zone are assigned.
struct TakeShards
{
    bool takes = false;
};

// Event, Action -------------------------------------------------------------------------------------

struct ConfigurationRead
{
    Configuration configuration;
};
struct Tick
{};
// Limits of the platform that may change while the process runs.
struct BoundsChanged
{
    TimeUs maxLeaseUs = 0; // longest lease of a run
    TimeUs drainUs = 0;    // longest drain
    double farX = 1.0;     // see FleetSettings
};
struct BeginDrain // see FleetDispatcher::isDrained()
{};

using Event = std::variant<ConfigurationRead, EvacuationRead, EvacuationsKnown, EvacuationsConfirmed, ServerListed,
                           ServerDelisted, ServersKnown, StoreState, ShardsAssigned, StartResult, StopResult,
                           HoldResult, CallerRequest, CallerGone, PeerAnnounced, PeerWithdrawn, PeersKnown,
                           PeerConnected, PeerDisconnected, PeerReceived, Tick, BoundsChanged, BeginDrain>;

// A line for the process log.
struct LogLine
{
    bool warning = false;
    std::string_view part; // static text: "jobs", "servers", "peers", "config", "store", "link" or "process"
    std::string text;      // a short sentence, then key=value fields
};

using Action = std::variant<AnswerCaller, SendStart, SendStop, SendHold, SendPeer, LinkPeer, TakeShards, LogLine>;

} // namespace clementinelift::command
