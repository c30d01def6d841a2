// Private implementation of the Dispatcher, included by its sources only.
//
// Contents
//   Step        time and actions of one call of handle()
//   Answers     builders of refusals and failures
//   Forwards    requests sent to the owner of the key
//   Refusals    answers to refused submissions of other entry VMs, repeated for duplicates
//   State       the state of one core and its event handlers
//
// Sources
//   dispatcher.cpp              construction, timers, scheduler decisions, read access
//   dispatcher_submissions.cpp  requests of callers and of other entry VMs, up to the acceptance of a job
//   dispatcher_forwards.cpp     requests sent to the owner, links
//   dispatcher_attempts.cpp     attempts, ends of jobs, answers
//   dispatcher_streams.cpp      log streams, grants, snapshots, VM list, draining
#pragma once

#include "core/dedupe.h"
#include "core/dispatcher.h"
#include "core/job_memory.h"
#include "core/jobs.h"

#include <absl/container/flat_hash_set.h>

#include <map>
#include <random>
#include <set>

namespace clementinelift::core {

// Step ----------------------------------------------------------------------------------------------

namespace detail {

struct Step
{
    Now now;
    Actions &actions;

    template <typename A> void emit(A &&action) { actions.emplace_back(std::forward<A>(action)); }
    void log(NoticeLevel level, std::string_view part, std::string text)
    {
        actions.emplace_back(Notice{level, part, std::move(text)});
    }
};

// Answers -------------------------------------------------------------------------------------------

inline Answer makeRefusal(Statement statement, Reason reason)
{
    Answer answer;
    answer.kind = AnswerKind::Refused;
    answer.statement = statement;
    answer.reason = reason;
    return answer;
}

inline Answer makeFailure(Reason reason, Effects effects, std::string detail)
{
    Answer answer;
    answer.kind = AnswerKind::Failed;
    answer.effects = effects;
    answer.reason = reason;
    answer.detail = std::move(detail);
    return answer;
}

// Forwards ------------------------------------------------------------------------------------------

// A caller's request that is sent to the owner of its key. Removed at its answer or its deadline.
struct Forward
{
    SubmitKind kind = SubmitKind::Submit;
    CallerId caller{};
    bool hasCaller = true; // false: the caller has disconnected, the job continues
    bool wait = true;
    bool mayRepeat = false;          // the template allows repeats, so a substitute may run it
    bool targetIsSubstitute = false; // false: the target is the owner of the key
    bool mayHaveRun = false;         // an earlier target may have run the job
    bool sentToTarget = false;
    Incarnation target{};
    std::string targetNode;
    std::string targetAddress;
    JobRequest request;
    std::size_t memoryBytes = 0; // taken from the memory of all jobs
    std::int64_t waitMs = 0;
    std::int64_t deadlineUs = 0;
    std::int64_t answerByUs = 0;          // the deadline plus a margin, since the owner itself answers at the deadline
    std::int64_t nextSendUs = 0;          // of the next copy on the same link
    std::int64_t unreachableSinceUs = -1; // -1: the link is up
    std::int64_t dueUs = 0;               // due time of the current timer; timers with another due time are stale
    std::uint64_t linkEpoch = 0;          // of the link that carried the last copy, 0: never sent
    std::uint32_t sends = 0;
    std::vector<std::string> excludedNodes; // not eligible as substitutes: earlier targets
};

// The link to another entry VM, according to the last event about the link.
struct Link
{
    Incarnation incarnation{};
    bool up = false;
    std::uint64_t epoch = 0;  // unique for each connection
    std::int64_t lostUs = -1; // when the link broke last, -1: never
};

// Refusals ------------------------------------------------------------------------------------------

struct RequestOrigin
{
    Incarnation node{};
    std::uint64_t requestId = 0;

    friend bool operator==(const RequestOrigin &, const RequestOrigin &) = default;
    template <typename H> friend H AbslHashValue(H h, const RequestOrigin &origin)
    {
        return H::combine(std::move(h), raw(origin.node), origin.requestId);
    }
};

struct Refusal
{
    Statement statement = Statement::None;
    Reason reason = Reason::None;
};

// Refused submissions of other entry VMs. A duplicate of a refused submission must not start anything, because its
// sender was told that nothing was started.
class RefusalTable
{
public:
    const Refusal *find(const RequestOrigin &origin) const;
    bool isFull() const;
    void add(const RequestOrigin &origin, const Refusal &refusal, std::int64_t untilUs);
    void expire(std::int64_t nowUs);

private:
    absl::flat_hash_map<RequestOrigin, Refusal> m_refusals;
    std::deque<std::pair<std::int64_t, RequestOrigin>> m_refusalOrder; // expiry time, in the order of the refusals
};

// The job or forward that will answer a waiting caller.
struct AnswerSource
{
    enum class Kind : std::uint8_t { None, Job, Forward } kind = Kind::None;
    std::uint64_t id = 0; // job or forward
};

} // namespace detail

// State ---------------------------------------------------------------------------------------------

struct Dispatcher::State
{
    using Step = detail::Step;

    explicit State(const CoreSettings &givenSettings);

    // Events, one overload each.
    void on(Step &step, SubmitJob &&event);
    void on(Step &step, FetchAnswer &&event);
    void on(Step &step, CancelJob &&event);
    void on(Step &step, RequestKeys &&event);
    void on(Step &step, RequestTrace &&event);
    void on(Step &step, CallerGone &&event);
    void on(Step &step, AttemptEnded &&event);
    void on(Step &step, AttemptStatus &&event);
    void on(Step &step, BackendProbed &&event);
    void on(Step &step, PeerConnected &&event);
    void on(Step &step, PeerDisconnected &&event);
    void on(Step &step, PeerMessageReceived &&event);
    void on(Step &step, LogRead &&event);
    void on(Step &step, LogUnavailable &&event);
    void on(Step &step, AppendEnded &&event);
    void on(Step &step, VmListRead &&event);
    void on(Step &step, TimerFired &&event);
    void on(Step &step, BeginDrain &&event);

    // Peer messages, one overload each.
    void onPeer(Step &step, const PeerMessageReceived &from, Probe &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, ProbeAck &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, ProbeRequest &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, SubmitForward &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, SubmitResult &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, SlotRequest &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, SlotGrant &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, SlotRefuse &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, SlotReturn &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, Report &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, ConfigRequest &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, ConfigRecords &&message);
    void onPeer(Step &step, const PeerMessageReceived &from, BackendLeaving &&message);

    // dispatcher.cpp
    void detectPause(Step &step);
    void runDueTimers(Step &step);
    void finishEvent(Step &step); // work after every event: views, grants, decisions, timer
    void applyDecisions(Step &step);
    void updateReadiness(Step &step);
    void setTimer(Step &step);
    std::string waitingFor() const;

    // dispatcher_submissions.cpp
    bool joinKnownKey(Step &step, const Requester &requester, bool wait, const JobRequest &request);
    void submitUnowned(Step &step, const Requester &requester, bool wait, JobRequest &&request);
    void acceptOrRefuse(Step &step, const Requester &requester, bool wait, JobRequest &&request, bool owned);
    void accept(Step &step, const Requester &requester, bool wait, JobRequest &&request, OrganisationId organisation,
                TemplateId templateId, std::int64_t startUs);
    void enqueueJob(Step &step, const Job &job);
    Reason tryAccept(Step &step, const Requester &requester, bool wait, JobRequest &request, bool owned);
    Reason checkRequest(const JobRequest &request, OrganisationId &organisation, TemplateId &templateId,
                        const Now &now) const;
    void refuse(Step &step, const Requester &requester, const JobRequest &request, Statement statement, Reason reason);
    Statement statementOfOwner(std::string_view templateName) const;
    bool mayRepeat(std::string_view templateName, const Now &now) const;
    bool fetchKnownKey(Step &step, const Requester &requester, std::string_view organisation, const Key &key,
                       std::int64_t waitMs);
    bool cancelKnownKey(Step &step, const Requester &requester, std::string_view organisation, const Key &key);
    void answerUnknownKey(Step &step, const Requester &requester);
    void answerStored(Step &step, const Requester &requester, const KeyLookup &known);
    void forwardFetchOrCancel(Step &step, SubmitKind kind, CallerId caller, std::string &&organisation, const Key &key,
                              std::int64_t waitMs);
    void addWaiter(Step &step, Job &job, const Requester &requester, std::int64_t timeoutUs);
    void onWaiterTimeout(Step &step, JobId id, std::uint64_t serial);
    std::int64_t deadlineMsOf(const JobRequest &request) const;
    bool isOwn(const OwnerLookup &owner) const
    {
        return owner.coverage == Coverage::Owned && owner.incarnation == settings.self.incarnation;
    }

    bool isReachable(const OwnerLookup &owner) const;

    // dispatcher_forwards.cpp
    void startForward(Step &step, detail::Forward &&forward, const OwnerLookup &owner);
    void updateForward(Step &step, std::uint64_t requestId);
    void updateAllForwards(Step &step);
    void sendForward(Step &step, std::uint64_t requestId, detail::Forward &forward, const detail::Link &link);
    void setForwardTimer(std::uint64_t requestId, detail::Forward &forward, std::int64_t atUs);
    bool mayFailOver(const detail::Forward &forward, const Now &now) const;
    std::optional<NodeInfo> chooseSubstitute(const detail::Forward &forward) const;
    void failOver(Step &step, std::uint64_t requestId);
    void forwardToSubstitute(Step &step, CallerId caller, bool wait, JobRequest &&request);
    std::int64_t ownerLeasesEndUs(const JobRequest &request, const Now &now) const;
    void runForwardLocally(Step &step, std::uint64_t requestId, bool mayHaveRun);
    void giveUpForward(Step &step, std::uint64_t requestId, Reason reason);
    void failOutcomeUnknown(Step &step, const Requester &requester);
    void endForward(Step &step, std::uint64_t requestId, Answer &&answer);
    bool isReplaced(const detail::Forward &forward) const;
    bool mayForward(const Now &now) const;
    void recordLink(std::string_view node, Incarnation incarnation);

    // dispatcher_attempts.cpp
    std::int64_t attemptLeaseMs(const TaskRequest &task, TemplateId templateId) const;
    void startAttempt(Step &step, const StartDecision &decision);
    void endAttempt(Step &step, std::uint64_t sequence, AttemptOutcome outcome, std::string &&result,
                    std::uint32_t serviceUs, RetryReason retryReason);
    void beginResolving(Step &step, std::uint64_t sequence, Attempt &attempt);
    void sendQuery(Step &step, std::uint64_t sequence, Attempt &attempt);
    void onQueryTimer(Step &step, std::uint64_t sequence, std::int64_t atUs);
    void onDeadline(Step &step, JobId id);
    bool mayRunAgain(const Job &job) const;
    void completeJob(Step &step, Job &job);
    void failJob(Step &step, Job &job, Reason reason, std::string detail);
    void stopAttempts(Step &step, Job &job, bool early); // early: before the deadline of the job
    void endJob(Step &step, Job &job, Answer &&answer);
    void reply(Step &step, const Requester &requester, Answer &&answer);

    // dispatcher_streams.cpp
    void readOwnership(Step &step, LogRead &&read);
    void readConfig(Step &step, LogRead &&read);
    bool applyConfig(Step &step, const LogRecord &record);
    void recordRepeatableTemplates(std::int64_t sinceMs);
    void requestConfig(Step &step, std::string_view node, std::int64_t peerNext);
    void planGrants(Step &step);
    void planSnapshot(Step &step);
    void continueDrain(Step &step);
    void appendRelease(Step &step);
    AppendId append(Step &step, Stream stream, LogBody &&body);
    void announceLeaving(Step &step, const std::string &backend);

    // Parts.
    const CoreSettings settings;
    Configuration config;
    OwnershipTable ownership;
    GrantPlanner planner;
    Membership membership;
    Scheduler scheduler;
    DedupeTable dedupe;
    JobTable jobs;
    JobMemory jobMemory; // of jobs and forwards
    TraceRing traces;
    TimerHeap timers;
    Counters counters;
    Decisions decisions;
    std::mt19937_64 random;

    // Callers and attempts.
    absl::flat_hash_map<CallerId, detail::AnswerSource> callers;
    absl::flat_hash_map<std::uint64_t, Attempt> attempts; // by sequence
    std::uint64_t nextAttempt = 1;
    std::uint64_t nextWaiter = 1;

    // Other entry VMs.
    std::map<std::string, detail::Link, std::less<>> links;  // by node name
    absl::flat_hash_map<Incarnation, std::string> nodeNames; // of the incarnations in links
    absl::flat_hash_set<Incarnation> replacedIncarnations;   // ended incarnations whose VM runs a newer one; bounded
    std::deque<Incarnation> replacedOrder;
    absl::flat_hash_map<std::uint64_t, detail::Forward> forwards; // by request id
    std::uint64_t nextRequest = 0;
    std::uint64_t nextEpoch = 1;
    detail::RefusalTable refusals;
    std::uint64_t schedulerViewVersion = 0; // viewVersion() of the membership last passed to the scheduler

    // Log streams.
    std::int64_t ownershipNext = 0;
    std::int64_t configStreamEnd = 0; // not used
    bool ownershipRead = false;       // the end of the stream was reached at least once
    bool ownershipCaughtUp = false;   // the last read reached the end of the stream
    bool ownershipDown = false;
    bool configDown = true; // no read has reached the end since the last outage
    bool wasReady = false;
    bool ownGrantRead = false;     // a grant to this incarnation was read back
    std::int64_t firstGrantUs = 0; // earliest time of the first grant
    std::int64_t configRequestedUs = -1;
    std::uint64_t schedulerConfigGeneration = 0; // of the configuration last passed to the scheduler
    std::int64_t snapshotDueUs = 0;              // 0: none planned
    std::uint64_t nextAppend = 1;
    std::int64_t maxAcceptedIssueMs = 0;                                   // of owned keys
    std::map<std::string, std::int64_t, std::less<>> repeatAllowedSinceMs; // templates that ever allowed repeats
    std::set<std::string> leavingBackends; // removed when the VM list of this entry VM no longer contains them

    // Draining.
    bool draining = false;
    bool drainFinished = false;
    std::int64_t drainBegunUs = 0;
    std::int64_t releaseAtMs = 0;
    std::int64_t releaseDueUs = 0;
    std::int64_t idleSinceUs = -1; // -1: jobs are open
    std::int64_t resumedUs = 0;    // when a timer was last late
    std::int64_t drainDueUs = 0;   // next check whether the drain has ended

    std::int64_t lastEventUs = -1;      // -1: none yet
    std::int64_t startsHeldUntilUs = 0; // after a pause of the process
    std::int64_t timerUs = INT64_MAX;   // requested from the process
};

} // namespace clementinelift::core
