// Jobs, tasks and attempts of one entry VM, their timers and traces.
//
// Contents
//   Waiters    who waits for the answer of a job
//   Jobs       jobs and tasks, addressed by JobId
//   Attempts   runs of tasks on backend servers, addressed by sequence number
//   Timers     a heap of due times
//   Traces     what happened to a job, for people
#pragma once

#include "core/events.h"
#include "core/parameters.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <deque>

namespace clementinelift::core {

// Waiters -------------------------------------------------------------------------------------------

// A caller that is never answered: stands for callers that are gone.
constexpr CallerId noCaller{UINT64_MAX};

// Who asked: a local caller, or a request that the entry VM with this incarnation passed on.
struct Requester
{
    CallerId caller{};           // when node is 0
    Incarnation node{};          // 0: local caller
    std::uint64_t requestId = 0; // of the entry VM that passed the request on

    friend bool operator==(const Requester &, const Requester &) = default;
    template <typename H> friend H AbslHashValue(H h, const Requester &requester)
    {
        return H::combine(std::move(h), raw(requester.caller), raw(requester.node), requester.requestId);
    }
};

// Traces --------------------------------------------------------------------------------------------

enum class TraceStep : std::uint8_t {
    Accepted,  // value: number of tasks
    Joined,    // by a resubmission
    Started,   // task, backend
    Ended,     // task, value: AttemptOutcome
    Resolving, // task
    Requeued,  // task, value: RetryReason
    Dropped,   // task, value: Reason
    Answered,  // value: Reason
};

struct TraceEvent
{
    std::int64_t wallMs = 0;
    TraceStep step = TraceStep::Accepted;
    std::uint32_t task = 0;
    std::uint32_t value = 0;
};

// The first events of a job and its last one.
struct Trace
{
    std::vector<TraceEvent> events;
    std::uint32_t omitted = 0;

    void add(std::int64_t wallMs, TraceStep step, std::uint32_t task, std::uint32_t value);
};

std::vector<TraceEntry> render(const Trace &trace);

// Traces of the last ended jobs.
class TraceRing
{
public:
    explicit TraceRing(std::uint32_t maxJobs) : m_maxJobs(maxJobs) {}

    void add(std::string_view organisation, const Key &key, Trace &&trace);
    const Trace *find(std::string_view organisation, const Key &key) const; // newest first, O(jobs kept)

private:
    struct EndedJob
    {
        std::string organisation;
        Key key;
        Trace trace;
    };

    std::uint32_t m_maxJobs;
    std::deque<EndedJob> m_endedJobs;
};

// Jobs ----------------------------------------------------------------------------------------------

enum class TaskState : std::uint8_t {
    Queued,    // at the scheduler
    Running,   // attempt is set
    Resolving, // attempt is set, its outcome is not known
    Completed, // result is set
    Dropped,   // will not run
};

struct Task
{
    TaskState state = TaskState::Queued;
    std::uint64_t attempt = 0; // sequence of the attempt in progress
    std::string result;
};

struct Waiter
{
    Requester requester;
    std::uint64_t serial = 0; // to find the waiter of a timer
};

struct Job
{
    JobId id{};
    Key key;
    std::string organisation;
    std::string templateName;
    TemplateId templateId{};
    OrganisationId organisationId{};
    Repeat repeat = Repeat::Never; // when the job was accepted
    bool mayHaveEffects = false;   // an attempt has ended that ran or may have run
    std::uint32_t completed = 0;   // tasks
    std::uint32_t inProgress = 0;  // attempts
    std::uint32_t resolving = 0;   // attempts in progress whose outcome is not known
    std::int64_t deadlineUs = 0;   // monotonic
    std::vector<TaskRequest> requests;
    std::vector<Task> tasks;
    absl::InlinedVector<Waiter, 1> waiters;
    Trace trace;
};

// Open jobs. References stay valid until the job is removed.
class JobTable
{
public:
    Job &add();
    Job *find(JobId id); // null: ended
    void remove(JobId id);
    std::size_t size() const { return m_size; }

    template <typename Visit> void forEach(Visit visit)
    {
        for (Slot &slot : m_slots) {
            if (slot.used)
                visit(slot.job);
        }
    }

private:
    struct Slot
    {
        std::uint32_t generation = 1;
        bool used = false;
        Job job;
    };

    std::deque<Slot> m_slots;
    std::vector<std::uint32_t> m_free;
    std::size_t m_size = 0;
};

// Attempts ------------------------------------------------------------------------------------------

// Kept until its end is reported to the scheduler, which may be after the end of the job.
struct Attempt
{
    TaskRef task;
    BackendId backend{};
    bool resolving = false;
    bool queryPending = false;            // a status query has not been answered
    std::uint8_t inconclusiveQueries = 0; // answered without a result, saturating
    std::int64_t lastQueryUs = 0;         // the last query was sent
    std::int64_t dueUs = 0;               // of the timer that is in force
    std::int64_t notKnownSinceUs = -1;    // the backend server has said since then that it does not know the attempt
};

// Timers --------------------------------------------------------------------------------------------

enum class TimerKind : std::uint8_t { JobDeadline, JobStart, WaiterTimeout, ForwardDue, AttemptQuery };

struct Timer
{
    std::int64_t atUs = 0;
    std::uint64_t id = 0;     // job, request or attempt
    std::uint64_t serial = 0; // of a waiter
    TimerKind kind = TimerKind::JobDeadline;
};

// Timers are not removed early: whoever handles one checks that its object still waits for it.
class TimerHeap
{
public:
    void add(const Timer &timer);
    bool isDue(std::int64_t nowUs) const { return !m_heap.empty() && m_heap.front().atUs <= nowUs; }
    Timer pop();
    std::int64_t nextUs() const { return m_heap.empty() ? INT64_MAX : m_heap.front().atUs; }
    std::size_t size() const { return m_heap.size(); }

private:
    std::vector<Timer> m_heap;
};

} // namespace clementinelift::core
