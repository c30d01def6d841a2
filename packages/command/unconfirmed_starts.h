// Starts without an answer whose runs cannot be bounded by a lease.
//
// The lease end of a start is a time on the clock of one incarnation of a backend server. When the backend server falls
// silent before the start is answered, another incarnation may have received the order, whose clock is behind that
// time: it may begin the run at any moment. Until the backend server has answered a stop of the run, its task is not
// started again. As callers may submit a job again at any entry VM, and as another entry VM may become the commander of
// the backend server, entry VMs report these starts, and what becomes known about them, to each other.
#pragma once

#include "command/types.h"

#include <map>
#include <vector>

namespace clementinelift::command {

// Longest time from an unanswered start to the end of its run, when nothing else is known. The platform carries late
// orders out within 12 s, and a lease lasts for 1 s.
constexpr TimeUs lateStartLimitUs = 15 * usPerS;

enum class StartFate : std::uint8_t {
    Unknown, // the run may still begin
    Bounded, // the lease that the start gave is certain to end the run
    Settled, // a stop was answered, the order was rejected, or the process that may have received it has ended
};

std::string_view toString(StartFate fate);

struct UnconfirmedStart
{
    TaskId task;
    std::string server;
    RunNumber run = 0;
    StartFate fate = StartFate::Unknown;
    std::uint32_t occurrence = 0; // of unconfirmed starts of the task on this backend server
    TimeUs remainingUs = 0;       // until the run has ended, see lateStartLimitUs
};

class UnconfirmedStarts
{
public:
    void add(TimeUs now, const TaskId &task, std::string_view server, RunNumber run, StartFate fate, TimeUs endsBy);
    // The run has ended by endsBy. Nothing is changed when the start is not known or already settled.
    void settle(TimeUs now, const TaskId &task, std::string_view server, RunNumber run, StartFate fate, TimeUs endsBy);
    // Settles all starts on the backend server that were added before the given time.
    void settleAll(TimeUs now, std::string_view server, TimeUs addedBefore);
    // Applies the report of a peer; true when it says more than was known.
    bool merge(TimeUs now, const UnconfirmedStart &reported);
    // Forgets starts that no longer matter to any entry VM.
    void expire(TimeUs now);

    // Starts that the backend server may still carry out, and for which it has to be sent a stop.
    std::vector<UnconfirmedStart> openOn(TimeUs now, std::string_view server) const;
    // Starts of tasks of the job whose runs may not have ended, in order of the tasks.
    std::vector<UnconfirmedStart> ofJob(TimeUs now, std::string_view job) const;
    // Starts that have changed after the given version().
    std::vector<UnconfirmedStart> changedSince(TimeUs now, std::uint64_t version) const;
    std::uint64_t version() const { return m_version; } // increases with each change

private:
    struct Entry
    {
        RunNumber run = 0;
        StartFate fate = StartFate::Unknown;
        std::uint32_t occurrence = 0;
        TimeUs addedAt = 0;
        TimeUs endsBy = 0;
        TimeUs expiresAt = 0;
        std::uint64_t version = 0;
    };
    using Key = std::pair<TaskId, std::string>; // task and backend server

    static UnconfirmedStart report(TimeUs now, const Key &key, const Entry &entry);
    void settleEntry(TimeUs now, Entry &entry, StartFate fate, TimeUs endsBy);

    std::map<Key, Entry> m_entries; // ordered, so that equal inputs give equal actions
    std::uint64_t m_version = 0;
};

} // namespace clementinelift::command
