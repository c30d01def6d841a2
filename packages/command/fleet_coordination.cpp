#include "command/fleet_dispatcher.h"

#include "command/text.h"

#include <algorithm>
#include <limits>

namespace clementinelift::command {

namespace {

constexpr TimeUs electionIntervalUs = 100 * usPerMs;
constexpr TimeUs firstElectionDelayUs = 600 * usPerMs; // the entry VMs of a new deployment start within 300 ms
constexpr TimeUs unreachableUs = 1500 * usPerMs; // without a link; allows for a restart and several connection attempts
constexpr TimeUs demotionDelayUs = 5 * usPerS;   // shards do not move when a commander returns only briefly
constexpr TimeUs unneededLinkUs = 10 * usPerS;   // an unneeded link is closed after this
constexpr TimeUs maxRequestAgeUs = 450 * usPerMs; // as for orders between commanders: three heartbeats
// A request whose coordinator has been silent for longer is kept for a second attempt; below maxRequestAgeUs by more
// than a message takes.
constexpr TimeUs mayBeTooOldUs = 200 * usPerMs;
constexpr std::string_view requestTooOld = "request_too_old";
constexpr TimeUs coordinatorWaitUs = 600 * usPerMs; // a process has its links within 500 ms of its start
constexpr std::size_t maxQueuedRequests = 500;
constexpr std::uint64_t remoteCallerBit = 1ULL << 63; // ids of own callers count up from 1

} // namespace

// Election ------------------------------------------------------------------------------------------

void FleetDispatcher::on(PeerAnnounced &event)
{
    if (event.node == m_settings.node)
        return;
    Announced &announced = m_announced[event.node];
    announced.zone = event.zone;
    announced.milliCores = event.milliCores;
    if (announced.linkWanted) // the address may have changed
        m_actions->push_back(LinkPeer{event.node, true});
    m_lastElectionAt = 0;
}

void FleetDispatcher::on(PeerWithdrawn &event)
{
    if (m_announced.erase(event.node) > 0)
        m_actions->push_back(LinkPeer{event.node, false});
}

void FleetDispatcher::on(PeersKnown &event)
{
    if (m_electionsFrom == never)
        m_electionsFrom = m_now + (event.isFirstStart ? firstElectionDelayUs : 0);
}

// An entry VM to which a link is wanted counts as alive until there has been no link for unreachableUs.
bool FleetDispatcher::isAlive(std::string_view node, const Announced &announced) const
{
    const auto peer = m_peers.find(node);
    if (peer != m_peers.end() && peer->second.connected)
        return !peer->second.stopping; // the next in rank takes over before the draining one exits
    return !announced.linkWanted || announced.unreachableSince == never
            || m_now - announced.unreachableSince < unreachableUs;
}

void FleetDispatcher::elect()
{
    if (m_now < m_electionsFrom || m_now - m_lastElectionAt < electionIntervalUs || m_drainingSince != never)
        return;
    m_lastElectionAt = m_now;
    std::map<std::string_view, std::vector<ZoneMember>> zones;
    zones[m_settings.zone].push_back({m_settings.node, m_settings.milliCores});
    for (auto &[node, announced] : m_announced) {
        const auto peer = m_peers.find(node);
        const bool isMissing = announced.linkWanted && (peer == m_peers.end() || !peer->second.connected);
        announced.unreachableSince = isMissing ? std::min(announced.unreachableSince, m_now) : never;
        if (isAlive(node, announced))
            zones[announced.zone].push_back({node, announced.milliCores});
    }
    const std::vector<std::string_view> own = electCommanders(zones[m_settings.zone]);
    const auto rank = static_cast<std::size_t>(std::find(own.begin(), own.end(), m_settings.node) - own.begin());
    const bool isElected = rank < own.size();
    m_notElectedSince = isElected ? never : std::min(m_notElectedSince, m_now);
    if (isElected && !m_commands)
        setCommanding(true);
    else if (m_commands && m_notElectedSince != never && m_now - m_notElectedSince >= demotionDelayUs)
        setCommanding(false);
    if (!m_commands && m_takesShards && !m_commander.hasRuns()) {
        m_takesShards = false;
        m_actions->push_back(TakeShards{false});
    }
    std::vector<std::string_view> wanted;
    for (const auto &[zone, members] : zones) {
        const bool isOwnZone = zone == m_settings.zone;
        if (!isOwnZone && (!m_commands || !isElected))
            continue;
        const std::vector<std::string_view> commanders = electCommanders(members);
        for (std::size_t other = 0; other < commanders.size(); ++other) {
            if (isOwnZone || areLinked(rank, own.size(), other, commanders.size(), zones.size()))
                wanted.push_back(commanders[other]);
        }
    }
    updateLinks(wanted);
}

void FleetDispatcher::setCommanding(bool commands)
{
    m_commands = commands;
    m_forecast.reset();
    logLine(false, "peers",
            concat(commands ? "entry VM elected as commander" : "entry VM no longer elected as commander", " zone=",
                   m_settings.zone, " milli_cores=", m_settings.milliCores, " announced=", m_announced.size()));
    if (commands && !m_takesShards) {
        m_takesShards = true;
        m_actions->push_back(TakeShards{true});
        return;
    }
    // Without shards no further task is started. When re-elected before leaving the group, the entry VM still has its
    // earlier shards, and the store does not report them again because it reports only changes.
    ShardsAssigned assigned = m_assignedShards;
    if (!commands)
        assigned.shards.clear();
    m_commander.assignShards(m_now, assigned, *m_actions, m_ended);
}

void FleetDispatcher::updateLinks(std::span<const std::string_view> wanted)
{
    for (auto &[node, announced] : m_announced) {
        // Within the zone the peer may need the link for forwarding requests even when this entry VM does not.
        const bool isWanted = std::find(wanted.begin(), wanted.end(), node) != wanted.end()
                || (announced.linkWanted && announced.zone == m_settings.zone);
        announced.unneededSince = isWanted || !announced.linkWanted || announced.unreachableSince != never
                ? never
                : std::min(announced.unneededSince, m_now);
        const bool isUnneeded = announced.unneededSince != never && m_now - announced.unneededSince >= unneededLinkUs;
        if (isWanted == announced.linkWanted || (!isWanted && !isUnneeded))
            continue;
        announced.linkWanted = isWanted;
        m_actions->push_back(LinkPeer{node, isWanted});
    }
}

// Forwarded requests --------------------------------------------------------------------------------

bool FleetDispatcher::isCoordinator(const Peer &peer) const
{
    return !peer.lost && peer.coordinates && peer.zone == m_settings.zone;
}

bool FleetDispatcher::hasCoordinator() const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) { return isCoordinator(entry.second); });
}

// A commander starts the tasks of its own jobs first, so under scarcity the jobs of a coordinator without backend
// servers hardly get any; those of a draining one do, until it hands its shards over. Lower ranks are preferred.
int FleetDispatcher::coordinatorRank(const Peer &peer) const
{
    constexpr int withoutShards = 2;
    return (peer.holdsShards ? 0 : withoutShards) + (peer.stopping ? 1 : 0);
}

// The lowest rank of a coordinator other than this entry VM.
int FleetDispatcher::bestCoordinatorRank() const
{
    int best = std::numeric_limits<int>::max();
    for (const auto &[node, peer] : m_peers)
        best = isCoordinator(peer) ? std::min(best, coordinatorRank(peer)) : best;
    return best;
}

bool FleetDispatcher::coordinatesOwnCallers() const
{
    constexpr int highestWithShards = 1;
    return m_commands && (!m_assignedShards.shards.empty() || bestCoordinatorRank() > highestWithShards);
}

void FleetDispatcher::forwardRequest(CallerRequest &&request, std::string_view job)
{
    if (m_now < m_noStartsUntil) { // the caller may have disconnected while this process was suspended
        queueRequest(std::move(request), job);
        return;
    }
    std::vector<ZoneMember> coordinators;
    const int rank = bestCoordinatorRank();
    for (const auto &[node, peer] : m_peers) {
        if (!isCoordinator(peer) || coordinatorRank(peer) != rank)
            continue;
        const auto announced = m_announced.find(node);
        coordinators.push_back({node, announced == m_announced.end() ? 1 : announced->second.milliCores});
    }
    // Once the process may exit, an answer could not be delivered.
    const bool isStopping = m_drained || m_now >= drainEnd();
    if (coordinators.empty() && !isStopping && tryQueueRequest(request, job))
        return;
    if (coordinators.empty() || isStopping) {
        ++m_counters.reasons[isStopping ? "stopping" : "no_coordinator"];
        logLine(true, "jobs",
                concat("job refused job=", job, " reason=", isStopping ? "stopping" : "no_coordinator",
                       " links=", m_peers.size()));
        answer(request.caller, isStopping ? AnswerKind::Refused : AnswerKind::NotReady,
               isStopping ? "stopping" : "no_coordinator", usPerS);
        return;
    }
    const std::string node(chooseCoordinator(coordinators, job));
    // Answers to requests of an earlier process of this entry VM may still arrive; their sequence numbers are lower
    // than the current time.
    m_lastForwarded = std::max(m_lastForwarded, static_cast<std::uint64_t>(m_now)) + 1;
    const std::uint64_t sequence = m_lastForwarded;
    const Peer &coordinator = m_peers.at(node);
    ForwardedRequest &forwarded = m_forwarded[sequence] = {request.caller, node, std::string(job),
                                                           request.verb == Verb::Submit, coordinator.reportSentAt};
    const std::size_t bytes = memoryOf(request);
    if (m_now - coordinator.lastContactAt > mayBeTooOldUs && m_jobMemory.tryTake(bytes)) {
        forwarded.copy = request;
        forwarded.memoryBytes = bytes;
    }
    m_forwardedByCaller[request.caller] = sequence;
    ++m_counters.forwardedRequests;
    m_actions->push_back(SendPeer{node, ForwardRequest{sequence, coordinator.reportSentAt, std::move(request)}});
}

// After a quiet time the echo of a request may be too old for the coordinator, which then sends a report with its
// rejection. The caller still waits, so the request is forwarded once more with the echo of that report.
bool FleetDispatcher::tryForwardAgain(const std::string &node, const Peer &peer, const ForwardAnswer &message)
{
    const auto found = m_forwarded.find(message.sequence);
    ForwardedRequest &request = found->second;
    if (message.answer.kind != AnswerKind::Refused || message.answer.reason != requestTooOld || !request.copy
        || request.echo == peer.reportSentAt)
        return false;
    CallerRequest copy = *std::move(request.copy);
    const std::string job = std::move(request.job);
    logLine(false, "jobs", concat("request forwarded again job=", job, " coordinator=", node));
    eraseForwarded(found->first);
    forwardRequest(std::move(copy), job);
    return true;
}

// Queues a request for at most coordinatorWaitUs while a coordinator is likely to be found: after the start of this
// process and after the loss of the last coordinator.
bool FleetDispatcher::tryQueueRequest(CallerRequest &request, std::string_view job)
{
    const TimeUs since = std::max(m_startedAt, m_coordinatorSeenAt);
    if (m_now - since >= coordinatorWaitUs || m_queuedRequests.size() >= maxQueuedRequests || m_drainingSince != never)
        return false;
    queueRequest(std::move(request), job);
    return true;
}

void FleetDispatcher::queueRequest(CallerRequest &&request, std::string_view job)
{
    const std::size_t bytes = memoryOf(request);
    if (m_jobMemory.tryTake(bytes))
        m_queuedRequests.push_back({std::move(request), m_now, bytes});
    else
        refuseForMemory(request.caller, job, bytes);
}

void FleetDispatcher::eraseForwarded(std::uint64_t sequence)
{
    const auto found = m_forwarded.find(sequence);
    m_jobMemory.release(found->second.memoryBytes);
    m_forwardedByCaller.erase(found->second.caller);
    m_forwarded.erase(found);
}

void FleetDispatcher::flushQueuedRequests()
{
    const bool isCoordinatorKnown = m_commands || hasCoordinator();
    if (isCoordinatorKnown)
        m_coordinatorSeenAt = m_now;
    if (m_queuedRequests.empty() || m_now < m_noStartsUntil)
        return;
    std::vector<QueuedRequest> queued = std::move(m_queuedRequests);
    m_queuedRequests.clear();
    for (QueuedRequest &entry : queued) {
        if (!isCoordinatorKnown && m_now - entry.since < coordinatorWaitUs) {
            m_queuedRequests.push_back(std::move(entry));
            continue;
        }
        m_jobMemory.release(entry.memoryBytes);
        processRequest(entry.request);
    }
}

void FleetDispatcher::onMessage(const std::string &node, Peer &peer, ForwardAnswer &message)
{
    const auto found = m_forwarded.find(message.sequence);
    if (found == m_forwarded.end() || found->second.node != node)
        return; // the caller has disconnected
    if (tryForwardAgain(node, peer, message))
        return;
    AnswerCaller answer = std::move(message.answer);
    answer.caller = found->second.caller;
    if (found->second.submits)
        logLine(answer.kind != AnswerKind::Completed, "jobs",
                concat("job answered job=", found->second.job, " coordinator=", node, " answer=", toString(answer.kind),
                       " reason=", answer.reason));
    eraseForwarded(found->first);
    m_actions->push_back(std::move(answer));
}

// The coordinator may have started tasks. They are stopped when it detects the loss of contact, or end with their
// leases.
void FleetDispatcher::giveUpForwarded(const std::string &node)
{
    for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
        if (it->second.node != node) {
            ++it;
            continue;
        }
        ++m_counters.givenUp;
        ++m_counters.reasons["coordinator_lost"];
        logLine(true, "jobs",
                concat("job given up job=", it->second.job, " reason=coordinator_lost coordinator=", node));
        answer(it->second.caller, AnswerKind::GivenUp, "coordinator_lost");
        eraseForwarded((it++)->first);
    }
}

// When contact with an entry VM is lost, its callers count as disconnected.
void FleetDispatcher::dropCallersOf(const std::string &node)
{
    std::vector<CallerId> gone;
    for (auto it = m_remoteCallerIds.lower_bound({node, 0}); it != m_remoteCallerIds.end() && it->first.first == node;
         ++it)
        gone.push_back(it->second);
    for (const CallerId caller : gone) {
        CallerGone event{caller};
        on(event);
    }
}

// Requests of other entry VMs -----------------------------------------------------------------------

void FleetDispatcher::onMessage(const std::string &node, Peer &peer, ForwardRequest &message)
{
    const CallerId caller{remoteCallerBit | ++m_lastRemoteCaller};
    m_remoteCallers[caller] = {node, message.sequence};
    m_remoteCallerIds[{node, message.sequence}] = caller;
    ++m_counters.receivedForwards;
    message.request.caller = caller;
    if (m_now - message.echo > maxRequestAgeUs || m_now < m_noStartsUntil) {
        // The sender may have given up the request, and the caller may have submitted the job again.
        logLine(false, "peers",
                concat("request rejected as too old node=", node, " echo_age_ms=", (m_now - message.echo) / usPerMs));
        sendReport(node, peer, false); // the next request echoes it
        answer(caller, AnswerKind::Refused, requestTooOld, usPerS);
        return;
    }
    confirmContact(node, peer);
    processRequest(message.request);
}

void FleetDispatcher::onMessage(const std::string &node, Peer &, ForwardGone &message)
{
    const auto found = m_remoteCallerIds.find({node, message.sequence});
    if (found == m_remoteCallerIds.end())
        return; // answered
    CallerGone gone{found->second};
    on(gone);
}

} // namespace clementinelift::command
