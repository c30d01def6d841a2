// Which entry VMs are alive, SWIM style: probe one random peer a round, indirect probes before suspicion, changes
// piggybacked. Safety of key ownership never depends on this view; slots and forwards do.
//
// Contents
//   Rules        versions, restarts, leaving, links, traffic
//   Membership   the state machine
//
// Versions order what is known about one name; a higher version wins, at the same version Dead and Left win over
// Suspect over Alive. Only the entry VM itself raises its version. A process starts with its wall clock in
// seconds, so a restart (a new incarnation) has a higher one, and it raises it above any other that it hears about
// itself.
//
// An entry VM that drains stays alive with leaving = true until it can no longer be reached; it is then Left.
//
// Links: up to fullMeshNodes other entry VMs, every pair keeps a link. In larger fleets an entry VM opens links to at
// most zoneLinks others of its own zone and remoteLinks of each other zone (rendezvous hashing), plus at most
// onDemandLinks that requestLink() asked for and that close when unused for onDemandIdleUs. Probes use existing links
// only.
//
// Traffic: one probe and one answered probe a round. Each probe carries at most maxHotUpdates changes, each change
// is passed on a logarithmic number of times, and entries in rotation repair what was lost.
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
    static constexpr std::size_t fullMeshNodes = 32;
    static constexpr std::size_t zoneLinks = 24;
    static constexpr std::size_t remoteLinks = 3;
    static constexpr std::size_t onDemandLinks = 32;
    static constexpr std::int64_t onDemandIdleUs = 60 * usPerS;
    static constexpr std::size_t maxHotUpdates = 6;

    explicit Membership(const CoreSettings &settings);

    void onConnected(const NodeInfo &node, Now now, Actions &actions);
    void onDisconnected(std::string_view node, Now now);
    void onProbe(std::string_view from, const Probe &probe, Now now, Actions &actions);
    void onProbeAck(std::string_view from, const ProbeAck &ack, Now now);
    void onProbeRequest(std::string_view from, const ProbeRequest &request, Now now, Actions &actions);
    void onVmList(std::span<const NodeInfo> nodes, Now now, Actions &actions);
    void onTimer(Now now, Actions &actions); // sends probes, ages suspicions, asks for links
    void leave(Now now, Actions &actions);   // tells peers that this entry VM drains

    // Asks for a link that the fleet's regular ones do not include; call it again while the link is in use.
    void requestLink(std::string_view name, Now now, Actions &actions);

    std::int64_t nextTimerUs() const;
    std::span<const NodeInfo> live() const;       // alive or suspect, not leaving, own entry VM included; by name
    std::span<const NodeInfo> liveInZone() const; // live() in the own availability zone
    std::span<const NodeInfo> running() const;    // live() and those that drain: they keep their slots until they exit
    std::span<const NodeInfo> runningInZone() const;     // running() in the own availability zone
    const NodeInfo *find(std::string_view name) const;   // null: never heard of
    const NodeInfo *find(Incarnation incarnation) const; // null: unknown or replaced
    bool isConnected(std::string_view name) const;
    bool isDead(Incarnation incarnation) const; // replaced by a newer incarnation, left or declared dead
    std::uint64_t viewVersion() const;          // changes whenever live() or running() changes
    std::int64_t medianClockErrorMs() const;    // own wall clock minus the median of the peers', 0: no peer
    std::size_t linkCount() const;              // links that this entry VM has asked for

private:
    struct Member
    {
        NodeInfo node; // incarnation 0: known by address only
        NodeState state = NodeState::Dead;
        std::uint32_t version = 0;
        bool connected = false;
        bool isLinkWanted = false;    // ConnectPeer was emitted
        bool isInList = false;        // the VM list has it
        bool isLeavingInList = false; // the VM list says so
        std::int64_t stateSinceUs = 0;
        std::int64_t clockErrorMs = 0; // own wall clock minus the member's
        bool isClockKnown = false;
        std::int64_t wantedUntilUs = 0; // on-demand link
        std::uint32_t sendsLeft = 0;    // times that the last change is still passed on
    };
    struct PendingProbe
    {
        NodeId target{};
        std::uint64_t sequence = 0;
        std::int64_t sentUs = 0;
        bool isIndirect = false; // others were asked to probe
    };
    // A probe that was sent for somebody else.
    struct Relay
    {
        std::uint64_t sequence = 0; // of the own probe
        std::string asker;
        std::uint64_t askerSequence = 0;
        std::int64_t sentUs = 0;
        bool isAnswered = false;
    };

    Member &self() { return m_members.front(); }
    const Member &self() const { return m_members.front(); }
    void begin(Now now);
    NodeId addMember(const NodeInfo &node);
    Member *findMember(std::string_view name);
    void setState(Member &member, NodeState state, Now now);
    void rememberEnded(Incarnation incarnation);
    void forgetDead(Now now);
    void setPlace(Member &member, const NodeInfo &node);
    void replaceIncarnation(Member &member, Incarnation incarnation);
    void merge(const MemberUpdate &update, bool isFromItself, Now now);
    void mergeAboutSelf(const MemberUpdate &update);
    void hear(std::string_view from, std::int64_t wallMs, std::span<const MemberUpdate> updates, Now now);
    MemberUpdate describe(const Member &member) const;
    std::vector<MemberUpdate> gossipFor(const Member *receiver, Now now);
    std::vector<NodeId> pickConnected(std::size_t count, std::string_view except);
    void sendProbe(NodeId target, Now now, Actions &actions);
    void sendFullView(const Member &receiver, Now now, Actions &actions);
    void checkPending(Now now, Actions &actions);
    void checkStates(Now now, Actions &actions);
    void updateLinks(Now now, Actions &actions);
    void setLink(Member &member, bool isWanted, Actions &actions);
    void refreshLive();

    const CoreSettings &m_settings;
    std::vector<Member> m_members; // the own entry VM first
    absl::flat_hash_map<std::string, NodeId> m_byName;
    absl::flat_hash_set<Incarnation> m_ended; // replaced incarnations, bounded
    std::deque<Incarnation> m_endedOrder;
    std::vector<NodeInfo> m_running;
    std::vector<NodeInfo> m_runningInZone;
    std::vector<NodeInfo> m_live;
    std::vector<NodeInfo> m_liveInZone;
    std::vector<PendingProbe> m_pending;
    std::vector<Relay> m_relays;
    std::uint64_t m_viewVersion = 1;
    std::uint64_t m_nextSequence = 1;
    std::size_t m_nextProbed = 0; // position in m_probeOrder
    std::vector<NodeId> m_probeOrder;
    std::size_t m_nextHot = 0;      // member whose change the next probe passes on
    std::size_t m_nextRepaired = 0; // member that the next probe repeats
    std::int64_t m_nextTimerUs = 0;
    std::int64_t m_nextRoundUs = 0;
    std::int64_t m_nextFullViewUs = 0;
    bool m_areLinksStale = true;
    bool m_hasBegun = false;
    std::int64_t m_begunUs = 0;
    bool m_areSeedsAsked = false;
    std::mt19937_64 m_random;
};

} // namespace clementinelift::core
