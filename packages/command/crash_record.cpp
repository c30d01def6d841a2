#include "command/crash_record.h"

namespace clementinelift::command {

namespace {

// Callers submit a job again 1.3 s after each failed attempt, and a crashed backend server is back after some seconds.
constexpr TimeUs keepUs = 60 * usPerS;
constexpr std::size_t maxEntries = 10000; // about 1 MB; 40 crashes in ten seconds leave about 100

} // namespace

void CrashRecord::set(TimeUs now, const TaskId &task, std::uint32_t count)
{
    if (m_entries.size() >= maxEntries && !m_entries.contains(task))
        return;
    m_entries[task] = {count, ++m_version, now + keepUs};
}

std::uint32_t CrashRecord::add(TimeUs now, const TaskId &task)
{
    const std::uint32_t sum = count(task) + 1;
    set(now, task, sum);
    return sum;
}

bool CrashRecord::merge(TimeUs now, const CrashCount &reported)
{
    if (reported.count <= count(reported.task))
        return false;
    set(now, reported.task, reported.count);
    return true;
}

void CrashRecord::expire(TimeUs now)
{
    std::erase_if(m_entries, [&](const auto &entry) { return now >= entry.second.expiresAt; });
}

std::uint32_t CrashRecord::count(const TaskId &task) const
{
    const auto found = m_entries.find(task);
    return found == m_entries.end() ? 0 : found->second.count;
}

std::vector<CrashCount> CrashRecord::ofJob(std::string_view job) const
{
    std::vector<CrashCount> counts;
    for (auto it = m_entries.lower_bound({std::string(job), 0}); it != m_entries.end() && it->first.job == job; ++it)
        counts.push_back({it->first, it->second.count});
    return counts;
}

std::vector<CrashCount> CrashRecord::changedSince(std::uint64_t version) const
{
    std::vector<CrashCount> changed;
    for (const auto &[task, entry] : m_entries) {
        if (entry.version > version)
            changed.push_back({task, entry.count});
    }
    return changed;
}

} // namespace clementinelift::command
