// Membership of entry VMs with failure detection after SWIM: each round probes one random peer, an unanswered probe is
// followed by indirect probes and then by suspicion, and changes are piggybacked on probes. The safety of key ownership
// never depends on this view; slots and forwards do.
//
// Contents
//   Rules        versions, restarts, leaving, links, traffic
//   Membership   the state machine
//
// Versions order the updates about one name: the higher version wins; at the same version Dead and Left win over
// Suspect, and Suspect wins over Alive. Only the entry VM itself raises its version. A process starts with its wall
// clock in seconds as version, so a restart (a new incarnation) has a higher version than the run before. A process
// refutes an update about itself that has another incarnation or state by raising its version above that of the update.
//
// An entry VM that drains stays Alive with leaving = true until it can no longer be reached; its state is then Left.
//
// Links: up to maxFullMeshNodes other entry VMs, every pair keeps a link. In larger fleets an entry VM opens links to
// at most maxZoneLinks others of its own zone and maxLinksPerRemoteZone of each other zone (rendezvous hashing), plus
// at most maxOnDemandLinks that requestLink() asked for and that close when unused for onDemandIdleTimeoutUs. Probes
// use existing links only.
//
// Traffic: an entry VM sends one probe and answers one on average in each round. Each probe carries at most
// maxRecentUpdates changes, and each change is sent a number of times that is logarithmic in the number of members.
// Probes with few changes also repeat members in rotation, which repairs updates that were lost.
#pragma once

#include "core/events.h"
#include "core/parameters.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <random>

namespace clementinelift::core {

class Membership
{
public:
    static constexpr std::size_t maxFullMeshNodes = 32;
    static constexpr std::size_t maxZoneLinks = 24;
    static constexpr std::size_t maxLinksPerRemoteZone = 3;
    static constexpr std::size_t maxOnDemandLinks = 32;
    static constexpr std::int64_t onDemandIdleTimeoutUs = 60 * usPerS;
    static constexpr std::size_t maxRecentUpdates = 6;

    explicit Membership(const CoreSettings &settings);

    void onConnected(const NodeInfo &node, Now now, Actions &actions);
    void onDisconnected(std::string_view node, Now now);
    void onProbe(std::string_view from, const Probe &probe, Now now, Actions &actions);
    void onProbeAck(std::string_view from, const ProbeAck &ack, Now now);
    void onProbeRequest(std::string_view from, const ProbeRequest &request, Now now, Actions &actions);
    void onVmList(std::span<const NodeInfo> nodes, Now now, Actions &actions);
    void onTimer(Now now, Actions &actions); // sends probes, expires suspects, requests links
    void leave(Now now, Actions &actions);   // tells peers that this entry VM drains

    // Requests a link in addition to the regular ones. Call it again while the link is in use: each call restarts
    // the timeout onDemandIdleTimeoutUs.
    void requestLink(std::string_view name, Now now, Actions &actions);

    std::int64_t nextTimerUs() const;
    std::span<const NodeInfo> live() const;       // alive or suspect, not leaving, own entry VM included; by name
    std::span<const NodeInfo> liveInZone() const; // live() in the own availability zone
    std::span<const NodeInfo> running() const;    // live() and those that drain, which keep their slots until they exit
    std::span<const NodeInfo> runningInZone() const;     // running() in the own availability zone
    const NodeInfo *find(std::string_view name) const;   // null: no such member
    const NodeInfo *find(Incarnation incarnation) const; // null: unknown or replaced
    bool isConnected(std::string_view name) const;
    bool isDead(Incarnation incarnation) const; // replaced by a newer incarnation, left or declared dead
    std::uint64_t viewVersion() const;          // changes whenever live() or running() changes
    std::int64_t medianClockErrorMs() const;    // own wall clock minus the peers', median over the peers; 0: no peer
    std::size_t requestedLinkCount() const;     // links that this entry VM has requested

private:
    struct Member
    {
        NodeInfo node; // incarnation 0: known by address only
        NodeState state = NodeState::Dead;
        std::uint32_t version = 0;
        bool connected = false;
        bool isLinkRequested = false;   // ConnectPeer was emitted
        bool isInVmList = false;        // the VM list contains it
        bool isLeavingInVmList = false; // the VM list marks it as leaving
        std::int64_t stateSinceUs = 0;
        std::int64_t clockErrorMs = 0; // own wall clock minus the member's
        bool isClockKnown = false;
        std::int64_t linkRequestedUntilUs = 0;    // end of the on-demand link
        std::uint32_t remainingTransmissions = 0; // of the last change
    };
    struct PendingProbe
    {
        NodeId target{};
        std::uint64_t sequence = 0;
        std::int64_t sentUs = 0;
        bool isIndirect = false; // other peers were asked to probe the target
    };
    // A probe that was sent at the request of a peer.
    struct RelayedProbe
    {
        std::uint64_t sequence = 0; // of the own probe
        std::string requester;
        std::uint64_t requesterSequence = 0;
        std::int64_t sentUs = 0;
        bool isAnswered = false;
    };

    Member &self() { return m_members.front(); }
    const Member &self() const { return m_members.front(); }
    void initialise(Now now);
    NodeId addMember(const NodeInfo &node);
    Member *findMember(std::string_view name);
    void setState(Member &member, NodeState state, Now now);
    void addEndedIncarnation(Incarnation incarnation);
    void removeExpiredMembers(Now now);
    void setAddressAndZone(Member &member, const NodeInfo &node);
    void replaceIncarnation(Member &member, Incarnation incarnation);
    void merge(const MemberUpdate &update, bool isFromItself, Now now);
    void refuteUpdate(const MemberUpdate &update);
    void mergeGossip(std::string_view from, std::int64_t wallMs, std::span<const MemberUpdate> updates, Now now);
    MemberUpdate makeUpdate(const Member &member) const;
    std::vector<MemberUpdate> selectGossip(const Member *receiver, Now now);
    std::vector<NodeId> pickConnectedPeers(std::size_t count, std::string_view except);
    void sendProbe(NodeId target, Now now, Actions &actions);
    void sendFullView(const Member &receiver, Now now, Actions &actions);
    void checkPendingProbes(Now now, Actions &actions);
    void expireSuspects(Now now, Actions &actions);
    void updateLinks(Now now, Actions &actions);
    void setLink(Member &member, bool isRequested, Actions &actions);
    void refreshView();

    const CoreSettings &m_settings;
    std::vector<Member> m_members; // the own entry VM first
    absl::flat_hash_map<std::string, NodeId> m_byName;
    absl::flat_hash_set<Incarnation> m_endedIncarnations; // replaced incarnations, at most maxEndedIncarnations
    std::deque<Incarnation> m_endedIncarnationOrder;
    std::vector<NodeInfo> m_running;
    std::vector<NodeInfo> m_runningInZone;
    std::vector<NodeInfo> m_live;
    std::vector<NodeInfo> m_liveInZone;
    std::vector<PendingProbe> m_pendingProbes;
    std::vector<RelayedProbe> m_relayedProbes;
    std::uint64_t m_viewVersion = 1;
    std::uint64_t m_nextSequence = 1;
    std::size_t m_nextProbeIndex = 0; // position in m_probeOrder
    std::vector<NodeId> m_probeOrder;
    std::size_t m_nextRecent = 0;   // position of the search for recent changes in m_members
    std::size_t m_nextRepeated = 0; // member that was repeated last
    std::int64_t m_nextTimerUs = 0;
    std::int64_t m_nextRoundUs = 0;
    std::int64_t m_nextFullViewUs = 0;
    bool m_areLinksStale = true;
    bool m_isInitialised = false;
    std::int64_t m_startUs = 0;
    bool m_areSeedsContacted = false;
    std::mt19937_64 m_random;
};

} // namespace clementinelift::core
