#include "review/deployment_2.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <future>
#include <random>
#include <set>

namespace review {

using Json = nlohmann::json;
using namespace clementinelift;

namespace {

constexpr char zone[] = "a";
constexpr std::int64_t deadlineMs = 1500; // of the callers

std::mt19937 &randomSource()
{
    static std::mt19937 source{std::random_device()()};
    return source;
}

std::vector<std::string> split(const std::string &line)
{
    std::vector<std::string> words;
    std::size_t from = 0;
    while (from <= line.size()) {
        const std::size_t blank = std::min(line.find(' ', from), line.size());
        words.push_back(line.substr(from, blank - from));
        from = blank + 1;
    }
    return words;
}

// The program and its arguments, from the deploy file.
std::vector<std::string> runCommand()
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("run = \"", 0) == 0)
            return split(line.substr(7, line.rfind('"') - 7));
    }
    return {};
}

} // namespace

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

std::string jobId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15ULL));
    return text;
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_stream << now() << " ms " << text << std::endl;
}

Deployment::Deployment(Record &record) : m_record(record), m_client({256, 1024, 1u << 20, 1000, 60})
{
    std::signal(SIGPIPE, SIG_IGN);
    char pattern[] = "/tmp/review-XXXXXX";
    m_directory = mkdtemp(pattern);
    m_octets = "127." + std::to_string(20 + randomSource()() % 200) + "." + std::to_string(1 + randomSource()() % 250)
            + ".";
    m_storePort = freePort();
}

Deployment::~Deployment()
{
    for (EntryVm &vm : m_vms) {
        if (vm.pid <= 0)
            continue;
        kill(vm.pid, SIGCONT);
        kill(vm.pid, SIGKILL);
        waitpid(vm.pid, nullptr, 0);
    }
    m_client.stop();
    m_stopping = true;
    if (m_ticker.joinable())
        m_ticker.join();
    m_storeServer.reset();
    m_backends.clear();
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(m_directory);
    else
        m_record.line("logs are kept in " + m_directory);
}

// Below the range from which connections get theirs; no port is given twice.
std::uint16_t Deployment::freePort()
{
    static std::set<std::uint16_t> given;
    constexpr unsigned lowest = 10000;
    constexpr unsigned count = 22000;
    while (true) {
        const auto port = static_cast<std::uint16_t>(lowest + randomSource()() % count);
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const bool isFree = bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(socket);
        if (isFree && given.insert(port).second)
            return port;
    }
}

// Each entry VM has an address of its own, because the deploy file gives all of them the same port for metrics.
std::size_t Deployment::addEntryVm(const std::string &node, double cpuShare, std::uint16_t storePort)
{
    EntryVm vm;
    vm.node = node;
    vm.ip = m_octets + std::to_string(m_vms.size() + 1);
    vm.cpuShare = cpuShare;
    vm.storeAddress = "127.0.0.1:" + std::to_string(storePort == 0 ? m_storePort : storePort);
    vm.callerPort = freePort();
    vm.readyPort = freePort();
    vm.peerPort = freePort();
    m_vms.push_back(vm);
    return m_vms.size() - 1;
}

void Deployment::addBackends(int count)
{
    for (int i = 0; i < count; ++i)
        m_backends.push_back(std::make_unique<standins::Backend>("minion-" + std::to_string(i), zone, m_runs));
}

std::uint16_t Deployment::addStoreProxy(std::size_t &link)
{
    const std::uint16_t port = freePort();
    link = m_proxy.add(port, m_storePort);
    return port;
}

bool Deployment::start()
{
    net::HttpServerSettings settings;
    settings.address = "127.0.0.1:" + std::to_string(m_storePort);
    static std::atomic<net::HttpServer *> running = nullptr;
    auto server = net::HttpServer::start(settings, [this](net::HttpCall call, net::HttpRequest &&request) {
        while (running == nullptr)
            std::this_thread::yield();
        m_store.handle(*running, call, std::move(request));
    });
    std::string error;
    if (!server) {
        m_record.line("store: " + server.error());
        return false;
    }
    m_storeServer = *std::move(server);
    running = m_storeServer.get();
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        m_backendAddresses[i] = "127.0.0.1:" + std::to_string(freePort());
        if (!m_backends[i]->listen(m_backendAddresses[i], error)) {
            m_record.line("backend server: " + error);
            return false;
        }
        if (m_registeredAt.contains(i))
            m_backends[i]->setRegisteredAddress(m_registeredAt[i]);
        putEntry(i);
    }
    if (!m_proxy.start(error)) {
        m_record.line("proxy: " + error);
        return false;
    }
    m_ticker = std::thread([this] {
        while (!m_stopping) {
            m_store.tick(*running);
            for (auto &backend : m_backends)
                backend->tick();
            sleepMs(2);
        }
    });
    return true;
}

void Deployment::publish(std::int64_t version, const std::vector<std::string> &prefixes)
{
    Json routes = Json::array();
    for (const std::string &prefix : prefixes) {
        routes.push_back(Json{{"name", "queue" + prefix.substr(1, prefix.size() - 2)},
                              {"host", "desk.example"},
                              {"pathPrefix", prefix},
                              {"service", "svc"},
                              {"timeoutMs", 2000},
                              {"targetCompletionMs", 60},
                              {"priority", 0},
                              {"maxAttempts", 3},
                              {"stretch", 1.6}});
    }
    const Json configuration{{"version", version},
                             {"routes", routes},
                             {"services", Json::array({Json{{"name", "svc"}, {"rejectsOverload", true}}})},
                             {"limits", Json::object()}};
    m_store.put("keyed.op", "config", configuration.dump());
    std::string text;
    for (const std::string &prefix : prefixes)
        text += " " + prefix;
    m_record.line("operator: configuration " + std::to_string(version) + " is acknowledged, routes" + text);
}

void Deployment::putEntry(std::size_t backend)
{
    m_store.put("keyed.servers", m_backends[backend]->id(), m_backends[backend]->registryEntry(false));
}

void Deployment::setStoreDown(bool down)
{
    m_store.setDown(down);
    m_record.line(down ? "platform: the store is down" : "platform: the store is back");
}

void Deployment::expireEntries()
{
    for (const auto &backend : m_backends)
        m_store.put("keyed.servers", backend->id(), "");
    m_record.line("platform: the entries of the backend servers have expired");
}

void Deployment::registerEntries()
{
    for (const auto &backend : m_backends)
        m_store.put("keyed.servers", backend->id(), backend->registryEntry(false));
    m_record.line("backend servers: their entries are back");
}

void Deployment::writeSettings(std::size_t index)
{
    const EntryVm &vm = m_vms[index];
    Json seeds = Json::array();
    for (int i = 0; i < vm.seedCount; ++i)
        seeds.push_back(m_octets + std::to_string(i + 1) + ":8166");
    const Json settings{
            {"node", vm.node},
            {"role", "entry"},
            {"machineClass", "front"},
            {"serves", {"front"}},
            {"ip", vm.ip},
            {"zone", zone},
            {"region", "r"},
            {"zones", {{zone, "r"}}},
            {"listen", {{"front", vm.callerAddress()}, {"ready", vm.readyAddress()}}},
            {"internalPorts", {vm.peerPort, vm.peerPort}},
            {"seeds", seeds},
            {"bootstrap", true},
            {"lossCounts", false},
            {"limits",
             {{"cpuShare", vm.cpuShare}, {"cores", 1}, {"memoryMb", 260}, {"maxFds", 4100}, {"linkMbps", 1000.0}}},
            {"discovery", "platform"},
            {"entry", "vip"},
            {"heartbeatMs", 1500},
            {"bounds", {{"holdMaxMs", 1000}, {"graceS", 6}, {"drainMs", 2000}, {"stopMs", 50}, {"resendMs", 1300}}},
            {"orders", "rpc"},
            {"platform", {{"address", vm.storeAddress}, {"form", "log"}, {"parts", 8}, {"ttlMinMs", 1000}}}};
    const std::string file = m_directory + "/" + vm.node + ".json";
    std::ofstream(file + ".new") << settings.dump(2);
    std::filesystem::rename(file + ".new", file);
    m_record.line("platform: settings of " + vm.node + " are written, " + std::to_string(vm.seedCount) + " seeds");
}

void Deployment::launch(std::size_t index)
{
    EntryVm &vm = m_vms[index];
    writeSettings(index);
    const std::vector<std::string> words = runCommand();
    const std::string log = m_directory + "/" + vm.node + ".log";
    const std::string variable = "CLEMENTINELIFT_BOOT=" + m_directory + "/" + vm.node + ".json";
    std::vector<char *> arguments;
    for (const std::string &word : words)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    char *environment[] = {const_cast<char *>(variable.c_str()), nullptr};
    vm.pid = fork();
    if (vm.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execve(arguments[0], arguments.data(), environment);
        _exit(127);
    }
    m_record.line("platform: " + vm.node + " is started");
}

void Deployment::signal(std::size_t index, int number)
{
    m_record.line("platform: signal " + std::to_string(number) + " to " + m_vms[index].node);
    if (m_vms[index].pid > 0)
        kill(m_vms[index].pid, number);
}

bool Deployment::hasEnded(std::size_t index)
{
    EntryVm &vm = m_vms[index];
    if (vm.pid > 0 && waitpid(vm.pid, nullptr, WNOHANG) == vm.pid) {
        vm.pid = -1;
        m_record.line("platform: " + vm.node + " has ended");
    }
    return vm.pid <= 0;
}

int Deployment::httpStatus(const std::string &address)
{
    auto result = std::make_shared<std::promise<int>>();
    net::HttpClientRequest request;
    request.url = "http://" + address + "/-/ready";
    request.timeoutMs = 500;
    std::future<int> status = result->get_future();
    m_client.send(std::move(request), [result](net::HttpResult &&answer) {
        result->set_value(answer.outcome == net::HttpOutcome::Answered ? answer.status : 0);
    });
    return status.get();
}

bool Deployment::isReady(std::size_t index)
{
    constexpr int ok = 200;
    return httpStatus(m_vms[index].readyAddress()) == ok;
}

bool Deployment::waitUntilReady(std::int64_t limitMs)
{
    const std::int64_t until = m_record.now() + limitMs;
    while (m_record.now() < until) {
        bool areReady = true;
        for (std::size_t i = 0; i < m_vms.size(); ++i)
            areReady = areReady && isReady(i);
        if (areReady)
            return true;
        sleepMs(50);
    }
    m_record.line("not every entry VM is ready");
    return false;
}

void Deployment::submit(std::size_t index, const std::string &prefix, const std::string &id, int tasks, int taskMs,
                        std::function<void(const Answer &)> done)
{
    net::HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + m_vms[index].callerAddress() + prefix + id;
    request.headers = {{"Host", "desk.example"},
                       {"Content-Type", "application/json"},
                       {"Connection", "close"}, // each request has a channel of its own
                       {"X-Clementinelift-Deadline-Ms", std::to_string(deadlineMs)}};
    request.body =
            Json{{"spec", std::to_string(taskMs)},
                 {"bestEffort", true},
                 {"steps", Json::array({Json{{"count", tasks}, {"cpu", 1000}, {"memMb", 64}, {"estimateMs", taskMs}}})}}
                    .dump();
    request.timeoutMs = deadlineMs;
    const std::int64_t sentAt = m_record.now();
    const std::string node = m_vms[index].node;
    m_client.send(std::move(request), [this, sentAt, node, prefix, id, done](net::HttpResult &&result) {
        Answer answer;
        answer.isComplete = result.outcome == net::HttpOutcome::Answered;
        answer.status = result.status;
        answer.body = result.body;
        answer.error = result.error;
        answer.sentAt = sentAt;
        answer.endedAt = m_record.now();
        m_record.line("caller: POST " + prefix + id + " sent to " + node + " at " + std::to_string(sentAt) + " ms, "
                      + (answer.isComplete ? "answered " + std::to_string(answer.status) + " " + answer.body
                                           : "no answer: " + answer.error)
                      + (m_runs.hasRun(id) ? ", a task was started" : ", no task was started"));
        done(answer);
    });
}

} // namespace review
