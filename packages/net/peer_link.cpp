#include "net/peer_link.h"

#include "net/bounded_json.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <vector>

namespace clementinelift::net {

namespace {

using ServerEndpoint = websocketpp::server<websocketpp::config::asio>;
using ClientEndpoint = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using Io = boost::asio::io_service;
using Timer = boost::asio::steady_timer;
namespace close_status = websocketpp::close::status;

constexpr std::size_t maxNameBytes = 256; // limit for every string in hello except the secret
// Limits of a connection before its hello: an HTTP request without a body, then one frame with names and a secret.
constexpr std::size_t maxHelloBytes = 16u << 10;
constexpr std::size_t maxUpgradeBodyBytes = 1024;
constexpr ParseLimits helloLimits{1, 32};
constexpr auto stopTimeout = std::chrono::milliseconds(500);

enum class Refusal { None, Secret, Version, Hello };

struct HelloResult
{
    Refusal refusal = Refusal::Hello;
    PeerIdentity identity;
};

// Compares in a time that does not depend on the position of the first difference.
bool isSameSecret(std::string_view a, std::string_view b)
{
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i)
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return difference == 0;
}

const std::string *findText(const Json &map, const char *field)
{
    const auto found = map.find(field);
    return found != map.end() ? found->get_ptr<const std::string *>() : nullptr;
}

std::string writeBye()
{
    std::string bytes;
    Json::to_cbor(Json{{"t", "bye"}}, bytes);
    return bytes;
}

std::string writeHello(const PeerLinkSettings &settings)
{
    const PeerIdentity &self = settings.self;
    std::string bytes;
    Json::to_cbor(Json{{"t", "hello"},
                       {"version", settings.version},
                       {"secret", settings.secret},
                       {"node", self.node},
                       {"address", self.address},
                       {"zone", self.zone},
                       {"incarnation", self.incarnation}},
                  bytes);
    return bytes;
}

HelloResult readHello(const PeerLinkSettings &settings, const std::string &bytes)
{
    HelloResult result;
    std::string ignored;
    const Json map = parseBounded(bytes, Json::input_format_t::cbor, helloLimits, ignored);
    if (!map.is_object())
        return result;
    const std::string *type = findText(map, "t");
    const std::string *secret = findText(map, "secret");
    const auto version = map.find("version");
    if (type == nullptr || *type != "hello" || secret == nullptr || version == map.end())
        return result;
    if (!isSameSecret(*secret, settings.secret)) {
        result.refusal = Refusal::Secret;
        return result;
    }
    if (!version->is_number_unsigned() || version->get<std::uint64_t>() != settings.version) {
        result.refusal = Refusal::Version;
        return result;
    }
    const std::string *node = findText(map, "node");
    const std::string *address = findText(map, "address");
    const std::string *zone = findText(map, "zone");
    const auto incarnation = map.find("incarnation");
    if (node == nullptr || address == nullptr || zone == nullptr || node->empty() || incarnation == map.end()
        || !incarnation->is_number_unsigned() || incarnation->get<std::uint64_t>() == 0)
        return result;
    if (std::max({node->size(), address->size(), zone->size()}) > maxNameBytes)
        return result;
    result.identity = {*node, *address, *zone, incarnation->get<std::uint64_t>()};
    result.refusal = Refusal::None;
    return result;
}

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() || text.size() - colon > 6)
        return std::nullopt;
    unsigned port = 0;
    for (const char digit : std::string_view(text).substr(colon + 1)) {
        if (digit < '0' || digit > '9')
            return std::nullopt;
        port = port * 10 + static_cast<unsigned>(digit - '0');
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error || port > 65535)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

// One connection, before and after hello.
struct Link
{
    bool outgoing = false;      // opened by this side
    bool helloAccepted = false; // the peer's hello was received and valid
    bool closing = false;
    bool byeSent = false; // another link to the peer is in use
    bool byeReceived = false;
    PeerIdentity peer;         // set once helloAccepted
    std::string targetAddress; // of outgoing links
};

// A node to which a link is maintained.
struct Target
{
    std::string node; // the name in its last hello; before the first hello, the name given to connect()
    std::int64_t backoffMs = 0;
    bool connecting = false; // a connection attempt is in progress or scheduled
    std::unique_ptr<Timer> timer;
};

} // namespace

struct PeerLinks::State
{
    PeerLinkSettings settings;
    PeerLinkHandlers handlers;
    std::string hello;
    std::string bye = writeBye();
    Io io;
    ServerEndpoint server;
    ClientEndpoint client;
    std::map<Handle, Link, std::owner_less<Handle>> links;
    std::list<Handle> pending; // incoming connections before their hello, the oldest first
    std::map<Handle, std::list<Handle>::iterator, std::owner_less<Handle>> pendingPlaces;
    std::map<std::string, Handle> peers;   // link in use, by node name
    std::map<std::string, Target> targets; // by address
    std::mt19937_64 random{std::random_device()()};
    std::uint16_t port = 0;
    std::atomic<bool> stopping = false;
    std::atomic<bool> idle = false; // stopping, and all links are closed
    std::thread thread;
    mutable std::mutex mutex; // guards total
    PeerLinkCounters total;

    template <typename Endpoint> void prepare(Endpoint &endpoint);
    bool listen(std::string &error);
    void addPending(const Handle &handle);
    void removePending(const Handle &handle);
    template <typename Endpoint> void limitMessages(Endpoint &endpoint, const Handle &handle, std::size_t bytes);
    void onOpen(const Handle &handle, bool outgoing, const std::string &targetAddress);
    void onClosed(const Handle &handle, bool frameRefused);
    void onMessage(const Handle &handle, bool binary, const std::string &bytes);
    void receiveHello(const Handle &handle, Link &link, const std::string &bytes);
    void selectLink(const Handle &handle, Link &link);
    void sendBye(const Handle &handle, Link &link);
    void write(const Handle &handle, const Link &link, const std::string &bytes);
    void close(const Handle &handle, Link &link, close_status::value code);
    void dial(const std::string &address);
    void scheduleReconnect(const std::string &address);
    bool isLinked(const Target &target) const { return peers.count(target.node) > 0; }
    template <typename Change> void count(Change change)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        change(total);
    }
};

// Set-up --------------------------------------------------------------------------------------------

template <typename Endpoint> void PeerLinks::State::prepare(Endpoint &endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io);
    endpoint.set_max_message_size(settings.maxFrameBytes);
    endpoint.set_max_http_body_size(maxUpgradeBodyBytes);
    endpoint.set_open_handshake_timeout(static_cast<long>(settings.helloTimeoutMs));
    endpoint.set_close_handshake_timeout(static_cast<long>(settings.helloTimeoutMs));
    endpoint.set_message_handler([this](const Handle &handle, typename Endpoint::message_ptr message) {
        onMessage(handle, message->get_opcode() == websocketpp::frame::opcode::binary, message->get_payload());
    });
    endpoint.set_close_handler([this, &endpoint](const Handle &handle) {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        onClosed(handle, !error && connection->get_local_close_code() == close_status::message_too_big);
    });
}

bool PeerLinks::State::listen(std::string &error)
{
    const auto endpoint = parseEndpoint(settings.listenAddress);
    if (!endpoint) {
        error = "address \"" + settings.listenAddress + "\" is not of the form ip:port";
        return false;
    }
    websocketpp::lib::error_code code;
    server.set_reuse_addr(true);
    server.listen(*endpoint, code);
    if (!code)
        server.start_accept(code);
    if (code) {
        error = "cannot listen on " + settings.listenAddress + ": " + code.message();
        return false;
    }
    boost::system::error_code ignored;
    port = server.get_local_endpoint(ignored).port();
    return true;
}

// Connections before their hello --------------------------------------------------------------------

void PeerLinks::State::addPending(const Handle &handle)
{
    pendingPlaces[handle] = pending.insert(pending.end(), handle);
    if (pending.size() <= settings.maxPendingLinks)
        return;
    const Handle oldest = pending.front();
    removePending(oldest);
    count([](PeerLinkCounters &total) { ++total.refusedPending; });
    websocketpp::lib::error_code error;
    const auto connection = server.get_con_from_hdl(oldest, error);
    boost::system::error_code ignored;
    if (!error) // the read in progress ends, which closes the connection in every state
        connection->get_raw_socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
}

void PeerLinks::State::removePending(const Handle &handle)
{
    const auto found = pendingPlaces.find(handle);
    if (found == pendingPlaces.end())
        return;
    pending.erase(found->second);
    pendingPlaces.erase(found);
}

template <typename Endpoint>
void PeerLinks::State::limitMessages(Endpoint &endpoint, const Handle &handle, std::size_t bytes)
{
    websocketpp::lib::error_code error;
    const auto connection = endpoint.get_con_from_hdl(handle, error);
    if (!error)
        connection->set_max_message_size(bytes);
}

// Links ---------------------------------------------------------------------------------------------

void PeerLinks::State::onOpen(const Handle &handle, bool outgoing, const std::string &targetAddress)
{
    Link &link = links[handle];
    link.outgoing = outgoing;
    link.targetAddress = targetAddress;
    const int socket = outgoing ? client.get_con_from_hdl(handle)->get_raw_socket().native_handle()
                                : server.get_con_from_hdl(handle)->get_raw_socket().native_handle();
    const int on = 1;
    const auto silenceMs = static_cast<unsigned>(settings.silenceTimeoutMs);
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &silenceMs, sizeof silenceMs);
    if (links.size() > settings.maxLinks && !outgoing) {
        count([](PeerLinkCounters &total) { ++total.refusedCount; });
        close(handle, link, close_status::try_again_later);
        return;
    }
    const std::size_t helloBytes = std::min(std::max(maxHelloBytes, 2 * hello.size()), settings.maxFrameBytes);
    outgoing ? limitMessages(client, handle, helloBytes) : limitMessages(server, handle, helloBytes);
    write(handle, link, hello);

    auto timer = std::make_shared<Timer>(io, std::chrono::milliseconds(settings.helloTimeoutMs));
    timer->async_wait([this, handle, timer](const boost::system::error_code &) {
        const auto found = links.find(handle);
        if (found == links.end() || found->second.helloAccepted || found->second.closing)
            return;
        count([](PeerLinkCounters &total) { ++total.refusedHello; });
        close(handle, found->second, close_status::policy_violation);
    });
}

void PeerLinks::State::onClosed(const Handle &handle, bool frameRefused)
{
    removePending(handle);
    if (frameRefused)
        count([](PeerLinkCounters &total) { ++total.refusedFrame; });
    const auto found = links.find(handle);
    if (found == links.end())
        return;
    const Link link = found->second;
    links.erase(found);
    const auto used = peers.find(link.peer.node);
    if (link.helloAccepted && used != peers.end() && !used->second.owner_before(handle)
        && !handle.owner_before(used->second)) {
        peers.erase(used);
        if (!stopping)
            handlers.disconnected(link.peer.node);
    }
    idle = stopping && links.empty();
    if (link.outgoing && targets.count(link.targetAddress) > 0)
        targets[link.targetAddress].connecting = false;
    for (const auto &[address, target] : targets) {
        if (!isLinked(target) && !target.connecting)
            scheduleReconnect(address);
    }
}

void PeerLinks::State::onMessage(const Handle &handle, bool binary, const std::string &bytes)
{
    const auto found = links.find(handle);
    if (found == links.end() || found->second.closing)
        return;
    count([&](PeerLinkCounters &total) { total.bytesReceived += bytes.size(); });
    Link &link = found->second;
    if (!binary) {
        count([](PeerLinkCounters &total) { ++total.refusedFrame; });
        close(handle, link, close_status::unsupported_data);
    } else if (!link.helloAccepted) {
        receiveHello(handle, link, bytes);
    } else if (bytes == bye) {
        link.byeReceived = true;
        if (link.byeSent)
            close(handle, link, close_status::normal);
    } else {
        handlers.received(link.peer, std::string(bytes));
    }
}

void PeerLinks::State::receiveHello(const Handle &handle, Link &link, const std::string &bytes)
{
    HelloResult result = readHello(settings, bytes);
    if (result.refusal != Refusal::None) {
        count([&](PeerLinkCounters &total) {
            total.refusedSecret += result.refusal == Refusal::Secret ? 1 : 0;
            total.refusedVersion += result.refusal == Refusal::Version ? 1 : 0;
            total.refusedHello += result.refusal == Refusal::Hello ? 1 : 0;
        });
        close(handle, link, close_status::policy_violation);
        return;
    }
    link.helloAccepted = true;
    removePending(handle);
    link.outgoing ? limitMessages(client, handle, settings.maxFrameBytes)
                  : limitMessages(server, handle, settings.maxFrameBytes);
    link.peer = std::move(result.identity);
    if (link.peer.incarnation == settings.self.incarnation) { // a seed address is the address of this node
        targets.erase(link.targetAddress);
        close(handle, link, close_status::normal);
        return;
    }
    const auto target = targets.find(link.targetAddress);
    if (target != targets.end()) {
        target->second.node = link.peer.node;
        target->second.backoffMs = 0;
    }
    selectLink(handle, link);
}

// Selects one of two links between the same pair of nodes. Both sides select the same link.
void PeerLinks::State::selectLink(const Handle &handle, Link &link)
{
    const auto [used, isFirst] = peers.emplace(link.peer.node, handle);
    if (isFirst) {
        handlers.connected(link.peer);
        return;
    }
    const auto old = links.find(used->second);
    const bool sameIncarnation = old != links.end() && old->second.peer.incarnation == link.peer.incarnation;
    if (sameIncarnation) {
        const bool keepOutgoing = settings.self.node < link.peer.node;
        if (link.outgoing != keepOutgoing && old->second.outgoing == keepOutgoing && !old->second.byeReceived) {
            sendBye(handle, link);
            return;
        }
    }
    const Handle replaced = used->second;
    used->second = handle;
    if (sameIncarnation) {
        sendBye(replaced, old->second);
    } else {
        if (old != links.end())
            close(replaced, old->second, close_status::normal);
        handlers.connected(link.peer);
    }
}

// Frames that arrive while a link is closing are lost, so a link is closed only after both sides have sent bye.
void PeerLinks::State::sendBye(const Handle &handle, Link &link)
{
    link.byeSent = true;
    write(handle, link, bye);
    if (link.byeReceived)
        close(handle, link, close_status::normal);
}

void PeerLinks::State::write(const Handle &handle, const Link &link, const std::string &bytes)
{
    websocketpp::lib::error_code error;
    std::size_t buffered = 0;
    const auto writeTo = [&](auto &endpoint) {
        endpoint.send(handle, bytes, websocketpp::frame::opcode::binary, error);
        if (!error)
            buffered = endpoint.get_con_from_hdl(handle)->get_buffered_amount();
    };
    link.outgoing ? writeTo(client) : writeTo(server);
    if (error) {
        count([](PeerLinkCounters &total) { ++total.framesDropped; });
        return;
    }
    count([&](PeerLinkCounters &total) { total.bytesSent += bytes.size(); });
    if (buffered > settings.maxBufferedBytes) {
        count([](PeerLinkCounters &total) { ++total.overflows; });
        close(handle, links.find(handle)->second, close_status::try_again_later);
    }
}

// Frames sent before the call are still delivered; frames that arrive after the call are dropped.
void PeerLinks::State::close(const Handle &handle, Link &link, close_status::value code)
{
    link.closing = true;
    websocketpp::lib::error_code ignored;
    link.outgoing ? client.close(handle, code, "", ignored) : server.close(handle, code, "", ignored);
}

// Outgoing connections ------------------------------------------------------------------------------------------

void PeerLinks::State::dial(const std::string &address)
{
    const auto found = targets.find(address);
    if (stopping || found == targets.end() || found->second.connecting || isLinked(found->second))
        return;
    websocketpp::lib::error_code error;
    const auto connection = client.get_connection("ws://" + address + "/", error);
    if (error) {
        scheduleReconnect(address);
        return;
    }
    found->second.connecting = true;
    connection->set_open_handler([this, address](const Handle &handle) { onOpen(handle, true, address); });
    connection->set_fail_handler([this, address](const Handle &) {
        if (targets.count(address) > 0)
            scheduleReconnect(address);
    });
    client.connect(connection);
}

void PeerLinks::State::scheduleReconnect(const std::string &address)
{
    if (stopping)
        return;
    Target &target = targets[address];
    target.connecting = true;
    target.backoffMs = std::clamp(target.backoffMs * 2, settings.firstBackoffMs, settings.maxBackoffMs);
    const auto jitterMs = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(target.backoffMs / 2 + 1));
    target.timer = std::make_unique<Timer>(io, std::chrono::milliseconds(target.backoffMs / 2 + jitterMs));
    target.timer->async_wait([this, address](const boost::system::error_code &error) {
        const auto waiting = targets.find(address);
        if (error || waiting == targets.end())
            return;
        waiting->second.connecting = false;
        dial(address);
    });
}

// Interface -----------------------------------------------------------------------------------------

PeerLinks::PeerLinks(std::unique_ptr<State> state) : m_state(std::move(state)) {}

PeerLinks::~PeerLinks()
{
    stop();
}

std::unique_ptr<PeerLinks> PeerLinks::start(const PeerLinkSettings &settings, PeerLinkHandlers handlers,
                                            std::string &error)
{
    auto owned = std::make_unique<State>();
    State *state = owned.get();
    state->settings = settings;
    state->handlers = std::move(handlers);
    state->hello = writeHello(settings);
    state->prepare(state->server);
    state->prepare(state->client);
    state->server.set_open_handler([state](const Handle &handle) { state->onOpen(handle, false, ""); });
    state->server.set_tcp_pre_init_handler([state](const Handle &handle) { state->addPending(handle); });
    state->server.set_fail_handler([state](const Handle &handle) { state->removePending(handle); });
    if (!state->listen(error))
        return nullptr;
    state->client.start_perpetual();
    state->thread = std::thread([state] { state->io.run(); });
    return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(owned)));
}

void PeerLinks::connect(std::string node, std::string address)
{
    State *state = m_state.get();
    state->io.post([state, node = std::move(node), address = std::move(address)] {
        if (!parseEndpoint(address) || address == state->settings.self.address)
            return;
        // A replacement with the same name has another address; connections to the old address are no longer attempted.
        for (auto it = state->targets.begin(); it != state->targets.end();)
            it = it->second.node == node && it->first != address ? state->targets.erase(it) : std::next(it);
        const auto [target, isNew] = state->targets.try_emplace(address);
        if (isNew)
            target->second.node = node;
        if (isNew)
            state->dial(address);
    });
}

void PeerLinks::disconnect(std::string node)
{
    State *state = m_state.get();
    state->io.post([state, node = std::move(node)] {
        for (auto it = state->targets.begin(); it != state->targets.end();)
            it = it->second.node == node ? state->targets.erase(it) : std::next(it);
        const auto used = state->peers.find(node);
        if (used != state->peers.end())
            state->close(used->second, state->links.find(used->second)->second, close_status::normal);
    });
}

void PeerLinks::send(std::string node, std::string bytes)
{
    State *state = m_state.get();
    state->io.post([state, node = std::move(node), bytes = std::move(bytes)] {
        const auto used = state->peers.find(node);
        if (used == state->peers.end()) {
            state->count([](PeerLinkCounters &total) { ++total.framesDropped; });
            return;
        }
        state->write(used->second, state->links.find(used->second)->second, bytes);
    });
}

void PeerLinks::stop()
{
    State *state = m_state.get();
    if (!state->thread.joinable())
        return;
    state->io.post([state] {
        state->stopping = true;
        websocketpp::lib::error_code ignored;
        state->server.stop_listening(ignored);
        state->client.stop_perpetual();
        state->targets.clear();
        for (auto &[handle, link] : state->links)
            state->close(handle, link, close_status::going_away);
        state->idle = state->links.empty();
    });
    const auto deadline = std::chrono::steady_clock::now() + stopTimeout;
    while (!state->idle && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    state->io.stop();
    state->thread.join();
}

std::uint16_t PeerLinks::port() const
{
    return m_state->port;
}

PeerLinkCounters PeerLinks::counters() const
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    return m_state->total;
}

} // namespace clementinelift::net
