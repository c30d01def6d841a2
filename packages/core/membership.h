// Which entry VMs are alive, SWIM style: probe one random peer a round, indirect probes before suspicion, changes
// piggybacked. Safety of key ownership never depends on this view; slots and forwards do.
#pragma once

#include "core/events.h"
#include "core/parameters.h"

#include <absl/container/flat_hash_map.h>

#include <random>

namespace clementinelift::core {

class Membership
{
public:
    explicit Membership(const CoreSettings &settings);

    void onConnected(const NodeInfo &node, Now now, Actions &actions);
    void onDisconnected(std::string_view node, Now now);
    void onProbe(std::string_view from, const Probe &probe, Now now, Actions &actions);
    void onProbeAck(std::string_view from, const ProbeAck &ack, Now now);
    void onProbeRequest(std::string_view from, const ProbeRequest &request, Now now, Actions &actions);
    void onVmList(std::span<const NodeInfo> nodes, Now now, Actions &actions);
    void onTimer(Now now, Actions &actions); // sends probes, ages suspicions, asks for links
    void leave(Now now, Actions &actions);   // tells peers that this entry VM drains

    std::int64_t nextTimerUs() const;
    std::span<const NodeInfo> live() const;              // alive or suspect, not leaving, own entry VM included
    std::span<const NodeInfo> liveInZone() const;        // live() in the own availability zone
    const NodeInfo *find(std::string_view name) const;   // null: never heard of
    const NodeInfo *find(Incarnation incarnation) const; // null: unknown or replaced
    bool isConnected(std::string_view name) const;
    bool isDead(Incarnation incarnation) const; // replaced by a newer incarnation, left or declared dead
    std::uint64_t viewVersion() const;          // changes whenever live() changes
    std::int64_t medianClockErrorMs() const;    // own wall clock minus the median of the peers', 0: no peer

private:
    struct Member
    {
        NodeInfo node;
        NodeState state = NodeState::Alive;
        std::uint32_t version = 0;
        bool connected = false;
        std::int64_t stateSinceUs = 0;
        std::int64_t lastHeardUs = 0;
        std::int64_t clockErrorMs = 0;
    };

    const CoreSettings &m_settings;
    std::vector<Member> m_members;
    absl::flat_hash_map<std::string, NodeId> m_byName;
    std::vector<NodeInfo> m_live;
    std::vector<NodeInfo> m_liveInZone;
    std::uint64_t m_viewVersion = 1;
    std::int64_t m_nextTimerUs = 0;
    std::mt19937_64 m_random;
};

} // namespace clementinelift::core
