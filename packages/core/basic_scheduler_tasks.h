// Definitions of BasicScheduler: queue, ends of attempts, starts. Included by basic_scheduler.h only.
#pragma once

namespace clementinelift::core {

// Queue ---------------------------------------------------------------------------------------------

template <SlotPolicy P> void BasicScheduler<P>::enqueue(const JobDescription &ticket, Now now)
{
    assert(!m_jobs.contains(ticket.job));
    if (m_generation != m_configuration.generation())
        onConfiguration(now);
    const TaskShape byDefault = templateShape(ticket.templateId);
    auto &organisation = m_organisations[raw(ticket.organisation)];
    auto &job = m_jobs[ticket.job];
    job.place = {organisation.parameters.priority * 10 + m_templates[raw(ticket.templateId)].priority,
                 ticket.organisation, ticket.deadlineUs, ticket.job};
    job.templateId = ticket.templateId;
    job.tasks.reserve(ticket.tasks.size());
    for (const TaskRequest &request : ticket.tasks) {
        const TaskShape shape = shapeOf(request, byDefault);
        job.tasks.push_back(ScheduledTask{shape.declaredUs, shape.cores, shape.memoryMb});
        countQueued(job, job.tasks.back(), 1);
    }
    job.open = static_cast<std::uint32_t>(job.tasks.size());
    organisation.arrivals += job.open;
    for (std::uint32_t i = job.open; i-- > 0;)
        pushTask(job, i);
    setAlarm(ticket.deadlineUs, AlarmKind::JobDeadline, TaskRef{ticket.job, 0}, 0);
    m_dirty = true;
}

template <SlotPolicy P> void BasicScheduler<P>::pushTask(ScheduledJob &job, std::uint32_t index)
{
    job.tasks[index].phase = TaskPhase::Queued;
    job.queued.push_back(index);
    ++m_readyTasks;
    if (job.queued.size() == 1)
        m_queue.insert(job.place);
}

// Takes the next task out of the queue; its phase is up to the caller.
template <SlotPolicy P> std::uint32_t BasicScheduler<P>::takeTask(ScheduledJob &job)
{
    const std::uint32_t index = job.queued.back();
    job.queued.pop_back();
    --m_readyTasks;
    m_queue.charge(job.place, m_model.baseUs(shapeOf(job, job.tasks[index])));
    if (job.queued.empty())
        m_queue.erase(job.place);
    return index;
}

template <SlotPolicy P> void BasicScheduler<P>::countQueued(ScheduledJob &job, const ScheduledTask &task, int change)
{
    auto &owner = organisation(job);
    auto &classWork = m_classWorkUs[job.place.priorityClass];
    // Declared times, which do not change while the task waits, keep the sums exact.
    const double work = task.declaredUs * m_model.scale();
    m_queuedTasks += change;
    owner.queued += change;
    owner.queuedWorkUs = owner.queued == 0 ? 0 : std::max(0.0, owner.queuedWorkUs + change * work);
    classWork = m_queuedTasks == 0 ? 0 : std::max(0.0, classWork + change * work);
}

template <SlotPolicy P> void BasicScheduler<P>::endTask(JobId id, ScheduledJob &job, ScheduledTask &task)
{
    task.phase = TaskPhase::Ended;
    if (--job.open == 0)
        m_jobs.erase(id);
}

// Drops all tasks of the job that are not running. With a reason, each one becomes a DropDecision.
template <SlotPolicy P> std::uint32_t BasicScheduler<P>::closeJob(JobId id, Reason reason)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return 0;
    auto &job = found->second;
    job.closed = true;
    if (!job.queued.empty())
        m_queue.erase(job.place);
    m_readyTasks -= static_cast<std::uint32_t>(job.queued.size());
    job.queued.clear();
    std::uint32_t dropped = 0;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        auto &task = job.tasks[i];
        if (task.phase == TaskPhase::Running || task.phase == TaskPhase::Ended)
            continue;
        if (task.phase == TaskPhase::Requested)
            m_requests.at(task.request).wanted = false;
        countQueued(job, task, -1);
        task.phase = TaskPhase::Ended;
        ++dropped;
        if (reason != Reason::None) {
            const Reason told = task.denials > 0 ? Reason::RetryBudget : reason;
            m_drops.push_back({TaskRef{id, i}, told});
            ++m_counters.drops[static_cast<std::size_t>(told)];
        }
    }
    job.open -= dropped;
    if (job.open == 0)
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
        // A template whose tasks fail everywhere does not open the breakers of all backend servers.
        if (m_model.failureRate(shape.templateId) < detail::poisonRate)
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
    // The end of a stopped attempt is no evidence, as little as Busy is.
    const AttemptOutcome evidence = task.stopped && outcome == AttemptOutcome::Failed ? AttemptOutcome::Busy : outcome;
    learn(shapeOf(job, task), backend, evidence, measuredUs, task.startUs, now.monoUs);
    task.stopped = false;
    const bool borrowed = task.request != 0;
    if (borrowed) {
        const auto request = m_requests.find(task.request);
        if (request != m_requests.end()) {
            send(request->second.node,
                 SlotReturn{task.request, true, evidence, static_cast<std::uint32_t>(measuredUs)});
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
        setAlarm(now.monoUs + detail::busyBlockUs, AlarmKind::BackendUnblock, {}, raw(backend));
    refreshChanged(now.monoUs);
    auto &owner = organisation(job);
    owner.limiter.onEnd();
    if (m_queue.isBlocked(job.place.organisation))
        m_queue.unblock(job.place.organisation);
    m_dirty = true;

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
    if (job.closed || !mayRepeat || retryUs >= job.place.deadlineUs) {
        endTask(ref.job, job, task);
        return NextStep::Fail;
    }
    task.phase = TaskPhase::Delayed;
    task.retry = outcome == AttemptOutcome::Failed ? RetryReason::Failed
            : outcome == AttemptOutcome::Busy      ? RetryReason::Busy
                                                   : RetryReason::NotStarted;
    countQueued(job, task, 1);
    setAlarm(retryUs, AlarmKind::TaskDue, ref, 0);
    return NextStep::Retry;
}

// The backoff of a task is over: it needs a place in the retry budget before it is queued again.
template <SlotPolicy P> void BasicScheduler<P>::retryTask(TaskRef ref, Now now)
{
    const auto found = m_jobs.find(ref.job);
    if (found == m_jobs.end() || found->second.tasks[ref.index].phase != TaskPhase::Delayed)
        return;
    auto &job = found->second;
    auto &task = job.tasks[ref.index];
    auto &owner = organisation(job);
    const bool unlimited = !P::usesHeldSlots && task.retry == RetryReason::Busy;
    if (!unlimited && !owner.budget.takeRetry(owner.parameters.retryBudgetPercent, now.monoUs)) {
        ++task.denials;
        if (task.retry == RetryReason::Failed && task.denials >= detail::maxDenials) {
            closeJob(ref.job, Reason::RetryBudget);
            return;
        }
        setAlarm(now.monoUs + backoffUs(task.attempts + task.denials, m_random), AlarmKind::TaskDue, ref, 0);
        return;
    }
    task.denials = 0;
    ++m_counters.retries[static_cast<std::size_t>(task.retry)];
    pushTask(job, ref.index);
    m_dirty = true;
}

// Starts --------------------------------------------------------------------------------------------

template <SlotPolicy P> void BasicScheduler<P>::decide(Now now, Decisions &decisions)
{
    tick(now);
    startQueued(now, decisions);
    serveHeld(now);
    trackOffer();
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
    append(decisions.messages, m_outbox);
    append(decisions.drops, m_drops);
    append(decisions.notices, m_notices);
}

// The fastest free slot of one moment is taken long before a report reaches a peer: the smoothed one is reported.
template <SlotPolicy P> void BasicScheduler<P>::trackOffer()
{
    double logFactor = std::log(detail::noOfferFactor);
    m_pool.visitFree([&](BackendId id) {
        logFactor = std::log(m_model.factor(id));
        return false;
    });
    m_logOffer += detail::offerRate * (logFactor - m_logOffer);
}

template <SlotPolicy P> void BasicScheduler<P>::startQueued(Now now, Decisions &decisions)
{
    // Granted slots first: each one was asked for by a task.
    std::vector<std::pair<std::string, SlotGrant>> grants;
    grants.swap(m_grants);
    for (const auto &[node, grant] : grants) {
        auto &request = m_requests.at(grant.requestId);
        const bool isWaitedFor = request.wanted || m_readyTasks > 0;
        endHeld(request, isWaitedFor);
        request.held = false;
        const auto backend = m_pool.find(grant.backend);
        const bool usable = backend && !m_pool[*backend].gone && !m_pool[*backend].leaving
                && m_pool[*backend].attempts < m_pool[*backend].connections;
        const TaskRef ref = request.task;
        if (usable && request.wanted) {
            request.granted = true;
            auto &job = m_jobs.at(ref.job);
            countQueued(job, job.tasks[ref.index], -1);
            start(ref, *backend, grant.requestId, now, decisions);
            continue;
        }
        if (!usable)
            requeue(grant.requestId, now);
        // The task was dropped: the slot serves the next one in order when it fits.
        const auto place = usable ? m_queue.first() : std::nullopt;
        if (place && mayStart(*place, now)) {
            auto &job = m_jobs.at(place->job);
            if (fits(shapeOf(job, job.tasks[job.queued.back()]), m_pool[*backend].info)) {
                const std::uint32_t index = takeTask(job);
                countQueued(job, job.tasks[index], -1);
                request.granted = request.wanted = true;
                request.task = TaskRef{place->job, index};
                start(request.task, *backend, grant.requestId, now, decisions);
                continue;
            }
        }
        returnUnused(grant.requestId, node);
    }

    if (!m_dirty)
        return;
    m_dirty = false;
    std::vector<FairQueue::Place> skipped;
    while (placeNext(now, decisions, skipped) == Step::Again)
        ;
    for (const auto &place : skipped)
        m_queue.insert(place);
}

// True when the limits of the organisation allow a start; otherwise it is passed over until they do.
template <SlotPolicy P> bool BasicScheduler<P>::mayStart(const FairQueue::Place &place, Now now)
{
    auto &limiter = m_organisations[raw(place.organisation)].limiter;
    if (limiter.mayStart(now.monoUs))
        return true;
    m_queue.block(place.organisation);
    if (!limiter.isAtConcurrency() && limiter.nextTokenUs() != INT64_MAX)
        setAlarm(limiter.nextTokenUs(), AlarmKind::OrganisationRate, {}, raw(place.organisation));
    return false;
}

template <SlotPolicy P> bool BasicScheduler<P>::dropHopeless(const FairQueue::Place &place, Now now)
{
    const auto &job = m_jobs.at(place.job);
    const double base = m_model.baseUs(shapeOf(job, job.tasks[job.queued.back()]));
    const double leastUs = base * m_pool.fastestFactor() * detail::hopelessShare;
    if (static_cast<double>(place.deadlineUs - now.monoUs) > leastUs)
        return false;
    closeJob(place.job, Reason::DeadlineExceeded);
    return true;
}

template <SlotPolicy P>
typename BasicScheduler<P>::Step BasicScheduler<P>::placeNext(Now now, Decisions &decisions,
                                                              std::vector<FairQueue::Place> &skipped)
{
    const auto place = m_queue.first();
    if (!place)
        return Step::Wait;
    if (!mayStart(*place, now) || dropHopeless(*place, now))
        return Step::Again;
    if constexpr (P::usesHeldSlots)
        return placeOnSlots(*place, now, decisions, skipped);
    const auto &job = m_jobs.at(place->job);
    const auto chosen = m_policy.choose(m_pool, m_model, shapeOf(job, job.tasks[job.queued.back()]), m_random);
    if (!chosen)
        return Step::Wait;
    startNext(*place, *chosen, now, decisions);
    return Step::Again;
}

// True when the organisation's backlog is long and the others', who are active, is short.
template <SlotPolicy P> bool BasicScheduler<P>::isFlooding(OrganisationId id) const
{
    const std::uint32_t own = m_organisations[raw(id)].queued;
    if (own < detail::floodTasks || own < detail::floodShare * (m_queuedTasks - own))
        return false;
    return std::any_of(m_organisations.begin(), m_organisations.end(), [&](const Organisation &other) {
        return &other != &m_organisations[raw(id)]
                && (other.queued > 0 || other.arrivals > 0 || other.limiter.running() > 0);
    });
}

// While another organisation has a backlog that uses any slot, a task waits for a faster slot where that ends it
// earlier: the backlog takes the slow slot and the other organisation's response time stays what it was without the
// backlog.
template <SlotPolicy P>
bool BasicScheduler<P>::leaveToBacklog(const FairQueue::Place &place, BackendId slot, Now now, Decisions &decisions)
{
    const auto last = m_queue.last();
    if (!last || last->organisation == place.organisation || !isFlooding(last->organisation))
        return false;
    const auto &job = m_jobs.at(place.job);
    const TaskShape shape = shapeOf(job, job.tasks[job.queued.back()]);
    const auto faster = m_pool.fasterThan(m_pool[slot].bucket);
    if (faster.rate <= 0)
        return false;
    const double gapUs = m_model.meanBaseUs() / faster.rate;
    const double laterUs = gapUs * organisation(job).queued + m_model.baseUs(shape) * faster.meanFactor;
    if (m_model.expectedPerSuccessUs(shape, slot) <= laterUs)
        return false;
    const auto &lastJob = m_jobs.at(last->job);
    if (!fits(shapeOf(lastJob, lastJob.tasks[lastJob.queued.back()]), m_pool[slot].info))
        return false;
    if (mayStart(*last, now) && !dropHopeless(*last, now))
        startNext(*last, slot, now, decisions);
    return true;
}

// Long tasks leave the fastest slots to short ones: a fast slot serves many short tasks in the time of a long one, and
// each of them gains as much relative to its ideal. They take the slot next to what is usually the fastest free one.
template <SlotPolicy P> std::optional<BackendId> BasicScheduler<P>::chooseOwn(const TaskShape &shape)
{
    const double length = m_model.baseUs(shape) / m_model.meanBaseUs();
    if (length > detail::longTask) {
        const double spare =
                std::min(std::pow(length / detail::longTask, detail::longTaskPower), detail::maxLongTaskFactor);
        if (const auto slot = m_pool.slowestFree(factorBucket(std::exp(m_logOffer) * spare), shape))
            return slot;
    }
    return m_policy.choose(m_pool, m_model, shape, m_random);
}

// Compares the expected finish on the best free slot, on a borrowed one, and on a faster slot that is about to be
// freed.
template <SlotPolicy P>
typename BasicScheduler<P>::Step BasicScheduler<P>::placeOnSlots(const FairQueue::Place &place, Now now,
                                                                 Decisions &decisions,
                                                                 std::vector<FairQueue::Place> &skipped)
{
    const auto &job = m_jobs.at(place.job);
    const TaskShape shape = shapeOf(job, job.tasks[job.queued.back()]);
    const auto own = chooseOwn(shape);
    const double ownUs = own ? m_model.expectedPerSuccessUs(shape, *own) : 0;
    const double weight = std::clamp(organisation(job).parameters.responseWeight, 0.0, 1.0);
    if (own && leaveToBacklog(place, *own, now, decisions))
        return Step::Again;
    if (own) {
        if (const auto offer = bestOffer(shape, ownUs, weight, now)) {
            requestSlot(place, *offer, now);
            return Step::Again;
        }
    }
    if (own) {
        startNext(place, *own, now, decisions);
        return Step::Again;
    }
    if (!own && m_pool.freeSlots() > 0 && skipped.size() < detail::maxSkips) {
        m_queue.erase(place); // no free slot is large enough; others may fit
        skipped.push_back(place);
        return Step::Again;
    }
    askForSlots(shape, weight, now);
    return Step::Wait;
}

template <SlotPolicy P>
void BasicScheduler<P>::startNext(const FairQueue::Place &place, BackendId backend, Now now, Decisions &decisions)
{
    auto &job = m_jobs.at(place.job);
    const std::uint32_t index = takeTask(job);
    countQueued(job, job.tasks[index], -1);
    start(TaskRef{place.job, index}, backend, 0, now, decisions);
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
        owner.budget.onFirst(now.monoUs);
        ++m_counters.firstAttempts;
    }
    m_counters.slotsBorrowed += request != 0 ? 1 : 0;
    countSlotMessages(request != 0 ? 4 : 1, 0, owner.parameters.responseWeight); // with request, grant and return
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
