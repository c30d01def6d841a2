#include "net/http_server.h"

#include <absl/container/flat_hash_map.h>

#include <microhttpd.h>

#include <netdb.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <climits>
#include <condition_variable>
#include <cstring>
#include <ctime>
#include <mutex>
#include <thread>

namespace clementinelift::net {

namespace {

constexpr std::size_t poolExtraBytes = 16u << 10;         // for the header of the answer and for reading the body
constexpr std::size_t connectionOverheadBytes = 2u << 10; // structures beside the pool
constexpr std::size_t firstBodyBytes = 4u << 10;          // bodies grow from this by doubling
constexpr std::size_t sparePlaces = 16; // requests served beyond the limit while connections for them are closed
// libmicrohttpd stops accepting at its own limit. It must be higher, so that the budget learns of new connections and
// can close old ones for them.
constexpr unsigned spareConnections = 32;
constexpr unsigned listenBacklog = 1024;
constexpr auto receiveGracePeriod = std::chrono::milliseconds(50);
constexpr auto rejectTimeout = std::chrono::milliseconds(1000);
constexpr int statusClientClosed = 499;
constexpr int statusDropped = 0; // marks an answer that is never sent

// One request from its header to the end of its answer; owned by MHD through con_cls.
struct Exchange
{
    HttpRequest request;
    HttpAnswer answer;
    MHD_Connection *connection = nullptr;
    std::size_t announcedBytes = 0; // of the body, 0 when not announced
    std::size_t bodyBytes = 0;      // received, including discarded bytes
    ConnectionSlot slot{};
    HttpCall call{};
    bool passedToHandler = false;
    bool isReleased = false; // see HttpServer::release()
};

struct FreeAddress
{
    void operator()(addrinfo *address) const { freeaddrinfo(address); }
};
using Address = std::unique_ptr<addrinfo, FreeAddress>;

Address parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return nullptr;
    std::string_view host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo *found = nullptr;
    if (getaddrinfo(std::string(host).c_str(), std::string(text.substr(colon + 1)).c_str(), &hints, &found) != 0)
        return nullptr;
    return Address(found);
}

MHD_Result addField(void *fields, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<HttpFields *>(fields)->emplace_back(name, value != nullptr ? value : "");
    return MHD_YES;
}

HttpAnswer makeStoppingAnswer()
{
    return {503, R"({"error":"stopping","place":"","detail":"the server stops"})"};
}

HttpAnswer makeBusyAnswer()
{
    return {503,
            R"({"error":"busy","place":"","detail":"too many connections are open"})",
            "application/json",
            {{"Retry-After", "1"}}};
}

// The resolution of some milliseconds is enough, and the clock costs no system call.
std::int64_t coarseNowMs()
{
    constexpr std::int64_t msPerS = 1000;
    constexpr std::int64_t nsPerMs = 1000000;
    timespec now{};
    clock_gettime(CLOCK_MONOTONIC_COARSE, &now);
    return now.tv_sec * msPerS + now.tv_nsec / nsPerMs;
}

std::size_t poolBytes(std::size_t maxHeaderBytes)
{
    return 2 * maxHeaderBytes + poolExtraBytes;
}

// libmicrohttpd keeps a pointer for each connection; a slot is stored in it as its number plus 1.
ConnectionSlot slotOf(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return ConnectionSlot{static_cast<std::uint32_t>(reinterpret_cast<std::uintptr_t>(info->socket_context) - 1)};
}

bool isClosedByClient(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    pollfd socket{info->connect_fd, POLLRDHUP, 0};
    return poll(&socket, 1, 0) > 0;
}

HttpAnswer makeLimitAnswer(int status, std::string_view error, std::string_view place, std::size_t limit)
{
    std::string body = R"({"error":")";
    body.append(error).append(R"(","place":")").append(place).append(R"(","detail":")").append(place);
    body.append(" is larger than ").append(std::to_string(limit)).append(R"( bytes"})");
    return {status, std::move(body)};
}

} // namespace

std::size_t connectionBytes(std::size_t maxHeaderBytes)
{
    return poolBytes(maxHeaderBytes) + connectionOverheadBytes;
}

std::string_view findField(const HttpFields &fields, std::string_view name)
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), key.size()) == 0)
            return value;
    }
    return {};
}

struct HttpServer::State
{
    HttpServerSettings settings;
    Handler handler;
    MHD_Daemon *daemon = nullptr;
    std::uint16_t port = 0;
    std::atomic<bool> closing = false;

    mutable std::mutex mutex;
    std::condition_variable delivered;
    absl::flat_hash_map<HttpCall, Exchange *> waiting; // passed to the handler and not yet answered
    std::size_t open = 0;                              // exchanges in progress
    std::uint64_t lastCall = 0;
    bool rejectsCalls = false; // the waiting calls have been answered for the last time
    RequestBudget budget;      // of the open connections
    std::vector<int> sockets;  // by slot of the budget

    explicit State(const HttpServerSettings &serverSettings)
        : settings(serverSettings),
          budget({settings.requestBytes, connectionBytes(settings.maxHeaderBytes), settings.maxConnections, sparePlaces,
                  settings.idleTimeoutMs, settings.unreadAnswerMs, settings.unreadAnswerBytes})
    {}

    void closeChosen();
    bool holdBody(Exchange &exchange, std::size_t bytes);
    MHD_Result reject(Exchange &exchange, LimitReason reason, HttpAnswer &&answer);
    void onConnection(MHD_Connection *connection, void **slot, bool isOpen);
    MHD_Result begin(MHD_Connection *connection, const char *path, const char *method, void **slot);
    MHD_Result receive(Exchange &exchange, std::string_view data);
    MHD_Result callHandler(Exchange &exchange);
    void holdForCall(HttpCall call, std::size_t bytes);
    MHD_Result deliver(Exchange &exchange, HttpAnswer &&answer);
    void end(Exchange *exchange, bool isTimeout);
    void acceptBacklog(int socket);

    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *path, const char *method,
                               const char *version, const char *data, std::size_t *size, void **slot);
    static void notifyConnection(void *self, MHD_Connection *connection, void **context,
                                 MHD_ConnectionNotificationCode code)
    {
        static_cast<State *>(self)->onConnection(connection, context, code == MHD_CONNECTION_NOTIFY_STARTED);
    }
    static void onCompleted(void *self, MHD_Connection *connection, void **slot, MHD_RequestTerminationCode code);
};

// Called with the mutex locked. A socket that is shut down makes its thread close the connection and report its end; it
// stays open until onConnection() has removed it from sockets, so that no other connection can be hit.
void HttpServer::State::closeChosen()
{
    for (const ConnectionSlot slot : budget.chosen())
        shutdown(sockets[static_cast<std::size_t>(slot)], SHUT_RDWR);
    budget.clearChosen();
}

void HttpServer::State::onConnection(MHD_Connection *connection, void **context, bool isOpen)
{
    const std::lock_guard lock(mutex);
    if (isOpen) {
        const ConnectionSlot slot = budget.open(coarseNowMs());
        const auto index = static_cast<std::size_t>(slot);
        if (sockets.size() <= index)
            sockets.resize(index + 1, -1);
        sockets[index] = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        *context = reinterpret_cast<void *>(index + 1); // NOLINT(performance-no-int-to-ptr)
        closeChosen();
    } else if (*context != nullptr) {
        const std::size_t index = reinterpret_cast<std::uintptr_t>(std::exchange(*context, nullptr)) - 1;
        budget.close(ConnectionSlot{static_cast<std::uint32_t>(index)}, coarseNowMs());
        sockets[index] = -1;
    }
}

bool HttpServer::State::holdBody(Exchange &exchange, std::size_t bytes)
{
    const std::lock_guard lock(mutex);
    const bool isHeld = budget.receive(exchange.slot, bytes, coarseNowMs());
    closeChosen();
    return isHeld;
}

MHD_Result HttpServer::State::reject(Exchange &exchange, LimitReason reason, HttpAnswer &&answer)
{
    {
        const std::lock_guard lock(mutex);
        budget.count(reason);
    }
    return deliver(exchange, std::move(answer));
}

MHD_Result HttpServer::State::begin(MHD_Connection *connection, const char *path, const char *method, void **slot)
{
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned;
    exchange.connection = connection;
    exchange.slot = slotOf(connection);
    HttpRequest &request = exchange.request;
    request.method = method;
    request.path = path;
    *slot = owned.release();
    bool hasRoom = false;
    {
        const std::lock_guard lock(mutex);
        ++open;
        hasRoom = budget.begin(exchange.slot, coarseNowMs());
    }
    if (!hasRoom)
        return deliver(exchange, makeBusyAnswer());
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    if (info != nullptr && info->header_size > settings.maxHeaderBytes)
        return reject(exchange, LimitReason::TooLarge,
                      makeLimitAnswer(431, "header_too_large", "header", settings.maxHeaderBytes));
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addField, &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addField, &request.query);

    std::uint64_t length = 0;
    const std::string_view text = findField(request.headers, "Content-Length");
    if (std::from_chars(text.data(), text.data() + text.size(), length).ec == std::errc()) {
        // A client that is still sending may miss an early answer, so bodies moderately over the limit are read first.
        if (length > settings.maxBodyBytes && length - settings.maxBodyBytes > settings.maxDiscardBytes)
            return reject(exchange, LimitReason::TooLarge,
                          makeLimitAnswer(413, "body_too_large", "body", settings.maxBodyBytes));
        exchange.announcedBytes = length;
    }
    return MHD_YES;
}

// The memory of a body grows with what was received: an announced length alone reserves nothing.
MHD_Result HttpServer::State::receive(Exchange &exchange, std::string_view data)
{
    std::string &body = exchange.request.body;
    exchange.bodyBytes += data.size();
    if (exchange.bodyBytes > settings.maxBodyBytes) {
        std::string().swap(body);
        if (exchange.bodyBytes - settings.maxBodyBytes <= settings.maxDiscardBytes)
            return holdBody(exchange, 0) ? MHD_YES : MHD_NO;
        const std::lock_guard lock(mutex);
        budget.count(LimitReason::Discarded);
        return MHD_NO;
    }
    std::size_t capacity = body.capacity();
    if (exchange.bodyBytes > capacity) {
        const bool isAnnounced = exchange.announcedBytes >= exchange.bodyBytes;
        const std::size_t most = isAnnounced ? exchange.announcedBytes : settings.maxBodyBytes;
        capacity = std::max(exchange.bodyBytes, std::min(std::max(2 * capacity, firstBodyBytes), most));
    }
    if (!holdBody(exchange, capacity))
        return MHD_NO;
    body.reserve(capacity);
    body.append(data);
    return MHD_YES;
}

// The connection is suspended before the handler runs, so that an answer from another thread can resume it at once.
MHD_Result HttpServer::State::callHandler(Exchange &exchange)
{
    if (exchange.bodyBytes > settings.maxBodyBytes)
        return reject(exchange, LimitReason::TooLarge,
                      makeLimitAnswer(413, "body_too_large", "body", settings.maxBodyBytes));
    if (settings.dropsAbandonedRequests && isClosedByClient(exchange.connection))
        return MHD_NO;
    HttpCall call{};
    const std::size_t bodyBytes = exchange.request.body.capacity();
    bool hasRoom = true;
    {
        const std::lock_guard lock(mutex);
        if (!budget.complete(exchange.slot))
            return MHD_NO;
        hasRoom = budget.holdForHandler(exchange.slot, bodyBytes * settings.handlerFactor, coarseNowMs());
        closeChosen();
        if (hasRoom && !rejectsCalls) {
            exchange.passedToHandler = true;
            MHD_suspend_connection(exchange.connection);
            call = HttpCall{++lastCall};
            exchange.call = call;
            waiting.emplace(call, &exchange);
        }
    }
    if (!hasRoom)
        return deliver(exchange, makeBusyAnswer());
    if (call == HttpCall{})
        return deliver(exchange, makeStoppingAnswer());
    HttpRequest request = std::move(exchange.request);
    handler(call, std::move(request)); // exchange may be answered and deleted from here on
    holdForCall(call, bodyBytes);
    return MHD_YES;
}

// Does nothing when the call has been answered.
void HttpServer::State::holdForCall(HttpCall call, std::size_t bytes)
{
    const std::lock_guard lock(mutex);
    const auto found = waiting.find(call);
    if (found != waiting.end() && !found->second->isReleased)
        budget.holdForHandler(found->second->slot, bytes, coarseNowMs());
    closeChosen();
}

MHD_Result HttpServer::State::deliver(Exchange &exchange, HttpAnswer &&answer)
{
    if (answer.status == statusDropped)
        return MHD_NO;
    bool keepsConnection = false;
    {
        const std::lock_guard lock(mutex);
        keepsConnection = budget.answer(exchange.slot, answer.body.size(), coarseNowMs());
        closeChosen();
    }
    auto body = std::make_unique<std::string>(std::move(answer.body));
    MHD_Response *response = MHD_create_response_from_buffer_with_free_callback_cls(
            body->size(), body->data(), [](void *text) { delete static_cast<std::string *>(text); }, body.get());
    if (response == nullptr)
        return MHD_NO;
    (void)body.release();
    MHD_add_response_header(response, "Content-Type", answer.contentType.c_str());
    for (const auto &[name, value] : answer.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    if (closing || !keepsConnection)
        MHD_add_response_header(response, "Connection", "close");
    const MHD_Result result = MHD_queue_response(exchange.connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return result;
}

void HttpServer::State::end(Exchange *exchange, bool isTimeout)
{
    const std::lock_guard lock(mutex);
    if (isTimeout)
        budget.count(LimitReason::NoProgress);
    budget.end(exchange->slot, coarseNowMs());
    waiting.erase(exchange->call);
    delete exchange;
    --open;
    delivered.notify_all();
}

// Connections that completed their handshake before the socket stopped listening are still served.
void HttpServer::State::acceptBacklog(int socket)
{
    for (;;) {
        pollfd ready{socket, POLLIN, 0};
        if (poll(&ready, 1, 0) != 1)
            break;
        sockaddr_storage address{};
        socklen_t length = sizeof address;
        const int connection =
                accept4(socket, reinterpret_cast<sockaddr *>(&address), &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0)
            break;
        MHD_add_connection(daemon, connection, reinterpret_cast<sockaddr *>(&address), length);
    }
    shutdown(socket, SHUT_RDWR); // refuses further connections
}

MHD_Result HttpServer::State::onAccess(void *self, MHD_Connection *connection, const char *path, const char *method,
                                       const char *, const char *data, std::size_t *size, void **slot)
{
    auto &state = *static_cast<State *>(self);
    if (*slot == nullptr)
        return state.begin(connection, path, method, slot);
    auto &exchange = *static_cast<Exchange *>(*slot);
    if (*size > 0)
        return state.receive(exchange, {data, std::exchange(*size, 0)});
    return exchange.passedToHandler ? state.deliver(exchange, std::move(exchange.answer)) : state.callHandler(exchange);
}

void HttpServer::State::onCompleted(void *self, MHD_Connection *, void **slot, MHD_RequestTerminationCode code)
{
    if (*slot != nullptr)
        static_cast<State *>(self)->end(static_cast<Exchange *>(std::exchange(*slot, nullptr)),
                                        code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED);
}

HttpServer::HttpServer(std::unique_ptr<State> state) : m_state(std::move(state)) {}

HttpServer::~HttpServer()
{
    stop(0);
}

tl::expected<std::unique_ptr<HttpServer>, std::string> HttpServer::start(const HttpServerSettings &settings,
                                                                         Handler handler)
{
    const Address address = parseAddress(settings.address);
    if (address == nullptr)
        return tl::unexpected("address \"" + settings.address + "\" is not of the form ip:port");
    auto state = std::make_unique<State>(settings);
    state->handler = std::move(handler);

    // Uses poll instead of epoll: with epoll libmicrohttpd aborts the process when a thread and MHD_quiesce_daemon()
    // both remove the listening socket from the epoll set, which happened in 1 of 12 runs of the tests.
    unsigned flags = MHD_USE_POLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    if (address->ai_family == AF_INET6)
        flags |= MHD_USE_IPv6;
    const MHD_OptionItem threads[] = {{settings.threads > 1 ? MHD_OPTION_THREAD_POOL_SIZE : MHD_OPTION_END,
                                       static_cast<intptr_t>(settings.threads), nullptr},
                                      {MHD_OPTION_END, 0, nullptr}};
    const auto idleTimeoutS = static_cast<unsigned>((settings.idleTimeoutMs + 999) / 1000);
    errno = 0;
    state->daemon = MHD_start_daemon(
            flags, 0, nullptr, nullptr, &State::onAccess, state.get(), MHD_OPTION_SOCK_ADDR, address->ai_addr,
            MHD_OPTION_NOTIFY_COMPLETED, &State::onCompleted, state.get(), MHD_OPTION_NOTIFY_CONNECTION,
            &State::notifyConnection, state.get(), MHD_OPTION_CONNECTION_LIMIT,
            settings.maxConnections + spareConnections * std::max(settings.threads, 1U),
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, poolBytes(settings.maxHeaderBytes), MHD_OPTION_CONNECTION_TIMEOUT,
            idleTimeoutS, MHD_OPTION_LISTEN_BACKLOG_SIZE, listenBacklog, MHD_OPTION_ARRAY, threads, MHD_OPTION_END);
    if (state->daemon == nullptr)
        return tl::unexpected("cannot listen on " + settings.address + ": " + std::strerror(errno));
    // Accepted sockets inherit this; the kernel would otherwise keep up to some MB of answers for each connection.
    const auto sendBuffer = static_cast<int>(std::min<std::size_t>(settings.unreadAnswerBytes, INT_MAX));
    setsockopt(MHD_get_daemon_info(state->daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd, SOL_SOCKET, SO_SNDBUF,
               &sendBuffer, sizeof sendBuffer);
    state->port = MHD_get_daemon_info(state->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

bool HttpServer::answer(HttpCall call, HttpAnswer &&answer)
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->waiting.find(call);
    if (found == m_state->waiting.end())
        return false;
    Exchange &exchange = *found->second;
    m_state->waiting.erase(found);
    exchange.answer = std::move(answer);
    MHD_resume_connection(exchange.connection);
    return true;
}

void HttpServer::release(HttpCall call)
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->waiting.find(call);
    if (found == m_state->waiting.end())
        return;
    found->second->isReleased = true;
    m_state->budget.holdForHandler(found->second->slot, 0, coarseNowMs());
}

bool HttpServer::drop(HttpCall call)
{
    return answer(call, {statusDropped, {}});
}

std::vector<HttpCall> HttpServer::takeClosedCalls()
{
    std::vector<HttpCall> closed;
    const std::lock_guard lock(m_state->mutex);
    m_state->budget.expire(coarseNowMs());
    m_state->closeChosen();
    std::vector<pollfd> sockets;
    std::vector<HttpCall> calls;
    for (const auto &[call, exchange] : m_state->waiting) {
        const auto *info = MHD_get_connection_info(exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        sockets.push_back({info->connect_fd, POLLRDHUP, 0});
        calls.push_back(call);
    }
    if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0)
        return closed;
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        if (sockets[i].revents == 0)
            continue;
        const auto found = m_state->waiting.find(calls[i]);
        found->second->answer.status = statusClientClosed;
        MHD_resume_connection(found->second->connection);
        m_state->waiting.erase(found);
        closed.push_back(calls[i]);
    }
    return closed;
}

std::uint16_t HttpServer::port() const
{
    return m_state->port;
}

std::size_t HttpServer::openCalls() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->open;
}

RequestUsage HttpServer::usage() const
{
    const std::lock_guard lock(m_state->mutex);
    return {m_state->budget.counters(), m_state->budget.usedBytes(), m_state->budget.openConnections()};
}

void HttpServer::disableKeepAlive()
{
    m_state->closing = true;
}

void HttpServer::stop(std::int64_t waitMs)
{
    if (m_state->daemon == nullptr)
        return;
    disableKeepAlive();
    const int socket = MHD_quiesce_daemon(m_state->daemon);
    if (socket >= 0)
        m_state->acceptBacklog(socket);

    std::unique_lock lock(m_state->mutex);
    const auto isIdle = [this] { return m_state->open == 0; };
    if (waitMs > 0) {
        // Requests that were sent but not yet read count as in progress; the I/O threads get time to read them.
        lock.unlock();
        std::this_thread::sleep_for(receiveGracePeriod);
        lock.lock();
        m_state->delivered.wait_for(lock, std::chrono::milliseconds(waitMs), isIdle);
    }
    // A call that was suspended later would have no answer, and libmicrohttpd aborts the process when it stops with
    // suspended connections.
    m_state->rejectsCalls = true;
    std::vector<HttpCall> unanswered;
    for (const auto &[call, exchange] : m_state->waiting)
        unanswered.push_back(call);
    lock.unlock();
    for (const HttpCall call : unanswered)
        answer(call, makeStoppingAnswer());
    lock.lock();
    m_state->delivered.wait_for(lock, rejectTimeout, isIdle);
    lock.unlock();
    MHD_stop_daemon(std::exchange(m_state->daemon, nullptr));
    // The socket is closed last: libmicrohttpd aborts the process when its threads still use a closed socket.
    if (socket >= 0)
        close(socket);
}

} // namespace clementinelift::net
