// The command core: jobs of callers on one side, command of backend servers and links to peers on the other.
//
// A state machine without I/O: handle(now, event, actions). The elected entry VMs of an availability zone coordinate
// jobs; the others pass their callers' requests on to one of them (election.h). A coordinator places the job's tasks on
// backend servers that it commands itself or, over the peer links, on those that peers command and have free room.
// Tasks wait at their coordinator only; a commander without room says so at once.
//
// Contents
//   Settings, counters
//   FleetDispatcher
#pragma once

#include "command/commander.h"
#include "command/election.h"
#include "command/job.h"
#include "command/placement.h"
#include "command/route_table.h"
#include "command/run_times.h"

#include <array>
#include <map>
#include <set>

namespace clementinelift::command {

// Settings, counters --------------------------------------------------------------------------------

struct FleetSettings
{
    std::string node;                   // name of this entry VM
    std::string zone;                   // its availability zone
    std::uint32_t milliCores = 1000;    // of its processor
    TimeUs maxLeaseUs = 1000 * usPerMs; // longest lease of a run
    TimeUs drainUs = 6 * usPerS;        // from the begin of a planned stop to its end at latest
};

// Totals since the start.
struct FleetCounters
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t late = 0; // of completed
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t givenUp = 0;
    std::uint64_t unknownRoutes = 0;
    std::uint64_t callersGone = 0;
    std::uint64_t starts = 0;                                     // ordered here
    std::uint64_t remoteStarts = 0;                               // asked of peers
    std::uint64_t remoteRefusals = 0;                             // tasks that a peer did not start
    std::uint64_t stalls = 0;                                     // tasks stopped because they were overdue
    std::uint64_t retries = 0;                                    // further runs of a task
    std::uint64_t forwardedRequests = 0;                          // requests sent to a coordinator
    std::uint64_t receivedForwards = 0;                           // requests of other entry VMs
    absl::flat_hash_map<std::string_view, std::uint64_t> reasons; // of refused and failed jobs
    std::array<std::uint64_t, 16> answerTimes{};                  // of completed jobs, see answerBoundsMs
    double answerSeconds = 0;                                     // sum over completed jobs
};
constexpr std::array<std::int64_t, 15> answerBoundsMs{10,  20,  40,  60,   80,   100,  150, 200,
                                                      300, 400, 600, 1000, 1500, 3000, 6000};

// FleetDispatcher -----------------------------------------------------------------------------------

class FleetDispatcher
{
public:
    explicit FleetDispatcher(const FleetSettings &settings);

    void handle(TimeUs now, Event &&event, std::vector<Action> &actions);

    // Time of the next Tick that has to come, at latest.
    TimeUs nextTick() const { return m_nextTick; }

    bool isReady() const;
    bool isCommanding() const { return m_commands; } // it is elected
    bool isDraining() const { return m_drainingSince != never; }
    bool isDrained() const { return m_drained; } // after BeginDrain: nothing is in progress or the time is over
    bool mayReleaseShards() const { return !m_commander.hasDepartingRuns(); }

    const FleetCounters &counters() const { return m_counters; }
    const RouteTable &routes() const { return m_routes; }
    const Commander &commander() const { return m_commander; }
    std::size_t jobCount() const { return m_jobs.size(); }
    std::size_t waitingCount() const { return m_waiting.size(); }
    std::size_t peerCount() const;

private:
    // A run whose job has been answered; the task starts again only when it has ended.
    struct EndingRun
    {
        std::string node; // commander
        RunNumber run = 0;
        TimeUs deadAt = 0; // it has ended by then, whatever is heard of it
    };
    struct InFlight
    {
        std::uint64_t sequence = 0;
        std::string server;
        Resources resources;
    };
    struct PeerRoom
    {
        CapacityReport::ServerCapacity room; // as reported
        Resources promised;                  // to orders that the peer has not handled yet
    };
    struct Peer
    {
        std::string zone;
        bool connected = false;
        bool lost = true;         // its runs and ours are given up
        bool coordinates = false; // it commands backend servers and takes requests of others
        bool stopping = false;    // its planned stop has begun; it takes requests while nobody else does
        TimeUs heardAt = 0;
        TimeUs hearsUsAt = 0;          // last report that says it hears us
        std::uint32_t lossCount = 0;   // how often it was lost here
        std::uint32_t theirLosses = 0; // how often it has lost this entry VM
        TimeUs reportSentAt = 0;       // on its clock: when its last report was sent
        TimeUs behindSince = never;    // its configuration is older than the own one
        std::uint64_t lastSent = 0;    // sequence of PlaceTasks
        std::uint64_t lastHandled = 0; // sequence of PlaceTasks from it
        std::vector<InFlight> inFlight;
        std::map<std::string, PeerRoom, std::less<>> capacities;
        TimeUs reportAt = 0;           // last report to it
        std::uint64_t toldVersion = 0; // of m_reported: what it has been told
    };
    struct ReportedRoom
    {
        CapacityReport::ServerCapacity room;
        std::uint64_t version = 0; // when it changed last
    };
    // An entry VM that has announced itself, whether a link to it is there or not.
    struct Announced
    {
        std::string zone;
        std::uint32_t milliCores = 0;
        bool linkWanted = false;
        TimeUs missedSince = never;  // a link is wanted and not there
        TimeUs surplusSince = never; // a link is there and not needed
    };
    // A request of an own caller that a coordinator answers.
    struct PassedOn
    {
        CallerId caller{};
        std::string node; // coordinator
        std::string job;
        bool submits = false;
    };
    // A request that is to be passed on when a pause is over or a coordinator is found.
    struct HeldRequest
    {
        CallerRequest request;
        TimeUs since = 0;
    };
    // A caller of another entry VM.
    struct RemoteCaller
    {
        std::string node;
        std::uint64_t sequence = 0;
    };

    // Events
    void on(ConfigurationRead &event);
    void on(ServerListed &event);
    void on(ServerDelisted &event);
    void on(ServersKnown &event);
    void on(ShardsAssigned &event);
    void on(StoreState &event);
    void on(StartResult &event);
    void on(StopResult &event);
    void on(HoldResult &event);
    void on(CallerRequest &event);
    void on(CallerGone &event);
    void on(PeerAnnounced &event);
    void on(PeerWithdrawn &event);
    void on(PeersKnown &event);
    void on(PeerConnected &event);
    void on(PeerDisconnected &event);
    void on(PeerReceived &event);
    void on(Tick &event);
    void on(BoundsChanged &event);
    void on(BeginDrain &event);
    // Messages of peers
    void onMessage(const std::string &node, Peer &peer, PlaceTasks &message);
    void onMessage(const std::string &node, Peer &peer, TaskEnded &message);
    void onMessage(const std::string &node, Peer &peer, StopJob &message);
    void onMessage(const std::string &node, Peer &peer, CapacityReport &message);
    void onMessage(const std::string &node, Peer &peer, RelayedConfiguration &message);
    void onMessage(const std::string &node, Peer &peer, ForwardRequest &message);
    void onMessage(const std::string &node, Peer &peer, ForwardGone &message);
    void onMessage(const std::string &node, Peer &peer, ForwardAnswer &message);

    // Coordinators
    void elect();
    void setCommanding(bool commands);
    void wantLinks(std::span<const std::string_view> wanted);
    bool isAlive(std::string_view node, const Announced &announced) const;
    bool isCoordinator(const Peer &peer) const;
    bool isCoordinatorThere() const;
    void passOn(CallerRequest &&request, std::string_view job);
    bool tryHold(CallerRequest &request);
    void loseCallersOf(const std::string &node);
    void flushHeldRequests();
    void losePassedOn(const std::string &node);

    // Callers
    void take(CallerRequest &request);
    void submit(CallerRequest &request, const Route &route, std::string_view id);
    void send(AnswerCaller &&answer);
    std::string_view findUnservable(const JobRequest &request, const Route &route) const;
    bool fitsSomewhere(const Resources &taskResources, std::string_view service) const;
    void answer(CallerId caller, AnswerKind kind, std::string_view reason = {}, TimeUs retryAfterUs = 0);
    void completeJob(Job &job);
    void failJob(Job &job, std::string_view reason);
    void giveUpJob(Job &job, std::string_view reason);
    void refuseJob(Job &job, std::string_view reason, TimeUs retryAfterUs);
    void endJob(Job &job, AnswerKind kind, std::string_view reason, TimeUs retryAfterUs);
    void stopRuns(Job &job);
    TimeUs drainEnd() const;
    void endDrain();
    void delistLapsed();
    TimeUs expectRoomAfter() const;

    // Placing
    void dispatch();
    void collectCandidates();
    void placeJob(Job &job, bool othersWait);
    void placeTask(Job &job, std::uint32_t index, Candidate &candidate);
    void flushOrders(Job &job);
    void setWaiting(Job &job, std::uint32_t index);
    void reorder(Job &job, bool isWaiting);
    void keepEndingRuns(const Job &job);
    void blockEndingTasks(Job &job);
    void onEndingRun(const std::string &node, const TaskEnded &ended);
    void onTaskEnded(const std::string &node, const TaskEnded &ended);
    void takeEnds();
    void dropHopeless();
    void checkRunning();

    // Peers
    void relayConfiguration(const std::string &node, Peer &peer, std::int64_t version);
    void noteLosses(const std::string &node, Peer &peer, std::uint32_t lossCount);
    void losePeer(const std::string &node, Peer &peer);
    void noteRooms();
    void reportRooms();

    void logLine(bool warning, std::string_view part, std::string text);

    FleetSettings m_settings;
    RouteTable m_routes;
    Commander m_commander;
    WorkEstimates m_work;
    std::map<std::string, Job, std::less<>> m_jobs;       // in an order that does not vary between runs
    absl::flat_hash_map<CallerId, std::string> m_callers; // job of each caller that waits
    std::set<std::pair<TimeUs, std::string>> m_waiting;   // jobs with waiting tasks, by order of service
    std::map<std::string, Peer, std::less<>> m_peers;
    std::map<TaskId, EndingRun> m_endingRuns;
    std::vector<Candidate> m_candidates;                           // of one dispatch()
    std::vector<CapacityReport::ServerCapacity> m_ownRooms;        // of one dispatch()
    std::map<std::string, std::vector<PlaceTasks::Item>> m_orders; // of one job in dispatch(), by node
    std::vector<Ended> m_ended;
    std::vector<Action> *m_actions = nullptr; // of one handle()
    TimeUs m_now = 0;                         // of one handle()
    TimeUs m_lastEventAt = 0;
    TimeUs m_nextTick = 0;
    TimeUs m_noStartsUntil = 0;          // after a pause of the process
    std::uint64_t m_seenRoomVersion = 0; // of the commander: what m_reported shows
    std::uint64_t m_reportVersion = 0;   // of the last change in m_reported
    std::map<std::string, ReportedRoom, std::less<>> m_reported;
    std::map<std::string, Announced, std::less<>> m_announced;
    TimeUs m_electFrom = never; // the entry VMs are known well enough
    TimeUs m_electAt = 0;       // last election
    bool m_commands = false;
    bool m_takesShards = false;  // as the store was told
    ShardsAssigned m_shardsHeld; // as the store told last
    TimeUs m_outvotedSince = never;
    std::map<std::uint64_t, PassedOn> m_passedOn;              // by sequence
    absl::flat_hash_map<CallerId, std::uint64_t> m_passedOnOf; // sequence, by caller
    std::uint64_t m_lastPassedOn = 0;
    std::vector<HeldRequest> m_heldRequests;
    TimeUs m_startedAt = 0;     // first event
    TimeUs m_coordinatorAt = 0; // when a coordinator of the zone was there last
    absl::flat_hash_map<CallerId, RemoteCaller> m_remoteCallers;
    std::map<std::pair<std::string, std::uint64_t>, CallerId> m_remoteCallerIds; // by node and sequence
    std::uint64_t m_lastRemoteCaller = 0;
    bool m_serversKnown = false;
    bool m_storeAway = false;
    TimeUs m_storeBackAt = never / 2 * -1;  // when the store answered again
    std::map<std::string, TimeUs> m_lapsed; // entries that went while the store was away, until they count as gone
    bool m_roomMayBeFree = true;            // something has changed since the last dispatch()
    TimeUs m_drainingSince = never;
    bool m_drained = false;
    FleetCounters m_counters;
};

} // namespace clementinelift::command
