// A small deployment for the cases of the second review: the project's stand-ins for the store and the backend servers,
// entry VM processes started as the deploy file says, callers, and a record of what was sent, answered and run.
#pragma once

#include "net/http_client.h"
#include "platform/soak/proxy.h"
#include "platform/standins/backends.h"
#include "platform/standins/store.h"

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// False when the environment says TROUBLE=0.
bool hasTrouble();

// Lines of record.txt, with the time since the start in ms. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &file) : m_stream(file) {}
    void line(const std::string &text);
    std::int64_t now() const; // ms since the start

private:
    std::mutex m_mutex;
    std::ofstream m_stream;
    const Clock::time_point m_start = Clock::now();
};

struct EntryVm
{
    std::string node;
    std::string ip;
    double cpuShare = 0.25;
    std::string storeAddress;
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t peerPort = 0;
    int seedCount = 0; // of the settings file; differs after a change of the settings
    pid_t pid = -1;

    std::string callerAddress() const { return ip + ":" + std::to_string(callerPort); }
    std::string readyAddress() const { return ip + ":" + std::to_string(readyPort); }
};

// The answer to one request of a caller.
struct Answer
{
    bool isComplete = false; // status and body were received as a whole
    int status = 0;
    std::string body;
    std::string error;
    std::int64_t sentAt = 0;  // ms
    std::int64_t endedAt = 0; // ms
};

// All processes and stand-ins end with this object.
class Deployment
{
public:
    explicit Deployment(Record &record);
    ~Deployment();

    // Adds an entry VM of the only zone. Returns its index.
    std::size_t addEntryVm(const std::string &node, double cpuShare, std::uint16_t storePort = 0);
    void addBackends(int count);
    std::uint16_t storePort() const { return m_storePort; }
    // A proxy before the store. Returns its port; link is its number for proxy().
    std::uint16_t addStoreProxy(std::size_t &link);
    clementinelift::soak::Proxy &proxy() { return m_proxy; }
    // Starts the stand-ins.
    bool start();

    void publish(std::int64_t version, const std::vector<std::string> &prefixes);
    void setStoreDown(bool down);
    void expireEntries();   // of all backend servers, in the store
    void registerEntries(); // again, with the next heartbeats
    void launch(std::size_t vm);
    void writeSettings(std::size_t vm); // replaces the settings file
    void signal(std::size_t vm, int number);
    bool hasEnded(std::size_t vm);             // collects the process when it has
    bool waitUntilReady(std::int64_t limitMs); // all of them
    bool isReady(std::size_t vm);

    // Submits a job of one step; done is called on the thread of the HTTP client.
    void submit(std::size_t vm, const std::string &prefix, const std::string &id, int tasks, int taskMs,
                std::function<void(const Answer &)> done);
    EntryVm &vm(std::size_t index) { return m_vms[index]; }
    const clementinelift::standins::RunLog &runs() const { return m_runs; }
    std::uint16_t freePort();
    clementinelift::standins::Backend &backend(std::size_t index) { return *m_backends[index]; }
    void putEntry(std::size_t backend);
    // Before start(): the address under which the backend server registers; it listens at backendAddress().
    void registerAt(std::size_t backend, const std::string &address) { m_registeredAt[backend] = address; }
    std::string backendAddress(std::size_t backend) const { return m_backendAddresses.at(backend); }

private:
    int httpStatus(const std::string &address);

    Record &m_record;
    std::string m_directory;
    std::string m_octets; // first three octets of the addresses of this deployment
    std::uint16_t m_storePort = 0;
    std::vector<EntryVm> m_vms;
    clementinelift::standins::RunLog m_runs;
    clementinelift::standins::Store m_store{8};
    std::unique_ptr<clementinelift::net::HttpServer> m_storeServer;
    std::vector<std::unique_ptr<clementinelift::standins::Backend>> m_backends;
    std::map<std::size_t, std::string> m_registeredAt;
    std::map<std::size_t, std::string> m_backendAddresses;
    clementinelift::soak::Proxy m_proxy;
    std::atomic<bool> m_stopping = false;
    std::thread m_ticker;
    clementinelift::net::HttpClient m_client;
};

// Sixteen hexadecimal digits.
std::string jobId(std::uint64_t number);
void sleepMs(std::int64_t ms);

} // namespace review
