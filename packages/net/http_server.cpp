#include "net/http_server.h"

#include <absl/container/flat_hash_map.h>

#include <microhttpd.h>

#include <netdb.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <thread>

namespace clementinelift::net {

namespace {

constexpr std::size_t poolExtraBytes = 16u << 10; // for the header of the answer and for reading the body
constexpr std::size_t discardFactor = 8; // bodies up to this multiple of the limit are read completely and discarded
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
    std::size_t bodyBytes = 0; // received, including discarded bytes
    HttpCall call{};
    bool passedToHandler = false;
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

    MHD_Result begin(MHD_Connection *connection, const char *path, const char *method, void **slot);
    MHD_Result receive(Exchange &exchange, std::string_view data);
    MHD_Result callHandler(Exchange &exchange);
    MHD_Result deliver(MHD_Connection *connection, HttpAnswer &&answer);
    void end(Exchange *exchange);
    void acceptBacklog(int socket);

    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *path, const char *method,
                               const char *version, const char *data, std::size_t *size, void **slot);
    static void onCompleted(void *self, MHD_Connection *connection, void **slot, MHD_RequestTerminationCode code);
};

MHD_Result HttpServer::State::begin(MHD_Connection *connection, const char *path, const char *method, void **slot)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = path;
    HttpRequest &request = exchange->request;
    *slot = exchange.release();
    {
        const std::lock_guard lock(mutex);
        ++open;
    }
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    if (info != nullptr && info->header_size > settings.maxHeaderBytes)
        return deliver(connection, makeLimitAnswer(431, "header_too_large", "header", settings.maxHeaderBytes));
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addField, &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addField, &request.query);

    std::uint64_t length = 0;
    const std::string_view text = findField(request.headers, "Content-Length");
    if (std::from_chars(text.data(), text.data() + text.size(), length).ec == std::errc()) {
        // A client that is still sending may miss an early answer, so bodies moderately over the limit are read first.
        if (length > settings.maxBodyBytes * discardFactor)
            return deliver(connection, makeLimitAnswer(413, "body_too_large", "body", settings.maxBodyBytes));
        if (length <= settings.maxBodyBytes)
            request.body.reserve(length);
    }
    return MHD_YES;
}

MHD_Result HttpServer::State::receive(Exchange &exchange, std::string_view data)
{
    exchange.bodyBytes += data.size();
    if (exchange.bodyBytes <= settings.maxBodyBytes) {
        exchange.request.body.append(data);
        return MHD_YES;
    }
    std::string().swap(exchange.request.body);
    return exchange.bodyBytes <= settings.maxBodyBytes * discardFactor ? MHD_YES : MHD_NO;
}

// The connection is suspended before the handler runs, so that an answer from another thread can resume it at once.
MHD_Result HttpServer::State::callHandler(Exchange &exchange)
{
    if (exchange.bodyBytes > settings.maxBodyBytes)
        return deliver(exchange.connection, makeLimitAnswer(413, "body_too_large", "body", settings.maxBodyBytes));
    if (settings.dropsAbandonedRequests && isClosedByClient(exchange.connection))
        return MHD_NO;
    HttpCall call{};
    {
        const std::lock_guard lock(mutex);
        if (!rejectsCalls) {
            exchange.passedToHandler = true;
            MHD_suspend_connection(exchange.connection);
            call = HttpCall{++lastCall};
            exchange.call = call;
            waiting.emplace(call, &exchange);
        }
    }
    if (call == HttpCall{})
        return deliver(exchange.connection, makeStoppingAnswer());
    HttpRequest request = std::move(exchange.request);
    handler(call, std::move(request)); // exchange may be answered and deleted from here on
    return MHD_YES;
}

MHD_Result HttpServer::State::deliver(MHD_Connection *connection, HttpAnswer &&answer)
{
    if (answer.status == statusDropped)
        return MHD_NO;
    auto body = std::make_unique<std::string>(std::move(answer.body));
    MHD_Response *response = MHD_create_response_from_buffer_with_free_callback_cls(
            body->size(), body->data(), [](void *text) { delete static_cast<std::string *>(text); }, body.get());
    if (response == nullptr)
        return MHD_NO;
    (void)body.release();
    MHD_add_response_header(response, "Content-Type", answer.contentType.c_str());
    for (const auto &[name, value] : answer.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    if (closing)
        MHD_add_response_header(response, "Connection", "close");
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return result;
}

void HttpServer::State::end(Exchange *exchange)
{
    const std::lock_guard lock(mutex);
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
    return exchange.passedToHandler ? state.deliver(connection, std::move(exchange.answer))
                                    : state.callHandler(exchange);
}

void HttpServer::State::onCompleted(void *self, MHD_Connection *, void **slot, MHD_RequestTerminationCode)
{
    if (*slot != nullptr)
        static_cast<State *>(self)->end(static_cast<Exchange *>(std::exchange(*slot, nullptr)));
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
    auto state = std::make_unique<State>();
    state->settings = settings;
    state->handler = std::move(handler);

    // Uses poll instead of epoll: with epoll libmicrohttpd aborts the process when a thread and MHD_quiesce_daemon()
    // both remove the listening socket from the epoll set, which happened in 1 of 12 runs of the tests.
    unsigned flags = MHD_USE_POLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    if (address->ai_family == AF_INET6)
        flags |= MHD_USE_IPv6;
    const MHD_OptionItem threads[] = {{settings.threads > 1 ? MHD_OPTION_THREAD_POOL_SIZE : MHD_OPTION_END,
                                       static_cast<intptr_t>(settings.threads), nullptr},
                                      {MHD_OPTION_END, 0, nullptr}};
    errno = 0;
    state->daemon = MHD_start_daemon(
            flags, 0, nullptr, nullptr, &State::onAccess, state.get(), MHD_OPTION_SOCK_ADDR, address->ai_addr,
            MHD_OPTION_NOTIFY_COMPLETED, &State::onCompleted, state.get(), MHD_OPTION_CONNECTION_LIMIT,
            settings.maxConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, 2 * settings.maxHeaderBytes + poolExtraBytes,
            MHD_OPTION_CONNECTION_TIMEOUT, settings.idleTimeoutS, MHD_OPTION_LISTEN_BACKLOG_SIZE, listenBacklog,
            MHD_OPTION_ARRAY, threads, MHD_OPTION_END);
    if (state->daemon == nullptr)
        return tl::unexpected("cannot listen on " + settings.address + ": " + std::strerror(errno));
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

bool HttpServer::drop(HttpCall call)
{
    return answer(call, {statusDropped, {}});
}

std::vector<HttpCall> HttpServer::takeClosedCalls()
{
    std::vector<HttpCall> closed;
    const std::lock_guard lock(m_state->mutex);
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
