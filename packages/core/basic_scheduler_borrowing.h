// Definitions of BasicScheduler: slots borrowed from peers and lent to them. Included by basic_scheduler.h only.
#pragma once

namespace clementinelift::core {

// Borrowing -----------------------------------------------------------------------------------------

namespace detail {

inline std::uint32_t grantBucketOf(double ratio, std::uint32_t freeSlots)
{
    constexpr std::array<double, 5> ratios = {0.8, 1.0, 1.25, 1.6, 2.2};
    constexpr std::array<std::uint32_t, 2> frees = {5, 15};
    const auto row = std::upper_bound(ratios.begin(), ratios.end(), ratio) - ratios.begin();
    const auto column = std::upper_bound(frees.begin(), frees.end(), freeSlots) - frees.begin();
    return static_cast<std::uint32_t>(row * 3 + column);
}

} // namespace detail

// Returns the peer with the highest expected benefit of a slot request: (saved time x probability of a grant) - (cost
// of a refusal x probability of a refusal) - round-trip time. Empty when no peer has a positive benefit.
template <SlotPolicy P>
std::optional<typename BasicScheduler<P>::Offer> BasicScheduler<P>::bestOffer(const TaskShape &shape, double aloneUs,
                                                                              double weight, Now now) const
{
    std::optional<Offer> best;
    double bestWorth = 0;
    const double costScale = std::min((1 - weight) / std::max(weight, 1e-3), detail::maxCostScale);
    const double borrowUs = detail::borrowCostUs * costScale;
    const double refusalUs = std::exp(m_logRefusalCost) * std::max(costScale, detail::minCostScale);
    const double declaredBase = m_model.baseUs(shape) / m_model.scale();
    for (const auto &[name, peer] : m_peers) {
        if (peer.freeSlots == 0 || peer.bestFactor <= 0 || now.monoUs - peer.reportUs > detail::reportStaleUs)
            continue;
        const double offerUs = declaredBase * peer.bestFactor;
        const std::uint32_t grantBucket = detail::grantBucketOf(aloneUs / offerUs, peer.freeSlots);
        const double grantShare = peer.grantShares[grantBucket];
        const double gainUs = aloneUs - offerUs - static_cast<double>(peer.roundTripUs) - borrowUs;
        const double worth = grantShare * gainUs - (1 - grantShare) * refusalUs - static_cast<double>(peer.roundTripUs);
        if (worth > bestWorth) {
            bestWorth = worth;
            best = Offer{name, aloneUs + refusalUs, grantBucket};
        }
    }
    return best;
}

// Controls the share of wasted messages: each wasted message raises the cost of a refusal, each message of a started
// task lowers it by the wasted share that the organisation's response weight allows. The wasted share settles at the
// allowed share.
template <SlotPolicy P> void BasicScheduler<P>::countSlotMessages(double sent, double wasted, double weight)
{
    const double allowed =
            std::min(detail::minWastedShare + detail::wastedSharePerWeight * weight, detail::maxWastedShare);
    m_logRefusalCost = std::clamp(m_logRefusalCost + detail::refusalCostStep * (wasted - allowed * sent),
                                  detail::minLogRefusalCost, detail::maxLogRefusalCost);
}

template <SlotPolicy P> void BasicScheduler<P>::send(std::string_view node, PeerMessage message)
{
    m_outgoingMessages.push_back({std::string(node), std::move(message)});
}

template <SlotPolicy P>
void BasicScheduler<P>::requestSlot(const FairQueue::QueueEntry &entry, const Offer &offer, Now now)
{
    auto &job = m_jobs.at(entry.job);
    const std::uint32_t index = takeTask(job);
    auto &task = job.tasks[index];
    const TaskShape templateDefaults = templateShape(job.templateId);
    // The lender knows only the template, so the bound is converted to a task with the template's declared time.
    const double bound = offer.maxUs * m_model.baseUs(templateDefaults) / m_model.baseUs(shapeOf(job, task));
    const std::uint64_t id = m_nextRequest++;
    task.phase = TaskPhase::Requested;
    task.request = id;
    m_requests[id] = OutstandingRequest{offer.node, TaskRef{entry.job, index}, offer.grantBucket};
    --m_peers.at(offer.node).freeSlots;
    ++m_counters.slotRequests;
    send(offer.node,
         SlotRequest{id, std::string(m_configuration.name(job.templateId)), task.cores, task.memoryMb,
                     bound < 4e9 ? static_cast<std::uint32_t>(bound) : 0});
    setTimer(now.monoUs + detail::requestTimeoutUs, SchedulerTimerKind::RequestTimeout, {}, id);
}

// Called when no held slot is free. Requests any slot from peers, for whichever task is next when the grant arrives. A
// peer without a free slot defers its answer by up to deferTimeoutUs. The gain is the expected wait of the last queued
// task, because each further slot shortens the wait of the whole queue.
template <SlotPolicy P> void BasicScheduler<P>::requestAnySlot(const TaskShape &shape, double weight, Now now)
{
    if (m_deferrableRequests >= std::min(m_readyTasks, detail::maxDeferrableRequests))
        return;
    const double slotReleaseIntervalUs =
            m_pool.totalRate() > 0 ? m_model.meanBaseUs() / m_pool.totalRate() : detail::noSlotReleaseIntervalUs;
    const double costScale =
            std::clamp((1 - weight) / std::max(weight, 1e-3), detail::minCostScale, detail::maxCostScale);
    const double refusalUs = std::exp(m_logRefusalCost) * costScale;
    for (auto &[name, peer] : m_peers) {
        const double gainUs = slotReleaseIntervalUs * (m_readyTasks - m_deferrableRequests)
                - static_cast<double>(peer.roundTripUs) - detail::borrowCostUs * costScale;
        const double worth = peer.deferrableGrantShare * gainUs - (1 - peer.deferrableGrantShare) * refusalUs;
        if (worth <= 0 || peer.deferrableRequests > 0 || now.monoUs - peer.reportUs > detail::reportStaleUs)
            continue;
        const std::uint64_t id = m_nextRequest++;
        m_requests[id] = OutstandingRequest{name, {}, 0, true, false};
        ++peer.deferrableRequests;
        ++m_counters.slotRequests;
        send(name,
             SlotRequest{id, std::string(m_configuration.name(shape.templateId)), shape.cores, shape.memoryMb, 0});
        setTimer(now.monoUs + detail::deferTimeoutUs + peer.roundTripUs, SchedulerTimerKind::RequestTimeout, {}, id);
        if (++m_deferrableRequests >= std::min(m_readyTasks, detail::maxDeferrableRequests))
            return;
    }
}

// Ends the accounting of a deferrable request and learns from its answer; no effect on other requests.
template <SlotPolicy P> void BasicScheduler<P>::finishDeferrableRequest(const OutstandingRequest &request, bool granted)
{
    if (!request.deferrable)
        return;
    --m_deferrableRequests;
    if (const auto peer = m_peers.find(request.node); peer != m_peers.end()) {
        --peer->second.deferrableRequests;
        peer->second.deferrableGrantShare +=
                detail::grantShareSmoothing * ((granted ? 1 : 0) - peer->second.deferrableGrantShare);
    }
}

// Returns the task of the request to the queue if the task still waits for the answer.
template <SlotPolicy P> void BasicScheduler<P>::requeue(std::uint64_t id, Now)
{
    const auto request = m_requests.find(id);
    if (request == m_requests.end() || !request->second.taskWaiting || request->second.granted)
        return;
    request->second.taskWaiting = false;
    auto &job = m_jobs.at(request->second.task.job);
    job.tasks[request->second.task.index].request = 0;
    pushTask(job, request->second.task.index);
    m_startsDue = true;
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
            m_deferredRequests.push_back({key.first, message.requestId, shape, now.monoUs + detail::deferTimeoutUs});
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
    setTimer(endsUs, SchedulerTimerKind::LoanEnd, {}, key.second, key.first);
    ++m_counters.slotsLent;
    send(key.first, SlotGrant{key.second, m_pool[backend].info.name, leaseMs});
}

// Lends slots that the own queue has left free to deferred requests, oldest first.
template <SlotPolicy P> void BasicScheduler<P>::grantDeferredRequests(Now now)
{
    while (!m_deferredRequests.empty()) {
        const DeferredRequest request = m_deferredRequests.front();
        const auto chosen = m_policy.choose(m_pool, m_model, request.shape, m_random);
        if (request.endsUs > now.monoUs && !chosen)
            return;
        m_deferredRequests.pop_front();
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
        double &grantShare = peer->second.grantShares[request->second.grantBucket];
        grantShare += request->second.deferrable ? 0 : detail::grantShareSmoothing * (1 - grantShare);
    }
    m_grants.emplace_back(std::string(node), message);
    m_startsDue = true;
}

template <SlotPolicy P> void BasicScheduler<P>::onPeerMessage(std::string_view node, const SlotRefuse &message, Now now)
{
    const auto request = m_requests.find(message.requestId);
    if (request == m_requests.end() || request->second.node != node || request->second.granted)
        return;
    ++m_counters.slotsRefused;
    countSlotMessages(0, 2);
    if (const auto peer = m_peers.find(node); peer != m_peers.end()) {
        double &grantShare = peer->second.grantShares[request->second.grantBucket];
        grantShare -= request->second.deferrable ? 0 : detail::grantShareSmoothing * grantShare;
    }
    finishDeferrableRequest(request->second, false);
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
    m_startsDue = true;
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
    // Tasks that run on slots of the lost peer continue; their slots are not returned. Requests are ended in the order
    // of their ids, as the order of the hash map is not deterministic.
    std::vector<std::uint64_t> requests;
    for (const auto &[id, request] : m_requests)
        if (request.node == node)
            requests.push_back(id);
    std::sort(requests.begin(), requests.end());
    std::erase_if(m_grants, [&](const auto &grant) { return grant.first == node; });
    for (const std::uint64_t id : requests) {
        requeue(id, now);
        finishDeferrableRequest(m_requests.at(id), false);
        m_requests.erase(id);
    }
    m_shares.discardReport(node);
    if (const auto peer = m_peers.find(node); peer != m_peers.end())
        peer->second.freeSlots = 0;
}

} // namespace clementinelift::core
