// Definitions of BasicScheduler: slots borrowed from peers and lent to them. Included by basic_scheduler.h only.
#pragma once

namespace clementinelift::core {

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
        const double gainUs = aloneUs - offerUs - static_cast<double>(peer.roundTripUs) - borrowUs;
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

} // namespace clementinelift::core
