// Reads the log stream "config" and appends changes to it. A change is reported as accepted only after it has been read
// back from the log.
//
// Contents
//   LogAccess    concept of a log client
//   LogReader    builds the configuration from the records of the log
//   publish()    appends a change and reads its verdict from the log
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
    std::int64_t firstAvailable = 0; // records below this offset were dropped
    std::int64_t end = 0;            // offset that the next appended record gets
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
        } -> std::same_as<tl::expected<LogPage, std::string>>; // records from offset number on
    {
        log.nowMs()
        } -> std::same_as<std::int64_t>; // monotonic
    {log.pause(number)};                 // blocks for number milliseconds
};

// LogReader -----------------------------------------------------------------------------------------

template <LogAccess Log> class LogReader
{
public:
    LogReader(Log &log, core::ParseEntry parseEntry) : m_log(log), m_configuration(parseEntry) {}

    // Applies all records up to the end of the log. The error says why the configuration is incomplete.
    tl::expected<void, std::string> readToEnd();

    const core::Configuration &configuration() const { return m_configuration; }

    // Called for every change that is read. configuration().history() keeps only the newest changes.
    std::function<void(const core::LogRecord &, const core::ChangeOutcome &)> onOutcome;

private:
    tl::expected<std::int64_t, std::string> readPages(); // returns the end of the log
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

template <LogAccess Log> tl::expected<std::int64_t, std::string> LogReader<Log>::readPages()
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
    // When the log no longer has its first records, the first pass only restores the newest snapshot and ends past the
    // offset that the snapshot covers. The next pass reads the records from that offset on.
    for (;;) {
        const std::int64_t before = m_configuration.nextOffset();
        const auto end = readPages();
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
    Accepted,    // read back from the log as accepted
    Conflict,    // an entry was changed since the base version; nothing of this change is in force
    Invalid,     // read back from the log as invalid
    NotAppended, // not in the log
    Uncertain    // possibly in the log, but could not be read back
};

struct PublishResult
{
    PublishState state = PublishState::NotAppended;
    core::ChangeOutcome outcome; // for Accepted, Conflict and Invalid; offset -1: not appended
    std::uint32_t appends = 0;   // append requests sent to the log service
    std::string detail;          // cause of NotAppended and Uncertain, human-readable
};

// Returns a conflict outcome for the first entry of the change whose base version is not the current version, or
// nullopt.
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

constexpr std::int64_t initialBackoffMs = 50; // between two attempts; doubles up to maxBackoffMs
constexpr std::int64_t maxBackoffMs = 1000;

// Retries the append until the verdict of the change is read back or timeoutMs have passed. The log is read to its end
// before each append, so a change whose append got no response is found and not appended again. If the change is still
// appended twice, the second record has an outdated base version and changes nothing.
template <LogAccess Log>
PublishResult publish(Log &log, LogReader<Log> &reader, const core::ChangeRecord &change, std::int64_t timeoutMs)
{
    PublishResult result;
    std::optional<core::ChangeOutcome> changeOutcome;
    reader.onOutcome = [&](const core::LogRecord &, const core::ChangeOutcome &outcome) {
        if (outcome.changeId == change.changeId
            && (!changeOutcome || changeOutcome->verdict != core::ChangeVerdict::Accepted))
            changeOutcome = outcome;
    };
    const std::int64_t deadlineMs = log.nowMs() + timeoutMs;
    bool isAppended = false;
    bool mayBeInLog = false;
    for (std::int64_t backoffMs = initialBackoffMs;; backoffMs = std::min(2 * backoffMs, maxBackoffMs)) {
        const auto read = reader.readToEnd();
        if (!changeOutcome && read)
            changeOutcome = findConflict(reader.configuration(), change);
        if (changeOutcome) {
            result.state = changeOutcome->verdict == core::ChangeVerdict::Accepted ? PublishState::Accepted
                    : changeOutcome->verdict == core::ChangeVerdict::Conflict      ? PublishState::Conflict
                                                                                   : PublishState::Invalid;
            result.outcome = *changeOutcome;
            break;
        }
        if (!read)
            result.detail = read.error();
        if (log.nowMs() >= deadlineMs) {
            result.state = mayBeInLog ? PublishState::Uncertain : PublishState::NotAppended;
            break;
        }
        if (read && !isAppended) {
            const core::AppendOutcome outcome = log.append(change);
            ++result.appends;
            isAppended = outcome == core::AppendOutcome::Appended;
            mayBeInLog |= outcome != core::AppendOutcome::Refused;
            result.detail = outcome == core::AppendOutcome::Refused ? "the log service refuses appends"
                    : outcome == core::AppendOutcome::Unknown       ? "the log service did not answer the append"
                                                                    : "the appended record is not readable yet";
            if (isAppended)
                continue;
        }
        log.pause(backoffMs);
    }
    reader.onOutcome = nullptr;
    return result;
}

} // namespace clementinelift::ctl
