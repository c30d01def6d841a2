// A small deployment on loopback for the review's scripts: entry VMs as processes of the project's own program, the
// project's stand-in for the store, and stand-ins for backend servers and callers.
//
// Contents
//   Record       what was sent, answered and run
//   BackendServer
//   StoreLink    connections of one entry VM to the store, which can be cut
//   Deployment   store, backend servers and entry VM processes
//   Callers      HTTP requests to entry VMs
#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/standins/store.h"

#include <sys/types.h>

#include <algorithm>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace clementinelift::review {

using Clock = std::chrono::steady_clock;

// Record --------------------------------------------------------------------------------------------

// Writes lines that begin with the milliseconds since the start; thread-safe.
class Record
{
public:
    explicit Record(const std::string &file);
    ~Record();
    void line(const std::string &text);
    void runBegins(const std::string &task, std::uint32_t run, const std::string &server);
    // When the first run of a job whose id begins so has begun; -1: none has.
    std::int64_t firstRunMs(const std::string &idPrefix);
    struct FirstRun
    {
        std::int64_t ms = 0;
        std::string server;
    };
    std::map<std::string, FirstRun> firstRuns(); // by job
    std::int64_t nowMs() const;

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    std::map<std::string, FirstRun> m_firstRuns; // by job
    const Clock::time_point m_start = Clock::now();
};

// BackendServer -------------------------------------------------------------------------------------

// Runs tasks under leases as PROTOCOL.md says. The spec of a task is its run time in milliseconds.
class BackendServer
{
public:
    BackendServer(std::string id, std::string zone, std::string service, Record &record);

    bool listen(const std::string &address, std::string &error);
    std::string registryEntry() const;
    const std::string &id() const { return m_id; }
    // Ends runs that are finished or whose lease has expired, and answers holds.
    void tick();
    // Tasks of the job that run now.
    std::size_t runningTasks(const std::string &job) const;

private:
    struct Run
    {
        std::uint32_t number = 0;
        Clock::time_point endAt;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };
    struct Hold
    {
        net::HttpCall call{};
        Clock::time_point expiresAt;
    };

    void handle(net::HttpCall call, net::HttpRequest &&request);
    net::HttpAnswer start(const std::string &text);
    net::HttpAnswer stop(const std::string &text);
    void hold(net::HttpCall call, const std::string &text);
    net::HttpAnswer lists() const;
    net::HttpAnswer reject(const char *reason) const;
    bool isFenced(std::int64_t token);
    void extendLease(std::int64_t endMs);
    void endRun(const std::string &task, const std::string &how);
    std::int64_t clockMs() const;

    const std::string m_id;
    const std::string m_zone;
    const std::string m_service;
    Record &m_record;
    std::string m_address;
    mutable std::mutex m_mutex;
    std::unique_ptr<net::HttpServer> m_server;
    const Clock::time_point m_born = Clock::now();
    std::int64_t m_bornMs = 0; // Unix time
    std::int64_t m_token = 0;
    std::int64_t m_leaseEndMs = 0;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint32_t> m_rejectedThrough; // by task, the highest run that has ended or was stopped
    std::vector<End> m_ends;
    std::vector<Hold> m_holds;
};

// StoreLink -----------------------------------------------------------------------------------------

// TCP proxy. While it is cut, nothing is forwarded in either direction.
class StoreLink
{
public:
    StoreLink(const std::string &ip, std::uint16_t port, const std::string &targetIp);
    ~StoreLink();
    StoreLink(const StoreLink &) = delete;
    StoreLink &operator=(const StoreLink &) = delete;
    void setCut(bool isCut) { m_isCut = isCut; }

private:
    void acceptAll();
    void forward(int client);

    const std::uint16_t m_port;
    const std::string m_targetIp;
    int m_socket = -1;
    std::atomic<bool> m_isCut = false;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads; // of the connections; used by the accepting thread only
    std::thread m_accepting;
};

// Deployment ----------------------------------------------------------------------------------------

struct EntryVm
{
    std::string name;
    std::string zone;
    double cpuShare = 0.25;
    std::string ip;
    std::string storeIp;
    pid_t pid = 0; // 0: does not run
};

class Deployment
{
public:
    // Takes the addresses of one block of 127.0.0.0/8 that is free.
    Deployment(const std::string &directory, Record &record, const std::vector<std::string> &zones, int serversPerZone);
    ~Deployment(); // kills the entry VMs that still run
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    bool start(std::string &error);

    // A new entry VM with an address of its own; it does not run yet.
    std::size_t addVm(const std::string &name, const std::string &zone, double cpuShare = 0.25);
    // As addVm(), with a link to the store that can be cut.
    std::size_t addVmWithLink(const std::string &name, const std::string &zone, double cpuShare);
    void cutFromStore(std::size_t index, bool isCut);
    // While the store is down it answers 503, and the entries of backend servers expire after three missed renewals.
    // Once it is back, each backend server registers with its next renewal.
    void setStoreDown(bool isDown);
    // A second pool of backend servers, as large as the first one. Ids begin with the service. Before start().
    void addService(const std::string &service) { m_services.push_back(service); }
    // A new version of the configuration, with further routes besides /q/: path prefix and service.
    void configure(int version, const std::map<std::string, std::string> &moreRoutes);
    EntryVm &vm(std::size_t index) { return m_vms[index]; }
    void startVm(std::size_t index);
    void signalVm(std::size_t index, int signal);
    void killVm(std::size_t index); // SIGKILL, and waits for the end
    // Whether a process has ended without a signal of this program.
    bool hasUnexpectedExit();
    bool isReady(std::size_t index);
    // Whether the entry VM has announced itself in the store.
    bool isAnnounced(std::size_t index);
    std::size_t runningTasks(const std::string &job) const;
    std::string callerAddress(std::size_t index) const { return m_vms[index].ip + ":8161"; }
    std::string readyAddress(std::size_t index) const { return m_vms[index].ip + ":8167"; }

private:
    void writeSettings(const EntryVm &vm) const;
    void renewEntries();
    std::string ipOf(std::size_t host) const;

    const std::string m_directory;
    Record &m_record;
    const std::vector<std::string> m_zones;
    const int m_serversPerZone;
    std::vector<std::string> m_services{"dopln"};
    int m_block = 0; // second byte of the addresses
    standins::Store m_store;
    std::unique_ptr<net::HttpServer> m_storeServer;
    std::atomic<net::HttpServer *> m_storeRunning = nullptr;
    std::vector<std::unique_ptr<BackendServer>> m_servers;
    struct Registration
    {
        Clock::time_point renewAt;
        Clock::time_point renewedAt;
        bool isListed = false;
    };
    std::vector<Registration> m_registrations; // of m_servers; used on the ticker's thread only
    std::atomic<bool> m_isStoreDown = false;
    std::vector<EntryVm> m_vms;
    std::map<std::size_t, std::unique_ptr<StoreLink>> m_links; // by index of the entry VM
    std::atomic<bool> m_stopping = false;
    std::thread m_ticker;
    net::HttpClient m_probe;
};

// Callers -------------------------------------------------------------------------------------------

struct Answer
{
    int status = 0; // 0: no answer
    std::string body;
};

// The body of a job of one step whose result is its answer.
std::string makeJob(int tasks, int runMs);
std::string makeJobId(std::uint64_t number);

class Callers
{
public:
    explicit Callers(Record &record) : m_record(record), m_client({64, 512, 1u << 20, 500, 60}) {}
    ~Callers() { m_client.stop(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    // Calls done on another thread. The caller waits for budgetMs.
    void send(const std::string &method, const std::string &address, const std::string &job, const std::string &body,
              std::int64_t budgetMs, std::function<void(const Answer &)> done, const std::string &prefix = "/q/");

private:
    Record &m_record;
    net::HttpClient m_client;
};

bool waitUntil(std::chrono::milliseconds longest, const std::function<bool()> &condition);

} // namespace clementinelift::review
