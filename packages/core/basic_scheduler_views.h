// Definitions of BasicScheduler: state of the platform, admission, reports and timers. Included by basic_scheduler.h
// only.
#pragma once

namespace clementinelift::core {

template <SlotPolicy P>
BasicScheduler<P>::BasicScheduler(const CoreSettings &settings, const Configuration &configuration)
    : m_settings(settings), m_configuration(configuration), m_random(settings.seed),
      m_breakers(settings.seed ^ 0x9e3779b97f4a7c15), m_live{settings.self}, m_liveInZone{settings.self}
{}

// State of the platform -----------------------------------------------------------------------------

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
            // The VM list lags behind: a backend server reported as leaving by a peer stays leaving until it is missing
            // from the list.
            const bool leaving = info.leaving || (slots.leaving && !slots.gone);
            slots.info = info;
            slots.leaving = slots.info.leaving = leaving;
            slots.gone = false;
        });
    }
    for (std::uint32_t i = 0; i < m_pool.size(); ++i)
        if (!listed.contains(i))
            m_pool.update(BackendId(i), 1, now.monoUs, [](BackendSlots &slots) { slots.gone = true; });
    assignSlots(now);
}

template <SlotPolicy P> void BasicScheduler<P>::setLeaving(std::string_view backend, Now now)
{
    const auto id = m_pool.find(backend);
    if (!id)
        return;
    m_breakers.setUsable(*id, false);
    updateBackend(*id, now.monoUs, [](BackendSlots &slots) { slots.leaving = slots.info.leaving = true; });
    m_startsDue = true;
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
        if (std::none_of(m_live.begin(), m_live.end(),
                         [&, &peerName = name](const NodeInfo &node) { return node.name == peerName; }))
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
    assignSlots(now);
}

// Recomputes which slots of all backend servers this entry VM holds. The slots of a zone without live entry VMs are
// divided among all live entry VMs. The loss of the last entry VM of a zone may mean that the network to the zone is
// down, so its backend servers are probed before a task starts there.
template <SlotPolicy P> void BasicScheduler<P>::assignSlots(Now now)
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
            held = assignedSlotCount(info, m_settings.self.name, zone == byZone.end() ? m_live : zone->second);
        m_breakers.setCapacity(id, held);
        m_breakers.setUsable(id, !m_pool[id].gone && !m_pool[id].leaving);
        if (zone == byZone.end() && m_servedZones.contains(info.zone))
            m_breakers.requireProbe(id, now.monoUs);
        updateBackend(id, now.monoUs, [&](BackendSlots &slots) {
            slots.held = held;
            slots.connections = std::max(1u, info.connections / static_cast<std::uint32_t>(m_live.size()));
        });
    }
    m_servedZones.clear();
    for (const auto &[zone, nodes] : byZone)
        m_servedZones.insert(zone);
    refreshChanged(now.monoUs);
    m_startsDue = true;
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

// Recomputes the parts of fleet-wide limits for this entry VM and unblocks the blocked organisations.
template <SlotPolicy P> void BasicScheduler<P>::updateShares(Now now)
{
    for (std::uint32_t i = 0; i < m_organisations.size(); ++i) {
        auto &organisation = m_organisations[i];
        const auto &limits = organisation.parameters;
        const double demand = organisation.limiter.running() + organisation.queued;
        const double part = m_shares.share(1, organisation.name, demand, now.monoUs);
        const double concurrency =
                m_shares.wholeTaskShare(limits.concurrency, part, organisation.name, m_settings.self.name, now.wallMs);
        organisation.limiter.setShares(concurrency, limits.ratePerS * part, now.monoUs);
        if (m_queue.isBlocked(OrganisationId(i))) {
            m_queue.unblock(OrganisationId(i));
            m_startsDue = true;
        }
    }
}

// Admission -----------------------------------------------------------------------------------------

template <SlotPolicy P> TaskShape BasicScheduler<P>::templateShape(TemplateId id) const
{
    const auto &parameters = m_templates[raw(id)];
    return TaskShape{id, parameters.runMs * double(usPerMs), parameters.cores, parameters.memoryMb};
}

template <SlotPolicy P> bool BasicScheduler<P>::fitsSomewhere(const TaskShape &shape) const
{
    for (std::uint32_t i = 0; i < m_pool.size(); ++i)
        if (!m_pool[BackendId(i)].gone && !m_pool[BackendId(i)].leaving && fits(shape, m_pool[BackendId(i)].info))
            return true;
    return false;
}

// Expected time until the held slots have completed the queued work ahead of the job and the job's own work. Work of
// other organisations in the same priority class counts only as far as the fair order starts it first.
template <SlotPolicy P>
double BasicScheduler<P>::expectedWaitUs(const JobDescription &job, std::uint32_t priorityClass) const
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
    const double fairOrderWork = own.queuedWorkUs * weights / std::max(own.parameters.weight, 1e-3);
    const bool alone = m_classWorkUs.empty() || m_classWorkUs.begin()->first >= priorityClass;
    double ownWork = 0;
    for (const TaskRequest &task : job.tasks)
        ownWork += m_model.baseUs(shapeOf(task, templateShape(job.templateId)));
    return ((alone ? std::min(ahead, fairOrderWork) : ahead) + ownWork) / m_pool.totalRate();
}

template <SlotPolicy P> Reason BasicScheduler<P>::admit(const JobDescription &job, Now now)
{
    if (m_generation != m_configuration.generation())
        onConfiguration(now);
    const auto &parameters = m_templates[raw(job.templateId)];
    const auto &organisation = m_organisations[raw(job.organisation)];
    const auto count = static_cast<std::uint32_t>(job.tasks.size());
    if (count > parameters.maxTasks)
        return Reason::TooManyTasks;
    const TaskShape templateDefaults = templateShape(job.templateId);
    TaskShape withoutResources = templateDefaults;
    withoutResources.cores = 0;
    withoutResources.memoryMb = 0;
    if (!fitsSomewhere(withoutResources))
        return Reason::NoBackend;
    TaskShape largest = templateDefaults;
    double longestUs = 0;
    for (const TaskRequest &task : job.tasks) {
        const TaskShape shape = shapeOf(task, templateDefaults);
        // Tasks of a job mostly have the same size; only a changed size is compared with the backend servers.
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
        && organisation.queued + count
                > detail::maxTasksPerFreeQueuePlace * (m_settings.maxQueuedTasks - m_queuedTasks))
        return Reason::QueueFull;

    const auto &limiter = organisation.limiter;
    const auto leftUs = static_cast<double>(job.deadlineUs - now.monoUs);
    const double waiting = organisation.queued + count;
    if (organisation.parameters.concurrency == 0
        || (organisation.queued > 0
            && waiting * m_model.meanBaseUs() * detail::admissionWaitShare
                    > leftUs * std::max(limiter.concurrency(), 1.0)))
        return Reason::OrganisationConcurrency;
    if (organisation.parameters.ratePerS <= 0
        || (waiting - limiter.tokens(now.monoUs)) * usPerS * detail::admissionWaitShare > leftUs * limiter.ratePerS())
        return Reason::OrganisationRate;
    const std::uint32_t priorityClass = organisation.parameters.priority * 10 + parameters.priority;
    const double waitUs = expectedWaitUs(job, priorityClass) * detail::admissionWaitShare;
    if (waitUs + longestUs * m_pool.fastestFactor() * detail::minServiceTimeShare > leftUs)
        return Reason::DeadlineUnreachable;
    return Reason::None;
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
    m_startsDue = true;
}

// Reports free capacity every round and demand every reportRoundsPerDemand rounds. To keep the traffic of an entry VM
// independent of the fleet size, each report goes to at most maxReportPeers peers of the own zone in rotation, and a
// report with demand also to one entry VM of each other zone. Rounds without demand and without a change are skipped.
template <SlotPolicy P> void BasicScheduler<P>::report(Now now)
{
    const bool withDemand = m_reportRound % detail::reportRoundsPerDemand == 0;
    Report message;
    message.freeSlots = P::usesHeldSlots ? m_pool.freeSlots() : 0;
    message.queuedTasks = m_queuedTasks;
    message.bestFactor = static_cast<float>(std::exp(m_logBestFactor) * m_model.scale());
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
        for (double &grantShare : peer.grantShares)
            grantShare += detail::grantShareDecay * (0.5 - grantShare);
        peer.deferrableGrantShare += detail::grantShareDecay * (0.5 - peer.deferrableGrantShare);
    }
    updateShares(now);
}

template <SlotPolicy P> void BasicScheduler<P>::smoothArrivals()
{
    const double seconds = static_cast<double>(m_settings.reportIntervalMs) / 1000;
    for (auto &organisation : m_organisations) {
        organisation.arrivalsPerS +=
                detail::arrivalsSmoothing * (organisation.arrivals / seconds - organisation.arrivalsPerS);
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
void BasicScheduler<P>::setTimer(std::int64_t atUs, SchedulerTimerKind kind, TaskRef task, std::uint64_t number,
                                 std::string node)
{
    m_timers.push(SchedulerTimer{atUs, m_nextTimerSequence++, kind, task, number, std::move(node)});
}

template <SlotPolicy P> void BasicScheduler<P>::handleTimer(const SchedulerTimer &timer, Now now)
{
    switch (timer.kind) {
    case SchedulerTimerKind::TaskDue:
        retryDelayedTask(timer.task, now);
        break;
    case SchedulerTimerKind::JobDeadline:
        closeJob(timer.task.job, Reason::DeadlineExceeded);
        break;
    case SchedulerTimerKind::RequestTimeout:
        if (const auto request = m_requests.find(timer.number);
            request != m_requests.end() && !request->second.granted) {
            ++m_counters.requestsTimedOut;
            if (const auto peer = m_peers.find(request->second.node); peer != m_peers.end())
                peer->second.freeSlots = 0;
            std::erase_if(m_grants, [&](const auto &grant) { return grant.second.requestId == timer.number; });
            requeue(timer.number, now);
            countSlotMessages(0, 1);
            finishDeferrableRequest(request->second, false);
            m_requests.erase(timer.number);
            m_startsDue = true;
        }
        break;
    case SchedulerTimerKind::LoanEnd:
        if (const LoanKey key(timer.node, timer.number); m_loans.contains(key)) {
            ++m_counters.loansExpired;
            m_breakers.onEnd(m_loans.at(key).backend, Signal::Neutral, m_loans.at(key).startUs, now.monoUs);
            endLoan(key, now.monoUs);
        }
        break;
    case SchedulerTimerKind::BackendUnblock:
        updateBackend(BackendId(static_cast<std::uint32_t>(timer.number)), now.monoUs, [](BackendSlots &) {});
        m_startsDue = true;
        break;
    case SchedulerTimerKind::OrganisationRate:
        m_queue.unblock(OrganisationId(static_cast<std::uint32_t>(timer.number)));
        m_startsDue = true;
        break;
    }
}

template <SlotPolicy P> void BasicScheduler<P>::runTimers(Now now)
{
    if (m_generation != m_configuration.generation())
        onConfiguration(now);
    while (!m_timers.empty() && m_timers.top().atUs <= now.monoUs) {
        const SchedulerTimer timer = m_timers.top();
        m_timers.pop();
        handleTimer(timer, now);
    }
    if (now.monoUs >= m_nextDecayUs) {
        m_nextDecayUs = now.monoUs + detail::decayIntervalUs;
        for (std::uint32_t i = 0; i < m_pool.size(); ++i) {
            m_model.decayToLongTerm(BackendId(i), now.monoUs);
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
    m_startsDue = true;
}

template <SlotPolicy P> std::int64_t BasicScheduler<P>::nextTimerUs() const
{
    std::int64_t next = std::min({m_nextReportUs, m_nextDecayUs, m_breakers.nextTimerUs()});
    if (!m_timers.empty())
        next = std::min(next, m_timers.top().atUs);
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
