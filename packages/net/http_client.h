// HTTP/1.1 client on its own thread: keep-alive, a limit on the connections to each host, and a result
// that says whether a request can have reached the server.
//
//     HttpClient client({.maxHostConnections = 8});
//     client.send({.method = "POST", .url = "http://127.0.0.1:9001/v1/tasks/x", .body = payload, .timeoutMs = 2000},
//                 [](HttpResult &&result) { ... });          // on the thread of the client, exactly once
//
// Contents
//   Requests and results
//   HttpClient
#pragma once

#include "net/http_server.h"

namespace clementinelift::net {

// Requests and results ------------------------------------------------------------------------------

struct HttpClientSettings
{
    long maxHostConnections = 8;           // requests beyond the limit wait for a free connection
    long maxIdleConnections = 512;         // total over all hosts
    std::size_t maxAnswerBytes = 4u << 20; // a larger body ends the request as Unknown
    std::int64_t connectTimeoutMs = 1000;  // for establishing a connection
    std::int64_t maxConnectionAgeS = 60;   // older idle connections are not reused
};

struct HttpClientRequest
{
    std::string method = "GET";
    std::string url; // scheme http only
    std::string body = {};
    HttpFields headers = {};
    std::int64_t timeoutMs = 5000; // includes the wait for a connection; not sent after it, even after a suspension
    std::int64_t delayMs = 0;      // delay before sending; timeoutMs starts after the delay
    bool repeatable = false;       // may be sent again when a reused connection turns out to be closed
    bool newConnection = false;    // sent on a connection that was not used before
    std::int64_t maxIdleS = 0;     // a connection that was idle for longer is not reused; 0: maxConnectionAgeS
    std::string lane = {};         // a host name; shares connections with requests of the same lane and host only
    bool keptConnection = false;   // opens no connection: NotSent unless one is kept
};

enum class HttpRequestId : std::uint64_t {}; // of one request of a client; 0 is no request

enum class HttpOutcome : std::uint8_t {
    Answered, // status, headers and body are complete
    NotSent,  // certain that no byte of the request was sent
    Unknown,  // the request may have taken effect: connection lost, timeout, malformed or too large answer
};

struct HttpResult
{
    HttpOutcome outcome = HttpOutcome::Unknown;
    int status = 0;            // set for Answered
    HttpFields headers;        // set for Answered
    std::string body;          // set for Answered
    std::string error;         // error text, empty for Answered
    bool isRefused = false;    // the last connection attempt was refused: nothing listens at the address
    bool hasConnected = false; // a connection was opened for the request
};

// HttpClient ----------------------------------------------------------------------------------------

class HttpClient
{
public:
    using Done = std::function<void(HttpResult &&)>;

    explicit HttpClient(const HttpClientSettings &settings);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient(); // calls stop()

    // Thread-safe. done is called exactly once, never from inside send().
    HttpRequestId send(HttpClientRequest &&request, Done &&done);

    // Thread-safe. Ends the request with NotSent or Unknown, never from inside cancel(); does nothing when it has
    // ended.
    void cancel(HttpRequestId request);

    // Thread-safe. Calls task on the thread of this client, which also calls done.
    void post(std::function<void()> &&task);

    // Thread-safe; replaces maxHostConnections for connections opened after the call.
    void setMaxHostConnections(long connections);

    // Ends all requests with NotSent or Unknown and joins the thread. Later requests are dropped, and their done is not
    // called.
    void stop();

    std::size_t openRequests() const;
    std::uint64_t bytesSent() const; // bodies and headers since the start
    std::uint64_t bytesReceived() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::net
