// Decides when and where tasks run: queue, fair order, slots, routing, breakers, limits and retries of one entry VM.
// Knows tasks only by reference; jobs, keys and payloads live in the dispatcher.
//
// Contents
//   Tickets      what the scheduler knows of a task
//   Decisions    what it wants done
//   Counters     one per drop and retry reason, and per kind of message
//   Status       what operators see of backend servers
//   Scheduler    the state machine
#pragma once

#include "core/breaker.h"
#include "core/configuration.h"
#include "core/events.h"

#include <memory>

namespace clementinelift::core {

// Tickets -------------------------------------------------------------------------------------------

struct JobDescription
{
    JobId job{};
    OrganisationId organisation{};
    TemplateId templateId{};
    std::int64_t deadlineUs = 0; // monotonic
    std::span<const TaskRequest> tasks;
};

// Decisions -----------------------------------------------------------------------------------------

// Start the task on this backend server. Exactly one onAttemptEnded() must follow.
struct StartDecision
{
    TaskRef task;
    BackendId backend{};
};

// The task will not be started any more: deadline, retry budget or no backend server.
struct DropDecision
{
    TaskRef task;
    Reason reason = Reason::None;
};

struct SlotMessageDecision
{
    std::string node;
    PeerMessage message; // SlotRequest, SlotGrant, SlotRefuse, SlotReturn, Report
};

struct ProbeDecision
{
    BackendId backend{};
};

struct Decisions
{
    std::vector<StartDecision> starts;
    std::vector<DropDecision> drops;
    std::vector<SlotMessageDecision> messages;
    std::vector<ProbeDecision> probes;
    std::vector<Notice> notices;

    void clear();
};

// What follows the end of an attempt.
enum class NextStep : std::uint8_t {
    Done,  // Completed
    Fail,  // final: no further attempt
    Retry, // the scheduler has queued the task again
};

// Counters ------------------------------------------------------------------------------------------

// Totals since the start of the process.
struct SchedulerCounters
{
    std::uint64_t firstAttempts = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::Count)> retries{}; // by reason
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::Count)> drops{};        // by reason
    std::uint64_t slotRequests = 0;                                                    // sent to peers
    std::uint64_t slotsRefused = 0;  // answers to own requests: none; wasted messages
    std::uint64_t slotsBorrowed = 0; // attempts on borrowed slots
    std::uint64_t grantsUnused = 0;  // returned without an attempt; wasted messages
    std::uint64_t requestsTimedOut = 0;
    std::uint64_t slotsLent = 0;
    std::uint64_t loansExpired = 0; // lent slots that were not returned in time
    std::uint64_t probes = 0;       // active health probes
    std::uint64_t breakerTrips = 0; // breakers of backend servers that opened
    std::uint64_t groupCorrections = 0;
};

// Status --------------------------------------------------------------------------------------------

struct BackendStatus
{
    std::string_view name;
    std::uint32_t held = 0;     // slots dealt to this entry VM
    std::uint32_t used = 0;     // with an own task
    std::uint32_t lent = 0;     // to peers
    std::uint32_t attempts = 0; // own ones in progress, on held and borrowed slots
    double factor = 0;          // learned time per success, 1: average
    std::uint32_t group = 0;    // backend servers that fail together have the same number
    BreakerState breaker = BreakerState::Closed;
    BreakerState groupBreaker = BreakerState::Closed;
    bool leaving = false;
    bool gone = false;
};

// Scheduler -----------------------------------------------------------------------------------------

class Scheduler
{
public:
    Scheduler(const CoreSettings &settings, const Configuration &configuration);
    ~Scheduler();

    // Views of the platform. Backend servers keep their id for the life of the process.
    void setBackends(std::span<const BackendInfo> backends, Now now); // the whole VM list, replaces the view
    void setLeaving(std::string_view backend, Now now);               // no new task from now on
    void setPeers(std::span<const NodeInfo> liveInZone, std::span<const NodeInfo> live, Now now);
    void onConfiguration(Now now); // parameters have changed

    // Reason::None when every task of the job may be queued; otherwise nothing has happened.
    Reason admit(const JobDescription &job, Now now);
    void enqueue(const JobDescription &job, Now now); // after admit() said None

    // Drops the queued tasks of a job; returns their count. Attempts in progress still need onAttemptEnded().
    std::uint32_t cancelQueued(JobId job, Now now);

    // The dispatcher stops the attempt in progress because nobody needs its result. When it then ends as Failed, this
    // says nothing about the backend server.
    void markStopped(TaskRef task);

    // repeatable: the template allows another attempt after Failed. Unknown outcomes are resolved by the dispatcher
    // first: it calls this with Failed, Completed or NotStarted, or with Unknown when it has given up (NextStep::Fail).
    NextStep onAttemptEnded(TaskRef task, AttemptOutcome outcome, std::uint32_t serviceUs, bool repeatable, Now now);

    void onBackendProbed(BackendId backend, bool healthy, Now now);
    void onPeerMessage(std::string_view node, const SlotRequest &message, Now now);
    void onPeerMessage(std::string_view node, const SlotGrant &message, Now now);
    void onPeerMessage(std::string_view node, const SlotRefuse &message, Now now);
    void onPeerMessage(std::string_view node, const SlotReturn &message, Now now);
    void onPeerMessage(std::string_view node, const Report &message, Now now);
    void onPeerLost(std::string_view node, Now now); // returns what it had borrowed

    // Makes all decisions that are due. Call after every other call; starts are bounded by free slots.
    void decide(Now now, Decisions &decisions);
    std::int64_t nextTimerUs() const; // decide() again by then, INT64_MAX: never

    const BackendInfo &backend(BackendId id) const;
    std::optional<BackendId> findBackend(std::string_view name) const;
    bool isGone(BackendId id) const; // the VM list no longer has it

    const SchedulerCounters &counters() const;
    std::size_t queuedTasks() const;
    std::vector<BackendStatus> status() const; // ascending by id

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::core
