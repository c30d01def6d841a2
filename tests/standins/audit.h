// Counts task starts on the simulated backend servers. Process tests check the dispatcher against these counts, which
// do not depend on any statement of the dispatcher.
//
// Contents
//   TaskIdentity   the task that a payload belongs to
//   Audit          starts and overlaps of each task
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelift::standins {

// TaskIdentity --------------------------------------------------------------------------------------

// Content of the payloads of the simulated callers, as JSON {"job", "task", "repeat", "run_us", "fail"}.
struct TaskIdentity
{
    std::string job;             // organisation and key of the job
    std::uint32_t task = 0;      // index in the job
    bool repeatAllowed = false;  // the template allows a second run
    std::int64_t runUs = 50'000; // run time on a healthy backend server of speed 1
    bool fails = false;          // the task runs and fails
};

std::string toPayload(const TaskIdentity &identity);

// Returns nullopt for a payload that the simulated callers did not create.
std::optional<TaskIdentity> parsePayload(std::string_view payload);

// The result that a backend server returns for a completed task; the simulated callers compare answers with it.
std::string resultOf(std::string_view job, std::uint32_t task);

// Audit ---------------------------------------------------------------------------------------------

struct AuditCounts
{
    std::uint64_t starts = 0;             // tasks started, all attempts
    std::uint64_t tasks = 0;              // different tasks started
    std::uint64_t repeatNeverDoubled = 0; // repeat=never tasks started more than once
    std::uint64_t overlapSameVm = 0;      // other tasks with two attempts of one entry VM at a time
    std::uint64_t overlapOtherVm = 0;     // other tasks with attempts of two entry VMs at a time
    std::uint64_t attemptsReused = 0;     // starts with an attempt id that was seen before

    std::uint64_t doubled() const { return repeatNeverDoubled + overlapSameVm + overlapOtherVm; }
};

class Audit
{
public:
    void recordStart(const TaskIdentity &identity, std::string_view attempt);
    void recordEnd(const TaskIdentity &identity, std::string_view attempt);

    AuditCounts counts() const;

    // Tasks of the job that have started at least once.
    std::uint32_t startedTasks(std::string_view job) const;

    // At most max lines, each with a doubled task and its attempts.
    std::vector<std::string> describeDoubled(std::size_t max) const;

private:
    struct TaskRecord
    {
        bool repeatAllowed = false;
        bool overlapSameVm = false;
        bool overlapOtherVm = false;
        std::vector<std::string> attempts; // in start order
        std::set<std::string> running;     // attempts in progress
    };

    std::unordered_map<std::string, std::map<std::uint32_t, TaskRecord>> m_jobs;
    std::set<std::string, std::less<>> m_attempts;
    std::uint64_t m_starts = 0;
    std::uint64_t m_attemptsReused = 0;
};

} // namespace clementinelift::standins
