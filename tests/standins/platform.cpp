#include "standins/platform.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>

namespace clementinelift::standins {

namespace {

constexpr std::int64_t usPerMs = 1000;
constexpr std::int64_t maxSleepUs = 50 * usPerMs;
constexpr std::size_t defaultReadMax = 1000;
constexpr std::size_t maxDescribedTasks = 10; // doubled tasks listed in the answer of an audit
constexpr std::string_view streamsPrefix = "/v1/streams/";
constexpr std::string_view recordsSuffix = "/records";
constexpr std::string_view tasksPrefix = "/v1/tasks/";

std::int64_t monotonicUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

std::int64_t parseNumberOr(std::string_view text, std::int64_t fallback)
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &value) ? value : fallback;
}

net::HttpAnswer jsonAnswer(int status, const nlohmann::json &body)
{
    return {status, body.dump()};
}

net::HttpAnswer errorAnswer(int status, std::string_view detail)
{
    return jsonAnswer(status, {{"error", "stand-in"}, {"detail", detail}});
}

net::HttpAnswer answerForEndedTask(const EndedTask &task)
{
    return {task.state == EndState::Completed ? 200 : 500,
            task.result,
            "text/plain",
            {{"X-Service-Us", std::to_string(task.serviceUs)}}};
}

nlohmann::json toJson(const AuditCounts &counts)
{
    return {{"starts", counts.starts},
            {"tasks", counts.tasks},
            {"doubled", counts.doubled()},
            {"repeat_never_doubled", counts.repeatNeverDoubled},
            {"overlap_same_vm", counts.overlapSameVm},
            {"overlap_other_vm", counts.overlapOtherVm},
            {"attempts_reused", counts.attemptsReused}};
}

nlohmann::json toJson(const BackendCounts &counts)
{
    return {{"starts", counts.starts},
            {"completed", counts.completed},
            {"failed", counts.failed},
            {"lost", counts.lost},
            {"busy", counts.busy},
            {"stops", counts.stops},
            {"queries", counts.queries},
            {"probes", counts.probes},
            {"lease_ends", counts.leaseEnds},
            {"late_starts", counts.lateStarts},
            {"most_running", counts.mostRunning}};
}

std::optional<BackendMode> parseMode(std::string_view text)
{
    if (text == "normal")
        return BackendMode::Normal;
    if (text == "fail")
        return BackendMode::FailEverything;
    if (text == "busy")
        return BackendMode::Busy;
    if (text == "crashed")
        return BackendMode::Crashed;
    return std::nullopt;
}

} // namespace

std::vector<BackendSpec> planBackends(const PlatformOptions &options)
{
    std::vector<BackendSpec> specs;
    std::mt19937_64 random(options.seed);
    std::uniform_real_distribution<double> logSpeed(std::log(options.minSpeed), std::log(options.maxSpeed));
    std::vector<std::uint32_t> inZone(options.zones);
    for (std::uint32_t i = 0; i < options.backends; ++i) {
        const std::uint32_t zone = i % options.zones;
        const std::uint32_t rack = inZone[zone]++ / options.perRack;
        BackendSpec spec;
        spec.name = "b-" + std::to_string(i + 1);
        spec.zone = "z" + std::to_string(zone + 1);
        spec.rack = spec.zone + "-r" + std::to_string(rack + 1);
        // A feed supplies one rack of each zone, so that racks alone do not tell which backend servers fail together.
        spec.feed = "f" + std::to_string(rack + 1);
        spec.speed = std::exp(logSpeed(random));
        spec.slots = options.slots;
        spec.connections = options.connections;
        specs.push_back(std::move(spec));
    }
    return specs;
}

Platform::Platform(const PlatformOptions &options)
    : m_log(options.log), m_pool(planBackends(options), options.stragglers, options.seed),
      m_vmList(options.listLagMs * usPerMs), m_taskCalls(options.backends)
{
    for (const ListedVm &vm : options.entryVms)
        m_vmList.put(vm, monotonicUs());
}

Platform::~Platform()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_timer.joinable())
        m_timer.join();
    if (m_server)
        m_server->stop(0);
    for (const auto &server : m_backendServers) {
        if (server != nullptr)
            server->stop(0);
    }
}

tl::expected<void, std::string> Platform::start(const std::string &address)
{
    m_backendServers.resize(m_pool.size());
    for (std::size_t i = 0; i < m_pool.size(); ++i) {
        if (auto listening = listen(i); !listening)
            return listening;
        const BackendSpec &spec = m_pool.spec(i);
        m_vmList.put({spec.name, true, spec.address, spec.zone, spec.rack, false, spec.slots, spec.connections,
                      spec.cores, spec.memoryMb},
                     monotonicUs());
    }
    net::HttpServerSettings settings;
    settings.address = address;
    auto started = net::HttpServer::start(settings, [this](net::HttpCall call, net::HttpRequest &&request) {
        handlePlatform(call, std::move(request));
    });
    if (!started)
        return tl::unexpected(started.error());
    m_server = std::move(*started);
    m_timer = std::thread([this] { runTimer(); });
    return {};
}

std::shared_ptr<net::HttpServer> Platform::backendServer(std::size_t backend)
{
    const std::lock_guard lock(m_serverMutex);
    return m_backendServers[backend];
}

tl::expected<void, std::string> Platform::listen(std::size_t backend)
{
    net::HttpServerSettings settings;
    {
        const std::lock_guard lock(m_mutex);
        const BackendSpec &spec = m_pool.spec(backend);
        settings.address = spec.address.empty() ? settings.address : spec.address;
        settings.maxConnections = spec.connections;
        settings.threads = 1;
    }
    auto started = net::HttpServer::start(settings, [this, backend](net::HttpCall call, net::HttpRequest &&request) {
        handleBackend(backend, call, std::move(request));
    });
    if (!started)
        return tl::unexpected(started.error());
    const std::lock_guard serverLock(m_serverMutex);
    const std::lock_guard lock(m_mutex);
    m_backendServers[backend] = std::move(*started);
    m_pool.setAddress(backend, "127.0.0.1:" + std::to_string(m_backendServers[backend]->port()));
    return {};
}

std::string Platform::updateListening(std::size_t backend)
{
    bool crashed = false;
    std::map<std::string, net::HttpCall> calls;
    {
        const std::lock_guard lock(m_mutex);
        crashed = m_pool.isCrashed(backend);
        if (crashed)
            calls.swap(m_taskCalls[backend]);
    }
    const auto server = backendServer(backend);
    if (crashed && server != nullptr) {
        // Before the stop, which answers 503 to what is still open.
        for (const auto &[attempt, call] : calls)
            server->drop(call);
        server->stop(0);
        const std::lock_guard lock(m_serverMutex);
        m_backendServers[backend].reset();
    } else if (!crashed && server == nullptr) {
        if (const auto listening = listen(backend); !listening)
            return listening.error();
    }
    return {};
}

// Platform requests ---------------------------------------------------------------------------------

void Platform::handlePlatform(net::HttpCall call, net::HttpRequest &&request)
{
    const std::string_view path = request.path;
    if (path.starts_with(streamsPrefix) && path.ends_with(recordsSuffix)
        && path.size() > streamsPrefix.size() + recordsSuffix.size()) {
        const std::string_view stream =
                path.substr(streamsPrefix.size(), path.size() - streamsPrefix.size() - recordsSuffix.size());
        if (request.method == "POST")
            appendRecord(call, stream, request);
        else
            readRecords(call, stream, request);
        return;
    }
    net::HttpAnswer answer = errorAnswer(404, "unknown path");
    if (path == "/v1/vms")
        answer = answerVms(request);
    else if (path == "/control" && request.method == "POST")
        answer = answerControl(request.body);
    else if (path == "/control/audit" && request.method == "POST")
        answer = answerAudit(request.body);
    else if (path == "/control") {
        const std::lock_guard lock(m_mutex);
        answer = jsonAnswer(200, describe());
    }
    m_server->answer(call, std::move(answer));
}

void Platform::appendRecord(net::HttpCall call, std::string_view stream, const net::HttpRequest &request)
{
    net::HttpAnswer answer;
    {
        const std::lock_guard lock(m_mutex);
        const AppendResult result = m_log.append(stream, request.body, monotonicUs(), wallMs());
        if (result.status == AppendStatus::Appended) {
            Reply reply{0, call, jsonAnswer(200, {{"offset", result.offset}}), result.answerLost};
            m_timedReplies.push_back({result.readyUs, std::move(reply)});
            m_changed = true;
            m_wake.notify_all();
            return;
        }
        answer = result.status == AppendStatus::OverLimit ? errorAnswer(429, "over the append limit")
                                                          : errorAnswer(503, "outage");
    }
    m_server->answer(call, std::move(answer));
}

void Platform::readRecords(net::HttpCall call, std::string_view stream, const net::HttpRequest &request)
{
    net::HttpAnswer answer;
    {
        const std::lock_guard lock(m_mutex);
        const std::int64_t nowUs = monotonicUs();
        WaitingRead read;
        read.call = call;
        read.stream = stream;
        read.from = parseNumberOr(net::findField(request.query, "from"), 0);
        read.max = static_cast<std::size_t>(parseNumberOr(net::findField(request.query, "max"), defaultReadMax));
        read.untilUs = nowUs + parseNumberOr(net::findField(request.query, "wait_ms"), 0) * usPerMs;
        if (read.untilUs > nowUs && !m_log.isInOutage(nowUs) && !m_log.hasRecord(stream, read.from, nowUs)) {
            m_waitingReads.push_back(std::move(read));
            m_changed = true;
            m_wake.notify_all();
            return;
        }
        answer = answerRead(read, nowUs);
    }
    m_server->answer(call, std::move(answer));
}

net::HttpAnswer Platform::answerRead(const WaitingRead &read, std::int64_t nowUs)
{
    const auto result = m_log.read(read.stream, read.from, read.max, nowUs, wallMs());
    if (!result)
        return errorAnswer(503, "outage");
    nlohmann::json records = nlohmann::json::array();
    for (const StoredRecord &record : result->records)
        records.push_back(
                {{"offset", record.offset}, {"time_ms", record.timeMs}, {"data", absl::Base64Escape(record.data)}});
    return jsonAnswer(200, {{"first_available", result->firstAvailable}, {"end", result->end}, {"records", records}});
}

net::HttpAnswer Platform::answerVms(const net::HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t nowUs = monotonicUs();
    nlohmann::json vms = nlohmann::json::array();
    for (const ListedVm &vm : m_vmList.read(nowUs)) {
        nlohmann::json entry = {{"name", vm.name},
                                {"role", vm.isBackend ? "backend" : "entry"},
                                {"address", vm.address},
                                {"zone", vm.zone},
                                {"state", vm.leaving ? "leaving" : "live"}};
        if (vm.isBackend) {
            entry["rack"] = vm.rack;
            entry["slots"] = vm.slots;
            entry["connections"] = vm.connections;
            entry["cores"] = vm.cores;
            entry["memory_mb"] = vm.memoryMb;
            if (vm.leaving)
                m_pool.markListedAsLeaving(*m_pool.find(vm.name), nowUs);
        }
        vms.push_back(std::move(entry));
    }
    net::HttpAnswer answer = jsonAnswer(200, {{"vms", vms}});
    const std::string tag = '"' + std::to_string(std::hash<std::string>()(answer.body)) + '"';
    if (net::findField(request.headers, "If-None-Match") == tag)
        answer = {304, ""};
    answer.headers.emplace_back("ETag", tag);
    return answer;
}

// Control -------------------------------------------------------------------------------------------

net::HttpAnswer Platform::answerControl(const std::string &body)
{
    const auto command = nlohmann::json::parse(body, nullptr, false);
    if (!command.is_object())
        return errorAnswer(400, "the body must be a JSON object");
    const std::lock_guard controlLock(m_controlMutex);
    std::string error;
    std::optional<std::size_t> backend;
    try {
        const std::lock_guard lock(m_mutex);
        error = applyControl(command, monotonicUs());
        if (command.at("op") == "backend")
            backend = m_pool.find(command.value("name", ""));
        m_changed = true;
    } catch (const nlohmann::json::exception &exception) {
        error = exception.what();
    }
    m_wake.notify_all();
    if (error.empty() && backend)
        error = updateListening(*backend);
    return error.empty() ? jsonAnswer(200, {{"ok", true}}) : errorAnswer(400, error);
}

std::string Platform::applyControl(const nlohmann::json &command, std::int64_t nowUs)
{
    const std::string operation = command.at("op").get<std::string>();
    const std::int64_t untilUs = nowUs + command.value("for_ms", std::int64_t{0}) * usPerMs;
    const std::string name = command.value("name", "");
    if (operation == "feed") {
        const FeedFault feedFault{command.value("slowdown", FeedFault{}.slowdown), command.value("fail", 0.0), untilUs};
        return m_pool.setFeedFault(command.value("group", ""), feedFault, nowUs) > 0 ? "" : "no such feed group";
    }
    if (operation == "log_outage") {
        m_log.beginOutage(untilUs);
        return {};
    }
    if (operation == "log_lost_answers") {
        m_log.loseAnswers(command.at("share").get<double>(), untilUs);
        return {};
    }
    if (operation == "log_sync") {
        m_log.changeSyncTime(command.at("sync_ms").get<std::int64_t>() * usPerMs);
        return {};
    }
    if (operation == "backend") {
        const auto backend = m_pool.find(name);
        const auto mode = parseMode(command.at("mode").get<std::string>());
        if (!backend || !mode)
            return "no such backend server or mode";
        m_pool.changeMode(*backend, *mode, nowUs);
        return {};
    }
    if (operation == "leaving") {
        m_vmList.markLeaving(name, nowUs);
        return {};
    }
    if (operation == "remove") {
        m_vmList.remove(name, nowUs);
        return {};
    }
    if (operation == "entry") {
        m_vmList.put({name, false, command.at("address").get<std::string>(), command.at("zone").get<std::string>(), {}},
                     nowUs);
        return {};
    }
    return "unknown operation " + operation;
}

net::HttpAnswer Platform::answerAudit(const std::string &body)
{
    const auto request = nlohmann::json::parse(body, nullptr, false);
    if (!request.is_object())
        return errorAnswer(400, "the body must be a JSON object");
    const std::lock_guard lock(m_mutex);
    nlohmann::json answer = toJson(m_pool.audit().counts());
    answer["running"] = m_pool.running();
    answer["doubled_tasks"] = m_pool.audit().describeDoubled(maxDescribedTasks);
    nlohmann::json started = nlohmann::json::array();
    for (const auto &job : request.value("jobs", nlohmann::json::array())) {
        if (job.is_string() && m_pool.audit().startedTasks(job.get<std::string>()) > 0)
            started.push_back(job);
    }
    answer["started_jobs"] = started;
    return jsonAnswer(200, answer);
}

nlohmann::json Platform::describe() const
{
    nlohmann::json backends = nlohmann::json::array();
    for (std::size_t i = 0; i < m_pool.size(); ++i) {
        const BackendSpec &spec = m_pool.spec(i);
        nlohmann::json entry = toJson(m_pool.counts(i));
        entry["name"] = spec.name;
        entry["address"] = spec.address;
        entry["zone"] = spec.zone;
        entry["rack"] = spec.rack;
        entry["feed"] = spec.feed;
        entry["speed"] = spec.speed;
        backends.push_back(std::move(entry));
    }
    const LogCounts &log = m_log.counts();
    return {{"audit", toJson(m_pool.audit().counts())},
            {"totals", toJson(m_pool.totals())},
            {"running", m_pool.running()},
            {"slots", m_pool.totalSlots()},
            {"log",
             {{"appended", log.appended},
              {"over_limit", log.overLimit},
              {"refused_in_outage", log.refusedInOutage},
              {"answers_lost", log.answersLost},
              {"reads", log.reads}}},
            {"backends", backends}};
}

// Backend requests ----------------------------------------------------------------------------------

void Platform::handleBackend(std::size_t backend, net::HttpCall call, net::HttpRequest &&request)
{
    const std::string_view path = request.path;
    net::HttpAnswer answer = errorAnswer(404, "unknown path");
    bool dropped = false; // a crashed backend server closes the connection
    {
        const std::lock_guard lock(m_mutex);
        const std::int64_t nowUs = monotonicUs();
        if (path == "/healthz") {
            const auto healthy = m_pool.probe(backend);
            dropped = !healthy;
            if (healthy)
                answer = *healthy ? jsonAnswer(200, {{"healthy", true}}) : errorAnswer(503, "unhealthy");
        } else if (path.starts_with(tasksPrefix)) {
            const std::string attempt(path.substr(tasksPrefix.size()));
            if (m_pool.isCrashed(backend)) {
                dropped = true;
            } else if (request.method == "GET") {
                const AttemptStatus known = m_pool.query(backend, attempt);
                answer = jsonAnswer(200, {{"state", known.state}, {"result", known.result}});
            } else if (request.method == "DELETE") {
                const bool stopped = m_pool.stop(backend, attempt, nowUs);
                m_changed = true;
                m_wake.notify_all();
                answer = jsonAnswer(200, {{"stopped", stopped}});
            } else {
                const std::int64_t leaseUs = parseNumberOr(net::findField(request.headers, "X-Lease-Ms"), 0) * usPerMs;
                const StartStatus status = m_pool.start(backend, attempt, request.body, leaseUs, nowUs);
                if (status == StartStatus::Started) {
                    m_taskCalls[backend].insert_or_assign(attempt, call);
                    m_changed = true;
                    m_wake.notify_all();
                }
                if (status == StartStatus::Started)
                    return; // answered at the end of the task
                dropped = status != StartStatus::Busy;
                answer = {503, "busy", "text/plain", {{"X-Not-Started", "busy"}}};
            }
        }
    }
    const auto server = backendServer(backend);
    if (server == nullptr)
        return;
    if (dropped)
        server->drop(call);
    else
        server->answer(call, std::move(answer));
}

// Timer ---------------------------------------------------------------------------------------------

void Platform::runTimer()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const std::int64_t nowUs = monotonicUs();
        std::vector<Reply> replies;
        m_changed = false;
        const std::int64_t nextUs = collectDueReplies(nowUs, replies);
        if (!replies.empty()) {
            lock.unlock();
            deliver(replies);
            lock.lock();
            continue;
        }
        const auto sleep = std::chrono::microseconds(std::clamp<std::int64_t>(nextUs - nowUs, 0, maxSleepUs));
        m_wake.wait_for(lock, sleep, [this] { return m_stopping || m_changed; });
    }
}

std::int64_t Platform::collectDueReplies(std::int64_t nowUs, std::vector<Reply> &replies)
{
    for (const EndedTask &task : m_pool.advance(nowUs)) {
        const auto call = m_taskCalls[task.backend].extract(task.attempt);
        if (!call.empty())
            replies.push_back(
                    {task.backend + 1, call.mapped(), answerForEndedTask(task), task.state == EndState::Lost});
    }
    std::int64_t nextUs = m_pool.nextEndUs();
    std::erase_if(m_timedReplies, [&](TimedReply &timed) {
        if (timed.atUs > nowUs) {
            nextUs = std::min(nextUs, timed.atUs);
            return false;
        }
        replies.push_back(std::move(timed.reply));
        return true;
    });
    std::erase_if(m_waitingReads, [&](const WaitingRead &read) {
        if (read.untilUs > nowUs && !m_log.isInOutage(nowUs) && !m_log.hasRecord(read.stream, read.from, nowUs)) {
            nextUs = std::min(nextUs, read.untilUs);
            return false;
        }
        replies.push_back({0, read.call, answerRead(read, nowUs), false});
        return true;
    });
    return nextUs;
}

void Platform::deliver(std::vector<Reply> &replies)
{
    for (Reply &reply : replies) {
        if (reply.server == 0) {
            if (reply.dropped)
                m_server->drop(reply.call);
            else
                m_server->answer(reply.call, std::move(reply.answer));
            continue;
        }
        const auto server = backendServer(reply.server - 1);
        if (server != nullptr && reply.dropped)
            server->drop(reply.call);
        else if (server != nullptr)
            server->answer(reply.call, std::move(reply.answer));
    }
}

} // namespace clementinelift::standins
