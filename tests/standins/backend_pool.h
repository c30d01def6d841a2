// Simulated backend servers and the VM list, without HTTP (docs/protocols.md sections 3 and 5).
//
// Contents
//   BackendSpec    one backend server
//   Faults         modes of one backend server, faults of a power feed, stragglers
//   Results        content of the HTTP answers
//   BackendPool    slots, run times, leases, faults; the caller passes the time to each call
//   VmList         the list of VMs, which shows changes after a lag
#pragma once

#include "standins/audit.h"

#include <deque>
#include <map>
#include <random>

namespace clementinelift::standins {

// BackendSpec ---------------------------------------------------------------------------------------

struct BackendSpec
{
    std::string name;
    std::string address;             // ip:port
    std::string zone;                // availability zone
    std::string rack;                // as shown in the VM list
    std::string feed;                // group that shares a power feed; not shown in the VM list
    double speed = 1;                // run time is divided by this
    std::uint32_t slots = 8;         // tasks that run at the same time
    std::uint32_t connections = 60;  // maximum of open connections
    std::uint32_t cores = 32;        // shown in the VM list
    std::uint32_t memoryMb = 131072; // shown in the VM list, MiB
};

// Faults --------------------------------------------------------------------------------------------

enum class BackendMode : std::uint8_t {
    Normal,
    FailEverything, // each task fails after failureUs
    Busy,           // answers busy without starting a task
    Crashed         // running tasks are lost, requests get no answer
};

// A temporary fault of a power feed: slows the backend servers of the feed and fails some of their tasks.
struct FeedFault
{
    double slowdown = 5;        // run times are multiplied by this
    double failProbability = 0; // of each task that starts or runs during the fault
    std::int64_t untilUs = 0;
};

struct StragglerOptions
{
    double probability = 0.005; // of each task
    double slowdown = 8;        // run time is multiplied by this
};

// Results -------------------------------------------------------------------------------------------

enum class StartStatus : std::uint8_t { Started, Busy, Crashed, AttemptReused };

enum class EndState : std::uint8_t { Completed, Failed, Lost };

struct EndedTask
{
    std::size_t backend = 0;
    std::string attempt;
    EndState state = EndState::Completed;
    std::string result; // or the reason for the failure
    std::int64_t serviceUs = 0;
};

struct AttemptStatus
{
    std::string_view state; // "running", "completed", "failed" or "unknown"
    std::string result;
};

struct BackendCounts
{
    std::uint64_t starts = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0;        // running at a crash
    std::uint64_t busy = 0;        // answers busy
    std::uint64_t stops = 0;       // DELETE of an attempt
    std::uint64_t queries = 0;     // GET of an attempt
    std::uint64_t probes = 0;      // GET /healthz
    std::uint64_t leaseEnds = 0;   // stopped by the lease
    std::uint64_t lateStarts = 0;  // starts more than leavingGraceUs after the VM list showed the state leaving
    std::uint32_t mostRunning = 0; // most tasks at a time
};

// BackendPool ---------------------------------------------------------------------------------------

class BackendPool
{
public:
    static constexpr std::int64_t leavingGraceUs = 3'000'000; // guarantee G6
    static constexpr std::int64_t failureUs = 2'000;          // run time in mode FailEverything
    static constexpr std::size_t maxEndedAttempts = 4'000;    // ended attempts kept for each backend server

    BackendPool(std::vector<BackendSpec> specs, const StragglerOptions &stragglers, std::uint64_t seed);

    std::size_t size() const { return m_backends.size(); }
    const BackendSpec &spec(std::size_t backend) const { return m_backends[backend].spec; }
    std::optional<std::size_t> find(std::string_view name) const;
    void setAddress(std::size_t backend, std::string address) { m_backends[backend].spec.address = address; }

    StartStatus start(std::size_t backend, std::string_view attempt, std::string_view payload, std::int64_t leaseUs,
                      std::int64_t nowUs);
    AttemptStatus query(std::size_t backend, std::string_view attempt);
    // Ends a running task as failed; the next advance() returns the ended task. Returns false when the attempt is not
    // running.
    bool stop(std::size_t backend, std::string_view attempt, std::int64_t nowUs);
    bool isCrashed(std::size_t backend) const { return m_backends[backend].mode == BackendMode::Crashed; }
    // Returns whether the backend server is healthy, or nullopt when it has crashed.
    std::optional<bool> probe(std::size_t backend);

    // Returns the tasks that have ended since the last call.
    std::vector<EndedTask> advance(std::int64_t nowUs);
    // Time of the next end of a task, lease or feed fault; 0 when lost tasks wait for advance(), INT64_MAX when there
    // is none.
    std::int64_t nextEndUs() const;

    void changeMode(std::size_t backend, BackendMode mode, std::int64_t nowUs);
    // Applies the fault to the backend servers of the feed (empty: of all feeds) and replaces an earlier fault. A fault
    // with untilUs in the past only ends the earlier one. Returns the number of backend servers.
    std::size_t setFeedFault(std::string_view feed, const FeedFault &feedFault, std::int64_t nowUs);
    // Starts more than leavingGraceUs after the first call are counted as late.
    void markListedAsLeaving(std::size_t backend, std::int64_t nowUs);

    const BackendCounts &counts(std::size_t backend) const { return m_backends[backend].counts; }
    BackendCounts totals() const;
    std::size_t running() const;
    std::uint64_t totalSlots() const;
    const Audit &audit() const { return m_audit; }

private:
    struct Running
    {
        std::optional<TaskIdentity> identity;
        std::int64_t startUs = 0;
        std::int64_t endUs = 0; // for the current run time factor of the feed
        std::int64_t leaseEndUs = 0;
        bool fails = false;
        bool stopped = false;
    };
    struct Backend
    {
        BackendSpec spec;
        BackendMode mode = BackendMode::Normal;
        FeedFault feedFault;
        bool feedFaultActive = false;
        std::optional<std::int64_t> listedLeavingUs;
        std::map<std::string, Running, std::less<>> running;
        std::map<std::string, EndedTask, std::less<>> ended;
        std::deque<std::string> endedOrder;
        BackendCounts counts;
    };

    void applyFeedFault(Backend &backend, const FeedFault &feedFault, bool begins, std::int64_t nowUs);
    void endExpiredFeedFaults(std::int64_t nowUs);
    EndedTask finish(std::size_t index, const std::string &attempt, const Running &task, std::int64_t nowUs);
    void rememberEnded(Backend &backend, const EndedTask &task);
    bool draw(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    std::vector<Backend> m_backends;
    StragglerOptions m_stragglers;
    std::mt19937_64 m_random;
    std::vector<EndedTask> m_lostTasks; // tasks lost in a crash; the next advance() returns them
    Audit m_audit;
};

// VmList --------------------------------------------------------------------------------------------

struct ListedVm
{
    std::string name;
    bool isBackend = true;
    std::string address; // ip:port; for an entry VM the address of its peer link
    std::string zone;
    std::string rack; // of backend servers
    bool leaving = false;
    std::uint32_t slots = 8;
    std::uint32_t connections = 60;
    std::uint32_t cores = 32;
    std::uint32_t memoryMb = 131072;
};

// read() returns the state of lagUs ago.
class VmList
{
public:
    explicit VmList(std::int64_t lagUs) : m_lagUs(lagUs) {}

    // Adds or replaces a VM. Changes before the first read() are visible without lag.
    void put(const ListedVm &vm, std::int64_t nowUs);
    void markLeaving(std::string_view name, std::int64_t nowUs);
    void remove(std::string_view name, std::int64_t nowUs);
    std::vector<ListedVm> read(std::int64_t nowUs);

private:
    struct Version
    {
        std::int64_t visibleUs = 0;
        std::map<std::string, ListedVm, std::less<>> vms;
    };
    void commit(std::map<std::string, ListedVm, std::less<>> vms, std::int64_t nowUs);

    std::int64_t m_lagUs;
    std::deque<Version> m_versions;
    bool m_wasRead = false;
};

} // namespace clementinelift::standins
