#include "command/fleet_dispatcher.h"

#include "command/text.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

constexpr TimeUs reportEveryUs = 20 * usPerMs;          // least time between reports of changed room
constexpr TimeUs otherZoneReportEveryUs = 60 * usPerMs; // the same to other availability zones: most jobs find room in
                                                        // their own, and bytes between zones are paid for
constexpr TimeUs heartbeatEveryUs = 150 * usPerMs;      // reports without a change; four may be lost before a peer is
// An order is carried out only this long after the own report that its sender had seen last. It bounds the age of an
// order that a cut or a pause held up, without comparing clocks: three heartbeats.
constexpr TimeUs staleOrderUs = 450 * usPerMs;

// A peer reads a new configuration by itself within milliseconds, unless the store turns it away.
constexpr TimeUs relayAfterUs = 400 * usPerMs;

bool isSameRoom(const CapacityReport::ServerCapacity &left, const CapacityReport::ServerCapacity &right)
{
    constexpr double speedStep = 0.05; // smaller changes of a learned speed are not worth a report
    return left.server == right.server && left.free == right.free && left.usable == right.usable
            && left.token == right.token && std::abs(left.speed - right.speed) < speedStep;
}

} // namespace

void FleetDispatcher::on(PeerConnected &event)
{
    Peer &peer = m_peers[event.node];
    logLine(false, "peers", concat("peer connected node=", event.node, " zone=", event.zone));
    if (!peer.lost) { // another incarnation in its place
        peer.connected = false;
        losePeer(event.node, peer);
    }
    const std::uint32_t lossCount = peer.lossCount;
    peer = Peer{};
    peer.lossCount = lossCount;
    peer.zone = event.zone;
    peer.connected = true;
    peer.lost = false;
    peer.heardAt = m_now;
    peer.hearsUsAt = m_now;
    if (m_routes.isKnown())
        m_actions->push_back(SendPeer{event.node, RelayedConfiguration{m_routes.configuration()}});
}

void FleetDispatcher::on(PeerDisconnected &event)
{
    const auto found = m_peers.find(event.node);
    if (found == m_peers.end())
        return;
    found->second.connected = false;
    losePeer(found->first, found->second);
}

void FleetDispatcher::on(PeerReceived &event)
{
    const auto found = m_peers.find(event.node);
    if (found == m_peers.end() || !found->second.connected)
        return;
    Peer &peer = found->second;
    if (peer.lost) { // the link was silent and is back
        peer.lost = false;
        peer.hearsUsAt = m_now;
        logLine(false, "peers", concat("peer is back node=", event.node));
    }
    peer.heardAt = m_now;
    m_commander.noteHeard(found->first, std::min(peer.heardAt, peer.hearsUsAt));
    std::visit([&](auto &message) { onMessage(found->first, peer, message); }, event.message);
}

void FleetDispatcher::relayConfiguration(const std::string &node, Peer &peer, std::int64_t version)
{
    if (version >= m_routes.configuration().version) {
        peer.behindSince = never;
        return;
    }
    peer.behindSince = std::min(peer.behindSince, m_now);
    if (m_now - peer.behindSince < relayAfterUs)
        return;
    peer.behindSince = m_now;
    m_actions->push_back(SendPeer{node, RelayedConfiguration{m_routes.configuration()}});
}

// A peer that has lost this entry VM, for example because it was paused, may start the tasks of its runs here again.
void FleetDispatcher::noteLosses(const std::string &node, Peer &peer, std::uint32_t lossCount)
{
    if (lossCount <= peer.theirLosses)
        return;
    peer.theirLosses = lossCount;
    peer.toldVersion = 0; // it has forgotten the rooms
    m_commander.stopCoordinator(m_now, node, *m_actions);
    loseCallersOf(node);
}

void FleetDispatcher::onMessage(const std::string &node, Peer &peer, PlaceTasks &message)
{
    peer.lastHandled = std::max(peer.lastHandled, message.sequence);
    noteLosses(node, peer, message.lossCount);
    const bool isStale = m_now - message.echo > staleOrderUs || m_now < m_noStartsUntil;
    if (isStale)
        logLine(true, "peers",
                concat("order too old job=", message.job, " node=", node,
                       " echo_age_ms=", (m_now - message.echo) / usPerMs));
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
    noteLosses(node, peer, message.lossCount);
    relayConfiguration(node, peer, message.configurationVersion);
    peer.reportSentAt = message.sentAt;
    peer.coordinates = message.coordinates;
    peer.stopping = message.stopping;
    if (message.hasRecentContact) {
        peer.hearsUsAt = m_now;
        m_commander.noteHeard(node, m_now);
    }
    std::erase_if(peer.inFlight, [&](const InFlight &order) {
        if (order.sequence > message.lastSequence)
            return false;
        const auto room = peer.capacities.find(order.server);
        if (room != peer.capacities.end())
            room->second.promised -= order.resources;
        return true;
    });
    for (CapacityReport::ServerCapacity &room : message.capacities) {
        if (!room.usable) {
            peer.capacities.erase(room.server);
            continue;
        }
        const auto [known, isNew] = peer.capacities.try_emplace(room.server);
        known->second.room = std::move(room);
        for (const InFlight &order : peer.inFlight) {
            if (isNew && order.server == known->first)
                known->second.promised += order.resources;
        }
    }
    m_roomMayBeFree = m_roomMayBeFree || !message.capacities.empty();
}

void FleetDispatcher::onMessage(const std::string &node, Peer &, RelayedConfiguration &message)
{
    const std::int64_t version = message.configuration.version;
    const std::int64_t before = m_routes.configuration().version;
    if (m_routes.apply(std::move(message.configuration)))
        logLine(false, "config", concat("configuration relayed node=", node, " version=", version));
    else if (version < before)
        m_actions->push_back(SendPeer{node, RelayedConfiguration{m_routes.configuration()}});
}

// Notes which rooms have changed since the last look.
void FleetDispatcher::noteRooms()
{
    if (m_commander.roomVersion() == m_seenRoomVersion)
        return;
    m_seenRoomVersion = m_commander.roomVersion();
    ++m_reportVersion;
    std::set<std::string_view> there;
    const std::vector<CapacityReport::ServerCapacity> capacities = m_commander.capacities(m_now);
    for (const CapacityReport::ServerCapacity &room : capacities) {
        there.insert(room.server);
        const auto [reported, isNew] = m_reported.try_emplace(room.server);
        if (isNew || !isSameRoom(reported->second.room, room))
            reported->second = {room, m_reportVersion};
    }
    for (auto &[server, reported] : m_reported) {
        if (there.count(server) > 0 || !reported.room.usable)
            continue;
        reported.room.usable = false;
        reported.version = m_reportVersion;
    }
}

void FleetDispatcher::reportRooms()
{
    noteRooms();
    for (auto &[node, peer] : m_peers) {
        if (!peer.connected)
            continue;
        const TimeUs sinceReport = m_now - peer.reportAt;
        const bool hasNews = peer.coordinates && peer.toldVersion < m_reportVersion;
        const TimeUs newsEveryUs = peer.zone == m_settings.zone ? reportEveryUs : otherZoneReportEveryUs;
        const bool isNewsDue = hasNews && sinceReport >= newsEveryUs;
        if (!isNewsDue && sinceReport < heartbeatEveryUs)
            continue;
        CapacityReport report;
        report.sentAt = m_now;
        report.coordinates = m_commands && m_serversKnown;
        report.stopping = m_drainingSince != never;
        report.lastSequence = peer.lastHandled;
        report.hasRecentContact = !peer.lost;
        report.lossCount = peer.lossCount;
        report.configurationVersion = m_routes.configuration().version;
        if (hasNews) {
            for (const auto &[server, reported] : m_reported) {
                if (reported.version > peer.toldVersion)
                    report.capacities.push_back(reported.room);
            }
            peer.toldVersion = m_reportVersion;
        }
        peer.reportAt = m_now;
        m_actions->push_back(SendPeer{node, std::move(report)});
    }
}

} // namespace clementinelift::command
