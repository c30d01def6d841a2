#include "tests/unit/net/servers.h"

#include <catch2/catch.hpp>

#include <mutex>

using namespace clementinelift::net;

// Guards against lost or mixed-up parts of requests and answers.
TEST_CASE("http request and answer arrive unchanged")
{
    HttpServer *raw = nullptr;
    auto server = HttpServer::start({}, [&raw](HttpCall call, HttpRequest &&request) {
        HttpAnswer answer{201,
                          request.method + " " + request.path + "?" + std::string(findField(request.query, "q")) + " "
                                  + std::string(findField(request.headers, "x-one")) + " " + request.body};
        answer.headers.emplace_back("X-Two", "2");
        raw->answer(call, std::move(answer));
    });
    REQUIRE(server);
    raw = server->get();
    HttpClient client({});
    const std::string body("a\0b", 3);
    const HttpResult result = exchange(
            client,
            {.method = "POST", .url = makeUrl(raw->port(), "/p%20q?q=r"), .body = body, .headers = {{"X-One", "1"}}});
    CHECK(result.outcome == HttpOutcome::Answered);
    CHECK(result.status == 201);
    CHECK(result.body == "POST /p q?r 1 " + body);
    CHECK(findField(result.headers, "x-two") == "2");
}

// Guards against waiting callers that occupy a thread each.
TEST_CASE("many calls wait at once and are answered later")
{
    constexpr int count = 500;
    std::mutex mutex;
    std::vector<HttpCall> calls;
    auto server = HttpServer::start({.threads = 2}, [&](HttpCall call, HttpRequest &&) {
        const std::lock_guard lock(mutex);
        calls.push_back(call);
    });
    REQUIRE(server);
    HttpClient client({.maxHostConnections = count});
    std::atomic<int> answered = 0;
    for (int i = 0; i < count; ++i) {
        client.send({.url = makeUrl((*server)->port(), "/"), .timeoutMs = 20000},
                    [&](HttpResult &&result) { answered += result.status == 200 ? 1 : 0; });
    }
    for (;;) {
        const std::lock_guard lock(mutex);
        if (calls.size() == count)
            break;
    }
    CHECK(answered == 0);
    for (const HttpCall call : calls)
        CHECK((*server)->answer(call, {200, "{}"}));
    CHECK_FALSE((*server)->answer(calls[0], {200, "{}"}));
    (*server)->stop(20000);
    while (client.openRequests() > 0)
        std::this_thread::yield();
    CHECK(answered == count);
}

// Guards against unbounded memory for one request and against limits that drop the connection without an answer.
TEST_CASE("requests over a bound get 413 or 431 and never reach the handler")
{
    std::atomic<int> handled = 0;
    HttpServer *raw = nullptr;
    auto server = HttpServer::start({.maxBodyBytes = 1000, .maxHeaderBytes = 2000}, [&](HttpCall call, HttpRequest &&) {
        ++handled;
        raw->answer(call, {200, ""});
    });
    REQUIRE(server);
    raw = server->get();
    HttpClient client({});
    const std::string url = makeUrl(raw->port(), "/");
    CHECK(exchange(client, {.method = "POST", .url = url, .body = std::string(1000, 'x')}).status == 200);
    const HttpResult large = exchange(client, {.method = "POST", .url = url, .body = std::string(1001, 'x')});
    CHECK(large.status == 413);
    CHECK(large.body.find("\"place\":\"body\"") != std::string::npos);
    CHECK(exchange(client, {.url = url, .headers = {{"X-A", std::string(2000, 'x')}}}).status == 431);
    CHECK(exchange(client, {.url = url, .headers = {{"X-A", std::string(100000, 'x')}}}).status == 431);
    CHECK(handled == 1);
}

// Guards against bodies that hold memory without an end, and against a part of such a request that reaches the handler.
TEST_CASE("bodies that stop short are closed for those that arrive")
{
    HttpServer *raw = nullptr;
    std::atomic<int> handled = 0;
    auto server = HttpServer::start({.maxBodyBytes = 10000, .threads = 1, .requestBytes = 500000},
                                    [&](HttpCall call, HttpRequest &&request) {
                                        handled += request.path == "/whole" ? 1 : 100;
                                        raw->answer(call, {200, ""});
                                    });
    REQUIRE(server);
    raw = server->get();
    std::vector<int> sockets;
    const std::string part = "POST /part HTTP/1.1\r\nHost: x\r\nContent-Length: 9001\r\n\r\n" + std::string(9000, 'x');
    for (int i = 0; i < 30; ++i) {
        sockets.push_back(connectTo(raw->port()));
        REQUIRE(write(sockets.back(), part.data(), part.size()) == static_cast<ssize_t>(part.size()));
    }
    while (raw->usage().limits[static_cast<std::size_t>(LimitReason::Memory)] == 0)
        std::this_thread::yield();
    HttpClient client({});
    CHECK(exchange(client, {.method = "POST", .url = makeUrl(raw->port(), "/whole"), .body = std::string(9000, 'y')})
                  .status
          == 200);
    CHECK(raw->usage().bytes <= 500000);
    for (const int socket : sockets) {
        (void)!write(socket, "x", 1); // ends the body where the connection is still open
        close(socket);
    }
    while (raw->usage().openConnections > 1)
        std::this_thread::yield();
    CHECK(handled % 100 == 1);
}

// Guards against bytes of a request that are not counted until it is taken over, or are counted after that.
TEST_CASE("the bytes of a request count until its call is released or answered")
{
    HttpServerSettings settings;
    settings.handlerFactor = 3;
    std::promise<HttpCall> received;
    std::size_t inHandler = 0;
    std::unique_ptr<HttpServer> server;
    auto started = HttpServer::start(settings, [&](HttpCall call, HttpRequest &&) {
        inHandler = server->usage().bytes;
        received.set_value(call);
    });
    REQUIRE(started);
    server = *std::move(started);
    HttpClient client({});
    std::promise<HttpResult> answered;
    constexpr std::size_t bodyBytes = 100000;
    client.send({.method = "POST", .url = makeUrl(server->port(), "/"), .body = std::string(bodyBytes, 'x')},
                [&](HttpResult &&result) { answered.set_value(std::move(result)); });
    const HttpCall call = received.get_future().get();
    CHECK(inHandler >= 3 * bodyBytes);
    const auto waitForBytes = [&](auto isExpected) {
        for (int i = 0; i < 500 && !isExpected(server->usage().bytes); ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return isExpected(server->usage().bytes);
    };
    CHECK(waitForBytes([&](std::size_t bytes) { return bytes >= bodyBytes && bytes < 2 * bodyBytes; }));
    server->release(call);
    CHECK(server->usage().bytes < bodyBytes);
    CHECK(server->answer(call, {200, "{}"}));
    CHECK(answered.get_future().get().status == 200);
    server->release(call); // does nothing
}

// Guards against a time limit that ends calls which wait for their answer.
TEST_CASE("an answer that takes longer than the time without progress is delivered")
{
    std::promise<HttpCall> arrived;
    auto server = HttpServer::start({.threads = 1, .idleTimeoutMs = 1000},
                                    [&](HttpCall call, HttpRequest &&) { arrived.set_value(call); });
    REQUIRE(server);
    HttpClient client({});
    std::promise<int> status;
    client.send({.url = makeUrl((*server)->port(), "/"), .timeoutMs = 20000},
                [&](HttpResult &&result) { status.set_value(result.status); });
    const HttpCall call = arrived.get_future().get();
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    CHECK((*server)->answer(call, {200, ""}));
    CHECK(status.get_future().get() == 200);
}

// Guards against reading all of a body that is known to be refused, and against endless discarding.
TEST_CASE("a body far over the limit is answered early or closed")
{
    auto server = HttpServer::start({.maxBodyBytes = 1000, .maxDiscardBytes = 1000}, [](HttpCall, HttpRequest &&) {});
    REQUIRE(server);
    const auto counted = [&](LimitReason reason) {
        return (*server)->usage().limits[static_cast<std::size_t>(reason)];
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
    const int announced = connectTo((*server)->port());
    const std::string length = head + "Content-Length: 2001\r\n\r\n";
    REQUIRE(write(announced, length.data(), length.size()) == static_cast<ssize_t>(length.size()));
    char answer[16] = {};
    REQUIRE(read(announced, answer, 12) == 12);
    CHECK(std::string_view(answer) == "HTTP/1.1 413");
    CHECK(counted(LimitReason::TooLarge) == 1);
    const int chunked = connectTo((*server)->port());
    const std::string chunk = head + "Transfer-Encoding: chunked\r\n\r\n7d1\r\n" + std::string(2001, 'x') + "\r\n";
    REQUIRE(write(chunked, chunk.data(), chunk.size()) == static_cast<ssize_t>(chunk.size()));
    CHECK(read(chunked, answer, 1) <= 0);
    CHECK(counted(LimitReason::Discarded) == 1);
    close(announced);
    close(chunked);
}

// Guards against a stop that aborts requests in progress.
TEST_CASE("stop delivers answers in progress and refuses the rest")
{
    std::promise<HttpCall> first;
    std::atomic<int> handled = 0;
    auto server = HttpServer::start({}, [&](HttpCall call, HttpRequest &&) {
        if (++handled == 1)
            first.set_value(call);
    });
    REQUIRE(server);
    HttpClient client({});
    std::promise<HttpResult> answered;
    client.send({.url = makeUrl((*server)->port(), "/")},
                [&](HttpResult &&result) { answered.set_value(std::move(result)); });
    const HttpCall call = first.get_future().get();
    std::promise<HttpResult> refused;
    client.send({.url = makeUrl((*server)->port(), "/")},
                [&](HttpResult &&result) { refused.set_value(std::move(result)); });
    while (handled < 2)
        std::this_thread::yield();
    std::thread stopper([&] { (*server)->stop(300); });
    (*server)->answer(call, {200, std::string(1u << 20, 'y')});
    CHECK(answered.get_future().get().body.size() == 1u << 20);
    CHECK(refused.get_future().get().status == 503);
    stopper.join();
}

// Guards G7: libmicrohttpd aborts the process when the listening socket is closed while its threads still use it.
TEST_CASE("a server stops cleanly while connections arrive, many times")
{
    for (int i = 0; i < 100; ++i) {
        HttpServer *running = nullptr;
        auto server =
                HttpServer::start({.threads = 4}, [&](HttpCall call, HttpRequest &&) { running->answer(call, {}); });
        REQUIRE(server);
        running = server->get();
        HttpClient client({.maxHostConnections = 32});
        for (int request = 0; request < 64; ++request)
            client.send({.url = "http://127.0.0.1:" + std::to_string(running->port()) + "/"}, [](HttpResult &&) {});
        std::this_thread::sleep_for(std::chrono::microseconds(100 * (i % 20)));
        running->stop(0);
    }
}

// Guards against a call that arrives while the server stops and is never answered: libmicrohttpd aborts the process.
TEST_CASE("a server that answers nothing stops cleanly while requests arrive, many times")
{
    for (int i = 0; i < 100; ++i) {
        auto server = HttpServer::start({.threads = 4}, [](HttpCall, HttpRequest &&) {});
        REQUIRE(server);
        HttpClient client({.maxHostConnections = 64});
        for (int request = 0; request < 64; ++request)
            client.send({.url = makeUrl((*server)->port(), "/")}, [](HttpResult &&) {});
        std::this_thread::sleep_for(std::chrono::microseconds(100 * (i % 20)));
        (*server)->stop(0);
    }
}

// Guards against waiting calls of disconnected clients that occupy a connection until their deadline.
TEST_CASE("calls of closed connections are reported once")
{
    std::promise<HttpCall> arrived;
    auto server = HttpServer::start({}, [&](HttpCall call, HttpRequest &&) { arrived.set_value(call); });
    REQUIRE(server);
    HttpClient client({});
    const HttpResult result = exchange(client, {.url = makeUrl((*server)->port(), "/"), .timeoutMs = 100});
    CHECK(result.outcome == HttpOutcome::Unknown);
    const HttpCall call = arrived.get_future().get();
    std::vector<HttpCall> gone;
    while (gone.empty())
        gone = (*server)->takeClosedCalls();
    CHECK(gone == std::vector{call});
    CHECK((*server)->takeClosedCalls().empty());
    CHECK_FALSE((*server)->answer(call, {200, ""}));
}

// Guards against work for callers that have left, and may have turned to another server, before their request was read.
TEST_CASE("a request whose client has closed the connection is dropped unread")
{
    std::promise<void> isClosed;
    std::atomic<int> abandoned = 0;
    HttpServer *raw = nullptr;
    auto server = HttpServer::start({.threads = 1, .dropsAbandonedRequests = true},
                                    [&](HttpCall call, HttpRequest &&request) {
                                        if (request.path == "/first")
                                            isClosed.get_future().wait(); // occupies the only thread of the server
                                        abandoned += request.path == "/abandoned" ? 1 : 0;
                                        raw->answer(call, {200, ""});
                                    });
    REQUIRE(server);
    raw = server->get();
    HttpClient client({});
    std::promise<int> first;
    client.send({.url = makeUrl(raw->port(), "/first")}, [&](HttpResult &&result) { first.set_value(result.status); });
    while (raw->openCalls() == 0)
        std::this_thread::yield();
    const int socket = connectTo(raw->port());
    const std::string_view request = "GET /abandoned HTTP/1.1\r\nHost: x\r\n\r\n";
    REQUIRE(write(socket, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    close(socket);
    isClosed.set_value();
    CHECK(first.get_future().get() == 200);
    CHECK(exchange(client, {.url = makeUrl(raw->port(), "/last")}).status == 200);
    CHECK(abandoned == 0);
}

// Guards against "not sent" for requests that may have had an effect, and "unknown" for requests that cannot
// have had an effect.
TEST_CASE("client tells certainly unsent requests from unknown outcomes")
{
    ClosingServer server;
    HttpClient client({});
    const std::string url = makeUrl(server.port, "/");
    SECTION("nobody listens")
    {
        const HttpResult result = exchange(client, {.method = "POST", .url = url});
        CHECK(result.outcome == HttpOutcome::NotSent);
        CHECK(result.isRefused);
    }
    SECTION("connection closed after the request")
    {
        server.run(0);
        const HttpResult result = exchange(client, {.method = "POST", .url = url, .body = "x"});
        CHECK(result.outcome == HttpOutcome::Unknown);
        CHECK_FALSE(result.isRefused);
        CHECK(server.requests == 1);
    }
    SECTION("a request on a kept connection is not sent twice")
    {
        server.run(1);
        const std::string body = GENERATE("", "x");
        CHECK(exchange(client, {.method = "POST", .url = url, .body = body}).status == 200);
        CHECK(exchange(client, {.method = "POST", .url = url, .body = body}).outcome == HttpOutcome::Unknown);
        CHECK(server.requests == 2);
    }
    SECTION("a repeatable request is sent again")
    {
        server.run(1);
        CHECK(exchange(client, {.url = url, .repeatable = true}).status == 200);
        CHECK(exchange(client, {.url = url, .repeatable = true}).outcome == HttpOutcome::Unknown);
        CHECK(server.requests == 3);
    }
}

// Guards against a request that is meant to find out whether new connections work and waits on a dead one.
TEST_CASE("a request uses no kept connection that it must not use")
{
    ClosingServer server;
    server.run(3);
    HttpClient client({});
    const std::string url = makeUrl(server.port, "/");
    REQUIRE(exchange(client, {.url = url}).status == 200);
    SECTION("a new one")
    {
        // The server accepts it only once the first one is closed.
        CHECK(exchange(client, {.url = url, .timeoutMs = 200, .newConnection = true}).outcome == HttpOutcome::Unknown);
        CHECK(server.requests == 1);
    }
    SECTION("one that was idle for too long")
    {
        CHECK(exchange(client, {.url = url, .maxIdleS = 1}).status == 200);
        CHECK(server.connections == 1);
        std::this_thread::sleep_for(std::chrono::milliseconds(2100));
        CHECK(exchange(client, {.url = url, .maxIdleS = 1}).status == 200);
        CHECK(server.connections == 2);
    }
}

// Guards against requests that share a connection although they must not, and against one that opens a connection.
TEST_CASE("requests of a lane share connections with each other only")
{
    HttpServer *raw = nullptr;
    auto server = HttpServer::start({}, [&raw](HttpCall call, HttpRequest &&request) {
        raw->answer(call, {200, std::string(findField(request.headers, "Host")) + request.path});
    });
    REQUIRE(server);
    raw = server->get();
    HttpClient client({});
    const std::string url = makeUrl(raw->port(), "/a/b?c=d");
    const std::string host = "127.0.0.1:" + std::to_string(raw->port());
    const HttpResult first = exchange(client, {.method = "POST", .url = url, .lane = "one"});
    CHECK(first.body == host + "/a/b");
    CHECK(first.hasConnected);
    CHECK(exchange(client, {.url = url}).hasConnected);
    CHECK(exchange(client, {.url = url, .lane = "two"}).hasConnected);
    CHECK_FALSE(exchange(client, {.url = url, .lane = "one"}).hasConnected);
    const HttpResult kept = exchange(client, {.url = url, .lane = "one", .keptConnection = true});
    CHECK(kept.status == 200);
    CHECK_FALSE(kept.hasConnected);
    const HttpResult refused = exchange(client, {.url = url, .lane = "three", .keptConnection = true});
    CHECK(refused.outcome == HttpOutcome::NotSent);
    CHECK_FALSE(refused.isRefused);
    CHECK(exchange(client, {.url = url, .lane = "three"}).hasConnected);
}

// Guards against a request without an end, and against a second end, when it is cancelled.
TEST_CASE("a cancelled request ends once, and others go on")
{
    std::promise<void> received;
    std::atomic<int> requests = 0;
    auto server = HttpServer::start({}, [&](HttpCall, HttpRequest &&) {
        if (++requests == 2)
            received.set_value();
    });
    REQUIRE(server);
    HttpClient client({});
    const std::string url = makeUrl((*server)->port(), "/");
    std::atomic<int> ends = 0;
    std::promise<HttpOutcome> sent;
    std::promise<HttpOutcome> delayed;
    std::promise<HttpOutcome> kept;
    const HttpRequestId first = client.send({.url = url, .timeoutMs = 20000}, [&](HttpResult &&result) {
        ++ends;
        sent.set_value(result.outcome);
    });
    const HttpRequestId second = client.send({.url = url, .delayMs = 60000},
                                             [&](HttpResult &&result) { delayed.set_value(result.outcome); });
    client.send({.url = url, .timeoutMs = 2000}, [&](HttpResult &&result) { kept.set_value(result.outcome); });
    received.get_future().wait(); // the first and the third request have been sent
    client.cancel(first);
    client.cancel(first);
    client.cancel(second);
    client.cancel(HttpRequestId{});
    CHECK(sent.get_future().get() == HttpOutcome::Unknown);
    CHECK(delayed.get_future().get() == HttpOutcome::NotSent);
    CHECK(kept.get_future().get() == HttpOutcome::Unknown);
    CHECK(ends == 1);
    client.cancel(first);
    client.stop();
    CHECK(ends == 1);
}

// Guards against orders that were given before a pause of the process and are sent after it, when others rely on them
// having timed out.
TEST_CASE("a request that waited longer than its timeout is not sent")
{
    HttpServer *raw = nullptr;
    std::atomic<int> handled = 0;
    auto server = HttpServer::start({}, [&](HttpCall call, HttpRequest &&) {
        ++handled;
        raw->answer(call, {200, ""});
    });
    REQUIRE(server);
    raw = server->get();
    HttpClient client({});
    const std::string url = makeUrl(raw->port(), "/");
    const bool isConnected = GENERATE(true, false);
    if (isConnected)
        REQUIRE(exchange(client, {.url = url}).status == 200);
    const int before = handled;
    client.post([] { std::this_thread::sleep_for(std::chrono::milliseconds(300)); });
    CHECK(exchange(client, {.url = url, .timeoutMs = 100}).outcome == HttpOutcome::NotSent);
    client.post([] { std::this_thread::sleep_for(std::chrono::milliseconds(300)); });
    CHECK(exchange(client, {.url = url, .timeoutMs = 100, .delayMs = 50}).outcome == HttpOutcome::NotSent);
    CHECK(handled == before);
    CHECK(exchange(client, {.url = url, .timeoutMs = 1000}).status == 200);
}

// Guards against requests that wait for a connection and are reported as unknown although nothing was sent.
TEST_CASE("a request that waited for a free connection was not sent")
{
    auto server = HttpServer::start({}, [](HttpCall, HttpRequest &&) {});
    REQUIRE(server);
    HttpClient client({.maxHostConnections = 1});
    const std::string url = makeUrl((*server)->port(), "/");
    std::promise<HttpOutcome> first;
    client.send({.url = url, .timeoutMs = 400}, [&](HttpResult &&result) { first.set_value(result.outcome); });
    CHECK(exchange(client, {.url = url, .timeoutMs = 100}).outcome == HttpOutcome::NotSent);
    CHECK(first.get_future().get() == HttpOutcome::Unknown);
}
