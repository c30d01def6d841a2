// HTTP side of the simulated log service, VM list and backend servers: one server for the platform and control, one for
// each backend server. See docs/standins.md for the control endpoint.
//
// Contents
//   PlatformOptions   sizes and limits
//   Platform          owns the servers; one timer thread ends tasks and answers waiting reads
#pragma once

#include "net/http_server.h"
#include "standins/backend_pool.h"
#include "standins/log_service.h"

#include <condition_variable>
#include <mutex>
#include <thread>

#include <nlohmann/json_fwd.hpp>

namespace clementinelift::standins {

// PlatformOptions -----------------------------------------------------------------------------------

struct PlatformOptions
{
    std::string address = "127.0.0.1:0"; // of the platform and control server
    std::uint32_t backends = 50;
    std::uint32_t zones = 3;
    std::uint32_t perRack = 8;
    double minSpeed = 0.5; // speeds are uniform on a log scale
    double maxSpeed = 2;
    std::uint32_t slots = 8;        // of each backend server
    std::uint32_t connections = 60; // of each backend server
    std::int64_t listLagMs = 1'000; // of the VM list
    std::vector<ListedVm> entryVms; // in the VM list from the start
    StragglerOptions stragglers;
    LogOptions log;
    std::uint64_t seed = 1;
};

// Speed, zone, rack and feed of each backend server; addresses are set when the servers listen.
std::vector<BackendSpec> planBackends(const PlatformOptions &options);

// Platform ------------------------------------------------------------------------------------------

class Platform
{
public:
    explicit Platform(const PlatformOptions &options);
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;
    ~Platform();

    // Starts all servers. The error names the address that could not be used.
    tl::expected<void, std::string> start(const std::string &address);
    std::uint16_t port() const { return m_server->port(); }

private:
    struct Reply
    {
        std::size_t server = 0; // 0: platform, else backend server + 1
        net::HttpCall call{};
        net::HttpAnswer answer;
        bool dropped = false; // close the connection without an answer
    };
    struct WaitingRead
    {
        net::HttpCall call{};
        std::string stream;
        std::int64_t from = 0;
        std::size_t max = 0;
        std::int64_t untilUs = 0;
    };
    struct TimedReply
    {
        std::int64_t atUs = 0;
        Reply reply;
    };

    void handlePlatform(net::HttpCall call, net::HttpRequest &&request);
    void handleBackend(std::size_t backend, net::HttpCall call, net::HttpRequest &&request);
    void appendRecord(net::HttpCall call, std::string_view stream, const net::HttpRequest &request);
    void readRecords(net::HttpCall call, std::string_view stream, const net::HttpRequest &request);
    net::HttpAnswer answerRead(const WaitingRead &read, std::int64_t nowUs);
    net::HttpAnswer answerVms(const net::HttpRequest &request);
    net::HttpAnswer answerControl(const std::string &body);
    net::HttpAnswer answerAudit(const std::string &body);
    std::string applyControl(const nlohmann::json &command, std::int64_t nowUs); // empty: applied, else the error
    nlohmann::json describe() const;

    void runTimer();
    std::int64_t collectDueReplies(std::int64_t nowUs,
                                   std::vector<Reply> &replies); // returns when to call again
    void deliver(std::vector<Reply> &replies);
    std::shared_ptr<net::HttpServer> backendServer(std::size_t backend);
    tl::expected<void, std::string> listen(std::size_t backend);
    // Stops the HTTP server of a crashed backend server, so that connections are refused, and starts the HTTP server of
    // a recovered one on its old port. Returns the error, empty on success.
    std::string updateListening(std::size_t backend);

    std::mutex m_mutex; // guards the members below, except the servers
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_changed = false;
    LogService m_log;
    BackendPool m_pool;
    VmList m_vmList;
    std::vector<WaitingRead> m_waitingReads;
    std::vector<TimedReply> m_timedReplies;
    std::vector<std::map<std::string, net::HttpCall>> m_taskCalls; // waiting attempts of each backend server

    std::unique_ptr<net::HttpServer> m_server;
    std::mutex m_controlMutex; // serialises control commands
    std::mutex m_serverMutex;  // guards the pointers below, which change when a backend server crashes and comes back
    std::vector<std::shared_ptr<net::HttpServer>> m_backendServers;
    std::thread m_timer;
};

} // namespace clementinelift::standins
