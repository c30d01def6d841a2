#include "command/unconfirmed_starts.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

// A backend server that comes back later than lateStartLimitUs is still sent a stop, and peers that learn of a start
// late also learn that it has been settled.
constexpr TimeUs keepUs = 60 * usPerS;
constexpr std::size_t maxEntries = 10000; // about 2 MB; 50 backend servers that fall silent together leave about 200

} // namespace

std::string_view toString(StartFate fate)
{
    return fate == StartFate::Unknown ? "unknown" : fate == StartFate::Bounded ? "bounded" : "settled";
}

UnconfirmedStart UnconfirmedStarts::report(TimeUs now, const Key &key, const Entry &entry)
{
    return {key.first, key.second, entry.run, entry.fate, entry.occurrence, std::max<TimeUs>(entry.endsBy - now, 0)};
}

void UnconfirmedStarts::add(TimeUs now, const TaskId &task, std::string_view server, RunNumber run, StartFate fate,
                            TimeUs endsBy)
{
    const Key key{task, std::string(server)};
    if (m_entries.size() >= maxEntries && !m_entries.contains(key))
        return;
    Entry &entry = m_entries[key];
    entry = {run, fate, entry.occurrence + 1, now, endsBy, now + keepUs, ++m_version};
}

void UnconfirmedStarts::settleEntry(TimeUs now, Entry &entry, StartFate fate, TimeUs endsBy)
{
    if (entry.fate >= fate)
        return;
    entry.fate = fate;
    entry.endsBy = endsBy;
    entry.expiresAt = now + keepUs;
    entry.version = ++m_version;
}

void UnconfirmedStarts::settle(TimeUs now, const TaskId &task, std::string_view server, RunNumber run, StartFate fate,
                               TimeUs endsBy)
{
    const auto found = m_entries.find({task, std::string(server)});
    if (found != m_entries.end() && found->second.run == run)
        settleEntry(now, found->second, fate, endsBy);
}

void UnconfirmedStarts::settleAll(TimeUs now, std::string_view server, TimeUs addedBefore)
{
    for (auto &[key, entry] : m_entries) {
        if (key.second == server && entry.addedAt < addedBefore)
            settleEntry(now, entry, StartFate::Settled, now);
    }
}

bool UnconfirmedStarts::merge(TimeUs now, const UnconfirmedStart &reported)
{
    const Key key{reported.task, reported.server};
    const auto known = m_entries.find(key);
    if (known == m_entries.end() ? m_entries.size() >= maxEntries
                                 : std::pair(known->second.occurrence, known->second.fate)
                        >= std::pair(reported.occurrence, reported.fate))
        return false;
    const TimeUs endsBy = now + std::clamp<TimeUs>(reported.remainingUs, 0, lateStartLimitUs);
    m_entries[key] = {reported.run, reported.fate, reported.occurrence, now, endsBy, now + keepUs, ++m_version};
    return true;
}

void UnconfirmedStarts::expire(TimeUs now)
{
    std::erase_if(m_entries, [&](const auto &entry) { return now >= entry.second.expiresAt; });
}

std::vector<UnconfirmedStart> UnconfirmedStarts::openOn(TimeUs now, std::string_view server) const
{
    std::vector<UnconfirmedStart> open;
    for (const auto &[key, entry] : m_entries) {
        const bool isOpen =
                entry.fate == StartFate::Unknown || (entry.fate == StartFate::Bounded && now < entry.endsBy);
        if (key.second == server && isOpen)
            open.push_back(report(now, key, entry));
    }
    return open;
}

std::vector<UnconfirmedStart> UnconfirmedStarts::ofJob(TimeUs now, std::string_view job) const
{
    std::vector<UnconfirmedStart> starts;
    for (auto it = m_entries.lower_bound({TaskId{std::string(job), 0}, {}});
         it != m_entries.end() && it->first.first.job == job; ++it) {
        if (now < it->second.endsBy)
            starts.push_back(report(now, it->first, it->second));
    }
    return starts;
}

std::vector<UnconfirmedStart> UnconfirmedStarts::changedSince(TimeUs now, std::uint64_t version) const
{
    std::vector<UnconfirmedStart> changed;
    for (const auto &[key, entry] : m_entries) {
        if (entry.version > version)
            changed.push_back(report(now, key, entry));
    }
    return changed;
}

} // namespace clementinelift::command
