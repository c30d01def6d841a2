// The scheduler as a template over the policy that chooses a backend server. Production code uses Scheduler, which
// instantiates it with ExpectedFinish; benchmarks also use other policies.
//
// Contents
//   BasicScheduler   see scheduler.h for the meaning of each call
//   Definitions      in basic_scheduler_{views,tasks,borrowing}.h
#pragma once

#include "core/scheduler.h"
#include "core/slots.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <deque>
#include <map>

namespace clementinelift::core {

namespace detail {

constexpr std::int64_t sameZoneRoundTripUs = 1 * usPerMs;
constexpr std::int64_t otherZoneRoundTripUs = 3 * usPerMs;
constexpr std::int64_t requestTimeoutUs = 50 * usPerMs;
constexpr std::int64_t loanMarginMs = 1000; // time by which a lease outlives the deadline of its task
constexpr std::int64_t reportStaleUs = 2 * usPerS;
constexpr double noFreeSlotFactor = 6;        // reported while no slot is free
constexpr double bestFactorSmoothing = 0.05;  // of the reported factor, per call of decide()
constexpr double grantShareSmoothing = 0.1;   // of the share of granted requests, per answer
constexpr double grantShareDecay = 0.005;     // per report; lets a peer that refused be asked again
constexpr double minWastedShare = 0.002;      // target for the share of wasted messages at response weight 0
constexpr double wastedSharePerWeight = 0.08; // added for each unit of response weight
constexpr double maxWastedShare = 0.042;      // the rest up to 5% is left to failures, which cannot be avoided
constexpr double refusalCostStep = 0.05;      // added to the logarithm per message above the target
constexpr double minLogRefusalCost = 6;       // 0.4 ms
constexpr double maxLogRefusalCost = 16;      // 9 s
constexpr std::uint32_t maxDeferrableRequests = 6;
constexpr std::int64_t deferTimeoutUs = 12 * usPerMs;       // how long a peer may defer a request for any slot
constexpr double noSlotReleaseIntervalUs = 100.0 * usPerMs; // assumed when no held slot is usable
constexpr double maxCostScale = 50;
constexpr double minCostScale = 0.1;
constexpr std::size_t maxReportPeers = 4;        // of the own zone, per report
constexpr std::size_t reportRoundsPerDemand = 4; // to other zones, and with the demand: every fourth round
constexpr double arrivalsSmoothing = 0.3;        // of the arrival rate, per report
constexpr std::int64_t decayIntervalUs = 500 * usPerMs;
constexpr std::int64_t busyBlockUs = 30 * usPerMs;
constexpr double longTaskRatio = 1; // base time / mean base time above which a task leaves the fastest slots to others
constexpr double longTaskExponent = 0.4;       // of this ratio
constexpr double maxLongTaskFactor = 2.0;      // limit of the slot's factor / smoothed factor of the fastest free slot
constexpr double borrowCostUs = 5.0 * usPerMs; // cost of the messages for one borrowed slot at response weight 0.5
constexpr double minServiceTimeShare = 0.5;    // of the expected time; a task with less time left cannot finish
constexpr double admissionWaitShare = 0.7;     // of the expected wait that admission counts
constexpr double templateFaultRate = 0.6; // share of failed attempts from which on they are put down to the template
constexpr double maxTasksPerFreeQueuePlace = 4;    // of one organisation
constexpr std::uint32_t dominantBacklogTasks = 16; // least number of queued tasks of one organisation
constexpr std::uint32_t dominantBacklogRatio = 8;  // and ratio to the queued tasks of all others
constexpr std::uint32_t maxFailures = 3;           // of one task
constexpr std::uint32_t maxBudgetDenials = 8;      // refusals by the retry budget in a row, after a failed attempt
constexpr std::uint32_t maxSkippedJobs = 8;        // per round, because no free slot is large enough

} // namespace detail

template <SlotPolicy P> class BasicScheduler
{
public:
    BasicScheduler(const CoreSettings &settings, const Configuration &configuration);

    void setBackends(std::span<const BackendInfo> backends, Now now);
    void setLeaving(std::string_view backend, Now now);
    void setPeers(std::span<const NodeInfo> liveInZone, std::span<const NodeInfo> live, Now now);
    void onConfiguration(Now now);

    Reason admit(const JobDescription &job, Now now);
    void enqueue(const JobDescription &job, Now now);
    std::uint32_t cancelQueued(JobId job, Now now);
    void markStopped(TaskRef task);
    NextStep onAttemptEnded(TaskRef task, AttemptOutcome outcome, std::uint32_t serviceUs, bool repeatable, Now now);

    void onBackendProbed(BackendId backend, bool healthy, Now now);
    void onPeerMessage(std::string_view node, const SlotRequest &message, Now now);
    void onPeerMessage(std::string_view node, const SlotGrant &message, Now now);
    void onPeerMessage(std::string_view node, const SlotRefuse &message, Now now);
    void onPeerMessage(std::string_view node, const SlotReturn &message, Now now);
    void onPeerMessage(std::string_view node, const Report &message, Now now);
    void onPeerLost(std::string_view node, Now now);

    void decide(Now now, Decisions &decisions);
    std::int64_t nextTimerUs() const;

    const BackendInfo &backend(BackendId id) const { return m_pool[id].info; }
    std::optional<BackendId> findBackend(std::string_view name) const { return m_pool.find(name); }
    bool isGone(BackendId id) const { return m_pool[id].gone; }
    const SchedulerCounters &counters() const { return m_counters; }
    std::size_t queuedTasks() const { return m_queuedTasks; }
    std::vector<BackendStatus> status() const;

private:
    struct Organisation
    {
        OrganisationParameters parameters;
        std::string name;
        StartLimiter limiter;
        RetryBudget budget;
        std::uint32_t queued = 0;   // tasks in phases Queued, Delayed and Requested
        double queuedWorkUs = 0;    // expected base time of them
        double arrivalsPerS = 0;    // smoothed
        std::uint32_t arrivals = 0; // since the last report
    };
    struct Offer // the most profitable slot of a peer
    {
        std::string node;
        double maxUs = 0;              // upper bound sent to the peer; a slower slot costs more than a refusal
        std::uint32_t grantBucket = 0; // see PeerCapacity
    };
    enum class Step : std::uint8_t { Again, Wait };
    using LoanKey = std::pair<std::string, std::uint64_t>;

    void assignSlots(Now now);
    template <typename Change> void updateBackend(BackendId id, std::int64_t nowUs, Change &&change);
    void refreshChanged(std::int64_t nowUs);
    void setTimer(std::int64_t atUs, SchedulerTimerKind kind, TaskRef task, std::uint64_t number,
                  std::string node = {});
    void handleTimer(const SchedulerTimer &timer, Now now);
    void runTimers(Now now);
    void report(Now now);
    void smoothArrivals();
    std::vector<OrganisationDemand> demand() const;
    void updateShares(Now now);
    TaskShape templateShape(TemplateId id) const;
    double expectedWaitUs(const JobDescription &job, std::uint32_t priorityClass) const;
    bool fitsSomewhere(const TaskShape &shape) const;

    Organisation &organisation(const ScheduledJob &job) { return m_organisations[raw(job.queueEntry.organisation)]; }
    void pushTask(ScheduledJob &job, std::uint32_t index);
    std::uint32_t takeTask(ScheduledJob &job);
    void countQueued(ScheduledJob &job, const ScheduledTask &task, int change);
    std::uint32_t closeJob(JobId id, Reason reason);
    void endTask(JobId id, ScheduledJob &job, ScheduledTask &task);
    void retryDelayedTask(TaskRef ref, Now now);

    void startQueued(Now now, Decisions &decisions);
    void smoothBestFactor();
    Step startOrSkipNext(Now now, Decisions &decisions, std::vector<FairQueue::QueueEntry> &skippedEntries);
    bool mayStart(const FairQueue::QueueEntry &entry, Now now);
    bool dropIfUnreachable(const FairQueue::QueueEntry &entry, Now now);
    bool hasDominantBacklog(OrganisationId id) const;
    bool yieldSlotToBacklog(const FairQueue::QueueEntry &entry, BackendId slot, Now now, Decisions &decisions);
    std::optional<BackendId> chooseHeldSlot(const TaskShape &shape);
    Step startOnBestSlot(const FairQueue::QueueEntry &entry, Now now, Decisions &decisions,
                         std::vector<FairQueue::QueueEntry> &skippedEntries);
    void startNext(const FairQueue::QueueEntry &entry, BackendId backend, Now now, Decisions &decisions);
    void start(TaskRef ref, BackendId backend, std::uint64_t request, Now now, Decisions &decisions);
    std::optional<Offer> bestOffer(const TaskShape &shape, double aloneUs, double weight, Now now) const;
    void requestAnySlot(const TaskShape &shape, double weight, Now now);
    void finishDeferrableRequest(const OutstandingRequest &request, bool granted);
    void lend(const LoanKey &key, const TaskShape &shape, BackendId backend, Now now);
    void grantDeferredRequests(Now now);
    void countSlotMessages(double sent, double wasted, double weight = 0);
    void requestSlot(const FairQueue::QueueEntry &entry, const Offer &offer, Now now);
    void returnUnused(std::uint64_t request, const std::string &node);
    void send(std::string_view node, PeerMessage message);
    void learn(const TaskShape &shape, BackendId backend, AttemptOutcome outcome, double serviceUs,
               std::int64_t startUs, std::int64_t nowUs);
    void endLoan(const LoanKey &key, std::int64_t nowUs);
    void requeue(std::uint64_t request, Now now);

    const CoreSettings &m_settings;
    const Configuration &m_configuration;
    std::uint64_t m_generation = UINT64_MAX;
    std::mt19937_64 m_random;
    P m_policy;

    SlotPool m_pool;
    ServiceModel m_model;
    CircuitBreakers m_breakers;
    FairQueue m_queue;
    FleetShare m_shares;
    std::vector<Organisation> m_organisations;
    std::vector<TemplateParameters> m_templates;
    absl::flat_hash_map<JobId, ScheduledJob> m_jobs;
    std::uint32_t m_queuedTasks = 0;                      // in phases Queued, Delayed and Requested
    std::uint32_t m_readyTasks = 0;                       // in phase Queued
    absl::btree_map<std::uint32_t, double> m_classWorkUs; // queued base time by priority class

    std::vector<NodeInfo> m_live;                   // own entry VM included
    std::vector<NodeInfo> m_liveInZone;             // own entry VM included
    absl::flat_hash_set<std::string> m_servedZones; // zones with live entry VMs at the last assignment of slots
    std::map<std::string, PeerCapacity, std::less<>> m_peers;
    absl::flat_hash_map<std::uint64_t, OutstandingRequest> m_requests;
    absl::btree_map<LoanKey, SlotLoan> m_loans;
    std::vector<std::pair<std::string, SlotGrant>> m_grants; // received since the last decide()
    std::deque<DeferredRequest> m_deferredRequests;          // received from peers
    std::uint32_t m_deferrableRequests = 0;                  // sent to peers, in progress
    std::uint64_t m_nextRequest = 1;
    std::size_t m_reportRound = 0;
    Report m_lastReport;          // without demand
    double m_logBestFactor = 0;   // logarithm of the smoothed factor of the fastest free slot
    double m_logRefusalCost = 10; // logarithm of the cost of a refusal in us

    std::priority_queue<SchedulerTimer> m_timers;
    std::uint64_t m_nextTimerSequence = 0;
    std::int64_t m_nextReportUs = 0;
    std::int64_t m_nextDecayUs = 0;
    bool m_startsDue = true; // the state has changed since the last round of starts

    std::vector<SlotMessageDecision> m_outgoingMessages;
    std::vector<DropDecision> m_drops;
    std::vector<Notice> m_notices;
    std::vector<BackendId> m_changed; // reused buffer of refreshChanged()
    SchedulerCounters m_counters;
};

} // namespace clementinelift::core

#include "core/basic_scheduler_borrowing.h"
#include "core/basic_scheduler_tasks.h"
#include "core/basic_scheduler_views.h"
