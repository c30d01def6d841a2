// Simulated backend server in virtual time: leases, fencing and ends of runs, as documented for the platform.
#pragma once

#include "command/events.h"

#include <functional>
#include <map>
#include <vector>

namespace clementinelift::command {

struct SimServer
{
    struct Run
    {
        RunNumber number = 0;
        Resources resources;
        TimeUs endAt = 0;
        std::uint64_t serial = 0; // distinguishes runs of one task
    };
    struct Hold
    {
        int node = 0;
        SendHold order;
        TimeUs sentAt = 0;
        TimeUs until = 0;
        std::function<void(Event)> reply;
    };

    ServerEntry entry;
    double speed = 1.0;
    double clockRate = 1.0; // 0.98 .. 1
    TimeUs startedAt = 0;
    bool up = true;
    bool refuses = false;      // while not up: connections are refused at once
    bool unresponsive = false; // sends no answers, but its runs continue
    bool failing = false;      // every run fails after 2 ms
    bool hanging = false;      // runs never end
    bool listed = true;
    bool guardsCapacity = true; // rejects what does not fit
    TimeUs resizedAt = 0;       // when entry VMs know of the last change of its capacity
    FencingToken token = 0;
    std::int64_t leaseEndMs = 0;
    std::int64_t lastEnd = 0;
    std::map<TaskId, Run> runs;
    std::map<TaskId, RunNumber> refusedThrough;
    std::vector<EndedRun> ended;
    std::vector<Hold> holds;

    std::int64_t clockMs(TimeUs now) const
    {
        return 1000 + static_cast<std::int64_t>(static_cast<double>(now - startedAt) * clockRate) / usPerMs;
    }
    Resources used() const
    {
        Resources sum;
        for (const auto &[task, run] : runs)
            sum += run.resources;
        return sum;
    }
};

} // namespace clementinelift::command
