#include "net/http_client.h"

#include <curl/curl.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cassert>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <map>
#include <mutex>
#include <thread>

namespace clementinelift::net {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int eventsPerWait = 256;
constexpr std::size_t maxPooledHandles = 256; // unused easy handles kept for reuse

// Of the clock that goes on while the machine is suspended, unlike the clock by which libcurl measures timeouts.
std::int64_t bootTimeMs()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::int64_t(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000;
}

// One request in progress; owned by its easy handle until the request ends.
struct Transfer
{
    HttpRequestId id{};
    HttpClientRequest request;
    HttpClient::Done done;
    HttpResult result;
    curl_slist *headerList = nullptr;
    curl_slist *connectTo = nullptr;
    std::size_t maxAnswerBytes = 0;
    std::int64_t sendByMs = 0; // boot time
    int sends = 0;             // how often sending began on an established connection
    std::array<char, CURL_ERROR_SIZE> error{};

    Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
    ~Transfer()
    {
        curl_slist_free_all(headerList);
        curl_slist_free_all(connectTo);
    }
};

// libcurl sends a request again on its own when a reused connection closes without an answer. The backend server
// may have started the task by then, so this callback aborts the second send unless the request is repeatable.
int onSend(void *data, char *, char *, int, int)
{
    auto &transfer = *static_cast<Transfer *>(data);
    if (transfer.sends > 0 && !transfer.request.repeatable)
        return CURL_PREREQFUNC_ABORT;
    // After a pause of the process, waiting requests continue before libcurl looks at their timeouts.
    if (bootTimeMs() > transfer.sendByMs)
        return CURL_PREREQFUNC_ABORT;
    ++transfer.sends;
    return CURL_PREREQFUNC_OK;
}

// Of requests that open no connection.
curl_socket_t refuseSocket(void *, curlsocktype, curl_sockaddr *)
{
    return CURL_SOCKET_BAD;
}

std::size_t onBody(char *data, std::size_t, std::size_t size, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (transfer.result.body.size() + size > transfer.maxAnswerBytes)
        return 0;
    transfer.result.body.append(data, size);
    return size;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? "" : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *user)
{
    const std::string_view line = trim({data, size});
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        static_cast<Transfer *>(user)->result.headers.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
    }
    return size;
}

void initCurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

struct HttpClient::State
{
    HttpClientSettings settings;
    CURLM *multi = nullptr;
    int epoll = -1;
    int wakeup = -1;
    Clock::time_point timer = Clock::time_point::max(); // next timeout requested by libcurl
    std::vector<CURL *> handles;                        // unused, for reuse
    std::vector<CURL *> active;                         // in use; stop() ends them

    std::multimap<Clock::time_point, std::unique_ptr<Transfer>> delayed;

    std::mutex mutex;
    std::vector<std::unique_ptr<Transfer>> incoming;
    std::vector<std::function<void()>> posted;
    std::vector<HttpRequestId> cancelled;
    std::uint64_t lastId = 0;
    long newMaxHostConnections = 0; // 0: no change
    bool stopping = false;

    std::atomic<std::size_t> open = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::thread thread;

    void run();
    bool takeIncoming();
    void beginDelayed();
    void begin(std::unique_ptr<Transfer> transfer);
    void end(CURL *handle, CURLcode code);
    void endFinished();
    void endCancelled(HttpRequestId id);
    void endAll();
    int waitTimeMs() const;

    static int onSocket(CURL *handle, curl_socket_t socket, int what, void *self, void *known);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);
};

int HttpClient::State::onSocket(CURL *, curl_socket_t socket, int what, void *self, void *known)
{
    auto &state = *static_cast<State *>(self);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(state.epoll, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event{};
    event.data.fd = socket;
    if ((what & CURL_POLL_IN) != 0)
        event.events |= EPOLLIN;
    if ((what & CURL_POLL_OUT) != 0)
        event.events |= EPOLLOUT;
    epoll_ctl(state.epoll, known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
    curl_multi_assign(state.multi, socket, &state);
    return 0;
}

int HttpClient::State::onTimer(CURLM *, long timeoutMs, void *self)
{
    static_cast<State *>(self)->timer =
            timeoutMs < 0 ? Clock::time_point::max() : Clock::now() + std::chrono::milliseconds(timeoutMs);
    return 0;
}

int HttpClient::State::waitTimeMs() const
{
    const auto next = delayed.empty() ? timer : std::min(timer, delayed.begin()->first);
    if (next == Clock::time_point::max())
        return -1;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(next - Clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

void HttpClient::State::run()
{
    std::array<epoll_event, eventsPerWait> events{};
    int running = 0;
    while (takeIncoming()) {
        beginDelayed();
        endFinished();
        const int count = epoll_wait(epoll, events.data(), eventsPerWait, waitTimeMs());
        for (int i = 0; i < count; ++i) {
            const epoll_event &event = events[static_cast<std::size_t>(i)];
            if (event.data.fd == wakeup) {
                eventfd_t ignored = 0;
                eventfd_read(wakeup, &ignored);
                continue;
            }
            int mask = 0;
            if ((event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
                mask |= CURL_CSELECT_IN;
            if ((event.events & (EPOLLOUT | EPOLLERR)) != 0)
                mask |= CURL_CSELECT_OUT;
            curl_multi_socket_action(multi, event.data.fd, mask, &running);
        }
        if (Clock::now() >= timer) {
            timer = Clock::time_point::max();
            curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
        }
        endFinished();
    }
    endAll();
}

bool HttpClient::State::takeIncoming()
{
    std::vector<std::unique_ptr<Transfer>> taken;
    std::vector<std::function<void()>> tasks;
    std::vector<HttpRequestId> ended;
    bool keepRunning = true;
    long connections = 0;
    {
        const std::lock_guard lock(mutex);
        taken.swap(incoming);
        tasks.swap(posted);
        ended.swap(cancelled);
        keepRunning = !stopping;
        connections = std::exchange(newMaxHostConnections, 0);
    }
    if (connections > 0)
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, connections);
    for (const auto &task : tasks)
        task();
    for (auto &transfer : taken) {
        const std::chrono::milliseconds delay(transfer->request.delayMs);
        if (delay.count() > 0)
            delayed.emplace(Clock::now() + delay, std::move(transfer));
        else
            begin(std::move(transfer));
    }
    for (const HttpRequestId id : ended)
        endCancelled(id);
    return keepRunning;
}

void HttpClient::State::beginDelayed()
{
    while (!delayed.empty() && delayed.begin()->first <= Clock::now())
        begin(std::move(delayed.extract(delayed.begin()).mapped()));
}

void HttpClient::State::begin(std::unique_ptr<Transfer> transfer)
{
    CURL *handle = nullptr;
    if (handles.empty()) {
        handle = curl_easy_init();
    } else {
        handle = handles.back();
        handles.pop_back();
    }
    Transfer &self = *transfer;
    const HttpClientRequest &request = self.request;
    self.maxAnswerBytes = settings.maxAnswerBytes;
    std::string line;
    for (const auto &[name, value] : request.headers) {
        line.assign(name).append(": ").append(value);
        self.headerList = curl_slist_append(self.headerList, line.c_str());
    }
    self.headerList = curl_slist_append(self.headerList, "Expect:"); // avoids the round trip of 100-continue
    if (request.method == "POST" && findField(request.headers, "Content-Type").empty())
        self.headerList = curl_slist_append(self.headerList, "Content-Type: application/octet-stream");

    // libcurl keeps connections by the host of the URL, so the lane takes its place, and the connection is redirected.
    std::string url = request.url;
    if (!request.lane.empty()) {
        const std::size_t hostAt = url.find("://") + 3;
        const std::size_t hostEnd = std::min(url.find('/', hostAt), url.size());
        const std::string host = url.substr(hostAt, hostEnd - hostAt);
        self.headerList = curl_slist_append(self.headerList, ("Host: " + host).c_str());
        self.connectTo = curl_slist_append(nullptr, ("::" + host).c_str());
        curl_easy_setopt(handle, CURLOPT_CONNECT_TO, self.connectTo);
        url.replace(hostAt, host.size(), request.lane);
    }
    if (request.keptConnection)
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, refuseSocket);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, ""); // ignores the proxy environment variables
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    if (request.method == "POST") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    } else if (request.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, self.headerList);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(request.timeoutMs, 1)));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(settings.connectTimeoutMs));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, request.newConnection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(request.maxIdleS > 0 ? request.maxIdleS : settings.maxConnectionAgeS));
    curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, self.error.data());
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, onSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &self);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &self);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &self);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, transfer.release());
    active.push_back(handle);
    curl_multi_add_handle(multi, handle);
}

void HttpClient::State::end(CURL *handle, CURLcode code)
{
    Transfer *data = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &data);
    const std::unique_ptr<Transfer> transfer(data);
    HttpResult &result = transfer->result;
    long requestBytes = 0;
    long headerBytes = 0;
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &headerBytes);
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    long connections = 0;
    curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &connections);
    result.hasConnected = connections > 0;
    bytesSent += static_cast<std::uint64_t>(requestBytes) + (transfer->sends > 0 ? transfer->request.body.size() : 0);
    bytesReceived += static_cast<std::uint64_t>(headerBytes) + result.body.size();

    result.outcome = transfer->sends == 0 ? HttpOutcome::NotSent : HttpOutcome::Unknown;
    if (code == CURLE_OK && status >= 200) {
        result.outcome = HttpOutcome::Answered;
        result.status = static_cast<int>(status);
    } else {
        result.error = transfer->error[0] != 0 ? transfer->error.data() : curl_easy_strerror(code);
        result.headers.clear();
        result.body.clear();
        long systemError = 0;
        curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &systemError);
        result.isRefused =
                code == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED && !transfer->request.keptConnection;
    }

    curl_multi_remove_handle(multi, handle);
    std::erase(active, handle);
    if (handles.size() < maxPooledHandles) {
        curl_easy_reset(handle);
        handles.push_back(handle);
    } else {
        curl_easy_cleanup(handle);
    }
    transfer->done(std::move(result));
    --open;
}

void HttpClient::State::endFinished()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg == CURLMSG_DONE)
            end(message->easy_handle, message->data.result);
    }
}

void HttpClient::State::endCancelled(HttpRequestId id)
{
    for (auto it = delayed.begin(); it != delayed.end(); ++it) {
        if (it->second->id == id) {
            begin(std::move(delayed.extract(it).mapped()));
            break;
        }
    }
    for (CURL *handle : active) {
        Transfer *transfer = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &transfer);
        if (transfer->id == id) {
            end(handle, CURLE_ABORTED_BY_CALLBACK);
            return;
        }
    }
}

void HttpClient::State::endAll()
{
    while (!delayed.empty())
        begin(std::move(delayed.extract(delayed.begin()).mapped()));
    while (!active.empty())
        end(active.back(), CURLE_ABORTED_BY_CALLBACK);
}

HttpClient::HttpClient(const HttpClientSettings &settings) : m_state(std::make_unique<State>())
{
    initCurl();
    State &state = *m_state;
    state.settings = settings;
    state.multi = curl_multi_init();
    state.epoll = epoll_create1(EPOLL_CLOEXEC);
    state.wakeup = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    assert(state.multi != nullptr && state.epoll >= 0 && state.wakeup >= 0);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = state.wakeup;
    epoll_ctl(state.epoll, EPOLL_CTL_ADD, state.wakeup, &event);
    curl_multi_setopt(state.multi, CURLMOPT_SOCKETFUNCTION, &State::onSocket);
    curl_multi_setopt(state.multi, CURLMOPT_SOCKETDATA, m_state.get());
    curl_multi_setopt(state.multi, CURLMOPT_TIMERFUNCTION, &State::onTimer);
    curl_multi_setopt(state.multi, CURLMOPT_TIMERDATA, m_state.get());
    curl_multi_setopt(state.multi, CURLMOPT_MAX_HOST_CONNECTIONS, settings.maxHostConnections);
    curl_multi_setopt(state.multi, CURLMOPT_MAXCONNECTS, settings.maxIdleConnections);
    curl_multi_setopt(state.multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    state.thread = std::thread([&state] { state.run(); });
}

HttpClient::~HttpClient()
{
    stop();
    for (CURL *handle : m_state->handles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_state->multi);
    close(m_state->epoll);
    close(m_state->wakeup);
}

HttpRequestId HttpClient::send(HttpClientRequest &&request, Done &&done)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->sendByMs = bootTimeMs() + std::max<std::int64_t>(request.delayMs, 0) + request.timeoutMs;
    transfer->request = std::move(request);
    transfer->done = std::move(done);
    HttpRequestId id{};
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->stopping)
            return id;
        id = HttpRequestId{++m_state->lastId};
        transfer->id = id;
        m_state->incoming.push_back(std::move(transfer));
        ++m_state->open;
    }
    eventfd_write(m_state->wakeup, 1);
    return id;
}

void HttpClient::cancel(HttpRequestId request)
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->cancelled.push_back(request);
    }
    eventfd_write(m_state->wakeup, 1);
}

void HttpClient::post(std::function<void()> &&task)
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->posted.push_back(std::move(task));
    }
    eventfd_write(m_state->wakeup, 1);
}

void HttpClient::setMaxHostConnections(long connections)
{
    assert(connections > 0);
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->newMaxHostConnections = connections;
    }
    eventfd_write(m_state->wakeup, 1);
}

void HttpClient::stop()
{
    if (!m_state->thread.joinable())
        return;
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->stopping = true;
    }
    eventfd_write(m_state->wakeup, 1);
    m_state->thread.join();
}

std::size_t HttpClient::openRequests() const
{
    return m_state->open;
}

std::uint64_t HttpClient::bytesSent() const
{
    return m_state->bytesSent;
}

std::uint64_t HttpClient::bytesReceived() const
{
    return m_state->bytesReceived;
}

} // namespace clementinelift::net
