// Client of the platform's log service (docs/protocols.md, sections 4 and 7).
//
//     LogClient log({.url = "http://127.0.0.1:7000"}, handlers);
//     log.follow(core::Stream::Config, 0);     // reads continuously from this offset
//     log.append(id, core::Stream::Ownership, grant);
//
// Contents
//   Decoding     pages of a stream and answers to appends, also for blocking clients
//   LogClient
#pragma once

#include "core/events.h"
#include "net/codec.h"
#include "net/http_client.h"

namespace clementinelift::logservice {

// Decoding ------------------------------------------------------------------------------------------

std::string_view toString(core::Stream stream); // name of the stream in the log service

struct LogPage
{
    std::int64_t firstAvailable = 0; // records before this offset were dropped
    std::int64_t end = 0;            // offset of the next record to be appended
    std::vector<core::LogRecord> records;
    std::uint32_t undecodableRecords = 0; // records replaced by makeNoOpBody()
};

// Replaces a record that cannot be decoded or belongs to the other stream. The record keeps its offset and has no
// effect.
core::LogBody makeNoOpBody(core::Stream stream);

// Decodes the answer to a read that began at the offset from. Offsets must ascend.
net::Decoded<LogPage> decodeLogPage(core::Stream stream, std::int64_t from, std::string_view body);

// Derives the outcome of an append from the HTTP result.
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

    // Thread-safe. Continues reading the stream at this offset, replacing the read in progress.
    void follow(core::Stream stream, std::int64_t offset);

    // Thread-safe.
    void append(core::AppendId append, core::Stream stream, const core::LogBody &body);

    std::uint64_t undecodableRecords() const; // total of LogPage::undecodableRecords

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::logservice
