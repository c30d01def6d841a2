// Command of the backend servers of the shards that this entry VM holds: starts, leases, ends, stops.
//
// One entry VM commands a backend server at a time. The token of its shards fences off an earlier commander. Runs live
// under a lease that hold orders renew; a run that nobody renews ends by itself. The order of things that keeps two
// runs of a task apart:
//   - A backend server whose commander is new, or that did not answer, is first asked for its runs without renewing
//     them. Runs that nobody here knows are stopped, and it takes no start until they are gone.
//   - A run whose end cannot be learned is reported as Lost with the time after which its lease has certainly ended.
//
// Contents
//   ServerView   what placing needs to know about a backend server
//   Commander
#pragma once

#include "command/events.h"
#include "command/run_times.h"

#include "command/text.h"

#include <map>
#include <span>

namespace clementinelift::command {

struct CommanderSettings
{
    std::string zone;                   // availability zone whose backend servers are commanded
    TimeUs maxLeaseUs = 1000 * usPerMs; // longer leases are cut by the backend servers
};

// The coordinator of a job that runs on this very entry VM.
constexpr std::string_view selfNode = "";

// Result for the coordinator of a task.
struct Ended
{
    std::string coordinator; // node, or selfNode
    TaskEnded ended;
};

enum class Stage : std::uint8_t {
    Foreign,  // another entry VM commands it
    Claiming, // its runs are being asked for, without renewing them
    Usable,
    Suspect, // the last orders had no answer
    Fenced,  // another commander has used a higher token
};

std::string_view toString(Stage stage);

class Commander
{
public:
    explicit Commander(const CommanderSettings &settings);

    // Events. Results are appended to actions and ended.
    void list(TimeUs now, const ServerEntry &entry, std::vector<Action> &actions, std::vector<Ended> &ended);
    void delist(TimeUs now, std::string_view server, std::vector<Action> &actions, std::vector<Ended> &ended);
    void holdShards(TimeUs now, const ShardsAssigned &held, std::vector<Action> &actions, std::vector<Ended> &ended);
    void onStartEnded(TimeUs now, const StartResult &event, std::vector<Action> &actions, std::vector<Ended> &ended);
    void onStopEnded(TimeUs now, const StopResult &event, std::vector<Action> &actions);
    void onHoldEnded(TimeUs now, const HoldResult &event, std::vector<Action> &actions, std::vector<Ended> &ended);
    void tick(TimeUs now, std::vector<Action> &actions, std::vector<Ended> &ended);

    // Starts one task. RunEnd::NotRun and false when the backend server cannot take it now; nothing was sent then.
    bool start(TimeUs now, std::string_view coordinator, const PlaceTasks &order, const PlaceTasks::Item &item,
               std::vector<Action> &actions);

    // Stops all runs of a job that this coordinator asked for.
    void stopJob(TimeUs now, std::string_view coordinator, std::string_view job, std::vector<Action> &actions);
    // Stops one run that takes far longer than expected; its backend server gets no new tasks for a while.
    void stopStalled(TimeUs now, std::string_view coordinator, const TaskId &task, std::vector<Action> &actions);
    // Stops all runs of all jobs of a coordinator that is not heard of any more.
    void stopCoordinator(TimeUs now, std::string_view coordinator, std::vector<Action> &actions);

    // The last time that a coordinator was heard and heard this entry VM. While that is too long ago, nothing on a
    // backend server with runs of it is renewed.
    void noteHeard(const std::string &coordinator, TimeUs at) { m_heardAt[coordinator] = at; }

    // Of leases that are given from now on.
    void setMaxLease(TimeUs maxLeaseUs) { m_settings.maxLeaseUs = maxLeaseUs; }

    // Stops starting anything, for a planned stop.
    void close() { m_closed = true; }

    // Rooms of the commanded backend servers, for placing here and for reports to peers.
    std::vector<CapacityReport::ServerCapacity> capacities(TimeUs now) const;
    bool hasRuns() const { return !m_runs.empty(); }
    bool isCommanded(std::string_view server) const;
    // Shards that were taken away still have runs here; they can be handed over when this is false.
    bool hasDepartingRuns() const;
    std::size_t commandedCount() const;
    const ServerEntry *findEntry(std::string_view server) const;
    // Whether some backend server of the service is as large as this, busy or not.
    bool fitsSomewhere(const Resources &taskResources, std::string_view service) const;
    std::uint64_t roomVersion() const { return m_roomVersion; } // rises when rooms() may have changed

private:
    enum class RunState : std::uint8_t { Starting, Running, Stopping };
    struct Run
    {
        std::string coordinator;
        std::uint32_t server = 0;
        RunNumber number = 0;
        Resources resources;
        RunState state = RunState::Starting;
        TimeUs orderedAt = 0;
        TimeUs acceptedAt = never;      // when the answer to the start arrived
        TimeUs stopSentAt = 0;          // of Stopping
        TimeUs stopBeganAt = 0;         // of Stopping: when the first stop was sent
        TimeUs expectedUs = 0;          // work on a backend server of speed 1
        RunEnd reportAs = RunEnd::Done; // of Stopping: Done means as the backend server says
    };
    // A start that had no answer. It may still be carried out until its lease would have ended, or a stop is answered.
    struct OpenStart
    {
        TaskId task;
        RunNumber run = 0;
        TimeUs until = 0;
    };
    struct Server
    {
        ServerEntry entry;
        std::vector<OpenStart> openStarts;
        Stage stage = Stage::Foreign;
        bool listed = false;
        bool departing = false; // its shard goes to another entry VM
        FencingToken token = 0;
        FencingToken fencedToken = 0; // orders under this token were refused
        Resources used;
        std::vector<TaskId> runs;
        SpeedEstimate speed;
        std::int64_t incarnationStartMs = 0; // incarnation that the runs belong to
        std::int64_t acknowledgedEnd = 0;    // ends that were taken over
        std::int64_t sentAck = 0;            // of the last hold
        std::uint64_t holdSequence = 0;      // 0: no hold in progress
        TimeUs holdSentAt = 0;
        bool holdWithLease = false;
        TimeUs nextLookAt = never;  // when a hold is due although nothing else asks for one
        TimeUs leaseDeadAt = 0;     // all leases have certainly ended
        std::int64_t clockMs = 0;   // lower bound of its clock at clockAt
        TimeUs clockAt = 0;         // 0: clock not known
        std::uint32_t silences = 0; // orders without an answer, in a row
        std::uint32_t failures = 0; // failed or stalled runs, in a row
        TimeUs blockedUntil = 0;    // no starts before
    };

    std::uint32_t indexOf(std::string_view server);
    bool isMine(const Server &server) const;
    void take(TimeUs now, Server &server, FencingToken token, std::vector<Action> &actions);
    void release(TimeUs now, Server &server, std::vector<Ended> &ended);
    void forget(TimeUs now, Server &server, TimeUs deadAt, std::vector<Ended> &ended);
    void sendHold(TimeUs now, Server &server, bool withLease, std::int64_t waitMs, std::vector<Action> &actions);
    void sendStop(TimeUs now, const Server &server, const TaskId &task, RunNumber run, std::vector<Action> &actions);
    void stopRun(TimeUs now, const TaskId &task, Run &run, std::vector<Action> &actions);
    void endRun(TimeUs now, const TaskId &task, RunEnd end, TimeUs maxRemainingUs, std::vector<Ended> &ended);
    void learnEnd(TimeUs now, Server &server, const Run &run, RunEnd end);
    void readClock(Server &server, const ClockReading &reading);
    std::int64_t clockNow(const Server &server, TimeUs now) const;
    void onSilence(TimeUs now, Server &server, std::vector<Action> &actions, std::vector<Ended> &ended);
    void onOtherInstance(TimeUs now, Server &server, std::vector<Ended> &ended);
    void onFenced(TimeUs now, Server &server, std::vector<Action> &actions, std::vector<Ended> &ended);
    void readLists(TimeUs now, Server &server, const HoldResult &event, TimeUs sentAt, std::vector<Action> &actions,
                   std::vector<Ended> &ended);
    bool canStart(const Server &server, TimeUs now) const;
    bool mayRenew(const Server &server, TimeUs now) const;
    bool isIncarnation(Server &server, TimeUs now, std::int64_t incarnationStartMs, std::vector<Ended> &ended);

    CommanderSettings m_settings;
    std::vector<Server> m_servers;
    TextMap<std::uint32_t> m_indexes;                     // by id
    std::map<TaskId, Run> m_runs;                         // in an order that does not vary between runs
    std::map<std::string, TimeUs, std::less<>> m_heardAt; // by coordinator
    ShardsAssigned m_held;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_roomVersion = 1;
    bool m_closed = false;
};

} // namespace clementinelift::command
