// A job of one caller, from its arrival to its answer.
#pragma once

#include "command/events.h"

#include <cstddef>
#include <vector>

namespace clementinelift::command {

// Reason of a job that is failed because backend servers have crashed under one of its tasks.
constexpr std::string_view crashedBackendServers = "crashed_backend_servers";
// Reason of a job that is given up because too many may have crashed under one of its tasks.
constexpr std::string_view suspectedCrashes = "suspected_crashes";

// Reason of a job that is given up because an earlier start of one of its tasks may yet be carried out.
constexpr std::string_view unconfirmedStart = "unconfirmed_start";

// Reason of a job whose tasks fit only backend servers of evacuated zones.
constexpr std::string_view zoneEvacuated = "zone_evacuated";
// An evacuation lasts for minutes, so callers that return sooner are refused again.
constexpr TimeUs evacuatedRetryAfterUs = 5 * usPerS;

enum class TaskState : std::uint8_t {
    Waiting, // for free capacity
    Placed,  // a start was ordered
    Blocked, // an earlier run may still exist until retryAt
    Done,
};

struct Task
{
    TaskState state = TaskState::Waiting;
    RunNumber run = 0; // of the last order
    std::uint32_t failures = 0;
    std::uint32_t losses = 0;   // runs lost with their backend server
    std::uint32_t crashes = 0;  // also suspected ones; with any, the task needs a backend server of its own
    bool stopping = false;      // Placed: overdue, a stop of the run was requested
    std::string server;         // Placed
    std::string node;           // Placed: commander, empty: this entry VM
    std::uint64_t sequence = 0; // Placed: of the PlaceTasks to the commander
    double speed = 1.0;         // Placed: of its backend server for this task
    double serverSpeed = 1.0;   // Placed: of its backend server for all tasks
    bool isFar = false;         // Placed: on another rack than its data
    TimeUs placedAt = 0;        // Placed
    TimeUs startUs = 0;         // Placed: expected time from placing to its start on the backend server
    TimeUs retryAt = 0;         // Blocked
};

struct Job
{
    std::string id;
    std::vector<CallerId> callers; // several after a resubmission
    std::string route;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    std::string spec;
    Resources taskResources;
    TimeUs workUs = 0;     // expected of one task, on a backend server of speed 1
    TimeUs declaredUs = 0; // as the caller estimated it
    std::string dataRack;  // on which the tasks run faster; empty: any
    TimeUs budgetUs = 0;   // as declared by the caller; 0: unknown
    TimeUs arrivedAt = 0;
    TimeUs dueAt = 0;        // a later answer is late
    TimeUs lastUsefulAt = 0; // a later answer does not reach the caller in time
    std::vector<Task> tasks;
    std::uint32_t firstWaiting = 0; // no task before this one is in state Waiting
    std::uint32_t waiting = 0;      // tasks in state Waiting
    std::uint32_t done = 0;         // tasks in state Done
    std::uint32_t placed = 0;       // tasks in state Placed
    bool mayHaveRun = false;        // a run has ended or may exist, so the job must not be refused as "not run"
    TimeUs firstPlacedAt = 0;       // 0: never
    std::size_t memoryBytes = 0;    // taken from the memory of all jobs
    TimeUs betterUntil = 0;         // latest end of a wait for better backend servers; 0: none was begun
    bool waitsForBetter = false;    // all tasks in state Waiting are in this wait

    // When the remaining tasks have to start on a backend server of speed 1 for the job to be on time.
    TimeUs latestStart() const { return dueAt - workUs; }
};

} // namespace clementinelift::command
