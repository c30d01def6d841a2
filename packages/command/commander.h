// Commands the backend servers of the shards assigned to this entry VM: starts, leases, ends and stops of runs.
//
// One entry VM commands a backend server at a time; the fencing token of its shards blocks orders of an earlier
// commander. Each run has a lease that hold orders renew, and ends when the lease expires. Two runs of a task never
// overlap because of two rules:
//   - A backend server that has a new commander, or that did not answer, is first asked for its runs without renewing
//     their leases. Unknown runs are stopped, and no task is started there until they have ended.
//   - A run whose end cannot be observed is reported as Lost, with the time by which its lease has certainly expired,
//     or with a far longer time when its start may yet be carried out (unconfirmed_starts.h).
//
// Contents
//   CommanderSettings, RunEndNotice, Stage
//   Commander
#pragma once

#include "command/better_place.h"
#include "command/cold_start.h"
#include "command/events.h"
#include "command/run_times.h"
#include "command/start_delay.h"
#include "command/unconfirmed_starts.h"

#include "command/text.h"

#include <map>
#include <span>

namespace clementinelift::command {

struct CommanderSettings
{
    std::string zone;                   // availability zone whose backend servers are commanded
    TimeUs maxLeaseUs = 1000 * usPerMs; // backend servers shorten longer leases to this
    std::size_t maxStarts = SIZE_MAX;   // in progress at a time, each with the specification of its job
    std::size_t maxRuns = SIZE_MAX;     // at a time, on all commanded backend servers
};

// Node name for this entry VM as coordinator of a job or as commander of a backend server.
constexpr std::string_view selfNode = "";

// The end of a run, addressed to the coordinator of its job.
struct RunEndNotice
{
    std::string coordinator; // node, or selfNode
    TaskEnded ended;
    CrashNotice crash = CrashNotice::None; // otherwise the end of the run is reported with another notice
};

enum class Stage : std::uint8_t {
    Foreign,  // another entry VM commands it
    Claiming, // its runs are being listed, without renewal of their leases
    Usable,
    Suspect, // the last orders were not answered
    Fenced,  // another commander has used a higher token
};

std::string_view toString(Stage stage);

// A listed backend server; racks and kinds are numbered from 1, in the order in which they were listed.
struct ListedServer
{
    const ServerEntry *entry = nullptr; // null: not listed
    std::uint32_t rack = 0;
    std::uint16_t kind = 0;
};

class Commander
{
public:
    explicit Commander(const CommanderSettings &settings);

    // Events. Results are appended to actions and ended.
    void addServer(TimeUs now, const ServerEntry &entry, std::vector<Action> &actions,
                   std::vector<RunEndNotice> &ended);
    void removeServer(TimeUs now, std::string_view server, std::vector<Action> &actions,
                      std::vector<RunEndNotice> &ended);
    void assignShards(TimeUs now, const ShardsAssigned &assigned, std::vector<Action> &actions,
                      std::vector<RunEndNotice> &ended);
    void onStartResult(TimeUs now, const StartResult &event, std::vector<Action> &actions,
                       std::vector<RunEndNotice> &ended);
    void onStopResult(TimeUs now, const StopResult &event, std::vector<Action> &actions);
    void onHoldResult(TimeUs now, const HoldResult &event, std::vector<Action> &actions,
                      std::vector<RunEndNotice> &ended);
    void tick(TimeUs now, std::vector<Action> &actions, std::vector<RunEndNotice> &ended);

    // Starts one task. False when the backend server cannot take the task now; no order is sent then.
    bool start(TimeUs now, std::string_view coordinator, const PlaceTasks &order, const PlaceTasks::Item &item,
               std::vector<Action> &actions);

    // Stops all runs of a job that this coordinator requested.
    void stopJob(TimeUs now, std::string_view coordinator, std::string_view job, std::vector<Action> &actions);
    // Stops one run that takes far longer than expected; its backend server gets no new tasks for a while.
    void stopStalled(TimeUs now, std::string_view coordinator, const TaskId &task, std::vector<Action> &actions);
    // Stops all runs of all jobs of a coordinator with which contact was lost.
    void stopCoordinator(TimeUs now, std::string_view coordinator, std::vector<Action> &actions);

    // The last time of contact with a coordinator in both directions. When the last contact is too old, no lease is
    // renewed on backend servers with runs of this coordinator.
    void setLastContact(const std::string &coordinator, TimeUs at) { m_lastContactAt[coordinator] = at; }

    // The first PlaceTasks of a coordinator with a run that is not known to exist or to have ended; 0: none.
    std::uint64_t firstUnconfirmed(std::string_view coordinator) const;
    // A peer that may have sent the start is lost: the run may begin until the backend server is heard.
    void addUnconfirmedStart(TimeUs now, const TaskId &task, std::string_view server, RunNumber run);
    // Applies the report of a peer about a start on any backend server.
    void mergeUnconfirmedStart(TimeUs now, const UnconfirmedStart &reported, std::vector<Action> &actions);
    void expireUnconfirmedStarts(TimeUs now) { m_unconfirmedStarts.expire(now); }
    const UnconfirmedStarts &unconfirmedStarts() const { return m_unconfirmedStarts; }

    // Applies to leases from now on.
    void setMaxLease(TimeUs maxLeaseUs) { m_settings.maxLeaseUs = maxLeaseUs; }

    // Evacuations: from now on nothing is started on backend servers of these zones, and held starts there are dropped.
    void setEvacuatedZones(TimeUs now, const std::vector<std::string> &zones, std::vector<RunEndNotice> &ended);
    // Starts nothing while false, as before the first call. Runs go on. Returns whether this is a change.
    bool setMayStart(bool mayStart);
    void setColdLimits(std::span<const Service> services);
    // Whether the capacity of some backend server outside evacuated zones is large enough for the task.
    bool fitsOutsideEvacuation(const Resources &taskResources, std::string_view service) const;
    struct ZoneRuns
    {
        std::size_t listed = 0;    // backend servers of the zone in the registry
        std::size_t commanded = 0; // of them, or not listed any more
        std::size_t unknown = 0;   // of commanded: their runs are not known at present
        std::size_t runs = 0;      // on commanded backend servers
    };
    ZoneRuns zoneRuns(std::string_view zone) const;

    // Starts no further tasks, for a drain.
    void disableStarts() { m_startsDisabled = true; }

    // Free capacities of the commanded backend servers, for placing here and for reports to peers.
    std::vector<CapacityReport::ServerCapacity> capacities(TimeUs now) const;
    bool hasRuns() const { return !m_runs.empty(); }
    std::size_t runCount() const { return m_runs.size(); }
    std::size_t stopsInProgress() const { return m_stopsInProgress; } // sent and neither answered nor timed out
    // Coordinators of the runs, with repetitions; valid until the next event.
    std::vector<std::string_view> runCoordinators() const;
    bool isCommanded(std::string_view server) const;
    // Shards assigned to another entry VM of which backend servers still have runs here, ascending. Only without such
    // runs can a shard be handed over.
    std::vector<std::uint32_t> shardsToHandOver() const;
    std::size_t commandedCount() const;
    const ServerEntry *findEntry(std::string_view server) const;
    ListedServer findListed(std::string_view server) const;
    // Number of a rack; 0 for the empty name, and a number that no backend server has for an unknown rack.
    std::uint32_t rackNumber(std::string_view rack) const;
    // Adds the commanded backend servers that can take starts, with the expected ends of their runs.
    void addExpectedPlaces(TimeUs now, ExpectedPlaces &places) const;
    // Whether the total capacity of some backend server of the service is large enough for the task: as it is now, and
    // as the largest one that its incarnation has reported.
    bool fitsSomewhere(const Resources &taskResources, std::string_view service) const;
    bool hasFittedSomewhere(const Resources &taskResources, std::string_view service) const;
    bool hasServers(std::string_view service) const;
    const StartDelay &startDelay() const { return m_startDelay; }
    // Whether start() returns false for every backend server, because as many starts or runs as possible are in
    // progress.
    bool isFull() const;
    std::uint64_t capacityVersion() const { return m_capacityVersion; } // increases when capacities() may have changed

private:
    enum class RunState : std::uint8_t { Held, Starting, Running, Stopping };
    struct Run
    {
        std::string coordinator;
        std::uint32_t server = 0;
        RunNumber number = 0;
        std::uint64_t sequence = 0; // of the PlaceTasks that requested it
        FencingToken token = 0;     // of the start order
        Resources resources;
        RunState state = RunState::Starting;
        TimeUs orderedAt = 0;
        TimeUs leaseUs = 0;                  // that the start order gave
        TimeUs leavesAt = 0;                 // expected end of the wait of the order at the link
        std::size_t unansweredStarts = 0;    // when the order was sent, it included
        TimeUs acceptedAt = never;           // when the answer to the start arrived
        TimeUs unansweredAt = never;         // when it was certain that no answer will arrive
        bool isAfterRestart = false;         // accepted by an incarnation that no lists have named yet
        std::int64_t incarnationStartMs = 0; // incarnation for whose clock the lease of the start was computed
        TimeUs stopSentAt = 0;               // of Stopping
        TimeUs firstStopSentAt = 0;          // of Stopping: when the first stop was sent
        TimeUs nextStopAt = never;           // of Stopping: when a rejected or delayed stop is sent
        TimeUs expectedUs = 0;               // work on a backend server of speed 1
        RunEnd reportAs = RunEnd::Done;      // of Stopping; Done: as reported by the backend server
    };
    struct GivenUpRun
    {
        TaskId task;
        bool wasRunning = false; // its start was confirmed, and no stop was sent
    };
    struct Server
    {
        ServerEntry entry;
        std::uint32_t rack = 0;              // number of entry.rack
        std::uint16_t kind = 0;              // number of entry.kind
        std::vector<SendStart> heldStarts;   // sent once the backend server has listed its runs
        std::vector<GivenUpRun> givenUpRuns; // without an answer; whether it has crashed under them shows later
        Stage stage = Stage::Foreign;
        bool listed = false;
        bool handingOver = false;  // its shard is assigned to another entry VM
        bool isRefusing = false;   // refused the last connection: no process listens
        bool isVerifying = false;  // the hold in progress was sent because an answer was missing
        bool hasRestarted = false; // since the last lists; runs that the next ones do not name have crashed with it
        FencingToken token = 0;
        FencingToken fencedToken = 0; // orders under this token were refused
        TimeUs fencedSentAt = 0;      // when the order was sent that was refused
        Resources largestCapacity;    // that its incarnation has reported; capacities shrink and grow again
        Resources used;
        std::vector<TaskId> runs;
        SpeedEstimate speed;
        std::int64_t incarnationStartMs = 0;  // incarnation that the runs belong to
        std::int64_t acknowledgedEnd = 0;     // highest number of an end that was handled
        std::int64_t sentAcknowledgedEnd = 0; // of the last hold
        std::uint64_t holdSequence = 0;       // 0: no hold in progress
        TimeUs holdSentAt = 0;
        TimeUs holdTimeoutUs = 0;
        TimeUs holdLeaseUs = 0;              // that it renews; 0: none
        TimeUs nextProbeAt = never;          // when a hold is due without another cause
        TimeUs leasesEndBy = 0;              // all leases have certainly expired by then
        TimeUs leasesLastUntil = 0;          // no lease has expired before
        bool mayMissEnds = false;            // runs may have ended since the last lists without being seen
        std::int64_t clockMs = 0;            // lower bound of its clock at clockAt
        TimeUs clockAt = 0;                  // 0: clock not known
        std::int64_t listedClockMs = 0;      // its clock in the last lists
        TimeUs listsSentAt = 0;              // when these were requested
        std::int64_t heardIncarnationMs = 0; // incarnation that the last lists named; 0: unknown
        TimeUs heardSentAt = 0;              // when these were requested
        TimeUs endedSentAt = 0; // when the last order was sent that found the process of the earlier orders gone
        std::uint32_t missingAnswers = 0; // consecutive orders without an answer
        std::uint32_t failures = 0;       // consecutive failed or stalled runs
        TimeUs blockedUntil = 0;          // no starts before this time
        bool isEvacuated = false;         // its zone is
        ColdStart coldStart;
    };

    std::uint32_t indexOf(std::string_view server);
    bool isCommandedHere(const Server &server) const;
    std::uint32_t shardOf(std::string_view server) const;
    void startCommanding(TimeUs now, Server &server, FencingToken token, std::vector<Action> &actions);
    void claimAgain(TimeUs now, Server &server, std::vector<Action> &actions);
    void repeatStops(TimeUs now, const Server &server, std::vector<Action> &actions);
    void stopCommanding(TimeUs now, Server &server, std::vector<RunEndNotice> &ended);
    void confirm(TimeUs now, Run &run);
    void forgetUnconfirmed(const Run &run);
    static TimeUs undeliverableFrom(const Run &run);
    StartFate startFate(const Server &server, const Run &run) const;
    void abandonRuns(TimeUs now, Server &server, TimeUs endsBy, std::vector<RunEndNotice> &ended);
    void sendHold(TimeUs now, Server &server, bool withLease, std::int64_t waitMs, std::vector<Action> &actions);
    void sendStart(TimeUs now, Server &server, Run &run, SendStart &&order, std::vector<Action> &actions);
    void releaseHeldStarts(TimeUs now, Server &server, std::vector<Action> &actions, std::vector<RunEndNotice> &ended);
    void dropHeldStarts(TimeUs now, Server &server, std::vector<RunEndNotice> &ended);
    void sendStop(TimeUs now, const Server &server, const TaskId &task, RunNumber run, std::vector<Action> &actions);
    void sendOrDelayStop(TimeUs now, const TaskId &task, Run &run, std::vector<Action> &actions);
    void stopRun(TimeUs now, const TaskId &task, Run &run, std::vector<Action> &actions);
    void repeatStop(TimeUs now, const TaskId &task, Run &run, std::vector<Action> &actions);
    void endRun(TimeUs now, const TaskId &task, RunEnd end, TimeUs maxRemainingUs, std::vector<RunEndNotice> &ended);
    void giveUpRuns(TimeUs now, Server &server, TimeUs endsBy, std::vector<RunEndNotice> &ended);
    static void addGivenUpRun(Server &server, const TaskId &task, const Run &run, std::vector<RunEndNotice> &ended);
    static void reportGivenUpRuns(Server &server, CrashNotice running, CrashNotice other,
                                  std::vector<RunEndNotice> &ended);
    static void reportCrash(TimeUs now, Server &server, std::vector<RunEndNotice> &ended);
    void recordRunEnd(TimeUs now, Server &server, const Run &run, RunEnd end);
    void learnSpeed(Server &server, TimeUs expectedUs, TimeUs ranUs);
    double speedOf(const Server &server) const { return server.speed.speed(m_kindSpeeds.logPrior(server.kind)); }
    void readClock(Server &server, const ClockReading &reading, bool isOfLists);
    bool isBehind(const Server &server, const ClockReading &reading) const;
    std::int64_t clockNow(const Server &server, TimeUs now) const;
    void onMissingAnswer(TimeUs now, Server &server, bool isLastAttempt, std::vector<Action> &actions,
                         std::vector<RunEndNotice> &ended);
    void onOtherInstance(TimeUs now, Server &server, std::vector<Action> &actions, std::vector<RunEndNotice> &ended);
    void onFenced(TimeUs now, Server &server, TimeUs sentAt, std::vector<Action> &actions,
                  std::vector<RunEndNotice> &ended);
    void loseUnconfirmed(TimeUs now, const Server &server, const TaskId &task, const Run &run,
                         std::vector<RunEndNotice> &ended);
    void onLateStartResult(TimeUs now, const StartResult &event);
    void applyRunLists(TimeUs now, Server &server, const HoldResult &event, TimeUs sentAt, std::vector<Action> &actions,
                       std::vector<RunEndNotice> &ended);
    bool canStart(const Server &server, TimeUs now) const;
    std::uint32_t startsLeft(const Server &server, TimeUs now) const;
    double coldLimit(const Server &server) const;
    void setEntry(TimeUs now, Server &server, const ServerEntry &entry, std::vector<RunEndNotice> &ended);
    void updateColdServers(TimeUs now);
    TimeUs longestSilence(const Server &server, TimeUs now) const;
    bool mayRenew(const Server &server, TimeUs now) const;
    TimeUs extendLeases(Server &server, TimeUs now) const;
    static void beginIncarnation(TimeUs now, Server &server, std::int64_t incarnationStartMs,
                                 std::vector<Action> &actions, std::vector<RunEndNotice> &ended);
    static void acceptIncarnation(TimeUs now, Server &server, std::int64_t incarnationStartMs,
                                  std::vector<Action> &actions, std::vector<RunEndNotice> &ended);

    CommanderSettings m_settings;
    std::vector<Server> m_servers;
    TextMap<std::uint32_t> m_indexes; // by id
    TextMap<std::uint32_t> m_rackNumbers;
    TextMap<std::uint32_t> m_kindNumbers;
    KindSpeeds m_kindSpeeds;
    std::map<TaskId, Run> m_runs;                               // ordered, so that equal inputs give equal actions
    std::map<std::string, TimeUs, std::less<>> m_lastContactAt; // by coordinator
    // By coordinator and sequence of PlaceTasks: the number of runs that are not known to exist.
    std::map<std::string, std::map<std::uint64_t, std::uint32_t>, std::less<>> m_unconfirmedRuns;
    ShardsAssigned m_shards;
    StartDelay m_startDelay;
    std::size_t m_heldStarts = 0;      // on all backend servers
    std::size_t m_stopsInProgress = 0; // sent and neither answered nor timed out
    UnconfirmedStarts m_unconfirmedStarts;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_capacityVersion = 1;
    bool m_startsDisabled = false;
    bool m_mayStart = false; // see setMayStart()
    std::vector<std::string> m_evacuatedZones;
    TextMap<Service> m_coldLimits; // of services that set one, by name
    bool m_hasColdServers = false; // commanded ones, as of the last tick
};

} // namespace clementinelift::command
