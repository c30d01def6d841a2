#include "core/dispatcher_state.h"

#include <algorithm>
#include <cassert>

namespace clementinelift::core {

using namespace detail;

namespace {

// Delay before a change that allows repeats applies to keys of other owners. By then the owner has read the change too,
// and does not answer not_run for a key that ran on another entry VM.
constexpr std::int64_t repeatPropagationMs = 10000;
constexpr std::int64_t defaultDeadlineMs = 10000;     // of requests whose template is unknown
constexpr std::int64_t refusalMarginUs = 10 * usPerS; // longest delay of a duplicate after the deadline
constexpr std::size_t traceEventsOfOneTask = 4;       // accepted, started, ended, answered
constexpr int keyTriesPerKey = 4096;                  // with 1/256 of the partitions, 1 of 10^7 keys finds none
constexpr int maxKeyTries = 200000;                   // bounds one request to about 20 ms

} // namespace

// Submissions ---------------------------------------------------------------------------------------

void Dispatcher::State::on(Step &step, SubmitJob &&event)
{
    ++counters.submissions;
    const bool isNew = callers.try_emplace(event.caller).second;
    assert(isNew && "a caller waits for one answer at a time");
    if (!isNew)
        return;
    const Requester requester{.caller = event.caller};
    JobRequest &request = event.request;
    if (joinKnownKey(step, requester, event.wait, request))
        return;
    if (drainFinished) {
        // The process handles its queued events before it exits, but does not wait for forwards.
        refuse(step, requester, request, Statement::AttemptNotRun, Reason::Draining);
        return;
    }
    if (!config.isLoaded() || !ownershipRead) {
        refuse(step, requester, request, Statement::AttemptNotRun, Reason::NotReady);
        return;
    }

    const std::int64_t issueMs = issueTimeMs(request.key);
    const OwnerLookup owner = ownership.find(partitionOf(request.organisation, request.key), issueMs);
    if (owner.coverage == Coverage::TooOld || issueMs < dedupe.floorMs()) {
        refuse(step, requester, request, Statement::AttemptNotRun, Reason::KeyTooOld);
    } else if (isOwn(owner)) {
        acceptOrRefuse(step, requester, event.wait, std::move(request), true);
    } else if (owner.coverage == Coverage::Owned && !mayForward(step.now)) {
        refuse(step, requester, request, Statement::AttemptNotRun, Reason::Draining);
    } else if (owner.coverage == Coverage::Owned) {
        const std::size_t bytes = memoryOf(request);
        if (!jobMemory.tryTake(bytes)) {
            refuse(step, requester, request, Statement::AttemptNotRun, Reason::QueueFull);
            return;
        }
        Forward newForward;
        newForward.memoryBytes = bytes;
        newForward.kind = SubmitKind::Submit;
        newForward.caller = event.caller;
        newForward.wait = event.wait;
        newForward.mayRepeat = mayRepeat(request.templateName, step.now);
        newForward.deadlineUs = step.now.monoUs + deadlineMsOf(request) * usPerMs;
        newForward.request = std::move(request);
        startForward(step, std::move(newForward), owner);
    } else {
        submitUnowned(step, requester, event.wait, std::move(request));
    }
}

// Handles a submission whose key has no owner: only templates that allow repeats run.
void Dispatcher::State::submitUnowned(Step &step, const Requester &requester, bool wait, JobRequest &&request)
{
    const std::int64_t issueMs = issueTimeMs(request.key);
    if (issueMs > step.now.wallMs + settings.futureSkewMs)
        refuse(step, requester, request, Statement::AttemptNotRun, Reason::KeyInFuture);
    else if (issueMs < step.now.wallMs - settings.dedupeHorizonMs)
        refuse(step, requester, request, Statement::AttemptNotRun, Reason::KeyTooOld);
    else if (!mayRepeat(request.templateName, step.now) || !mayForward(step.now))
        acceptOrRefuse(step, requester, wait, std::move(request), false);
    else
        forwardToSubstitute(step, requester.caller, wait, std::move(request));
}

void Dispatcher::State::onPeer(Step &step, const PeerMessageReceived &from, SubmitForward &&message)
{
    const Requester requester{.node = from.incarnation, .requestId = message.requestId};
    JobRequest &request = message.request;
    if (message.kind == SubmitKind::Fetch) {
        if (!fetchKnownKey(step, requester, request.organisation, request.key, message.waitMs))
            answerUnknownKey(step, requester);
        return;
    }
    if (message.kind == SubmitKind::Cancel) {
        if (!cancelKnownKey(step, requester, request.organisation, request.key))
            answerUnknownKey(step, requester);
        return;
    }
    const bool isSubstitute = message.kind == SubmitKind::Substitute;

    ++counters.forwardsReceived;
    if (const Refusal *refusal = refusals.find({from.incarnation, message.requestId})) {
        reply(step, requester, makeRefusal(refusal->statement, refusal->reason));
        return;
    }
    if (joinKnownKey(step, requester, message.waitMs >= 0, request))
        return;
    // A refusal that cannot be stored must not be sent, since a duplicate could start later. The sender retries.
    if (refusals.isFull())
        return;
    const OwnerLookup owner = ownership.find(partitionOf(request.organisation, request.key), issueTimeMs(request.key));
    if (owner.coverage == Coverage::TooOld || issueTimeMs(request.key) < dedupe.floorMs())
        refuse(step, requester, request, Statement::AttemptNotRun, Reason::KeyTooOld);
    else if (isOwn(owner) || (isSubstitute && !isReachable(owner)))
        acceptOrRefuse(step, requester, message.waitMs >= 0, std::move(request), isOwn(owner));
    else
        refuse(step, requester, request, Statement::AttemptNotRun, Reason::NoGrant);
}

// True when the link to the owner is up; then the owner runs the job itself.
bool Dispatcher::State::isReachable(const OwnerLookup &owner) const
{
    const auto link = links.find(owner.node);
    return owner.coverage == Coverage::Owned && link != links.end() && link->second.up
            && link->second.incarnation == owner.incarnation;
}

bool Dispatcher::State::joinKnownKey(Step &step, const Requester &requester, bool wait, const JobRequest &request)
{
    const KeyLookup known = dedupe.find(request.organisation, request.key);
    if (known.state == KeyState::Absent)
        return false;
    if (known.bodyHash != request.bodyHash) {
        refuse(step, requester, request, Statement::AttemptNotRun, Reason::KeyReused);
        return true;
    }
    ++counters.joins;
    if (known.state != KeyState::Running) {
        answerStored(step, requester, known);
        return true;
    }
    Job *job = jobs.find(known.job);
    assert(job != nullptr);
    job->trace.add(step.now.wallMs, TraceStep::Joined, 0, 0);
    if (wait)
        addWaiter(step, *job, requester, INT64_MAX);
    else
        reply(step, requester, Answer{});
    return true;
}

// Requires that the dedupe table does not contain the key.
void Dispatcher::State::acceptOrRefuse(Step &step, const Requester &requester, bool wait, JobRequest &&request,
                                       bool owned)
{
    const Reason reason = tryAccept(step, requester, wait, request, owned);
    if (reason == Reason::None)
        return;
    // From the release time on another entry VM may own the key and start its job.
    const bool ownsForGood =
            owned && reason != Reason::KeyTooOld && !(draining && issueTimeMs(request.key) >= releaseAtMs);
    const Statement statement = ownsForGood ? statementOfOwner(request.templateName) : Statement::AttemptNotRun;
    refuse(step, requester, request, statement, reason);
}

// Moves from the request when it returns None, having taken its memory, and leaves the request unchanged otherwise.
Reason Dispatcher::State::tryAccept(Step &step, const Requester &requester, bool wait, JobRequest &request, bool owned)
{
    OrganisationId organisation{};
    TemplateId templateId{};
    Reason reason = checkRequest(request, organisation, templateId, step.now);
    if (reason == Reason::None && !owned && !mayRepeat(request.templateName, step.now))
        reason = Reason::NoGrant;
    if (reason == Reason::None && !request.tasks.empty()) {
        reason = scheduler.admit({.job = JobId{},
                                  .organisation = organisation,
                                  .templateId = templateId,
                                  .deadlineUs = step.now.monoUs + deadlineMsOf(request) * usPerMs,
                                  .tasks = request.tasks},
                                 step.now);
    }
    const std::int64_t startUs = owned || reason != Reason::None ? 0 : ownerLeasesEndUs(request, step.now);
    if (reason == Reason::None && startUs >= step.now.monoUs + deadlineMsOf(request) * usPerMs)
        reason = Reason::OwnerGone;
    if (reason == Reason::None && !jobMemory.tryTake(memoryOf(request)))
        reason = Reason::QueueFull;
    if (reason == Reason::None)
        accept(step, requester, wait, std::move(request), organisation, templateId, startUs);
    return reason;
}

Reason Dispatcher::State::checkRequest(const JobRequest &request, OrganisationId &organisation, TemplateId &templateId,
                                       const Now &now) const
{
    const std::int64_t issueMs = issueTimeMs(request.key);
    if (issueMs < dedupe.floorMs())
        return Reason::KeyTooOld;
    if (draining)
        return Reason::Draining;
    if (issueMs > now.wallMs + settings.futureSkewMs)
        return Reason::KeyInFuture;
    if (!config.isLoaded())
        return Reason::NotReady;
    const auto foundOrganisation = config.findOrganisation(request.organisation);
    if (!foundOrganisation || !config.isInForce(*foundOrganisation))
        return Reason::UnknownOrganisation;
    const auto foundTemplate = config.findTemplate(request.templateName);
    if (!foundTemplate || !config.isInForce(*foundTemplate))
        return Reason::UnknownTemplate;
    organisation = *foundOrganisation;
    templateId = *foundTemplate;
    const auto &allowed = config.parameters(organisation).allowedTemplates;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), request.templateName) == allowed.end())
        return Reason::TemplateNotAllowed;
    if (request.tasks.size() > config.parameters(templateId).maxTasks)
        return Reason::TooManyTasks;
    if (dedupe.isFull())
        return Reason::DedupeFull;
    return Reason::None;
}

void Dispatcher::State::accept(Step &step, const Requester &requester, bool wait, JobRequest &&request,
                               OrganisationId organisation, TemplateId templateId, std::int64_t startUs)
{
    const std::int64_t deadlineMs = deadlineMsOf(request);
    Job &job = jobs.add();
    job.memoryBytes = memoryOf(request);
    job.key = request.key;
    job.organisation = std::move(request.organisation);
    job.templateName = std::move(request.templateName);
    job.templateId = templateId;
    job.repeat = config.parameters(templateId).repeat;
    job.deadlineUs = step.now.monoUs + deadlineMs * usPerMs;
    job.requests = std::move(request.tasks);
    job.tasks.resize(job.requests.size());
    job.trace.events.reserve(traceEventsOfOneTask);
    job.trace.add(step.now.wallMs, TraceStep::Accepted, 0, static_cast<std::uint32_t>(job.tasks.size()));
    dedupe.add(job.organisation, job.key, request.bodyHash, job.id);
    maxAcceptedIssueMs = std::max(maxAcceptedIssueMs, issueTimeMs(job.key));
    timers.add({.atUs = job.deadlineUs, .id = raw(job.id), .kind = TimerKind::JobDeadline});
    if (wait)
        addWaiter(step, job, requester, INT64_MAX);
    else
        reply(step, requester, Answer{});

    if (job.tasks.empty()) {
        completeJob(step, job);
        return;
    }
    job.organisationId = organisation;
    if (startUs > step.now.monoUs)
        timers.add({.atUs = startUs, .id = raw(job.id), .kind = TimerKind::JobStart});
    else
        enqueueJob(step, job);
}

void Dispatcher::State::enqueueJob(Step &step, const Job &job)
{
    scheduler.enqueue({.job = job.id,
                       .organisation = job.organisationId,
                       .templateId = job.templateId,
                       .deadlineUs = job.deadlineUs,
                       .tasks = job.requests},
                      step.now);
}

void Dispatcher::State::refuse(Step &step, const Requester &requester, const JobRequest &request, Statement statement,
                               Reason reason)
{
    ++counters.refusals[static_cast<std::size_t>(reason)];
    // Duplicates with a reused or old key are refused anyway, so these refusals are not stored.
    const bool staysRefused = reason == Reason::KeyReused || reason == Reason::KeyTooOld;
    if (raw(requester.node) != 0 && !staysRefused) {
        const std::int64_t untilUs = step.now.monoUs + deadlineMsOf(request) * usPerMs + refusalMarginUs;
        refusals.add({requester.node, requester.requestId}, {statement, reason}, untilUs);
    }
    reply(step, requester, makeRefusal(statement, reason));
}

// Jobs whose template allows repeats may have run on an entry VM that could not reach the owner. While the
// configuration may be out of date, the owner cannot tell whether other entry VMs let the template repeat.
Statement Dispatcher::State::statementOfOwner(std::string_view templateName) const
{
    const bool mayHaveRunElsewhere = configDown || repeatAllowedSinceMs.contains(templateName);
    return mayHaveRunElsewhere ? Statement::AttemptNotRun : Statement::NotRun;
}

// True when a job of the template may run here without being the owner of its key.
bool Dispatcher::State::mayRepeat(std::string_view templateName, const Now &now) const
{
    const auto id = config.findTemplate(templateName);
    if (!id || !config.isInForce(*id) || config.parameters(*id).repeat != Repeat::Allowed)
        return false;
    const auto since = repeatAllowedSinceMs.find(templateName);
    return since != repeatAllowedSinceMs.end() && since->second + repeatPropagationMs <= now.wallMs;
}

std::int64_t Dispatcher::State::deadlineMsOf(const JobRequest &request) const
{
    const auto id = config.findTemplate(request.templateName);
    const std::int64_t longest = id ? config.parameters(*id).deadlineMs : defaultDeadlineMs;
    return request.deadlineMs > 0 ? std::min(request.deadlineMs, longest) : longest;
}

// Fetches and cancellations -------------------------------------------------------------------------

void Dispatcher::State::on(Step &step, FetchAnswer &&event)
{
    const bool isNew = callers.try_emplace(event.caller).second;
    assert(isNew && "a caller waits for one answer at a time");
    const Requester requester{.caller = event.caller};
    if (!isNew || fetchKnownKey(step, requester, event.organisation, event.key, event.waitMs))
        return;
    forwardFetchOrCancel(step, SubmitKind::Fetch, event.caller, std::move(event.organisation), event.key, event.waitMs);
}

void Dispatcher::State::on(Step &step, CancelJob &&event)
{
    const bool isNew = callers.try_emplace(event.caller).second;
    assert(isNew && "a caller waits for one answer at a time");
    const Requester requester{.caller = event.caller};
    if (!isNew || cancelKnownKey(step, requester, event.organisation, event.key))
        return;
    forwardFetchOrCancel(step, SubmitKind::Cancel, event.caller, std::move(event.organisation), event.key, 0);
}

void Dispatcher::State::forwardFetchOrCancel(Step &step, SubmitKind kind, CallerId caller, std::string &&organisation,
                                             const Key &key, std::int64_t waitMs)
{
    const OwnerLookup owner = ownership.find(partitionOf(organisation, key), issueTimeMs(key));
    if (owner.coverage != Coverage::Owned || isOwn(owner) || drainFinished) {
        answerUnknownKey(step, Requester{.caller = caller});
        return;
    }
    if (!mayForward(step.now)) {
        ++counters.refusals[static_cast<std::size_t>(Reason::Draining)];
        reply(step, Requester{.caller = caller}, makeRefusal(Statement::AttemptNotRun, Reason::Draining));
        return;
    }
    Forward newForward;
    newForward.kind = kind;
    newForward.caller = caller;
    newForward.waitMs = waitMs;
    newForward.deadlineUs = step.now.monoUs + (waitMs + 2 * settings.forwardTimeoutMs) * usPerMs;
    newForward.request.organisation = std::move(organisation);
    newForward.request.key = key;
    startForward(step, std::move(newForward), owner);
}

bool Dispatcher::State::fetchKnownKey(Step &step, const Requester &requester, std::string_view organisation,
                                      const Key &key, std::int64_t waitMs)
{
    const KeyLookup known = dedupe.find(organisation, key);
    if (known.state == KeyState::Absent)
        return false;
    if (known.state != KeyState::Running) {
        answerStored(step, requester, known);
    } else if (waitMs <= 0) {
        reply(step, requester, Answer{});
    } else {
        Job *job = jobs.find(known.job);
        assert(job != nullptr);
        addWaiter(step, *job, requester, step.now.monoUs + waitMs * usPerMs);
    }
    return true;
}

bool Dispatcher::State::cancelKnownKey(Step &step, const Requester &requester, std::string_view organisation,
                                       const Key &key)
{
    const KeyLookup known = dedupe.find(organisation, key);
    if (known.state == KeyState::Absent)
        return false;
    if (known.state != KeyState::Running) {
        answerStored(step, requester, known);
        return true;
    }
    Job *job = jobs.find(known.job);
    assert(job != nullptr);
    addWaiter(step, *job, requester, INT64_MAX);
    failJob(step, *job, Reason::Cancelled, "");
    return true;
}

// Only the owner knows what ran, and it may have removed the key, so effects are possible.
void Dispatcher::State::answerUnknownKey(Step &step, const Requester &requester)
{
    reply(step, requester, makeFailure(Reason::UnknownKey, Effects::Possible, ""));
}

void Dispatcher::State::answerStored(Step &step, const Requester &requester, const KeyLookup &known)
{
    if (known.state == KeyState::Failed) {
        reply(step, requester, makeFailure(known.reason, known.effects, ""));
    } else if (known.results != nullptr) {
        Answer answer;
        answer.kind = AnswerKind::Complete;
        answer.results = *known.results;
        reply(step, requester, std::move(answer));
    } else {
        ++counters.failures[static_cast<std::size_t>(Reason::AnswerDropped)];
        reply(step, requester,
              makeFailure(Reason::AnswerDropped, Effects::Possible, "the answer is not stored any more"));
    }
}

// Waiters -------------------------------------------------------------------------------------------

void Dispatcher::State::addWaiter(Step &step, Job &job, const Requester &requester, std::int64_t timeoutUs)
{
    (void)step;
    // A duplicate of a forwarded request adds no second waiter, so that it is answered once.
    const auto same = [&](const Waiter &waiter) { return waiter.requester == requester; };
    if (std::any_of(job.waiters.begin(), job.waiters.end(), same))
        return;
    const std::uint64_t serial = nextWaiter++;
    job.waiters.push_back({requester, serial});
    if (raw(requester.node) == 0)
        callers[requester.caller] = {AnswerSource::Kind::Job, raw(job.id)};
    if (timeoutUs != INT64_MAX)
        timers.add({.atUs = timeoutUs, .id = raw(job.id), .serial = serial, .kind = TimerKind::WaiterTimeout});
}

void Dispatcher::State::onWaiterTimeout(Step &step, JobId id, std::uint64_t serial)
{
    Job *job = jobs.find(id);
    if (job == nullptr)
        return;
    const auto waiter = std::find_if(job->waiters.begin(), job->waiters.end(),
                                     [&](const Waiter &candidate) { return candidate.serial == serial; });
    if (waiter == job->waiters.end())
        return;
    const Requester requester = waiter->requester;
    job->waiters.erase(waiter);
    reply(step, requester, Answer{});
}

void Dispatcher::State::on(Step &step, CallerGone &&event)
{
    (void)step;
    const auto found = callers.find(event.caller);
    if (found == callers.end())
        return;
    if (found->second.kind == AnswerSource::Kind::Job) {
        if (Job *job = jobs.find(JobId(found->second.id))) {
            const Requester requester{.caller = event.caller};
            const auto waiter = std::find_if(job->waiters.begin(), job->waiters.end(),
                                             [&](const Waiter &candidate) { return candidate.requester == requester; });
            if (waiter != job->waiters.end())
                job->waiters.erase(waiter);
        }
    } else if (found->second.kind == AnswerSource::Kind::Forward) {
        const auto forwarded = forwards.find(found->second.id);
        if (forwarded != forwards.end())
            forwarded->second.hasCaller = false;
    }
    callers.erase(event.caller);
}

// Keys and traces -----------------------------------------------------------------------------------

void Dispatcher::State::on(Step &step, RequestKeys &&event)
{
    AnswerKeys answer{.caller = event.caller, .keys = {}};
    if (draining)
        answer.reason = Reason::Draining;
    else if (!config.isLoaded() || !ownershipRead)
        answer.reason = Reason::NotReady;
    else if (const auto id = config.findOrganisation(event.organisation); !id || !config.isInForce(*id))
        answer.reason = Reason::UnknownOrganisation;
    if (answer.reason != Reason::None) {
        step.emit(std::move(answer));
        return;
    }
    const int tries = std::min<std::int64_t>(maxKeyTries, std::int64_t(event.count) * keyTriesPerKey);
    for (int i = 0; i < tries && answer.keys.size() < event.count; ++i) {
        const std::uint64_t high = random();
        const Key key = makeKey(step.now.wallMs, high, random());
        if (isOwn(ownership.find(partitionOf(event.organisation, key), step.now.wallMs)))
            answer.keys.push_back(key);
    }
    if (answer.keys.empty())
        answer.reason = Reason::NoGrant;
    step.emit(std::move(answer));
}

void Dispatcher::State::on(Step &step, RequestTrace &&event)
{
    AnswerTrace answer{.caller = event.caller, .entries = {}};
    const KeyLookup known = dedupe.find(event.organisation, event.key);
    if (known.state == KeyState::Running)
        answer.entries = render(jobs.find(known.job)->trace);
    else if (const Trace *trace = traces.find(event.organisation, event.key))
        answer.entries = render(*trace);
    step.emit(std::move(answer));
}

} // namespace clementinelift::core
