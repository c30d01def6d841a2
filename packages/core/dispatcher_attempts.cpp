#include "core/dispatcher_state.h"

#include <algorithm>
#include <cassert>

namespace clementinelift::core {

using namespace detail;

namespace {

constexpr std::int64_t firstQueryDelayUs = 50 * usPerMs;
constexpr std::int64_t maxQueryDelayUs = usPerS;
constexpr std::int64_t queryTimeoutUs = 2 * usPerS; // an unanswered query is sent again
// After a broken connection the backend server may still read the request, up to 200 ms later in fuzzer runs. The
// attempt counts as not running once the backend server has replied NotKnown for this long.
constexpr std::int64_t notKnownConfirmUs = usPerS;
// Lease of a repeatable task, in declared run times: backend servers differ by a factor of 4 in speed, and declared run
// times are off by a factor of up to 2.
constexpr std::int64_t leaseFactor = 8;
constexpr std::int64_t minLeaseMs = 2000; // for tasks whose declared run time is much too short

RetryReason retryReasonOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Busy:
        return RetryReason::Busy;
    case AttemptOutcome::NotStarted:
        return RetryReason::NotStarted;
    default:
        return RetryReason::Failed;
    }
}

Reason failureReasonOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Unknown:
        return Reason::OutcomeUnknown;
    case AttemptOutcome::Busy:
    case AttemptOutcome::NotStarted:
        return Reason::NoBackend;
    default:
        return Reason::TaskFailed;
    }
}

bool mayHaveRun(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::NotStarted && outcome != AttemptOutcome::Busy;
}

} // namespace

// Starts --------------------------------------------------------------------------------------------

void Dispatcher::State::startAttempt(Step &step, const StartDecision &decision)
{
    Job *job = jobs.find(decision.task.job);
    const bool startable = job != nullptr && job->tasks[decision.task.index].state == TaskState::Queued;
    if (!startable) {
        // Last check against a second start: only queued tasks of open jobs are started.
        const NextStep next = scheduler.onAttemptEnded(decision.task, AttemptOutcome::NotStarted, 0, false, step.now);
        if (next == NextStep::Retry && job == nullptr)
            scheduler.cancelQueued(decision.task.job, step.now);
        return;
    }
    const std::uint64_t sequence = nextAttempt++;
    attempts.emplace(sequence, Attempt{.task = decision.task, .backend = decision.backend});
    Task &task = job->tasks[decision.task.index];
    task.state = TaskState::Running;
    task.attempt = sequence;
    ++job->inProgress;
    ++counters.attempts;
    job->trace.add(step.now.wallMs, TraceStep::Started, decision.task.index, raw(decision.backend));

    const BackendInfo &backend = scheduler.backend(decision.backend);
    step.emit(StartAttempt{
            .attempt = {settings.self.incarnation, sequence},
            .backend = decision.backend,
            .backendName = backend.name,
            .address = backend.address,
            .organisation = job->organisation,
            .templateName = job->templateName,
            // Copied, because the task is sent again when this attempt does not start.
            .payload = job->requests[decision.task.index].payload,
            .leaseMs = std::clamp<std::int64_t>((job->deadlineUs - step.now.monoUs) / usPerMs, 1,
                                                attemptLeaseMs(job->requests[decision.task.index], job->templateId))});
}

// Longest time that an attempt may run. After the loss of an entry VM, others run its repeatable jobs again once these
// leases have expired. Jobs that never repeat need no such limit; their lease is the longest deadline.
std::int64_t Dispatcher::State::attemptLeaseMs(const TaskRequest &task, TemplateId templateId) const
{
    const TemplateParameters &parameters = config.parameters(templateId);
    if (parameters.repeat != Repeat::Allowed)
        return parameters.deadlineMs;
    const std::int64_t declaredMs = task.runMs > 0 ? task.runMs : parameters.runMs;
    return std::max(minLeaseMs, leaseFactor * declaredMs);
}

// Ends ----------------------------------------------------------------------------------------------

void Dispatcher::State::on(Step &step, AttemptEnded &&event)
{
    const auto found = attempts.find(event.attempt.sequence);
    if (event.attempt.incarnation != settings.self.incarnation || found == attempts.end())
        return; // ended before, or started by an earlier incarnation of this entry VM
    Attempt &attempt = found->second;
    if (event.outcome == AttemptOutcome::Unknown && jobs.find(attempt.task.job) != nullptr) {
        if (!attempt.resolving) {
            ++counters.attemptsUnknown;
            beginResolving(step, event.attempt.sequence, attempt);
        }
        return;
    }
    // An attempt whose outcome was unknown may have run, even if a late duplicate reports that it did not start.
    if (attempt.resolving && !mayHaveRun(event.outcome))
        return;
    endAttempt(step, event.attempt.sequence, event.outcome, std::move(event.result), event.serviceUs,
               retryReasonOf(event.outcome));
}

void Dispatcher::State::endAttempt(Step &step, std::uint64_t sequence, AttemptOutcome outcome, std::string &&result,
                                   std::uint32_t serviceUs, RetryReason retryReason)
{
    const auto found = attempts.find(sequence);
    assert(found != attempts.end());
    const Attempt attempt = found->second;
    attempts.erase(found);
    counters.attemptsBusy += outcome == AttemptOutcome::Busy ? 1 : 0;
    counters.attemptsNotStarted += outcome == AttemptOutcome::NotStarted ? 1 : 0;
    counters.attemptsFailed += outcome == AttemptOutcome::Failed ? 1 : 0;

    Job *job = jobs.find(attempt.task.job);
    if (job == nullptr) {
        if (outcome == AttemptOutcome::Unknown)
            ++counters.attemptsUnknown;
        if (scheduler.onAttemptEnded(attempt.task, outcome, serviceUs, false, step.now) == NextStep::Retry)
            scheduler.cancelQueued(attempt.task.job, step.now);
        return;
    }

    Task &task = job->tasks[attempt.task.index];
    assert(task.attempt == sequence);
    task.attempt = 0;
    --job->inProgress;
    job->resolving -= attempt.resolving ? 1 : 0;
    job->mayHaveEffects = job->mayHaveEffects || mayHaveRun(outcome);
    job->trace.add(step.now.wallMs, TraceStep::Ended, attempt.task.index, static_cast<std::uint32_t>(outcome));

    const bool repeatable = mayRunAgain(*job);
    const NextStep next = scheduler.onAttemptEnded(attempt.task, outcome, serviceUs, repeatable, step.now);
    if (outcome == AttemptOutcome::Completed) {
        task.state = TaskState::Completed;
        task.result = std::move(result);
        if (++job->completed == job->tasks.size())
            completeJob(step, *job);
        return;
    }
    const bool startsAgain = next == NextStep::Retry && (!mayHaveRun(outcome) || repeatable);
    if (startsAgain) {
        task.state = TaskState::Queued;
        ++counters.retries[static_cast<std::size_t>(retryReason)];
        job->trace.add(step.now.wallMs, TraceStep::Requeued, attempt.task.index,
                       static_cast<std::uint32_t>(retryReason));
        return;
    }
    task.state = TaskState::Dropped;
    failJob(step, *job, failureReasonOf(outcome), std::move(result));
}

// The template must have allowed repeats when the job was accepted and must allow them now: a change during the job can
// forbid repeats, but not permit them.
bool Dispatcher::State::mayRunAgain(const Job &job) const
{
    return job.repeat == Repeat::Allowed && config.isInForce(job.templateId)
            && config.parameters(job.templateId).repeat == Repeat::Allowed;
}

// Unknown outcomes ----------------------------------------------------------------------------------

void Dispatcher::State::beginResolving(Step &step, std::uint64_t sequence, Attempt &attempt)
{
    Job *job = jobs.find(attempt.task.job);
    attempt.resolving = true;
    job->tasks[attempt.task.index].state = TaskState::Resolving;
    ++job->resolving;
    job->mayHaveEffects = true;
    job->trace.add(step.now.wallMs, TraceStep::Resolving, attempt.task.index, 0);
    sendQuery(step, sequence, attempt);
}

void Dispatcher::State::sendQuery(Step &step, std::uint64_t sequence, Attempt &attempt)
{
    attempt.queryPending = true;
    attempt.lastQueryUs = step.now.monoUs;
    attempt.dueUs = step.now.monoUs + queryTimeoutUs;
    timers.add({.atUs = attempt.dueUs, .id = sequence, .kind = TimerKind::AttemptQuery});
    ++counters.queries;
    step.emit(QueryAttempt{
            {settings.self.incarnation, sequence}, attempt.backend, scheduler.backend(attempt.backend).address});
}

void Dispatcher::State::onQueryTimer(Step &step, std::uint64_t sequence, std::int64_t atUs)
{
    const auto found = attempts.find(sequence);
    if (found != attempts.end() && found->second.resolving && found->second.dueUs == atUs)
        sendQuery(step, sequence, found->second);
}

void Dispatcher::State::on(Step &step, AttemptStatus &&event)
{
    const auto found = attempts.find(event.attempt.sequence);
    if (event.attempt.incarnation != settings.self.incarnation || found == attempts.end() || !found->second.resolving)
        return; // the outcome is already known
    const std::uint64_t sequence = event.attempt.sequence;
    Attempt &attempt = found->second;
    if (event.state == AttemptState::Completed) {
        endAttempt(step, sequence, AttemptOutcome::Completed, std::move(event.result), 0, RetryReason::Failed);
        return;
    }
    if (event.state == AttemptState::Failed) {
        endAttempt(step, sequence, AttemptOutcome::Failed, std::move(event.result), 0, RetryReason::Failed);
        return;
    }
    if (!attempt.queryPending)
        return; // a duplicate reply; the next query has its own timer
    attempt.queryPending = false;
    if (event.state != AttemptState::NotKnown)
        attempt.notKnownSinceUs = -1;
    else if (attempt.notKnownSinceUs < 0)
        attempt.notKnownSinceUs = step.now.monoUs;
    // Compares the time of the query, not of the reply: a pause of this process may have delayed the reply.
    if (attempt.notKnownSinceUs >= 0 && attempt.lastQueryUs >= attempt.notKnownSinceUs + notKnownConfirmUs) {
        // The backend server has restarted, which ended its attempts.
        const bool repeatable = mayRunAgain(*jobs.find(attempt.task.job));
        endAttempt(step, sequence, repeatable ? AttemptOutcome::Failed : AttemptOutcome::Unknown,
                   "the backend server does not know the attempt", 0, RetryReason::LostBackend);
        return;
    }
    const std::int64_t delayUs =
            std::min(firstQueryDelayUs << std::min<int>(attempt.inconclusiveQueries, 8), maxQueryDelayUs);
    attempt.inconclusiveQueries = static_cast<std::uint8_t>(std::min(attempt.inconclusiveQueries + 1, 255));
    attempt.dueUs = step.now.monoUs + delayUs;
    timers.add({.atUs = attempt.dueUs, .id = sequence, .kind = TimerKind::AttemptQuery});
}

// Ends of jobs --------------------------------------------------------------------------------------

void Dispatcher::State::onDeadline(Step &step, JobId id)
{
    Job *job = jobs.find(id);
    if (job == nullptr)
        return;
    const Reason reason = job->resolving > 0 ? Reason::OutcomeUnknown : Reason::DeadlineExceeded;
    failJob(step, *job, reason, "the deadline passed");
}

void Dispatcher::State::completeJob(Step &step, Job &job)
{
    Answer answer;
    answer.kind = AnswerKind::Complete;
    answer.results.reserve(job.tasks.size());
    for (Task &task : job.tasks)
        answer.results.push_back(std::move(task.result));
    ++counters.completed;
    endJob(step, job, std::move(answer));
}

void Dispatcher::State::failJob(Step &step, Job &job, Reason reason, std::string detail)
{
    const bool mayHaveEffects = job.mayHaveEffects || job.inProgress > 0;
    counters.tasksDropped += scheduler.cancelQueued(job.id, step.now);
    // An attempt that runs past the deadline counts against its backend server; one that is stopped early does not.
    const bool isLate = reason == Reason::DeadlineExceeded || reason == Reason::OutcomeUnknown;
    stopAttempts(step, job, !isLate);
    ++counters.failures[static_cast<std::size_t>(reason)];
    endJob(step, job, makeFailure(reason, mayHaveEffects ? Effects::Possible : Effects::None, std::move(detail)));
}

// Attempts in progress stay in the table until they end, so that the scheduler can free their slots.
void Dispatcher::State::stopAttempts(Step &step, Job &job, bool early)
{
    if (job.inProgress == 0)
        return;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const Task &task = job.tasks[index];
        if (task.attempt == 0)
            continue;
        const auto found = attempts.find(task.attempt);
        assert(found != attempts.end());
        const Attempt attempt = found->second;
        ++counters.stops;
        step.emit(StopAttempt{{settings.self.incarnation, task.attempt},
                              attempt.backend,
                              scheduler.backend(attempt.backend).address});
        if (!attempt.resolving) {
            if (early)
                scheduler.markStopped(attempt.task);
            continue;
        }
        // The AttemptEnded event of this attempt was already handled; no other follows.
        attempts.erase(found);
        if (scheduler.onAttemptEnded(attempt.task, AttemptOutcome::Unknown, 0, false, step.now) == NextStep::Retry)
            scheduler.cancelQueued(job.id, step.now);
    }
}

void Dispatcher::State::endJob(Step &step, Job &job, Answer &&answer)
{
    job.trace.add(step.now.wallMs, TraceStep::Answered, 0, static_cast<std::uint32_t>(answer.reason));
    for (const Waiter &waiter : job.waiters)
        reply(step, waiter.requester, Answer(answer));
    dedupe.storeAnswer(job.organisation, job.key, std::move(answer));
    traces.add(job.organisation, job.key, std::move(job.trace));
    jobMemory.release(job.memoryBytes);
    jobs.remove(job.id);
}

// Sends every answer. Callers that were answered or have disconnected are no longer in the table and get nothing.
void Dispatcher::State::reply(Step &step, const Requester &requester, Answer &&answer)
{
    if (raw(requester.node) == 0) {
        if (callers.erase(requester.caller) > 0)
            step.emit(AnswerCaller{requester.caller, std::move(answer)});
        return;
    }
    const auto node = nodeNames.find(requester.node);
    if (node != nodeNames.end())
        step.emit(SendPeer{node->second, SubmitResult{requester.requestId, std::move(answer)}});
}

} // namespace clementinelift::core
