// Client of the platform's log service (docs/protocols.md, sections 4 and 7).
//
//     LogClient log({.url = "http://127.0.0.1:7000"}, handlers);
//     log.follow(core::Stream::Config, 0);     // reads on and on from this offset
//     log.append(id, core::Stream::Ownership, grant);
//
// Contents
//   Decoding     pages of a stream and answers to appends, also for clients that wait
//   LogClient
#pragma once

#include "core/events.h"
#include "net/codec.h"
#include "net/http_client.h"

namespace clementinelift::logservice {

// Decoding ------------------------------------------------------------------------------------------

std::string_view toString(core::Stream stream); // its name at the log service

struct LogPage
{
    std::int64_t firstAvailable = 0; // records below were dropped
    std::int64_t end = 0;            // next offset to be given
    std::vector<core::LogRecord> records;
    std::uint32_t undecodableRecords = 0; // that could not be decoded
};

// What stands for a record that cannot be decoded or belongs to the other stream: it keeps its offset and changes
// nothing.
core::LogBody makeNeutralBody(core::Stream stream);

// Body of a read that began at the offset from. Offsets must ascend.
net::Decoded<LogPage> decodeLogPage(core::Stream stream, std::int64_t from, std::string_view body);

// What is known of an append after this result.
core::AppendEnded decodeAppend(core::AppendId append, const net::HttpResult &result);

net::HttpClientRequest makeReadRequest(std::string_view url, core::Stream stream, std::int64_t from,
                                       std::int64_t waitMs);
net::HttpClientRequest makeAppendRequest(std::string_view url, core::Stream stream, const core::LogBody &body);

// LogClient -----------------------------------------------------------------------------------------

struct LogClientSettings
{
    std::string url;                 // http://ip:port
    std::int64_t pollWaitMs = 5000;  // a read waits this long for a new record
    std::int64_t firstRetryMs = 100; // after a failed read; doubles up to maxRetryMs
    std::int64_t maxRetryMs = 1000;
};

// Called on the thread of the HTTP client; must not block.
struct LogClientHandlers
{
    std::function<void(core::LogRead &&)> read;
    std::function<void(core::LogUnavailable)> unavailable; // after every failed read
    std::function<void(core::AppendEnded)> appendEnded;    // exactly once for each append
};

class LogClient
{
public:
    // http must outlive the client and be stopped before it is destroyed.
    LogClient(const LogClientSettings &settings, net::HttpClient &http, LogClientHandlers handlers);
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;
    ~LogClient();

    // Thread-safe. Reads the stream from this offset on, instead of where it was read until now.
    void follow(core::Stream stream, std::int64_t offset);

    // Thread-safe.
    void append(core::AppendId append, core::Stream stream, const core::LogBody &body);

    std::uint64_t undecodableRecords() const; // total of records that could not be decoded

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::logservice
