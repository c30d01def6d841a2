// Definitions of BasicScheduler: queue, ends of attempts, starts. Included by basic_scheduler.h only.
#pragma once

namespace clementinelift::core {

// Queue ---------------------------------------------------------------------------------------------

template <SlotPolicy P> void BasicScheduler<P>::enqueue(const JobDescription &description, Now now)
{
    assert(!m_jobs.contains(description.job));
    if (m_generation != m_configuration.generation())
        onConfiguration(now);
    const TaskShape templateDefaults = templateShape(description.templateId);
    auto &organisation = m_organisations[raw(description.organisation)];
    auto &job = m_jobs[description.job];
    job.queueEntry = {organisation.parameters.priority * 10 + m_templates[raw(description.templateId)].priority,
                      description.organisation, description.deadlineUs, description.job};
    job.templateId = description.templateId;
    job.tasks.reserve(description.tasks.size());
    for (const TaskRequest &request : description.tasks) {
        const TaskShape shape = shapeOf(request, templateDefaults);
        job.tasks.push_back(ScheduledTask{shape.declaredUs, shape.cores, shape.memoryMb});
        countQueued(job, job.tasks.back(), 1);
    }
    job.openTasks = static_cast<std::uint32_t>(job.tasks.size());
    organisation.arrivals += job.openTasks;
    for (std::uint32_t i = job.openTasks; i-- > 0;)
        pushTask(job, i);
    setTimer(description.deadlineUs, SchedulerTimerKind::JobDeadline, TaskRef{description.job, 0}, 0);
    m_startsDue = true;
}

template <SlotPolicy P> void BasicScheduler<P>::pushTask(ScheduledJob &job, std::uint32_t index)
{
    job.tasks[index].phase = TaskPhase::Queued;
    job.queued.push_back(index);
    ++m_readyTasks;
    if (job.queued.size() == 1)
        m_queue.insert(job.queueEntry);
}

// Removes the next task from the queue; the caller sets its phase.
template <SlotPolicy P> std::uint32_t BasicScheduler<P>::takeTask(ScheduledJob &job)
{
    const std::uint32_t index = job.queued.back();
    job.queued.pop_back();
    --m_readyTasks;
    m_queue.charge(job.queueEntry, m_model.baseUs(shapeOf(job, job.tasks[index])));
    if (job.queued.empty())
        m_queue.erase(job.queueEntry);
    return index;
}

template <SlotPolicy P> void BasicScheduler<P>::countQueued(ScheduledJob &job, const ScheduledTask &task, int change)
{
    auto &owner = organisation(job);
    auto &classWork = m_classWorkUs[job.queueEntry.priorityClass];
    // The declared time does not change while the task waits, so that the same work is added and subtracted.
    const double work = task.declaredUs * m_model.scale();
    m_queuedTasks += change;
    owner.queued += change;
    owner.queuedWorkUs = owner.queued == 0 ? 0 : std::max(0.0, owner.queuedWorkUs + change * work);
    classWork = m_queuedTasks == 0 ? 0 : std::max(0.0, classWork + change * work);
}

template <SlotPolicy P> void BasicScheduler<P>::endTask(JobId id, ScheduledJob &job, ScheduledTask &task)
{
    task.phase = TaskPhase::Ended;
    if (--job.openTasks == 0)
        m_jobs.erase(id);
}

// Drops all tasks of the job that are not running. With a reason, each dropped task becomes a DropDecision.
template <SlotPolicy P> std::uint32_t BasicScheduler<P>::closeJob(JobId id, Reason reason)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return 0;
    auto &job = found->second;
    job.closed = true;
    if (!job.queued.empty())
        m_queue.erase(job.queueEntry);
    m_readyTasks -= static_cast<std::uint32_t>(job.queued.size());
    job.queued.clear();
    std::uint32_t dropped = 0;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        auto &task = job.tasks[i];
        if (task.phase == TaskPhase::Running || task.phase == TaskPhase::Ended)
            continue;
        if (task.phase == TaskPhase::Requested)
            m_requests.at(task.request).taskWaiting = false;
        countQueued(job, task, -1);
        task.phase = TaskPhase::Ended;
        ++dropped;
        if (reason != Reason::None) {
            const Reason dropReason = task.budgetDenials > 0 ? Reason::RetryBudget : reason;
            m_drops.push_back({TaskRef{id, i}, dropReason});
            ++m_counters.drops[static_cast<std::size_t>(dropReason)];
        }
    }
    job.openTasks -= dropped;
    if (job.openTasks == 0)
        m_jobs.erase(found);
    return dropped;
}

template <SlotPolicy P> std::uint32_t BasicScheduler<P>::cancelQueued(JobId job, Now)
{
    return closeJob(job, Reason::None);
}

template <SlotPolicy P> void BasicScheduler<P>::markStopped(TaskRef ref)
{
    const auto found = m_jobs.find(ref.job);
    assert(found != m_jobs.end() && found->second.tasks[ref.index].phase == TaskPhase::Running);
    found->second.tasks[ref.index].stopped = true;
}

// Ends of attempts ----------------------------------------------------------------------------------

template <SlotPolicy P>
void BasicScheduler<P>::learn(const TaskShape &shape, BackendId backend, AttemptOutcome outcome, double serviceUs,
                              std::int64_t startUs, std::int64_t nowUs)
{
    Signal signal = Signal::Neutral;
    switch (outcome) {
    case AttemptOutcome::Completed:
        signal = m_model.learn(shape, backend, serviceUs, nowUs) ? Signal::Slow : Signal::Good;
        m_model.learnOutcome(shape.templateId, backend, true);
        break;
    case AttemptOutcome::Failed:
        // Failures of a template that fails on most backend servers must not open their circuit breakers.
        if (m_model.failureRate(shape.templateId) < detail::templateFaultRate)
            signal = Signal::Bad;
        m_model.learnOutcome(shape.templateId, backend, false);
        break;
    case AttemptOutcome::Unknown:
    case AttemptOutcome::NotStarted:
        signal = Signal::Bad;
        break;
    case AttemptOutcome::Busy:
        break;
    }
    const bool wasOpen = m_breakers.state(backend) != BreakerState::Closed;
    m_breakers.onEnd(backend, signal, startUs, nowUs);
    m_counters.groupCorrections = m_breakers.corrections();
    m_counters.breakerTrips += !wasOpen && m_breakers.state(backend) == BreakerState::Open ? 1 : 0;
}

template <SlotPolicy P>
NextStep BasicScheduler<P>::onAttemptEnded(TaskRef ref, AttemptOutcome outcome, std::uint32_t serviceUs,
                                           bool repeatable, Now now)
{
    const auto found = m_jobs.find(ref.job);
    assert(found != m_jobs.end() && ref.index < found->second.tasks.size());
    auto &job = found->second;
    auto &task = job.tasks[ref.index];
    assert(task.phase == TaskPhase::Running);
    const BackendId backend = task.backend;
    const double measuredUs = serviceUs > 0 ? serviceUs : static_cast<double>(now.monoUs - task.startUs);
    // The failure of a stopped attempt says as little about the backend server as Busy does.
    const AttemptOutcome learnedOutcome =
            task.stopped && outcome == AttemptOutcome::Failed ? AttemptOutcome::Busy : outcome;
    learn(shapeOf(job, task), backend, learnedOutcome, measuredUs, task.startUs, now.monoUs);
    task.stopped = false;
    const bool borrowed = task.request != 0;
    if (borrowed) {
        const auto request = m_requests.find(task.request);
        if (request != m_requests.end()) {
            send(request->second.node,
                 SlotReturn{task.request, true, learnedOutcome, static_cast<std::uint32_t>(measuredUs)});
            m_requests.erase(request);
        }
        task.request = 0;
    }
    updateBackend(backend, now.monoUs, [&](BackendSlots &slots) {
        --slots.attempts;
        slots.used -= borrowed ? 0 : 1;
        if (outcome == AttemptOutcome::Busy && !borrowed && P::usesHeldSlots)
            slots.blockedUntilUs = now.monoUs + detail::busyBlockUs;
    });
    if (outcome == AttemptOutcome::Busy && !borrowed && P::usesHeldSlots)
        setTimer(now.monoUs + detail::busyBlockUs, SchedulerTimerKind::BackendUnblock, {}, raw(backend));
    refreshChanged(now.monoUs);
    auto &owner = organisation(job);
    owner.limiter.onEnd();
    if (m_queue.isBlocked(job.queueEntry.organisation))
        m_queue.unblock(job.queueEntry.organisation);
    m_startsDue = true;

    if (outcome != AttemptOutcome::Completed)
        countSlotMessages(0, 1);
    if (outcome == AttemptOutcome::Completed) {
        endTask(ref.job, job, task);
        return NextStep::Done;
    }
    task.failures += outcome == AttemptOutcome::Failed ? 1 : 0;
    const bool mayRepeat = outcome == AttemptOutcome::NotStarted || outcome == AttemptOutcome::Busy
            || (outcome == AttemptOutcome::Failed && repeatable && task.failures < detail::maxFailures);
    const std::int64_t retryUs = now.monoUs + backoffUs(task.attempts, m_random);
    if (job.closed || !mayRepeat || retryUs >= job.queueEntry.deadlineUs) {
        endTask(ref.job, job, task);
        return NextStep::Fail;
    }
    task.phase = TaskPhase::Delayed;
    task.retry = outcome == AttemptOutcome::Failed ? RetryReason::Failed
            : outcome == AttemptOutcome::Busy      ? RetryReason::Busy
                                                   : RetryReason::NotStarted;
    countQueued(job, task, 1);
    setTimer(retryUs, SchedulerTimerKind::TaskDue, ref, 0);
    return NextStep::Retry;
}

// Called after the backoff of a task. Queues the task again if the retry budget allows a retry, else delays it further.
template <SlotPolicy P> void BasicScheduler<P>::retryDelayedTask(TaskRef ref, Now now)
{
    const auto found = m_jobs.find(ref.job);
    if (found == m_jobs.end() || found->second.tasks[ref.index].phase != TaskPhase::Delayed)
        return;
    auto &job = found->second;
    auto &task = job.tasks[ref.index];
    auto &owner = organisation(job);
    const bool unlimited = !P::usesHeldSlots && task.retry == RetryReason::Busy;
    if (!unlimited && !owner.budget.takeRetry(owner.parameters.retryBudgetPercent, now.monoUs)) {
        ++task.budgetDenials;
        if (task.retry == RetryReason::Failed && task.budgetDenials >= detail::maxBudgetDenials) {
            closeJob(ref.job, Reason::RetryBudget);
            return;
        }
        setTimer(now.monoUs + backoffUs(task.attempts + task.budgetDenials, m_random), SchedulerTimerKind::TaskDue, ref,
                 0);
        return;
    }
    task.budgetDenials = 0;
    ++m_counters.retries[static_cast<std::size_t>(task.retry)];
    pushTask(job, ref.index);
    m_startsDue = true;
}

// Starts --------------------------------------------------------------------------------------------

template <SlotPolicy P> void BasicScheduler<P>::decide(Now now, Decisions &decisions)
{
    runTimers(now);
    startQueued(now, decisions);
    grantDeferredRequests(now);
    smoothBestFactor();
    const auto append = [](auto &target, auto &source) {
        std::move(source.begin(), source.end(), std::back_inserter(target));
        source.clear();
    };
    std::vector<BackendId> probes;
    m_breakers.onTimer(now.monoUs, probes);
    refreshChanged(now.monoUs);
    for (const BackendId id : probes)
        decisions.probes.push_back({id});
    m_counters.probes += probes.size();
    if (!probes.empty())
        countSlotMessages(0, static_cast<double>(probes.size()));
    append(decisions.messages, m_outgoingMessages);
    append(decisions.drops, m_drops);
    append(decisions.notices, m_notices);
}

// Smooths the factor of the fastest free slot for reports, because the momentary fastest slot is usually taken before a
// report reaches a peer.
template <SlotPolicy P> void BasicScheduler<P>::smoothBestFactor()
{
    double logFactor = std::log(detail::noFreeSlotFactor);
    m_pool.visitFree([&](BackendId id) {
        logFactor = std::log(m_model.factor(id));
        return false;
    });
    m_logBestFactor += detail::bestFactorSmoothing * (logFactor - m_logBestFactor);
}

template <SlotPolicy P> void BasicScheduler<P>::startQueued(Now now, Decisions &decisions)
{
    // Granted slots are used first, as tasks wait for them and their lenders hold them back.
    std::vector<std::pair<std::string, SlotGrant>> grants;
    grants.swap(m_grants);
    for (const auto &[node, grant] : grants) {
        auto &request = m_requests.at(grant.requestId);
        const bool needed = request.taskWaiting || m_readyTasks > 0;
        finishDeferrableRequest(request, needed);
        request.deferrable = false;
        const auto backend = m_pool.find(grant.backend);
        const bool usable = backend && !m_pool[*backend].gone && !m_pool[*backend].leaving
                && m_pool[*backend].attempts < m_pool[*backend].connections;
        const TaskRef ref = request.task;
        if (usable && request.taskWaiting) {
            request.granted = true;
            auto &job = m_jobs.at(ref.job);
            countQueued(job, job.tasks[ref.index], -1);
            start(ref, *backend, grant.requestId, now, decisions);
            continue;
        }
        if (!usable)
            requeue(grant.requestId, now);
        // No task waits for this grant any more: the next queued task starts on the slot if it fits.
        const auto entry = usable ? m_queue.first() : std::nullopt;
        if (entry && mayStart(*entry, now)) {
            auto &job = m_jobs.at(entry->job);
            if (fits(shapeOf(job, job.tasks[job.queued.back()]), m_pool[*backend].info)) {
                const std::uint32_t index = takeTask(job);
                countQueued(job, job.tasks[index], -1);
                request.granted = request.taskWaiting = true;
                request.task = TaskRef{entry->job, index};
                start(request.task, *backend, grant.requestId, now, decisions);
                continue;
            }
        }
        returnUnused(grant.requestId, node);
    }

    if (!m_startsDue)
        return;
    m_startsDue = false;
    std::vector<FairQueue::QueueEntry> skippedEntries;
    while (startOrSkipNext(now, decisions, skippedEntries) == Step::Again)
        ;
    for (const auto &entry : skippedEntries)
        m_queue.insert(entry);
}

// Returns true when the limits of the organisation allow a start; otherwise blocks the organisation until they may.
template <SlotPolicy P> bool BasicScheduler<P>::mayStart(const FairQueue::QueueEntry &entry, Now now)
{
    auto &limiter = m_organisations[raw(entry.organisation)].limiter;
    if (limiter.mayStart(now.monoUs))
        return true;
    m_queue.block(entry.organisation);
    if (!limiter.isAtConcurrency() && limiter.nextTokenUs() != INT64_MAX)
        setTimer(limiter.nextTokenUs(), SchedulerTimerKind::OrganisationRate, {}, raw(entry.organisation));
    return false;
}

template <SlotPolicy P> bool BasicScheduler<P>::dropIfUnreachable(const FairQueue::QueueEntry &entry, Now now)
{
    const auto &job = m_jobs.at(entry.job);
    const double base = m_model.baseUs(shapeOf(job, job.tasks[job.queued.back()]));
    const double leastUs = base * m_pool.fastestFactor() * detail::minServiceTimeShare;
    if (static_cast<double>(entry.deadlineUs - now.monoUs) > leastUs)
        return false;
    closeJob(entry.job, Reason::DeadlineExceeded);
    return true;
}

template <SlotPolicy P>
typename BasicScheduler<P>::Step BasicScheduler<P>::startOrSkipNext(Now now, Decisions &decisions,
                                                                    std::vector<FairQueue::QueueEntry> &skippedEntries)
{
    const auto entry = m_queue.first();
    if (!entry)
        return Step::Wait;
    if (!mayStart(*entry, now) || dropIfUnreachable(*entry, now))
        return Step::Again;
    if constexpr (P::usesHeldSlots)
        return startOnBestSlot(*entry, now, decisions, skippedEntries);
    const auto &job = m_jobs.at(entry->job);
    const auto chosen = m_policy.choose(m_pool, m_model, shapeOf(job, job.tasks[job.queued.back()]), m_random);
    if (!chosen)
        return Step::Wait;
    startNext(*entry, *chosen, now, decisions);
    return Step::Again;
}

// Returns true when the organisation's backlog is long, both in itself and compared with the sum of all others, and
// another organisation is active.
template <SlotPolicy P> bool BasicScheduler<P>::hasDominantBacklog(OrganisationId id) const
{
    const std::uint32_t own = m_organisations[raw(id)].queued;
    if (own < detail::dominantBacklogTasks || own < detail::dominantBacklogRatio * (m_queuedTasks - own))
        return false;
    return std::any_of(m_organisations.begin(), m_organisations.end(), [&](const Organisation &other) {
        return &other != &m_organisations[raw(id)]
                && (other.queued > 0 || other.arrivals > 0 || other.limiter.running() > 0);
    });
}

// Leaves a slow slot to an organisation with a dominant backlog when the task at the head of the queue is expected to
// end earlier by waiting for a faster slot. The backlog then does not increase the response time of the other
// organisations. Returns false when the task should use the slot itself.
template <SlotPolicy P>
bool BasicScheduler<P>::yieldSlotToBacklog(const FairQueue::QueueEntry &entry, BackendId slot, Now now,
                                           Decisions &decisions)
{
    const auto last = m_queue.last();
    if (!last || last->organisation == entry.organisation || !hasDominantBacklog(last->organisation))
        return false;
    const auto &job = m_jobs.at(entry.job);
    const TaskShape shape = shapeOf(job, job.tasks[job.queued.back()]);
    const auto faster = m_pool.fasterThan(m_pool[slot].bucket);
    if (faster.rate <= 0)
        return false;
    const double slotReleaseIntervalUs = m_model.meanBaseUs() / faster.rate;
    const double laterUs = slotReleaseIntervalUs * organisation(job).queued + m_model.baseUs(shape) * faster.meanFactor;
    if (m_model.expectedPerSuccessUs(shape, slot) <= laterUs)
        return false;
    const auto &lastJob = m_jobs.at(last->job);
    if (!fits(shapeOf(lastJob, lastJob.tasks[lastJob.queued.back()]), m_pool[slot].info))
        return false;
    if (mayStart(*last, now) && !dropIfUnreachable(*last, now))
        startNext(*last, slot, now, decisions);
    return true;
}

// Long tasks leave the fastest slots to short tasks: a fast slot serves many short tasks in the time of one long task,
// and each of them gains as much relative to its own length. A long task gets the slowest free slot up to a factor that
// grows with its length, starting from the smoothed factor of the fastest free slot.
template <SlotPolicy P> std::optional<BackendId> BasicScheduler<P>::chooseHeldSlot(const TaskShape &shape)
{
    const double length = m_model.baseUs(shape) / m_model.meanBaseUs();
    if (length > detail::longTaskRatio) {
        const double spare =
                std::min(std::pow(length / detail::longTaskRatio, detail::longTaskExponent), detail::maxLongTaskFactor);
        if (const auto slot = m_pool.slowestFree(factorBucket(std::exp(m_logBestFactor) * spare), shape))
            return slot;
    }
    return m_policy.choose(m_pool, m_model, shape, m_random);
}

// Starts the next task on the best free held slot, requests a peer's slot when that is expected to be faster, or leaves
// the slot to a backlog. Requests any slot from peers when no held slot is free.
template <SlotPolicy P>
typename BasicScheduler<P>::Step BasicScheduler<P>::startOnBestSlot(const FairQueue::QueueEntry &entry, Now now,
                                                                    Decisions &decisions,
                                                                    std::vector<FairQueue::QueueEntry> &skippedEntries)
{
    const auto &job = m_jobs.at(entry.job);
    const TaskShape shape = shapeOf(job, job.tasks[job.queued.back()]);
    const auto own = chooseHeldSlot(shape);
    const double ownUs = own ? m_model.expectedPerSuccessUs(shape, *own) : 0;
    const double weight = std::clamp(organisation(job).parameters.responseWeight, 0.0, 1.0);
    if (own && yieldSlotToBacklog(entry, *own, now, decisions))
        return Step::Again;
    if (own) {
        if (const auto offer = bestOffer(shape, ownUs, weight, now)) {
            requestSlot(entry, *offer, now);
            return Step::Again;
        }
    }
    if (own) {
        startNext(entry, *own, now, decisions);
        return Step::Again;
    }
    if (!own && m_pool.freeSlots() > 0 && skippedEntries.size() < detail::maxSkippedJobs) {
        m_queue.erase(entry); // no free slot is large enough for this task; tasks of other jobs may fit
        skippedEntries.push_back(entry);
        return Step::Again;
    }
    requestAnySlot(shape, weight, now);
    return Step::Wait;
}

template <SlotPolicy P>
void BasicScheduler<P>::startNext(const FairQueue::QueueEntry &entry, BackendId backend, Now now, Decisions &decisions)
{
    auto &job = m_jobs.at(entry.job);
    const std::uint32_t index = takeTask(job);
    countQueued(job, job.tasks[index], -1);
    start(TaskRef{entry.job, index}, backend, 0, now, decisions);
}

template <SlotPolicy P>
void BasicScheduler<P>::start(TaskRef ref, BackendId backend, std::uint64_t request, Now now, Decisions &decisions)
{
    assert(!m_pool[backend].gone && !m_pool[backend].leaving);
    auto &job = m_jobs.at(ref.job);
    auto &task = job.tasks[ref.index];
    auto &owner = organisation(job);
    task.phase = TaskPhase::Running;
    task.backend = backend;
    task.startUs = now.monoUs;
    task.request = request;
    if (task.attempts++ == 0) {
        owner.budget.onFirstAttempt(now.monoUs);
        ++m_counters.firstAttempts;
    }
    m_counters.slotsBorrowed += request != 0 ? 1 : 0;
    countSlotMessages(request != 0 ? 4 : 1, 0,
                      owner.parameters.responseWeight); // a borrowed slot also takes a request, a grant and a return
    owner.limiter.onStart();
    m_breakers.onStart(backend, now.monoUs);
    updateBackend(backend, now.monoUs, [&](BackendSlots &slots) {
        ++slots.attempts;
        slots.used += request == 0 ? 1 : 0;
    });
    refreshChanged(now.monoUs);
    decisions.starts.push_back({ref, backend});
}

} // namespace clementinelift::core
