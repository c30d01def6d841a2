#include "core/membership.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace clementinelift::core {

namespace {

constexpr std::size_t indirectProbeCount = 2;
constexpr std::size_t repeatedUpdates = 1;         // a probe with fewer changes is filled up with members in rotation
constexpr std::size_t startupRepeatedUpdates = 16; // faster convergence of a fleet that starts at once
constexpr std::int64_t startupPeriodUs = 30 * usPerS;
constexpr std::size_t maxRelayedProbes = 64;
constexpr std::size_t maxEndedIncarnations = 4096; // older ones are dropped
constexpr std::uint32_t retransmitMultiplier = 3;  // a change is sent 3 log2(members) times
constexpr std::size_t fullViewUpdatesPerMessage = 64;
constexpr std::size_t expectedFullViewSenders = 4;          // peers that send the full view to a joiner
constexpr std::int64_t minFullViewIntervalUs = usPerS;      // bounds the burst when a partition heals
constexpr std::int64_t relayedProbeTimeoutUs = 2 * usPerS;  // the requester has given up by then
constexpr std::int64_t deadLinkRetentionUs = 3600 * usPerS; // links after that come from seeds or the VM list
constexpr std::int64_t deadGossipUs = 600 * usPerS;       // joiners learn of dead entry VMs that still own issue times
constexpr std::int64_t leftLinkRetentionUs = 10 * usPerS; // of the link to an entry VM that has drained

bool isUp(NodeState state)
{
    return state == NodeState::Alive || state == NodeState::Suspect;
}

int statePrecedence(NodeState state)
{
    return state == NodeState::Alive ? 0 : state == NodeState::Suspect ? 1 : 2;
}

} // namespace

Membership::Membership(const CoreSettings &settings) : m_settings(settings), m_random(settings.seed)
{
    assert(!settings.self.name.empty());
    addMember(settings.self);
    self().state = NodeState::Alive;
    refreshView();
}

// Events --------------------------------------------------------------------------------------------

void Membership::onConnected(const NodeInfo &node, Now now, Actions &actions)
{
    initialise(now);
    if (node.name == m_settings.self.name || raw(node.incarnation) == 0)
        return;
    Member *member = findMember(node.name);
    if (!member)
        member = &m_members[raw(addMember(node))];
    const bool isNew = member->node.incarnation != node.incarnation;
    const bool wasUp = isUp(member->state);
    if (isNew) {
        replaceIncarnation(*member, node.incarnation);
        member->node.leaving = false;
    }
    member->node.address = node.address;
    member->node.zone = node.zone;
    member->connected = true;
    if (isNew || member->state != NodeState::Alive)
        setState(*member, NodeState::Alive, now);
    if (isNew || !wasUp)
        sendFullView(*member, now, actions);
    m_areLinksStale = true;
    refreshView();
}

void Membership::onDisconnected(std::string_view node, Now now)
{
    Member *member = findMember(node);
    if (!member || !member->connected)
        return;
    member->connected = false;
    m_areLinksStale = true;
    if (!isUp(member->state) || !member->isLinkRequested)
        return; // the peer may have closed a link that neither side needs
    // The pending probe is half a round old, so that indirect probes are sent at once. A crash is detected a round
    // earlier.
    const auto target = static_cast<NodeId>(member - m_members.data());
    std::erase_if(m_pendingProbes, [target](const PendingProbe &probe) { return probe.target == target; });
    m_pendingProbes.push_back({target, m_nextSequence++, now.monoUs - m_settings.probeIntervalMs * usPerMs / 2, false});
    m_nextTimerUs = std::min(m_nextTimerUs, now.monoUs);
}

void Membership::onProbe(std::string_view from, const Probe &probe, Now now, Actions &actions)
{
    mergeGossip(from, probe.wallMs, probe.updates, now);
    if (Member *member = findMember(from))
        actions.push_back(SendPeer{std::string(from), ProbeAck{probe.sequence, now.wallMs, selectGossip(member, now)}});
}

void Membership::onProbeAck(std::string_view from, const ProbeAck &ack, Now now)
{
    mergeGossip(from, ack.wallMs, ack.updates, now);
    for (const PendingProbe &pending : m_pendingProbes) {
        if (pending.sequence != ack.sequence)
            continue;
        Member &target = m_members[raw(pending.target)];
        if (target.state == NodeState::Suspect)
            setState(target, NodeState::Alive, now);
    }
    std::erase_if(m_pendingProbes, [&](const PendingProbe &pending) { return pending.sequence == ack.sequence; });
    for (RelayedProbe &relay : m_relayedProbes) {
        if (relay.sequence == ack.sequence) {
            relay.isAnswered = true;
            m_nextTimerUs = now.monoUs; // onTimer() forwards the answer
        }
    }
    refreshView();
}

void Membership::onProbeRequest(std::string_view from, const ProbeRequest &request, Now now, Actions &actions)
{
    const Member *target = findMember(request.target);
    if (!target || !target->connected || m_relayedProbes.size() >= maxRelayedProbes)
        return;
    m_relayedProbes.push_back({m_nextSequence++, std::string(from), request.sequence, now.monoUs, false});
    actions.push_back(SendPeer{request.target, Probe{m_relayedProbes.back().sequence, now.wallMs, {}}});
}

void Membership::onVmList(std::span<const NodeInfo> nodes, Now now, Actions &actions)
{
    initialise(now);
    for (Member &member : m_members) {
        member.isLeavingInVmList = false;
        member.isInVmList = false;
    }
    for (const NodeInfo &node : nodes) {
        if (node.name.empty())
            continue;
        Member *member = findMember(node.name);
        if (!member)
            member = &m_members[raw(addMember(node))];
        member->isInVmList = true;
        member->isLeavingInVmList = node.leaving;
        if (!member->connected && !node.address.empty() && member != &self())
            setAddressAndZone(*member, node);
    }
    m_areLinksStale = true;
    refreshView();
    updateLinks(now, actions);
}

void Membership::onTimer(Now now, Actions &actions)
{
    initialise(now);
    if (!m_areSeedsContacted) {
        m_areSeedsContacted = true;
        for (const NodeInfo &seed : m_settings.seeds) {
            if (seed.name == m_settings.self.name || seed.address == m_settings.self.address)
                continue;
            if (seed.name.empty())
                actions.push_back(ConnectPeer{seed}); // the name is known when the link is up
            else if (!findMember(seed.name))
                addMember(seed);
        }
        m_areLinksStale = true;
    }
    for (const RelayedProbe &relay : m_relayedProbes) {
        if (relay.isAnswered)
            actions.push_back(SendPeer{relay.requester, ProbeAck{relay.requesterSequence, now.wallMs, {}}});
    }
    std::erase_if(m_relayedProbes, [now](const RelayedProbe &relay) {
        return relay.isAnswered || relay.sentUs + relayedProbeTimeoutUs < now.monoUs;
    });
    checkPendingProbes(now, actions);
    expireSuspects(now, actions);
    if (now.monoUs >= m_nextRoundUs) {
        m_nextRoundUs = now.monoUs + m_settings.probeIntervalMs * usPerMs;
        // Each pass over the members has a new random order, so no member waits longer than two passes.
        if (m_nextProbeIndex >= m_probeOrder.size()) {
            m_probeOrder = pickConnectedPeers(m_members.size(), {});
            m_nextProbeIndex = 0;
        }
        while (m_nextProbeIndex < m_probeOrder.size()) {
            const NodeId target = m_probeOrder[m_nextProbeIndex++];
            if (m_members[raw(target)].connected) {
                sendProbe(target, now, actions);
                break;
            }
        }
        removeExpiredMembers(now);
        m_areLinksStale = true;
    }
    refreshView();
    if (m_areLinksStale)
        updateLinks(now, actions);
    m_nextTimerUs = m_nextRoundUs;
    for (const PendingProbe &pending : m_pendingProbes) {
        const std::int64_t stepUs = m_settings.probeIntervalMs * usPerMs / (pending.isIndirect ? 1 : 2);
        m_nextTimerUs = std::min(m_nextTimerUs, pending.sentUs + stepUs);
    }
}

void Membership::leave(Now now, Actions &actions)
{
    initialise(now);
    if (self().node.leaving)
        return;
    self().node.leaving = true;
    ++self().version;
    setState(self(), NodeState::Alive, now);
    refreshView();
    // All connected peers are told at once, so that they do not send new work here for another round.
    for (const NodeId peer : pickConnectedPeers(m_members.size(), {}))
        actions.push_back(
                SendPeer{m_members[raw(peer)].node.name, Probe{m_nextSequence++, now.wallMs, {makeUpdate(self())}}});
}

void Membership::requestLink(std::string_view name, Now now, Actions &actions)
{
    Member *member = findMember(name);
    if (!member || member == &self())
        return;
    const auto requested = std::count_if(m_members.begin(), m_members.end(), [now](const Member &other) {
        return other.linkRequestedUntilUs > now.monoUs;
    });
    if (member->linkRequestedUntilUs <= now.monoUs && static_cast<std::size_t>(requested) >= maxOnDemandLinks)
        return;
    member->linkRequestedUntilUs = now.monoUs + onDemandIdleTimeoutUs;
    setLink(*member, true, actions);
}

// Look-up -------------------------------------------------------------------------------------------

std::int64_t Membership::nextTimerUs() const
{
    return m_nextTimerUs;
}

std::span<const NodeInfo> Membership::live() const
{
    return m_live;
}

std::span<const NodeInfo> Membership::liveInZone() const
{
    return m_liveInZone;
}

std::span<const NodeInfo> Membership::running() const
{
    return m_running;
}

std::span<const NodeInfo> Membership::runningInZone() const
{
    return m_runningInZone;
}

const NodeInfo *Membership::find(std::string_view name) const
{
    const auto found = m_byName.find(absl::string_view(name.data(), name.size()));
    return found == m_byName.end() ? nullptr : &m_members[raw(found->second)].node;
}

const NodeInfo *Membership::find(Incarnation incarnation) const
{
    for (const Member &member : m_members) {
        if (member.node.incarnation == incarnation && raw(incarnation) != 0)
            return &member.node;
    }
    return nullptr;
}

bool Membership::isConnected(std::string_view name) const
{
    const auto found = m_byName.find(absl::string_view(name.data(), name.size()));
    return found != m_byName.end() && m_members[raw(found->second)].connected;
}

bool Membership::isDead(Incarnation incarnation) const
{
    if (m_endedIncarnations.contains(incarnation))
        return true;
    for (const Member &member : m_members) {
        if (member.node.incarnation == incarnation)
            return !isUp(member.state);
    }
    return false;
}

std::uint64_t Membership::viewVersion() const
{
    return m_viewVersion;
}

std::int64_t Membership::medianClockErrorMs() const
{
    std::vector<std::int64_t> errors;
    for (const Member &member : m_members) {
        if (member.isClockKnown && isUp(member.state))
            errors.push_back(member.clockErrorMs);
    }
    if (errors.empty())
        return 0;
    const auto middle = errors.begin() + static_cast<std::ptrdiff_t>(errors.size() / 2);
    std::nth_element(errors.begin(), middle, errors.end());
    return *middle;
}

std::size_t Membership::requestedLinkCount() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
                                                  [](const Member &member) { return member.isLinkRequested; }));
}

// View ----------------------------------------------------------------------------------------------

void Membership::initialise(Now now)
{
    if (m_isInitialised)
        return;
    m_isInitialised = true;
    m_startUs = now.monoUs;
    self().version = std::max(self().version, static_cast<std::uint32_t>(std::max<std::int64_t>(now.wallMs, 0) / 1000));
}

NodeId Membership::addMember(const NodeInfo &node)
{
    const auto id = static_cast<NodeId>(m_members.size());
    Member member;
    member.node = node;
    m_members.push_back(std::move(member));
    m_byName.emplace(node.name, id);
    m_areLinksStale = true;
    return id;
}

Membership::Member *Membership::findMember(std::string_view name)
{
    const auto found = m_byName.find(absl::string_view(name.data(), name.size()));
    return found == m_byName.end() ? nullptr : &m_members[raw(found->second)];
}

void Membership::setState(Member &member, NodeState state, Now now)
{
    member.state = state;
    member.stateSinceUs = now.monoUs;
    // The members that a process finds while it starts are known to its peers already; members in rotation are enough.
    const bool isStartupChange =
            state == NodeState::Alive && now.monoUs < m_startUs + startupPeriodUs && &member != &self();
    member.remainingTransmissions =
            isStartupChange ? 0 : retransmitMultiplier * static_cast<std::uint32_t>(std::bit_width(m_members.size()));
}

void Membership::addEndedIncarnation(Incarnation incarnation)
{
    if (!m_endedIncarnations.insert(incarnation).second)
        return;
    m_endedIncarnationOrder.push_back(incarnation);
    if (m_endedIncarnationOrder.size() > maxEndedIncarnations) {
        m_endedIncarnations.erase(m_endedIncarnationOrder.front());
        m_endedIncarnationOrder.pop_front();
    }
}

void Membership::replaceIncarnation(Member &member, Incarnation incarnation)
{
    if (raw(member.node.incarnation) != 0)
        addEndedIncarnation(member.node.incarnation);
    member.node.incarnation = incarnation;
    member.isClockKnown = false;
}

void Membership::merge(const MemberUpdate &update, bool isFromItself, Now now)
{
    if (raw(update.node.incarnation) == 0 || update.node.name.empty())
        return;
    if (update.node.name == m_settings.self.name) {
        refuteUpdate(update);
        return;
    }
    Member *member = findMember(update.node.name);
    if (!member) {
        member = &m_members[raw(addMember(update.node))];
        member->version = update.version;
        setState(*member, update.state, now);
        if (!isUp(update.state))
            member->remainingTransmissions = 0; // not sent on, otherwise expired members would circulate for ever
        return;
    }
    // A member without a version is known from a link, the settings or the VM list only.
    const bool isOtherIncarnation = member->node.incarnation != update.node.incarnation || member->version == 0;
    if (m_endedIncarnations.contains(update.node.incarnation))
        return;
    if (isOtherIncarnation && member->connected && !isFromItself && member->node.incarnation != update.node.incarnation)
        return; // the handshake of the link has shown which incarnation runs
    const bool isNewer = update.version > member->version
            || (update.version == member->version && !isOtherIncarnation
                && statePrecedence(update.state) > statePrecedence(member->state));
    if (!isNewer && !(isFromItself && isOtherIncarnation))
        return;
    if (member->node.incarnation != update.node.incarnation)
        replaceIncarnation(*member, update.node.incarnation);
    const bool isChanged =
            isOtherIncarnation || member->state != update.state || member->node.leaving != update.node.leaving;
    member->version = update.version;
    member->node.leaving = update.node.leaving;
    if (!member->connected)
        setAddressAndZone(*member, update.node);
    // A connected member that others report as dead becomes Suspect only, because this process can probe the member.
    const bool needsConfirmation = member->connected && !isFromItself && !isUp(update.state);
    if (isChanged)
        setState(*member, needsConfirmation ? NodeState::Suspect : update.state, now);
    m_areLinksStale = m_areLinksStale || isChanged;
}

// A link to a changed address has to be requested again.
void Membership::setAddressAndZone(Member &member, const NodeInfo &node)
{
    if (member.node.address != node.address)
        member.isLinkRequested = false;
    member.node.address = node.address;
    member.node.zone = node.zone;
}

void Membership::refuteUpdate(const MemberUpdate &update)
{
    const bool isOtherIncarnation = update.node.incarnation != m_settings.self.incarnation;
    if (update.version < self().version || (!isOtherIncarnation && update.state == NodeState::Alive))
        return;
    self().version = update.version + 1;
    self().remainingTransmissions = retransmitMultiplier * static_cast<std::uint32_t>(std::bit_width(m_members.size()));
}

void Membership::mergeGossip(std::string_view from, std::int64_t wallMs, std::span<const MemberUpdate> updates, Now now)
{
    initialise(now);
    if (Member *member = findMember(from); member && member->connected) {
        member->clockErrorMs = now.wallMs - wallMs;
        member->isClockKnown = true;
        if (member->state != NodeState::Alive)
            setState(*member, NodeState::Alive, now);
    }
    for (const MemberUpdate &update : updates)
        merge(update, update.node.name == from, now);
    refreshView();
}

void Membership::refreshView()
{
    std::vector<NodeInfo> running;
    for (const Member &member : m_members) {
        if (!isUp(member.state) || raw(member.node.incarnation) == 0)
            continue;
        running.push_back(member.node);
        running.back().leaving = member.node.leaving || member.isLeavingInVmList;
    }
    std::sort(running.begin(), running.end(), [](const NodeInfo &a, const NodeInfo &b) { return a.name < b.name; });
    const auto isSame = [](const NodeInfo &a, const NodeInfo &b) {
        return a.incarnation == b.incarnation && a.name == b.name && a.address == b.address && a.zone == b.zone
                && a.leaving == b.leaving;
    };
    if (std::equal(running.begin(), running.end(), m_running.begin(), m_running.end(), isSame))
        return;
    ++m_viewVersion;
    m_running = std::move(running);
    m_runningInZone = m_running;
    std::erase_if(m_runningInZone, [this](const NodeInfo &node) { return node.zone != m_settings.self.zone; });
    m_live = m_running;
    std::erase_if(m_live, [](const NodeInfo &node) { return node.leaving; });
    m_liveInZone = m_runningInZone;
    std::erase_if(m_liveInZone, [](const NodeInfo &node) { return node.leaving; });
}

// Probes --------------------------------------------------------------------------------------------

MemberUpdate Membership::makeUpdate(const Member &member) const
{
    return {member.node, member.state, member.version};
}

// Selects recent changes, members in rotation when there are few changes, and the state of the receiver unless it is
// Alive, so that the receiver can refute that state.
std::vector<MemberUpdate> Membership::selectGossip(const Member *receiver, Now now)
{
    const std::size_t minUpdates = now.monoUs < m_startUs + startupPeriodUs ? startupRepeatedUpdates : repeatedUpdates;
    std::vector<MemberUpdate> updates;
    std::vector<char> isSelected(m_members.size(), 0);
    const auto select = [&](std::size_t index) {
        isSelected[index] = 1;
        updates.push_back(makeUpdate(m_members[index]));
    };
    // The changes that were sent least come first, so that many joins at once do not delay the update about a crash.
    std::vector<std::size_t> recent;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        m_nextRecent = (m_nextRecent + 1) % m_members.size();
        if (m_members[m_nextRecent].remainingTransmissions > 0 && raw(m_members[m_nextRecent].node.incarnation) != 0)
            recent.push_back(m_nextRecent);
    }
    std::stable_sort(recent.begin(), recent.end(), [this](std::size_t a, std::size_t b) {
        return m_members[a].remainingTransmissions > m_members[b].remainingTransmissions;
    });
    recent.resize(std::min(recent.size(), maxRecentUpdates));
    for (const std::size_t index : recent) {
        --m_members[index].remainingTransmissions;
        select(index);
    }
    if (!recent.empty())
        m_nextRecent = recent.back();
    for (std::size_t i = 0; updates.size() < minUpdates && i < m_members.size(); ++i) {
        m_nextRepeated = (m_nextRepeated + 1) % m_members.size();
        const Member &member = m_members[m_nextRepeated];
        if (isUp(member.state) && raw(member.node.incarnation) != 0 && !isSelected[m_nextRepeated])
            select(m_nextRepeated);
    }
    if (receiver && receiver->state != NodeState::Alive && raw(receiver->node.incarnation) != 0)
        updates.push_back(makeUpdate(*receiver));
    return updates;
}

std::vector<NodeId> Membership::pickConnectedPeers(std::size_t count, std::string_view except)
{
    std::vector<NodeId> picked;
    for (std::size_t i = 1; i < m_members.size(); ++i) {
        if (m_members[i].connected && m_members[i].node.name != except)
            picked.push_back(static_cast<NodeId>(i));
    }
    std::shuffle(picked.begin(), picked.end(), m_random);
    if (picked.size() > count)
        picked.resize(count);
    return picked;
}

void Membership::sendProbe(NodeId target, Now now, Actions &actions)
{
    const Member &member = m_members[raw(target)];
    m_pendingProbes.push_back({target, m_nextSequence++, now.monoUs, false});
    actions.push_back(
            SendPeer{member.node.name, Probe{m_pendingProbes.back().sequence, now.wallMs, selectGossip(&member, now)}});
}

// Sends all members to a joiner, or to a peer on the other side of a partition that has healed. In a large fleet only
// a random subset of the peers sends them; the others send their own entry.
void Membership::sendFullView(const Member &receiver, Now now, Actions &actions)
{
    const auto links = static_cast<std::size_t>(
            std::count_if(m_members.begin(), m_members.end(), [](const Member &member) { return member.connected; }));
    if (now.monoUs < m_nextFullViewUs || m_random() % std::max<std::size_t>(links, 1) >= expectedFullViewSenders) {
        actions.push_back(SendPeer{receiver.node.name, Probe{m_nextSequence++, now.wallMs, {makeUpdate(self())}}});
        return;
    }
    if (links > maxFullMeshNodes)
        m_nextFullViewUs = now.monoUs + minFullViewIntervalUs;
    Probe probe{m_nextSequence++, now.wallMs, {}};
    for (const Member &member : m_members) {
        const bool isIncluded = isUp(member.state) || now.monoUs < member.stateSinceUs + deadGossipUs;
        if (isIncluded && raw(member.node.incarnation) != 0 && &member != &receiver)
            probe.updates.push_back(makeUpdate(member));
        if (probe.updates.size() == fullViewUpdatesPerMessage) {
            actions.push_back(SendPeer{receiver.node.name, probe});
            probe = Probe{m_nextSequence++, now.wallMs, {}};
        }
    }
    if (!probe.updates.empty())
        actions.push_back(SendPeer{receiver.node.name, std::move(probe)});
}

void Membership::checkPendingProbes(Now now, Actions &actions)
{
    const std::int64_t roundUs = m_settings.probeIntervalMs * usPerMs;
    for (PendingProbe &pending : m_pendingProbes) {
        const std::string &name = m_members[raw(pending.target)].node.name;
        if (pending.isIndirect || now.monoUs < pending.sentUs + roundUs / 2)
            continue;
        pending.isIndirect = true;
        for (const NodeId helper : pickConnectedPeers(indirectProbeCount, name))
            actions.push_back(SendPeer{m_members[raw(helper)].node.name, ProbeRequest{pending.sequence, name}});
    }
    std::erase_if(m_pendingProbes, [&](const PendingProbe &pending) {
        if (now.monoUs < pending.sentUs + roundUs)
            return false;
        Member &target = m_members[raw(pending.target)];
        if (target.state == NodeState::Alive)
            setState(target, NodeState::Suspect, now);
        return true;
    });
}

void Membership::expireSuspects(Now now, Actions &actions)
{
    for (std::size_t i = 1; i < m_members.size(); ++i) {
        Member &member = m_members[i];
        if (member.state == NodeState::Suspect && now.monoUs >= member.stateSinceUs + m_settings.suspectMs * usPerMs) {
            setState(member, member.node.leaving ? NodeState::Left : NodeState::Dead, now);
            actions.push_back(Notice{NoticeLevel::Warning, "members",
                                     "entry VM no longer reachable node=" + member.node.name
                                             + (member.node.leaving ? " state=left" : " state=dead")});
            m_areLinksStale = true;
        }
    }
}

// Removes dead members. A replaced entry VM gets a new name, so the table would otherwise grow without bound.
void Membership::removeExpiredMembers(Now now)
{
    const auto isExpired = [&](const Member &member) {
        return &member != &self() && !isUp(member.state) && !member.connected && !member.isLinkRequested
                && !member.isInVmList && now.monoUs > member.stateSinceUs + deadLinkRetentionUs;
    };
    if (std::none_of(m_members.begin(), m_members.end(), isExpired))
        return;
    std::vector<Member> kept;
    for (Member &member : m_members) {
        if (!isExpired(member))
            kept.push_back(std::move(member));
        else if (raw(member.node.incarnation) != 0)
            addEndedIncarnation(member.node.incarnation);
    }
    m_members = std::move(kept);
    m_byName.clear();
    for (std::size_t i = 0; i < m_members.size(); ++i)
        m_byName.emplace(m_members[i].node.name, static_cast<NodeId>(i));
    m_pendingProbes.clear();
    m_probeOrder.clear();
    m_nextProbeIndex = 0;
}

// Links ---------------------------------------------------------------------------------------------

void Membership::setLink(Member &member, bool isRequested, Actions &actions)
{
    if (member.isLinkRequested == isRequested)
        return;
    member.isLinkRequested = isRequested;
    if (isRequested)
        actions.push_back(ConnectPeer{member.node});
    else
        actions.push_back(DisconnectPeer{member.node.name});
}

void Membership::updateLinks(Now now, Actions &actions)
{
    m_areLinksStale = false;
    struct Candidate
    {
        std::uint64_t weight = 0;
        std::size_t index = 0;
    };
    // Both ends compute the same weight for a link, so that most links are requested by both.
    absl::flat_hash_map<std::string, std::vector<Candidate>> zones;
    const std::uint64_t ownHash = XXH3_64bits(m_settings.self.name.data(), m_settings.self.name.size());
    std::vector<char> isRequested(m_members.size(), 0);
    std::size_t count = 0;
    for (std::size_t i = 1; i < m_members.size(); ++i) {
        const Member &member = m_members[i];
        const std::int64_t retentionUs = member.state == NodeState::Left ? leftLinkRetentionUs : deadLinkRetentionUs;
        if (member.node.address.empty()
            || (!isUp(member.state) && now.monoUs > member.stateSinceUs + retentionUs
                && raw(member.node.incarnation) != 0))
            continue;
        const std::uint64_t hash = XXH3_64bits(member.node.name.data(), member.node.name.size()) ^ ownHash;
        zones[member.node.zone].push_back({XXH3_64bits(&hash, sizeof(hash)), i});
        ++count;
    }
    for (auto &[zone, candidates] : zones) {
        std::size_t limit = zone == m_settings.self.zone ? maxZoneLinks : maxLinksPerRemoteZone;
        if (count <= maxFullMeshNodes)
            limit = candidates.size();
        std::sort(candidates.begin(), candidates.end(),
                  [](const Candidate &a, const Candidate &b) { return a.weight < b.weight; });
        for (std::size_t i = 0; i < std::min(limit, candidates.size()); ++i)
            isRequested[candidates[i].index] = 1;
    }
    for (std::size_t i = 1; i < m_members.size(); ++i)
        setLink(m_members[i], isRequested[i] != 0 || m_members[i].linkRequestedUntilUs > now.monoUs, actions);
}

} // namespace clementinelift::core
