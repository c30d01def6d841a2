// Limits and order between organisations: fair queue, fleet-wide limits, retry budget.
//
// Contents
//   FairQueue        priority, weighted fair order between organisations, earliest deadline
//   FleetShare       part of a fleet-wide limit that this entry VM may use
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
    struct Place
    {
        std::uint32_t priorityClass = 0;
        OrganisationId organisation{};
        std::int64_t deadlineUs = 0;
        JobId job{};

        friend bool operator==(const Place &, const Place &) = default;
    };

    void setWeight(OrganisationId id, double weight);
    void insert(const Place &place);                // a job with queued tasks; again: no effect
    void erase(const Place &place);                 // it has none any more
    void charge(const Place &place, double costUs); // a task of the organisation was taken

    // A blocked organisation keeps its jobs and is passed over.
    void block(OrganisationId id);
    void unblock(OrganisationId id);
    bool isBlocked(OrganisationId id) const;

    std::optional<Place> first() const;
    std::optional<Place> last() const; // latest deadline of the organisation that is furthest ahead, lowest priority

private:
    using JobSet = absl::btree_set<std::pair<std::int64_t, JobId>>;
    struct Lane // the jobs of one organisation in one class
    {
        double virtualTime = 0;
        JobSet jobs;
    };
    struct Class
    {
        double virtualTime = 0; // of the lane served last
        absl::flat_hash_map<OrganisationId, Lane> lanes;
        absl::btree_set<std::pair<double, OrganisationId>> ready; // lanes with jobs that are not blocked
    };
    struct Organisation
    {
        double weight = 1;
        bool blocked = false;
    };

    Organisation &organisation(OrganisationId id);

    absl::btree_map<std::uint32_t, Class> m_classes;
    std::vector<Organisation> m_organisations;
};

// FleetShare ----------------------------------------------------------------------------------------

// Divides fleet-wide limits among entry VMs by reported demand. Entry VMs whose reports are missing keep a fixed share
// (limit / known entry VMs), which is also what an entry VM that hears from nobody takes for itself.
class FleetShare
{
public:
    void setPeers(std::span<const NodeInfo> live, std::string_view self, std::int64_t nowUs);
    void onReport(std::string_view node, std::span<const OrganisationDemand> demand, std::int64_t nowUs);
    void forget(std::string_view node); // its reports do not count any more

    // Share of the limit, 0 .. limit, for an organisation with this demand here.
    double share(double limit, std::string_view organisation, double ownDemand, std::int64_t nowUs) const;

    // limit x part for limits that count whole tasks. Where the part is below one, as many entry VMs as the limit
    // allows get one task each, in turns of some seconds.
    double wholeShare(double limit, double part, std::string_view organisation, std::string_view self,
                      std::int64_t wallMs) const;
    std::uint32_t knownNodes() const; // own entry VM included

private:
    struct Node
    {
        std::int64_t lastSeenUs = 0;    // in the live view
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
    bool mayStart(std::int64_t nowUs); // also fills the token bucket
    void onStart();
    void onEnd();
    double tokens(std::int64_t nowUs) const; // starts that the rate allows at once
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

// Retries stay below a fraction of the first attempts of the last 10 s. A few are always allowed, so that
// organisations with little traffic can retry at all.
class RetryBudget
{
public:
    void onFirst(std::int64_t nowUs);
    bool takeRetry(double percent, std::int64_t nowUs); // true: counted as used

private:
    static constexpr std::int64_t slotUs = usPerS;
    static constexpr std::size_t slotCount = 11; // the window and the current, partial second

    void advance(std::int64_t nowUs);

    std::array<std::uint32_t, slotCount> m_first{};
    std::array<std::uint32_t, slotCount> m_retries{};
    std::uint32_t m_firstSum = 0;
    std::uint32_t m_retrySum = 0;
    std::int64_t m_slot = 0;
};

// Backoff -------------------------------------------------------------------------------------------

// Delay before attempt number attempt (1: first retry), doubled each time, with full jitter on the upper half.
std::int64_t backoffUs(std::uint32_t attempt, std::mt19937_64 &random);

} // namespace clementinelift::core
