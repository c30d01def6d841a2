// Open jobs, tasks and attempts of one entry VM, with their timers and traces.
//
// Contents
//   Waiters    callers and entry VMs that wait for the answer of a job
//   Jobs       jobs and tasks, addressed by JobId
//   Attempts   runs of tasks on backend servers, addressed by sequence number
//   Timers     a heap ordered by due time
//   Traces     human-readable history of a job
#pragma once

#include "core/events.h"
#include "core/parameters.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <deque>

namespace clementinelift::core {

// Waiters -------------------------------------------------------------------------------------------

// Placeholder for a caller that has disconnected; never answered.
constexpr CallerId noCaller{UINT64_MAX};

// The sender of a request: a local caller, or the entry VM incarnation that forwarded the request.
struct Requester
{
    CallerId caller{};           // when node is 0
    Incarnation node{};          // 0: local caller
    std::uint64_t requestId = 0; // assigned by the entry VM that forwarded the request

    friend bool operator==(const Requester &, const Requester &) = default;
    template <typename H> friend H AbslHashValue(H h, const Requester &requester)
    {
        return H::combine(std::move(h), raw(requester.caller), raw(requester.node), requester.requestId);
    }
};

// Traces --------------------------------------------------------------------------------------------

enum class TraceStep : std::uint8_t {
    Accepted,  // value: number of tasks
    Joined,    // a resubmission joined the job
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

// The first events of a job and the last one; events in between are counted, not kept.
struct Trace
{
    std::vector<TraceEvent> events;
    std::uint32_t omitted = 0;

    void add(std::int64_t wallMs, TraceStep step, std::uint32_t task, std::uint32_t value);
};

std::vector<TraceEntry> render(const Trace &trace);

// Traces of the most recently ended jobs.
class TraceRing
{
public:
    explicit TraceRing(std::uint32_t maxJobs) : m_maxJobs(maxJobs) {}

    void add(std::string_view organisation, const Key &key, Trace &&trace);
    // Returns the newest match or null. Linear in the number of traces.
    const Trace *find(std::string_view organisation, const Key &key) const;

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
    Queued,    // in the queue of the scheduler
    Running,   // attempt is set
    Resolving, // attempt is set, its outcome is not known
    Completed, // result is set
    Dropped,   // will not run
};

struct Task
{
    TaskState state = TaskState::Queued;
    std::uint64_t attempt = 0; // sequence number of the attempt in progress, 0: none
    std::string result;
};

struct Waiter
{
    Requester requester;
    std::uint64_t serial = 0; // identifies the waiter in its timer
};

struct Job
{
    JobId id{};
    Key key;
    std::string organisation;
    std::string templateName;
    TemplateId templateId{};
    OrganisationId organisationId{};
    Repeat repeat = Repeat::Never; // the template's value at acceptance
    bool mayHaveEffects = false;   // an ended or unresolved attempt ran or may have run
    std::uint32_t completed = 0;   // tasks
    std::uint32_t inProgress = 0;  // attempts
    std::uint32_t resolving = 0;   // attempts in progress whose outcome is not known
    std::int64_t deadlineUs = 0;   // monotonic
    std::size_t memoryBytes = 0;   // taken from the memory of all jobs
    std::vector<TaskRequest> requests;
    std::vector<Task> tasks;
    absl::InlinedVector<Waiter, 1> waiters;
    Trace trace;
};

// Bytes that a job takes from JobMemory.
std::size_t memoryOf(const JobRequest &request);

// Open jobs. References stay valid until the job is removed.
class JobTable
{
public:
    Job &add();
    Job *find(JobId id); // null: the job has ended
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

// Kept until the scheduler learns that the attempt has ended, which may be after the end of the job.
struct Attempt
{
    TaskRef task;
    BackendId backend{};
    bool resolving = false;
    bool queryPending = false;            // the last status query is unanswered
    std::uint8_t inconclusiveQueries = 0; // replies without an outcome, saturating
    std::int64_t lastQueryUs = 0;         // when the last query was sent
    std::int64_t dueUs = 0;               // due time of the current timer; timers with another due time are stale
    std::int64_t notKnownSinceUs = -1;    // first of the consecutive NotKnown replies; -1: the last reply differed
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

// Timers are never cancelled. The handler ignores a timer whose object has ended or has a newer timer.
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
