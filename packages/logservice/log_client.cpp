#include "logservice/log_client.h"

#include "net/bounded_json.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>

namespace clementinelift::logservice {

namespace {

using net::DecodeError;
using net::HttpOutcome;
using net::HttpResult;
using net::Json;

constexpr int recordsPerRead = 500;
constexpr std::int64_t readMarginMs = 3000; // time for the answer on top of the wait at the log service
constexpr std::int64_t appendTimeoutMs = 5000;
constexpr std::size_t streamCount = 2;
constexpr net::ParseLimits pageLimits{4, 1u << 16};

std::optional<std::int64_t> findOffset(const Json &map, const char *field)
{
    constexpr std::uint64_t maxOffset = std::uint64_t(1) << 53;
    const auto found = map.find(field);
    if (found == map.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > maxOffset)
        return std::nullopt;
    return found->get<std::int64_t>();
}

bool belongsTo(core::Stream stream, const core::LogBody &body)
{
    const bool isOwnership =
            std::holds_alternative<core::GrantRecord>(body) || std::holds_alternative<core::ReleaseRecord>(body);
    return isOwnership == (stream == core::Stream::Ownership);
}

// False when the entry is not a record. A record whose data cannot be decoded gets a no-op body.
bool decodeRecord(core::Stream stream, const Json &entry, core::LogRecord &record, std::uint32_t &undecodableCount)
{
    if (!entry.is_object())
        return false;
    const auto offset = findOffset(entry, "offset");
    const auto timeMs = findOffset(entry, "time_ms");
    const auto data = entry.find("data");
    const std::string *text = data != entry.end() ? data->get_ptr<const std::string *>() : nullptr;
    std::string bytes;
    if (!offset || !timeMs || text == nullptr || !absl::Base64Unescape(*text, &bytes))
        return false;
    record.offset = *offset;
    record.timeMs = *timeMs;
    auto body = net::decodeLogBody(bytes);
    const bool isUndecodable = !body || !belongsTo(stream, *body);
    record.body = isUndecodable ? makeNoOpBody(stream) : *std::move(body);
    undecodableCount += isUndecodable ? 1 : 0;
    return true;
}

} // namespace

// Decoding ------------------------------------------------------------------------------------------

std::string_view toString(core::Stream stream)
{
    return stream == core::Stream::Ownership ? "ownership" : "config";
}

core::LogBody makeNoOpBody(core::Stream stream)
{
    if (stream == core::Stream::Ownership)
        return core::GrantRecord{}; // grants no partition, for no time
    return core::ChangeRecord{};    // has no entries, so every entry VM rejects the change
}

net::Decoded<LogPage> decodeLogPage(core::Stream stream, std::int64_t from, std::string_view body)
{
    std::string problem;
    const Json map = net::parseBounded(body, Json::input_format_t::json, pageLimits, problem);
    if (!map.is_object())
        return tl::unexpected(DecodeError{"", "not a JSON object " + problem});
    const auto firstAvailable = findOffset(map, "first_available");
    const auto end = findOffset(map, "end");
    const auto records = map.find("records");
    if (!firstAvailable || !end || records == map.end() || !records->is_array())
        return tl::unexpected(DecodeError{"", "first_available, end or records is missing or wrong"});
    LogPage page{*firstAvailable, *end, {}, 0};
    std::int64_t lowest = std::max(from, *firstAvailable);
    for (std::size_t i = 0; i < records->size(); ++i) {
        core::LogRecord &record = page.records.emplace_back();
        if (!decodeRecord(stream, (*records)[i], record, page.undecodableRecords) || record.offset < lowest
            || record.offset >= *end)
            return tl::unexpected(DecodeError{"records[" + std::to_string(i) + "]", "offset, time or data is wrong"});
        lowest = record.offset + 1;
    }
    return page;
}

core::AppendEnded decodeAppend(core::AppendId append, const HttpResult &result)
{
    if (result.outcome == HttpOutcome::NotSent)
        return {append, core::AppendOutcome::Refused};
    if (result.outcome == HttpOutcome::Unknown)
        return {append, core::AppendOutcome::Unknown};
    if (result.status == 200) {
        std::string ignored;
        const Json map = net::parseBounded(result.body, Json::input_format_t::json, pageLimits, ignored);
        const auto offset = map.is_object() ? findOffset(map, "offset") : std::nullopt;
        if (offset)
            return {append, core::AppendOutcome::Appended, *offset};
        return {append, core::AppendOutcome::Unknown};
    }
    const bool isRefused = result.status == 429 || result.status == 503 || result.status / 100 == 4;
    return {append, isRefused ? core::AppendOutcome::Refused : core::AppendOutcome::Unknown};
}

net::HttpClientRequest makeReadRequest(std::string_view url, core::Stream stream, std::int64_t from,
                                       std::int64_t waitMs)
{
    net::HttpClientRequest request;
    request.url.append(url).append("/v1/streams/").append(toString(stream)).append("/records?from=");
    request.url += std::to_string(from) + "&max=" + std::to_string(recordsPerRead);
    request.url += "&wait_ms=" + std::to_string(waitMs);
    request.timeoutMs = waitMs + readMarginMs;
    request.repeatable = true;
    return request;
}

net::HttpClientRequest makeAppendRequest(std::string_view url, core::Stream stream, const core::LogBody &body)
{
    net::HttpClientRequest request;
    request.method = "POST";
    request.url.append(url).append("/v1/streams/").append(toString(stream)).append("/records");
    request.body = net::encodeLogBody(body);
    request.timeoutMs = appendTimeoutMs;
    return request;
}

// LogClient -----------------------------------------------------------------------------------------

struct LogClient::State
{
    struct Cursor
    {
        std::uint64_t generation = 0; // incremented by follow(); results of older reads are ignored
        std::int64_t next = 0;
        std::int64_t retryMs = 0; // delay after a failed read
        bool lastReadSucceeded = false;
    };

    LogClientSettings settings;
    net::HttpClient &http;
    LogClientHandlers handlers;
    std::mutex mutex;
    std::array<Cursor, streamCount> cursors; // by stream
    std::atomic<std::uint64_t> undecodableRecords = 0;

    void read(core::Stream stream, const Cursor &cursor);
    void onRead(core::Stream stream, std::uint64_t generation, const HttpResult &result);
};

void LogClient::State::read(core::Stream stream, const Cursor &cursor)
{
    // The first read and the first read after a failure do not wait, so that the end of the stream is known at once.
    net::HttpClientRequest request =
            makeReadRequest(settings.url, stream, cursor.next, cursor.lastReadSucceeded ? settings.pollWaitMs : 0);
    request.delayMs = cursor.retryMs;
    http.send(std::move(request), [this, stream, generation = cursor.generation](HttpResult &&result) {
        onRead(stream, generation, result);
    });
}

void LogClient::State::onRead(core::Stream stream, std::uint64_t generation, const HttpResult &result)
{
    Cursor &cursor = cursors[static_cast<std::size_t>(stream)];
    Cursor current;
    {
        const std::lock_guard lock(mutex);
        current = cursor;
    }
    if (current.generation != generation)
        return;
    const bool isAnswer = result.outcome == HttpOutcome::Answered && result.status == 200;
    auto page =
            isAnswer ? decodeLogPage(stream, current.next, result.body) : tl::unexpected(DecodeError{"", "no answer"});
    current.lastReadSucceeded = page.has_value();
    if (page) {
        current.retryMs = 0;
        current.next =
                page->records.empty() ? std::max(current.next, page->firstAvailable) : page->records.back().offset + 1;
        undecodableRecords += page->undecodableRecords;
        handlers.read(
                {stream, page->firstAvailable, current.next, current.next >= page->end, std::move(page->records)});
    } else {
        current.retryMs = std::clamp(current.retryMs * 2, settings.firstRetryMs, settings.maxRetryMs);
        handlers.unavailable({stream});
    }
    {
        const std::lock_guard lock(mutex);
        if (cursor.generation != generation)
            return; // follow() has started another read
        cursor = current;
    }
    read(stream, current);
}

LogClient::LogClient(const LogClientSettings &settings, net::HttpClient &http, LogClientHandlers handlers)
    : m_state(new State{settings, http, std::move(handlers), {}, {}, {}})
{}

LogClient::~LogClient() = default;

void LogClient::follow(core::Stream stream, std::int64_t offset)
{
    State::Cursor current;
    {
        const std::lock_guard lock(m_state->mutex);
        State::Cursor &cursor = m_state->cursors[static_cast<std::size_t>(stream)];
        cursor = {cursor.generation + 1, offset};
        current = cursor;
    }
    m_state->read(stream, current);
}

void LogClient::append(core::AppendId append, core::Stream stream, const core::LogBody &body)
{
    m_state->http.send(makeAppendRequest(m_state->settings.url, stream, body),
                       [state = m_state.get(), append](HttpResult &&result) {
                           state->handlers.appendEnded(decodeAppend(append, result));
                       });
}

std::uint64_t LogClient::undecodableRecords() const
{
    return m_state->undecodableRecords;
}

} // namespace clementinelift::logservice
