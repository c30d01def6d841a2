// The command core: accepts jobs of callers, commands backend servers and exchanges messages with peers.
//
// A state machine without I/O: apply(now, event, actions) for each event, then placeTasks(now, actions) once for all
// events that have arrived together. The elected entry VMs of an availability zone coordinate
// jobs; the others forward their callers' requests to one of them (election.h). A coordinator places the tasks of a job
// on backend servers that it commands itself or, over the peer links, on backend servers of peers with free capacity.
// Tasks wait only at their coordinator; a commander without free capacity rejects a start at once.
//
// Contents
//   Settings, counters
//   FleetDispatcher
#pragma once

#include "command/better_place.h"
#include "command/commander.h"
#include "command/crash_record.h"
#include "command/election.h"
#include "command/evacuation.h"
#include "command/forecast.h"
#include "command/job.h"
#include "command/job_memory.h"
#include "command/placement.h"
#include "command/retry_after.h"
#include "command/route_table.h"
#include "command/run_times.h"

#include <array>
#include <map>
#include <set>
#include <tuple>

namespace clementinelift::command {

// Settings, counters --------------------------------------------------------------------------------

struct FleetSettings
{
    std::string node;                   // name of this entry VM
    std::string zone;                   // its availability zone
    std::uint32_t milliCores = 1000;    // of its processor
    TimeUs maxLeaseUs = 1000 * usPerMs; // longest lease of a run
    TimeUs drainUs = 6 * usPerS;        // longest drain
    double farX = 1.0;                  // run time of a task on another rack than its data, as a multiple
    TimeUs maxBetterWaitUs = usPerS;    // longest wait of a job for better backend servers; 0: none
    std::size_t jobBytes = 256u << 20;  // of all jobs and waiting requests
    std::size_t maxStarts = SIZE_MAX;   // see CommanderSettings
    std::size_t maxRuns = SIZE_MAX;     // see CommanderSettings
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
    std::uint64_t remoteStarts = 0;                               // requested from peers
    std::uint64_t remoteRefusals = 0;                             // tasks that a peer did not start
    std::uint64_t stalls = 0;                                     // tasks stopped because they were overdue
    std::uint64_t retries = 0;                                    // further runs of a task
    std::uint64_t forwardedRequests = 0;                          // requests forwarded to a coordinator
    std::uint64_t receivedForwards = 0;                           // requests forwarded by other entry VMs
    std::uint64_t deferredStarts = 0;                             // jobs that did not begin without room for all tasks
    std::uint64_t candidatesExamined = 0;                         // in choosing places for tasks
    std::uint64_t placingPasses = 0;                              // over the waiting jobs and the free capacity
    std::uint64_t betterWaits = 0;                                // jobs that have waited for better backend servers
    std::uint64_t betterWaitsPaid = 0;                            // of them: all tasks got one
    std::uint64_t betterWaitsExpired = 0;                         // of them: waited until the deadline of the wait
    std::uint64_t betterWaitsEndedEarly = 0;                      // of them: none was expected any more
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

    // Applies one event; waiting tasks stay where they are.
    void apply(TimeUs now, Event &&event, std::vector<Action> &actions);
    // Places waiting tasks if an event since the last call may have freed or changed capacity.
    void placeTasks(TimeUs now, std::vector<Action> &actions);

    // Latest time at which the next Tick is due.
    TimeUs nextTick() const { return m_nextTick; }

    bool isReady() const;
    bool isCommanding() const { return m_commands; } // elected as commander
    bool isDraining() const { return m_drainingSince != never; }
    // After BeginDrain: nothing is in progress, or the time limit has passed.
    bool isDrained() const { return m_drained; }
    // Shards that are assigned to another entry VM while backend servers of them still have runs here, and the token of
    // the assignment that this takes into account.
    std::vector<std::uint32_t> shardsToHandOver() const { return m_commander.shardsToHandOver(); }
    FencingToken shardToken() const { return m_assignedShards.token; }

    const FleetCounters &counters() const { return m_counters; }
    const RouteTable &routes() const { return m_routes; }
    const Commander &commander() const { return m_commander; }
    const Evacuations &evacuations() const { return m_evacuations; }
    std::size_t jobCount() const { return m_jobs.size(); }
    std::size_t waitingCount() const { return m_waiting.size(); }
    const JobMemory &jobMemory() const { return m_jobMemory; }
    std::size_t peerCount() const;

private:
    // A run whose job has been answered; the same task is not started again before this run has ended.
    struct EndingRun
    {
        std::string node; // commander
        std::string server;
        RunNumber run = 0;
        TimeUs endsBy = 0;          // latest end, also without contact to the commander
        std::uint64_t sequence = 0; // of the PlaceTasks to the commander
    };
    struct InFlight
    {
        std::uint64_t sequence = 0;
        std::string server;
        Resources resources;
    };
    struct PeerCapacity
    {
        CapacityReport::ServerCapacity capacity; // as reported
        Resources reserved;                      // by orders that the peer has not handled yet
    };
    struct Peer
    {
        std::string zone;
        bool connected = false;
        bool lost = true;          // contact is lost; the runs requested by either side are given up
        bool coordinates = false;  // it commands backend servers and accepts forwarded requests
        bool stopping = false;     // it drains; requests are forwarded to it only when there is no other coordinator
        bool holdsShards = false;  // as last reported by it
        TimeUs handoverAt = never; // as last reported by it: no runs there after this
        bool inUse = false;        // as of the last tick: requests or runs of one side depend on the other
        bool wantsCapacity = true; // as last reported by it
        TimeUs startQueueUs = 0;   // as last reported by it
        TimeUs perStartUs = 0;     // as last reported by it
        TimeUs lastContactAt = 0;
        TimeUs contactConfirmedAt = 0;       // last report with hasRecentContact set
        std::uint32_t lossCount = 0;         // how often this entry VM has lost the peer
        std::uint32_t remoteLossCount = 0;   // how often the peer has lost this entry VM
        TimeUs reportSentAt = 0;             // on its clock: when its last report was sent
        TimeUs outdatedSince = never;        // its configuration is older than the one here
        std::uint64_t lastSent = 0;          // sequence of PlaceTasks
        std::uint64_t lastHandled = 0;       // sequence of PlaceTasks from it
        std::uint64_t confirmedSequence = 0; // as last reported by it
        std::vector<InFlight> inFlight;
        std::map<std::string, PeerCapacity, std::less<>> capacities;
        TimeUs reportAt = 0;                   // when the last report was sent to it
        bool reportedWant = false;             // wantsCapacity of the last report sent to it
        std::uint64_t reportedVersion = 0;     // of m_reported, as last sent to it
        std::uint64_t reportedCrashes = 0;     // version of m_crashes, as last sent to it
        std::uint64_t reportedStarts = 0;      // version of the unconfirmed starts, as last sent to it
        std::uint64_t reportedEvacuations = 0; // version of m_evacuations, as last sent to it
    };
    struct ReportedCapacity
    {
        CapacityReport::ServerCapacity capacity;
        std::uint64_t version = 0; // m_reportVersion of the last change
    };
    // A registered entry VM, with or without a link to it.
    struct Announced
    {
        std::string zone;
        std::uint32_t milliCores = 0;
        bool linkWanted = false;
        TimeUs unreachableSince = never; // a link is wanted and not connected
        TimeUs unneededSince = never;    // a link is connected and not needed
    };
    // A request of an own caller that was forwarded to a coordinator.
    struct ForwardedRequest
    {
        CallerId caller{};
        std::string node; // coordinator
        std::string job;
        bool submits = false;
        TimeUs echo = 0;                        // as sent
        std::optional<CallerRequest> copy = {}; // kept when the echo is old and the coordinator may reject it
        std::size_t memoryBytes = 0;            // of copy
    };
    // A request that waits for the end of resumeDelayUs or for a coordinator.
    struct QueuedRequest
    {
        CallerRequest request;
        TimeUs since = 0;
        std::size_t memoryBytes = 0;
    };
    // A caller of another entry VM.
    struct RemoteCaller
    {
        std::string node;
        std::uint64_t sequence = 0;
    };

    // Events
    void on(ConfigurationRead &event);
    void on(EvacuationRead &event);
    void on(EvacuationsKnown &event);
    void on(EvacuationsConfirmed &event);
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

    // Elections and forwarding
    void elect();
    void setCommanding(bool commands);
    void updateLinks(std::span<const std::string_view> wanted);
    bool isAlive(std::string_view node, const Announced &announced) const;
    bool isCoordinator(const Peer &peer) const;
    bool hasCoordinator() const;
    int coordinatorRank(const Peer &peer) const;
    int bestCoordinatorRank() const;
    bool coordinatesOwnCallers() const;
    void forwardRequest(CallerRequest &&request, std::string_view job);
    bool tryForwardAgain(const std::string &node, const Peer &peer, const ForwardAnswer &message);
    bool tryQueueRequest(CallerRequest &request, std::string_view job);
    void queueRequest(CallerRequest &&request, std::string_view job);
    void eraseForwarded(std::uint64_t sequence);
    void dropCallersOf(const std::string &node);
    void flushQueuedRequests();
    void giveUpForwarded(const std::string &node);

    // Callers
    void processRequest(CallerRequest &request);
    void rememberGoneCaller(CallerId caller);
    void submit(CallerRequest &request, const Route &route, std::string_view id);
    void send(AnswerCaller &&answer);
    void refuse(CallerId caller, std::string_view id, std::string_view reason, TimeUs retryAfterUs);
    bool mayHaveRun(std::string_view id) const;
    void refuseForMemory(CallerId caller, std::string_view id, std::size_t bytes);
    bool isRegistryIncomplete(std::string_view service) const;
    bool endsAfterDrain(const CallerRequest &request, const Route &route) const;
    std::string_view findUnservable(const JobRequest &request, const Route &route) const;
    void answer(CallerId caller, AnswerKind kind, std::string_view reason = {}, TimeUs retryAfterUs = 0);
    void completeJob(Job &job);
    void failJob(Job &job, std::string_view reason);
    void giveUpJob(Job &job, std::string_view reason, TimeUs retryAfterUs = 0);
    void refuseJob(Job &job, std::string_view reason, TimeUs retryAfterUs);
    void endJob(Job &job, AnswerKind kind, std::string_view reason, TimeUs retryAfterUs);
    void stopRuns(Job &job);
    bool needsFrequentTicks() const;
    TimeUs drainEnd() const;
    void endDrain();
    TimeUs runsEndBy() const;
    void handOverShards();
    void removeLapsedServers();
    double endsPerS() const;
    TimeUs retryAfter(const Job &refused);

    // Placing
    void dispatch();
    void collectCandidates();
    Resources smallestWaitingTask() const;
    bool placeJob(Job &job, bool othersWait);
    void sendOrder(Job &job, const std::string &node, const Resources &taskResources, TimeUs expectedUs,
                   std::vector<PlaceTasks::Item> &&items);
    void placeTask(Job &job, std::uint32_t index, const Candidate &candidate, const Resources &reserved, TimeUs startUs,
                   const PlacingTask &wanted);
    void flushOrders(Job &job);
    // Waiting for better backend servers, in fleet_waiting.cpp
    bool mayBeBetter(const PlacingTask &wanted, const Candidate &candidate) const;
    bool waitsForBetter(Job &job, const PlacingTask &wanted, const Candidate &candidate, std::size_t count,
                        TimeUs otherEndsUs);
    void endBetterWait(Job &job, std::uint64_t &counter, std::string_view outcome);
    void collectExpectedPlaces();
    std::size_t countTasksBehind(const Job &first, std::size_t enough) const;
    std::size_t countWaitingByChoice() const;
    void setWaiting(Job &job, std::uint32_t index);
    void setInQueue(Job &job, bool isWaiting);
    void rememberEndingRuns(const Job &job);
    void blockEndingTasks(Job &job);
    void onEndingRun(const std::string &node, const TaskEnded &ended);
    void onTaskEnded(const std::string &node, const TaskEnded &ended, bool isPeerLost = false);
    void deliverRunEnds();
    void onCrash(const TaskId &task, std::string_view server, CrashNotice notice);
    void setCrashes(const CrashCount &counts);
    void logUnconfirmedStart(const UnconfirmedStart &start);
    void applyUnconfirmedStarts();
    bool blockUnconfirmedTasks(Job &job);
    void refuseHopelessJobs();
    void checkRunning();

    // Evacuations
    void onEvacuationChanges(const Evacuations::Changes &changes, std::string_view source);
    void mergeEvacuations(const std::string &node, CapacityReport &message);
    void reportEvacuations(Peer &peer, CapacityReport &report) const;
    void updateMayStart();
    void checkEvacuations();
    bool isCapacityEvacuated(const Job &job) const;
    void endEvacuatedJob(Job &job);
    bool wantsCapacity() const;

    // Peers
    TimeUs relayTurn(std::string_view node) const;
    void relayConfiguration(const std::string &node, Peer &peer);
    void compareConfiguration(Peer &peer, std::int64_t version);
    void handleLossCount(const std::string &node, Peer &peer, std::uint32_t lossCount);
    void checkPeer(const std::string &node, Peer &peer);
    void markPeersInUse();
    TimeUs contactTime() const;
    void confirmContact(const std::string &node, Peer &peer);
    void updateReportedCapacities();
    bool hasNewsFor(const Peer &peer) const;
    bool isReportDue(const Peer &peer) const;
    void sendReport(const std::string &node, Peer &peer, bool withCapacities);
    void sendCapacityReports();

    void logLine(bool warning, std::string_view part, std::string text);

    FleetSettings m_settings;
    RouteTable m_routes;
    Commander m_commander;
    Evacuations m_evacuations;
    TimeUs m_heldSince = never;           // since when starts wait for their state after a pause
    std::set<std::string> m_emptyZones;   // evacuated, logged as empty
    std::set<std::string> m_unknownZones; // evacuated, logged as having no backend server
    WorkEstimates m_work;
    RouteSpeeds m_routeSpeeds;
    RetryPlanner m_retryPlanner;
    PlaceForecast m_forecast;
    std::size_t m_placedCount = 0; // since the last update of m_forecast
    CrashRecord m_crashes;
    JobMemory m_jobMemory;
    std::map<std::string, Job, std::less<>> m_jobs;       // ordered, so that equal inputs give equal actions
    absl::flat_hash_map<CallerId, std::string> m_callers; // job of each waiting caller
    std::set<CallerId> m_goneCallers;                     // disconnected before their requests were handled
    std::set<std::pair<TimeUs, std::string>> m_waiting;   // jobs with waiting tasks, by order of service
    std::map<std::string, Peer, std::less<>> m_peers;
    std::map<TaskId, EndingRun> m_endingRuns;
    bool m_wasSlowLink = false;
    LinkLoad m_link;                                             // of one placing pass
    std::vector<Candidate> m_candidates;                         // of one dispatch()
    std::size_t m_knownCapacityCount = 0;                        // of one dispatch(), with and without room
    bool m_placesWide = true;                                    // of one dispatch(): jobs wider than a pass go on
    TimeUs m_widePassAt = 0;                                     // when they do next
    double m_endsPerS = 0;                                       // of one dispatch(), expected ends of tasks here
    std::vector<CapacityReport::ServerCapacity> m_ownCapacities; // of one dispatch()
    double m_fastestSpeed = 0;       // of the usable backend servers commanded here; of one dispatch()
    ExpectedPlaces m_expectedPlaces; // of one dispatch(), once needed
    bool m_expectsPlaces = false;    // m_expectedPlaces is filled
    // Of one job in placeJob(), by node, by the resources that are reserved for each task and by its expected work.
    std::map<std::tuple<std::string, Resources, TimeUs>, std::vector<PlaceTasks::Item>> m_orders;
    std::uint64_t m_appliedStarts = 0; // version of the unconfirmed starts that the jobs here know
    std::vector<RunEndNotice> m_ended;
    std::vector<Action> *m_actions = nullptr; // of one apply() or placeTasks()
    TimeUs m_now = 0;                         // of one apply() or placeTasks()
    TimeUs m_lastEventAt = 0;
    TimeUs m_nextTick = 0;
    TimeUs m_noStartsUntil = 0; // set after the process was suspended
    TimeUs m_gapBegan = 0;      // last long gap between events
    TimeUs m_gapEnded = 0;
    std::uint64_t m_seenCapacityVersion = 0; // capacityVersion() of the commander when m_reported was updated
    bool m_reportsUnusable = false;          // m_reported names no usable backend server, after a pause
    std::uint64_t m_reportVersion = 0;       // of the last update of m_reported
    std::map<std::string, ReportedCapacity, std::less<>> m_reported;
    std::map<std::string, Announced, std::less<>> m_announced;
    TimeUs m_electionsFrom = never; // start of elections, once the entry VMs are known
    TimeUs m_lastElectionAt = 0;    // last election
    TimeUs m_waitedAt = 0;          // last time that tasks waited after a placing pass
    bool m_commands = false;
    bool m_takesShards = false;      // as last sent to the store
    ShardsAssigned m_assignedShards; // as last reported by the store
    TimeUs m_notElectedSince = never;
    std::map<std::uint64_t, ForwardedRequest> m_forwarded;            // by sequence
    absl::flat_hash_map<CallerId, std::uint64_t> m_forwardedByCaller; // sequence, by caller
    std::uint64_t m_lastForwarded = 0;
    std::vector<QueuedRequest> m_queuedRequests;
    TimeUs m_startedAt = 0;         // first event
    TimeUs m_coordinatorSeenAt = 0; // last time with a coordinator in the zone
    absl::flat_hash_map<CallerId, RemoteCaller> m_remoteCallers;
    std::map<std::pair<std::string, std::uint64_t>, CallerId> m_remoteCallerIds; // by node and sequence
    std::uint64_t m_lastRemoteCaller = 0;
    bool m_serversKnown = false;
    bool m_storeUnavailable = false;
    TimeUs m_storeAvailableSince = never / 2 * -1; // last time the store became available again
    std::map<std::string, TimeUs> m_lapsedServers; // removed around a store outage: when to remove the backend server
    bool m_dispatchNeeded = true;                  // a change since the last dispatch() may allow a start
    TimeUs m_drainingSince = never;
    TimeUs m_handoverAt = never; // in a drain: when the shards are handed over
    bool m_startsEnded = false;  // in a drain
    bool m_drained = false;
    FleetCounters m_counters;
};

} // namespace clementinelift::command
