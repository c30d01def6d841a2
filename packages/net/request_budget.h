// Limits the memory and the connections that requests in progress take from one server, and decides which connections
// are closed when a limit is reached. Without I/O and clocks; all times are milliseconds of a monotonic clock.
//
// Addresses clients that send bodies, headers and connections without an end or do not read their answers. Those that
// hold the most for the longest time without progress are closed first. A request that is complete is never closed
// before it is answered, so that whoever is closed knows that nothing of the request has run.
//
// Contents
//   Limits and counters
//   RequestBudget
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace clementinelift::net {

// Limits and counters -------------------------------------------------------------------------------

struct RequestLimits
{
    std::size_t bytes = SIZE_MAX;       // of all connections, bodies in progress and unread answers
    std::size_t connectionBytes = 0;    // counted for each open connection
    std::size_t maxConnections = 4096;  // over this, the one that has waited longest for its request is closed
    std::size_t spareConnections = 0;   // further ones that are served, and closed after their answers
    std::int64_t requestMs = 60000;     // from the start of a connection or the end of an answer to the next header
    std::int64_t unreadAnswerMs = 5000; // an answer unread for longer may be closed when a limit is reached
    std::size_t unreadAnswerBytes = 0;  // an answer up to this size leaves at once unless earlier ones are unread
};

enum class LimitReason : std::uint8_t {
    Memory,      // closed because the bytes were used up
    Connections, // closed or answered with 503 because too many connections were open
    NoRequest,   // closed without a complete header in time
    NoProgress,  // closed because no byte of a body was received or of an answer read in time
    Unread,      // closed for the bytes or for another connection because the answer was not read
    TooLarge,    // answered with 413 or 431
    Discarded,   // closed because the body went on too far over the limit
};
constexpr std::array<std::string_view, 7> limitReasonNames = {"memory", "connections", "no_request", "no_progress",
                                                              "unread", "too_large",   "discarded"};
using LimitCounters = std::array<std::uint64_t, limitReasonNames.size()>; // by LimitReason

// Settings of a process for all its servers. Fields of 0 are derived or not limited.
struct RequestSettings
{
    std::uint32_t memoryMb = 512;        // of the machine; 0: unknown, requests may take at least 384 MB
    std::uint32_t maxFds = 3075;         // descriptors of the process; 0: unknown
    std::uint32_t requestMb = 0;         // for callers' connections, bodies and unread answers; 0: 3/8 of memoryMb
    std::uint32_t jobMb = 0;             // for jobs and requests that wait; 0: 1/4 of memoryMb
    std::uint32_t maxConnections = 2000; // of callers, lower if memoryMb or maxFds need it
    std::int64_t idleTimeoutMs = 30000;  // without a byte in either direction, or until the next complete header
    std::uint32_t maxDiscardBytes = 300u << 10;   // read of a body over the limit before the connection is closed
    std::int64_t unreadAnswerMs = 5000;           // answers unread for longer may be closed when memory is used up
    std::uint32_t unreadAnswerBytes = 256u << 10; // kept by the kernel for each connection
    std::uint32_t maxPendingLinks = 128;          // connections to the port for peers before their hello

    bool operator==(const RequestSettings &) const = default;
};

// What a server may use, derived from its machine. A part of the bytes is kept for bodies.
struct RequestShare
{
    std::size_t bytes = 0;
    unsigned maxConnections = 0;
};

// Shares of the server for callers and of each server for probes (readiness, metrics). requestBytes replaces the share
// of the memory if it is not 0.
RequestShare deriveCallerShare(std::size_t memoryBytes, unsigned maxFds, std::size_t requestBytes,
                               std::size_t connectionBytes, unsigned maxConnections);
RequestShare deriveProbeShare(std::size_t memoryBytes, unsigned maxFds, std::size_t connectionBytes,
                              unsigned maxConnections);

// Share of the memory for the jobs of callers.
constexpr std::size_t jobMemoryDivisor = 4;

// RequestBudget -------------------------------------------------------------------------------------

enum class ConnectionSlot : std::uint32_t {}; // of an open connection; reused after close()

class RequestBudget
{
public:
    explicit RequestBudget(const RequestLimits &limits) : m_limits(limits) {}

    // Connections, from their start to their end.
    ConnectionSlot open(std::int64_t nowMs);
    void close(ConnectionSlot slot, std::int64_t nowMs);

    // The header is complete. False: too many connections are open, answer with 503.
    bool begin(ConnectionSlot slot, std::int64_t nowMs);
    // A part of the body has arrived, and bodyBytes are held from now on. False: close the connection.
    bool receive(ConnectionSlot slot, std::size_t bodyBytes, std::int64_t nowMs);
    // The request is complete and is about to run. False: the connection is being closed, nothing may run.
    bool complete(ConnectionSlot slot);
    // After complete(): the handler takes as many bytes until the next call of this function, answer() or end(). False:
    // there is no room, the request must be refused.
    bool holdForHandler(ConnectionSlot slot, std::size_t bytes, std::int64_t nowMs);
    // The answer, which is held until end(), is about to be sent. False: close the connection after it, because others
    // wait for its place.
    bool answer(ConnectionSlot slot, std::size_t answerBytes, std::int64_t nowMs);
    // The answer was sent or the request was aborted; the connection waits for its next request or is closed.
    void end(ConnectionSlot slot, std::int64_t nowMs);

    // Chooses connections without a complete header in time. Does nothing when called again within a second.
    void expire(std::int64_t nowMs);

    // Connections that the functions above have chosen to be closed, each once. They count as closed already.
    std::span<const ConnectionSlot> chosen() const { return m_chosen; }
    void clearChosen() { m_chosen.clear(); }

    void count(LimitReason reason) { ++m_counters[static_cast<std::size_t>(reason)]; }
    const LimitCounters &counters() const { return m_counters; }
    std::size_t usedBytes() const { return m_usedBytes; }
    std::size_t openConnections() const { return m_active; } // without those chosen to be closed

private:
    enum class Phase : std::uint8_t { Closed, Header, Body, Complete, Answer };
    static constexpr std::uint32_t none = UINT32_MAX;

    struct Connection
    {
        std::size_t bytes = 0;       // of the body or the answer
        std::int64_t sinceMs = 0;    // start of the phase
        std::int64_t progressMs = 0; // last part of the body
        std::uint32_t before = none; // in the list of the phase
        std::uint32_t after = none;
        Phase phase = Phase::Closed;
        bool chosen = false;
    };

    // Connections in the order of sinceMs.
    struct List
    {
        std::uint32_t first = none;
        std::uint32_t last = none;
    };

    List *listOf(Phase phase);
    Connection &at(ConnectionSlot slot) { return m_connections[static_cast<std::uint32_t>(slot)]; }
    void enter(ConnectionSlot slot, Phase phase, std::int64_t nowMs);
    void unlink(Connection &connection);
    void hold(Connection &connection, std::size_t bytes);
    void choose(std::uint32_t index, LimitReason reason);
    void makeRoom(std::int64_t nowMs);
    void replaceOldest(ConnectionSlot newest, std::int64_t nowMs);

    RequestLimits m_limits;
    std::vector<Connection> m_connections; // by slot
    std::vector<ConnectionSlot> m_free;
    std::vector<ConnectionSlot> m_chosen;
    List m_incomplete; // in phase Header or Body
    List m_answers;    // in phase Answer
    std::size_t m_usedBytes = 0;
    std::size_t m_active = 0;
    std::int64_t m_nextExpiryMs = 0;
    LimitCounters m_counters{};
};

} // namespace clementinelift::net
