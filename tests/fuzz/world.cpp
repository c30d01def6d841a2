#include "fuzz/world.h"

#include "config/entries.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace clementinelift::fuzz {

using namespace core;

namespace {

constexpr std::int64_t wallBaseMs = 1733288000000;
constexpr std::int64_t tickUs = 20 * usPerMs;
constexpr std::int64_t listIntervalUs = 500 * usPerMs;
constexpr std::int64_t connectTimeoutUs = 100 * usPerMs;
constexpr std::int64_t lateStartUs = 200 * usPerMs;
constexpr std::int64_t establishedLinkUs =
        3 * usPerS; // G6: peers pass on that a backend server is leaving within this time
constexpr std::size_t maxRecordsPerRead = 100;

std::size_t indexOf(Stream stream)
{
    return stream == Stream::Ownership ? 0 : 1;
}

std::size_t nodeOf(std::string_view name)
{
    return std::stoul(std::string(name.substr(1)));
}

} // namespace

std::optional<Variant> parseVariant(std::string_view name)
{
    constexpr std::array<std::pair<std::string_view, Variant>, 9> variants{
            {{"none", Variant::None},
             {"same_incarnation", Variant::SameIncarnation},
             {"partial_answer", Variant::PartialAnswer},
             {"mixed_answers", Variant::MixedAnswers},
             {"strong_refusal", Variant::StrongRefusal},
             {"unknown_not_started", Variant::UnknownNotStarted},
             {"leaving_ignored", Variant::LeavingIgnored},
             {"hard_stop", Variant::HardStop},
             {"skipped_record", Variant::SkippedRecord}}};
    const auto found =
            std::find_if(variants.begin(), variants.end(), [name](auto &entry) { return entry.first == name; });
    return found == variants.end() ? std::nullopt : std::optional(found->second);
}

World::World(const WorldOptions &options, Variant variant)
    : m_options(options), m_variant(variant), m_random(options.seed), m_nodes(options.nodes),
      m_links(options.nodes * options.nodes), m_backends(options.backends), m_reference(config::parseEntry)
{
    assert(options.nodes > 0 && options.zones > 0);
    m_reference.markLoaded();
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        BackendInfo &info = m_backends[i].info;
        info.name = absl::StrCat("b", i);
        info.address = absl::StrCat("10.1.0.", i, ":9000");
        info.zone = absl::StrCat("z", i % options.zones);
        info.rack = absl::StrCat("r", i / 2);
        info.slots = options.slots;
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        CoreSettings &settings = m_nodes[i].settings;
        settings.self = {absl::StrCat("e", i),
                         absl::StrCat("10.0.0.", i, ":7101"),
                         absl::StrCat("z", i % options.zones),
                         {},
                         false};
        settings.parseEntry = config::parseEntry;
        // Shorter than the defaults, in the same proportions, so that all of these times elapse in a short run.
        settings.grantAheadMs = 4000;
        settings.grantExtendMs = 1000;
        settings.dedupeHorizonMs = 12000;
        settings.maxProgressStepMs = 5500;
        settings.futureSkewMs = 2000;
        settings.drainLingerMs = 300;
        settings.snapshotEvery = 8;
        settings.logRetentionMs = options.retentionMs;
        settings.maxQueuedTasks = options.queue;
    }
    for (CoreSettings *settings = &m_nodes.front().settings; Node & node : m_nodes)
        node.settings.seeds = {settings->self};
    publish("template/once", "repeat = never\ndeadline_ms = 5000\nrun_ms = 50\n", 0);
    publish("template/again", "repeat = allowed\ndeadline_ms = 5000\nrun_ms = 50\n", 0);
    publish("organisation/north", "concurrency = 400\n", 0);
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        start(i);
    schedule(0, [this] { tick(); });
}

World::~World() = default;

// Time ----------------------------------------------------------------------------------------------

std::int64_t World::wallMs() const
{
    return wallBaseMs + m_nowUs / usPerMs;
}

std::int64_t World::randomBetween(std::int64_t lowUs, std::int64_t highUs)
{
    return lowUs + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(highUs - lowUs + 1));
}

void World::schedule(std::int64_t delayUs, std::function<void()> action)
{
    m_queue.emplace(std::pair(m_nowUs + delayUs, m_sequence++), std::move(action));
}

void World::run(std::int64_t ms)
{
    const std::int64_t endUs = m_nowUs + ms * usPerMs;
    while (!m_queue.empty() && m_queue.begin()->first.first <= endUs) {
        auto next = m_queue.extract(m_queue.begin());
        m_nowUs = next.key().first;
        next.mapped()();
    }
    m_nowUs = endUs;
}

void World::settle(std::int64_t ms)
{
    m_logMode = LogMode::Up;
    m_appendsToLose = 0;
    m_isListUp = true;
    for (Link &link : m_links)
        link.isCut = false;
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        if (!m_backends[i].isGone)
            setBackend(i, BackendMode::Ok, 1);
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].isPlatformCut = false;
        m_nodes[i].cutBackends.clear();
        setFrozen(i, false);
        stepClock(i, -m_nodes[i].wallOffsetMs);
        if (!m_nodes[i].core)
            start(i);
    }
    run(ms);
    m_oracle.checkAnswersDue(m_nowUs);
    if (!isConfigAgreed())
        m_oracle.violate("G8", "connected entry VMs do not agree on the configuration");
    for (const Node &node : m_nodes) {
        if (node.core && !node.core->isDraining() && !node.core->isReady())
            m_oracle.violate("readiness", node.settings.self.name + " waits for " + node.core->waitingFor());
    }
}

// Updates links and the VM list and reads the logs, once per tickUs.
void World::tick()
{
    const bool isListDue = m_nowUs % listIntervalUs == 0;
    if (isListDue) {
        VmListRead list;
        for (const Backend &backend : m_backends) {
            if (!backend.isGone)
                list.backends.push_back(backend.info);
        }
        for (const Node &node : m_nodes)
            list.nodes.push_back(node.settings.self);
        for (NodeInfo &node : list.nodes)
            node.incarnation = {};
        m_listHistory.emplace_back(m_nowUs, std::move(list));
        while (m_listHistory.size() > 1 && m_listHistory[1].first <= m_nowUs - m_options.listLagMs * usPerMs)
            m_listHistory.pop_front();
        dropOldRecords();
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        for (std::size_t j = i + 1; j < m_nodes.size(); ++j)
            updateLink(i, j);
        if (!m_nodes[i].core || m_nodes[i].isFrozen)
            continue;
        readLog(i, Stream::Ownership);
        readLog(i, Stream::Config);
        if (isListDue && m_isListUp && !m_nodes[i].isPlatformCut)
            readList(i);
    }
    schedule(tickUs, [this] { tick(); });
}

// Entry VMs -----------------------------------------------------------------------------------------

void World::start(std::size_t index)
{
    Node &node = m_nodes[index];
    assert(!node.core);
    node.process = m_nextProcess++;
    const bool isReused = m_variant == Variant::SameIncarnation;
    node.settings.self.incarnation = Incarnation(isReused ? 1000 + index : m_random() | 1);
    node.settings.self.leaving = false;
    node.settings.seed = m_random();
    node.core = std::make_unique<Dispatcher>(node.settings);
    node.isFrozen = false;
    node.heldEvents.clear();
    node.wantedLinks.clear();
    node.logNext = {};
    node.isCaughtUp = {};
    node.attempts.clear();
    m_oracle.addJournalEntry(m_nowUs,
                             absl::StrCat("process ", node.process, " of ", node.settings.self.name, " starts"));
    handle(index, TimerFired{});
}

// Ends the process without notifying the core.
void World::stop(std::size_t index)
{
    Node &node = m_nodes[index];
    node.core.reset();
    node.isFrozen = false;
    ++node.timer;
    m_oracle.onNodeDown(index);
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (other != index)
            setLinkUp(index, other, false);
    }
}

void World::crash(std::size_t node)
{
    if (m_nodes[node].core)
        stop(node);
}

void World::restart(std::size_t node)
{
    crash(node);
    start(node);
}

void World::setFrozen(std::size_t index, bool isFrozen)
{
    Node &node = m_nodes[index];
    if (!node.core || node.isFrozen == isFrozen)
        return;
    node.isFrozen = isFrozen;
    const std::uint64_t process = node.process;
    while (!node.isFrozen && !node.heldEvents.empty() && node.core && node.process == process) {
        Event event = std::move(node.heldEvents.front());
        node.heldEvents.pop_front();
        handle(index, std::move(event));
    }
}

void World::drain(std::size_t index)
{
    if (!m_nodes[index].core)
        return;
    if (m_variant == Variant::HardStop) {
        m_oracle.onDrainFinished(index, m_nodes[index].attempts.size());
        stop(index);
        return;
    }
    m_nodes[index].settings.self.leaving = true;
    deliver(index, m_nodes[index].process, BeginDrain{});
}

void World::stepClock(std::size_t node, std::int64_t ms)
{
    m_nodes[node].wallOffsetMs += ms;
}

void World::deliver(std::size_t index, std::uint64_t process, Event event)
{
    Node &node = m_nodes[index];
    if (!node.core || node.process != process)
        return;
    if (node.isFrozen)
        node.heldEvents.push_back(std::move(event));
    else
        handle(index, std::move(event));
}

void World::handle(std::size_t index, Event event)
{
    Node &node = m_nodes[index];
    const std::uint64_t process = node.process;
    if (const auto *list = std::get_if<VmListRead>(&event)) {
        for (const BackendInfo &backend : list->backends) {
            if (backend.leaving && m_variant != Variant::LeavingIgnored)
                m_oracle.onLeavingRead(index, backend.name, m_nowUs);
        }
    }
    const bool mayConfigure =
            std::holds_alternative<LogRead>(event) || std::holds_alternative<PeerMessageReceived>(event);
    Actions actions;
    node.core->handle({m_nowUs + static_cast<std::int64_t>(process) * 1000 * usPerS, wallMs() + node.wallOffsetMs},
                      std::move(event), actions);
    if (mayConfigure)
        m_oracle.onConfig(process, node.core->configuration().entries(), node.core->configuration().nextOffset());
    for (Action &action : actions) {
        if (!node.core || node.process != process)
            return; // DrainFinished ended the process
        performAction(index, action);
    }
}

void World::performAction(std::size_t index, Action &action)
{
    Node &node = m_nodes[index];
    const std::uint64_t process = node.process;
    if (const auto *answered = std::get_if<AnswerCaller>(&action)) {
        answer(*answered);
    } else if (const auto *start = std::get_if<StartAttempt>(&action)) {
        startAttempt(index, *start);
    } else if (const auto *stopped = std::get_if<StopAttempt>(&action)) {
        const auto backend = findBackend(stopped->address);
        m_oracle.addJournalEntry(m_nowUs, absl::StrCat("stop ", toString(stopped->attempt)));
        if (backend && !node.cutBackends.contains(*backend))
            schedule(randomBetween(200, 1000),
                     [=, this, attempt = stopped->attempt] { finish(*backend, attempt, AttemptState::Failed, true); });
    } else if (const auto *query = std::get_if<QueryAttempt>(&action)) {
        AttemptStatus status{query->attempt, AttemptState::Unreachable, {}};
        if (const auto backend = findBackend(query->address); backend && !node.cutBackends.contains(*backend)) {
            const Backend &asked = m_backends[*backend];
            const std::string attempt = toString(query->attempt);
            if (asked.running.contains(attempt))
                status.state = AttemptState::Running;
            else if (asked.ended.contains(attempt))
                status = asked.ended.at(attempt);
            else if (asked.mode != BackendMode::Crashed)
                status.state = AttemptState::NotKnown;
        }
        schedule(randomBetween(400, 2000), [=, this] { deliver(index, process, status); });
    } else if (const auto *probe = std::get_if<ProbeBackend>(&action)) {
        const auto backend = findBackend(probe->address);
        const bool isHealthy =
                backend && m_backends[*backend].mode != BackendMode::Crashed && !node.cutBackends.contains(*backend);
        schedule(randomBetween(400, 2000), [=, this, id = probe->backend] {
            deliver(index, process, BackendProbed{id, isHealthy});
        });
    } else if (auto *sent = std::get_if<SendPeer>(&action)) {
        send(index, *sent);
    } else if (const auto *wanted = std::get_if<ConnectPeer>(&action)) {
        if (nodeOf(wanted->node.name) < m_nodes.size())
            node.wantedLinks.insert(nodeOf(wanted->node.name));
    } else if (const auto *unwanted = std::get_if<DisconnectPeer>(&action)) {
        node.wantedLinks.erase(nodeOf(unwanted->node));
    } else if (const auto *appended = std::get_if<AppendLog>(&action)) {
        append(index, *appended);
    } else if (const auto *seek = std::get_if<SeekLog>(&action)) {
        node.logNext[indexOf(seek->stream)] = seek->offset;
        node.isCaughtUp[indexOf(seek->stream)] = false;
    } else if (const auto *timer = std::get_if<SetTimer>(&action)) {
        const std::uint64_t generation = ++node.timer;
        const std::int64_t dueUs = timer->monoUs - static_cast<std::int64_t>(process) * 1000 * usPerS;
        schedule(std::max<std::int64_t>(dueUs - m_nowUs, 0), [=, this] {
            if (m_nodes[index].timer == generation)
                deliver(index, process, TimerFired{});
        });
    } else if (const auto *notice = std::get_if<Notice>(&action)) {
        m_oracle.addJournalEntry(
                m_nowUs, absl::StrCat(node.settings.self.name, " ", std::string(notice->part), ": ", notice->text));
    } else if (std::holds_alternative<DrainFinished>(action)) {
        // Before the process exits, it handles the events that were held while it was frozen.
        while (!node.heldEvents.empty() && node.core && node.process == process) {
            Event event = std::move(node.heldEvents.front());
            node.heldEvents.pop_front();
            handle(index, std::move(event));
        }
        if (!node.core || node.process != process)
            return;
        m_oracle.onDrainFinished(index, node.attempts.size());
        stop(index);
    }
}

// Callers and operators -----------------------------------------------------------------------------

Key World::keyOf(const std::string &id, std::int64_t issuedMs)
{
    return m_keys.try_emplace(id, makeKeyFromId(id, wallMs() + issuedMs)).first->second;
}

void World::submit(const Submission &submission)
{
    const std::size_t node = submission.node;
    if (!m_nodes[node].core)
        return;
    const CallerId caller{m_nextCaller++};
    JobRequest request;
    request.organisation = "north";
    request.templateName = submission.templateName;
    request.key = keyOf(submission.id, submission.issuedMs);
    request.deadlineMs = submission.deadlineMs;
    request.bodyHash =
            std::hash<std::string>()(absl::StrCat(submission.templateName, submission.body, submission.tasks));
    for (std::uint32_t index = 0; index < submission.tasks; ++index) {
        TaskRequest task;
        task.payload = payloadOf({submission.id, index, submission.body, submission.runMs});
        request.tasks.push_back(std::move(task));
    }
    m_oracle.declareTemplate(submission.id, submission.templateName == "again" ? Repeat::Allowed : Repeat::Never);
    m_oracle.onRequest(caller,
                       {.id = submission.id,
                        .body = submission.body,
                        .tasks = submission.tasks,
                        .node = node,
                        .isWaiting = submission.wait,
                        .askedUs = m_nowUs,
                        .deadlineUs = m_nowUs + submission.deadlineMs * usPerMs});
    m_oracle.addJournalEntry(m_nowUs, absl::StrCat("submit ", submission.id, " at e", node, " caller=", raw(caller)));
    deliver(node, m_nodes[node].process, SubmitJob{caller, submission.wait, std::move(request)});
}

void World::cancel(const std::string &id, std::size_t node)
{
    if (!m_nodes[node].core)
        return;
    const CallerId caller{m_nextCaller++};
    m_oracle.onRequest(
            caller,
            {.id = id, .node = node, .isSubmit = false, .askedUs = m_nowUs, .deadlineUs = m_nowUs + 5 * usPerS});
    deliver(node, m_nodes[node].process, CancelJob{caller, "north", keyOf(id, 0)});
}

void World::fetch(const std::string &id, std::size_t node, std::int64_t waitMs)
{
    if (!m_nodes[node].core)
        return;
    const CallerId caller{m_nextCaller++};
    m_oracle.onRequest(caller,
                       {.id = id,
                        .node = node,
                        .isSubmit = false,
                        .askedUs = m_nowUs,
                        .deadlineUs = m_nowUs + waitMs * usPerMs + 5 * usPerS});
    deliver(node, m_nodes[node].process, FetchAnswer{caller, "north", keyOf(id, 0), waitMs});
}

void World::answer(const AnswerCaller &action)
{
    AnswerCaller changed = action;
    Answer &answer = changed.answer;
    if (m_variant == Variant::PartialAnswer && answer.kind == AnswerKind::Failed) {
        answer = {};
        answer.kind = AnswerKind::Complete;
    }
    if (m_variant == Variant::StrongRefusal && answer.statement == Statement::AttemptNotRun)
        answer.statement = Statement::NotRun;
    if (m_variant == Variant::MixedAnswers && answer.kind == AnswerKind::Complete) {
        if (!m_delayedAnswer) {
            m_delayedAnswer = std::move(changed);
            return;
        }
        std::swap(m_delayedAnswer->caller, changed.caller);
        m_oracle.onAnswer(m_delayedAnswer->caller, m_delayedAnswer->answer, m_nowUs);
        m_delayedAnswer.reset();
    }
    m_oracle.onAnswer(changed.caller, answer, m_nowUs);
}

void World::publish(const std::string &entry, const std::string &text, std::optional<std::int64_t> base)
{
    if (m_logMode == LogMode::Down)
        return;
    ChangeRecord change;
    change.changeId = absl::StrCat("change-", m_nextChange++);
    change.author = "operator";
    change.entries.push_back({entry, base.value_or(version(entry)), text});
    addRecord(Stream::Config, std::move(change));
}

std::int64_t World::version(const std::string &name) const
{
    const ConfigEntry *entry = m_reference.entry(name);
    return entry ? entry->version : 0;
}

bool World::isConfigAgreed() const
{
    const auto expected = m_reference.entries();
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node &node) {
        if (!node.core)
            return true;
        const auto actual = node.core->configuration().entries();
        return std::equal(expected.begin(), expected.end(), actual.begin(), actual.end(),
                          [](const ConfigEntry *a, const ConfigEntry *b) {
                              return a->name == b->name && a->version == b->version && a->text == b->text;
                          });
    });
}

// Links ---------------------------------------------------------------------------------------------

void World::send(std::size_t from, SendPeer &action)
{
    const std::size_t to = nodeOf(action.node);
    if (to >= m_nodes.size() || to == from || !link(from, to).isUp)
        return;
    if (m_variant == Variant::LeavingIgnored && std::holds_alternative<BackendLeaving>(action.message))
        return;
    Link &used = link(from, to);
    std::int64_t &lastUs = used.lastUs[from < to ? 0 : 1];
    // Messages keep their order within a link, but not between links. A delayed message delays all later ones.
    const std::int64_t delayUs = m_random() % 64 == 0 ? randomBetween(10000, 60000) : randomBetween(300, 1500);
    lastUs = std::max(lastUs, m_nowUs + delayUs);
    PeerMessageReceived received{m_nodes[from].settings.self.name, m_nodes[from].settings.self.incarnation,
                                 std::move(action.message)};
    schedule(lastUs - m_nowUs,
             [=, this, epoch = used.epoch, process = m_nodes[to].process, received = std::move(received)] {
                 if (link(from, to).isUp && link(from, to).epoch == epoch)
                     deliver(to, process, received);
             });
}

void World::updateLink(std::size_t a, std::size_t b)
{
    const bool isWanted = m_nodes[a].wantedLinks.contains(b) || m_nodes[b].wantedLinks.contains(a);
    const bool isPossible = m_nodes[a].core && m_nodes[b].core && !link(a, b).isCut;
    setLinkUp(a, b, isWanted && isPossible);
}

void World::setLinkUp(std::size_t a, std::size_t b, bool isUp)
{
    Link &changed = link(a, b);
    if (changed.isUp == isUp)
        return;
    changed.isUp = isUp;
    ++changed.epoch;
    changed.upSinceUs = m_nowUs;
    changed.lastUs = {m_nowUs, m_nowUs};
    for (const auto &[self, other] : {std::pair(a, b), std::pair(b, a)}) {
        if (isUp)
            deliver(self, m_nodes[self].process, PeerConnected{m_nodes[other].settings.self});
        else
            deliver(self, m_nodes[self].process, PeerDisconnected{m_nodes[other].settings.self.name});
    }
}

void World::cutNodes(std::size_t a, std::size_t b, bool isCut)
{
    link(a, b).isCut = isCut;
    updateLink(a, b);
}

void World::cutPlatform(std::size_t node, bool isCut)
{
    m_nodes[node].isPlatformCut = isCut;
}

// Attempts in progress end as Unknown for the entry VM and continue on the backend server.
void World::cutBackend(std::size_t index, std::size_t backend, bool isCut)
{
    Node &node = m_nodes[index];
    if (!isCut) {
        node.cutBackends.erase(backend);
        return;
    }
    node.cutBackends.insert(backend);
    for (const auto &[attempt, target] : node.attempts) {
        if (target == backend)
            endAttempt({{}, index, node.process}, *parseAttemptId(attempt), AttemptOutcome::Unknown, "cut",
                       connectTimeoutUs);
    }
}

void World::cutZone(std::size_t zone, bool isCut)
{
    const auto isInside = [&](std::size_t index) { return index % m_options.zones == zone; };
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (isInside(i))
            cutPlatform(i, isCut);
        for (std::size_t j = i + 1; j < m_nodes.size(); ++j) {
            if (isInside(i) != isInside(j))
                cutNodes(i, j, isCut);
        }
        for (std::size_t b = 0; b < m_backends.size(); ++b) {
            if (isInside(i) != isInside(b))
                cutBackend(i, b, isCut);
        }
    }
}

// Log service and VM list ---------------------------------------------------------------------------

void World::append(std::size_t index, const AppendLog &action)
{
    const Node &node = m_nodes[index];
    const auto end = [=, this, process = node.process](AppendOutcome outcome, std::int64_t offset,
                                                       std::int64_t delayUs) {
        schedule(delayUs, [=, this, id = action.append] { deliver(index, process, AppendEnded{id, outcome, offset}); });
    };
    if (node.isPlatformCut) {
        end(AppendOutcome::Unknown, -1, connectTimeoutUs);
        return;
    }
    if (m_logMode == LogMode::Down) {
        end(m_random() % 2 == 0 ? AppendOutcome::Refused : AppendOutcome::Unknown, -1, randomBetween(1000, 50000));
        return;
    }
    const std::int64_t workUs = m_logMode == LogMode::Slow ? randomBetween(500000, 3000000) : randomBetween(2000, 8000);
    const bool isAnswerLost = m_appendsToLose > 0;
    if (isAnswerLost) {
        --m_appendsToLose;
        end(AppendOutcome::Unknown, -1, randomBetween(1000, 4000)); // the record may be appended later
    }
    schedule(workUs, [=, this, stream = action.stream, body = action.body] {
        addRecord(stream, body);
        if (!isAnswerLost)
            end(AppendOutcome::Appended, m_log[indexOf(stream)].end() - 1, 500);
    });
}

void World::addRecord(Stream stream, LogBody body)
{
    StreamLog &log = m_log[indexOf(stream)];
    log.records.push_back({log.end(), wallMs(), std::move(body)});
    if (stream == Stream::Config)
        m_reference.apply(log.records.back());
    m_oracle.addJournalEntry(m_nowUs, absl::StrCat("record ", log.end() - 1, " of stream ", indexOf(stream)));
}

// Extends the retention of configuration records by the time in which no entry VM can append a snapshot: entry VMs that
// are all down for longer than the retention lose the configuration by design.
void World::dropOldRecords()
{
    const bool canAppendSnapshot =
            m_logMode == LogMode::Up && std::any_of(m_nodes.begin(), m_nodes.end(), [](const Node &node) {
                return node.core && node.core->isReady() && !node.isFrozen && !node.isPlatformCut
                        && node.wallOffsetMs == 0;
            });
    m_snapshotOutageMs += canAppendSnapshot ? 0 : listIntervalUs / usPerMs;
    for (StreamLog &log : m_log) {
        const std::int64_t extraRetentionMs = &log == &m_log[indexOf(Stream::Config)] ? m_snapshotOutageMs : 0;
        const auto kept = std::find_if(log.records.begin(), log.records.end(), [&](const LogRecord &record) {
            return record.timeMs >= wallMs() - m_options.retentionMs - extraRetentionMs;
        });
        log.first += kept - log.records.begin();
        log.records.erase(log.records.begin(), kept);
    }
}

void World::readLog(std::size_t index, Stream stream)
{
    Node &node = m_nodes[index];
    const std::uint64_t process = node.process;
    const StreamLog &log = m_log[indexOf(stream)];
    std::int64_t &next = node.logNext[indexOf(stream)];
    if (node.isPlatformCut || m_logMode == LogMode::Down) {
        if (m_nowUs % listIntervalUs == 0)
            deliver(index, process, LogUnavailable{stream});
        return;
    }
    if (m_logMode == LogMode::Slow && m_random() % 32 != 0)
        return;
    if (next >= log.end() && node.isCaughtUp[indexOf(stream)])
        return;
    LogRead read;
    read.stream = stream;
    read.firstAvailable = log.first;
    for (std::int64_t offset = std::max(next, log.first); offset < log.end() && read.records.size() < maxRecordsPerRead;
         ++offset)
        read.records.push_back(log.records[static_cast<std::size_t>(offset - log.first)]);
    read.nextOffset = std::max(next, log.first) + static_cast<std::int64_t>(read.records.size());
    read.caughtUp = read.nextOffset >= log.end();
    if (m_variant == Variant::SkippedRecord && stream == Stream::Config && index == 0) {
        for (LogRecord &record : read.records) {
            if (++node.skipped % 3 == 0)
                record.body = ChangeRecord{};
        }
    }
    next = read.nextOffset;
    node.isCaughtUp[indexOf(stream)] = read.caughtUp;
    deliver(index, process, std::move(read));
}

void World::readList(std::size_t node)
{
    VmListRead list = m_listHistory.front().second;
    if (m_variant == Variant::LeavingIgnored) {
        for (BackendInfo &backend : list.backends) {
            if (backend.leaving)
                m_oracle.onLeavingRead(node, backend.name, m_nowUs);
            backend.leaving = false;
        }
    }
    deliver(node, m_nodes[node].process, std::move(list));
}

// Backend servers -----------------------------------------------------------------------------------

std::optional<std::size_t> World::findBackend(const std::string &address) const
{
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        if (m_backends[i].info.address == address)
            return i;
    }
    return std::nullopt;
}

void World::startAttempt(std::size_t index, const StartAttempt &action)
{
    Node &node = m_nodes[index];
    const auto backend = findBackend(action.address);
    assert(backend);
    std::set<std::size_t> establishedPeers;
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (other != index && link(index, other).isUp && link(index, other).upSinceUs <= m_nowUs - establishedLinkUs
            && !m_nodes[other].isFrozen)
            establishedPeers.insert(other);
    }
    m_oracle.onSend(index, action.backendName, establishedPeers, m_nowUs);
    if (!node.attempts.emplace(toString(action.attempt), *backend).second)
        m_oracle.violate("G1", "attempt id " + toString(action.attempt) + " was used twice");
    m_oracle.addJournalEntry(
            m_nowUs, absl::StrCat(node.settings.self.name, " sends ", action.payload, " to ", action.backendName));
    const Running running{action.payload, index, node.process};
    if (node.cutBackends.contains(*backend)) {
        endAttempt(running, action.attempt, AttemptOutcome::NotStarted, "no connection", connectTimeoutUs);
        return;
    }
    schedule(randomBetween(200, 1000), [=, this] {
        Backend &target = m_backends[*backend];
        ++target.received;
        if (target.mode == BackendMode::Crashed || target.isGone)
            endAttempt(running, action.attempt, AttemptOutcome::NotStarted, "no connection", 300);
        else if (target.mode == BackendMode::Busy || target.running.size() >= target.info.slots)
            endAttempt(running, action.attempt, AttemptOutcome::Busy, "busy", 300);
        else if (target.mode == BackendMode::Late) {
            endAttempt(running, action.attempt, AttemptOutcome::Unknown, "connection lost", 300);
            schedule(lateStartUs, [=, this] { execute(*backend, action, running); });
        } else
            execute(*backend, action, running);
    });
}

void World::execute(std::size_t index, const StartAttempt &action, Running running)
{
    Backend &backend = m_backends[index];
    if (backend.mode == BackendMode::Crashed || backend.running.size() >= backend.info.slots)
        return;
    m_oracle.onStart(action.attempt, running.payload, m_nowUs);
    const std::uint32_t runMs = parsePayload(running.payload).runMs;
    backend.running.emplace(toString(action.attempt), std::move(running));
    const auto workUs = static_cast<std::int64_t>(runMs * usPerMs * backend.factor);
    const std::int64_t leaseUs = action.leaseMs * usPerMs;
    const bool isFailing = backend.mode == BackendMode::Failing;
    const bool isMute = backend.mode == BackendMode::Mute;
    if (backend.mode != BackendMode::Stalled && workUs < leaseUs) {
        schedule(isFailing ? usPerMs : workUs, [=, this, attempt = action.attempt] {
            finish(index, attempt, isFailing ? AttemptState::Failed : AttemptState::Completed, !isMute);
        });
    } else {
        schedule(std::max<std::int64_t>(leaseUs, 0),
                 [=, this, attempt = action.attempt] { finish(index, attempt, AttemptState::Failed, true); });
    }
}

void World::finish(std::size_t index, const AttemptId &attempt, AttemptState state, bool isAnswered)
{
    Backend &backend = m_backends[index];
    const auto found = backend.running.find(toString(attempt));
    if (found == backend.running.end())
        return;
    const Running running = std::move(found->second);
    backend.running.erase(found);
    const bool isCompleted = state == AttemptState::Completed;
    const std::string result = isCompleted ? resultOf(running.payload) : "failed";
    m_oracle.onEnd(attempt, running.payload, isCompleted);
    backend.ended[toString(attempt)] = {attempt, state, result};
    if (m_nodes[running.node].cutBackends.contains(index))
        return;
    const AttemptOutcome outcome = !isAnswered ? AttemptOutcome::Unknown
            : isCompleted                      ? AttemptOutcome::Completed
                                               : AttemptOutcome::Failed;
    endAttempt(running, attempt, outcome, result, randomBetween(200, 1000));
}

// Delivers one end per sent attempt; the first one removes the attempt, and later ones are ignored.
void World::endAttempt(const Running &running, const AttemptId &attempt, AttemptOutcome outcome,
                       const std::string &result, std::int64_t delayUs)
{
    const bool isHidden = m_variant == Variant::UnknownNotStarted && outcome == AttemptOutcome::Unknown;
    schedule(delayUs, [=, this] {
        Node &node = m_nodes[running.node];
        if (!node.core || node.process != running.process || node.attempts.erase(toString(attempt)) == 0)
            return;
        m_oracle.addJournalEntry(m_nowUs,
                                 absl::StrCat("end of ", toString(attempt), " outcome=", static_cast<int>(outcome)));
        deliver(running.node, running.process,
                AttemptEnded{attempt, isHidden ? AttemptOutcome::NotStarted : outcome, result, 0});
    });
}

void World::setBackend(std::size_t index, BackendMode mode, double factor)
{
    Backend &backend = m_backends[index];
    backend.mode = mode;
    backend.factor = factor;
    if (mode != BackendMode::Crashed)
        return;
    for (const auto &[text, running] : std::exchange(backend.running, {})) {
        const AttemptId attempt = *parseAttemptId(text);
        m_oracle.onEnd(attempt, running.payload, false);
        endAttempt(running, attempt, AttemptOutcome::Unknown, "connection lost", randomBetween(1000, 50000));
    }
    backend.ended.clear();
}

void World::setLeaving(std::size_t backend)
{
    m_backends[backend].info.leaving = true;
}

void World::removeBackend(std::size_t backend)
{
    setBackend(backend, BackendMode::Crashed, 1);
    m_backends[backend].isGone = true;
}

} // namespace clementinelift::fuzz
