// What the scheduler keeps about jobs, peers and slots on loan.
//
// Contents
//   Jobs     tasks of one job and their phases
//   Peers    headroom reports of other entry VMs
//   Loans    slots lent to peers and requests sent to them
//   Alarms   ordered times at which something is due
#pragma once

#include "core/limits.h"
#include "core/routing.h"

#include <absl/container/flat_hash_map.h>

#include <queue>

namespace clementinelift::core {

// Jobs ----------------------------------------------------------------------------------------------

enum class TaskPhase : std::uint8_t {
    Queued,    // may start
    Delayed,   // backoff before a further attempt
    Requested, // a slot request is on its way
    Running,   // an attempt is in progress
    Ended,     // no further attempt
};

struct ScheduledTask
{
    double declaredUs = 0;
    float cores = 0;
    std::uint32_t memoryMb = 0;
    TaskPhase phase = TaskPhase::Queued;
    RetryReason retry = RetryReason::Count; // why the next attempt is made, Count: it is the first
    bool stopped = false;                   // Running: the dispatcher has stopped the attempt
    std::uint32_t attempts = 0;             // started
    std::uint32_t failures = 0;             // ended as Failed
    std::uint32_t denials = 0;              // of the retry budget, in a row
    BackendId backend{};                    // Running
    std::int64_t startUs = 0;               // Running
    std::uint64_t request = 0;              // Requested, and Running on a borrowed slot: id of the request
};

struct ScheduledJob
{
    FairQueue::Place place;
    TemplateId templateId{};
    bool closed = false; // no further attempt may start
    std::vector<ScheduledTask> tasks;
    std::vector<std::uint32_t> queued; // indices of Queued tasks, next one last
    std::uint32_t open = 0;            // tasks that have not ended
};

inline TaskShape shapeOf(const ScheduledJob &job, const ScheduledTask &task)
{
    return TaskShape{job.templateId, task.declaredUs, task.cores, task.memoryMb};
}

// What the task declares, completed with the values of its template.
inline TaskShape shapeOf(const TaskRequest &task, const TaskShape &byDefault)
{
    return TaskShape{byDefault.templateId, task.runMs > 0 ? task.runMs * double(usPerMs) : byDefault.declaredUs,
                     task.cores > 0 ? task.cores : byDefault.cores,
                     task.memoryMb > 0 ? task.memoryMb : byDefault.memoryMb};
}

// Peers ---------------------------------------------------------------------------------------------

// Ranges of the time on an own slot over the reported time on a peer's, each for few, some and many free slots there:
// the peer's answers are learned for each one.
constexpr std::uint32_t gainRanges = 18;

constexpr std::array<double, gainRanges> evenChances()
{
    std::array<double, gainRanges> chances{};
    for (double &chance : chances)
        chance = 0.5;
    return chances;
}

struct PeerHeadroom
{
    std::string zone;
    std::int64_t roundTripUs = 0;
    std::uint32_t freeSlots = 0; // of the last report, less what was asked for since
    double bestFactor = 0;       // time per success over declared time, of the fastest free slot
    std::int64_t reportUs = -1;  // -1: none yet
    std::array<double, gainRanges> granted = evenChances(); // smoothed share of requests, by range
    double grantedHeld = 0.5;                               // the same for requests that may be held, see HeldRequest
    std::uint32_t held = 0;                                 // such requests in progress
};

// Loans ---------------------------------------------------------------------------------------------

struct SlotLoan // lent to a peer
{
    BackendId backend{};
    TaskShape shape;
    std::int64_t startUs = 0;
    std::int64_t endsUs = 0;
};

// A request for any slot that could not be granted at once; the next free slot that the own queue does not need goes to
// it.
struct HeldRequest
{
    std::string node;
    std::uint64_t id = 0;
    TaskShape shape;
    std::int64_t endsUs = 0; // the peer does not wait any longer
};

struct OpenRequest // sent to a peer
{
    std::string node;
    TaskRef task;
    std::uint32_t range = 0; // of the gain
    bool held = false;       // for any slot and any waiting task
    bool wanted = true;      // for its task; false: a grant may serve any waiting task
    bool granted = false;
};

// Alarms --------------------------------------------------------------------------------------------

enum class AlarmKind : std::uint8_t { TaskDue, JobDeadline, RequestTimeout, LoanEnd, BackendUnblock, OrganisationRate };

struct Alarm
{
    std::int64_t atUs = 0;
    std::uint64_t sequence = 0; // keeps alarms for the same time in the order of their creation
    AlarmKind kind{};
    TaskRef task;             // TaskDue, JobDeadline
    std::uint64_t number = 0; // request id, backend id or organisation id
    std::string node;         // LoanEnd: borrower

    friend bool operator<(const Alarm &a, const Alarm &b) // the earliest one on top of a heap
    {
        return std::pair(a.atUs, a.sequence) > std::pair(b.atUs, b.sequence);
    }
};

} // namespace clementinelift::core
