// Links between entry VMs: WebSocket over TCP, one binary message per frame, at most one link per pair of nodes.
//
//     auto links = PeerLinks::start(settings, handlers, error);   // null on failure; error holds the reason
//     links->connect("e-2", "127.0.0.1:7102");                    // maintains a link, reconnects with backoff
//     links->send("e-2", bytes);
//
// Each side first sends a hello message (docs/protocols.md, section 6). A wrong secret, another protocol version, a
// malformed hello or a frame over the limit closes the link and is counted. Before its hello, a connection may send
// little, and when too many wait for theirs the oldest is closed. When both nodes connect to each other at
// the same time, the link opened by the node with the smaller name is kept and the other is closed without losing
// frames.
//
// This header must compile as C++17: the websocketpp headers do not compile as C++20 with g++ 12.
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

// What a node tells about itself in its hello message.
struct PeerIdentity
{
    std::string node;    // unique name
    std::string address; // ip:port at which the node accepts links
    std::string zone;    // availability zone
    std::uint64_t incarnation = 0;
};

struct PeerLinkSettings
{
    PeerIdentity self;                           // self.address is the address sent to peers
    std::string listenAddress;                   // ip:port, port 0: any free port
    std::string secret;                          // shared by all entry VMs of a deployment
    std::uint32_t version = peerProtocolVersion; // sent to peers and required from them
    std::size_t maxFrameBytes = 8u << 20;        // larger frames close the link
    std::size_t maxBufferedBytes = 32u << 20;    // a link with more unsent bytes is closed
    std::size_t maxLinks = 1024;                 // further incoming links are closed
    std::size_t maxPendingLinks = 128;           // incoming connections before their hello; the oldest is closed
    std::int64_t helloTimeoutMs = 2000;          // from opening the connection to receiving the peer's hello
    std::int64_t firstBackoffMs = 50;            // doubles with every failure, with jitter
    std::int64_t maxBackoffMs = 2000;
    std::int64_t silenceTimeoutMs = 5000; // a link with bytes unacknowledged for this long is closed
};

// Totals since the start.
struct PeerLinkCounters
{
    std::uint64_t refusedSecret = 0;  // links with a wrong secret
    std::uint64_t refusedVersion = 0; // links with another protocol version
    std::uint64_t refusedHello = 0;   // links with a malformed or no hello
    std::uint64_t refusedFrame = 0;   // links closed for a frame over the limit or of the wrong type
    std::uint64_t refusedCount = 0;   // links over maxLinks
    std::uint64_t refusedPending = 0; // connections over maxPendingLinks
    std::uint64_t overflows = 0;      // links closed because the peer read too slowly
    std::uint64_t framesDropped = 0;  // frames for a node without a link
    std::uint64_t bytesSent = 0;      // payload bytes of frames
    std::uint64_t bytesReceived = 0;
};

// All handlers are called on the thread of the links and must not block.
struct PeerLinkHandlers
{
    std::function<void(const PeerIdentity &)> connected;                // again when the incarnation changes
    std::function<void(const std::string &node)> disconnected;          // only after connected
    std::function<void(const PeerIdentity &, std::string &&)> received; // one frame; never the hello
};

// PeerLinks -----------------------------------------------------------------------------------------

// All functions are thread-safe; they take effect on the thread of the links, in the order of the calls.
class PeerLinks
{
public:
    // Null when the address cannot be used; error then holds the reason.
    static std::unique_ptr<PeerLinks> start(const PeerLinkSettings &settings, PeerLinkHandlers handlers,
                                            std::string &error);
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;
    ~PeerLinks(); // calls stop()

    // Maintains a link to the node at this address until disconnect(). The name may differ from the name in the hello
    // of the node, because only the address of a seed is known.
    void connect(std::string node, std::string address);
    void disconnect(std::string node);

    // The frame is dropped and counted when there is no link.
    void send(std::string node, std::string bytes);

    // Sends the queued frames, closes all links and joins the thread. Connections still open after 500 ms are aborted.
    void stop();

    std::uint16_t port() const;
    PeerLinkCounters counters() const;

private:
    struct State;
    explicit PeerLinks(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::net
