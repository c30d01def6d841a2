#include "core/membership.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <set>

using namespace clementinelift::core;

namespace {

constexpr std::int64_t stepUs = 50 * usPerMs;
constexpr std::int64_t wallMs = 1733288000000;

// Simulates the membership of a fleet. Tests can cut links between nodes. Messages arrive in the next step.
class Fleet
{
public:
    Fleet(int count, int zones)
    {
        for (int i = 0; i < count; ++i)
            m_nodes.push_back(std::make_unique<Node>(infoOf(i, zones, i + 1), infoOf(0, zones, 0)));
    }

    void run(std::int64_t ms)
    {
        for (const std::int64_t end = m_us + ms * usPerMs; m_us < end;)
            step();
    }
    void crash(int i)
    {
        m_nodes[i]->up = false;
        breakLinks();
    }
    void freeze(int i, bool isFrozen) { m_nodes[i]->frozen = isFrozen; }
    void restart(int i, std::uint64_t incarnation)
    {
        NodeInfo info = m_nodes[i]->settings.self;
        info.incarnation = Incarnation(incarnation);
        m_nodes[i] = std::make_unique<Node>(info, m_nodes[i == 0 ? 1 : 0]->settings.self);
    }
    void cut(std::function<bool(int, int)> isCut)
    {
        m_isCut = std::move(isCut);
        breakLinks();
    }
    void skewClock(int i, std::int64_t ms) { m_nodes[i]->skewMs = ms; }
    void leave(int i)
    {
        Actions actions;
        m_nodes[i]->view.leave(now(i), actions);
        execute(i, actions);
    }
    Membership &view(int i) { return m_nodes[i]->view; }
    std::uint64_t bytesSent(int i) const { return m_nodes[i]->bytes; }
    std::size_t links(int i) const { return m_nodes[i]->links.size(); }

private:
    struct Node
    {
        Node(NodeInfo info, NodeInfo seed) : settings(makeSettings(std::move(info), std::move(seed))), view(settings) {}
        static CoreSettings makeSettings(NodeInfo info, NodeInfo seed)
        {
            CoreSettings settings;
            settings.self = std::move(info);
            seed.incarnation = {};
            settings.seeds = {std::move(seed)};
            settings.seed = raw(settings.self.incarnation);
            return settings;
        }
        CoreSettings settings;
        Membership view;
        bool up = true;
        bool frozen = false;
        std::int64_t skewMs = 0;
        std::set<int> requestedLinks; // links that the view requested
        std::set<int> links;          // links that are up
        std::deque<std::pair<int, PeerMessage>> inbox;
        std::uint64_t bytes = 0;
    };

    static NodeInfo infoOf(int i, int zones, std::uint64_t incarnation)
    {
        return {"entry-" + std::to_string(i), "10.0.0." + std::to_string(i) + ":7101", "z" + std::to_string(i % zones),
                Incarnation(incarnation), false};
    }
    Now now(int i) const { return {m_us, wallMs + m_us / usPerMs + m_nodes[i]->skewMs}; }
    static int indexOf(std::string_view name) { return std::stoi(std::string(name.substr(6))); }
    bool isLinkPossible(int a, int b) const
    {
        return m_nodes[a]->up && m_nodes[b]->up && !(m_isCut && (m_isCut(a, b) || m_isCut(b, a)));
    }
    void breakLinks()
    {
        for (int a = 0; a < int(m_nodes.size()); ++a) {
            const std::set<int> links = m_nodes[a]->links;
            for (const int b : links) {
                if (isLinkPossible(a, b))
                    continue;
                m_nodes[a]->links.erase(b);
                m_nodes[b]->links.erase(a);
                m_nodes[a]->view.onDisconnected(m_nodes[b]->settings.self.name, now(a));
                m_nodes[b]->view.onDisconnected(m_nodes[a]->settings.self.name, now(b));
            }
        }
    }
    void step()
    {
        m_us += stepUs;
        for (int a = 0; a < int(m_nodes.size()); ++a) {
            const std::set<int> requestedLinks = m_nodes[a]->requestedLinks;
            for (const int b : requestedLinks) {
                if (!m_nodes[a]->links.contains(b) && isLinkPossible(a, b)) {
                    connect(a, b);
                    connect(b, a);
                }
            }
        }
        for (int i = 0; i < int(m_nodes.size()); ++i) {
            Node &node = *m_nodes[i];
            if (!node.up || node.frozen)
                continue;
            Actions actions;
            auto inbox = std::exchange(node.inbox, {});
            for (auto &[from, message] : inbox) {
                const std::string &name = m_nodes[from]->settings.self.name;
                if (const auto *probe = std::get_if<Probe>(&message))
                    node.view.onProbe(name, *probe, now(i), actions);
                else if (const auto *ack = std::get_if<ProbeAck>(&message))
                    node.view.onProbeAck(name, *ack, now(i));
                else if (const auto *request = std::get_if<ProbeRequest>(&message))
                    node.view.onProbeRequest(name, *request, now(i), actions);
            }
            if (m_us >= node.view.nextTimerUs())
                node.view.onTimer(now(i), actions);
            execute(i, actions);
        }
    }
    void connect(int a, int b)
    {
        Actions actions;
        m_nodes[a]->links.insert(b);
        m_nodes[a]->view.onConnected(m_nodes[b]->settings.self, now(a), actions);
        execute(a, actions);
    }
    // A link closes when neither side requests it.
    void disconnect(int a, int b)
    {
        m_nodes[a]->requestedLinks.erase(b);
        if (m_nodes[b]->requestedLinks.contains(a) || m_nodes[a]->links.erase(b) == 0)
            return;
        m_nodes[b]->links.erase(a);
        m_nodes[a]->view.onDisconnected(m_nodes[b]->settings.self.name, now(a));
        m_nodes[b]->view.onDisconnected(m_nodes[a]->settings.self.name, now(b));
    }
    void execute(int i, Actions &actions)
    {
        for (Action &action : actions) {
            if (const auto *connect = std::get_if<ConnectPeer>(&action))
                m_nodes[i]->requestedLinks.insert(indexOf(connect->node.name));
            else if (const auto *close = std::get_if<DisconnectPeer>(&action))
                disconnect(i, indexOf(close->node));
            else if (auto *send = std::get_if<SendPeer>(&action)) {
                m_nodes[i]->bytes += sizeOf(send->message);
                if (m_nodes[i]->links.contains(indexOf(send->node)))
                    m_nodes[indexOf(send->node)]->inbox.emplace_back(i, std::move(send->message));
            }
        }
    }
    // Estimates the bytes of a message: CBOR with field names, WebSocket frame and TCP/IP headers.
    static std::uint64_t sizeOf(const PeerMessage &message)
    {
        constexpr std::uint64_t headers = 58, fields = 45, updateFields = 60;
        const std::vector<MemberUpdate> *updates = nullptr;
        if (const auto *probe = std::get_if<Probe>(&message))
            updates = &probe->updates;
        else if (const auto *ack = std::get_if<ProbeAck>(&message))
            updates = &ack->updates;
        std::uint64_t size = headers + fields;
        for (std::size_t i = 0; updates && i < updates->size(); ++i)
            size += updateFields + (*updates)[i].node.name.size() + (*updates)[i].node.address.size() + 14;
        return size;
    }

    std::vector<std::unique_ptr<Node>> m_nodes;
    std::function<bool(int, int)> m_isCut;
    std::int64_t m_us = 0;
};

} // namespace

// Guards against a crash that is not detected within about 3 s, so that slots and keys are reassigned late, and against
// a restarted entry VM that is mistaken for its previous incarnation.
TEST_CASE("crash, restart and leaving are seen by all")
{
    Fleet fleet(6, 3);
    fleet.run(3000);
    for (int i = 0; i < 6; ++i) {
        REQUIRE(fleet.view(i).live().size() == 6);
        REQUIRE(fleet.view(i).liveInZone().size() == 2);
    }
    fleet.crash(3);
    fleet.run(3500);
    for (int i = 0; i < 6; ++i) {
        if (i != 3)
            CHECK(fleet.view(i).live().size() == 5);
    }
    CHECK(fleet.view(1).isDead(Incarnation(4)));
    fleet.restart(3, 77);
    fleet.run(2000);
    for (int i = 0; i < 6; ++i) {
        CHECK(fleet.view(i).live().size() == 6);
        CHECK(fleet.view(i).find(Incarnation(77)) != nullptr);
        CHECK_FALSE(fleet.view(i).isDead(Incarnation(77)));
        if (i != 3)
            CHECK(fleet.view(i).isDead(Incarnation(4)));
    }
    fleet.leave(2);
    fleet.run(500);
    for (int i = 0; i < 6; ++i)
        CHECK(fleet.view(i).live().size() == 5);
    CHECK_FALSE(fleet.view(1).isDead(Incarnation(3))); // still answers probes
    fleet.crash(2);
    fleet.run(3500);
    CHECK(fleet.view(1).isDead(Incarnation(3)));
}

// Guards against an entry VM that stays dead in some views after a pause (F10) or a partition (F13).
TEST_CASE("views merge after a freeze and after a partition")
{
    Fleet fleet(6, 3);
    fleet.run(3000);
    fleet.freeze(4, true);
    fleet.run(6000);
    CHECK(fleet.view(0).isDead(Incarnation(5)));
    fleet.freeze(4, false);
    fleet.run(3000);
    for (int i = 0; i < 6; ++i)
        CHECK(fleet.view(i).live().size() == 6);
    fleet.cut([](int a, int b) { return a < 2 && b >= 2; });
    fleet.run(5000);
    CHECK(fleet.view(0).live().size() == 2);
    CHECK(fleet.view(5).live().size() == 4);
    fleet.cut({});
    fleet.run(3000);
    for (int i = 0; i < 6; ++i)
        CHECK(fleet.view(i).live().size() == 6);
}

// Guards against entry VMs that are declared dead although only the link between two of them is cut: indirect probes
// keep both alive.
TEST_CASE("one cut link makes nobody dead")
{
    Fleet fleet(5, 1);
    fleet.run(3000);
    fleet.cut([](int a, int b) { return a == 1 && b == 2; });
    for (int i = 0; i < 20; ++i) {
        fleet.run(500);
        CHECK(fleet.view(0).live().size() == 5);
        CHECK_FALSE(fleet.view(1).isDead(Incarnation(3)));
    }
    CHECK_FALSE(fleet.view(1).isConnected("entry-2"));
}

// Guards against an entry VM that trusts its own wrong clock, or distrusts a right clock because one peer is wrong.
TEST_CASE("the median clock error identifies the wrong clock")
{
    Fleet fleet(5, 1);
    fleet.skewClock(2, 3600000);
    fleet.run(4000);
    CHECK(std::abs(fleet.view(0).medianClockErrorMs()) < 200);
    CHECK(std::abs(fleet.view(2).medianClockErrorMs() - 3600000) < 200);
}

// Guards F12: an outdated VM list must neither remove a live member nor make an unknown one live. An entry VM that the
// list marks as leaving leaves the live view at once.
TEST_CASE("the VM list adds addresses and leaving marks only")
{
    Fleet fleet(3, 1);
    fleet.run(3000);
    Actions actions;
    const std::vector<NodeInfo> list{{"entry-1", "10.0.0.1:7101", "z0", {}, true},
                                     {"entry-9", "10.0.0.9:7101", "z0", {}, false}};
    fleet.view(0).onVmList(list, {3 * usPerS, wallMs}, actions);
    CHECK(fleet.view(0).live().size() == 2); // entry-2 is live without the list, entry-9 is unknown
    CHECK(std::count_if(actions.begin(), actions.end(),
                        [](const Action &action) {
                            const auto *connect = std::get_if<ConnectPeer>(&action);
                            return connect && connect->node.name == "entry-9";
                        })
          == 1);
}

// Guards against membership traffic that exceeds its budget of 3 KB/s for each of 150 entry VMs, and against unbounded
// links, also while an entry VM crashes and restarts.
TEST_CASE("traffic and links of a large fleet stay within bounds")
{
    Fleet fleet(150, 8);
    fleet.run(30000);
    for (int i = 0; i < 150; ++i)
        REQUIRE(fleet.view(i).live().size() == 150);
    std::vector<std::uint64_t> before(150);
    for (int i = 0; i < 150; ++i)
        before[i] = fleet.bytesSent(i);
    fleet.crash(17);
    fleet.run(8000);
    for (int i = 0; i < 150; ++i) {
        if (i != 17)
            REQUIRE(fleet.view(i).live().size() == 149);
    }
    fleet.restart(17, 1000);
    fleet.run(32000);
    std::uint64_t most = 0;
    std::size_t mostRequested = 0, mostLinks = 0;
    for (int i = 0; i < 150; ++i) {
        CHECK(fleet.view(i).live().size() == 150);
        most = std::max(most, fleet.bytesSent(i) - before[i]);
        mostRequested = std::max(mostRequested, fleet.view(i).requestedLinkCount());
        mostLinks = std::max(mostLinks, fleet.links(i));
    }
    WARN("most bytes sent a second: " << most / 40 << ", links requested: " << mostRequested
                                      << ", links: " << mostLinks);
    CHECK(most / 40 < 1500);
    CHECK(mostRequested <= Membership::maxZoneLinks + 7 * Membership::maxLinksPerRemoteZone);
    CHECK(mostLinks < 100);
}
