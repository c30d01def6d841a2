#include "command/fleet_dispatcher.h"

#include "command/text.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

constexpr TimeUs electEveryUs = 100 * usPerMs;
constexpr TimeUs firstStartWaitUs = 600 * usPerMs;    // entry VMs of a new deployment start within 300 ms of each other
constexpr TimeUs missingUs = 1500 * usPerMs;          // without a link: a restart of a process and a few dials fit in
constexpr TimeUs outvotedUs = 5 * usPerS;             // a commander that comes back for a moment moves no shards
constexpr TimeUs surplusUs = 10 * usPerS;             // a link that is not needed any more is kept for a while
constexpr TimeUs staleRequestUs = 450 * usPerMs;      // as of orders between commanders: three heartbeats
constexpr TimeUs searchUs = 600 * usPerMs;            // a process finds its links within 500 ms of its start
constexpr std::size_t maxHeldRequests = 500;          // of 16 KB at most each
constexpr std::uint64_t remoteCallerBit = 1ULL << 63; // ids of own callers are counted from 1

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
    m_electAt = 0;
}

void FleetDispatcher::on(PeerWithdrawn &event)
{
    if (m_announced.erase(event.node) > 0)
        m_actions->push_back(LinkPeer{event.node, false});
}

void FleetDispatcher::on(PeersKnown &event)
{
    if (m_electFrom == never)
        m_electFrom = m_now + (event.isFirstStart ? firstStartWaitUs : 0);
}

// An entry VM without a link counts as alive until dialling it has failed for a while.
bool FleetDispatcher::isAlive(std::string_view node, const Announced &announced) const
{
    const auto peer = m_peers.find(node);
    if (peer != m_peers.end() && peer->second.connected)
        return !peer->second.stopping; // the next one in rank takes its part before it has exited
    return !announced.linkWanted || announced.missedSince == never || m_now - announced.missedSince < missingUs;
}

void FleetDispatcher::elect()
{
    if (m_now < m_electFrom || m_now - m_electAt < electEveryUs || m_drainingSince != never)
        return;
    m_electAt = m_now;
    std::map<std::string_view, std::vector<ZoneMember>> zones;
    zones[m_settings.zone].push_back({m_settings.node, m_settings.milliCores});
    for (auto &[node, announced] : m_announced) {
        const auto peer = m_peers.find(node);
        const bool isMissing = announced.linkWanted && (peer == m_peers.end() || !peer->second.connected);
        announced.missedSince = isMissing ? std::min(announced.missedSince, m_now) : never;
        if (isAlive(node, announced))
            zones[announced.zone].push_back({node, announced.milliCores});
    }
    const std::vector<std::string_view> own = electCommanders(zones[m_settings.zone]);
    const bool isElected = std::find(own.begin(), own.end(), m_settings.node) != own.end();
    m_outvotedSince = isElected ? never : std::min(m_outvotedSince, m_now);
    if (isElected && !m_commands)
        setCommanding(true);
    else if (m_commands && m_outvotedSince != never && m_now - m_outvotedSince >= outvotedUs)
        setCommanding(false);
    if (!m_commands && m_takesShards && !m_commander.hasRuns()) {
        m_takesShards = false;
        m_actions->push_back(TakeShards{false});
    }
    std::vector<std::string_view> wanted;
    for (const auto &[zone, members] : zones) {
        if (zone != m_settings.zone && !m_commands)
            continue;
        const std::vector<std::string_view> commanders = electCommanders(members);
        wanted.insert(wanted.end(), commanders.begin(), commanders.end());
    }
    wantLinks(wanted);
}

void FleetDispatcher::setCommanding(bool commands)
{
    m_commands = commands;
    logLine(false, "peers",
            concat(commands ? "elected as commander" : "not elected as commander any more", " zone=", m_settings.zone,
                   " milli_cores=", m_settings.milliCores, " announced=", m_announced.size()));
    if (commands && !m_takesShards) {
        m_takesShards = true;
        m_actions->push_back(TakeShards{true});
        return;
    }
    // Without shards nothing more is started. Elected again before it has left the group, it still has those of before,
    // and the store tells only changes.
    ShardsAssigned held = m_shardsHeld;
    if (!commands)
        held.shards.clear();
    m_commander.holdShards(m_now, held, *m_actions, m_ended);
}

void FleetDispatcher::wantLinks(std::span<const std::string_view> wanted)
{
    for (auto &[node, announced] : m_announced) {
        // Within the zone the other side may need the link to pass requests on, also when this one does not.
        const bool isWanted = std::find(wanted.begin(), wanted.end(), node) != wanted.end()
                || (announced.linkWanted && announced.zone == m_settings.zone);
        announced.surplusSince = isWanted || !announced.linkWanted || announced.missedSince != never
                ? never
                : std::min(announced.surplusSince, m_now);
        const bool isSurplus = announced.surplusSince != never && m_now - announced.surplusSince >= surplusUs;
        if (isWanted == announced.linkWanted || (!isWanted && !isSurplus))
            continue;
        announced.linkWanted = isWanted;
        m_actions->push_back(LinkPeer{node, isWanted});
    }
}

// Passing requests on -------------------------------------------------------------------------------

bool FleetDispatcher::isCoordinator(const Peer &peer) const
{
    return !peer.lost && peer.coordinates && peer.zone == m_settings.zone;
}

bool FleetDispatcher::isCoordinatorThere() const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) { return isCoordinator(entry.second); });
}

void FleetDispatcher::passOn(CallerRequest &&request, std::string_view job)
{
    if (m_now < m_noStartsUntil) { // its caller may have left during a pause of this process
        m_heldRequests.push_back({std::move(request), m_now});
        return;
    }
    std::vector<ZoneMember> coordinators;
    const bool isOneStaying = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return isCoordinator(entry.second) && !entry.second.stopping;
    });
    for (const auto &[node, peer] : m_peers) {
        if (!isCoordinator(peer) || (isOneStaying && peer.stopping))
            continue;
        const auto announced = m_announced.find(node);
        coordinators.push_back({node, announced == m_announced.end() ? 1 : announced->second.milliCores});
    }
    // Once the process may exit it cannot deliver an answer.
    const bool isStopping = m_drained || m_now >= drainEnd();
    if (coordinators.empty() && !isStopping && tryHold(request))
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
    // Numbers of an earlier process of this entry VM, whose answers may still come, are lower than the time now.
    m_lastPassedOn = std::max(m_lastPassedOn, static_cast<std::uint64_t>(m_now)) + 1;
    const std::uint64_t sequence = m_lastPassedOn;
    m_passedOn[sequence] = {request.caller, node, std::string(job), request.verb == Verb::Submit};
    m_passedOnOf[request.caller] = sequence;
    ++m_counters.forwardedRequests;
    m_actions->push_back(SendPeer{node, ForwardRequest{sequence, m_peers.at(node).reportSentAt, std::move(request)}});
}

// Keeps a request for a moment in which a coordinator is likely to be found: after the start of this
// process, and after the loss of the last coordinator.
bool FleetDispatcher::tryHold(CallerRequest &request)
{
    const TimeUs since = std::max(m_startedAt, m_coordinatorAt);
    if (m_now - since >= searchUs || m_heldRequests.size() >= maxHeldRequests || m_drainingSince != never)
        return false;
    m_heldRequests.push_back({std::move(request), m_now});
    return true;
}

void FleetDispatcher::flushHeldRequests()
{
    const bool isThere = m_commands || isCoordinatorThere();
    if (isThere)
        m_coordinatorAt = m_now;
    if (m_heldRequests.empty() || m_now < m_noStartsUntil)
        return;
    std::vector<HeldRequest> held = std::move(m_heldRequests);
    m_heldRequests.clear();
    for (HeldRequest &entry : held) {
        if (!isThere && m_now - entry.since < searchUs)
            m_heldRequests.push_back(std::move(entry));
        else
            take(entry.request);
    }
}

void FleetDispatcher::onMessage(const std::string &node, Peer &, ForwardAnswer &message)
{
    const auto found = m_passedOn.find(message.sequence);
    if (found == m_passedOn.end() || found->second.node != node)
        return; // the caller has left
    AnswerCaller answer = std::move(message.answer);
    answer.caller = found->second.caller;
    if (found->second.submits)
        logLine(answer.kind != AnswerKind::Completed, "jobs",
                concat("job answered job=", found->second.job, " coordinator=", node, " answer=", toString(answer.kind),
                       " reason=", answer.reason));
    m_passedOnOf.erase(answer.caller);
    m_passedOn.erase(found);
    m_actions->push_back(std::move(answer));
}

// The coordinator may have started tasks, and stops them when it notices the loss, or their leases end.
void FleetDispatcher::losePassedOn(const std::string &node)
{
    for (auto it = m_passedOn.begin(); it != m_passedOn.end();) {
        if (it->second.node != node) {
            ++it;
            continue;
        }
        ++m_counters.givenUp;
        ++m_counters.reasons["coordinator_lost"];
        logLine(true, "jobs",
                concat("job given up job=", it->second.job, " reason=coordinator_lost coordinator=", node));
        m_passedOnOf.erase(it->second.caller);
        answer(it->second.caller, AnswerKind::GivenUp, "coordinator_lost");
        it = m_passedOn.erase(it);
    }
}

// The callers of an entry VM that is not heard of any more have lost their connection.
void FleetDispatcher::loseCallersOf(const std::string &node)
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

void FleetDispatcher::onMessage(const std::string &node, Peer &, ForwardRequest &message)
{
    const CallerId caller{remoteCallerBit | ++m_lastRemoteCaller};
    m_remoteCallers[caller] = {node, message.sequence};
    m_remoteCallerIds[{node, message.sequence}] = caller;
    ++m_counters.receivedForwards;
    message.request.caller = caller;
    if (m_now - message.echo > staleRequestUs || m_now < m_noStartsUntil) {
        // The sender may have given it up, and its caller may have sent it again.
        logLine(true, "peers",
                concat("request too old node=", node, " echo_age_ms=", (m_now - message.echo) / usPerMs));
        answer(caller, AnswerKind::Refused, "request_too_old", usPerS);
        return;
    }
    take(message.request);
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
