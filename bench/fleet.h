// Entry VMs in virtual time for measurements: cores with a shared log, links with a fixed delay, and backend servers
// that complete every task after its run time. No faults; the tests have their own fakes for those.
//
//     Fleet fleet({.nodes = 9, .backends = 50});
//     fleet.run(10 * usPerS);
//     fleet.nodes[0].cpuNs ...
//
// Contents
//   FleetOptions   sizes
//   FleetNode      one core and what it has cost
//   Fleet          the event loop
#pragma once

#include "config/entries.h"
#include "core/dispatcher.h"
#include "net/codec.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <deque>
#include <queue>

namespace clementinelift::bench {

using namespace core;

// FleetOptions --------------------------------------------------------------------------------------

struct FleetOptions
{
    std::uint32_t nodes = 1;
    std::uint32_t zones = 1;
    std::uint32_t backends = 50;
    std::uint32_t organisations = 3;
    std::uint32_t taskRunMs = 20;
    bool countBytes = false; // encode every peer message to count its bytes
    CoreSettings core;       // limits; self, seeds and parseEntry are set here
};

// FleetNode -----------------------------------------------------------------------------------------

struct FleetNode
{
    std::unique_ptr<Dispatcher> core;
    NodeInfo info;
    std::int64_t timerUs = INT64_MAX;
    std::int64_t cpuNs = 0;         // inside handle()
    std::uint64_t peerMessages = 0; // sent
    std::uint64_t peerBytes = 0;    // sent, without frame headers
    std::uint64_t appends = 0;
    std::uint64_t answers = 0;
    std::uint64_t completed = 0;
    std::uint64_t starts = 0;
    std::vector<std::uint32_t> links; // connected nodes
};

// Fleet ---------------------------------------------------------------------------------------------

class Fleet
{
public:
    static constexpr std::int64_t linkDelayUs = 250;
    static constexpr std::int64_t appendDelayUs = 5000;
    static constexpr std::int64_t wallStartMs = 1733288000000;

    std::vector<FleetNode> nodes;
    std::vector<Key> keys; // of the last takeKeys()

    explicit Fleet(const FleetOptions &options) : m_options(options)
    {
        publishConfiguration();
        std::vector<NodeInfo> infos;
        for (std::uint32_t i = 0; i < options.nodes; ++i)
            infos.push_back({.name = absl::StrCat("e-", i),
                             .address = absl::StrCat("127.0.0.1:", 7000 + i),
                             .zone = zoneOf(i),
                             .incarnation = Incarnation(i + 1)});
        nodes.resize(options.nodes);
        for (std::uint32_t i = 0; i < options.nodes; ++i)
            boot(i, infos);
        run(5 * usPerS);
    }

    Now now() const { return {m_us, wallStartMs + m_us / usPerMs}; }

    // Runs for the given virtual time.
    void run(std::int64_t us)
    {
        const std::int64_t endUs = m_us + us;
        while (true) {
            std::int64_t nextUs = m_events.empty() ? INT64_MAX : m_events.top().atUs;
            std::uint32_t timerNode = 0;
            for (std::uint32_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i].timerUs < nextUs) {
                    nextUs = nodes[i].timerUs;
                    timerNode = i + 1;
                }
            }
            if (nextUs > endUs)
                break;
            m_us = std::max(m_us, nextUs);
            if (timerNode > 0) {
                nodes[timerNode - 1].timerUs = INT64_MAX;
                handle(timerNode - 1, TimerFired{});
            } else {
                Pending pending = std::move(const_cast<Pending &>(m_events.top()));
                m_events.pop();
                handle(pending.node, std::move(pending.event));
            }
        }
        m_us = endUs;
    }

    void handle(std::uint32_t node, Event &&event)
    {
        Actions actions;
        const auto begin = std::chrono::steady_clock::now();
        nodes[node].core->handle(now(), std::move(event), actions);
        nodes[node].cpuNs +=
                std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - begin).count();
        for (Action &action : actions)
            std::visit([&](auto &concrete) { carryOut(node, concrete); }, action);
    }

    void takeKeys(std::uint32_t node, std::uint32_t count)
    {
        keys.clear();
        handle(node, RequestKeys{.caller = CallerId(++m_callers), .organisation = "organisation-0", .count = count});
    }

    // Submits one job with a key owned by the node. False when the node owns too few partitions now to find one.
    bool submit(std::uint32_t node, std::uint32_t tasks, std::uint32_t organisation = 0)
    {
        constexpr int maxTries = 20000;
        SubmitJob job{.caller = CallerId(++m_callers), .request = {}};
        job.request.organisation = absl::StrCat("organisation-", organisation);
        job.request.templateName = "quote";
        job.request.tasks.resize(tasks);
        int tries = 0;
        do {
            job.request.key = makeKey(now().wallMs, m_random(), m_random());
        } while (!owns(node, job.request) && ++tries < maxTries);
        if (tries == maxTries)
            return false;
        handle(node, std::move(job));
        return true;
    }

    void publish(std::uint32_t changes)
    {
        for (std::uint32_t i = 0; i < changes; ++i) {
            const std::string name = absl::StrCat("organisation/organisation-", i % m_options.organisations);
            appendChange(name, absl::StrCat("concurrency = ", 1000000 + i, "\nrate_per_s = 1000000\n"));
        }
        deliverLog(Stream::Config);
    }

private:
    struct Pending
    {
        std::int64_t atUs = 0;
        std::uint64_t order = 0;
        std::uint32_t node = 0;
        Event event;

        friend bool operator<(const Pending &a, const Pending &b)
        {
            return a.atUs != b.atUs ? a.atUs > b.atUs : a.order > b.order;
        }
    };

    std::string zoneOf(std::uint32_t index) const { return absl::StrCat("z", index % m_options.zones); }

    bool owns(std::uint32_t node, const JobRequest &request) const
    {
        const auto owner = nodes[node].core->ownership().find(partitionOf(request.organisation, request.key),
                                                              issueTimeMs(request.key));
        return owner.coverage == Coverage::Owned && owner.incarnation == nodes[node].info.incarnation;
    }

    void appendChange(const std::string &name, std::string text)
    {
        auto &log = m_logs[static_cast<std::size_t>(Stream::Config)];
        ChangeRecord change{.changeId = absl::StrCat("c-", log.size()),
                            .author = "bench",
                            .entries = {{name, m_versions[name], std::move(text)}}};
        m_versions[name] = static_cast<std::int64_t>(log.size()) + 1;
        log.push_back({static_cast<std::int64_t>(log.size()), now().wallMs, std::move(change)});
    }

    void publishConfiguration()
    {
        appendChange("template/quote", "repeat = allowed\ndeadline_ms = 60000\nrun_ms = 20\n");
        for (std::uint32_t i = 0; i < m_options.organisations; ++i)
            appendChange(absl::StrCat("organisation/organisation-", i),
                         "concurrency = 1000000\nrate_per_s = 1000000\n");
    }

    void boot(std::uint32_t index, const std::vector<NodeInfo> &infos)
    {
        CoreSettings settings = m_options.core;
        settings.self = infos[index];
        settings.seed = index + 1;
        settings.parseEntry = config::parseEntry;
        for (std::uint32_t other = 0; other < std::min<std::size_t>(infos.size(), 3); ++other) {
            if (other != index)
                settings.seeds.push_back({.name = infos[other].name, .address = infos[other].address});
        }
        nodes[index].info = infos[index];
        nodes[index].core = std::make_unique<Dispatcher>(settings);
        VmListRead list;
        for (std::uint32_t i = 0; i < m_options.backends; ++i)
            list.backends.push_back({.name = absl::StrCat("b-", i),
                                     .address = absl::StrCat("127.0.0.1:", 10000 + i),
                                     .zone = zoneOf(i),
                                     .rack = absl::StrCat("r-", i / 8)});
        for (const NodeInfo &info : infos)
            list.nodes.push_back({.name = info.name, .address = info.address, .zone = info.zone});
        push(0, index, std::move(list));
        for (const Stream stream : {Stream::Config, Stream::Ownership})
            push(0, index, readLog(stream, 0));
        nodes[index].timerUs = 0;
    }

    void push(std::int64_t delayUs, std::uint32_t node, Event &&event)
    {
        m_events.push({m_us + delayUs, ++m_order, node, std::move(event)});
    }

    LogRead readLog(Stream stream, std::int64_t from) const
    {
        const auto &log = m_logs[static_cast<std::size_t>(stream)];
        LogRead read{
                .stream = stream, .nextOffset = static_cast<std::int64_t>(log.size()), .caughtUp = true, .records = {}};
        read.records.assign(log.begin() + from, log.end());
        return read;
    }

    void deliverLog(Stream stream)
    {
        std::int64_t &from = m_delivered[static_cast<std::size_t>(stream)];
        for (std::uint32_t i = 0; i < nodes.size(); ++i)
            push(appendDelayUs, i, readLog(stream, from));
        from = static_cast<std::int64_t>(m_logs[static_cast<std::size_t>(stream)].size());
    }

    std::optional<std::uint32_t> findNode(std::string_view name) const
    {
        for (std::uint32_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i].info.name == name)
                return i;
        }
        return std::nullopt;
    }

    void carryOut(std::uint32_t node, SetTimer &action) { nodes[node].timerUs = action.monoUs; }

    void carryOut(std::uint32_t node, AnswerCaller &action)
    {
        ++nodes[node].answers;
        nodes[node].completed += action.answer.kind == AnswerKind::Complete ? 1 : 0;
    }

    void carryOut(std::uint32_t, AnswerKeys &action) { keys = std::move(action.keys); }

    void carryOut(std::uint32_t node, StartAttempt &action)
    {
        ++nodes[node].starts;
        push(m_options.taskRunMs * usPerMs, node,
             AttemptEnded{.attempt = action.attempt,
                          .outcome = AttemptOutcome::Completed,
                          .result = {},
                          .serviceUs = static_cast<std::uint32_t>(m_options.taskRunMs * usPerMs)});
    }

    void carryOut(std::uint32_t node, SendPeer &action)
    {
        const auto to = findNode(action.node);
        if (!to)
            return;
        ++nodes[node].peerMessages;
        if (m_options.countBytes)
            nodes[node].peerBytes += net::encodePeerMessage(action.message).size();
        push(linkDelayUs, *to,
             PeerMessageReceived{nodes[node].info.name, nodes[node].info.incarnation, std::move(action.message)});
    }

    void carryOut(std::uint32_t node, ConnectPeer &action)
    {
        std::optional<std::uint32_t> to;
        for (std::uint32_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i].info.address == action.node.address)
                to = i;
        }
        if (!to || *to == node || std::count(nodes[node].links.begin(), nodes[node].links.end(), *to) > 0)
            return;
        nodes[node].links.push_back(*to);
        nodes[*to].links.push_back(node);
        push(linkDelayUs, node, PeerConnected{nodes[*to].info});
        push(linkDelayUs, *to, PeerConnected{nodes[node].info});
    }

    void carryOut(std::uint32_t node, AppendLog &action)
    {
        auto &log = m_logs[static_cast<std::size_t>(action.stream)];
        const auto offset = static_cast<std::int64_t>(log.size());
        log.push_back({offset, now().wallMs, std::move(action.body)});
        ++nodes[node].appends;
        push(appendDelayUs, node, AppendEnded{action.append, AppendOutcome::Appended, offset});
        deliverLog(action.stream);
    }

    template <typename Other> void carryOut(std::uint32_t, Other &) {}

    FleetOptions m_options;
    std::int64_t m_us = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_callers = 0;
    std::priority_queue<Pending> m_events;
    std::array<std::vector<LogRecord>, 2> m_logs;
    std::array<std::int64_t, 2> m_delivered{};
    std::map<std::string, std::int64_t> m_versions;
    std::mt19937_64 m_random{20261204};
};

} // namespace clementinelift::bench
