// Inside of the Dispatcher, shared by its sources only.
//
// Contents
//   Step        one call of handle()
//   Answers     builders
//   Forwards    requests passed on to the owner of the key
//   Refusals    answers to passed-on submissions, repeated for duplicates
//   State       everything that one core knows, and what it does on each event
//
// Sources
//   dispatcher.cpp              construction, timers, scheduler decisions, read access
//   dispatcher_submissions.cpp  requests of callers and of other entry VMs, up to the acceptance of a job
//   dispatcher_forwards.cpp     requests passed on to the owner, links
//   dispatcher_attempts.cpp     attempts, ends of jobs, answers
//   dispatcher_streams.cpp      log streams, grants, snapshots, VM list, draining
#pragma once

#include "core/dedupe.h"
#include "core/dispatcher.h"
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

    template <typename A> void act(A &&action) { actions.emplace_back(std::forward<A>(action)); }
    void notice(NoticeLevel level, std::string_view part, std::string text)
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

// A caller's request that another entry VM owns. Lives until its answer or its deadline.
struct Forward
{
    SubmitKind kind = SubmitKind::Submit;
    CallerId caller{};
    bool hasCaller = true; // false: the caller is gone, the job goes on
    bool wait = true;
    bool mayRepeat = false;   // the template allows repeats, so a substitute may run it
    bool isOwnerLost = false; // a substitute was asked instead of the owner
    bool mayHaveRun = false;  // the owner was asked before
    bool handedToLink = false;
    Incarnation owner{};
    std::string ownerNode;
    std::string ownerAddress;
    JobRequest request;
    std::int64_t waitMs = 0;
    std::int64_t deadlineUs = 0;
    std::int64_t answerByUs = 0;          // deadline and a margin for the owner's own answer at the deadline
    std::int64_t nextSendUs = 0;          // on the same link
    std::int64_t unreachableSinceUs = -1; // -1: the link is up
    std::int64_t dueUs = 0;               // of the timer that is in force
    std::uint64_t linkEpoch = 0;          // of the link it was sent on, 0: never sent
    std::uint32_t sends = 0;
    std::vector<std::string> skipped; // nodes that are no substitute: the owner, and those that did not take it
};

// The link to another entry VM, as the last event about it said.
struct Link
{
    Incarnation incarnation{};
    bool up = false;
    std::uint64_t epoch = 0;  // raised by every connection
    std::int64_t lostUs = -1; // when the last link to it broke
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

// A duplicate of a refused submission must not start anything after its sender was told that nothing was started.
class RefusalMemory
{
public:
    const Refusal *find(const RequestOrigin &origin) const;
    bool isFull() const;
    void add(const RequestOrigin &origin, const Refusal &refusal, std::int64_t untilUs);
    void expire(std::int64_t nowUs);

private:
    absl::flat_hash_map<RequestOrigin, Refusal> m_refusals;
    std::deque<std::pair<std::int64_t, RequestOrigin>> m_order; // by time of the refusal
};

// Where the answer of a waiting caller comes from.
struct CallerPlace
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
    void notePause(Step &step);
    void runDueTimers(Step &step);
    void settle(Step &step); // what follows from any event: views, grants, decisions, timer
    void runDecisions(Step &step);
    void noteReadiness(Step &step);
    void setTimer(Step &step);
    std::string waitingFor() const;

    // dispatcher_submissions.cpp
    bool joinKnown(Step &step, const Requester &requester, bool wait, const JobRequest &request);
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
    bool fetchKnown(Step &step, const Requester &requester, std::string_view organisation, const Key &key,
                    std::int64_t waitMs);
    bool cancelKnown(Step &step, const Requester &requester, std::string_view organisation, const Key &key);
    void answerUnknownKey(Step &step, const Requester &requester);
    void answerStored(Step &step, const Requester &requester, const Remembered &known);
    void fetchOrCancelElsewhere(Step &step, SubmitKind kind, CallerId caller, std::string &&organisation,
                                const Key &key, std::int64_t waitMs);
    void addWaiter(Step &step, Job &job, const Requester &requester, std::int64_t timeoutUs);
    void onWaiterTimeout(Step &step, JobId id, std::uint64_t serial);
    std::int64_t deadlineMsOf(const JobRequest &request) const;
    bool isOwn(const OwnerLookup &owner) const
    {
        return owner.coverage == Coverage::Owned && owner.incarnation == settings.self.incarnation;
    }

    bool isReachable(const OwnerLookup &owner) const;

    // dispatcher_forwards.cpp
    void forward(Step &step, detail::Forward &&forward, const OwnerLookup &owner);
    void reviewForward(Step &step, std::uint64_t requestId);
    void reviewAllForwards(Step &step);
    void sendForward(Step &step, std::uint64_t requestId, detail::Forward &forward, const detail::Link &link);
    void armForward(std::uint64_t requestId, detail::Forward &forward, std::int64_t atUs);
    bool mayRunElsewhere(const detail::Forward &forward, const Now &now) const;
    std::optional<NodeInfo> chooseSubstitute(const detail::Forward &forward) const;
    void runElsewhere(Step &step, std::uint64_t requestId);
    void forwardToSubstitute(Step &step, CallerId caller, bool wait, JobRequest &&request);
    std::int64_t ownerRunsEndUs(const JobRequest &request, const Now &now) const;
    void runForwardHere(Step &step, std::uint64_t requestId, bool mayHaveRun);
    void giveUpForward(Step &step, std::uint64_t requestId, Reason reason);
    void failUnanswered(Step &step, const Requester &requester);
    void endForward(Step &step, std::uint64_t requestId, Answer &&answer);
    bool isReplaced(const detail::Forward &forward) const;
    bool mayForward(const Now &now) const;
    void noteLink(std::string_view node, Incarnation incarnation);

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
    void stopAttempts(Step &step, Job &job, bool early); // early: before the deadline
    void endJob(Step &step, Job &job, Answer &&answer);
    void reply(Step &step, const Requester &requester, Answer &&answer);

    // dispatcher_streams.cpp
    void readOwnership(Step &step, LogRead &&read);
    void readConfig(Step &step, LogRead &&read);
    bool applyConfig(Step &step, const LogRecord &record);
    void noteTemplates(std::int64_t sinceMs);
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
    TraceRing traces;
    TimerHeap timers;
    Counters counters;
    Decisions decisions;
    std::mt19937_64 random;

    // Callers and attempts.
    absl::flat_hash_map<CallerId, detail::CallerPlace> callers;
    absl::flat_hash_map<std::uint64_t, Attempt> attempts; // by sequence
    std::uint64_t nextAttempt = 1;
    std::uint64_t nextWaiter = 1;

    // Other entry VMs.
    std::map<std::string, detail::Link, std::less<>> links;  // by node name
    absl::flat_hash_map<Incarnation, std::string> nodeNames; // of the incarnations in links
    absl::flat_hash_set<Incarnation> replaced;               // ended, their VM runs a newer one; bounded
    std::deque<Incarnation> replacedOrder;
    absl::flat_hash_map<std::uint64_t, detail::Forward> forwards; // by request id
    std::uint64_t nextRequest = 0;
    std::uint64_t nextEpoch = 1;
    detail::RefusalMemory refusals;
    std::uint64_t seenView = 0; // viewVersion() of the membership that the scheduler knows

    // Log streams.
    std::int64_t ownershipNext = 0;
    std::int64_t configStreamEnd = 0; // largest offset that the log service reported
    bool ownershipRead = false;       // caught up at least once
    bool ownershipAtEnd = false;      // the last read was
    bool ownershipDown = false;
    bool configDown = true; // no read since the last outage
    bool everReady = false;
    bool everGranted = false;      // an own grant was read back
    std::int64_t grantsFromUs = 0; // no grants before
    std::int64_t configAskedUs = -1;
    std::uint64_t seenGeneration = 0; // of the configuration that the scheduler knows
    std::int64_t snapshotDueUs = 0;   // 0: none planned
    std::uint64_t nextAppend = 1;
    std::int64_t maxAcceptedIssueMs = 0;                                   // of owned keys
    std::map<std::string, std::int64_t, std::less<>> repeatAllowedSinceMs; // templates that ever allowed repeats
    std::set<std::string> leavingBackends; // until the own VM list does not contain them any more

    // Draining.
    bool draining = false;
    bool drainFinished = false;
    std::int64_t drainBegunUs = 0;
    std::int64_t releaseAtMs = 0;
    std::int64_t releaseDueUs = 0;
    std::int64_t idleSinceUs = -1; // -1: jobs are open
    std::int64_t resumedUs = 0;    // last time that a timer was late
    std::int64_t drainDueUs = 0;   // the end of the drain is checked again

    std::int64_t lastEventUs = -1;      // -1: none yet
    std::int64_t startsHeldUntilUs = 0; // after a pause of the process
    std::int64_t timerUs = INT64_MAX;   // requested from the process
};

} // namespace clementinelift::core
