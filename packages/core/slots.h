// Data of the scheduler about jobs, peers, borrowed and lent slots, and timers.
//
// Contents
//   Jobs     tasks of one job and their phases
//   Peers    free capacity that other entry VMs reported
//   Loans    slots lent to peers, requests received from them and sent to them
//   Timers   ordered by time
#pragma once

#include "core/limits.h"
#include "core/routing.h"

#include <absl/container/flat_hash_map.h>

#include <queue>

namespace clementinelift::core {

// Jobs ----------------------------------------------------------------------------------------------

enum class TaskPhase : std::uint8_t {
    Queued,    // may start
    Delayed,   // waits for the backoff before a further attempt
    Requested, // waits for a peer's answer to a slot request
    Running,   // an attempt is in progress
    Ended,     // no further attempt
};

struct ScheduledTask
{
    double declaredUs = 0;
    float cores = 0;
    std::uint32_t memoryMb = 0;
    TaskPhase phase = TaskPhase::Queued;
    RetryReason retry = RetryReason::Count; // why the next attempt is made; Count: the next attempt is the first
    bool stopped = false;                   // Running: the dispatcher has stopped the attempt
    std::uint32_t attempts = 0;             // started
    std::uint32_t failures = 0;             // ended as Failed
    std::uint32_t budgetDenials = 0;        // refusals by the retry budget in a row
    BackendId backend{};                    // Running
    std::int64_t startUs = 0;               // Running
    std::uint64_t request = 0;              // Requested, and Running on a borrowed slot: id of the slot request
};

struct ScheduledJob
{
    FairQueue::QueueEntry queueEntry;
    TemplateId templateId{};
    bool closed = false; // no further attempt starts
    std::vector<ScheduledTask> tasks;
    std::vector<std::uint32_t> queued; // indices of tasks in phase Queued; the last one starts first
    std::uint32_t openTasks = 0;       // tasks that have not ended
};

inline TaskShape shapeOf(const ScheduledJob &job, const ScheduledTask &task)
{
    return TaskShape{job.templateId, task.declaredUs, task.cores, task.memoryMb};
}

// The requirements that the task declares; those of its template where the task declares none.
inline TaskShape shapeOf(const TaskRequest &task, const TaskShape &templateDefaults)
{
    return TaskShape{templateDefaults.templateId,
                     task.runMs > 0 ? task.runMs * double(usPerMs) : templateDefaults.declaredUs,
                     task.cores > 0 ? task.cores : templateDefaults.cores,
                     task.memoryMb > 0 ? task.memoryMb : templateDefaults.memoryMb};
}

// Peers ---------------------------------------------------------------------------------------------

// The share of slot requests that a peer grants is learned per bucket: six ranges of the ratio (expected time on an own
// slot / expected time on the peer's slot), each for three ranges of the peer's number of free slots.
constexpr std::uint32_t grantBuckets = 18;

constexpr std::array<double, grantBuckets> initialGrantShares()
{
    std::array<double, grantBuckets> shares{};
    for (double &share : shares)
        share = 0.5;
    return shares;
}

struct PeerCapacity
{
    std::string zone;
    std::int64_t roundTripUs = 0;
    std::uint32_t freeSlots = 0; // of the last report, minus the slots requested since
    double bestFactor = 0;       // time per success / declared time, on the fastest free slot
    std::int64_t reportUs = -1;  // when the last report arrived, -1: never
    std::array<double, grantBuckets> grantShares =
            initialGrantShares();         // smoothed share of granted requests, by bucket
    double deferrableGrantShare = 0.5;    // the same for requests that the peer may defer, see DeferredRequest
    std::uint32_t deferrableRequests = 0; // such requests in progress
};

// Loans ---------------------------------------------------------------------------------------------

struct SlotLoan // lent to a peer
{
    BackendId backend{};
    TaskShape shape;
    std::int64_t startUs = 0;
    std::int64_t endsUs = 0;
};

// A peer's request for any slot, received while no slot was free. The request gets the next free slot that the own
// queue does not need.
struct DeferredRequest
{
    std::string node;
    std::uint64_t id = 0;
    TaskShape shape;
    std::int64_t endsUs = 0; // the peer no longer waits after this time
};

struct OutstandingRequest // sent to a peer
{
    std::string node;
    TaskRef task;
    std::uint32_t grantBucket = 0;
    bool deferrable = false; // asks for any slot, for whichever task is next; the peer may defer its answer
    bool taskWaiting = true; // its task waits for the answer; false: a grant may serve any queued task
    bool granted = false;    // a task runs on the granted slot
};

// Timers --------------------------------------------------------------------------------------------

enum class SchedulerTimerKind : std::uint8_t {
    TaskDue,
    JobDeadline,
    RequestTimeout,
    LoanEnd,
    BackendUnblock,
    OrganisationRate
};

struct SchedulerTimer
{
    std::int64_t atUs = 0;
    std::uint64_t sequence = 0; // timers for the same time expire in the order of their creation
    SchedulerTimerKind kind{};
    TaskRef task;             // TaskDue, JobDeadline
    std::uint64_t number = 0; // request id, backend id or organisation id
    std::string node;         // LoanEnd: borrower

    friend bool operator<(const SchedulerTimer &a,
                          const SchedulerTimer &b) // reversed: the heap has the earliest timer on top
    {
        return std::pair(a.atUs, a.sequence) > std::pair(b.atUs, b.sequence);
    }
};

} // namespace clementinelift::core
