#include "standins/log_service.h"

#include <algorithm>

namespace clementinelift::standins {

namespace {

constexpr double burstS = 0.25; // the token bucket holds the appends of this many seconds
constexpr double usPerSecond = 1e6;

} // namespace

LogService::LogService(const LogOptions &options)
    : m_options(options), m_random(options.seed), m_tokens(options.appendsPerS * burstS)
{}

AppendResult LogService::append(std::string_view stream, std::string_view data, std::int64_t nowUs, std::int64_t wallMs)
{
    AppendResult result;
    if (isInOutage(nowUs)) {
        ++m_counts.refusedInOutage;
        return result;
    }
    if (!takeAppendToken(nowUs)) {
        ++m_counts.overLimit;
        result.status = AppendStatus::OverLimit;
        return result;
    }
    Stream &target = m_streams[std::string(stream)];
    // Records become readable in offset order, also after the sync time was lowered.
    target.lastReadyUs = std::max(target.lastReadyUs, nowUs + m_options.syncUs);
    result.status = AppendStatus::Appended;
    result.offset = target.nextOffset++;
    result.readyUs = target.lastReadyUs;
    target.entries.push_back({{result.offset, wallMs, std::string(data)}, result.readyUs});
    ++m_counts.appended;
    if (nowUs < m_lostUntilUs && std::bernoulli_distribution(m_lostShare)(m_random)) {
        result.answerLost = true;
        ++m_counts.answersLost;
    }
    return result;
}

std::optional<ReadResult> LogService::read(std::string_view stream, std::int64_t from, std::size_t max,
                                           std::int64_t nowUs, std::int64_t wallMs)
{
    if (isInOutage(nowUs)) {
        ++m_counts.refusedInOutage;
        return std::nullopt;
    }
    ++m_counts.reads;
    ReadResult result;
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return result;
    Stream &source = found->second;
    dropOldRecords(source, wallMs);
    result.firstAvailable = source.entries.empty() ? source.nextOffset : source.entries.front().record.offset;
    result.end = result.firstAvailable;
    for (const Entry &entry : source.entries) {
        if (entry.readyUs > nowUs)
            break;
        result.end = entry.record.offset + 1;
        if (entry.record.offset >= from && result.records.size() < max)
            result.records.push_back(entry.record);
    }
    return result;
}

bool LogService::hasRecord(std::string_view stream, std::int64_t from, std::int64_t nowUs) const
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return false;
    const auto &entries = found->second.entries;
    return std::any_of(entries.rbegin(), entries.rend(),
                       [&](const Entry &entry) { return entry.record.offset >= from && entry.readyUs <= nowUs; });
}

void LogService::loseAnswers(double share, std::int64_t untilUs)
{
    m_lostShare = std::clamp(share, 0.0, 1.0);
    m_lostUntilUs = untilUs;
}

bool LogService::takeAppendToken(std::int64_t nowUs)
{
    const double refill = static_cast<double>(nowUs - m_tokensAtUs) / usPerSecond * m_options.appendsPerS;
    m_tokens = std::min(m_options.appendsPerS * burstS, m_tokens + refill);
    m_tokensAtUs = nowUs;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void LogService::dropOldRecords(Stream &stream, std::int64_t wallMs) const
{
    while (!stream.entries.empty() && stream.entries.front().record.timeMs < wallMs - m_options.retentionMs)
        stream.entries.pop_front();
}

} // namespace clementinelift::standins
