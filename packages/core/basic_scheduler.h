// The scheduler as a template over the way to choose a backend server; Scheduler is the one that ships.
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
constexpr std::int64_t loanMarginMs = 1000; // a loan outlives the deadline of its task by this
constexpr std::int64_t reportStaleUs = 2 * usPerS;
constexpr double noOfferFactor = 6;      // stands for no free slot
constexpr double offerRate = 0.05;       // of the smoothed offer, for each call of decide()
constexpr double grantedRate = 0.1;      // of the smoothed share of granted requests
constexpr double grantedForget = 0.005;  // with each report, so that a peer that refused is asked again
constexpr double leastWasted = 0.002;    // target for the share of wasted messages at response weight 0
constexpr double wastedPerWeight = 0.08; // added for each unit of response weight
constexpr double mostWasted = 0.042;     // the rest up to 5% is left to failures that nobody chooses
constexpr double priceStep = 0.05;       // of the logarithm for each message above the target
constexpr double minLogPrice = 6;        // 0.4 ms
constexpr double maxLogPrice = 16;       // 9 s
constexpr std::uint32_t maxHeldRequests = 6;
constexpr std::int64_t heldTimeoutUs = 12 * usPerMs; // for which a peer holds a request for any slot
constexpr double noSlotGapUs = 100.0 * usPerMs;      // gain by one slot where no own one works
constexpr double maxPriceScale = 50;
constexpr double minPriceScale = 0.1;
constexpr std::size_t maxReportPeers = 4;        // of the own zone that hear of one round
constexpr std::size_t reportRoundsPerDemand = 4; // other zones and demand: every fourth round
constexpr double arrivalsGain = 0.3;             // of the smoothed arrivals, per round
constexpr std::int64_t relaxEveryUs = 500 * usPerMs;
constexpr std::int64_t busyBlockUs = 30 * usPerMs;
constexpr double longTask = 1;            // length over the mean from which on the fastest slots are left to others
constexpr double longTaskPower = 0.4;     // of the length
constexpr double maxLongTaskFactor = 2.0; // over the usual fastest free slot
constexpr double borrowCostUs = 5.0 * usPerMs; // price of the messages of a borrow at response weight 0.5
constexpr double hopelessShare = 0.5;    // of the expected time: less than this left means that the task cannot finish
constexpr double certainWaitShare = 0.7; // of the expected wait counts at admission
constexpr double poisonRate = 0.6;       // of failed attempts of a template: failures say nothing about backend servers
constexpr double queueShare = 4;         // queued tasks of one organisation per free place in the queue
constexpr std::uint32_t floodTasks = 16; // queued tasks of one organisation that count as a flood
constexpr std::uint32_t floodShare = 8;  // over those of all others
constexpr std::uint32_t maxFailures = 3; // failed attempts of one task
constexpr std::uint32_t maxDenials = 8;  // of the retry budget in a row, after a failed attempt
constexpr std::uint32_t maxSkips = 8;    // jobs passed over in one round because no free slot is large enough

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
    struct Offer // the best a peer has
    {
        std::string node;
        double maxUs = 0;        // a slot that takes longer is worth less than a refusal costs
        std::uint32_t range = 0; // of the gain
    };
    enum class Step : std::uint8_t { Again, Wait };
    using LoanKey = std::pair<std::string, std::uint64_t>;

    void deal(Now now);
    template <typename Change> void updateBackend(BackendId id, std::int64_t nowUs, Change &&change);
    void refreshChanged(std::int64_t nowUs);
    void setAlarm(std::int64_t atUs, AlarmKind kind, TaskRef task, std::uint64_t number, std::string node = {});
    void handleAlarm(const Alarm &alarm, Now now);
    void tick(Now now);
    void report(Now now);
    void smoothArrivals();
    std::vector<OrganisationDemand> demand() const;
    void updateShares(Now now);
    TaskShape templateShape(TemplateId id) const;
    double expectedWaitUs(const JobDescription &job, std::uint32_t priorityClass) const;
    bool fitsSomewhere(const TaskShape &shape) const;

    Organisation &organisation(const ScheduledJob &job) { return m_organisations[raw(job.place.organisation)]; }
    void pushTask(ScheduledJob &job, std::uint32_t index);
    std::uint32_t takeTask(ScheduledJob &job);
    void countQueued(ScheduledJob &job, const ScheduledTask &task, int change);
    std::uint32_t closeJob(JobId id, Reason reason);
    void endTask(JobId id, ScheduledJob &job, ScheduledTask &task);
    void retryTask(TaskRef ref, Now now);

    void startQueued(Now now, Decisions &decisions);
    void trackOffer();
    Step placeNext(Now now, Decisions &decisions, std::vector<FairQueue::Place> &skipped);
    bool mayStart(const FairQueue::Place &place, Now now);
    bool dropHopeless(const FairQueue::Place &place, Now now);
    bool isFlooding(OrganisationId id) const;
    bool leaveToBacklog(const FairQueue::Place &place, BackendId slot, Now now, Decisions &decisions);
    std::optional<BackendId> chooseOwn(const TaskShape &shape);
    Step placeOnSlots(const FairQueue::Place &place, Now now, Decisions &decisions,
                      std::vector<FairQueue::Place> &skipped);
    void startNext(const FairQueue::Place &place, BackendId backend, Now now, Decisions &decisions);
    void start(TaskRef ref, BackendId backend, std::uint64_t request, Now now, Decisions &decisions);
    std::optional<Offer> bestOffer(const TaskShape &shape, double aloneUs, double weight, Now now) const;
    void askForSlots(const TaskShape &shape, double weight, Now now);
    void endHeld(const OpenRequest &request, bool granted);
    void lend(const LoanKey &key, const TaskShape &shape, BackendId backend, Now now);
    void serveHeld(Now now);
    void countSlotMessages(double sent, double wasted, double weight = 0);
    void requestSlot(const FairQueue::Place &place, const Offer &offer, Now now);
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
    BreakerBoard m_breakers;
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
    absl::flat_hash_set<std::string> m_servedZones; // zones with live entry VMs, as of the last deal
    std::map<std::string, PeerHeadroom, std::less<>> m_peers;
    absl::flat_hash_map<std::uint64_t, OpenRequest> m_requests;
    absl::btree_map<LoanKey, SlotLoan> m_loans;
    std::vector<std::pair<std::string, SlotGrant>> m_grants; // to be used by the next decide()
    std::deque<HeldRequest> m_held;                          // of peers
    std::uint32_t m_heldRequests = 0;                        // own ones in progress
    std::uint64_t m_nextRequest = 1;
    std::size_t m_reportRound = 0;
    Report m_lastReport;    // of the last round, without demand
    double m_logOffer = 0;  // log of the smoothed factor of the fastest free slot
    double m_logPrice = 10; // log of the price of a refusal, us

    std::priority_queue<Alarm> m_alarms;
    std::uint64_t m_nextAlarm = 0;
    std::int64_t m_nextReportUs = 0;
    std::int64_t m_nextRelaxUs = 0;
    bool m_dirty = true; // something has changed since the last round of starts

    std::vector<SlotMessageDecision> m_outbox;
    std::vector<DropDecision> m_drops;
    std::vector<Notice> m_notices;
    std::vector<BackendId> m_changed; // scratch
    SchedulerCounters m_counters;
};

} // namespace clementinelift::core

#include "core/basic_scheduler_borrowing.h"
#include "core/basic_scheduler_tasks.h"
#include "core/basic_scheduler_views.h"
