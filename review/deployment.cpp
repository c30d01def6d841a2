#include "review/deployment.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

namespace clementinelift::review {

using Json = nlohmann::json;
using net::HttpAnswer;

namespace {

constexpr std::int64_t maxLeaseMs = 1000; // holdMaxMs
constexpr std::int64_t serverMilliCores = 32000;
constexpr std::int64_t taskMilliCores = 14000;
constexpr std::chrono::milliseconds heartbeat(1500); // heartbeatMs

std::string configuration(int version, const std::map<std::string, std::string> &serviceOfPrefix,
                          const std::vector<std::string> &serviceNames)
{
    Json routes = Json::array();
    for (const auto &[prefix, service] : serviceOfPrefix)
        routes.push_back(Json{{"name", "r" + std::to_string(routes.size())},
                              {"host", "shop.example"},
                              {"pathPrefix", prefix},
                              {"service", service},
                              {"timeoutMs", 30000},
                              {"targetCompletionMs", 60},
                              {"priority", 0},
                              {"maxAttempts", 3},
                              {"stretch", 1.6}});
    Json services = Json::array();
    for (const std::string &name : serviceNames)
        services.push_back(Json{{"name", name}, {"rejectsOverload", true}});
    return Json{{"version", version}, {"routes", routes}, {"services", services}, {"limits", Json::object()}}.dump();
}

} // namespace

bool waitUntil(std::chrono::milliseconds longest, const std::function<bool()> &condition)
{
    const auto end = Clock::now() + longest;
    while (!condition()) {
        if (Clock::now() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

// Record --------------------------------------------------------------------------------------------

Record::Record(const std::string &file) : m_file(std::fopen(file.c_str(), "w")) {}

Record::~Record()
{
    if (m_file != nullptr)
        std::fclose(m_file);
}

std::int64_t Record::nowMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    if (m_file == nullptr)
        return;
    std::fprintf(m_file, "%7lld %s\n", static_cast<long long>(nowMs()), text.c_str());
    std::fflush(m_file);
}

void Record::runBegins(const std::string &task, std::uint32_t run, const std::string &server)
{
    line("run begins task=" + task + " run=" + std::to_string(run) + " server=" + server);
    const std::lock_guard lock(m_mutex);
    m_firstRuns.try_emplace(task.substr(0, task.find('.')), FirstRun{nowMs(), server});
}

std::map<std::string, Record::FirstRun> Record::firstRuns()
{
    const std::lock_guard lock(m_mutex);
    return m_firstRuns;
}

std::int64_t Record::firstRunMs(const std::string &idPrefix)
{
    const std::lock_guard lock(m_mutex);
    std::int64_t first = -1;
    for (const auto &[job, run] : m_firstRuns) {
        if (job.starts_with(idPrefix) && (first < 0 || run.ms < first))
            first = run.ms;
    }
    return first;
}

// BackendServer -------------------------------------------------------------------------------------

BackendServer::BackendServer(std::string id, std::string zone, std::string service, Record &record)
    : m_id(std::move(id)), m_zone(std::move(zone)), m_service(std::move(service)), m_record(record),
      m_bornMs(
              std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                      .count())
{}

bool BackendServer::listen(const std::string &address, std::string &error)
{
    m_address = address;
    net::HttpServerSettings settings;
    settings.address = address;
    settings.threads = 1;
    const std::lock_guard lock(m_mutex); // requests are handled only after m_server is set
    auto server = net::HttpServer::start(
            settings, [this](net::HttpCall call, net::HttpRequest &&request) { handle(call, std::move(request)); });
    if (!server) {
        error = server.error();
        return false;
    }
    m_server = *std::move(server);
    return true;
}

std::string BackendServer::registryEntry() const
{
    return Json{{"service", m_service},
                {"address", m_address},
                {"zone", m_zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"capacity", {{"cpu", serverMilliCores}, {"memMb", 131072}, {"gpu", 0}}},
                {"labels", {"a", m_zone + "-r1"}},
                {"born", m_bornMs},
                {"seq", 1}}
            .dump();
}

std::int64_t BackendServer::clockMs() const
{
    return 1 + std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_born).count();
}

bool BackendServer::isFenced(std::int64_t token)
{
    if (token < m_token)
        return true;
    m_token = token;
    return false;
}

void BackendServer::extendLease(std::int64_t endMs)
{
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(endMs, clockMs() + maxLeaseMs));
}

HttpAnswer BackendServer::reject(const char *reason) const
{
    return {409, Json{{"clockMs", clockMs()}, {"reason", reason}}.dump()};
}

void BackendServer::handle(net::HttpCall call, net::HttpRequest &&request)
{
    const std::lock_guard lock(m_mutex);
    if (net::findField(request.headers, "X-Clementinelift-Expected-Instance") != m_id)
        m_server->answer(call, {421, "{}"});
    else if (request.path == "/-/run-start")
        m_server->answer(call, start(request.body));
    else if (request.path == "/-/run-stop")
        m_server->answer(call, stop(request.body));
    else if (request.path == "/-/hold")
        hold(call, request.body);
    else
        m_server->answer(call, {404, "{}"});
}

HttpAnswer BackendServer::start(const std::string &text)
{
    const Json body = Json::parse(text);
    const std::string task = body.at("task");
    const std::uint32_t run = body.at("run");
    const std::int64_t leaseEndMs = body.at("deadlineMs");
    if (isFenced(body.value("fencingToken", std::int64_t(0))))
        return reject("fence");
    if (leaseEndMs <= clockMs())
        return reject("late");
    extendLease(leaseEndMs);
    const auto existing = m_runs.find(task);
    if (existing != m_runs.end() && existing->second.number == run)
        return {200, Json{{"clockMs", clockMs()}}.dump()};
    if (existing != m_runs.end() || run <= m_rejectedThrough[task])
        return reject("old");
    if (static_cast<std::int64_t>(m_runs.size() + 1) * taskMilliCores > serverMilliCores)
        return reject("room");
    m_runs[task] = {run, Clock::now() + std::chrono::milliseconds(std::stol(body.at("spec").get<std::string>()))};
    m_record.runBegins(task, run, m_id);
    return {200, Json{{"clockMs", clockMs()}}.dump()};
}

HttpAnswer BackendServer::stop(const std::string &text)
{
    const Json body = Json::parse(text);
    if (isFenced(body.value("fencingToken", std::int64_t(0))))
        return reject("fence");
    const std::string task = body.at("task");
    const std::uint32_t run = body.at("run");
    std::uint32_t &through = m_rejectedThrough[task];
    through = std::max(through, run);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.number <= run)
        endRun(task, "stopped");
    return {200, Json{{"clockMs", clockMs()}}.dump()};
}

void BackendServer::hold(net::HttpCall call, const std::string &text)
{
    const Json body = Json::parse(text);
    if (isFenced(body.value("fencingToken", std::int64_t(0)))) {
        m_server->answer(call, reject("fence"));
        return;
    }
    if (body.contains("deadlineMs"))
        extendLease(body.at("deadlineMs"));
    const auto through = body.at("ackedThrough").get<std::int64_t>();
    std::erase_if(m_ends, [&](const End &end) { return end.number <= through; });
    const std::int64_t waitMs = body.value("waitMs", std::int64_t(0));
    if (waitMs > 0 && m_ends.empty())
        m_holds.push_back({call, Clock::now() + std::chrono::milliseconds(waitMs)});
    else
        m_server->answer(call, lists());
}

HttpAnswer BackendServer::lists() const
{
    Json running = Json::array();
    for (const auto &[task, run] : m_runs)
        running.push_back(Json::array({task, run.number, "", 0, taskMilliCores}));
    Json finished = Json::array();
    for (const End &end : m_ends)
        finished.push_back(Json::array({end.number, end.task, end.run, end.how, ""}));
    return {200, Json{{"clockMs", clockMs()}, {"born", m_bornMs}, {"running", running}, {"finished", finished}}.dump()};
}

void BackendServer::endRun(const std::string &task, const std::string &how)
{
    const std::uint32_t run = m_runs.at(task).number;
    m_runs.erase(task);
    std::uint32_t &through = m_rejectedThrough[task];
    through = std::max(through, run);
    m_ends.push_back({++m_lastEnd, task, run, how});
    m_record.line("run ends task=" + task + " run=" + std::to_string(run) + " how=" + how + " server=" + m_id);
}

void BackendServer::tick()
{
    const std::lock_guard lock(m_mutex);
    const auto now = Clock::now();
    const bool isLeaseExpired = clockMs() >= m_leaseEndMs;
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto &[task, run] : m_runs) {
        if (run.endAt <= now)
            ended.emplace_back(task, "done");
        else if (isLeaseExpired)
            ended.emplace_back(task, "lapsed");
    }
    for (const auto &[task, how] : ended)
        endRun(task, how);
    std::erase_if(m_holds, [&](const Hold &hold) {
        if (m_ends.empty() && hold.expiresAt > now)
            return false;
        m_server->answer(hold.call, lists());
        return true;
    });
}

std::size_t BackendServer::runningTasks(const std::string &job) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(
            m_runs.begin(), m_runs.end(), [&](const auto &entry) { return entry.first.starts_with(job + "."); }));
}

// StoreLink -----------------------------------------------------------------------------------------

namespace {

sockaddr_in makeAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// False when the connection has ended.
bool copyBytes(int from, int to)
{
    char buffer[65536];
    const ssize_t size = recv(from, buffer, sizeof buffer, 0);
    for (ssize_t sent = 0; sent < size;) {
        const ssize_t part = ::send(to, buffer + sent, static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
        if (part <= 0)
            return false;
        sent += part;
    }
    return size > 0;
}

} // namespace

StoreLink::StoreLink(const std::string &ip, std::uint16_t port, const std::string &targetIp)
    : m_port(port), m_targetIp(targetIp), m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = makeAddress(ip, port);
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0 && listen(m_socket, 64) == 0)
        m_accepting = std::thread([this] { acceptAll(); });
}

StoreLink::~StoreLink()
{
    m_stopping = true;
    if (m_accepting.joinable())
        m_accepting.join();
    for (std::thread &thread : m_threads)
        thread.join();
    close(m_socket);
}

void StoreLink::acceptAll()
{
    while (!m_stopping) {
        pollfd ready{m_socket, POLLIN, 0};
        if (poll(&ready, 1, 20) != 1)
            continue;
        const int client = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (client >= 0)
            m_threads.emplace_back([this, client] { forward(client); });
    }
}

void StoreLink::forward(int client)
{
    const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = makeAddress(m_targetIp, m_port);
    const int on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bool isOpen = connect(target, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    while (isOpen && !m_stopping) {
        if (m_isCut) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            continue;
        }
        pollfd sockets[] = {{client, POLLIN, 0}, {target, POLLIN, 0}};
        if (poll(sockets, 2, 20) <= 0 || m_isCut)
            continue;
        isOpen = (sockets[0].revents == 0 || copyBytes(client, target))
                && (sockets[1].revents == 0 || copyBytes(target, client));
    }
    close(client);
    close(target);
}

// Deployment ----------------------------------------------------------------------------------------

Deployment::Deployment(const std::string &directory, Record &record, const std::vector<std::string> &zones,
                       int serversPerZone)
    : m_directory(directory), m_record(record), m_zones(zones), m_serversPerZone(serversPerZone), m_store(8),
      m_probe({8, 64, 1u << 20, 300, 60})
{}

Deployment::~Deployment()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        killVm(i);
    m_probe.stop();
    m_stopping = true;
    if (m_ticker.joinable())
        m_ticker.join();
}

// Host 1 is the store, 2 the backend servers, the following ones are entry VMs.
std::string Deployment::ipOf(std::size_t host) const
{
    return "127." + std::to_string(m_block) + "." + std::to_string(host / 200) + "." + std::to_string(host % 200 + 1);
}

bool Deployment::start(std::string &error)
{
    configure(1, {});
    for (int attempt = 0; attempt < 20 && m_storeServer == nullptr; ++attempt) {
        m_block = 30 + (static_cast<int>(getpid()) + attempt * 7) % 200;
        net::HttpServerSettings settings;
        settings.address = ipOf(1) + ":8169";
        auto server = net::HttpServer::start(settings, [this](net::HttpCall call, net::HttpRequest &&request) {
            while (m_storeRunning == nullptr)
                std::this_thread::yield();
            m_store.handle(*m_storeRunning, call, std::move(request));
        });
        if (!server) {
            error = server.error();
            continue;
        }
        m_storeServer = *std::move(server);
        m_storeRunning = m_storeServer.get();
    }
    if (m_storeServer == nullptr)
        return false;
    int number = 0;
    const int count = m_serversPerZone * static_cast<int>(m_services.size());
    for (const std::string &zone : m_zones) {
        for (int i = 0; i < count; ++i, ++number) {
            const std::string &service = m_services[static_cast<std::size_t>(i / m_serversPerZone)];
            auto &server = m_servers.emplace_back(
                    std::make_unique<BackendServer>(service + "-" + std::to_string(number), zone, service, m_record));
            if (!server->listen(ipOf(2) + ":" + std::to_string(8200 + number), error))
                return false;
            m_store.put("keyed.servers", server->id(), server->registryEntry());
        }
    }
    // Renewals are spread evenly over the interval.
    const auto now = Clock::now();
    for (std::size_t i = 0; i < m_servers.size(); ++i)
        m_registrations.push_back({now + heartbeat * (i + 1) / m_servers.size(), now, true});
    m_ticker = std::thread([this] {
        while (!m_stopping) {
            m_store.tick(*m_storeServer);
            for (auto &server : m_servers)
                server->tick();
            renewEntries();
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    });
    return true;
}

// Renewals of entries that are listed change nothing but their counter, so they are not written here.
void Deployment::renewEntries()
{
    const auto now = Clock::now();
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        Registration &registration = m_registrations[i];
        if (now >= registration.renewAt) {
            registration.renewAt += heartbeat;
            if (!m_isStoreDown) {
                registration.renewedAt = now;
                if (!std::exchange(registration.isListed, true)) {
                    m_store.put("keyed.servers", m_servers[i]->id(), m_servers[i]->registryEntry());
                    m_record.line("backend server registered again server=" + m_servers[i]->id());
                }
            }
        }
        if (registration.isListed && now - registration.renewedAt > 3 * heartbeat) {
            registration.isListed = false;
            m_store.put("keyed.servers", m_servers[i]->id(), "");
            m_record.line("entry expired server=" + m_servers[i]->id());
        }
    }
}

void Deployment::setStoreDown(bool isDown)
{
    m_isStoreDown = isDown;
    m_store.setDown(isDown);
    m_record.line(isDown ? "store is down" : "store is back");
}

void Deployment::configure(int version, const std::map<std::string, std::string> &moreRoutes)
{
    std::map<std::string, std::string> routes{{"/q/", m_services.front()}};
    routes.insert(moreRoutes.begin(), moreRoutes.end());
    m_store.put("keyed.op", "config", configuration(version, routes, m_services));
    m_record.line("configuration acknowledged version=" + std::to_string(version));
}

std::size_t Deployment::addVm(const std::string &name, const std::string &zone, double cpuShare)
{
    m_vms.push_back({name, zone, cpuShare, ipOf(m_vms.size() + 3), ipOf(1), 0});
    writeSettings(m_vms.back());
    return m_vms.size() - 1;
}

std::size_t Deployment::addVmWithLink(const std::string &name, const std::string &zone, double cpuShare)
{
    const std::size_t index = addVm(name, zone, cpuShare);
    EntryVm &vm = m_vms[index];
    vm.storeIp = vm.ip;
    m_links[index] = std::make_unique<StoreLink>(vm.ip, std::uint16_t(8169), ipOf(1));
    writeSettings(vm);
    return index;
}

void Deployment::cutFromStore(std::size_t index, bool isCut)
{
    m_links.at(index)->setCut(isCut);
    m_record.line((isCut ? "cut from the store: " : "reaches the store again: ") + m_vms[index].name);
}

// As in DEPLOY.md, without the fields of matters that are not open.
void Deployment::writeSettings(const EntryVm &vm) const
{
    Json zones = Json::object();
    for (const std::string &zone : m_zones)
        zones[zone] = "region";
    const Json settings{{"node", vm.name},
                        {"role", "entry"},
                        {"machineClass", "front"},
                        {"serves", {"front"}},
                        {"ip", vm.ip},
                        {"zone", vm.zone},
                        {"region", "region"},
                        {"zones", zones},
                        {"listen", {{"front", vm.ip + ":8161"}, {"ready", vm.ip + ":8167"}}},
                        {"internalPorts", {7720, 7735}},
                        {"seeds", Json::array()},
                        {"bootstrap", false},
                        {"lossCounts", false},
                        {"limits",
                         {{"cpuShare", vm.cpuShare},
                          {"cores", 1},
                          {"memoryMb", 260},
                          {"maxFds", 4100},
                          {"linkMbps", 1000.0},
                          {"diskMb", 0}}},
                        {"dataDir", nullptr},
                        {"discovery", "platform"},
                        {"entry", "vip"},
                        {"heartbeatMs", 1500},
                        {"faultTolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
                        {"bounds",
                         {{"stableWindowMs", 3000},
                          {"ackTimeoutMs", 4000},
                          {"drainMs", 2000},
                          {"graceS", 6},
                          {"lossSlackMs", 200},
                          {"configApplyMs", 2000},
                          {"recoveryS", 12},
                          {"holdMaxMs", maxLeaseMs},
                          {"stopMs", 50},
                          {"cancel_ms", 3000},
                          {"leaseMs", 3000},
                          {"resendMs", 1300}}},
                        {"orders", "rpc"},
                        {"platform",
                         {{"address", vm.storeIp + ":8169"},
                          {"form", "log"},
                          {"writesPerS", 600},
                          {"readsPerS", 2000},
                          {"parts", 8},
                          {"ttlMinMs", 1000}}}};
    std::ofstream(m_directory + "/" + vm.name + ".json") << settings.dump(2) << '\n';
}

// With the command of the deploy file, in the folder of the repository.
void Deployment::startVm(std::size_t index)
{
    EntryVm &vm = m_vms[index];
    const std::string log = m_directory + "/" + vm.name + ".log";
    const std::string boot = "CLEMENTINELIFT_BOOT=" + m_directory + "/" + vm.name + ".json";
    const char *path = std::getenv("PATH");
    const std::string pathVariable = std::string("PATH=") + (path != nullptr ? path : "/usr/bin:/bin");
    m_record.line("entry VM starts node=" + vm.name + " ip=" + vm.ip);
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(out, 1);
        dup2(out, 2);
        for (int fd = 3; fd < 1024; ++fd)
            close(fd);
        const char *const arguments[] = {"target/bin/clementinelift", "--platform", "--metrics-port", "9464", nullptr};
        const char *const environment[] = {boot.c_str(), pathVariable.c_str(), "HOME=/", nullptr};
        execve(arguments[0], const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
        _exit(127);
    }
    vm.pid = pid;
}

void Deployment::signalVm(std::size_t index, int signal)
{
    if (m_vms[index].pid > 0)
        kill(m_vms[index].pid, signal);
}

void Deployment::killVm(std::size_t index)
{
    EntryVm &vm = m_vms[index];
    if (vm.pid <= 0)
        return;
    kill(vm.pid, SIGKILL);
    waitpid(vm.pid, nullptr, 0);
    m_record.line("entry VM killed node=" + vm.name);
    vm.pid = 0;
}

bool Deployment::hasUnexpectedExit()
{
    bool has = false;
    for (EntryVm &vm : m_vms) {
        int status = 0;
        if (vm.pid <= 0 || waitpid(vm.pid, &status, WNOHANG) != vm.pid)
            continue;
        m_record.line("entry VM has ended by itself node=" + vm.name + " status=" + std::to_string(status));
        vm.pid = 0;
        has = true;
    }
    return has;
}

bool Deployment::isReady(std::size_t index)
{
    std::atomic<int> status = -1;
    net::HttpClientRequest request;
    request.url = "http://" + readyAddress(index) + "/-/ready";
    request.timeoutMs = 500;
    m_probe.send(std::move(request), [&](net::HttpResult &&result) { status = result.status; });
    while (status < 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return status == 200;
}

bool Deployment::isAnnounced(std::size_t index)
{
    std::atomic<int> found = -1;
    net::HttpClientRequest request;
    request.url = "http://" + ipOf(1) + ":8169/-/log-newest?topic=keyed.entryvms&part=0";
    request.timeoutMs = 500;
    m_probe.send(std::move(request), [&, key = "\"vm/" + m_vms[index].name + "\""](net::HttpResult &&result) {
        found = result.body.find(key) != std::string::npos ? 1 : 0;
    });
    while (found < 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return found == 1;
}

std::size_t Deployment::runningTasks(const std::string &job) const
{
    std::size_t count = 0;
    for (const auto &server : m_servers)
        count += server->runningTasks(job);
    return count;
}

// Callers -------------------------------------------------------------------------------------------

std::string makeJob(int tasks, int runMs)
{
    return Json{{"spec", std::to_string(runMs)},
                {"bestEffort", true},
                {"steps",
                 Json::array({Json{{"count", tasks}, {"cpu", taskMilliCores}, {"memMb", 64}, {"estimateMs", runMs}}})}}
            .dump();
}

std::string makeJobId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

void Callers::send(const std::string &method, const std::string &address, const std::string &job,
                   const std::string &body, std::int64_t budgetMs, std::function<void(const Answer &)> done,
                   const std::string &prefix)
{
    net::HttpClientRequest request;
    request.method = method;
    request.url = "http://" + address + prefix + job;
    request.headers = {{"Host", "shop.example"},
                       {"Content-Type", "application/json"},
                       {"X-Clementinelift-Deadline-Ms", std::to_string(budgetMs)}};
    request.body = body;
    request.timeoutMs = budgetMs;
    m_record.line("sent " + method + " path=" + prefix + job + " to=" + address);
    m_client.send(std::move(request), [this, method, job, done = std::move(done)](net::HttpResult &&result) {
        const bool isAnswered = result.outcome == net::HttpOutcome::Answered;
        const Answer answer{isAnswered ? result.status : 0, std::move(result.body)};
        m_record.line("answered " + method + " job=" + job + " status=" + std::to_string(answer.status) + " "
                      + (isAnswered ? answer.body : result.error));
        done(answer);
    });
}

} // namespace clementinelift::review
