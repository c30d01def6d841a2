// Definitions of BasicScheduler: views of the platform, admission, reports and timers. Included by basic_scheduler.h
// only.
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
    deal(now);
}

// Deals the slots of all backend servers anew; a zone without entry VMs is served by all of them. When the last entry
// VM of a zone is lost the network may be cut, so its backend servers are probed before any task goes there.
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
    const double fair = own.queuedWorkUs * weights / std::max(own.parameters.weight, 1e-3);
    const bool alone = m_classWorkUs.empty() || m_classWorkUs.begin()->first >= priorityClass;
    double ownWork = 0;
    for (const TaskRequest &task : job.tasks)
        ownWork += m_model.baseUs(shapeOf(task, templateShape(job.templateId)));
    return ((alone ? std::min(ahead, fair) : ahead) + ownWork) / m_pool.totalRate();
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
    const TaskShape byDefault = templateShape(job.templateId);
    TaskShape small = byDefault;
    small.cores = 0;
    small.memoryMb = 0;
    if (!fitsSomewhere(small))
        return Reason::NoBackend;
    TaskShape largest = byDefault;
    double longestUs = 0;
    for (const TaskRequest &task : job.tasks) {
        const TaskShape shape = shapeOf(task, byDefault);
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
