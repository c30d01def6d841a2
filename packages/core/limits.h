// Fair order between organisations, fleet-wide limits and retry budgets.
//
// Contents
//   FairQueue        priority, weighted fair order between organisations, earliest deadline
//   FleetShare       share of a fleet-wide limit that this entry VM may use
//   StartLimiter     concurrency and rate of one organisation
//   RetryBudget      retries as a fraction of first attempts, over a sliding window
//   Backoff          delay before a further attempt
#pragma once

#include "core/messages.h"
#include "core/parameters.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <random>

namespace clementinelift::core {

// FairQueue -----------------------------------------------------------------------------------------

// Orders jobs with queued tasks. A lower class comes first; within a class the organisation with the least service per
// weight comes first; within an organisation the job with the earliest deadline. All calls are O(log n).
class FairQueue
{
public:
    struct QueueEntry
    {
        std::uint32_t priorityClass = 0;
        OrganisationId organisation{};
        std::int64_t deadlineUs = 0;
        JobId job{};

        friend bool operator==(const QueueEntry &, const QueueEntry &) = default;
    };

    void setWeight(OrganisationId id, double weight);
    void insert(const QueueEntry &entry);                // a job with queued tasks; no effect for a job in the queue
    void erase(const QueueEntry &entry);                 // the job has no queued task any more
    void charge(const QueueEntry &entry, double costUs); // a task of the organisation was removed to be started

    // The jobs of a blocked organisation stay in the queue but first() and last() skip them.
    void block(OrganisationId id);
    void unblock(OrganisationId id);
    bool isBlocked(OrganisationId id) const;

    std::optional<QueueEntry> first() const;
    std::optional<QueueEntry> last() const; // lowest priority, most served organisation, latest deadline

private:
    using JobSet = absl::btree_set<std::pair<std::int64_t, JobId>>;
    struct OrganisationQueue // the jobs of one organisation in one priority class
    {
        double virtualTime = 0;
        JobSet jobs;
    };
    struct PriorityClass
    {
        double virtualTime = 0; // of the organisation served last
        absl::flat_hash_map<OrganisationId, OrganisationQueue> queues;
        absl::btree_set<std::pair<double, OrganisationId>> ready; // organisations with jobs that are not blocked
    };
    struct Organisation
    {
        double weight = 1;
        bool blocked = false;
    };

    Organisation &organisation(OrganisationId id);

    absl::btree_map<std::uint32_t, PriorityClass> m_classes;
    std::vector<Organisation> m_organisations;
};

// FleetShare ----------------------------------------------------------------------------------------

// Divides fleet-wide limits among entry VMs by reported demand. Entry VMs without a recent report keep a fixed share
// (limit / known entry VMs). An entry VM that gets no reports also uses this fixed share for itself.
class FleetShare
{
public:
    void setPeers(std::span<const NodeInfo> live, std::string_view self, std::int64_t nowUs);
    void onReport(std::string_view node, std::span<const OrganisationDemand> demand, std::int64_t nowUs);
    void discardReport(std::string_view node); // treats the peer as one without a report

    // Share of the limit, 0 .. limit, for an organisation with this demand here.
    double share(double limit, std::string_view organisation, double ownDemand, std::int64_t nowUs) const;

    // limit x part, for limits that count whole tasks. Where the product is below 1, as many entry VMs as the limit
    // allows get one task each, and the entry VMs rotate every rotationMs.
    double wholeTaskShare(double limit, double part, std::string_view organisation, std::string_view self,
                          std::int64_t wallMs) const;
    std::uint32_t knownNodes() const; // own entry VM included

private:
    struct Node
    {
        std::int64_t lastSeenUs = 0;    // in the list of live entry VMs
        std::int64_t lastReportUs = -1; // -1: never
        bool live = false;
        absl::flat_hash_map<std::string, double> demand;
    };

    absl::flat_hash_map<std::string, Node> m_nodes; // peers only
};

// StartLimiter --------------------------------------------------------------------------------------

// Concurrency and rate of one organisation at this entry VM.
class StartLimiter
{
public:
    void setShares(double concurrency, double ratePerS, std::int64_t nowUs);
    bool mayStart(std::int64_t nowUs); // also refills the token bucket
    void onStart();
    void onEnd();
    double tokens(std::int64_t nowUs) const; // starts that the rate allows now
    std::uint32_t running() const { return m_running; }
    double concurrency() const { return m_concurrency; }
    double ratePerS() const { return m_ratePerS; }
    bool isAtConcurrency() const { return m_running + 1 > m_concurrency + 1e-9; }
    std::int64_t nextTokenUs() const; // when the rate allows the next start, INT64_MAX: never

private:
    double m_concurrency = 0;
    double m_ratePerS = 0;
    double m_tokens = 1e9; // the bucket is full at first
    std::int64_t m_filledUs = 0;
    std::uint32_t m_running = 0;
};

// RetryBudget ---------------------------------------------------------------------------------------

// Bounds retries by a fraction of the first attempts of the last 10 s. A few retries are always allowed, so that
// organisations with little traffic can retry as well.
class RetryBudget
{
public:
    void onFirstAttempt(std::int64_t nowUs);
    bool takeRetry(double percent, std::int64_t nowUs); // true: counted as used

private:
    static constexpr std::int64_t bucketUs = usPerS;
    static constexpr std::size_t bucketCount = 11; // the 10 s window and the current, partial second

    void advance(std::int64_t nowUs);

    std::array<std::uint32_t, bucketCount> m_firstAttempts{};
    std::array<std::uint32_t, bucketCount> m_retries{};
    std::uint32_t m_firstAttemptSum = 0;
    std::uint32_t m_retrySum = 0;
    std::int64_t m_currentBucket = 0;
};

// Backoff -------------------------------------------------------------------------------------------

// Delay before a retry (attempt 1: first retry): exponential backoff, uniformly random in the upper half of the delay.
std::int64_t backoffUs(std::uint32_t attempt, std::mt19937_64 &random);

} // namespace clementinelift::core
