// Stands before a backend server: passes its orders on, or leaves them unanswered, and can carry out a start late.
#pragma once

#include "review/deployment_2.h"

#include <set>

namespace review {

class OrderFilter
{
public:
    OrderFilter(Record &record, std::string server, std::string target)
        : m_record(record), m_server(std::move(server)), m_target(std::move(target)),
          m_client({64, 64, 1u << 20, 500, 60})
    {}
    ~OrderFilter()
    {
        m_http.reset();
        m_client.stop();
    }

    bool listen(const std::string &address)
    {
        clementinelift::net::HttpServerSettings settings;
        settings.address = address;
        auto http = clementinelift::net::HttpServer::start(
                settings, [this](clementinelift::net::HttpCall call, clementinelift::net::HttpRequest &&request) {
                    handle(call, std::move(request));
                });
        if (!http)
            return false;
        const std::lock_guard lock(m_mutex);
        m_http = *std::move(http);
        return true;
    }
    // Breaks all connections and refuses new ones until listen().
    void crash()
    {
        ++m_lifetime;
        std::unique_ptr<clementinelift::net::HttpServer> http;
        {
            const std::lock_guard lock(m_mutex);
            for (const clementinelift::net::HttpCall call : m_waiting)
                m_http->drop(call);
            m_waiting.clear();
            http = std::move(m_http);
        }
        sleepMs(20); // until the connections are closed
        http.reset();
    }
    // Calls that wait now are never answered: their connections have gone silent with the backend server.
    void silence() { ++m_lifetime; }
    // The next start is not answered and is carried out delayMs later; from then on the backend server is cut off.
    void expectLateStart(std::int64_t delayMs) { m_lateMs = delayMs; }
    void endCut() { m_isCut = false; }
    void beginCut() { m_isCut = true; }
    bool hasLateStart() const { return m_hasLateStart; }
    int starts() const { return m_starts; }

private:
    using Request = clementinelift::net::HttpRequest;

    void handle(clementinelift::net::HttpCall call, Request &&request)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_waiting.insert(call);
        }
        const bool isStart = request.path == "/-/run-start";
        if (m_isCut)
            return;
        const std::int64_t lateMs = isStart ? m_lateMs.exchange(0) : 0;
        if (isStart)
            m_record.line(m_server + " gets a start " + request.body.substr(0, 160)
                          + (lateMs > 0 ? ", leaves it unanswered and carries it out late; it is cut off" : ""));
        m_starts += isStart ? 1 : 0;
        if (lateMs > 0) {
            m_isCut = true;
            m_hasLateStart = true;
        }
        forward(call, std::move(request), lateMs, lateMs > 0 ? -1 : m_lifetime.load());
    }
    void forward(clementinelift::net::HttpCall call, Request &&request, std::int64_t delayMs, int lifetime)
    {
        clementinelift::net::HttpClientRequest order;
        order.method = request.method;
        order.url = "http://" + m_target + request.path;
        order.body = std::move(request.body);
        order.headers = {
                {"Content-Type", "application/json"},
                {"X-Clementinelift-Expected-Instance",
                 std::string(clementinelift::net::findField(request.headers, "X-Clementinelift-Expected-Instance"))}};
        order.timeoutMs = 5000;
        order.delayMs = delayMs;
        m_client.send(std::move(order), [this, call, lifetime, delayMs](clementinelift::net::HttpResult &&result) {
            if (delayMs > 0)
                m_record.line(m_server + " has carried out the late start, " + std::to_string(result.status) + " "
                              + result.body);
            if (lifetime != m_lifetime || m_isCut || result.outcome != clementinelift::net::HttpOutcome::Answered)
                return;
            const std::lock_guard lock(m_mutex);
            m_waiting.erase(call);
            if (m_http != nullptr)
                m_http->answer(call, {result.status, std::move(result.body)});
        });
    }

    Record &m_record;
    const std::string m_server;
    const std::string m_target;
    std::mutex m_mutex;
    std::unique_ptr<clementinelift::net::HttpServer> m_http;
    std::set<clementinelift::net::HttpCall> m_waiting;
    std::atomic<int> m_lifetime = 0;
    std::atomic<std::int64_t> m_lateMs = 0;
    std::atomic<bool> m_isCut = false;
    std::atomic<bool> m_hasLateStart = false;
    std::atomic<int> m_starts = 0;
    clementinelift::net::HttpClient m_client;
};

} // namespace review
