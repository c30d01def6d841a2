// Stand-ins for the platform: its store, minions and clients, with a log of what was sent, answered and run.
#pragma once

#include "http_3.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

using Json = nlohmann::json;

// Record -------------------------------------------------------------------------------------------

class Record
{
public:
    explicit Record(const std::string &file) : m_file(std::fopen(file.c_str(), "w")) {}
    ~Record() { std::fclose(m_file); }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f ", ms() / 1000.0);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }
    double ms() const { return std::chrono::duration<double, std::milli>(Clock::now() - m_begin).count(); }

private:
    std::FILE *m_file;
    std::mutex m_mutex;
    Clock::time_point m_begin = Clock::now();
};

// Jobs ---------------------------------------------------------------------------------------------

struct JobSpec
{
    std::int64_t cpu = 1000;
    std::int64_t memMb = 64;
    std::int64_t taskMs = 200;
    int count = 1;
};

// What the clients have submitted, and what runs.
class Ledger
{
public:
    explicit Ledger(Record &record) : m_record(record) {}

    void submitted(const std::string &job, const JobSpec &spec)
    {
        const std::lock_guard lock(m_mutex);
        m_jobs[job] = spec;
    }
    std::optional<JobSpec> find(const std::string &task) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_jobs.find(task.substr(0, task.find('.')));
        return found == m_jobs.end() ? std::nullopt : std::optional(found->second);
    }
    void begin(const std::string &task, const std::string &minion)
    {
        const std::lock_guard lock(m_mutex);
        ++m_starts;
        ++m_startsOfJob[task.substr(0, task.find('.'))];
        if (++m_active[task] > 1) {
            ++m_overlaps;
            m_record.line("BROKEN TWICE task=%s runs=%d minion=%s", task.c_str(), m_active[task], minion.c_str());
        }
    }
    void end(const std::string &task)
    {
        const std::lock_guard lock(m_mutex);
        --m_active[task];
    }
    int startsOf(const std::string &job) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_startsOfJob.find(job);
        return found == m_startsOfJob.end() ? 0 : found->second;
    }
    int starts() const { return m_starts; }
    int overlaps() const { return m_overlaps; }

private:
    Record &m_record;
    mutable std::mutex m_mutex;
    std::map<std::string, JobSpec> m_jobs;
    std::map<std::string, int> m_active;
    std::map<std::string, int> m_startsOfJob;
    std::atomic<int> m_starts = 0;
    std::atomic<int> m_overlaps = 0;
};

// Store --------------------------------------------------------------------------------------------

class Store
{
public:
    explicit Store(std::uint32_t partitions) : m_partitions(partitions) {}

    bool start(const std::string &address)
    {
        return m_server.start(address, [this](const Request &request) { return handle(request); });
    }
    void stop()
    {
        m_stopping = true;
        m_server.stop();
    }
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({key, value});
    }

private:
    struct Member
    {
        Clock::time_point expiresAt;
        std::int64_t acknowledged = 0;
        std::set<std::uint32_t> held;
    };
    struct Group
    {
        std::int64_t generation = 0;
        std::map<std::string, Member> members;
        std::map<std::uint32_t, std::string> assignment;
    };
    using Records = std::vector<std::pair<std::string, std::string>>;

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            text += static_cast<char>(value >> shift & 0xff);
        return text;
    }
    static std::string base64(const std::string &bytes)
    {
        constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            unsigned long bits = 0;
            for (std::size_t i = 0; i < 3; ++i)
                bits = bits << 8 | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0);
            for (std::size_t i = 0; i < 4; ++i)
                text += at + i <= bytes.size() ? digits[bits >> (18 - 6 * i) & 63] : '=';
        }
        return text;
    }

    Response handle(const Request &request)
    {
        const auto field = [&](const char *name) {
            const auto found = request.query.find(name);
            return found == request.query.end() ? std::string() : found->second;
        };
        if (request.path == "/-/log-newest")
            return readNewest(field("topic"));
        if (request.path == "/-/log-read")
            return readPage(field("topic"), std::stoul(field("from")), field("waitMs"));
        if (request.path == "/-/log-append")
            return append(field("topic"), field("at"), request.body);
        if (request.path == "/-/log-join")
            return join(Json::parse(request.body));
        if (request.path == "/-/log-leave")
            return leave(Json::parse(request.body));
        return {404, "{}"};
    }
    Response readNewest(const std::string &topic)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_topics.find(topic);
        if (found == m_topics.end())
            return {404, "{}"};
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < found->second.size(); ++i)
            newest[found->second[i].first] = i;
        Json items = Json::array();
        for (const auto &[key, offset] : newest) {
            const std::string &value = found->second[offset].second;
            if (!value.empty())
                items.push_back({{"key", key}, {"value", base64(value)}, {"offset", offset}});
        }
        return {200, Json{{"items", items}, {"hasMore", false}, {"end", found->second.size()}}.dump()};
    }
    Response readPage(const std::string &topic, std::size_t from, const std::string &wait)
    {
        const auto until = Clock::now() + Ms(wait.empty() ? 0 : std::stol(wait));
        for (;;) {
            {
                const std::lock_guard lock(m_mutex);
                const Records &records = m_topics[topic];
                if (from < records.size() || Clock::now() >= until || m_stopping) {
                    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
                    for (std::size_t i = from; i < records.size(); ++i) {
                        const auto &[key, value] = records[i];
                        body += bigEndian(1 + key.size() + value.size(), 4) + bigEndian(key.size(), 1) + key + value;
                    }
                    return {200, body};
                }
            }
            std::this_thread::sleep_for(Ms(3));
        }
    }
    Response append(const std::string &topic, const std::string &at, const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        Records &records = m_topics[topic];
        if (!at.empty() && std::stoul(at) != records.size())
            return {412, Json{{"end", records.size()}}.dump()};
        const std::size_t offset = records.size();
        for (std::size_t next = 0; next + 5 <= body.size();) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(body[next + static_cast<std::size_t>(i)]);
            const std::string record = body.substr(next + 4, length);
            const std::size_t key = static_cast<unsigned char>(record[0]);
            records.push_back({record.substr(1, key), record.substr(1 + key)});
            next += 4 + length;
        }
        return {200, Json{{"offset", offset}, {"end", records.size()}}.dump()};
    }
    void assign(Group &group)
    {
        ++group.generation;
        group.assignment.clear();
        std::size_t index = 0;
        for (std::uint32_t part = 0; part < m_partitions && !group.members.empty(); ++part, ++index)
            group.assignment[part] =
                    std::next(group.members.begin(), static_cast<long>(index % group.members.size()))->first;
    }
    void expire(Group &group)
    {
        if (std::erase_if(group.members, [](const auto &entry) { return entry.second.expiresAt < Clock::now(); }) > 0)
            assign(group);
    }
    // A partition moves once its earlier holder has joined with this generation, has left or has expired.
    Response join(const Json &body)
    {
        const std::lock_guard lock(m_mutex);
        Group &group = m_groups[body.at("group").get<std::string>()];
        expire(group);
        const std::string name = body.at("member");
        const bool isNew = !group.members.contains(name);
        Member &member = group.members[name];
        member.expiresAt = Clock::now() + Ms(body.at("ttlMs").get<std::int64_t>());
        member.acknowledged = body.at("generation");
        if (isNew)
            assign(group);
        if (member.acknowledged >= group.generation)
            std::erase_if(member.held, [&](std::uint32_t part) { return group.assignment[part] != name; });
        for (const auto &[part, assignee] : group.assignment) {
            const std::uint32_t number = part;
            const bool isHeld = std::any_of(group.members.begin(), group.members.end(), [&](const auto &entry) {
                return entry.first != name && entry.second.held.contains(number);
            });
            if (assignee == name && !isHeld)
                member.held.insert(number);
        }
        Json parts = Json::array();
        for (const std::uint32_t part : member.held) {
            if (group.assignment[part] == name)
                parts.push_back(Json::array({body.at("topics")[0], part, 0}));
        }
        return {200, Json{{"generation", group.generation}, {"parts", parts}}.dump()};
    }
    Response leave(const Json &body)
    {
        const std::lock_guard lock(m_mutex);
        Group &group = m_groups[body.at("group").get<std::string>()];
        group.members.erase(body.at("member").get<std::string>());
        assign(group);
        return {200, "{}"};
    }

    const std::uint32_t m_partitions;
    std::mutex m_mutex;
    std::map<std::string, Records> m_topics;
    std::map<std::string, Group> m_groups;
    std::atomic<bool> m_stopping = false;
    HttpServer m_server;
};

// Minions ------------------------------------------------------------------------------------------

struct MinionKind
{
    std::string name = "a";
    std::string rack = "r1-1";
    std::int64_t cpu = 8000;
    std::int64_t memMb = 16384;
};

// One machine with a minion; restart() begins a new life of the minion under its id.
class Minion
{
public:
    Minion(std::string id, std::string zone, std::string address, bool guards, Store &store, Ledger &ledger,
           Record &record)
        : m_id(std::move(id)), m_zone(std::move(zone)), m_address(std::move(address)), m_guards(guards), m_store(store),
          m_ledger(ledger), m_record(record)
    {}
    ~Minion()
    {
        crash();
        m_quit = true;
        if (m_ticker.joinable())
            m_ticker.join();
    }

    // The registry entry is written before the first order can be accepted.
    bool begin(const MinionKind &kind, bool listens = true)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_kind = kind;
            m_bornMs = std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
            m_begin = Clock::now();
            m_nextBeat = m_begin + Ms(1500);
            m_sequence = 0;
            m_runs.clear();
            m_through.clear();
            m_ends.clear();
            m_lastEnd = 0;
            m_token = 0;
            m_leaseEndMs = 0;
            m_up = true;
            m_record.line("minion %s begins born=%ld kind=%s cpu=%ld", m_id.c_str(), m_bornMs, kind.name.c_str(),
                          kind.cpu);
        }
        beat();
        if (!m_ticker.joinable())
            m_ticker = std::thread([this] {
                while (!m_quit) {
                    tick();
                    std::this_thread::sleep_for(Ms(2));
                }
            });
        return !listens || m_server.start(m_address, [this](const Request &request) { return handle(request); });
    }
    // The machine has no power; begin() without listening brings it back.
    void losePower()
    {
        m_server.loseConnections();
        endLife("loses power");
    }
    void crash()
    {
        if (endLife("crashes"))
            m_server.stop();
    }
    // The next start of a task of the job gets no answer and is carried out later.
    void delayStart(const std::string &job, std::int64_t delayMs)
    {
        const std::lock_guard lock(m_mutex);
        m_delayedJob = job;
        m_delayMs = delayMs;
    }
    int orders() const { return m_orders; }
    bool hasDelayedStart() const { return m_hasDelayedStart; }
    const std::string &id() const { return m_id; }
    int overloads() const { return m_overloads; }
    int starts() const { return m_starts; }
    std::size_t running()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.size();
    }

private:
    bool endLife(const char *how)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_up)
            return false;
        m_up = false;
        m_record.line("minion %s %s runs=%zu", m_id.c_str(), how, m_runs.size());
        for (const auto &[task, run] : m_runs)
            m_ledger.end(task);
        m_runs.clear();
        return true;
    }

    struct Run
    {
        std::uint32_t number = 0;
        Clock::time_point endAt;
        JobSpec spec;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    std::int64_t clockMs() const { return 1 + std::chrono::duration_cast<Ms>(Clock::now() - m_begin).count(); }

    void beat()
    {
        std::string entry;
        {
            const std::lock_guard lock(m_mutex);
            entry = Json{{"service", "svc"},
                         {"address", m_address},
                         {"zone", m_zone},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"coldRemainingMs", 0},
                         {"capacity", {{"cpu", m_kind.cpu}, {"memMb", m_kind.memMb}, {"gpu", 0}}},
                         {"labels", {m_kind.name, m_kind.rack}},
                         {"clockMs", clockMs()},
                         {"born", m_bornMs},
                         {"seq", ++m_sequence}}
                            .dump();
        }
        m_store.put("keyed.servers", m_id, entry);
    }
    Response reject(const char *reason) const { return {409, Json{{"clockMs", clockMs()}, {"reason", reason}}.dump()}; }
    Response accept() const { return {200, Json{{"clockMs", clockMs()}}.dump()}; }
    bool isFenced(const Json &body)
    {
        const std::int64_t token = body.value("fencingToken", std::int64_t(0));
        if (token < m_token)
            return true;
        m_token = token;
        return false;
    }
    void extendLease(std::int64_t deadlineMs)
    {
        constexpr std::int64_t holdMaxMs = 1000;
        m_leaseEndMs = std::max(m_leaseEndMs, std::min(deadlineMs, clockMs() + holdMaxMs));
    }

    Response handle(const Request &request)
    {
        const auto named = request.headers.find("x-clementinelift-expected-instance");
        if (named != request.headers.end() && named->second != m_id)
            return {421, "{}"};
        const Json body = Json::parse(request.body);
        ++m_orders;
        if (request.path == "/-/run-start" && takeDelay(body)) {
            const std::int64_t born = bornMs();
            std::this_thread::sleep_for(Ms(m_delayMs));
            if (born == bornMs()) {
                m_record.line("minion %s carries out the late start of task=%s", m_id.c_str(),
                              body.at("task").get<std::string>().c_str());
                start(body);
            }
            return {0, "", false, true};
        }
        return carryOut(request.path, body);
    }
    Response carryOut(const std::string &path, const Json &body)
    {
        if (path == "/-/run-start")
            return start(body);
        if (path == "/-/run-stop")
            return stop(body);
        if (path == "/-/hold")
            return hold(body);
        return {404, "{}"};
    }
    bool takeDelay(const Json &body)
    {
        const std::lock_guard lock(m_mutex);
        if (m_delayedJob.empty() || !body.at("task").get<std::string>().starts_with(m_delayedJob))
            return false;
        m_delayedJob.clear();
        m_hasDelayedStart = true;
        m_record.line("minion %s leaves the start unanswered task=%s", m_id.c_str(),
                      body.at("task").get<std::string>().c_str());
        return true;
    }
    std::int64_t bornMs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_bornMs;
    }
    Response start(const Json &body)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_up)
            return {0, "", false, true};
        if (isFenced(body))
            return reject("fence");
        const std::string task = body.at("task");
        const std::uint32_t run = body.at("run");
        if (body.at("deadlineMs").get<std::int64_t>() <= clockMs())
            return reject("late");
        extendLease(body.at("deadlineMs"));
        const auto known = m_runs.find(task);
        if (known != m_runs.end() && known->second.number == run)
            return accept();
        if (known != m_runs.end() || run <= m_through[task])
            return reject("old");
        const std::optional<JobSpec> spec = m_ledger.find(task);
        if (!spec) {
            m_record.line("BROKEN UNASKED task=%s minion=%s", task.c_str(), m_id.c_str());
            return {400, "{}"};
        }
        std::int64_t cpu = spec->cpu;
        std::int64_t memMb = spec->memMb;
        for (const auto &[other, running] : m_runs) {
            cpu += running.spec.cpu;
            memMb += running.spec.memMb;
        }
        const bool isOver = cpu > m_kind.cpu || memMb > m_kind.memMb;
        if (isOver && m_guards)
            return reject("room");
        ++m_starts;
        m_runs[task] = {run, Clock::now() + Ms(spec->taskMs), *spec};
        m_record.line("minion %s starts task=%s run=%u token=%ld cpu_after=%ld of=%ld", m_id.c_str(), task.c_str(), run,
                      m_token, cpu, m_kind.cpu);
        if (isOver) {
            ++m_overloads;
            m_record.line("BROKEN LIMIT minion=%s cpu=%ld capacity=%ld memMb=%ld capacityMemMb=%ld", m_id.c_str(), cpu,
                          m_kind.cpu, memMb, m_kind.memMb);
        }
        m_ledger.begin(task, m_id);
        return accept();
    }
    Response stop(const Json &body)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_up)
            return {0, "", false, true};
        if (isFenced(body))
            return reject("fence");
        const std::string task = body.at("task");
        const std::uint32_t run = body.at("run");
        std::uint32_t &through = m_through[task];
        through = std::max(through, run);
        const auto known = m_runs.find(task);
        if (known != m_runs.end() && known->second.number <= run)
            endRun(task, "stopped");
        return accept();
    }
    Response hold(const Json &body)
    {
        const auto until = Clock::now() + Ms(body.value("waitMs", std::int64_t(0)));
        std::int64_t born = 0;
        for (bool isFirst = true;; isFirst = false) {
            {
                const std::lock_guard lock(m_mutex);
                if (!m_up || (!isFirst && born != m_bornMs))
                    return {0, "", false, true};
                born = m_bornMs;
                if (isFirst) {
                    if (isFenced(body))
                        return reject("fence");
                    if (body.contains("deadlineMs"))
                        extendLease(body.at("deadlineMs"));
                    const std::int64_t acknowledged = body.at("ackedThrough");
                    std::erase_if(m_ends, [&](const End &end) { return end.number <= acknowledged; });
                }
                if (!m_ends.empty() || Clock::now() >= until)
                    return lists();
            }
            std::this_thread::sleep_for(Ms(2));
        }
    }
    Response lists() const
    {
        Json running = Json::array();
        for (const auto &[task, run] : m_runs)
            running.push_back(Json::array({task, run.number, "", 0, run.spec.cpu}));
        Json finished = Json::array();
        for (const End &end : m_ends)
            finished.push_back(Json::array({end.number, end.task, end.run, end.how, ""}));
        return {200,
                Json{{"clockMs", clockMs()}, {"born", m_bornMs}, {"running", running}, {"finished", finished}}.dump()};
    }
    void endRun(const std::string &task, const char *how)
    {
        const Run run = m_runs.at(task);
        m_runs.erase(task);
        std::uint32_t &through = m_through[task];
        through = std::max(through, run.number);
        m_ends.push_back({++m_lastEnd, task, run.number, how});
        m_ledger.end(task);
        m_record.line("minion %s ends task=%s run=%u how=%s", m_id.c_str(), task.c_str(), run.number, how);
    }
    void tick()
    {
        bool isBeatDue = false;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_up)
                return;
            const auto now = Clock::now();
            std::vector<std::pair<std::string, const char *>> ended;
            for (const auto &[task, run] : m_runs) {
                if (run.endAt <= now)
                    ended.emplace_back(task, "done");
                else if (clockMs() >= m_leaseEndMs)
                    ended.emplace_back(task, "lapsed");
            }
            for (const auto &[task, how] : ended)
                endRun(task, how);
            isBeatDue = now >= m_nextBeat;
            if (isBeatDue)
                m_nextBeat = now + Ms(1500);
        }
        if (isBeatDue)
            beat();
    }

    const std::string m_id;
    const std::string m_zone;
    const std::string m_address;
    const bool m_guards;
    Store &m_store;
    Ledger &m_ledger;
    Record &m_record;
    mutable std::mutex m_mutex;
    MinionKind m_kind;
    std::int64_t m_bornMs = 0;
    Clock::time_point m_begin;
    Clock::time_point m_nextBeat;
    std::int64_t m_sequence = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint32_t> m_through;
    std::vector<End> m_ends;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEndMs = 0;
    bool m_up = false;
    std::string m_delayedJob;
    std::atomic<std::int64_t> m_delayMs = 0;
    std::atomic<bool> m_hasDelayedStart = false;
    std::atomic<int> m_orders = 0;
    std::atomic<int> m_overloads = 0;
    std::atomic<int> m_starts = 0;
    std::atomic<bool> m_quit = false;
    std::thread m_ticker;
    HttpServer m_server;
};

// Entry VMs ----------------------------------------------------------------------------------------

// One machine of the system with its process, which is started as deploy/system.toml says.
class Machine
{
public:
    Machine(std::string name, std::string zone, std::string ip, std::string folder, std::string store,
            double cpuShare = 0.25)
        : m_name(std::move(name)), m_zone(std::move(zone)), m_ip(std::move(ip)), m_folder(std::move(folder)),
          m_store(std::move(store)), m_cpuShare(cpuShare)
    {}
    ~Machine() { kill(SIGKILL); }

    void start()
    {
        const std::string file = m_folder + "/" + m_name + ".json";
        std::ofstream(file) << settings().dump(1);
        const std::string log = m_folder + "/" + m_name + ".log";
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("CLEMENTINELIFT_BOOT", file.c_str(), 1);
            std::FILE *output = std::freopen(log.c_str(), "a", stdout);
            if (output == nullptr || dup2(fileno(output), 2) < 0)
                _exit(127);
            execl("target/bin/clementinelift", "target/bin/clementinelift", "--platform", "--metrics-port", "9464",
                  nullptr);
            _exit(127);
        }
    }
    void signal(int number) const { ::kill(m_process, number); }
    // Returns the wait status.
    int kill(int number)
    {
        if (m_process <= 0)
            return 0;
        int status = 0;
        ::kill(m_process, number);
        waitpid(m_process, &status, 0);
        m_process = 0;
        return status;
    }
    bool isReady() const { return send(m_ip + ":8167", "GET", "/-/ready", "Host: x\r\n", "", 500).status == 200; }
    bool waitUntilReady(std::int64_t limitMs) const
    {
        const auto until = Clock::now() + Ms(limitMs);
        while (!isReady()) {
            if (Clock::now() > until)
                return false;
            std::this_thread::sleep_for(Ms(50));
        }
        return true;
    }
    std::string front() const { return m_ip + ":8161"; }
    const std::string &name() const { return m_name; }

private:
    Json settings() const
    {
        return {{"node", m_name},
                {"role", "entry"},
                {"machineClass", "front"},
                {"serves", {"front"}},
                {"ip", m_ip},
                {"zone", m_zone},
                {"region", "r"},
                {"listen", {{"front", m_ip + ":8161"}, {"ready", m_ip + ":8167"}, {"control", m_ip + ":8166"}}},
                {"internalPorts", {7720, 7735}},
                {"seeds", Json::array()},
                {"bootstrap", true},
                {"limits",
                 {{"cpuShare", m_cpuShare},
                  {"cores", 1},
                  {"memoryMb", 260},
                  {"maxFds", 4100},
                  {"linkMbps", 1000.0},
                  {"diskMb", 0}}},
                {"discovery", "platform"},
                {"entry", "vip"},
                {"heartbeatMs", 1500},
                {"bounds",
                 {{"drainMs", 2000},
                  {"graceS", 6},
                  {"configApplyMs", 2000},
                  {"holdMaxMs", 1000},
                  {"stopMs", 50},
                  {"cancel_ms", 3000},
                  {"farX", 2},
                  {"resendMs", 1300}}},
                {"orders", "rpc"},
                {"platform",
                 {{"address", m_store},
                  {"form", "log"},
                  {"writesPerS", 800},
                  {"readsPerS", 2000},
                  {"parts", 8},
                  {"ttlMinMs", 1000}}}};
    }

    const std::string m_name;
    const std::string m_zone;
    const std::string m_ip;
    const std::string m_folder;
    const std::string m_store;
    const double m_cpuShare;
    pid_t m_process = 0;
};

// Clients ------------------------------------------------------------------------------------------

inline std::string makeId(std::mt19937_64 &random)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(random()));
    return text;
}

inline std::string jobBody(const JobSpec &spec, const std::string &text)
{
    return Json{
            {"spec", text},
            {"bestEffort", true},
            {"steps",
             Json::array({Json{
                     {"count", spec.count}, {"cpu", spec.cpu}, {"memMb", spec.memMb}, {"estimateMs", spec.taskMs}}})}}
            .dump();
}

// Loopback addresses whose ports are free; host numbers are chosen by the caller.
class Addresses
{
public:
    explicit Addresses(std::mt19937_64 &random)
    {
        do {
            m_prefix = "127." + std::to_string(10 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        } while (!isFree(m_prefix + "1:9464") || !isFree(m_prefix + "200:7100"));
    }
    std::string ip(int host) const { return m_prefix + std::to_string(host); }

private:
    static bool isFree(const std::string &address)
    {
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in name = socketAddress(address);
        const bool isBound = bind(probe, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0;
        close(probe);
        return isBound;
    }
    std::string m_prefix;
};

} // namespace review
