// Decides when and where tasks run: queue, fair order, slots, routing, breakers, limits and retries of one entry VM.
// Knows tasks only by reference; jobs, keys and payloads live in the dispatcher.
//
// Contents
//   Jobs         description of a job with the tasks to schedule
//   Decisions    actions that the dispatcher must carry out
//   Counters     totals by drop reason, retry reason and kind of message
//   Status       state of backend servers, for operators
//   Scheduler    the state machine
#pragma once

#include "core/breaker.h"
#include "core/configuration.h"
#include "core/events.h"

#include <memory>

namespace clementinelift::core {

// Jobs ----------------------------------------------------------------------------------------------

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

// The task will not be started any more; the reason is the deadline, the retry budget or a missing backend server.
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
    Fail,  // no further attempt
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
    std::uint64_t slotsRefused = 0;  // refusals of own requests; count as wasted messages
    std::uint64_t slotsBorrowed = 0; // attempts on borrowed slots
    std::uint64_t grantsUnused = 0;  // returned without an attempt; count as wasted messages
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
    std::uint32_t held = 0;     // slots assigned to this entry VM
    std::uint32_t used = 0;     // held slots that run a task of this entry VM
    std::uint32_t lent = 0;     // held slots lent to peers
    std::uint32_t attempts = 0; // attempts of this entry VM in progress, on held and borrowed slots
    double factor = 0;          // learned time per success relative to the average backend server
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

    // State of the platform. Backend servers keep their id for the life of the process.
    void setBackends(std::span<const BackendInfo> backends, Now now); // complete VM list, replaces the previous one
    void setLeaving(std::string_view backend, Now now);               // starts no further task there
    void setPeers(std::span<const NodeInfo> liveInZone, std::span<const NodeInfo> live, Now now);
    void onConfiguration(Now now); // parameters have changed

    // Returns Reason::None when every task of the job may be queued, otherwise the reason of the refusal.
    // Queues nothing.
    Reason admit(const JobDescription &job, Now now);
    void enqueue(const JobDescription &job, Now now); // only after admit() has returned Reason::None

    // Drops the queued tasks of a job; returns their count. Attempts in progress still need onAttemptEnded().
    std::uint32_t cancelQueued(JobId job, Now now);

    // The dispatcher stops the attempt in progress because its result is no longer needed. When the attempt then ends
    // as Failed, the failure is not counted against the backend server.
    void markStopped(TaskRef task);

    // repeatable: the template allows another attempt after Failed. The dispatcher resolves unknown outcomes before
    // this call; it passes Unknown only when it could not find out the outcome, which returns NextStep::Fail.
    NextStep onAttemptEnded(TaskRef task, AttemptOutcome outcome, std::uint32_t serviceUs, bool repeatable, Now now);

    void onBackendProbed(BackendId backend, bool healthy, Now now);
    void onPeerMessage(std::string_view node, const SlotRequest &message, Now now);
    void onPeerMessage(std::string_view node, const SlotGrant &message, Now now);
    void onPeerMessage(std::string_view node, const SlotRefuse &message, Now now);
    void onPeerMessage(std::string_view node, const SlotReturn &message, Now now);
    void onPeerMessage(std::string_view node, const Report &message, Now now);
    void onPeerLost(std::string_view node, Now now); // frees the slots lent to the peer

    // Makes all decisions that are due. Must follow every other call that changes the state. Starts are bounded by the
    // free slots.
    void decide(Now now, Decisions &decisions);
    std::int64_t nextTimerUs() const; // latest time of the next decide(), INT64_MAX: never

    const BackendInfo &backend(BackendId id) const;
    std::optional<BackendId> findBackend(std::string_view name) const;
    bool isGone(BackendId id) const; // no longer in the VM list

    const SchedulerCounters &counters() const;
    std::size_t queuedTasks() const;
    std::vector<BackendStatus> status() const; // ascending by id

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::core
