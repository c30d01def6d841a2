#include "core/membership.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace clementinelift::core {

namespace {

constexpr std::size_t indirectProbes = 2;
constexpr std::size_t repairUpdates = 1;       // entries in rotation, when there are fewer changes
constexpr std::size_t startRepairUpdates = 16; // during startUs: a fleet that starts at once learns its members faster
constexpr std::int64_t startUs = 30 * usPerS;
constexpr std::size_t maxRelays = 64;
constexpr std::size_t maxEnded = 4096;                 // replaced incarnations that are remembered
constexpr std::uint32_t sendsPerDoubling = 3;          // a change is passed on 3 log2(members) times
constexpr std::size_t fullViewChunk = 64;              // entries of one message
constexpr std::size_t fullViewSenders = 4;             // expected number of peers that send a joiner everything
constexpr std::int64_t fullViewIntervalUs = usPerS;    // bounds the burst when a partition heals
constexpr std::int64_t relayKeptUs = 2 * usPerS;       // an answer after that is of no use to the asker
constexpr std::int64_t deadLinkKeptUs = 3600 * usPerS; // a partition that lasts longer needs seeds or the VM list
constexpr std::int64_t deadToldUs = 600 * usPerS;      // joiners hear of dead entry VMs that still own issue times
constexpr std::int64_t leftLinkKeptUs = 10 * usPerS;   // then the link to a VM that has drained is given up

bool isUp(NodeState state)
{
    return state == NodeState::Alive || state == NodeState::Suspect;
}

int precedence(NodeState state)
{
    return state == NodeState::Alive ? 0 : state == NodeState::Suspect ? 1 : 2;
}

} // namespace

Membership::Membership(const CoreSettings &settings) : m_settings(settings), m_random(settings.seed)
{
    assert(!settings.self.name.empty());
    addMember(settings.self);
    self().state = NodeState::Alive;
    refreshLive();
}

// Events --------------------------------------------------------------------------------------------

void Membership::onConnected(const NodeInfo &node, Now now, Actions &actions)
{
    begin(now);
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
    refreshLive();
}

void Membership::onDisconnected(std::string_view node, Now now)
{
    Member *member = findMember(node);
    if (!member || !member->connected)
        return;
    member->connected = false;
    m_areLinksStale = true;
    if (!isUp(member->state) || !member->isLinkWanted)
        return; // the other side may have closed a link that neither needs
    // A broken link is asked about at once through others; a process that has crashed is found a round earlier.
    const auto target = static_cast<NodeId>(member - m_members.data());
    std::erase_if(m_pending, [target](const PendingProbe &probe) { return probe.target == target; });
    m_pending.push_back({target, m_nextSequence++, now.monoUs - m_settings.probeIntervalMs * usPerMs / 2, false});
    m_nextTimerUs = std::min(m_nextTimerUs, now.monoUs);
}

void Membership::onProbe(std::string_view from, const Probe &probe, Now now, Actions &actions)
{
    hear(from, probe.wallMs, probe.updates, now);
    if (Member *member = findMember(from))
        actions.push_back(SendPeer{std::string(from), ProbeAck{probe.sequence, now.wallMs, gossipFor(member, now)}});
}

void Membership::onProbeAck(std::string_view from, const ProbeAck &ack, Now now)
{
    hear(from, ack.wallMs, ack.updates, now);
    for (const PendingProbe &pending : m_pending) {
        if (pending.sequence != ack.sequence)
            continue;
        Member &target = m_members[raw(pending.target)];
        if (target.state == NodeState::Suspect)
            setState(target, NodeState::Alive, now);
    }
    std::erase_if(m_pending, [&](const PendingProbe &pending) { return pending.sequence == ack.sequence; });
    for (Relay &relay : m_relays) {
        if (relay.sequence == ack.sequence) {
            relay.isAnswered = true;
            m_nextTimerUs = now.monoUs; // onTimer() passes the answer on
        }
    }
    refreshLive();
}

void Membership::onProbeRequest(std::string_view from, const ProbeRequest &request, Now now, Actions &actions)
{
    const Member *target = findMember(request.target);
    if (!target || !target->connected || m_relays.size() >= maxRelays)
        return;
    m_relays.push_back({m_nextSequence++, std::string(from), request.sequence, now.monoUs, false});
    actions.push_back(SendPeer{request.target, Probe{m_relays.back().sequence, now.wallMs, {}}});
}

void Membership::onVmList(std::span<const NodeInfo> nodes, Now now, Actions &actions)
{
    begin(now);
    for (Member &member : m_members) {
        member.isLeavingInList = false;
        member.isInList = false;
    }
    for (const NodeInfo &node : nodes) {
        if (node.name.empty())
            continue;
        Member *member = findMember(node.name);
        if (!member)
            member = &m_members[raw(addMember(node))];
        member->isInList = true;
        member->isLeavingInList = node.leaving;
        if (!member->connected && !node.address.empty() && member != &self())
            setPlace(*member, node);
    }
    m_areLinksStale = true;
    refreshLive();
    updateLinks(now, actions);
}

void Membership::onTimer(Now now, Actions &actions)
{
    begin(now);
    if (!m_areSeedsAsked) {
        m_areSeedsAsked = true;
        for (const NodeInfo &seed : m_settings.seeds) {
            if (seed.name == m_settings.self.name || seed.address == m_settings.self.address)
                continue;
            if (seed.name.empty())
                actions.push_back(ConnectPeer{seed}); // named when the link is up
            else if (!findMember(seed.name))
                addMember(seed);
        }
        m_areLinksStale = true;
    }
    for (const Relay &relay : m_relays) {
        if (relay.isAnswered)
            actions.push_back(SendPeer{relay.asker, ProbeAck{relay.askerSequence, now.wallMs, {}}});
    }
    std::erase_if(m_relays,
                  [now](const Relay &relay) { return relay.isAnswered || relay.sentUs + relayKeptUs < now.monoUs; });
    checkPending(now, actions);
    checkStates(now, actions);
    if (now.monoUs >= m_nextRoundUs) {
        m_nextRoundUs = now.monoUs + m_settings.probeIntervalMs * usPerMs;
        // Each pass over the members has a new random order, so no member waits longer than two passes.
        if (m_nextProbed >= m_probeOrder.size()) {
            m_probeOrder = pickConnected(m_members.size(), {});
            m_nextProbed = 0;
        }
        while (m_nextProbed < m_probeOrder.size()) {
            const NodeId target = m_probeOrder[m_nextProbed++];
            if (m_members[raw(target)].connected) {
                sendProbe(target, now, actions);
                break;
            }
        }
        forgetDead(now);
        m_areLinksStale = true;
    }
    refreshLive();
    if (m_areLinksStale)
        updateLinks(now, actions);
    m_nextTimerUs = m_nextRoundUs;
    for (const PendingProbe &pending : m_pending) {
        const std::int64_t stepUs = m_settings.probeIntervalMs * usPerMs / (pending.isIndirect ? 1 : 2);
        m_nextTimerUs = std::min(m_nextTimerUs, pending.sentUs + stepUs);
    }
}

void Membership::leave(Now now, Actions &actions)
{
    begin(now);
    if (self().node.leaving)
        return;
    self().node.leaving = true;
    ++self().version;
    setState(self(), NodeState::Alive, now);
    refreshLive();
    // Everybody with a link hears it now: new work must not be sent here for another round.
    for (const NodeId peer : pickConnected(m_members.size(), {}))
        actions.push_back(
                SendPeer{m_members[raw(peer)].node.name, Probe{m_nextSequence++, now.wallMs, {describe(self())}}});
}

void Membership::requestLink(std::string_view name, Now now, Actions &actions)
{
    Member *member = findMember(name);
    if (!member || member == &self())
        return;
    const auto wanted = std::count_if(m_members.begin(), m_members.end(),
                                      [now](const Member &other) { return other.wantedUntilUs > now.monoUs; });
    if (member->wantedUntilUs <= now.monoUs && static_cast<std::size_t>(wanted) >= onDemandLinks)
        return;
    member->wantedUntilUs = now.monoUs + onDemandIdleUs;
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
    if (m_ended.contains(incarnation))
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

std::size_t Membership::linkCount() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
                                                  [](const Member &member) { return member.isLinkWanted; }));
}

// View ----------------------------------------------------------------------------------------------

void Membership::begin(Now now)
{
    if (m_hasBegun)
        return;
    m_hasBegun = true;
    m_begunUs = now.monoUs;
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
    // A process that has just started learns what the others know already; its repair entries pass that on.
    const bool isOldNews = state == NodeState::Alive && now.monoUs < m_begunUs + startUs && &member != &self();
    member.sendsLeft = isOldNews ? 0 : sendsPerDoubling * static_cast<std::uint32_t>(std::bit_width(m_members.size()));
}

void Membership::rememberEnded(Incarnation incarnation)
{
    if (!m_ended.insert(incarnation).second)
        return;
    m_endedOrder.push_back(incarnation);
    if (m_endedOrder.size() > maxEnded) {
        m_ended.erase(m_endedOrder.front());
        m_endedOrder.pop_front();
    }
}

void Membership::replaceIncarnation(Member &member, Incarnation incarnation)
{
    if (raw(member.node.incarnation) != 0)
        rememberEnded(member.node.incarnation);
    member.node.incarnation = incarnation;
    member.isClockKnown = false;
}

void Membership::merge(const MemberUpdate &update, bool isFromItself, Now now)
{
    if (raw(update.node.incarnation) == 0 || update.node.name.empty())
        return;
    if (update.node.name == m_settings.self.name) {
        mergeAboutSelf(update);
        return;
    }
    Member *member = findMember(update.node.name);
    if (!member) {
        member = &m_members[raw(addMember(update.node))];
        member->version = update.version;
        setState(*member, update.state, now);
        if (!isUp(update.state))
            member->sendsLeft = 0; // old news: passed on again, it would never end
        return;
    }
    const bool isOther = member->node.incarnation != update.node.incarnation || member->version == 0;
    if (m_ended.contains(update.node.incarnation))
        return;
    if (isOther && member->connected && !isFromItself && member->node.incarnation != update.node.incarnation)
        return; // the link has shown which incarnation runs
    const bool isNewer = update.version > member->version
            || (update.version == member->version && !isOther && precedence(update.state) > precedence(member->state));
    if (!isNewer && !(isFromItself && isOther))
        return;
    if (member->node.incarnation != update.node.incarnation)
        replaceIncarnation(*member, update.node.incarnation);
    const bool isChanged = isOther || member->state != update.state || member->node.leaving != update.node.leaving;
    member->version = update.version;
    member->node.leaving = update.node.leaving;
    if (!member->connected)
        setPlace(*member, update.node);
    // A member that this process can ask itself is never dead on the word of others alone.
    const bool isDoubted = member->connected && !isFromItself && !isUp(update.state);
    if (isChanged)
        setState(*member, isDoubted ? NodeState::Suspect : update.state, now);
    m_areLinksStale = m_areLinksStale || isChanged;
}

// Takes over address and zone; a link to another address has to be asked for again.
void Membership::setPlace(Member &member, const NodeInfo &node)
{
    if (member.node.address != node.address)
        member.isLinkWanted = false;
    member.node.address = node.address;
    member.node.zone = node.zone;
}

void Membership::mergeAboutSelf(const MemberUpdate &update)
{
    const bool isOther = update.node.incarnation != m_settings.self.incarnation;
    if (update.version < self().version || (!isOther && update.state == NodeState::Alive))
        return;
    self().version = update.version + 1;
    self().sendsLeft = sendsPerDoubling * static_cast<std::uint32_t>(std::bit_width(m_members.size()));
}

void Membership::hear(std::string_view from, std::int64_t wallMs, std::span<const MemberUpdate> updates, Now now)
{
    begin(now);
    if (Member *member = findMember(from); member && member->connected) {
        member->clockErrorMs = now.wallMs - wallMs;
        member->isClockKnown = true;
        if (member->state != NodeState::Alive)
            setState(*member, NodeState::Alive, now);
    }
    for (const MemberUpdate &update : updates)
        merge(update, update.node.name == from, now);
    refreshLive();
}

void Membership::refreshLive()
{
    std::vector<NodeInfo> running;
    for (const Member &member : m_members) {
        if (!isUp(member.state) || raw(member.node.incarnation) == 0)
            continue;
        running.push_back(member.node);
        running.back().leaving = member.node.leaving || member.isLeavingInList;
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

MemberUpdate Membership::describe(const Member &member) const
{
    return {member.node, member.state, member.version};
}

// Recent changes, one entry in rotation, and what the receiver may want to refute.
std::vector<MemberUpdate> Membership::gossipFor(const Member *receiver, Now now)
{
    const std::size_t repairs = now.monoUs < m_begunUs + startUs ? startRepairUpdates : repairUpdates;
    std::vector<MemberUpdate> updates;
    std::vector<char> isTaken(m_members.size(), 0);
    const auto take = [&](std::size_t index) {
        isTaken[index] = 1;
        updates.push_back(describe(m_members[index]));
    };
    // The changes that were passed on least come first; a fleet that starts at once must not delay the news of a crash.
    std::vector<std::size_t> hot;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        m_nextHot = (m_nextHot + 1) % m_members.size();
        if (m_members[m_nextHot].sendsLeft > 0 && raw(m_members[m_nextHot].node.incarnation) != 0)
            hot.push_back(m_nextHot);
    }
    std::stable_sort(hot.begin(), hot.end(),
                     [this](std::size_t a, std::size_t b) { return m_members[a].sendsLeft > m_members[b].sendsLeft; });
    hot.resize(std::min(hot.size(), maxHotUpdates));
    for (const std::size_t index : hot) {
        --m_members[index].sendsLeft;
        take(index);
    }
    if (!hot.empty())
        m_nextHot = hot.back();
    for (std::size_t i = 0; updates.size() < repairs && i < m_members.size(); ++i) {
        m_nextRepaired = (m_nextRepaired + 1) % m_members.size();
        const Member &member = m_members[m_nextRepaired];
        if (isUp(member.state) && raw(member.node.incarnation) != 0 && !isTaken[m_nextRepaired])
            take(m_nextRepaired);
    }
    if (receiver && receiver->state != NodeState::Alive && raw(receiver->node.incarnation) != 0)
        updates.push_back(describe(*receiver));
    return updates;
}

std::vector<NodeId> Membership::pickConnected(std::size_t count, std::string_view except)
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
    m_pending.push_back({target, m_nextSequence++, now.monoUs, false});
    actions.push_back(
            SendPeer{member.node.name, Probe{m_pending.back().sequence, now.wallMs, gossipFor(&member, now)}});
}

// Tells a joiner, or the other side of a partition that has healed, everything at once. In a large fleet only some
// of its peers do, chosen at random.
void Membership::sendFullView(const Member &receiver, Now now, Actions &actions)
{
    const auto links = static_cast<std::size_t>(
            std::count_if(m_members.begin(), m_members.end(), [](const Member &member) { return member.connected; }));
    if (now.monoUs < m_nextFullViewUs || m_random() % std::max<std::size_t>(links, 1) >= fullViewSenders) {
        actions.push_back(SendPeer{receiver.node.name, Probe{m_nextSequence++, now.wallMs, {describe(self())}}});
        return;
    }
    if (links > fullMeshNodes)
        m_nextFullViewUs = now.monoUs + fullViewIntervalUs;
    Probe probe{m_nextSequence++, now.wallMs, {}};
    for (const Member &member : m_members) {
        const bool isTold = isUp(member.state) || now.monoUs < member.stateSinceUs + deadToldUs;
        if (isTold && raw(member.node.incarnation) != 0 && &member != &receiver)
            probe.updates.push_back(describe(member));
        if (probe.updates.size() == fullViewChunk) {
            actions.push_back(SendPeer{receiver.node.name, probe});
            probe = Probe{m_nextSequence++, now.wallMs, {}};
        }
    }
    if (!probe.updates.empty())
        actions.push_back(SendPeer{receiver.node.name, std::move(probe)});
}

void Membership::checkPending(Now now, Actions &actions)
{
    const std::int64_t roundUs = m_settings.probeIntervalMs * usPerMs;
    for (PendingProbe &pending : m_pending) {
        const std::string &name = m_members[raw(pending.target)].node.name;
        if (pending.isIndirect || now.monoUs < pending.sentUs + roundUs / 2)
            continue;
        pending.isIndirect = true;
        for (const NodeId helper : pickConnected(indirectProbes, name))
            actions.push_back(SendPeer{m_members[raw(helper)].node.name, ProbeRequest{pending.sequence, name}});
    }
    std::erase_if(m_pending, [&](const PendingProbe &pending) {
        if (now.monoUs < pending.sentUs + roundUs)
            return false;
        Member &target = m_members[raw(pending.target)];
        if (target.state == NodeState::Alive)
            setState(target, NodeState::Suspect, now);
        return true;
    });
}

void Membership::checkStates(Now now, Actions &actions)
{
    for (std::size_t i = 1; i < m_members.size(); ++i) {
        Member &member = m_members[i];
        if (member.state == NodeState::Suspect && now.monoUs >= member.stateSinceUs + m_settings.suspectMs * usPerMs) {
            setState(member, member.node.leaving ? NodeState::Left : NodeState::Dead, now);
            actions.push_back(Notice{NoticeLevel::Warning, "members",
                                     "entry VM is gone node=" + member.node.name
                                             + (member.node.leaving ? " state=left" : " state=dead")});
            m_areLinksStale = true;
        }
    }
}

// Names are not used again after a replacement, so the table would grow for ever.
void Membership::forgetDead(Now now)
{
    const auto isForgotten = [&](const Member &member) {
        return &member != &self() && !isUp(member.state) && !member.connected && !member.isLinkWanted
                && !member.isInList && now.monoUs > member.stateSinceUs + deadLinkKeptUs;
    };
    if (std::none_of(m_members.begin(), m_members.end(), isForgotten))
        return;
    std::vector<Member> kept;
    for (Member &member : m_members) {
        if (!isForgotten(member))
            kept.push_back(std::move(member));
        else if (raw(member.node.incarnation) != 0)
            rememberEnded(member.node.incarnation);
    }
    m_members = std::move(kept);
    m_byName.clear();
    for (std::size_t i = 0; i < m_members.size(); ++i)
        m_byName.emplace(m_members[i].node.name, static_cast<NodeId>(i));
    m_pending.clear();
    m_probeOrder.clear();
    m_nextProbed = 0;
}

// Links ---------------------------------------------------------------------------------------------

void Membership::setLink(Member &member, bool isWanted, Actions &actions)
{
    if (member.isLinkWanted == isWanted)
        return;
    member.isLinkWanted = isWanted;
    if (isWanted)
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
    // The same weight on both sides, so that most links serve both.
    absl::flat_hash_map<std::string, std::vector<Candidate>> zones;
    const std::uint64_t ownHash = XXH3_64bits(m_settings.self.name.data(), m_settings.self.name.size());
    std::vector<char> wanted(m_members.size(), 0);
    std::size_t count = 0;
    for (std::size_t i = 1; i < m_members.size(); ++i) {
        const Member &member = m_members[i];
        const std::int64_t keptUs = member.state == NodeState::Left ? leftLinkKeptUs : deadLinkKeptUs;
        if (member.node.address.empty()
            || (!isUp(member.state) && now.monoUs > member.stateSinceUs + keptUs && raw(member.node.incarnation) != 0))
            continue;
        const std::uint64_t hash = XXH3_64bits(member.node.name.data(), member.node.name.size()) ^ ownHash;
        zones[member.node.zone].push_back({XXH3_64bits(&hash, sizeof(hash)), i});
        ++count;
    }
    for (auto &[zone, candidates] : zones) {
        std::size_t limit = zone == m_settings.self.zone ? zoneLinks : remoteLinks;
        if (count <= fullMeshNodes)
            limit = candidates.size();
        std::sort(candidates.begin(), candidates.end(),
                  [](const Candidate &a, const Candidate &b) { return a.weight < b.weight; });
        for (std::size_t i = 0; i < std::min(limit, candidates.size()); ++i)
            wanted[candidates[i].index] = 1;
    }
    for (std::size_t i = 1; i < m_members.size(); ++i)
        setLink(m_members[i], wanted[i] != 0 || m_members[i].wantedUntilUs > now.monoUs, actions);
}

} // namespace clementinelift::core
