// A few cores in virtual time with a log, peer links and backend servers that the test drives by hand.
//
//     Cluster cluster(2);                             // two entry VMs, one backend server, ready
//     const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "once");
//     cluster.end(cluster.starts.back(), AttemptOutcome::Completed, "result");
//     CHECK(cluster.answer(caller).kind == AnswerKind::Complete);
//
// Template "once" never repeats, "again" allows repeats; organisations are "north" and "south".
#pragma once

#include "core/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <map>
#include <memory>

namespace clementinelift::core::test {

// Text of an entry: words such as "allowed", "deadline=500", "max=2".
inline tl::expected<ParsedEntry, Findings> parseTestEntry(std::string_view name, std::string_view text)
{
    if (name.starts_with("organisation/"))
        return OrganisationParameters{};
    TemplateParameters parameters;
    parameters.repeat = text.find("allowed") != std::string_view::npos ? Repeat::Allowed : Repeat::Never;
    const auto number = [&](std::string_view word, std::int64_t fallback) {
        const std::size_t at = text.find(word);
        return at == std::string_view::npos ? fallback : std::stoll(std::string(text.substr(at + word.size())));
    };
    parameters.deadlineMs = number("deadline=", 10000);
    parameters.maxTasks = static_cast<std::uint32_t>(number("max=", 310));
    parameters.runMs = 10;
    return parameters;
}

constexpr std::int64_t wallStartMs = 1733288000000;

struct Start
{
    std::size_t node = 0;
    StartAttempt attempt;
};

class Cluster
{
public:
    explicit Cluster(std::size_t nodes, const CoreSettings &base = {}) : m_base(base)
    {
        publish("template/once", "never");
        publish("template/again", "allowed");
        publish("organisation/north", "default");
        publish("organisation/south", "default");
        for (std::size_t i = 0; i < nodes; ++i)
            m_nodes.push_back(std::make_unique<Node>());
        for (std::size_t i = 0; i < nodes; ++i)
            boot(i);
        for (std::size_t a = 0; a < nodes; ++a) {
            for (std::size_t b = a + 1; b < nodes; ++b)
                connect(a, b);
        }
        advance(3000);
        for (std::size_t i = 0; i < nodes; ++i)
            assert(core(i).isReady());
    }

    // Virtual time ----------------------------------------------------------------------------------

    Now now(std::size_t node) const
    {
        return {m_us, wallStartMs + m_us / usPerMs + (m_nodes[node] ? m_nodes[node]->wallStepMs : 0)};
    }

    void advance(std::int64_t ms)
    {
        const std::int64_t endUs = m_us + ms * usPerMs;
        while (m_us < endUs) {
            m_us = std::min(endUs, m_us + 10 * usPerMs);
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                readLogs(i);
                if (m_nodes[i]->core && m_us >= m_nodes[i]->timerUs) {
                    m_nodes[i]->timerUs = INT64_MAX;
                    handle(i, TimerFired{});
                }
            }
            deliver();
        }
    }

    // Time passes, but nothing is delivered.
    void pause(std::int64_t ms) { m_us += ms * usPerMs; }

    // Entry VMs -------------------------------------------------------------------------------------

    Dispatcher &core(std::size_t node) { return *m_nodes[node]->core; }

    void boot(std::size_t node)
    {
        CoreSettings settings = m_base;
        settings.self = {.name = "e-" + std::to_string(node),
                         .address = "127.0.0.1:" + std::to_string(7000 + node),
                         .zone = "z1",
                         .incarnation = Incarnation(++m_incarnations * 1000)};
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != node)
                settings.seeds.push_back({.name = "e-" + std::to_string(other),
                                          .address = "127.0.0.1:" + std::to_string(7000 + other),
                                          .zone = "z1"});
        }
        settings.parseEntry = parseTestEntry;
        Node &slot = *m_nodes[node];
        slot = Node{};
        slot.incarnation = settings.self.incarnation;
        slot.core = std::make_unique<Dispatcher>(settings);
        handle(node, VmListRead{.backends = backends, .nodes = {}});
        readLogs(node);
    }

    // Ends the process; links break.
    void crash(std::size_t node)
    {
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != node)
                disconnect(node, other);
        }
        m_nodes[node]->core.reset();
    }

    void connect(std::size_t a, std::size_t b)
    {
        m_links[{std::min(a, b), std::max(a, b)}] = true;
        handle(a, PeerConnected{nodeInfo(b)});
        handle(b, PeerConnected{nodeInfo(a)});
        deliver();
    }

    void disconnect(std::size_t a, std::size_t b)
    {
        bool &up = m_links[{std::min(a, b), std::max(a, b)}];
        if (!up)
            return;
        up = false;
        std::erase_if(m_messages, [&](const Message &message) {
            return (message.from == a && message.to == b) || (message.from == b && message.to == a);
        });
        if (m_nodes[a]->core)
            handle(a, PeerDisconnected{nodeInfo(b).name});
        if (m_nodes[b]->core)
            handle(b, PeerDisconnected{nodeInfo(a).name});
    }

    NodeInfo nodeInfo(std::size_t node) const
    {
        return {.name = "e-" + std::to_string(node),
                .address = "127.0.0.1:" + std::to_string(7000 + node),
                .zone = "z1",
                .incarnation = m_nodes[node]->incarnation};
    }

    void stepWallClock(std::size_t node, std::int64_t ms) { m_nodes[node]->wallStepMs += ms; }

    // Platform --------------------------------------------------------------------------------------

    void publish(const std::string &entry, const std::string &text)
    {
        ChangeRecord change{.changeId = "c-" + std::to_string(config.size()),
                            .author = "test",
                            .entries = {{entry, m_versions[entry], text}}};
        m_versions[entry] = static_cast<std::int64_t>(config.size()) + 1;
        append(Stream::Config, std::move(change));
    }

    void append(Stream stream, LogBody body)
    {
        auto &log = stream == Stream::Config ? config : ownership;
        log.push_back({static_cast<std::int64_t>(log.size()), wallStartMs + m_us / usPerMs, std::move(body)});
    }

    void readLogs(std::size_t node)
    {
        if (!m_nodes[node]->core)
            return;
        for (const Stream stream : {Stream::Config, Stream::Ownership}) {
            if (logDown) {
                if (m_nodes[node]->reported != 1)
                    handle(node, LogUnavailable{stream});
                continue;
            }
            const auto &log = stream == Stream::Config ? config : ownership;
            std::int64_t &next = m_nodes[node]->next[stream == Stream::Config ? 1 : 0];
            const auto end = static_cast<std::int64_t>(log.size());
            const std::int64_t first = std::max(next, firstAvailable);
            if (next >= end && m_nodes[node]->reported == 0)
                continue;
            LogRead read{.stream = stream,
                         .firstAvailable = firstAvailable,
                         .nextOffset = end,
                         .caughtUp = true,
                         .records = {}};
            for (std::int64_t offset = first; offset < end; ++offset)
                read.records.push_back(log[static_cast<std::size_t>(offset)]);
            next = end;
            handle(node, std::move(read));
        }
        m_nodes[node]->reported = logDown ? 1 : 0;
    }

    // Callers ---------------------------------------------------------------------------------------

    CallerId submit(std::size_t node, const Key &key, const std::string &templateName, std::size_t tasks = 1,
                    std::uint64_t bodyHash = 7, bool wait = true, const std::string &organisation = "north")
    {
        const CallerId caller{++m_callers};
        JobRequest request{.organisation = organisation, .templateName = templateName, .key = key, .tasks = {}};
        request.bodyHash = bodyHash;
        for (std::size_t i = 0; i < tasks; ++i)
            request.tasks.push_back(TaskRequest{.payload = "payload " + std::to_string(i)});
        handle(node, SubmitJob{caller, wait, std::move(request)});
        deliver();
        return caller;
    }

    CallerId fetch(std::size_t node, const Key &key, std::int64_t waitMs = 0)
    {
        const CallerId caller{++m_callers};
        handle(node, FetchAnswer{caller, "north", key, waitMs});
        deliver();
        return caller;
    }

    CallerId cancel(std::size_t node, const Key &key)
    {
        const CallerId caller{++m_callers};
        handle(node, CancelJob{caller, "north", key});
        deliver();
        return caller;
    }

    // A fresh key of "north" whose owner in the table of entry VM 0 is the given entry VM.
    Key keyOwnedBy(std::size_t node, std::int64_t issueOffsetMs = 0)
    {
        const std::int64_t issueMs = wallStartMs + m_us / usPerMs + issueOffsetMs;
        for (int i = 0; i < 100000; ++i) {
            ++m_keys;
            const Key key = makeKey(issueMs, m_keys, m_keys);
            const OwnerLookup owner = m_nodes[0]->core->ownership().find(partitionOf("north", key), issueMs);
            if (owner.coverage == Coverage::Owned && owner.incarnation == m_nodes[node]->incarnation)
                return key;
        }
        assert(false && "no partition is owned by the entry VM");
        return {};
    }

    // Answers so far; each caller must get at most one.
    std::size_t answerCount(CallerId caller) const { return answers.count(caller); }
    const Answer &answer(CallerId caller) const
    {
        assert(answers.count(caller) == 1);
        return answers.find(caller)->second;
    }

    // Backend servers -------------------------------------------------------------------------------

    void end(const Start &start, AttemptOutcome outcome, const std::string &result = "result")
    {
        handle(start.node, AttemptEnded{start.attempt.attempt, outcome, result, 1000});
        deliver();
    }

    void status(const Start &start, AttemptState state, const std::string &result = "result")
    {
        handle(start.node, AttemptStatus{start.attempt.attempt, state, result});
        deliver();
    }

    void handle(std::size_t node, Event &&event)
    {
        Actions actions;
        m_nodes[node]->core->handle(now(node), std::move(event), actions);
        for (Action &action : actions)
            std::visit([&](auto &alternative) { carryOut(node, alternative); }, action);
    }

    // Delivers peer messages until none is left, unless they are held.
    void deliver()
    {
        while (!m_messages.empty() && !holdMessages) {
            Message message = std::move(m_messages.front());
            m_messages.pop_front();
            if (m_nodes[message.to]->core)
                handle(message.to,
                       PeerMessageReceived{nodeInfo(message.from).name, message.incarnation,
                                           std::move(message.message)});
        }
    }

    template <typename M> std::size_t heldCount() const
    {
        std::size_t count = 0;
        for (const auto &message : m_messages)
            count += std::holds_alternative<M>(message.message) ? 1 : 0;
        return count;
    }

    // Puts a second copy of every held message of this type behind the queue.
    template <typename M> void duplicateHeld()
    {
        const std::size_t count = m_messages.size();
        for (std::size_t i = 0; i < count; ++i) {
            if (std::holds_alternative<M>(m_messages[i].message))
                m_messages.push_back(m_messages[i]);
        }
    }

    template <typename M> void dropHeld()
    {
        std::erase_if(m_messages, [](const auto &message) { return std::holds_alternative<M>(message.message); });
    }

    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        Incarnation incarnation{}; // of the sender
        PeerMessage message;
    };

    // Removes the last held message of this type.
    template <typename M> Message takeHeld()
    {
        const auto found = std::find_if(m_messages.rbegin(), m_messages.rend(), [](const Message &message) {
            return std::holds_alternative<M>(message.message);
        });
        assert(found != m_messages.rend());
        Message taken = std::move(*found);
        m_messages.erase(std::next(found).base());
        return taken;
    }

    void deliverNow(Message &&message)
    {
        handle(message.to,
               PeerMessageReceived{nodeInfo(message.from).name, message.incarnation, std::move(message.message)});
        deliver();
    }

    std::vector<BackendInfo> backends{{.name = "b-1", .address = "127.0.0.1:9001", .zone = "z1", .rack = "r1"}};
    std::vector<LogRecord> config;
    std::vector<LogRecord> ownership;
    std::int64_t firstAvailable = 0;
    bool logDown = false;
    bool holdMessages = false;
    std::vector<Start> starts;
    std::vector<AttemptId> stops;
    std::vector<AttemptId> queries;
    std::vector<std::pair<std::size_t, std::string>> leavingSent; // receiver, backend server
    std::multimap<CallerId, Answer> answers;
    std::map<CallerId, AnswerKeys> keyAnswers;
    std::map<CallerId, AnswerTrace> explanations;
    std::size_t drainsFinished = 0;
    std::size_t snapshots = 0;

private:
    struct Node
    {
        std::unique_ptr<Dispatcher> core;
        Incarnation incarnation{};
        std::int64_t timerUs = INT64_MAX;
        std::int64_t wallStepMs = 0;
        std::int64_t next[2] = {0, 0};
        int reported = -1; // what the last log event said, 1: down
    };

    void carryOut(std::size_t, AnswerCaller &action) { answers.emplace(action.caller, std::move(action.answer)); }
    void carryOut(std::size_t, AnswerKeys &action) { keyAnswers[action.caller] = std::move(action); }
    void carryOut(std::size_t, AnswerTrace &action) { explanations[action.caller] = std::move(action); }
    void carryOut(std::size_t node, StartAttempt &action) { starts.push_back({node, std::move(action)}); }
    void carryOut(std::size_t, StopAttempt &action) { stops.push_back(action.attempt); }
    void carryOut(std::size_t, QueryAttempt &action) { queries.push_back(action.attempt); }
    void carryOut(std::size_t node, SetTimer &action) { m_nodes[node]->timerUs = action.monoUs; }
    void carryOut(std::size_t, DrainFinished &) { ++drainsFinished; }
    void carryOut(std::size_t node, SeekLog &action)
    {
        m_nodes[node]->next[action.stream == Stream::Config ? 1 : 0] = action.offset;
    }
    void carryOut(std::size_t node, AppendLog &action)
    {
        (void)node;
        if (logDown)
            return; // the response is lost, too
        snapshots += std::holds_alternative<SnapshotRecord>(action.body) ? 1 : 0;
        append(action.stream, std::move(action.body));
    }
    void carryOut(std::size_t node, SendPeer &action)
    {
        const auto to = static_cast<std::size_t>(std::stoul(action.node.substr(2)));
        const auto link = m_links.find({std::min(node, to), std::max(node, to)});
        if (const auto *leaving = std::get_if<BackendLeaving>(&action.message))
            leavingSent.emplace_back(to, leaving->backend);
        if (link != m_links.end() && link->second)
            m_messages.push_back({node, to, m_nodes[node]->incarnation, std::move(action.message)});
    }
    template <typename A> void carryOut(std::size_t, A &) {}

    CoreSettings m_base;
    std::int64_t m_us = usPerS;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::pair<std::size_t, std::size_t>, bool> m_links;
    std::deque<Message> m_messages;
    std::map<std::string, std::int64_t> m_versions;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_callers = 0;
    std::uint64_t m_keys = 0;
};

} // namespace clementinelift::core::test
