// Simulated backend servers and the VM list, without HTTP (docs/protocols.md sections 3 and 5).
//
// Contents
//   BackendSpec    one backend server
//   Faults         modes of one backend server and of a group on the shared feed
//   Results        what the HTTP layer has to answer
//   BackendPool    slots, run times, leases, faults; all times come from the caller
//   VmList         the lagging list of VMs
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
    std::uint32_t slots = 8;         // tasks at once
    std::uint32_t connections = 60;  // connections in all
    std::uint32_t cores = 32;        // shown in the VM list
    std::uint32_t memoryMb = 131072; // shown in the VM list, MiB
};

// Faults --------------------------------------------------------------------------------------------

enum class BackendMode : std::uint8_t {
    Normal,
    FailEverything, // each task fails after failureUs
    Busy,           // answers busy without starting
    Crashed         // running tasks are lost, requests get no answer
};

struct FeedDip
{
    double slowdown = 5;   // run times are multiplied by this
    double failChance = 0; // of each task that starts or runs during the dip
    std::int64_t untilUs = 0;
};

struct StragglerOptions
{
    double chance = 0.005; // of each task
    double slowdown = 8;   // of its run time
};

// Results -------------------------------------------------------------------------------------------

enum class StartStatus : std::uint8_t { Started, Busy, Crashed, AttemptReused };

enum class EndState : std::uint8_t { Completed, Failed, Lost };

struct EndedTask
{
    std::size_t backend = 0;
    std::string attempt;
    EndState state = EndState::Completed;
    std::string result; // or the reason of a failure
    std::int64_t serviceUs = 0;
};

struct KnownAttempt
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
    std::uint64_t lateStarts = 0;  // starts more than leavingGraceUs after the list said leaving
    std::uint32_t mostRunning = 0; // most tasks at a time
};

// BackendPool ---------------------------------------------------------------------------------------

class BackendPool
{
public:
    static constexpr std::int64_t leavingGraceUs = 3'000'000; // guarantee G6
    static constexpr std::int64_t failureUs = 2'000;          // run time in mode FailEverything
    static constexpr std::size_t rememberedAttempts = 4'000;  // ended attempts kept for each backend server

    BackendPool(std::vector<BackendSpec> specs, const StragglerOptions &stragglers, std::uint64_t seed);

    std::size_t size() const { return m_backends.size(); }
    const BackendSpec &spec(std::size_t backend) const { return m_backends[backend].spec; }
    std::optional<std::size_t> find(std::string_view name) const;
    void setAddress(std::size_t backend, std::string address) { m_backends[backend].spec.address = address; }

    StartStatus start(std::size_t backend, std::string_view attempt, std::string_view payload, std::int64_t leaseUs,
                      std::int64_t nowUs);
    KnownAttempt query(std::size_t backend, std::string_view attempt);
    // Ends a running task as failed. The end is returned by the next advance().
    bool stop(std::size_t backend, std::string_view attempt, std::int64_t nowUs);
    bool isCrashed(std::size_t backend) const { return m_backends[backend].mode == BackendMode::Crashed; }
    // Empty: crashed.
    std::optional<bool> probe(std::size_t backend);

    // Tasks that have ended by now, and the time of the next end (no task: INT64_MAX).
    std::vector<EndedTask> advance(std::int64_t nowUs);
    std::int64_t nextEndUs() const;

    void changeMode(std::size_t backend, BackendMode mode, std::int64_t nowUs);
    // Empty group: all. slowdown 1 ends a dip.
    std::size_t changeFeed(std::string_view feed, const FeedDip &dip, std::int64_t nowUs);
    // From here on a start after leavingGraceUs is counted as late.
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
        std::int64_t endUs = 0;   // at the present speed of the feed
        std::int64_t leaseUs = 0; // absolute
        bool fails = false;
        bool stopped = false;
    };
    struct Backend
    {
        BackendSpec spec;
        BackendMode mode = BackendMode::Normal;
        FeedDip dip;
        bool dipped = false;
        std::optional<std::int64_t> listedLeavingUs;
        std::map<std::string, Running, std::less<>> running;
        std::map<std::string, EndedTask, std::less<>> ended;
        std::deque<std::string> endedOrder;
        BackendCounts counts;
    };

    void applyDip(Backend &backend, const FeedDip &dip, bool begins, std::int64_t nowUs);
    void endDips(std::int64_t nowUs);
    EndedTask finish(std::size_t index, const std::string &attempt, const Running &task, std::int64_t nowUs);
    void remember(Backend &backend, const EndedTask &task);
    bool draw(double chance) { return std::bernoulli_distribution(chance)(m_random); }

    std::vector<Backend> m_backends;
    StragglerOptions m_stragglers;
    std::mt19937_64 m_random;
    std::vector<EndedTask> m_lost; // by a crash, for the next advance()
    Audit m_audit;
};

// VmList --------------------------------------------------------------------------------------------

struct ListedVm
{
    std::string name;
    bool isBackend = true;
    std::string address; // ip:port; of an entry VM that of its peer link
    std::string zone;
    std::string rack; // of backend servers
    bool leaving = false;
    std::uint32_t slots = 8;
    std::uint32_t connections = 60;
    std::uint32_t cores = 32;
    std::uint32_t memoryMb = 131072;
};

// Serves the state that it had lagUs ago.
class VmList
{
public:
    explicit VmList(std::int64_t lagUs) : m_lagUs(lagUs) {}

    // Adds or replaces a VM. A state before the first read is shown without lag.
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
