// Reads the log stream "config" and appends changes to it, with outcomes that can be trusted.
//
// Contents
//   LogAccess    what the publisher needs of a log client
//   LogReader    state and history from the log
//   publish()    append, read back, verdict
#pragma once

#include "core/configuration.h"
#include "core/events.h"

#include <algorithm>
#include <concepts>
#include <functional>

namespace clementinelift::ctl {

// LogAccess -----------------------------------------------------------------------------------------

struct LogPage
{
    std::int64_t firstAvailable = 0; // records below were dropped
    std::int64_t end = 0;            // next offset to be given
    std::vector<core::LogRecord> records;
};

template <typename Log>
concept LogAccess = requires(Log &log, const core::ChangeRecord &change, std::int64_t number)
{
    {
        log.append(change)
        } -> std::same_as<core::AppendOutcome>;
    {
        log.read(number)
        } -> std::same_as<tl::expected<LogPage, std::string>>; // from this offset on
    {
        log.nowMs()
        } -> std::same_as<std::int64_t>; // monotonic
    {log.pause(number)};                 // milliseconds
};

// LogReader -----------------------------------------------------------------------------------------

template <LogAccess Log> class LogReader
{
public:
    LogReader(Log &log, core::ParseEntry parseEntry) : m_log(log), m_configuration(parseEntry) {}

    // Applies all records up to the end of the log. The error says why the state is not known.
    tl::expected<void, std::string> readToEnd();

    const core::Configuration &configuration() const { return m_configuration; }

    // Called for every change that is read; the history of the configuration is shorter.
    std::function<void(const core::LogRecord &, const core::ChangeOutcome &)> onOutcome;

private:
    tl::expected<std::int64_t, std::string> readOnce(); // the end of the log
    void apply(const core::LogRecord &record);

    Log &m_log;
    core::Configuration m_configuration;
};

template <LogAccess Log> void LogReader<Log>::apply(const core::LogRecord &record)
{
    const bool isNext = record.offset == m_configuration.nextOffset();
    m_configuration.apply(record);
    if (isNext && onOutcome && std::holds_alternative<core::ChangeRecord>(record.body))
        onOutcome(record, m_configuration.history().back());
}

template <LogAccess Log> tl::expected<std::int64_t, std::string> LogReader<Log>::readOnce()
{
    for (std::int64_t from = m_configuration.nextOffset();;) {
        const auto page = m_log.read(from);
        if (!page)
            return tl::make_unexpected(page.error());
        for (const core::LogRecord &record : page->records)
            apply(record);
        if (page->records.empty() || page->records.back().offset + 1 >= page->end)
            return page->end;
        from = std::max(from, page->records.back().offset) + 1;
    }
}

template <LogAccess Log> tl::expected<void, std::string> LogReader<Log>::readToEnd()
{
    // A pass over a log without its first records ends behind the offset that its newest snapshot covers; the records
    // after that offset are read by the next pass.
    for (;;) {
        const std::int64_t before = m_configuration.nextOffset();
        const auto end = readOnce();
        if (!end)
            return tl::make_unexpected(end.error());
        if (m_configuration.nextOffset() >= *end) {
            m_configuration.markLoaded();
            return {};
        }
        if (m_configuration.nextOffset() == before)
            return tl::make_unexpected(std::string("the log service dropped records and keeps no snapshot of them"));
    }
}

// publish() -----------------------------------------------------------------------------------------

enum class PublishState : std::uint8_t {
    Accepted,    // read back from the log
    Conflict,    // another change won; nothing of this one is in force
    Invalid,     // rejected by the rule of the entry VMs
    NotAppended, // certain that nothing was appended
    Uncertain    // may have been appended, could not be read back
};

struct PublishResult
{
    PublishState state = PublishState::NotAppended;
    core::ChangeOutcome outcome; // of Accepted, Conflict and Invalid; offset -1: never appended
    std::uint32_t appends = 0;   // sent to the log service
    std::string detail;          // of NotAppended and Uncertain, for people
};

// The entry that rules out the change, as an outcome; empty when the change is based on the current versions.
inline std::optional<core::ChangeOutcome> findConflict(const core::Configuration &configuration,
                                                       const core::ChangeRecord &change)
{
    for (const core::ConfigEntryChange &changed : change.entries) {
        const core::ConfigEntry *entry = configuration.entry(changed.name);
        if (changed.baseVersion == (entry ? entry->version : 0))
            continue;
        core::ChangeOutcome outcome{
                change.changeId, change.author, -1, core::ChangeVerdict::Conflict, changed.name, {}, {}, 0, {}};
        if (entry) {
            outcome.conflictAuthor = entry->author;
            outcome.conflictChange = entry->changeId;
            outcome.conflictVersion = entry->version;
        }
        return outcome;
    }
    return std::nullopt;
}

constexpr std::int64_t firstPauseMs = 50; // between two tries, doubles up to maxPauseMs
constexpr std::int64_t maxPauseMs = 1000;

// Appends the change until its verdict is read back or timeoutMs have passed. The log is read to its end before each
// append, so a change whose append got no response is found and not appended again. If it still arrives twice, the
// second record is based on an old version and changes nothing.
template <LogAccess Log>
PublishResult publish(Log &log, LogReader<Log> &reader, const core::ChangeRecord &change, std::int64_t timeoutMs)
{
    PublishResult result;
    std::optional<core::ChangeOutcome> found;
    reader.onOutcome = [&](const core::LogRecord &, const core::ChangeOutcome &outcome) {
        if (outcome.changeId == change.changeId && (!found || found->verdict != core::ChangeVerdict::Accepted))
            found = outcome;
    };
    const std::int64_t deadlineMs = log.nowMs() + timeoutMs;
    bool isAppended = false;
    bool mayBeAppended = false;
    for (std::int64_t pauseMs = firstPauseMs;; pauseMs = std::min(2 * pauseMs, maxPauseMs)) {
        const auto read = reader.readToEnd();
        if (!found && read)
            found = findConflict(reader.configuration(), change);
        if (found) {
            result.state = found->verdict == core::ChangeVerdict::Accepted ? PublishState::Accepted
                    : found->verdict == core::ChangeVerdict::Conflict      ? PublishState::Conflict
                                                                           : PublishState::Invalid;
            result.outcome = *found;
            break;
        }
        if (!read)
            result.detail = read.error();
        if (log.nowMs() >= deadlineMs) {
            result.state = mayBeAppended ? PublishState::Uncertain : PublishState::NotAppended;
            break;
        }
        if (read && !isAppended) {
            const core::AppendOutcome outcome = log.append(change);
            ++result.appends;
            isAppended = outcome == core::AppendOutcome::Appended;
            mayBeAppended |= outcome != core::AppendOutcome::Refused;
            result.detail = outcome == core::AppendOutcome::Refused ? "the log service refuses appends"
                    : outcome == core::AppendOutcome::Unknown       ? "the log service did not answer the append"
                                                                    : "the appended record is not readable yet";
            if (isAppended)
                continue;
        }
        log.pause(pauseMs);
    }
    reader.onOutcome = nullptr;
    return result;
}

} // namespace clementinelift::ctl
