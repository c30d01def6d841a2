// Tasks under which backend servers have crashed.
//
// Meant for tasks that crash each backend server that starts them. Nothing tells which of several tasks on a crashed
// backend server was the cause, so the crash counts for all of them. A task with a crash is started again on a backend
// server of its own, so that a second crash has one possible cause and no other task is lost; only when its job is late
// and no backend server is idle, it shares one. As callers may submit a job again at any entry VM, entry VMs report the
// counts to each other.
#pragma once

#include "command/types.h"

#include <algorithm>
#include <map>
#include <span>
#include <vector>

namespace clementinelift::command {

constexpr std::uint32_t maxCrashes = 2; // under one task, which is not started again after that
// Runs of a task that are lost with backend servers of which nothing is known, before its job is given up. Crashes and
// suspected crashes together are bounded by this as well, so that crashes that cannot be proved are not repeated.
constexpr std::uint32_t maxLosses = 3;

struct CrashCount
{
    TaskId task;
    std::uint32_t count = 0;     // the task was at work then
    std::uint32_t suspected = 0; // the task may have ended before, or may never have been started
    std::uint32_t lost = 0;      // backend servers under the task that stopped answering
    std::uint32_t decided = 0;   // of lost: they have answered again, or count above

    std::uint32_t sum() const { return count + suspected; }
    bool mustGiveUp() const { return sum() + lost - std::min(decided, lost) >= maxLosses; }
};

// What is known about a backend server that a task ran on.
enum class CrashNotice : std::uint8_t {
    None,
    Lost,       // it does not answer
    NotCrashed, // it answers again
    Suspected,  // it has crashed, perhaps after the run had ended
    Certain,    // it has crashed under the run
};

class CrashRecord
{
public:
    // Counts one more crash under the task; returns the new count.
    std::uint32_t add(TimeUs now, const TaskId &task);
    void add(TimeUs now, const TaskId &task, CrashNotice notice);
    // Applies the counts of a peer; true when one is higher than the known one.
    bool merge(TimeUs now, const CrashCount &reported);
    // Forgets tasks without a crash for some time.
    void expire(TimeUs now);

    std::uint32_t count(const TaskId &task) const { return find(task).count; }
    CrashCount find(const TaskId &task) const; // zero counts when there is no entry
    // Tasks of the job that have a count, in order of their index.
    std::vector<CrashCount> ofJob(std::string_view job) const;
    // Counts that have changed after the given version().
    std::vector<CrashCount> changedSince(std::uint64_t version) const;
    std::uint64_t version() const { return m_version; } // increases with each change

private:
    struct Entry
    {
        CrashCount counts;
        std::uint64_t version = 0;
        TimeUs expiresAt = 0;
    };
    void set(TimeUs now, const CrashCount &counts);

    std::map<TaskId, Entry> m_entries;
    std::uint64_t m_version = 0;
};

} // namespace clementinelift::command
