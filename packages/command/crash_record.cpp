#include "command/crash_record.h"

namespace clementinelift::command {

namespace {

// Callers submit a job again 1.3 s after each failed attempt, and a crashed backend server is back after some seconds.
constexpr TimeUs keepUs = 60 * usPerS;
constexpr std::size_t maxEntries = 10000; // about 1 MB; 40 crashes in ten seconds leave about 100

} // namespace

void CrashRecord::set(TimeUs now, const CrashCount &counts)
{
    if (m_entries.size() >= maxEntries && !m_entries.contains(counts.task))
        return;
    m_entries[counts.task] = {counts, ++m_version, now + keepUs};
}

std::uint32_t CrashRecord::add(TimeUs now, const TaskId &task)
{
    CrashCount counts = find(task);
    ++counts.count;
    set(now, counts);
    return counts.count;
}

void CrashRecord::add(TimeUs now, const TaskId &task, CrashNotice notice)
{
    CrashCount counts = find(task);
    counts.count += notice == CrashNotice::Certain ? 1 : 0;
    counts.suspected += notice == CrashNotice::Suspected ? 1 : 0;
    ++(notice == CrashNotice::Lost ? counts.lost : counts.decided);
    set(now, counts);
}

bool CrashRecord::merge(TimeUs now, const CrashCount &reported)
{
    CrashCount counts = find(reported.task);
    bool isHigher = false;
    for (std::uint32_t CrashCount::*member :
         {&CrashCount::count, &CrashCount::suspected, &CrashCount::lost, &CrashCount::decided}) {
        isHigher |= reported.*member > counts.*member;
        counts.*member = std::max(reported.*member, counts.*member);
    }
    if (isHigher)
        set(now, counts);
    return isHigher;
}

void CrashRecord::expire(TimeUs now)
{
    std::erase_if(m_entries, [&](const auto &entry) { return now >= entry.second.expiresAt; });
}

CrashCount CrashRecord::find(const TaskId &task) const
{
    const auto found = m_entries.find(task);
    return found == m_entries.end() ? CrashCount{task, 0, 0, 0, 0} : found->second.counts;
}

std::vector<CrashCount> CrashRecord::ofJob(std::string_view job) const
{
    std::vector<CrashCount> counts;
    for (auto it = m_entries.lower_bound({std::string(job), 0}); it != m_entries.end() && it->first.job == job; ++it)
        counts.push_back(it->second.counts);
    return counts;
}

std::vector<CrashCount> CrashRecord::changedSince(std::uint64_t version) const
{
    std::vector<CrashCount> changed;
    for (const auto &[task, entry] : m_entries) {
        if (entry.version > version)
            changed.push_back(entry.counts);
    }
    return changed;
}

} // namespace clementinelift::command
