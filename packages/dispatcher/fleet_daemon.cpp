#include "dispatcher/fleet_daemon.h"

#include "command/fleet_dispatcher.h"
#include "command/wakeup.h"
#include "dispatcher/event_queue.h"
#include "dispatcher/fleet_metrics.h"
#include "dispatcher/logging.h"
#include "dispatcher/request_limits.h"
#include "net/fleet_codec.h"
#include "net/peer_link.h"
#include "platform/caller_api.h"
#include "platform/clock.h"
#include "platform/order_client.h"
#include "platform/store_client.h"

#include <atomic>
#include <map>
#include <random>
#include <set>
#include <thread>

namespace clementinelift::dispatcher {

namespace {

using command::Event;
using core::NoticeLevel;
using net::HttpCall;
using Clock = std::chrono::steady_clock;

// Bounds how long tasks outlive the connection of their caller.
constexpr command::TimeUs disconnectCheckIntervalUs = 30 * command::usPerMs;
// After a longer gap between two iterations the process was suspended; disconnects are then handled before all events.
constexpr command::TimeUs suspensionThresholdUs = 200 * command::usPerMs;
constexpr std::int64_t leaveTimeoutMs = 400;    // wait for the store's answer during a shutdown
constexpr std::int64_t deliveryTimeoutMs = 500; // wait for the delivery of answers during a shutdown
// Per backend server, for a hold and starts; a backend server accepts 64 connections from all entry VMs together.
constexpr std::uint16_t maxBackendConnections = 8;
constexpr long maxIdleConnections = 600; // 3 for each of 200 backend servers
constexpr std::int64_t connectTimeoutMs = 120;
constexpr std::int64_t linkSilenceTimeoutMs = 1000;    // a peer link with bytes unacknowledged for longer is closed
constexpr std::int64_t maxLinkBackoffMs = 500;         // maximum backoff between connection attempts to a peer
constexpr std::size_t maxCallerBodyBytes = 300u << 10; // above the 256 KiB that the operator allows

struct ReadyCall
{
    HttpCall call{};
};
struct MetricsCall
{
    HttpCall call{};
};
struct PeerEntryRead
{
    std::string node;
    platform::PeerEntry entry; // an empty address means that the peer has withdrawn
};
struct SecretRead
{
    std::string secret;
};
using QueueItem = std::variant<Event, ReadyCall, MetricsCall, PeerEntryRead, SecretRead>;

std::uint64_t makeIncarnation()
{
    std::random_device random;
    return (std::uint64_t(random()) << 32 | random()) | 1;
}

net::HttpServerSettings makeServerSettings(const std::string &address)
{
    net::HttpServerSettings settings;
    settings.address = address;
    settings.maxBodyBytes = maxCallerBodyBytes;
    settings.maxHeaderBytes = 16u << 10;
    settings.threads = 1;
    return settings;
}

command::FleetSettings makeFleetSettings(const platform::PlatformSettings &settings)
{
    command::FleetSettings fleet{settings.node,       settings.zone,        settings.milliCores,
                                 settings.maxLeaseUs, settings.stopGraceUs, settings.farX};
    limitJobs(fleet, settings.requests);
    return fleet;
}

} // namespace

struct FleetDaemon::State
{
    platform::PlatformSettings settings;
    command::FleetDispatcher core;
    net::HttpClient http;
    platform::OrderClient orders;
    std::unique_ptr<platform::StoreClient> store;
    std::unique_ptr<net::HttpServer> callers;
    std::unique_ptr<net::HttpServer> readiness;
    std::unique_ptr<net::HttpServer> metrics;
    std::unique_ptr<net::PeerLinks> links;
    EventQueue<QueueItem> queue;
    std::thread control;
    std::atomic<bool> quit = false;
    std::atomic<bool> drained = false;
    std::atomic<bool> hasWaitingJobs = false;

    // Used on the control thread only.
    std::vector<command::Action> actions;
    std::map<std::string, std::vector<command::PeerMessage>> outgoing; // of one loop iteration, by node
    std::map<std::string, platform::PeerEntry> peers;                  // announced in the store, by node
    std::set<std::string> linkedPeers;                                 // nodes with a link
    command::TimeUs nextDisconnectCheckAt = 0;
    std::uint64_t badFrames = 0;
    std::pair<command::FencingToken, std::vector<std::uint32_t>> shardsInUse; // as last reported
    LimitReporter limitReporter;

    explicit State(const platform::PlatformSettings &platformSettings)
        : settings(platformSettings), core(makeFleetSettings(settings)),
          http({maxBackendConnections, maxIdleConnections, 4u << 20, connectTimeoutMs, 60}),
          orders(http, maxBackendConnections, [this](Event &&event) { queue.push(std::move(event)); })
    {}

    bool listen(std::string &error, std::uint16_t metricsPort);
    void startStore();
    void startLinks(const std::string &secret);
    void onCaller(HttpCall call, net::HttpRequest &&request);
    void run();
    void handle(QueueItem &&item);
    void handleEvent(Event &&event);
    void performActions();
    void checkDisconnectedCallers(command::TimeUs now);
    std::vector<ServerUsage> requestUsage() const;
    void sendPeerMessages();
    void reportShardsInUse();

    void act(command::AnswerCaller &&action);
    void act(command::SendStart &&action) { orders.send(std::move(action)); }
    void act(command::SendStop &&action) { orders.send(std::move(action)); }
    void act(command::SendHold &&action) { orders.send(std::move(action)); }
    void act(command::SendPeer &&action) { outgoing[action.node].push_back(std::move(action.message)); }
    void act(command::LinkPeer &&action);
    void act(command::TakeShards &&action) { store->setShardGroupMember(action.takes); }
    void act(command::LogLine &&action)
    {
        log(action.warning ? NoticeLevel::Warning : NoticeLevel::Info, action.part, action.text);
    }
};

// Startup -------------------------------------------------------------------------------------------

bool FleetDaemon::State::listen(std::string &error, std::uint16_t metricsPort)
{
    const auto open = [&](const net::HttpServerSettings &serverSettings, net::HttpServer::Handler handler) {
        auto server = net::HttpServer::start(serverSettings, std::move(handler));
        if (!server) {
            error = server.error();
            return std::unique_ptr<net::HttpServer>();
        }
        return *std::move(server);
    };
    // A caller that has left may have submitted its job again at another entry VM. After a pause, requests are read
    // that are older than the time after which callers do so.
    net::HttpServerSettings callerSettings = makeServerSettings(settings.callerAddress);
    callerSettings.dropsAbandonedRequests = true;
    limitCallerServer(callerSettings, settings.requests);
    const auto makeProbeSettings = [this](const std::string &address) {
        net::HttpServerSettings probe = makeServerSettings(address);
        limitProbeServer(probe, settings.requests);
        return probe;
    };
    callers = open(callerSettings,
                   [this](HttpCall call, net::HttpRequest &&request) { onCaller(call, std::move(request)); });
    if (callers != nullptr)
        readiness = open(makeProbeSettings(settings.readinessAddress),
                         [this](HttpCall call, net::HttpRequest &&) { queue.push(ReadyCall{call}); });
    if (readiness != nullptr && metricsPort != 0)
        metrics = open(makeProbeSettings(settings.ip + ":" + std::to_string(metricsPort)),
                       [this](HttpCall call, net::HttpRequest &&) { queue.push(MetricsCall{call}); });
    return readiness != nullptr && (metricsPort == 0 || metrics != nullptr);
}

void FleetDaemon::State::startStore()
{
    platform::StoreHandlers handlers;
    handlers.event = [this](Event &&event) { queue.push(std::move(event)); };
    handlers.peer = [this](const std::string &node, const platform::PeerEntry &entry) {
        queue.push(PeerEntryRead{node, entry});
    };
    handlers.peersKnown = [this](bool wasAnnounced) { queue.push(Event(command::PeersKnown{!wasAnnounced})); };
    handlers.secret = [this](const std::string &secret) { queue.push(SecretRead{secret}); };
    handlers.log = [](bool warning, std::string text) {
        log(warning ? NoticeLevel::Warning : NoticeLevel::Info, "store", text);
    };
    store = std::make_unique<platform::StoreClient>(settings, http, std::move(handlers));
    store->start();
}

// Peer links need the secret of the deployment, with which both sides authenticate. The links are therefore opened only
// after the secret has been read from the store.
void FleetDaemon::State::startLinks(const std::string &secret)
{
    net::PeerLinkSettings link;
    const std::string address = settings.ip + ":" + std::to_string(settings.peerPort);
    link.self = {settings.node, address, settings.zone, makeIncarnation()};
    link.listenAddress = address;
    link.secret = secret;
    link.maxPendingLinks = settings.requests.maxPendingLinks;
    link.silenceTimeoutMs = linkSilenceTimeoutMs;
    link.maxBackoffMs = maxLinkBackoffMs;
    net::PeerLinkHandlers handlers;
    handlers.connected = [this](const net::PeerIdentity &peer) {
        queue.push(command::PeerConnected{peer.node, peer.zone});
    };
    handlers.disconnected = [this](const std::string &node) { queue.push(command::PeerDisconnected{node}); };
    handlers.received = [this](const net::PeerIdentity &peer, std::string &&bytes) {
        std::vector<command::PeerMessage> messages;
        if (!net::decodeFleetFrame(bytes, messages))
            log(NoticeLevel::Warning, "peers", "cannot decode frame node=" + peer.node);
        for (command::PeerMessage &message : messages) {
            const bool isUrgent = command::isUrgent(message, hasWaitingJobs);
            queue.push(Event(command::PeerReceived{peer.node, std::move(message)}), isUrgent);
        }
    };
    std::string error;
    links = net::PeerLinks::start(link, std::move(handlers), error);
    if (links == nullptr) {
        log(NoticeLevel::Error, "peers", "cannot start peer links address=" + address + " detail=" + error);
        return;
    }
    for (const std::string &node : linkedPeers)
        links->connect(node, peers[node].address);
}

// I/O threads ---------------------------------------------------------------------------------------

void FleetDaemon::State::onCaller(HttpCall call, net::HttpRequest &&request)
{
    auto decoded =
            platform::decodeCallerRequest(command::CallerId{static_cast<std::uint64_t>(call)}, std::move(request));
    if (decoded)
        queue.push(Event(*std::move(decoded)));
    else
        callers->answer(call, std::move(decoded.error()));
}

// Control thread ------------------------------------------------------------------------------------

void FleetDaemon::State::run()
{
    std::vector<QueueItem> items;
    command::TimeUs lastIterationAt = platform::bootTimeUs();
    while (!quit) {
        const command::TimeUs waitUs = std::max<command::TimeUs>(core.nextTick() - platform::bootTimeUs(), 0);
        queue.take(items, Clock::now() + std::chrono::microseconds(waitUs));
        const command::TimeUs now = platform::bootTimeUs();
        if (now - lastIterationAt > suspensionThresholdUs || now >= nextDisconnectCheckAt)
            checkDisconnectedCallers(now);
        lastIterationAt = now;
        for (QueueItem &item : items)
            handle(std::move(item));
        if (platform::bootTimeUs() >= core.nextTick())
            handleEvent(command::Tick{});
        actions.clear();
        core.placeTasks(platform::bootTimeUs(), actions);
        performActions();
        sendPeerMessages();
        reportShardsInUse();
        drained = core.isDrained();
        hasWaitingJobs = core.waitingCount() > 0;
    }
}

void FleetDaemon::State::checkDisconnectedCallers(command::TimeUs now)
{
    nextDisconnectCheckAt = now + disconnectCheckIntervalUs;
    for (const HttpCall call : callers->takeClosedCalls())
        handleEvent(command::CallerGone{command::CallerId{static_cast<std::uint64_t>(call)}});
    const std::int64_t nowMs = now / command::usPerMs;
    if (limitReporter.isDue(nowMs))
        limitReporter.report(nowMs, requestUsage());
}

std::vector<ServerUsage> FleetDaemon::State::requestUsage() const
{
    std::vector<ServerUsage> servers{{"callers", callers->usage()}, {"ready", readiness->usage()}};
    if (metrics != nullptr)
        servers.push_back({"metrics", metrics->usage()});
    return servers;
}

void FleetDaemon::State::handle(QueueItem &&item)
{
    if (auto *event = std::get_if<Event>(&item)) {
        const auto *request = std::get_if<command::CallerRequest>(event);
        const HttpCall call{request != nullptr ? static_cast<std::uint64_t>(request->caller) : 0};
        handleEvent(std::move(*event));
        if (request != nullptr)
            callers->release(call);
    } else if (const auto *ready = std::get_if<ReadyCall>(&item)) {
        readiness->answer(ready->call, platform::encodeReadiness(core.isReady()));
    } else if (const auto *call = std::get_if<MetricsCall>(&item)) {
        net::HttpAnswer answer;
        answer.body = writeFleetMetrics(core, store->counters(), orders.counters(), http, badFrames, requestUsage(),
                                        links != nullptr ? links->counters() : net::PeerLinkCounters{});
        answer.contentType = "text/plain; version=0.0.4";
        metrics->answer(call->call, std::move(answer));
    } else if (const auto *peer = std::get_if<PeerEntryRead>(&item)) {
        log(NoticeLevel::Info, "peers", "entry VM announced node=" + peer->node + " address=" + peer->entry.address);
        if (peer->entry.address.empty()) {
            handleEvent(command::PeerWithdrawn{peer->node});
            peers.erase(peer->node);
        } else {
            peers[peer->node] = peer->entry;
            handleEvent(command::PeerAnnounced{peer->node, peer->entry.zone, peer->entry.milliCores});
        }
    } else if (const auto *secret = std::get_if<SecretRead>(&item)) {
        startLinks(secret->secret);
    }
}

void FleetDaemon::State::handleEvent(Event &&event)
{
    actions.clear();
    core.apply(platform::bootTimeUs(), std::move(event), actions);
    performActions();
}

void FleetDaemon::State::performActions()
{
    for (command::Action &action : actions)
        std::visit([this](auto &&content) { act(std::forward<decltype(content)>(content)); }, std::move(action));
}

void FleetDaemon::State::act(command::AnswerCaller &&action)
{
    callers->answer(HttpCall{static_cast<std::uint64_t>(action.caller)}, platform::encodeCallerAnswer(action));
}

void FleetDaemon::State::act(command::LinkPeer &&action)
{
    const auto entry = peers.find(action.node);
    const bool keepLink = action.wanted && entry != peers.end();
    if (keepLink)
        linkedPeers.insert(action.node);
    else
        linkedPeers.erase(action.node);
    if (links == nullptr)
        return; // startLinks() opens the links to linkedPeers later
    if (keepLink)
        links->connect(action.node, entry->second.address);
    else
        links->disconnect(action.node);
}

void FleetDaemon::State::sendPeerMessages()
{
    for (auto &[node, messages] : outgoing) {
        if (links != nullptr && !messages.empty())
            links->send(node, net::encodeFleetFrame(messages));
    }
    outgoing.clear();
}

void FleetDaemon::State::reportShardsInUse()
{
    std::pair inUse(core.shardToken(), core.shardsToHandOver());
    if (inUse == shardsInUse)
        return;
    store->reportShardsInUse(inUse.first, inUse.second);
    shardsInUse = std::move(inUse);
}

// Public interface ----------------------------------------------------------------------------------

FleetDaemon::FleetDaemon(std::unique_ptr<State> state) : m_state(std::move(state)) {}

tl::expected<std::unique_ptr<FleetDaemon>, std::string> FleetDaemon::start(const platform::PlatformSettings &settings,
                                                                           std::uint16_t metricsPort)
{
    auto state = std::make_unique<State>(settings);
    std::string error;
    if (!state->listen(error, metricsPort))
        return tl::unexpected(error);
    log(NoticeLevel::Info, "process",
        "started node=" + settings.node + " zone=" + settings.zone + " callers=" + settings.callerAddress
                + " store=" + settings.storeAddress + " version=" CLEMENTINELIFT_VERSION);
    state->startStore();
    State *self = state.get();
    state->control = std::thread([self] { self->run(); });
    return std::unique_ptr<FleetDaemon>(new FleetDaemon(std::move(state)));
}

FleetDaemon::~FleetDaemon()
{
    State &state = *m_state;
    state.store->leave(leaveTimeoutMs);
    state.callers->stop(deliveryTimeoutMs);
    state.quit = true;
    state.queue.push(Event(command::Tick{}));
    state.control.join();
    state.readiness->stop(0);
    if (state.metrics != nullptr)
        state.metrics->stop(0);
    state.http.stop();
    if (state.links != nullptr)
        state.links->stop();
    log(NoticeLevel::Info, "process", "stopped node=" + state.settings.node);
}

void FleetDaemon::reload(const platform::PlatformSettings &settings)
{
    for (const std::string_view field : platform::findChangesNeedingRestart(m_state->settings, settings))
        log(NoticeLevel::Warning, "process",
            "changed setting takes effect after a restart field=" + std::string(field));
    m_state->queue.push(Event(command::BoundsChanged{settings.maxLeaseUs, settings.stopGraceUs, settings.farX}));
}

void FleetDaemon::drain()
{
    m_state->callers->disableKeepAlive();
    m_state->queue.push(Event(command::BeginDrain{}));
}

bool FleetDaemon::isDrained() const
{
    return m_state->drained;
}

} // namespace clementinelift::dispatcher
