#include "net/request_budget.h"

#include <algorithm>

namespace clementinelift::net {

namespace {

constexpr std::int64_t expiryIntervalMs = 1000;
// An answer that fits into the buffer of the kernel leaves within one turn of the I/O thread. It stays longer only if
// the client has filled that buffer with answers that it does not read.
constexpr std::int64_t blockedAnswerMs = 200;
// Shares of the budget: a request that takes more than the first is large, the second is left for small ones.
constexpr std::size_t largeRequestDivisor = 16;
constexpr std::size_t smallRequestDivisor = 8;
constexpr std::size_t minProbeConnections = 16; // load balancers and monitoring of a small machine

// The rest of the process needs the other part of the memory: jobs, links to peers and backend servers, code.
constexpr std::size_t callerMemoryShare = 3;
constexpr std::size_t probeMemoryDivisor = 8; // of the callers' share
constexpr std::size_t memoryShares = 8;
constexpr unsigned callerFdDivisor = 2; // the other half is for backend servers, peers and the store
constexpr unsigned probeFdDivisor = 16;

RequestShare limitConnections(std::size_t bytes, std::size_t connectionBytes, unsigned maxConnections)
{
    // A quarter of the bytes is kept for bodies, however many connections are open.
    const std::size_t fitting = bytes / 4 * 3 / std::max<std::size_t>(connectionBytes, 1);
    return {bytes, static_cast<unsigned>(std::clamp<std::size_t>(fitting, 1, std::max(maxConnections, 1U)))};
}

} // namespace

RequestShare deriveCallerShare(std::size_t memoryBytes, unsigned maxFds, std::size_t requestBytes,
                               std::size_t connectionBytes, unsigned maxConnections)
{
    const std::size_t bytes = requestBytes > 0 ? requestBytes : memoryBytes / memoryShares * callerMemoryShare;
    return limitConnections(bytes, connectionBytes, std::min(maxConnections, maxFds / callerFdDivisor));
}

RequestShare deriveProbeShare(std::size_t memoryBytes, unsigned maxFds, std::size_t connectionBytes,
                              unsigned maxConnections)
{
    const std::size_t bytes = std::max(memoryBytes / memoryShares * callerMemoryShare / probeMemoryDivisor,
                                       2 * minProbeConnections * connectionBytes);
    return limitConnections(bytes, connectionBytes, std::min(maxConnections, maxFds / probeFdDivisor));
}

ConnectionSlot RequestBudget::open(std::int64_t nowMs)
{
    if (m_free.empty()) {
        m_free.push_back(ConnectionSlot{static_cast<std::uint32_t>(m_connections.size())});
        m_connections.emplace_back();
    }
    const ConnectionSlot slot = m_free.back();
    m_free.pop_back();
    at(slot) = {};
    ++m_active;
    m_usedBytes += m_limits.connectionBytes;
    enter(slot, Phase::Header, nowMs);
    expire(nowMs);
    if (m_active > m_limits.maxConnections)
        replaceOldest(slot, nowMs);
    return slot;
}

void RequestBudget::close(ConnectionSlot slot, std::int64_t nowMs)
{
    Connection &connection = at(slot);
    if (!connection.chosen) {
        // The server has its own timer for connections without any byte; it tells no reason before a header.
        if (connection.phase == Phase::Header && nowMs - connection.sinceMs >= m_limits.requestMs)
            count(LimitReason::NoRequest);
        hold(connection, 0);
        unlink(connection);
        --m_active;
        m_usedBytes -= m_limits.connectionBytes;
    }
    connection.phase = Phase::Closed;
    m_free.push_back(slot);
    std::erase(m_chosen, slot);
}

bool RequestBudget::begin(ConnectionSlot slot, std::int64_t nowMs)
{
    if (at(slot).chosen)
        return true; // receive() and complete() end it
    enter(slot, Phase::Body, nowMs);
    if (m_active <= m_limits.maxConnections + m_limits.spareConnections)
        return true;
    count(LimitReason::Connections);
    return false;
}

bool RequestBudget::receive(ConnectionSlot slot, std::size_t bodyBytes, std::int64_t nowMs)
{
    Connection &connection = at(slot);
    if (connection.chosen)
        return false;
    connection.progressMs = nowMs;
    hold(connection, bodyBytes);
    if (m_usedBytes > m_limits.bytes)
        makeRoom(nowMs);
    if (m_usedBytes > m_limits.bytes && !connection.chosen)
        choose(static_cast<std::uint32_t>(slot), LimitReason::Memory);
    return !connection.chosen;
}

bool RequestBudget::complete(ConnectionSlot slot)
{
    Connection &connection = at(slot);
    if (connection.chosen)
        return false;
    unlink(connection);
    hold(connection, 0); // the handler takes the body over
    connection.phase = Phase::Complete;
    return true;
}

bool RequestBudget::holdForHandler(ConnectionSlot slot, std::size_t bytes, std::int64_t nowMs)
{
    Connection &connection = at(slot);
    hold(connection, bytes);
    if (bytes == 0)
        return true;
    // Large requests leave a part of the budget for small ones.
    const bool isLarge = bytes > m_limits.bytes / largeRequestDivisor;
    const std::size_t limit = m_limits.bytes - (isLarge ? m_limits.bytes / smallRequestDivisor : 0);
    if (m_usedBytes > limit)
        makeRoom(nowMs);
    if (m_usedBytes <= limit)
        return true;
    hold(connection, 0);
    count(LimitReason::Memory);
    return false;
}

bool RequestBudget::answer(ConnectionSlot slot, std::size_t answerBytes, std::int64_t nowMs)
{
    Connection &connection = at(slot);
    if (connection.chosen)
        return false;
    enter(slot, Phase::Answer, nowMs);
    hold(connection, answerBytes);
    if (m_usedBytes > m_limits.bytes)
        makeRoom(nowMs);
    return m_active <= m_limits.maxConnections;
}

void RequestBudget::end(ConnectionSlot slot, std::int64_t nowMs)
{
    Connection &connection = at(slot);
    if (connection.chosen)
        return;
    hold(connection, 0);
    enter(slot, Phase::Header, nowMs);
}

void RequestBudget::expire(std::int64_t nowMs)
{
    if (nowMs < m_nextExpiryMs)
        return;
    m_nextExpiryMs = nowMs + expiryIntervalMs;
    for (std::uint32_t index = m_incomplete.first; index != none;) {
        const Connection &connection = m_connections[index];
        if (nowMs - connection.sinceMs < m_limits.requestMs)
            break;
        const std::uint32_t next = connection.after;
        if (connection.phase == Phase::Header)
            choose(index, LimitReason::NoRequest);
        index = next;
    }
}

void RequestBudget::enter(ConnectionSlot slot, Phase phase, std::int64_t nowMs)
{
    Connection &connection = at(slot);
    unlink(connection);
    connection.phase = phase;
    connection.sinceMs = nowMs;
    connection.progressMs = nowMs;
    List *list = listOf(phase);
    if (list == nullptr)
        return;
    const auto index = static_cast<std::uint32_t>(slot);
    connection.before = list->last;
    (list->last == none ? list->first : m_connections[list->last].after) = index;
    list->last = index;
}

RequestBudget::List *RequestBudget::listOf(Phase phase)
{
    if (phase == Phase::Header || phase == Phase::Body)
        return &m_incomplete;
    return phase == Phase::Answer ? &m_answers : nullptr;
}

void RequestBudget::unlink(Connection &connection)
{
    List *list = listOf(connection.phase);
    if (list == nullptr)
        return;
    (connection.before == none ? list->first : m_connections[connection.before].after) = connection.after;
    (connection.after == none ? list->last : m_connections[connection.after].before) = connection.before;
    connection.before = connection.after = none;
}

void RequestBudget::hold(Connection &connection, std::size_t bytes)
{
    m_usedBytes = m_usedBytes - connection.bytes + bytes;
    connection.bytes = bytes;
}

void RequestBudget::choose(std::uint32_t index, LimitReason reason)
{
    Connection &connection = m_connections[index];
    hold(connection, 0);
    unlink(connection);
    connection.phase = Phase::Complete; // in no list
    connection.chosen = true;
    --m_active;
    m_usedBytes -= m_limits.connectionBytes;
    m_chosen.push_back(ConnectionSlot{index});
    count(reason);
}

// Closes an older connection for the newest. If all others have complete requests that are not answered yet, none is
// closed and begin() refuses the newest.
void RequestBudget::replaceOldest(ConnectionSlot newest, std::int64_t nowMs)
{
    if (m_incomplete.first != static_cast<std::uint32_t>(newest)) {
        choose(m_incomplete.first, LimitReason::Connections);
        return;
    }
    for (std::uint32_t index = m_answers.first; index != none; index = m_connections[index].after) {
        const Connection &connection = m_connections[index];
        const std::int64_t ageMs = nowMs - connection.sinceMs;
        if (ageMs < blockedAnswerMs)
            return;
        if (connection.bytes <= m_limits.unreadAnswerBytes || ageMs >= m_limits.unreadAnswerMs) {
            choose(index, LimitReason::Unread);
            return;
        }
    }
}

// Frees an eighth of the bytes, so that the search for connections to close is rare: its cost grows with their number.
void RequestBudget::makeRoom(std::int64_t nowMs)
{
    struct Candidate
    {
        double cost; // bytes held, weighted by the time without progress
        std::uint32_t index;
    };
    std::vector<Candidate> candidates;
    for (std::uint32_t index = 0; index < m_connections.size(); ++index) {
        const Connection &connection = m_connections[index];
        const bool isUnread =
                connection.phase == Phase::Answer && nowMs - connection.sinceMs >= m_limits.unreadAnswerMs;
        if (connection.bytes > 0 && (connection.phase == Phase::Body || isUnread))
            candidates.push_back(
                    {static_cast<double>(connection.bytes) * static_cast<double>(nowMs - connection.progressMs + 1),
                     index});
    }
    std::ranges::sort(candidates, std::greater(), &Candidate::cost);
    const std::size_t target = m_limits.bytes - m_limits.bytes / 8;
    for (const Candidate &candidate : candidates) {
        if (m_usedBytes <= target)
            break;
        const bool isAnswer = m_connections[candidate.index].phase == Phase::Answer;
        choose(candidate.index, isAnswer ? LimitReason::Unread : LimitReason::Memory);
    }
}

} // namespace clementinelift::net
