// Definitions of BasicScheduler. Included by basic_scheduler.h only.
#pragma once

namespace clementinelift::core {

template <SlotPolicy P>
BasicScheduler<P>::BasicScheduler(const CoreSettings &settings, const Configuration &configuration)
    : m_settings(settings), m_configuration(configuration), m_random(settings.seed),
      m_breakers(settings.seed ^ 0x9e3779b97f4a7c15), m_live{settings.self}, m_liveInZone{settings.self}
{}

// Views of the platform -----------------------------------------------------------------------------

template <SlotPolicy P>
template <typename Change>
void BasicScheduler<P>::updateBackend(BackendId id, std::int64_t nowUs, Change &&change)
{
    m_pool.update(id, m_model.factor(id), nowUs, [&](BackendSlots &slots) {
        change(slots);
        slots.allowed = m_breakers.allowed(id);
    });
}

template <SlotPolicy P> void BasicScheduler<P>::refreshChanged(std::int64_t nowUs)
{
    m_breakers.takeChanged(m_changed);
    for (const BackendId id : m_changed)
        updateBackend(id, nowUs, [](BackendSlots &) {});
}

template <SlotPolicy P> void BasicScheduler<P>::setBackends(std::span<const BackendInfo> backends, Now now)
{
    absl::flat_hash_set<std::uint32_t> listed;
    for (const BackendInfo &info : backends) {
        auto id = m_pool.find(info.name);
        if (!id) {
            id = m_pool.add(info);
            m_model.addBackend(*id);
            m_breakers.add(*id, info.zone + "/" + (info.rack.empty() ? info.name : info.rack));
        }
        listed.insert(raw(*id));
        m_pool.update(*id, m_model.factor(*id), now.monoUs, [&](BackendSlots &slots) {
            // The list lags: a backend server that a peer reported as leaving stays so until it has left the list.
            const bool leaving = info.leaving || (slots.leaving && !slots.gone);
            slots.info = info;
            slots.leaving = slots.info.leaving = leaving;
            slots.gone = false;
        });
    }
    for (std::uint32_t i = 0; i < m_pool.size(); ++i)
        if (!listed.contains(i))
            m_pool.update(BackendId(i), 1, now.monoUs, [](BackendSlots &slots) { slots.gone = true; });
    deal(now);
}

template <SlotPolicy P> void BasicScheduler<P>::setLeaving(std::string_view backend, Now now)
{
    const auto id = m_pool.find(backend);
    if (!id)
        return;
    m_breakers.setUsable(*id, false);
    updateBackend(*id, now.monoUs, [](BackendSlots &slots) { slots.leaving = slots.info.leaving = true; });
    m_dirty = true;
}

template <SlotPolicy P>
void BasicScheduler<P>::setPeers(std::span<const NodeInfo> liveInZone, std::span<const NodeInfo> live, Now now)
{
    const auto withSelf = [&](std::span<const NodeInfo> nodes) {
        std::vector<NodeInfo> result(nodes.begin(), nodes.end());
        if (std::none_of(result.begin(), result.end(),
                         [&](const NodeInfo &node) { return node.name == m_settings.self.name; }))
            result.push_back(m_settings.self);
        std::sort(result.begin(), result.end(), [](const auto &a, const auto &b) { return a.name < b.name; });
        return result;
    };
    m_live = withSelf(live);
    m_liveInZone = withSelf(liveInZone);
    std::vector<std::string> lost;
    for (const auto &[name, peer] : m_peers)
        if (std::none_of(m_live.begin(), m_live.end(), [&](const NodeInfo &node) { return node.name == name; }))
            lost.push_back(name);
    for (const std::string &name : lost) {
        onPeerLost(name, now);
        m_peers.erase(name);
    }
    for (const NodeInfo &node : m_live) {
        if (node.name == m_settings.self.name)
            continue;
        auto &peer = m_peers[node.name];
        peer.zone = node.zone;
        peer.roundTripUs =
                node.zone == m_settings.self.zone ? detail::sameZoneRoundTripUs : detail::otherZoneRoundTripUs;
    }
    m_shares.setPeers(m_live, m_settings.self.name, now.monoUs);
    updateShares(now);
    deal(now);
}

// Deals the slots of all backend servers anew; a zone without entry VMs is served by all of them.
template <SlotPolicy P> void BasicScheduler<P>::deal(Now now)
{
    absl::flat_hash_map<std::string, std::vector<NodeInfo>> byZone;
    for (const NodeInfo &node : m_live)
        byZone[node.zone].push_back(node);
    byZone[m_settings.self.zone] = m_liveInZone;
    for (std::uint32_t i = 0; i < m_pool.size(); ++i) {
        const auto id = BackendId(i);
        const BackendInfo &info = m_pool[id].info;
        const auto zone = byZone.find(info.zone);
        std::uint32_t held = info.slots;
        if constexpr (P::usesHeldSlots)
            held = dealSlots(info, m_settings.self.name, zone == byZone.end() ? m_live : zone->second);
        m_breakers.setCapacity(id, held);
        m_breakers.setUsable(id, !m_pool[id].gone && !m_pool[id].leaving);
        updateBackend(id, now.monoUs, [&](BackendSlots &slots) {
            slots.held = held;
            slots.connections = std::max(1u, info.connections / static_cast<std::uint32_t>(m_live.size()));
        });
    }
    refreshChanged(now.monoUs);
    m_dirty = true;
}

template <SlotPolicy P> void BasicScheduler<P>::onConfiguration(Now now)
{
    m_generation = m_configuration.generation();
    m_templates.resize(m_configuration.templateCount());
    for (std::uint32_t i = 0; i < m_templates.size(); ++i) {
        m_templates[i] = m_configuration.parameters(TemplateId(i));
        m_model.addTemplate(TemplateId(i), m_templates[i].runMs * double(usPerMs));
    }
    m_organisations.resize(m_configuration.organisationCount());
    for (std::uint32_t i = 0; i < m_organisations.size(); ++i) {
        auto &organisation = m_organisations[i];
        organisation.parameters = m_configuration.parameters(OrganisationId(i));
        organisation.name = m_configuration.name(OrganisationId(i));
        m_queue.setWeight(OrganisationId(i), organisation.parameters.weight);
    }
    updateShares(now);
}

// Divides the fleet-wide limits anew and lets organisations that were held back try again.
template <SlotPolicy P> void BasicScheduler<P>::updateShares(Now now)
{
    for (std::uint32_t i = 0; i < m_organisations.size(); ++i) {
        auto &organisation = m_organisations[i];
        const auto &limits = organisation.parameters;
        const double demand = organisation.limiter.running() + organisation.queued;
        const double part = m_shares.share(1, organisation.name, demand, now.monoUs);
        const double concurrency =
                m_shares.wholeShare(limits.concurrency, part, organisation.name, m_settings.self.name, now.wallMs);
        organisation.limiter.setShares(concurrency, limits.ratePerS * part, now.monoUs);
        if (m_queue.isBlocked(OrganisationId(i))) {
            m_queue.unblock(OrganisationId(i));
            m_dirty = true;
        }
    }
}

// Admission -----------------------------------------------------------------------------------------

template <SlotPolicy P> TaskShape BasicScheduler<P>::templateShape(TemplateId id) const
{
    const auto &parameters = m_templates[raw(id)];
    return TaskShape{id, parameters.runMs * double(usPerMs), parameters.cores, parameters.memoryMb};
}

namespace detail {

inline TaskShape shapeOf(const TaskRequest &task, const TaskShape &byDefault)
{
    return TaskShape{byDefault.templateId, task.runMs > 0 ? task.runMs * double(usPerMs) : byDefault.declaredUs,
                     task.cores > 0 ? task.cores : byDefault.cores,
                     task.memoryMb > 0 ? task.memoryMb : byDefault.memoryMb};
}

} // namespace detail

template <SlotPolicy P> bool BasicScheduler<P>::fitsSomewhere(const TaskShape &shape) const
{
    for (std::uint32_t i = 0; i < m_pool.size(); ++i)
        if (!m_pool[BackendId(i)].gone && !m_pool[BackendId(i)].leaving && fits(shape, m_pool[BackendId(i)].info))
            return true;
    return false;
}

// Time until the work ahead of the job and its own is started, by the completions that the held slots make. Work of
// other organisations in the same class counts only as far as the fair order puts it first.
template <SlotPolicy P>
double BasicScheduler<P>::expectedWaitUs(const JobTicket &job, std::uint32_t priorityClass) const
{
    if (m_pool.totalRate() <= 0)
        return 0;
    double ahead = 0;
    for (const auto &[number, work] : m_classWorkUs) {
        if (number > priorityClass)
            break;
        ahead += work;
    }
    const auto &own = m_organisations[raw(job.organisation)];
    double weights = 0;
    for (const auto &organisation : m_organisations)
        weights += organisation.queued > 0 || &organisation == &own ? organisation.parameters.weight : 0;
    const double fair = own.queuedWorkUs * weights / std::max(own.parameters.weight, 1e-3);
    const bool alone = m_classWorkUs.empty() || m_classWorkUs.begin()->first >= priorityClass;
    double ownWork = 0;
    for (const TaskRequest &task : job.tasks)
        ownWork += m_model.baseUs(detail::shapeOf(task, templateShape(job.templateId)));
    return ((alone ? std::min(ahead, fair) : ahead) + ownWork) / m_pool.totalRate();
}

template <SlotPolicy P> Reason BasicScheduler<P>::admit(const JobTicket &job, Now now)
{
    if (m_generation != m_configuration.generation())
        onConfiguration(now);
    const auto &parameters = m_templates[raw(job.templateId)];
    const auto &organisation = m_organisations[raw(job.organisation)];
    const auto count = static_cast<std::uint32_t>(job.tasks.size());
    if (count > parameters.maxTasks)
        return Reason::TooManyTasks;
    const TaskShape byDefault = templateShape(job.templateId);
    TaskShape small = byDefault;
    small.cores = 0;
    small.memoryMb = 0;
    if (!fitsSomewhere(small))
        return Reason::NoBackend;
    TaskShape largest = byDefault;
    double longestUs = 0;
    for (const TaskRequest &task : job.tasks) {
        const TaskShape shape = detail::shapeOf(task, byDefault);
        // Tasks of a job mostly have one size; only a new size is compared with the backend servers.
        if ((&task == job.tasks.data() || shape.cores != largest.cores || shape.memoryMb != largest.memoryMb)
            && !fitsSomewhere(shape))
            return Reason::NeverRunnable;
        largest.cores = shape.cores;
        largest.memoryMb = shape.memoryMb;
        longestUs = std::max(longestUs, m_model.baseUs(shape));
    }

    if (m_queuedTasks + count > m_settings.maxQueuedTasks)
        return Reason::QueueFull;
    if (m_organisations.size() > 1
        && organisation.queued + count > detail::queueShare * (m_settings.maxQueuedTasks - m_queuedTasks))
        return Reason::QueueFull;

    const auto &limiter = organisation.limiter;
    const auto leftUs = static_cast<double>(job.deadlineUs - now.monoUs);
    const double waiting = organisation.queued + count;
    if (organisation.parameters.concurrency == 0
        || (organisation.queued > 0
            && waiting * m_model.meanBaseUs() * detail::certainWaitShare
                    > leftUs * std::max(limiter.concurrency(), 1.0)))
        return Reason::OrganisationConcurrency;
    if (organisation.parameters.ratePerS <= 0
        || (waiting - limiter.tokens(now.monoUs)) * usPerS * detail::certainWaitShare > leftUs * limiter.ratePerS())
        return Reason::OrganisationRate;
    const std::uint32_t priorityClass = organisation.parameters.priority * 10 + parameters.priority;
    const double waitUs = expectedWaitUs(job, priorityClass) * detail::certainWaitShare;
    if (waitUs + longestUs * m_pool.fastestFactor() * detail::hopelessShare > leftUs)
        return Reason::DeadlineUnreachable;
    return Reason::None;
}

// Queue ---------------------------------------------------------------------------------------------

template <SlotPolicy P> void BasicScheduler<P>::enqueue(const JobTicket &ticket, Now now)
{
    assert(!m_jobs.contains(ticket.job));
    const TaskShape byDefault = templateShape(ticket.templateId);
    auto &organisation = m_organisations[raw(ticket.organisation)];
    auto &job = m_jobs[ticket.job];
    job.place = {organisation.parameters.priority * 10 + m_templates[raw(ticket.templateId)].priority,
                 ticket.organisation, ticket.deadlineUs, ticket.job};
    job.templateId = ticket.templateId;
    job.tasks.reserve(ticket.tasks.size());
    for (const TaskRequest &request : ticket.tasks) {
        const TaskShape shape = detail::shapeOf(request, byDefault);
        job.tasks.push_back(ScheduledTask{shape.declaredUs, shape.cores, shape.memoryMb});
        countQueued(job, job.tasks.back(), 1);
    }
    job.open = static_cast<std::uint32_t>(job.tasks.size());
    organisation.arrivals += job.open;
    for (std::uint32_t i = job.open; i-- > 0;)
        pushTask(job, i);
    setAlarm(ticket.deadlineUs, AlarmKind::JobDeadline, TaskRef{ticket.job, 0}, 0);
    m_dirty = true;
    static_cast<void>(now);
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

template <SlotPolicy P> void BasicScheduler<P>::noteStopped(TaskRef ref)
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

// Borrowing -----------------------------------------------------------------------------------------

namespace detail {

inline std::uint32_t gainRange(double ratio, std::uint32_t freeSlots)
{
    constexpr std::array<double, 5> ratios = {0.8, 1.0, 1.25, 1.6, 2.2};
    constexpr std::array<std::uint32_t, 2> frees = {5, 15};
    const auto row = std::upper_bound(ratios.begin(), ratios.end(), ratio) - ratios.begin();
    const auto column = std::upper_bound(frees.begin(), frees.end(), freeSlots) - frees.begin();
    return static_cast<std::uint32_t>(row * 3 + column);
}

} // namespace detail

// The peer whose slot is worth most: the gain times the share of such requests that it granted lately, less the price
// of the messages. Empty when starting or waiting here is worth more.
template <SlotPolicy P>
std::optional<typename BasicScheduler<P>::Offer> BasicScheduler<P>::bestOffer(const TaskShape &shape, double aloneUs,
                                                                              double weight, Now now) const
{
    std::optional<Offer> best;
    double bestWorth = 0;
    const double priceScale = std::min((1 - weight) / std::max(weight, 1e-3), detail::maxPriceScale);
    const double borrowUs = detail::borrowCostUs * priceScale;
    const double refusalUs = std::exp(m_logPrice) * std::max(priceScale, detail::minPriceScale);
    const double declaredBase = m_model.baseUs(shape) / m_model.scale();
    for (const auto &[name, peer] : m_peers) {
        if (peer.freeSlots == 0 || peer.bestFactor <= 0 || now.monoUs - peer.reportUs > detail::reportStaleUs)
            continue;
        const double offerUs = declaredBase * peer.bestFactor;
        const std::uint32_t range = detail::gainRange(aloneUs / offerUs, peer.freeSlots);
        const double share = peer.granted[range];
        // A granted slot is faster than asked for; where it was expected to be slower, half of the difference is
        // assumed.
        const double gainUs = std::max(aloneUs - offerUs, aloneUs * detail::leastGain)
                - static_cast<double>(peer.roundTripUs) - borrowUs;
        const double worth = share * gainUs - (1 - share) * refusalUs - static_cast<double>(peer.roundTripUs);
        if (worth > bestWorth) {
            bestWorth = worth;
            best = Offer{name, aloneUs + refusalUs, range};
        }
    }
    return best;
}

// Each wasted message raises the price of a refusal, each message of a task lowers it by the share that the
// organisation's response weight allows, so that the share of wasted messages settles there.
template <SlotPolicy P> void BasicScheduler<P>::countSlotMessages(double sent, double wasted, double weight)
{
    const double allowed = std::min(detail::leastWasted + detail::wastedPerWeight * weight, detail::mostWasted);
    m_logPrice = std::clamp(m_logPrice + detail::priceStep * (wasted - allowed * sent), detail::minLogPrice,
                            detail::maxLogPrice);
}

template <SlotPolicy P> void BasicScheduler<P>::send(std::string_view node, PeerMessage message)
{
    m_outbox.push_back({std::string(node), std::move(message)});
}

template <SlotPolicy P> void BasicScheduler<P>::requestSlot(const FairQueue::Place &place, const Offer &offer, Now now)
{
    auto &job = m_jobs.at(place.job);
    const std::uint32_t index = takeTask(job);
    auto &task = job.tasks[index];
    const TaskShape byDefault = templateShape(job.templateId);
    // The lender knows the template, not the task: the bound is converted to a task of the template's declared time.
    const double bound = offer.maxUs * m_model.baseUs(byDefault) / m_model.baseUs(shapeOf(job, task));
    const std::uint64_t id = m_nextRequest++;
    task.phase = TaskPhase::Requested;
    task.request = id;
    m_requests[id] = OpenRequest{offer.node, TaskRef{place.job, index}, offer.range};
    --m_peers.at(offer.node).freeSlots;
    ++m_counters.slotRequests;
    send(offer.node,
         SlotRequest{id, std::string(m_configuration.name(job.templateId)), task.cores, task.memoryMb,
                     bound < 4e9 ? static_cast<std::uint32_t>(bound) : 0});
    setAlarm(now.monoUs + detail::requestTimeoutUs, AlarmKind::RequestTimeout, {}, id);
}

// No own slot is free: asks peers for any slot, for whichever task is then next in order. A peer without a free slot
// holds the request for some ms. The gain is the wait of the last task in the queue, as each slot shortens the whole
// queue.
template <SlotPolicy P> void BasicScheduler<P>::askForSlots(const TaskShape &shape, double weight, Now now)
{
    if (m_heldRequests >= std::min(m_readyTasks, detail::maxHeldRequests))
        return;
    const double gapUs = m_pool.totalRate() > 0 ? m_model.meanBaseUs() / m_pool.totalRate() : detail::noSlotGapUs;
    const double priceScale =
            std::clamp((1 - weight) / std::max(weight, 1e-3), detail::minPriceScale, detail::maxPriceScale);
    const double refusalUs = std::exp(m_logPrice) * priceScale;
    for (auto &[name, peer] : m_peers) {
        const double gainUs = gapUs * (m_readyTasks - m_heldRequests) - static_cast<double>(peer.roundTripUs)
                - detail::borrowCostUs * priceScale;
        const double worth = peer.grantedHeld * gainUs - (1 - peer.grantedHeld) * refusalUs;
        if (worth <= 0 || peer.held > 0 || now.monoUs - peer.reportUs > detail::reportStaleUs)
            continue;
        const std::uint64_t id = m_nextRequest++;
        m_requests[id] = OpenRequest{name, {}, 0, true, false};
        ++peer.held;
        ++m_counters.slotRequests;
        send(name,
             SlotRequest{id, std::string(m_configuration.name(shape.templateId)), shape.cores, shape.memoryMb, 0});
        setAlarm(now.monoUs + detail::heldTimeoutUs + peer.roundTripUs, AlarmKind::RequestTimeout, {}, id);
        if (++m_heldRequests >= std::min(m_readyTasks, detail::maxHeldRequests))
            return;
    }
}

// Forgets a request; granted says how the peer answered, if it was one that may be held.
template <SlotPolicy P> void BasicScheduler<P>::endHeld(const OpenRequest &request, bool granted)
{
    if (!request.held)
        return;
    --m_heldRequests;
    if (const auto peer = m_peers.find(request.node); peer != m_peers.end()) {
        --peer->second.held;
        peer->second.grantedHeld += detail::grantedRate * ((granted ? 1 : 0) - peer->second.grantedHeld);
    }
}

// The task of the request goes back to the queue, if it still waits for the answer.
template <SlotPolicy P> void BasicScheduler<P>::requeue(std::uint64_t id, Now)
{
    const auto request = m_requests.find(id);
    if (request == m_requests.end() || !request->second.wanted || request->second.granted)
        return;
    request->second.wanted = false;
    auto &job = m_jobs.at(request->second.task.job);
    job.tasks[request->second.task.index].request = 0;
    pushTask(job, request->second.task.index);
    m_dirty = true;
}

template <SlotPolicy P> void BasicScheduler<P>::returnUnused(std::uint64_t request, const std::string &node)
{
    send(node, SlotReturn{request, false, AttemptOutcome::NotStarted, 0});
    ++m_counters.grantsUnused;
    countSlotMessages(0, 3);
    m_requests.erase(request);
}

template <SlotPolicy P>
void BasicScheduler<P>::onPeerMessage(std::string_view node, const SlotRequest &message, Now now)
{
    const LoanKey key(std::string(node), message.requestId);
    const auto templateId = m_configuration.findTemplate(message.templateName);
    if (m_generation != m_configuration.generation())
        onConfiguration(now);
    if (templateId && !m_loans.contains(key) && m_peers.contains(node)) {
        TaskShape shape = templateShape(*templateId);
        shape.cores = message.cores;
        shape.memoryMb = message.memoryMb;
        const auto chosen = P::usesHeldSlots ? m_policy.choose(m_pool, m_model, shape, m_random) : std::nullopt;
        if (chosen
            && (message.maxServiceUs == 0 || m_model.expectedPerSuccessUs(shape, *chosen) <= message.maxServiceUs)) {
            lend(key, shape, *chosen, now);
            return;
        }
        if (!chosen && message.maxServiceUs == 0 && P::usesHeldSlots) {
            m_held.push_back({key.first, message.requestId, shape, now.monoUs + detail::heldTimeoutUs});
            return;
        }
    }
    send(node, SlotRefuse{message.requestId});
}

template <SlotPolicy P>
void BasicScheduler<P>::lend(const LoanKey &key, const TaskShape &shape, BackendId backend, Now now)
{
    const std::int64_t leaseMs = m_templates[raw(shape.templateId)].deadlineMs + detail::loanMarginMs;
    const std::int64_t endsUs = now.monoUs + leaseMs * usPerMs;
    m_loans[key] = SlotLoan{backend, shape, now.monoUs, endsUs};
    m_breakers.onStart(backend, now.monoUs);
    updateBackend(backend, now.monoUs, [](BackendSlots &slots) { ++slots.lent; });
    refreshChanged(now.monoUs);
    setAlarm(endsUs, AlarmKind::LoanEnd, {}, key.second, key.first);
    ++m_counters.slotsLent;
    send(key.first, SlotGrant{key.second, m_pool[backend].info.name, leaseMs});
}

// Lends slots that the own queue has left free to the requests that wait for any slot, oldest first.
template <SlotPolicy P> void BasicScheduler<P>::serveHeld(Now now)
{
    while (!m_held.empty()) {
        const HeldRequest request = m_held.front();
        const auto chosen = m_policy.choose(m_pool, m_model, request.shape, m_random);
        if (request.endsUs > now.monoUs && !chosen)
            return;
        m_held.pop_front();
        if (request.endsUs > now.monoUs && m_peers.contains(request.node))
            lend(LoanKey(request.node, request.id), request.shape, *chosen, now);
    }
}

template <SlotPolicy P> void BasicScheduler<P>::onPeerMessage(std::string_view node, const SlotGrant &message, Now)
{
    const auto request = m_requests.find(message.requestId);
    if (request == m_requests.end() || request->second.node != node || request->second.granted) {
        send(node, SlotReturn{message.requestId, false, AttemptOutcome::NotStarted, 0});
        ++m_counters.grantsUnused;
        return;
    }
    if (const auto peer = m_peers.find(node); peer != m_peers.end()) {
        double &granted = peer->second.granted[request->second.range];
        granted += request->second.held ? 0 : detail::grantedRate * (1 - granted);
    }
    m_grants.emplace_back(std::string(node), message);
    m_dirty = true;
}

template <SlotPolicy P> void BasicScheduler<P>::onPeerMessage(std::string_view node, const SlotRefuse &message, Now now)
{
    const auto request = m_requests.find(message.requestId);
    if (request == m_requests.end() || request->second.node != node || request->second.granted)
        return;
    ++m_counters.slotsRefused;
    countSlotMessages(0, 2);
    if (const auto peer = m_peers.find(node); peer != m_peers.end()) {
        double &granted = peer->second.granted[request->second.range];
        granted -= request->second.held ? 0 : detail::grantedRate * granted;
    }
    endHeld(request->second, false);
    requeue(message.requestId, now);
    m_requests.erase(message.requestId);
}

template <SlotPolicy P> void BasicScheduler<P>::onPeerMessage(std::string_view node, const SlotReturn &message, Now now)
{
    const LoanKey key(std::string(node), message.requestId);
    const auto found = m_loans.find(key);
    if (found == m_loans.end())
        return;
    const SlotLoan loan = found->second;
    if (message.used)
        learn(loan.shape, loan.backend, message.outcome, message.serviceUs, loan.startUs, now.monoUs);
    else
        m_breakers.onEnd(loan.backend, Signal::Neutral, loan.startUs, now.monoUs);
    endLoan(key, now.monoUs);
}

template <SlotPolicy P> void BasicScheduler<P>::endLoan(const LoanKey &key, std::int64_t nowUs)
{
    const auto found = m_loans.find(key);
    const BackendId backend = found->second.backend;
    m_loans.erase(found);
    updateBackend(backend, nowUs, [](BackendSlots &slots) { --slots.lent; });
    refreshChanged(nowUs);
    m_dirty = true;
}

template <SlotPolicy P> void BasicScheduler<P>::onPeerLost(std::string_view node, Now now)
{
    std::vector<LoanKey> ended;
    for (const auto &[key, loan] : m_loans)
        if (key.first == node)
            ended.push_back(key);
    for (const LoanKey &key : ended) {
        m_breakers.onEnd(m_loans.at(key).backend, Signal::Neutral, m_loans.at(key).startUs, now.monoUs);
        endLoan(key, now.monoUs);
    }
    // Tasks that run on its slots go on; nothing is returned to it. In the order of the ids, for the sake of
    // determinism.
    std::vector<std::uint64_t> requests;
    for (const auto &[id, request] : m_requests)
        if (request.node == node)
            requests.push_back(id);
    std::sort(requests.begin(), requests.end());
    std::erase_if(m_grants, [&](const auto &grant) { return grant.first == node; });
    for (const std::uint64_t id : requests) {
        requeue(id, now);
        endHeld(m_requests.at(id), false);
        m_requests.erase(id);
    }
    m_shares.forget(node);
    if (const auto peer = m_peers.find(node); peer != m_peers.end())
        peer->second.freeSlots = 0;
}

// Reports and timers --------------------------------------------------------------------------------

template <SlotPolicy P> void BasicScheduler<P>::onPeerMessage(std::string_view node, const Report &message, Now now)
{
    if (message.demand)
        m_shares.onReport(node, message.demand->organisations, now.monoUs);
    const auto peer = m_peers.find(node);
    if (peer == m_peers.end())
        return;
    peer->second.freeSlots = message.freeSlots;
    peer->second.bestFactor = message.bestFactor;
    peer->second.reportUs = now.monoUs;
    m_dirty = true;
}

// Reports headroom often and demand every reportRoundsPerDemand rounds. The traffic of an entry VM must not grow with
// the fleet: at most maxReportPeers of the own zone hear of a round, in turn, and one entry VM of each other zone with
// the demand. Rounds in which nothing has changed are left out, but for those with the demand.
template <SlotPolicy P> void BasicScheduler<P>::report(Now now)
{
    const bool withDemand = m_reportRound % detail::reportRoundsPerDemand == 0;
    Report message;
    message.freeSlots = P::usesHeldSlots ? m_pool.freeSlots() : 0;
    message.queuedTasks = m_queuedTasks;
    message.bestFactor = static_cast<float>(std::exp(m_logOffer) * m_model.scale());
    message.configNext = m_configuration.nextOffset();
    const bool changed = message.freeSlots != m_lastReport.freeSlots || message.queuedTasks != m_lastReport.queuedTasks
            || message.bestFactor != m_lastReport.bestFactor;
    m_lastReport = message;
    smoothArrivals();
    if (withDemand)
        message.demand = DemandReport{demand()};
    if (withDemand || changed) {
        absl::btree_map<std::string, std::vector<std::string>> byZone;
        for (const auto &[name, peer] : m_peers)
            byZone[peer.zone].push_back(name);
        for (const auto &[zone, names] : byZone) {
            const bool isOwnZone = zone == m_settings.self.zone;
            if (!isOwnZone && !withDemand)
                continue;
            const std::size_t count = isOwnZone ? std::min(names.size(), detail::maxReportPeers) : 1;
            const std::size_t first = isOwnZone ? m_reportRound * count : m_reportRound / detail::reportRoundsPerDemand;
            for (std::size_t i = 0; i < count; ++i)
                send(names[(first + i) % names.size()], message);
        }
    }
    ++m_reportRound;
    for (auto &[name, peer] : m_peers) {
        for (double &granted : peer.granted)
            granted += detail::grantedForget * (0.5 - granted);
        peer.grantedHeld += detail::grantedForget * (0.5 - peer.grantedHeld);
    }
    updateShares(now);
}

template <SlotPolicy P> void BasicScheduler<P>::smoothArrivals()
{
    const double seconds = static_cast<double>(m_settings.reportIntervalMs) / 1000;
    for (auto &organisation : m_organisations) {
        organisation.arrivalsPerS +=
                detail::arrivalsGain * (organisation.arrivals / seconds - organisation.arrivalsPerS);
        organisation.arrivals = 0;
    }
}

template <SlotPolicy P> std::vector<OrganisationDemand> BasicScheduler<P>::demand() const
{
    std::vector<OrganisationDemand> demand;
    for (const auto &organisation : m_organisations) {
        if (organisation.queued > 0 || organisation.limiter.running() > 0 || organisation.arrivalsPerS > 0.1)
            demand.push_back({organisation.name, organisation.limiter.running(), organisation.queued,
                              static_cast<float>(organisation.arrivalsPerS)});
    }
    return demand;
}

template <SlotPolicy P>
void BasicScheduler<P>::setAlarm(std::int64_t atUs, AlarmKind kind, TaskRef task, std::uint64_t number,
                                 std::string node)
{
    m_alarms.push(Alarm{atUs, m_nextAlarm++, kind, task, number, std::move(node)});
}

template <SlotPolicy P> void BasicScheduler<P>::handleAlarm(const Alarm &alarm, Now now)
{
    switch (alarm.kind) {
    case AlarmKind::TaskDue:
        retryTask(alarm.task, now);
        break;
    case AlarmKind::JobDeadline:
        closeJob(alarm.task.job, Reason::DeadlineExceeded);
        break;
    case AlarmKind::RequestTimeout:
        if (const auto request = m_requests.find(alarm.number);
            request != m_requests.end() && !request->second.granted) {
            ++m_counters.requestsTimedOut;
            if (const auto peer = m_peers.find(request->second.node); peer != m_peers.end())
                peer->second.freeSlots = 0;
            std::erase_if(m_grants, [&](const auto &grant) { return grant.second.requestId == alarm.number; });
            requeue(alarm.number, now);
            countSlotMessages(0, 1);
            endHeld(request->second, false);
            m_requests.erase(alarm.number);
            m_dirty = true;
        }
        break;
    case AlarmKind::LoanEnd:
        if (const LoanKey key(alarm.node, alarm.number); m_loans.contains(key)) {
            ++m_counters.loansExpired;
            m_breakers.onEnd(m_loans.at(key).backend, Signal::Neutral, m_loans.at(key).startUs, now.monoUs);
            endLoan(key, now.monoUs);
        }
        break;
    case AlarmKind::BackendUnblock:
        updateBackend(BackendId(static_cast<std::uint32_t>(alarm.number)), now.monoUs, [](BackendSlots &) {});
        m_dirty = true;
        break;
    case AlarmKind::OrganisationRate:
        m_queue.unblock(OrganisationId(static_cast<std::uint32_t>(alarm.number)));
        m_dirty = true;
        break;
    }
}

template <SlotPolicy P> void BasicScheduler<P>::tick(Now now)
{
    if (m_generation != m_configuration.generation())
        onConfiguration(now);
    while (!m_alarms.empty() && m_alarms.top().atUs <= now.monoUs) {
        const Alarm alarm = m_alarms.top();
        m_alarms.pop();
        handleAlarm(alarm, now);
    }
    if (now.monoUs >= m_nextRelaxUs) {
        m_nextRelaxUs = now.monoUs + detail::relaxEveryUs;
        for (std::uint32_t i = 0; i < m_pool.size(); ++i) {
            m_model.relax(BackendId(i), now.monoUs);
            updateBackend(BackendId(i), now.monoUs, [](BackendSlots &) {});
        }
    }
    if (now.monoUs >= m_nextReportUs) {
        m_nextReportUs = now.monoUs + m_settings.reportIntervalMs * usPerMs;
        report(now);
    }
}

template <SlotPolicy P> void BasicScheduler<P>::onBackendProbed(BackendId backend, bool healthy, Now now)
{
    m_breakers.onProbed(backend, healthy, now.monoUs);
    refreshChanged(now.monoUs);
    m_dirty = true;
}

template <SlotPolicy P> std::int64_t BasicScheduler<P>::nextTimerUs() const
{
    std::int64_t next = std::min({m_nextReportUs, m_nextRelaxUs, m_breakers.nextTimerUs()});
    if (!m_alarms.empty())
        next = std::min(next, m_alarms.top().atUs);
    return next;
}

template <SlotPolicy P> std::vector<BackendStatus> BasicScheduler<P>::status() const
{
    std::vector<BackendStatus> result;
    for (std::uint32_t i = 0; i < m_pool.size(); ++i) {
        const auto id = BackendId(i);
        const auto &slots = m_pool[id];
        result.push_back({slots.info.name, slots.held, slots.used, slots.lent, slots.attempts, m_model.factor(id),
                          m_breakers.group(id), m_breakers.state(id), m_breakers.groupState(id), slots.leaving,
                          slots.gone});
    }
    return result;
}

} // namespace clementinelift::core
