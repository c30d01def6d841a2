#include "dispatcher/daemon.h"

#include "dispatcher/backend_client.h"
#include "dispatcher/caller_api.h"
#include "dispatcher/event_queue.h"
#include "dispatcher/logging.h"
#include "dispatcher/metrics.h"
#include "dispatcher/request_limits.h"
#include "dispatcher/status.h"
#include "logservice/log_client.h"
#include "logservice/vm_list_client.h"

#include <absl/strings/str_cat.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <atomic>
#include <chrono>
#include <ctime>
#include <random>
#include <thread>

namespace clementinelift::dispatcher {

namespace {

using core::NoticeLevel;
using net::HttpCall;
using Clock = std::chrono::steady_clock;

constexpr std::int64_t deliveryTimeoutMs = 10000; // wait for the delivery of answers during a shutdown
constexpr auto housekeepingInterval = std::chrono::milliseconds(250);
constexpr long platformConnections = 16; // two long-poll reads, the VM list and appends

// A request that the control thread answers from the state of the process.
struct AdminCall
{
    HttpCall call{};
    AdminRequest request{};
};

struct PeerTraffic
{
    std::string_view type;
    std::size_t bytes = 0;
};

// An item of the control thread's queue, with the peer traffic that the control thread adds to the counters.
struct QueueItem
{
    std::variant<core::Event, AdminCall> content;
    PeerTraffic traffic;
};

core::Now readClocks()
{
    using std::chrono::duration_cast;
    const auto mono = Clock::now().time_since_epoch();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {duration_cast<std::chrono::microseconds>(mono).count(),
            duration_cast<std::chrono::milliseconds>(wall).count()};
}

double readCpuSeconds(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Adds a random incarnation and seed for this run of the process.
core::CoreSettings makeCoreSettings(core::CoreSettings settings)
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> distribution(1);
    settings.self.incarnation = core::Incarnation{distribution(device)};
    settings.seed = distribution(device);
    return settings;
}

// Replaces an answer that exceeds the maximum frame size by a failure with reason AnswerDropped. Returns false for
// other message types, which have no replacement.
bool replaceOversizedAnswer(core::PeerMessage &message)
{
    auto *result = std::get_if<core::SubmitResult>(&message);
    if (result == nullptr)
        return false;
    result->answer = {core::AnswerKind::Failed,
                      core::Statement::None,
                      core::Effects::Possible,
                      core::Reason::AnswerDropped,
                      {},
                      "the answer is larger than a peer message"};
    return true;
}

net::HttpServerSettings makeServerSettings(const config::ProcessSettings &settings)
{
    net::HttpServerSettings server;
    server.address = settings.callerAddress;
    server.maxBodyBytes = settings.maxBodyBytes;
    server.maxHeaderBytes = settings.maxHeaderBytes;
    server.threads = settings.ioThreads;
    limitCallerServer(server, settings.requests);
    return server;
}

// Covers the deduplication horizon and the progress step: entry VMs that differ in these settings would derive
// different owners from the same log, so their links are refused like those of another protocol version.
std::uint32_t computeProtocolVersion(const core::CoreSettings &core)
{
    const std::string versionText =
            absl::StrCat(net::peerProtocolVersion, "/", core.dedupeHorizonMs, "/", core.maxProgressStepMs);
    return XXH32(versionText.data(), versionText.size(), 0);
}

net::PeerLinkSettings makeLinkSettings(const config::ProcessSettings &settings, const core::NodeInfo &self)
{
    net::PeerLinkSettings link;
    link.self = {self.name, self.address, self.zone, raw(self.incarnation)};
    link.listenAddress = settings.peerAddress;
    link.secret = settings.peerSecret;
    link.version = computeProtocolVersion(settings.core);
    link.maxFrameBytes = settings.maxFrameBytes;
    link.maxPendingLinks = settings.requests.maxPendingLinks;
    return link;
}

} // namespace

struct Daemon::State
{
    explicit State(const config::ProcessSettings &processSettings);

    config::ProcessSettings settings;
    core::CoreSettings coreSettings;
    EventQueue<QueueItem> queue;

    // Owned by the control thread.
    core::Dispatcher core;
    core::Actions actions;
    ProcessCounters counters;
    std::int64_t timerUs = INT64_MAX;
    LimitReporter limitReporter;

    // I/O components, each with its own threads.
    net::HttpClient platformHttp;
    std::unique_ptr<logservice::LogClient> log;
    std::unique_ptr<logservice::VmListClient> vmList;
    BackendClient backends;
    std::unique_ptr<net::PeerLinks> links;
    std::unique_ptr<net::HttpServer> server;

    std::atomic<std::uint64_t> badRequests = 0;
    std::atomic<std::uint64_t> vmListFailures = 0;
    std::atomic<std::uint64_t> peerUndecodable = 0;
    std::atomic<bool> serverSet = false;
    std::atomic<bool> drained = false;
    std::atomic<bool> quit = false;
    std::thread control;

    // Called on any thread.
    void post(core::Event &&event) { queue.push({std::move(event), {}}); }
    void onRequest(HttpCall call, net::HttpRequest &&request);
    void onPeerBytes(const net::PeerIdentity &peer, std::string_view bytes);
    net::PeerLinkHandlers makeLinkHandlers();
    logservice::LogClientHandlers makeLogHandlers();
    bool startLinks(std::string &error);
    void startPlatformReads();

    // Called on the control thread.
    void run();
    void handle(QueueItem &&item);
    void handleEvent(core::Event &&event);
    void updateCounters(const core::Event &event);
    void runHousekeeping();
    void answerAdmin(const AdminCall &call);
    void collectCounters();
    void beginDrain();
    void act(core::AnswerCaller &&action);
    void act(core::AnswerKeys &&action);
    void act(core::AnswerTrace &&action);
    void act(core::StartAttempt &&action) { backends.start(std::move(action)); }
    void act(core::StopAttempt &&action) { backends.stop(action); }
    void act(core::QueryAttempt &&action) { backends.query(action); }
    void act(core::ProbeBackend &&action) { backends.probe(action); }
    void act(core::SendPeer &&action);
    void act(core::ConnectPeer &&action) { links->connect(action.node.name, action.node.address); }
    void act(core::DisconnectPeer &&action) { links->disconnect(std::move(action.node)); }
    void act(core::AppendLog &&action) { log->append(action.append, action.stream, action.body); }
    void act(core::SeekLog &&action) { log->follow(action.stream, action.offset); }
    void act(core::SetTimer &&action) { timerUs = action.monoUs; }
    void act(core::Notice &&action) { dispatcher::log(action.level, action.part, action.text); }
    void act(core::DrainFinished &&action);
};

Daemon::State::State(const config::ProcessSettings &processSettings)
    : settings(processSettings), coreSettings(makeCoreSettings(processSettings.core)), core(coreSettings),
      platformHttp({.maxHostConnections = platformConnections, .maxAnswerBytes = 64u << 20}),
      backends([this](core::Event &&event) { post(std::move(event)); })
{}

// I/O threads ---------------------------------------------------------------------------------------

void Daemon::State::onRequest(HttpCall call, net::HttpRequest &&request)
{
    serverSet.wait(false); // requests may arrive before Daemon::start() has set server
    RoutedRequest routed = routeRequest(core::CallerId{core::raw(call)}, std::move(request), {settings.maxTasks});
    if (auto *event = std::get_if<core::Event>(&routed)) {
        post(std::move(*event));
    } else if (const auto *admin = std::get_if<AdminRequest>(&routed)) {
        queue.push({AdminCall{call, *admin}, {}});
    } else {
        auto &answer = std::get<net::HttpAnswer>(routed);
        badRequests += answer.status >= 400 ? 1 : 0;
        server->answer(call, std::move(answer));
    }
}

void Daemon::State::onPeerBytes(const net::PeerIdentity &peer, std::string_view bytes)
{
    auto message = net::decodePeerMessage(bytes);
    if (!message) {
        ++peerUndecodable;
        dispatcher::log(NoticeLevel::Warning, "peers",
                        "undecodable message dropped node=" + peer.node + " place=" + message.error().place
                                + " detail=" + message.error().detail);
        return;
    }
    const PeerTraffic traffic{net::peerMessageName(*message), bytes.size()};
    queue.push(
            {core::PeerMessageReceived{peer.node, core::Incarnation{peer.incarnation}, *std::move(message)}, traffic});
}

net::PeerLinkHandlers Daemon::State::makeLinkHandlers()
{
    return {[this](const net::PeerIdentity &peer) {
                dispatcher::log(NoticeLevel::Info, "peers", "connected node=" + peer.node + " address=" + peer.address);
                post(core::PeerConnected{{peer.node, peer.address, peer.zone, core::Incarnation{peer.incarnation}}});
            },
            [this](const std::string &node) {
                dispatcher::log(NoticeLevel::Info, "peers", "disconnected node=" + node);
                post(core::PeerDisconnected{node});
            },
            [this](const net::PeerIdentity &peer, std::string &&bytes) { onPeerBytes(peer, bytes); }};
}

logservice::LogClientHandlers Daemon::State::makeLogHandlers()
{
    return {[this](core::LogRead &&read) { post(std::move(read)); },
            [this](core::LogUnavailable unavailable) { post(unavailable); },
            [this](core::AppendEnded ended) { post(ended); }};
}

bool Daemon::State::startLinks(std::string &error)
{
    links = net::PeerLinks::start(makeLinkSettings(settings, coreSettings.self), makeLinkHandlers(), error);
    return links != nullptr;
}

void Daemon::State::startPlatformReads()
{
    log->follow(core::Stream::Ownership, 0);
    log->follow(core::Stream::Config, 0);
    vmList = std::make_unique<logservice::VmListClient>(
            logservice::VmListSettings{settings.vmListUrl, settings.vmListIntervalMs}, platformHttp,
            [this](core::VmListRead &&read) { post(std::move(read)); },
            [this](std::string_view reason) {
                if (quit)
                    return; // the shutdown cancelled the read
                ++vmListFailures;
                dispatcher::log(NoticeLevel::Warning, "platform",
                                std::string("cannot read VM list detail=").append(reason));
            });
}

// Control thread ------------------------------------------------------------------------------------

void Daemon::State::run()
{
    std::vector<QueueItem> items;
    auto housekeepingDue = Clock::now();
    handleEvent(core::TimerFired{});
    while (!quit) {
        const auto timerDue =
                timerUs == INT64_MAX ? housekeepingDue : Clock::time_point(std::chrono::microseconds(timerUs));
        queue.take(items, std::min(housekeepingDue, timerDue));
        for (QueueItem &item : items)
            handle(std::move(item));
        if (readClocks().monoUs >= timerUs) {
            timerUs = INT64_MAX;
            handleEvent(core::TimerFired{});
        }
        if (Clock::now() >= housekeepingDue) {
            runHousekeeping();
            housekeepingDue = Clock::now() + housekeepingInterval;
        }
    }
}

void Daemon::State::handle(QueueItem &&item)
{
    if (!item.traffic.type.empty()) {
        Traffic &traffic = counters.peerReceived[item.traffic.type];
        ++traffic.messages;
        traffic.bytes += item.traffic.bytes;
    }
    if (const auto *admin = std::get_if<AdminCall>(&item.content)) {
        answerAdmin(*admin);
        return;
    }
    auto &event = std::get<core::Event>(item.content);
    const auto *submission = std::get_if<core::SubmitJob>(&event);
    const HttpCall call{submission != nullptr ? core::raw(submission->caller) : 0};
    handleEvent(std::move(event));
    if (submission != nullptr)
        server->release(call);
}

void Daemon::State::handleEvent(core::Event &&event)
{
    updateCounters(event);
    actions.clear();
    core.handle(readClocks(), std::move(event), actions);
    for (core::Action &action : actions)
        std::visit([this](auto &&alternative) { act(std::forward<decltype(alternative)>(alternative)); },
                   std::move(action));
}

// Updates the counters that the core does not keep.
void Daemon::State::updateCounters(const core::Event &event)
{
    if (const auto *read = std::get_if<core::LogRead>(&event)) {
        if (read->stream == core::Stream::Ownership)
            counters.ownershipNext = read->nextOffset;
    } else if (std::holds_alternative<core::LogUnavailable>(event)) {
        ++counters.logFailures;
    } else if (const auto *ended = std::get_if<core::AppendEnded>(&event)) {
        counters.appendsAppended += ended->outcome == core::AppendOutcome::Appended ? 1 : 0;
        counters.appendsRefused += ended->outcome == core::AppendOutcome::Refused ? 1 : 0;
        counters.appendsUnknown += ended->outcome == core::AppendOutcome::Unknown ? 1 : 0;
    }
}

void Daemon::State::runHousekeeping()
{
    for (const HttpCall call : server->takeClosedCalls()) {
        ++counters.callersGone;
        handleEvent(core::CallerGone{core::CallerId{core::raw(call)}});
    }
    backends.shareConnections(static_cast<std::uint32_t>(core.membership().live().size()));
    const std::int64_t nowMs = readClocks().monoUs / 1000;
    if (limitReporter.isDue(nowMs))
        limitReporter.report(nowMs, std::array{ServerUsage{"callers", server->usage()}});
}

void Daemon::State::answerAdmin(const AdminCall &call)
{
    net::HttpAnswer answer;
    switch (call.request) {
    case AdminRequest::Ready:
        answer = makeReadyAnswer(core);
        break;
    case AdminRequest::Status:
        answer = makeStatusAnswer(
                core, {CLEMENTINELIFT_VERSION, coreSettings.self, counters.ownershipNext, readClocks().wallMs});
        break;
    case AdminRequest::Config:
        answer = makeConfigAnswer(core.configuration());
        break;
    case AdminRequest::Metrics:
        collectCounters();
        answer.body = writeMetrics(core, links->counters(), server->usage(), counters, readClocks().wallMs);
        answer.contentType = "text/plain; version=0.0.4";
        break;
    case AdminRequest::Drain:
        beginDrain();
        answer = {202, R"({"draining":true})"};
        break;
    }
    server->answer(call.call, std::move(answer));
}

void Daemon::State::collectCounters()
{
    counters.platformBytes = platformHttp.bytesSent() + platformHttp.bytesReceived();
    counters.backendControlBytes = backends.controlBytes();
    counters.logUndecodableRecords = log->undecodableRecords();
    counters.vmListFailures = vmListFailures;
    counters.peerUndecodable = peerUndecodable;
    counters.badRequests = badRequests;
    counters.controlCpuS = readCpuSeconds(CLOCK_THREAD_CPUTIME_ID);
    counters.processCpuS = readCpuSeconds(CLOCK_PROCESS_CPUTIME_ID);
}

void Daemon::State::beginDrain()
{
    server->disableKeepAlive();
    handleEvent(core::BeginDrain{});
}

// Actions -------------------------------------------------------------------------------------------

void Daemon::State::act(core::AnswerCaller &&action)
{
    server->answer(HttpCall{core::raw(action.caller)}, net::encodeAnswer(action.answer));
}

void Daemon::State::act(core::AnswerKeys &&action)
{
    server->answer(HttpCall{core::raw(action.caller)}, net::encodeKeys(action));
}

void Daemon::State::act(core::AnswerTrace &&action)
{
    server->answer(HttpCall{core::raw(action.caller)}, net::encodeTrace(action));
}

void Daemon::State::act(core::SendPeer &&action)
{
    std::string bytes = net::encodePeerMessage(action.message);
    if (bytes.size() > settings.maxFrameBytes) {
        // The peer would close the link on a frame this large, again after each retransmission.
        dispatcher::log(NoticeLevel::Warning, "peers",
                        "message exceeds the frame limit node=" + action.node
                                + " bytes=" + std::to_string(bytes.size()));
        if (!replaceOversizedAnswer(action.message))
            return;
        bytes = net::encodePeerMessage(action.message);
    }
    Traffic &traffic = counters.peerSent[net::peerMessageName(action.message)];
    ++traffic.messages;
    traffic.bytes += bytes.size();
    links->send(std::move(action.node), std::move(bytes));
}

void Daemon::State::act(core::DrainFinished &&)
{
    drained = true;
}

// Public interface ----------------------------------------------------------------------------------

Daemon::Daemon(std::unique_ptr<State> state) : m_state(std::move(state)) {}

tl::expected<std::unique_ptr<Daemon>, std::string> Daemon::start(const config::ProcessSettings &settings)
{
    auto owned = std::make_unique<State>(settings);
    State *state = owned.get();
    std::string error;
    if (!state->startLinks(error))
        return tl::unexpected("peer links: " + error);
    state->log = std::make_unique<logservice::LogClient>(logservice::LogClientSettings{.url = settings.logServiceUrl},
                                                         state->platformHttp, state->makeLogHandlers());

    auto server =
            net::HttpServer::start(makeServerSettings(settings), [state](HttpCall call, net::HttpRequest &&request) {
                state->onRequest(call, std::move(request));
            });
    if (!server)
        return tl::unexpected("caller interface: " + server.error());
    state->server = *std::move(server);
    state->serverSet = true;
    state->serverSet.notify_all();
    state->startPlatformReads();
    state->control = std::thread([state] { state->run(); });
    log(NoticeLevel::Info, "process",
        "started node=" + settings.core.self.name + " zone=" + settings.core.self.zone + " callers="
                + settings.callerAddress + " peers=" + settings.peerAddress + " version=" CLEMENTINELIFT_VERSION);
    return std::unique_ptr<Daemon>(new Daemon(std::move(owned)));
}

// Stops in this order: the caller server after delivering pending answers, the control thread, which may still produce
// answers, then the components that only post events to the control thread.
Daemon::~Daemon()
{
    State &state = *m_state;
    state.server->stop(deliveryTimeoutMs);
    state.quit = true;
    state.post(core::TimerFired{});
    state.control.join();
    state.platformHttp.stop();
    state.backends.close();
    state.links->stop();
    log(NoticeLevel::Info, "process", "stopped");
}

void Daemon::drain()
{
    m_state->queue.push({AdminCall{HttpCall{}, AdminRequest::Drain}, {}});
}

bool Daemon::isDrained() const
{
    return m_state->drained;
}

} // namespace clementinelift::dispatcher
