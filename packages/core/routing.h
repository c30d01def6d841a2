// Learned service times, and the slots of backend servers with a constant-time choice of the fastest free backend
// server.
//
// Contents
//   Shapes         requirements of a task
//   ServiceModel   expected service time per template and backend server
//   SlotPool       slots held, used and lent; free backend servers ordered by expected time per success
//   Policies       ways to choose a backend server for a task
#pragma once

#include "core/parameters.h"

#include <absl/container/flat_hash_map.h>

#include <concepts>
#include <random>

namespace clementinelift::core {

// Shapes --------------------------------------------------------------------------------------------

struct TaskShape
{
    TemplateId templateId{};
    double declaredUs = 0; // declared run time, only the initial estimate
    float cores = 0;
    std::uint32_t memoryMb = 0;
};

// Returns true when the backend server has enough cores and memory for the task.
bool fits(const TaskShape &shape, const BackendInfo &backend);

// ServiceModel --------------------------------------------------------------------------------------

// service time = base of (template, declared time) x factor of the backend server x correction of the pair, learned in
// logarithms. The base follows either the declared times or the mean of the template, whichever predicts better.
class ServiceModel
{
public:
    void addBackend(BackendId id);
    void addTemplate(TemplateId id, double declaredUs); // for a known template: updates the declared time only

    double baseUs(const TaskShape &shape) const;                   // on a backend server of factor 1
    double expectedUs(const TaskShape &shape, BackendId id) const; // per attempt
    double expectedPerSuccessUs(const TaskShape &shape, BackendId id) const;
    double factor(BackendId id) const; // per success, so larger when attempts fail
    double meanBaseUs() const;         // smoothed over recent tasks
    double scale() const;              // base / declared time over recent tasks; makes factors of entry VMs comparable

    // Returns true when several attempts in a row were far slower than expected.
    bool learn(const TaskShape &shape, BackendId id, double serviceUs, std::int64_t nowUs);
    void learnOutcome(TemplateId templateId, BackendId id, bool success);
    double failureRate(TemplateId id) const;

    // Lets the factor of a backend server without recent attempts return to its long-term value.
    void decayToLongTerm(BackendId id, std::int64_t nowUs);

private:
    struct TemplateModel
    {
        double logDeclared = 0; // of the template's declared time
        double logRatio = 0;    // mean of log(base / declared time of the task)
        double ratioVariance = 1;
        double logMean = 0; // mean of log(base)
        double meanVariance = 1;
        double failureRate = 0;
        std::uint32_t samples = 0;
    };
    struct BackendModel
    {
        double logFactor = 0;
        double logLongTerm = 0;
        double success = 1; // smoothed share of attempts that completed
        std::uint32_t samples = 0;
        std::uint32_t consecutiveSlow = 0;
        std::int64_t lastUs = 0;
    };
    struct PairModel
    {
        double logCorrection = 0;
        std::uint32_t samples = 0;
    };

    double logBase(const TaskShape &shape) const;
    double logCorrection(TemplateId templateId, BackendId id) const;

    std::vector<TemplateModel> m_templates;
    std::vector<BackendModel> m_backends;
    absl::flat_hash_map<std::uint64_t, PairModel> m_pairs;
    double m_logScale = 0;
    double m_meanBaseUs = 200 * usPerMs;
};

// SlotPool ------------------------------------------------------------------------------------------

constexpr std::uint32_t factorBuckets = 64;

// Index of the bucket of backend servers with about this factor; 6 buckets for each doubling.
std::uint32_t factorBucket(double factor);

// Slots of one backend server as this entry VM sees them.
struct BackendSlots
{
    BackendInfo info;
    bool gone = false;                // the VM list no longer has it
    bool leaving = false;             // gets no new task
    std::uint32_t held = 0;           // slots assigned to this entry VM
    std::uint32_t used = 0;           // held slots with an own task
    std::uint32_t lent = 0;           // held slots lent to peers
    std::uint32_t attempts = 0;       // own attempts in progress, on held and borrowed slots
    std::uint32_t connections = 0;    // share of this entry VM
    std::uint32_t allowed = 0;        // further attempts that the circuit breakers allow
    std::int64_t blockedUntilUs = 0;  // no start before this time, after a busy answer
    std::uint32_t free = 0;           // derived: held slots that may be used now
    std::uint32_t bucket = 0;         // derived: factorBucket()
    std::uint32_t bucketPosition = 0; // derived: place in the bucket's list while free > 0
    std::uint32_t listPosition = 0;   // derived: place in the list of free backend servers while free > 0
    std::uint32_t countedSlots = 0;   // derived: held slots included in SlotPool::heldSlots()
    double rate = 0;                  // derived: throughput of the held slots, in base times per time
};

class SlotPool
{
public:
    BackendId add(const BackendInfo &info);
    std::size_t size() const { return m_backends.size(); }
    const BackendSlots &operator[](BackendId id) const { return m_backends[raw(id)]; }
    std::optional<BackendId> find(std::string_view name) const;

    // Changes a backend server and updates the free lists; factor comes from ServiceModel::factor().
    template <typename Change> void update(BackendId id, double factor, std::int64_t nowUs, Change &&change)
    {
        change(m_backends[raw(id)]);
        refresh(id, factor, nowUs);
    }

    std::uint32_t freeSlots() const { return m_freeSlots; }
    std::uint32_t heldSlots() const { return m_heldSlots; } // of usable backend servers
    std::span<const BackendId> freeBackends() const { return m_freeList; }

    // Visits free backend servers, fastest bucket first, until visit returns false.
    template <typename Visit> void visitFree(Visit &&visit) const
    {
        for (std::uint64_t mask = m_nonEmptyBuckets; mask != 0; mask &= mask - 1) {
            const auto &bucket = m_freeBuckets[static_cast<std::size_t>(__builtin_ctzll(mask))];
            for (std::size_t i = bucket.size(); i-- > 0;)
                if (!visit(bucket[i]))
                    return;
        }
    }

    // The slowest large enough free backend server in this bucket or a faster one.
    std::optional<BackendId> slowestFree(std::uint32_t bucket, const TaskShape &shape) const;

    // Throughput of all held slots in faster buckets, in base times per time, and their mean factor per completion.
    struct FasterSlots
    {
        double rate = 0;
        double meanFactor = 0;
    };
    FasterSlots fasterThan(std::uint32_t bucket) const;
    double totalRate() const { return m_totalRate; }
    double fastestFactor() const; // approximate, over usable held slots; 1 if there are none

private:
    void refresh(BackendId id, double factor, std::int64_t nowUs);
    void addToFreeLists(BackendId id);
    void removeFromFreeLists(BackendId id);

    std::vector<BackendSlots> m_backends;
    absl::flat_hash_map<std::string, BackendId> m_byName;
    std::array<std::vector<BackendId>, factorBuckets> m_freeBuckets;
    std::array<double, factorBuckets> m_rate{};
    std::array<std::uint32_t, factorBuckets> m_held{};
    std::vector<BackendId> m_freeList;
    std::uint64_t m_nonEmptyBuckets = 0; // bit i: m_freeBuckets[i] is not empty
    std::uint32_t m_freeSlots = 0;
    std::uint32_t m_heldSlots = 0;
    double m_totalRate = 0;
};

// Number of slots of the backend server that rendezvous hashing over (backend server, slot) assigns to self. No
// candidate gets more than its even share, rounded up.
std::uint32_t assignedSlotCount(const BackendInfo &backend, std::string_view self,
                                std::span<const NodeInfo> candidates);

// Policies ------------------------------------------------------------------------------------------

// usesHeldSlots: tasks start only on held or borrowed slots. Otherwise every entry VM may use all slots of every
// backend server, and finds out from busy answers that slots were taken.
template <typename P>
concept SlotPolicy = requires(P policy, const SlotPool &pool, const ServiceModel &model, const TaskShape &shape,
                              std::mt19937_64 &random)
{
    {
        P::usesHeldSlots
        } -> std::convertible_to<bool>;
    {
        policy.choose(pool, model, shape, random)
        } -> std::same_as<std::optional<BackendId>>;
};

// The free backend server with the least expected time per success.
struct ExpectedFinish
{
    static constexpr bool usesHeldSlots = true;
    std::optional<BackendId> choose(const SlotPool &pool, const ServiceModel &model, const TaskShape &shape,
                                    std::mt19937_64 &random);
};

struct RandomChoice
{
    static constexpr bool usesHeldSlots = false;
    std::optional<BackendId> choose(const SlotPool &pool, const ServiceModel &model, const TaskShape &shape,
                                    std::mt19937_64 &random);
};

struct RoundRobin
{
    static constexpr bool usesHeldSlots = false;
    std::optional<BackendId> choose(const SlotPool &pool, const ServiceModel &model, const TaskShape &shape,
                                    std::mt19937_64 &random);
    std::uint32_t next = 0;
};

// Of two random free backend servers, the one with fewer attempts of this entry VM.
struct PowerOfTwo
{
    static constexpr bool usesHeldSlots = false;
    std::optional<BackendId> choose(const SlotPool &pool, const ServiceModel &model, const TaskShape &shape,
                                    std::mt19937_64 &random);
};

struct LeastOutstanding
{
    static constexpr bool usesHeldSlots = false;
    std::optional<BackendId> choose(const SlotPool &pool, const ServiceModel &model, const TaskShape &shape,
                                    std::mt19937_64 &random);
};

} // namespace clementinelift::core
