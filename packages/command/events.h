// Events that reach the command core, and actions that it returns.
//
// Contents
//   Configuration     what the operator published
//   Backend servers   what they report, orders to them and their answers
//   Callers           requests and answers
//   Peers             messages between entry VMs
//   Event, Action
#pragma once

#include "command/types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace clementinelift::command {

// Configuration -------------------------------------------------------------------------------------

// One kind of request.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;            // whose backend servers run its tasks
    std::uint32_t priority = 0;     // 0 is the most urgent
    std::uint32_t maxAttempts = 1;  // failed runs of a task until its job has failed
    double stretch = 1.0;           // a job is on time within this multiple of its work, and targetUs more
    TimeUs targetUs = 0;            // see stretch
    TimeUs timeoutUs = 30 * usPerS; // longest time until the answer
};

struct Service
{
    std::string name;
    bool rejectsOverload = false; // its backend servers refuse what does not fit
};

struct Configuration
{
    std::int64_t version = 0; // rises with every change
    std::vector<Route> routes;
    std::vector<Service> services;
};

// Backend servers -----------------------------------------------------------------------------------

// A backend server as it describes itself.
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
    std::int64_t incarnationStartMs = 0; // start of this incarnation, Unix time; 0: not told

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
struct StoreState // whether the platform's store answers
{
    bool available = true;
};
struct ServersKnown // all entries of the first complete read were reported
{};

// The shards of the own availability zone whose backend servers this entry VM commands.
struct ShardsAssigned
{
    FencingToken token = 0;
    std::uint32_t shardCount = 0;
    std::vector<std::uint32_t> shards;
};

// A backend server's own clock, read by one exchange.
struct ClockReading
{
    std::int64_t serverMs = 0;
    TimeUs sentAt = 0;
    TimeUs receivedAt = 0;
};

enum class OrderOutcome : std::uint8_t {
    Accepted,
    NoRoom,
    Fenced,        // another entry VM has given orders under a higher token
    OldRun,        // a run with this or a higher number has been there
    Late,          // the lease had ended before the order arrived
    Unhealthy,     // the backend server turned the order away and did nothing
    Malformed,     // the backend server does not understand the order
    OtherInstance, // another incarnation answers at this address
    NotSent,       // no connection
    Unknown,       // no answer; the order may have taken effect, also later
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
    std::int64_t number = 0; // rises with every end of this incarnation
    TaskId task;
    RunNumber run = 0;
    RunEnd end = RunEnd::Done;
};

// Answer to SendHold.
struct HoldResult
{
    std::string server;
    std::uint64_t sequence = 0; // of the SendHold
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<ClockReading> clock;
    std::int64_t incarnationStartMs = 0; // 0: not told
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended;
};

struct SendStart
{
    std::string server;
    std::string address;
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
    std::uint64_t sequence = 0;
    std::optional<std::int64_t> leaseEndMs; // on the clock of the backend server
    std::int64_t acknowledgedEnd = 0;
    std::int64_t waitMs = 0; // the answer waits this long for an end
    FencingToken token = 0;
    TimeUs timeoutUs = 0;
};

// Callers -------------------------------------------------------------------------------------------

enum class Verb : std::uint8_t { Submit, Query, Cancel };

struct StepRequest
{
    std::uint32_t count = 0;
    Resources taskResources;
    TimeUs estimateUs = 0;     // 0: not told
    std::string requiredLabel; // empty: none
    std::string unsupported;   // a property that this version does not serve, empty: none
};

struct JobRequest
{
    std::string spec;
    std::vector<StepRequest> steps;
    bool answerIsResult = false; // the answer comes when the job has ended, and nothing is stored
    std::string unsupported;     // as StepRequest::unsupported
};

struct CallerRequest
{
    CallerId caller{};
    Verb verb = Verb::Submit;
    std::string host;
    std::string path;
    TimeUs budgetUs = 0;           // the caller waits this long; 0: not told
    std::optional<JobRequest> job; // of a well-formed Submit
    std::string problem;           // why the body of a Submit is malformed
};
struct CallerGone
{
    CallerId caller{};
};

enum class AnswerKind : std::uint8_t {
    Completed,    // all tasks are done
    Failed,       // tasks have failed as often as they may, or can never run
    GivenUp,      // the job is not done in time; its tasks are stopped and may have had effects
    Refused,      // nothing of the job has run or will run
    NotReady,     // as Refused: configuration or backend servers are not known yet
    UnknownRoute, // no such kind of request
    UnknownJob,   // no such job
    Malformed,    // the request cannot be understood
    State,        // state of a job
    Pending,      // number of jobs of a route that wait
    Cancelled,
};

std::string_view toString(AnswerKind kind);

struct AnswerCaller
{
    CallerId caller{};
    AnswerKind kind = AnswerKind::Failed;
    std::string reason;        // of Failed and Refused
    std::string detail;        // of Malformed
    TimeUs retryAfterUs = 0;   // of Refused and NotReady: when room is expected
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
    TimeUs echo = 0;             // sentAt of the last CapacityReport from the receiver: the order is younger than that
    std::uint32_t lossCount = 0; // as CapacityReport::losses
    std::vector<Item> items;
};
// Tells the coordinator of a job how a run ended.
struct TaskEnded
{
    TaskId task;
    RunNumber run = 0;
    RunEnd end = RunEnd::Done;
    TimeUs maxRemainingUs = 0; // of Lost: the run has certainly ended this much later
    std::string server;
};
// Asks the commander to stop all runs of a job.
struct StopJob
{
    std::string job;
    bool stalled = false; // only the run of stalledIndex, because it is overdue
    std::uint32_t stalledIndex = 0;
};
// Free room of the backend servers that the sender commands; also the heartbeat of a link.
struct CapacityReport
{
    struct ServerCapacity
    {
        std::string server;
        Resources free;
        double speed = 1.0;
        FencingToken token = 0;
        bool usable = false;
    };
    TimeUs sentAt = 0;              // on the sender's clock
    bool coordinates = false;       // the sender takes jobs of other entry VMs of its zone
    bool stopping = false;          // its planned stop has begun
    std::uint64_t lastSequence = 0; // of PlaceTasks that the sender has handled from the receiver
    bool hasRecentContact = false;  // the sender has heard the receiver lately
    std::uint32_t lossCount = 0; // how often the sender has given up the receiver and the runs that it asked for there
    std::vector<ServerCapacity> capacities; // that have changed since the last report; not usable: forget it
    std::int64_t configurationVersion = 0;
};
// A configuration that the receiver may not have read yet.
struct RelayedConfiguration
{
    Configuration configuration;
};

// Passes a caller's request on to a coordinator.
struct ForwardRequest
{
    std::uint64_t sequence = 0; // of the requests that the sender has passed on
    TimeUs echo = 0;            // as PlaceTasks::echo
    CallerRequest request;      // its caller is known to the sender only
};
// Tells the coordinator that the caller has left.
struct ForwardGone
{
    std::uint64_t sequence = 0;
};
// Answer to a ForwardRequest.
struct ForwardAnswer
{
    std::uint64_t sequence = 0;
    AnswerCaller answer; // its caller is known to the receiver only
};

using PeerMessage = std::variant<PlaceTasks, TaskEnded, StopJob, CapacityReport, RelayedConfiguration, ForwardRequest,
                                 ForwardGone, ForwardAnswer>;

// An entry VM of the deployment, as it has announced itself.
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
struct PeersKnown // all entry VMs that had announced themselves before were reported
{
    bool isFirstStart = false; // this entry VM was not among them: others may start at the same time
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
// Keeps a link to an announced entry VM, or none.
struct LinkPeer
{
    std::string node;
    bool wanted = false;
};
// Whether this entry VM takes part when shards of its zone are dealt out.
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
// Bounds of the platform that may change while the process runs.
struct BoundsChanged
{
    TimeUs maxLeaseUs = 0; // longest lease of a run
    TimeUs drainUs = 0;    // longest planned stop
};
struct BeginDrain // a planned stop: see Dispatcher::isDrained()
{};

using Event = std::variant<ConfigurationRead, ServerListed, ServerDelisted, ServersKnown, StoreState, ShardsAssigned,
                           StartResult, StopResult, HoldResult, CallerRequest, CallerGone, PeerAnnounced, PeerWithdrawn,
                           PeersKnown, PeerConnected, PeerDisconnected, PeerReceived, Tick, BoundsChanged, BeginDrain>;

// A line for the log of the process.
struct LogLine
{
    bool warning = false;
    std::string_view part; // static text: "jobs", "servers", "peers", "config"
    std::string text;      // a short sentence, then key=value fields
};

using Action = std::variant<AnswerCaller, SendStart, SendStop, SendHold, SendPeer, LinkPeer, TakeShards, LogLine>;

} // namespace clementinelift::command
