// HTTP/1.1 server that limits the size of requests and accepts answers from any thread.
//
//     auto server = HttpServer::start(settings, [&](HttpCall call, HttpRequest &&request) { ...queue it... });
//     (*server)->answer(call, {200, R"({"ready":true})"});   // now or later, on any thread
//     (*server)->stop(5000);                                 // delivers pending answers, then closes
//
// A call that waits for its answer occupies no thread, because its connection is suspended; thousands may wait.
// The server answers requests over a limit itself, without calling the handler: 413 (body) and 431 (header), with the
// JSON body {"error", "place", "detail"} of docs/protocols.md. The limits on all requests together close connections or
// answer 503 with Retry-After; nothing of such a request reaches the handler (docs/design/request-memory.md).
//
// Contents
//   Settings, requests and answers
//   HttpServer
#pragma once

#include "net/request_budget.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinelift::net {

// Settings, requests and answers --------------------------------------------------------------------

struct HttpServerSettings
{
    std::string address = "127.0.0.1:0";        // ip:port, port 0: any free port
    std::size_t maxBodyBytes = 4u << 20;        // larger bodies are answered with 413
    std::size_t maxHeaderBytes = 8u << 10;      // request line and header; larger headers are answered with 431
    unsigned maxConnections = 4096;             // open at the same time, over all threads
    unsigned threads = 2;                       // I/O threads
    std::int64_t idleTimeoutMs = 60000;         // without a byte in either direction, or until the next complete header
    bool dropsAbandonedRequests = false;        // whose client has closed the connection before they were read
    std::size_t requestBytes = SIZE_MAX;        // of all connections, bodies in progress and unread answers
    std::size_t handlerFactor = 1;              // bytes that the handler takes for each byte of a body, with the body
    std::size_t maxDiscardBytes = 4u << 20;     // read of a body over maxBodyBytes before the connection is closed
    std::size_t unreadAnswerBytes = 256u << 10; // kept by the kernel for each connection
    std::int64_t unreadAnswerMs = 5000;         // answers unread for longer may be closed for requestBytes
};

// Memory that libmicrohttpd keeps for each open connection.
std::size_t connectionBytes(std::size_t maxHeaderBytes);

using HttpFields = std::vector<std::pair<std::string, std::string>>;

// Value of the first field with this name; names are compared case-insensitively. Empty when no field matches.
std::string_view findField(const HttpFields &fields, std::string_view name);

struct HttpRequest
{
    std::string method; // upper case
    std::string path;   // percent-decoded, without the query
    HttpFields query;   // percent-decoded
    HttpFields headers;
    std::string body;
};

struct HttpAnswer
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    HttpFields headers = {};
};

struct RequestUsage
{
    LimitCounters limits{}; // since the start
    std::size_t bytes = 0;  // counted against requestBytes
    std::size_t openConnections = 0;
};

enum class HttpCall : std::uint64_t {}; // identifies one request that waits for its answer; never reused

// HttpServer ----------------------------------------------------------------------------------------

class HttpServer
{
public:
    // Called on an I/O thread; must not block and may call answer(). While it runs, handlerFactor bytes are counted for
    // each byte of the body, then one until release().
    using Handler = std::function<void(HttpCall, HttpRequest &&)>;

    // The error says which address could not be used and why.
    static tl::expected<std::unique_ptr<HttpServer>, std::string> start(const HttpServerSettings &settings,
                                                                        Handler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer(); // stop(0) when still running

    // Thread-safe. False when the call is unknown, already answered or its connection is closed.
    bool answer(HttpCall call, HttpAnswer &&answer);

    // The bytes of the call's request are kept elsewhere from now on, or were freed. Until then, or until the answer,
    // they count against requestBytes. Thread-safe.
    void release(HttpCall call);

    // Closes the connection of the call without an answer. Thread-safe; returns the same as answer().
    bool drop(HttpCall call);

    // Calls whose client has closed the connection. Each is reported once and must not be answered.
    std::vector<HttpCall> takeClosedCalls();

    std::uint16_t port() const;
    std::size_t openCalls() const; // received and not yet delivered
    RequestUsage usage() const;    // thread-safe

    // After this call every answer closes its connection, so that clients reconnect to other servers.
    void disableKeepAlive();

    // Stops listening, waits up to waitMs until all answers are delivered, answers the remaining calls with
    // 503 and closes all connections.
    void stop(std::int64_t waitMs);

private:
    struct State;
    explicit HttpServer(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::net
