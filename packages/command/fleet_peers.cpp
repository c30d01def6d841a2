#include "command/fleet_dispatcher.h"

#include "command/text.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace clementinelift::command {

namespace {

constexpr TimeUs reportIntervalUs = 20 * usPerMs; // shortest time between reports of changed capacities
// The same within the zone while no task waits there: a coordinator that knows of free capacity elsewhere rarely needs
// what has become free in the last moment. Half of all messages under usual load are such reports.
constexpr TimeUs calmReportIntervalUs = 60 * usPerMs;
// The same to other availability zones while tasks wait there: most jobs find capacity in their own zone, and traffic
// between zones costs money.
constexpr TimeUs otherZoneReportIntervalUs = 60 * usPerMs;
// Of reports without changes, while requests or runs of one side depend on the other. A peer counts as lost after more
// than four missing heartbeats.
constexpr TimeUs heartbeatIntervalUs = 150 * usPerMs;
// The same while nothing depends on the link, between commanders. An order after a quiet time must not be too old, so
// this is shorter than maxOrderAgeUs. Nearly all messages of a deployment without jobs are heartbeats.
constexpr TimeUs idleHeartbeatIntervalUs = 300 * usPerMs;
// The same between a front VM and a commander. A request that is rejected as too old is forwarded again at once.
constexpr TimeUs idleFrontHeartbeatIntervalUs = 600 * usPerMs;
// A peer is told for this long after its last message that it is heard. Longer than an idle interval, and shorter than
// an idle link takes to count as lost: with a link that is cut one way, only the other side may be using it.
constexpr TimeUs recentContactUs = 1000 * usPerMs;
constexpr TimeUs wantDurationUs = 1 * usPerS; // capacity of other zones is wanted for this long after tasks waited
// An order is rejected when the last report that its sender had received from here is older than this. The limit of
// three heartbeats bounds the age of orders delayed by a network partition or a pause, without comparing clocks.
constexpr TimeUs maxOrderAgeUs = 450 * usPerMs;

// A peer reads a new configuration from the store within milliseconds unless the store is unavailable to it.
constexpr TimeUs relayDelayUs = 400 * usPerMs;
constexpr TimeUs relayTurns = 8;
constexpr TimeUs relayTurnUs = 80 * usPerMs;
constexpr TimeUs relayPerRouteUs = 500;          // of about 130 bytes on a link of 2 Mbit/s
constexpr TimeUs relayRepeatUs = 2500 * usPerMs; // until the same peer is sent a further copy

bool isSameCapacity(const CapacityReport::ServerCapacity &left, const CapacityReport::ServerCapacity &right)
{
    constexpr double speedStep = 0.05; // smaller changes of a learned speed are not reported
    return left.server == right.server && left.free == right.free && left.usable == right.usable
            && left.token == right.token && left.startsLeft == right.startsLeft
            && std::abs(left.speed - right.speed) < speedStep;
}

} // namespace

void FleetDispatcher::on(PeerConnected &event)
{
    Peer &peer = m_peers[event.node];
    logLine(false, "peers", concat("peer connected node=", event.node, " zone=", event.zone));
    if (!peer.lost) { // another incarnation of the peer
        peer.connected = false;
        checkPeer(event.node, peer);
    }
    const std::uint32_t lossCount = peer.lossCount;
    peer = Peer{};
    peer.lossCount = lossCount;
    peer.zone = event.zone;
    peer.connected = true;
    peer.lost = false;
    peer.lastContactAt = m_now;
    peer.contactConfirmedAt = m_now;
}

void FleetDispatcher::on(PeerDisconnected &event)
{
    const auto found = m_peers.find(event.node);
    if (found == m_peers.end())
        return;
    found->second.connected = false;
    checkPeer(found->first, found->second);
}

void FleetDispatcher::on(PeerReceived &event)
{
    const auto found = m_peers.find(event.node);
    if (found == m_peers.end() || !found->second.connected)
        return;
    Peer &peer = found->second;
    if (peer.lost) { // contact was lost without a disconnect
        peer.lost = false;
        peer.contactConfirmedAt = m_now;
        logLine(false, "peers", concat("peer answers again node=", event.node));
    }
    peer.lastContactAt = m_now;
    std::visit([&](auto &message) { onMessage(found->first, peer, message); }, event.message);
}

// The peer has received messages of this entry VM recently. Only leases depend on the earliest time of contact: a live
// peer must not count as lost because its messages have waited here.
void FleetDispatcher::confirmContact(const std::string &node, Peer &peer)
{
    peer.contactConfirmedAt = m_now;
    m_commander.setLastContact(node, contactTime());
}

void FleetDispatcher::markPeersInUse()
{
    for (auto &[node, peer] : m_peers)
        peer.inUse = !peer.inFlight.empty();
    const auto mark = [this](std::string_view node) {
        const auto peer = m_peers.find(node);
        if (peer != m_peers.end())
            peer->second.inUse = true;
    };
    for (const auto &[sequence, request] : m_forwarded)
        mark(request.node);
    for (const auto &[origin, caller] : m_remoteCallerIds)
        mark(origin.first);
    for (const auto &[id, job] : m_jobs) {
        for (const Task &task : job.tasks) {
            if (task.state == TaskState::Placed || task.state == TaskState::Blocked)
                mark(task.node);
        }
    }
    for (const auto &[task, run] : m_endingRuns)
        mark(run.node);
    for (const std::string_view coordinator : m_commander.runCoordinators())
        mark(coordinator);
}

// How long a peer must have reported an older version before this entry VM sends it the configuration. The peers of an
// entry VM take turns, so that the first copy usually reaches it before the second one is sent: twenty copies of a
// thousand routes would occupy a link of 2 Mbit/s for more than ten seconds.
TimeUs FleetDispatcher::relayTurn(std::string_view node) const
{
    const std::string pair = concat(m_settings.node, "/", node);
    const auto routes = static_cast<TimeUs>(m_routes.configuration().routes.size());
    const auto turn = static_cast<TimeUs>(XXH3_64bits(pair.data(), pair.size()) % relayTurns);
    return relayDelayUs + turn * (relayTurnUs + routes * relayPerRouteUs);
}

void FleetDispatcher::relayConfiguration(const std::string &node, Peer &peer)
{
    if (peer.outdatedSince == never || m_now - peer.outdatedSince < relayTurn(node))
        return;
    peer.outdatedSince = m_now + relayRepeatUs;
    m_actions->push_back(SendPeer{node, RelayedConfiguration{m_routes.configuration()}});
}

void FleetDispatcher::compareConfiguration(Peer &peer, std::int64_t version)
{
    if (version >= m_routes.configuration().version)
        peer.outdatedSince = never;
    else if (peer.outdatedSince == never)
        peer.outdatedSince = m_now;
}

// A peer that has lost this entry VM, for example during a pause, may start the tasks of its runs here again, so these
// runs are stopped.
void FleetDispatcher::handleLossCount(const std::string &node, Peer &peer, std::uint32_t lossCount)
{
    if (lossCount <= peer.remoteLossCount)
        return;
    peer.remoteLossCount = lossCount;
    peer.reportedVersion = 0; // the peer has discarded the reported capacities
    peer.reportedEvacuations = 0;
    m_commander.stopCoordinator(m_now, node, *m_actions);
    dropCallersOf(node);
}

void FleetDispatcher::onMessage(const std::string &node, Peer &peer, PlaceTasks &message)
{
    peer.lastHandled = std::max(peer.lastHandled, message.sequence);
    handleLossCount(node, peer, message.lossCount);
    const bool isStale = m_now - message.echo > maxOrderAgeUs || m_now < m_noStartsUntil;
    if (isStale) {
        logLine(false, "peers",
                concat("order rejected as too old job=", message.job, " node=", node,
                       " echo_age_ms=", (m_now - message.echo) / usPerMs));
        updateReportedCapacities();
        sendReport(node, peer, m_reportsUnusable); // the next order echoes it
    } else {
        confirmContact(node, peer);
    }
    for (const PlaceTasks::Item &item : message.items) {
        if (!isStale && m_commander.start(m_now, node, message, item, *m_actions)) {
            ++m_counters.starts;
            continue;
        }
        m_actions->push_back(
                SendPeer{node, TaskEnded{{message.job, item.index}, item.run, RunEnd::NotAsked, 0, item.server}});
    }
}

void FleetDispatcher::onMessage(const std::string &node, Peer &, TaskEnded &message)
{
    onTaskEnded(node, message);
}

void FleetDispatcher::onMessage(const std::string &node, Peer &, StopJob &message)
{
    if (message.stalled)
        m_commander.stopStalled(m_now, node, {message.job, message.stalledIndex}, *m_actions);
    else
        m_commander.stopJob(m_now, node, message.job, *m_actions);
}

void FleetDispatcher::onMessage(const std::string &node, Peer &peer, CapacityReport &message)
{
    handleLossCount(node, peer, message.lossCount);
    compareConfiguration(peer, message.configurationVersion);
    peer.reportSentAt = message.sentAt;
    peer.coordinates = message.coordinates;
    peer.stopping = message.stopping;
    peer.holdsShards = message.holdsShards;
    peer.handoverAt = message.handoverInUs > 0 ? m_now + message.handoverInUs : never;
    peer.wantsCapacity = message.wantsCapacity;
    peer.startQueueUs = message.startQueueUs;
    peer.perStartUs = message.perStartUs;
    if (message.hasRecentContact)
        confirmContact(node, peer);
    for (const CrashCount &crash : message.crashes) {
        if (m_crashes.merge(m_now, crash))
            setCrashes(m_crashes.find(crash.task));
    }
    mergeEvacuations(node, message);
    peer.confirmedSequence = message.confirmedSequence;
    for (const UnconfirmedStart &start : message.unconfirmedStarts)
        m_commander.mergeUnconfirmedStart(m_now, start, *m_actions);
    std::erase_if(peer.inFlight, [&](const InFlight &order) {
        if (order.sequence > message.lastSequence)
            return false;
        const auto capacity = peer.capacities.find(order.server);
        if (capacity != peer.capacities.end())
            capacity->second.reserved -= order.resources;
        return true;
    });
    for (CapacityReport::ServerCapacity &capacity : message.capacities) {
        if (!capacity.usable) {
            peer.capacities.erase(capacity.server);
            continue;
        }
        const auto [known, isNew] = peer.capacities.try_emplace(capacity.server);
        known->second.capacity = std::move(capacity);
        for (const InFlight &order : peer.inFlight) {
            if (isNew && order.server == known->first)
                known->second.reserved += order.resources;
        }
    }
    m_dispatchNeeded = m_dispatchNeeded || !message.capacities.empty();
}

void FleetDispatcher::onMessage(const std::string &node, Peer &, RelayedConfiguration &message)
{
    const std::int64_t version = message.configuration.version;
    const std::int64_t before = m_routes.configuration().version;
    if (m_routes.apply(std::move(message.configuration))) {
        logLine(false, "config", concat("configuration received from peer node=", node, " version=", version));
        m_commander.setColdLimits(m_routes.configuration().services);
        for (auto &[other, peer] : m_peers) { // the others need not send it
            if (peer.connected)
                sendReport(other, peer, false);
        }
    } else if (version < before) {
        m_actions->push_back(SendPeer{node, RelayedConfiguration{m_routes.configuration()}});
    }
}

// Updates m_reported with the capacities that have changed since the last call. While no task is started after a pause,
// none is reported as usable, so that peers place their tasks elsewhere.
void FleetDispatcher::updateReportedCapacities()
{
    const bool isResuming = m_now < m_noStartsUntil;
    if (m_commander.capacityVersion() == m_seenCapacityVersion && isResuming == m_reportsUnusable)
        return;
    m_reportsUnusable = isResuming;
    m_seenCapacityVersion = m_commander.capacityVersion();
    ++m_reportVersion;
    std::set<std::string_view> present;
    std::vector<CapacityReport::ServerCapacity> capacities = m_commander.capacities(m_now);
    for (CapacityReport::ServerCapacity &capacity : capacities) {
        capacity.usable = capacity.usable && !isResuming;
        present.insert(capacity.server);
        const auto [reported, isNew] = m_reported.try_emplace(capacity.server);
        if (isNew || !isSameCapacity(reported->second.capacity, capacity))
            reported->second = {capacity, m_reportVersion};
    }
    for (auto &[server, reported] : m_reported) {
        if (present.count(server) > 0 || !reported.capacity.usable)
            continue;
        reported.capacity.usable = false;
        reported.version = m_reportVersion;
    }
}

// Without its own backend servers, an evacuated zone depends on those of the others for every job.
bool FleetDispatcher::wantsCapacity() const
{
    return m_now - m_waitedAt < wantDurationUs || m_evacuations.isEvacuated(m_settings.zone);
}

bool FleetDispatcher::isReportDue(const Peer &peer) const
{
    const TimeUs sinceReport = m_now - peer.reportAt;
    const bool isOwnZone = peer.zone == m_settings.zone;
    const TimeUs idleIntervalUs =
            m_commands && peer.coordinates ? idleHeartbeatIntervalUs : idleFrontHeartbeatIntervalUs;
    if (sinceReport >= (peer.inUse ? heartbeatIntervalUs : idleIntervalUs))
        return true;
    // A caller whose job was given up for such a start may submit it again anywhere.
    if (peer.coordinates && peer.reportedStarts < m_commander.unconfirmedStarts().version()
        && sinceReport >= reportIntervalUs)
        return true;
    if (peer.reportedEvacuations < m_evacuations.version() && sinceReport >= reportIntervalUs)
        return true;
    const bool wants = wantsCapacity();
    if (wants && !peer.reportedWant && peer.coordinates)
        return true;
    // On a slow link, capacities are reported with heartbeats only: at the intervals below, reports to 14 commanders
    // would take more than a third of a link of 2 Mbit/s.
    if (!peer.coordinates || peer.reportedVersion >= m_reportVersion || m_commander.startDelay().isSlowLink())
        return false;
    if (isOwnZone)
        return sinceReport >= (peer.wantsCapacity ? reportIntervalUs : calmReportIntervalUs);
    // The coordinators of an evacuated zone place every task in other zones.
    return peer.wantsCapacity
            && sinceReport >= (m_evacuations.isEvacuated(peer.zone) ? reportIntervalUs : otherZoneReportIntervalUs);
}

// Whether the end of a run must be preceded by a report, so that its coordinator knows why the run has ended.
bool FleetDispatcher::hasNewsFor(const Peer &peer) const
{
    return peer.reportedCrashes < m_crashes.version()
            || peer.reportedStarts < m_commander.unconfirmedStarts().version();
}

void FleetDispatcher::sendReport(const std::string &node, Peer &peer, bool withCapacities)
{
    CapacityReport report;
    report.sentAt = m_now;
    report.coordinates = m_commands && m_serversKnown;
    report.stopping = m_drainingSince != never;
    report.holdsShards = !m_assignedShards.shards.empty();
    report.handoverInUs = runsEndBy() == never ? 0 : std::max<TimeUs>(runsEndBy() - m_now, 1);
    report.lastSequence = peer.lastHandled;
    const std::uint64_t unconfirmed = m_commander.firstUnconfirmed(node);
    report.confirmedSequence = unconfirmed == 0 ? peer.lastHandled : std::min(peer.lastHandled, unconfirmed - 1);
    report.hasRecentContact = !peer.lost && m_now - peer.lastContactAt <= recentContactUs;
    report.lossCount = peer.lossCount;
    report.configurationVersion = m_routes.configuration().version;
    report.wantsCapacity = wantsCapacity();
    report.startQueueUs = m_commander.startDelay().queuedUs();
    if (m_commander.isFull()) // peers send no starts to such a link
        report.startQueueUs = std::max(report.startQueueUs, maxStartDelayUs + usPerMs);
    report.perStartUs = m_commander.startDelay().perOrderUs();
    if (withCapacities && peer.coordinates && peer.reportedVersion < m_reportVersion) {
        for (const auto &[server, reported] : m_reported) {
            if (reported.version > peer.reportedVersion)
                report.capacities.push_back(reported.capacity);
        }
        peer.reportedVersion = m_reportVersion;
    }
    if (peer.reportedCrashes < m_crashes.version())
        report.crashes = m_crashes.changedSince(std::exchange(peer.reportedCrashes, m_crashes.version()));
    if (peer.reportedStarts < m_commander.unconfirmedStarts().version()) {
        const UnconfirmedStarts &starts = m_commander.unconfirmedStarts();
        report.unconfirmedStarts = starts.changedSince(m_now, std::exchange(peer.reportedStarts, starts.version()));
    }
    reportEvacuations(peer, report);
    peer.reportAt = m_now;
    peer.reportedWant = report.wantsCapacity;
    m_actions->push_back(SendPeer{node, std::move(report)});
}

void FleetDispatcher::sendCapacityReports()
{
    updateReportedCapacities();
    for (auto &[node, peer] : m_peers) {
        if (peer.connected && isReportDue(peer))
            sendReport(node, peer, true);
    }
}

} // namespace clementinelift::command
