#include "core/dispatcher_state.h"

#include <algorithm>
#include <cassert>

namespace clementinelift::core {

using namespace detail;

namespace {

constexpr std::int64_t firstQueryPauseUs = 50 * usPerMs;
constexpr std::int64_t maxQueryPauseUs = usPerS;
constexpr std::int64_t queryTimeoutUs = 2 * usPerS; // a query whose answer got lost is sent again
// A request that was cut off may still be read by the backend server, 200 ms later in runs of the fuzzer. Only when the
// backend server says for this long that it does not know the attempt, it is taken as not running.
constexpr std::int64_t notKnownUs = usPerS;
// Of a repeatable task: backend servers differ by a factor of 4 in speed and declared times are off by up to 2.
constexpr std::int64_t leaseFactor = 8;
constexpr std::int64_t leastLeaseMs = 2000; // for tasks that are declared much too short

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
        // The last barrier before a second start: only a queued task of an open job leaves this entry VM.
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
    step.act(StartAttempt{
            .attempt = {settings.self.incarnation, sequence},
            .backend = decision.backend,
            .backendName = backend.name,
            .address = backend.address,
            .organisation = job->organisation,
            .templateName = job->templateName,
            // A copy: the task is sent again when this attempt does not start.
            .payload = job->requests[decision.task.index].payload,
            .leaseMs = std::clamp<std::int64_t>((job->deadlineUs - step.now.monoUs) / usPerMs, 1,
                                                attemptLeaseMs(job->requests[decision.task.index], job->templateId))});
}

// Longest time that an attempt may run. After the loss of an entry VM others run its repeatable jobs again once these
// leases have ended. Jobs that never repeat need no such bound.
std::int64_t Dispatcher::State::attemptLeaseMs(const TaskRequest &task, TemplateId templateId) const
{
    const TemplateParameters &parameters = config.parameters(templateId);
    if (parameters.repeat != Repeat::Allowed)
        return parameters.deadlineMs;
    const std::int64_t declaredMs = task.runMs > 0 ? task.runMs : parameters.runMs;
    return std::max(leastLeaseMs, leaseFactor * declaredMs);
}

// Ends ----------------------------------------------------------------------------------------------

void Dispatcher::State::on(Step &step, AttemptEnded &&event)
{
    const auto found = attempts.find(event.attempt.sequence);
    if (event.attempt.incarnation != settings.self.incarnation || found == attempts.end())
        return; // ended before, or an attempt of an earlier run of this VM
    Attempt &attempt = found->second;
    if (event.outcome == AttemptOutcome::Unknown && jobs.find(attempt.task.job) != nullptr) {
        if (!attempt.resolving) {
            ++counters.attemptsUnknown;
            beginResolving(step, event.attempt.sequence, attempt);
        }
        return;
    }
    // An attempt that was unknown once may have run, whatever a late duplicate says.
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

// A template that was changed to "never" during the job is never repeated; one that was changed to "allowed" keeps the
// promise that was made at the acceptance of the job.
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
    attempt.queryOpen = true;
    attempt.queriedUs = step.now.monoUs;
    attempt.dueUs = step.now.monoUs + queryTimeoutUs;
    timers.add({.atUs = attempt.dueUs, .id = sequence, .kind = TimerKind::AttemptQuery});
    ++counters.queries;
    step.act(QueryAttempt{
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
        return; // resolved before
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
    if (!attempt.queryOpen)
        return; // a duplicate; the next query is due later
    attempt.queryOpen = false;
    if (event.state != AttemptState::NotKnown)
        attempt.notKnownSinceUs = -1;
    else if (attempt.notKnownSinceUs < 0)
        attempt.notKnownSinceUs = step.now.monoUs;
    // The time of the query counts: its answer may have waited for the end of a pause of this process.
    if (attempt.notKnownSinceUs >= 0 && attempt.queriedUs >= attempt.notKnownSinceUs + notKnownUs) {
        // The backend server has restarted and its attempts have ended with it.
        const bool repeatable = mayRunAgain(*jobs.find(attempt.task.job));
        endAttempt(step, sequence, repeatable ? AttemptOutcome::Failed : AttemptOutcome::Unknown,
                   "the backend server does not know the attempt", 0, RetryReason::LostBackend);
        return;
    }
    const std::int64_t pauseUs = std::min(firstQueryPauseUs << std::min<int>(attempt.queries, 8), maxQueryPauseUs);
    attempt.queries = static_cast<std::uint8_t>(std::min(attempt.queries + 1, 255));
    attempt.dueUs = step.now.monoUs + pauseUs;
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
    // Attempts that outlive the deadline are evidence against their backend servers.
    const bool isLate = reason == Reason::DeadlineExceeded || reason == Reason::OutcomeUnknown;
    stopAttempts(step, job, !isLate);
    ++counters.failures[static_cast<std::size_t>(reason)];
    endJob(step, job, makeFailure(reason, mayHaveEffects ? Effects::Possible : Effects::None, std::move(detail)));
}

// Attempts in progress stay known until their end, so that the scheduler can free their slots.
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
        step.act(StopAttempt{{settings.self.incarnation, task.attempt},
                             attempt.backend,
                             scheduler.backend(attempt.backend).address});
        if (!attempt.resolving) {
            if (early)
                scheduler.markStopped(attempt.task);
            continue;
        }
        // Its AttemptEnded has been delivered, no other will follow.
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
    dedupe.finish(job.organisation, job.key, std::move(answer));
    traces.add(job.organisation, job.key, std::move(job.trace));
    jobs.remove(job.id);
}

// Every answer passes here; a caller that has been answered or is gone is not in the table any more.
void Dispatcher::State::reply(Step &step, const Requester &requester, Answer &&answer)
{
    if (raw(requester.node) == 0) {
        if (callers.erase(requester.caller) > 0)
            step.act(AnswerCaller{requester.caller, std::move(answer)});
        return;
    }
    const auto node = nodeNames.find(requester.node);
    if (node != nodeNames.end())
        step.act(SendPeer{node->second, SubmitResult{requester.requestId, std::move(answer)}});
}

} // namespace clementinelift::core
