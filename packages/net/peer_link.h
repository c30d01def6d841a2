// Links between entry VMs: WebSocket over TCP, one binary message a frame, at most one link for each pair of nodes.
//
//     auto links = PeerLinks::start(settings, handlers, error);   // null: error says why
//     links->connect("e-2", "127.0.0.1:7102");                    // keeps a link, reconnects with backoff
//     links->send("e-2", bytes);
//
// Both sides begin with hello (docs/protocols.md, section 6). A wrong secret, another protocol version, a malformed
// hello or a frame over the bound closes the link and is counted. When both nodes connect to each other at once, the
// link that was opened by the node with the smaller name stays; no frame is lost by that.
//
// This header needs C++17 only: the websocketpp headers do not compile as C++20 with g++ 12.
//
// Contents
//   Settings, identity, counters
//   PeerLinks
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace clementinelift::net {

// Settings, identity, counters ----------------------------------------------------------------------

constexpr std::uint32_t peerProtocolVersion = 1;

// What hello says about a node.
struct PeerIdentity
{
    std::string node;    // unique name
    std::string address; // ip:port of its own links
    std::string zone;    // availability zone
    std::uint64_t incarnation = 0;
};

struct PeerLinkSettings
{
    PeerIdentity self;                           // its address is the one told to peers
    std::string listenAddress;                   // ip:port, port 0: any free one
    std::string secret;                          // shared by all entry VMs of a deployment
    std::uint32_t version = peerProtocolVersion; // sent and required
    std::size_t maxFrameBytes = 8u << 20;        // larger frames close the link
    std::size_t maxBufferedBytes = 32u << 20;    // a link with more unsent bytes is closed
    std::size_t maxLinks = 1024;                 // further incoming links are closed
    std::int64_t helloTimeoutMs = 2000;          // from the open connection to the peer's hello
    std::int64_t firstBackoffMs = 50;            // doubles with every failure, with jitter
    std::int64_t maxBackoffMs = 2000;
    std::int64_t silenceTimeoutMs = 5000; // unacknowledged bytes for this time close the link
};

// Totals since the start.
struct PeerLinkCounters
{
    std::uint64_t refusedSecret = 0;  // links with a wrong secret
    std::uint64_t refusedVersion = 0; // links with another protocol version
    std::uint64_t refusedHello = 0;   // links with a malformed or no hello
    std::uint64_t refusedFrame = 0;   // links closed for a frame over the bound or of the wrong kind
    std::uint64_t refusedCount = 0;   // links over maxLinks
    std::uint64_t overflows = 0;      // links closed because the peer read too slowly
    std::uint64_t framesDropped = 0;  // sent to a node without a link
    std::uint64_t bytesSent = 0;      // contents of frames
    std::uint64_t bytesReceived = 0;
};

// All are called on the thread of the links and must not block.
struct PeerLinkHandlers
{
    std::function<void(const PeerIdentity &)> connected;                // again when the incarnation changes
    std::function<void(const std::string &node)> disconnected;          // after connected
    std::function<void(const PeerIdentity &, std::string &&)> received; // one frame after hello
};

// PeerLinks -----------------------------------------------------------------------------------------

// All functions are thread-safe; they take effect on the thread of the links, in the order of the calls.
class PeerLinks
{
public:
    // Null when the address cannot be used; error says why.
    static std::unique_ptr<PeerLinks> start(const PeerLinkSettings &settings, PeerLinkHandlers handlers,
                                            std::string &error);
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;
    ~PeerLinks(); // as stop()

    // Keeps a link to the node at this address until disconnect(). The name may differ from the one in its hello, as
    // for seeds of which only the address is known.
    void connect(std::string node, std::string address);
    void disconnect(std::string node);

    // Dropped and counted when there is no link.
    void send(std::string node, std::string bytes);

    // Sends what is queued, closes all links and joins the thread; a peer that does not read is cut after 500 ms.
    void stop();

    std::uint16_t port() const;
    PeerLinkCounters counters() const;

private:
    struct State;
    explicit PeerLinks(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::net
