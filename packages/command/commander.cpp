#include "command/commander.h"

#include "command/text.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace clementinelift::command {

namespace {

constexpr double slowestClock = 0.98;             // a backend server's clock may be 2% slow
constexpr TimeUs clockSlackUs = 2 * usPerMs;      // clocks are told in whole milliseconds
constexpr std::int64_t holdWaitMs = 400;          // leases are renewed at least this often, with 600 ms to spare
constexpr TimeUs answerTimeoutUs = 150 * usPerMs; // of orders that do not wait: 100 times the round trip
constexpr TimeUs holdSlackUs = 250 * usPerMs;     // of the answer after the wait of a hold
constexpr TimeUs firstLookUs = 100 * usPerMs;     // between looks at a backend server that does not answer
constexpr TimeUs longestLookUs = 800 * usPerMs;   // the same, after many
constexpr TimeUs stopTimeoutUs = 80 * usPerMs;    // of an answer to a stop; it is repeated then
// A caller comes back 1,300 ms after its connection broke. A run that could not be stopped, or whose coordinator is
// silent, ends with its lease at latest 1,022 ms after the last renewal, which is therefore not later than this.
constexpr TimeUs renewalLimitUs = 250 * usPerMs;
constexpr TimeUs stopRepeatUs = 120 * usPerMs; // a stop takes 50 ms; repeated after this
constexpr TimeUs failBlockUs = 700 * usPerMs;  // pause after failed runs in a row, doubled with each further one
constexpr TimeUs longestBlockUs = 3 * usPerS;
constexpr std::uint32_t failuresToBlock = 2; // one run in 500 fails by its own fault, so two in a row hardly ever
constexpr TimeUs turnedAwayBlockUs = 150 * usPerMs; // after "unhealthy"

} // namespace

std::string_view toString(Stage stage)
{
    switch (stage) {
    case Stage::Foreign:
        return "foreign";
    case Stage::Claiming:
        return "claiming";
    case Stage::Usable:
        return "usable";
    case Stage::Suspect:
        return "suspect";
    case Stage::Fenced:
        break;
    }
    return "fenced";
}

Commander::Commander(const CommanderSettings &settings) : m_settings(settings) {}

// Registry and shards -------------------------------------------------------------------------------

std::uint32_t Commander::indexOf(std::string_view server)
{
    const auto [found, isNew] = m_indexes.try_emplace(server, static_cast<std::uint32_t>(m_servers.size()));
    if (isNew)
        m_servers.emplace_back().entry.id = server;
    return found->second;
}

bool Commander::isMine(const Server &server) const
{
    if (server.entry.zone != m_settings.zone || m_held.shardCount == 0)
        return false;
    const auto shard =
            static_cast<std::uint32_t>(XXH3_64bits(server.entry.id.data(), server.entry.id.size()) % m_held.shardCount);
    return std::find(m_held.shards.begin(), m_held.shards.end(), shard) != m_held.shards.end();
}

void Commander::list(TimeUs now, const ServerEntry &entry, std::vector<Action> &actions, std::vector<Ended> &ended)
{
    Server &server = m_servers[indexOf(entry.id)];
    const bool isReborn = server.listed && entry.incarnationStartMs != 0 && server.incarnationStartMs != 0
            && entry.incarnationStartMs > server.incarnationStartMs;
    const bool isMoved = server.listed && entry.address != server.entry.address;
    server.entry = entry;
    server.listed = true;
    if (server.incarnationStartMs == 0)
        server.incarnationStartMs = entry.incarnationStartMs;
    ++m_roomVersion;
    if (isReborn || isMoved) {
        forget(now, server, now, ended);
        server.incarnationStartMs = entry.incarnationStartMs;
        server.acknowledgedEnd = 0;
        server.sentAck = 0;
        server.clockAt = 0;
        server.silences = 0;
        server.failures = 0;
        server.blockedUntil = 0;
        if (server.stage != Stage::Foreign)
            take(now, server, server.token, actions);
    } else if (server.stage == Stage::Foreign && isMine(server)) {
        take(now, server, m_held.token, actions);
    }
}

// The runs of a backend server that has left died with it.
void Commander::delist(TimeUs now, std::string_view id, std::vector<Action> &actions, std::vector<Ended> &ended)
{
    const auto found = m_indexes.find(id);
    if (found == m_indexes.end())
        return;
    Server &server = m_servers[found->second];
    if (!server.runs.empty())
        actions.push_back(LogLine{false, "servers",
                                  concat("backend server left with runs server=", id, " runs=", server.runs.size(),
                                         " stage=", toString(server.stage))});
    server.listed = false;
    ++m_roomVersion;
    // An entry may also lapse while its server lives, so the runs count until their leases have ended.
    if (server.runs.empty())
        release(now, server, ended);
}

void Commander::holdShards(TimeUs now, const ShardsAssigned &held, std::vector<Action> &actions,
                           std::vector<Ended> &ended)
{
    m_held = held;
    ++m_roomVersion;
    for (Server &server : m_servers) {
        if (!server.listed && server.stage == Stage::Foreign)
            continue;
        if (isMine(server)) {
            server.departing = false;
            if (server.stage == Stage::Foreign || (server.stage == Stage::Fenced && held.token > server.fencedToken))
                take(now, server, held.token, actions);
            server.token = held.token;
        } else if (server.stage == Stage::Usable && !server.runs.empty()) {
            server.departing = true;
        } else if (server.stage != Stage::Foreign) {
            release(now, server, ended);
        }
    }
}

void Commander::take(TimeUs now, Server &server, FencingToken token, std::vector<Action> &actions)
{
    server.stage = Stage::Claiming;
    server.departing = false;
    server.token = token;
    server.silences = 0;
    server.holdSequence = 0;
    server.nextLookAt = never;
    ++m_roomVersion;
    sendHold(now, server, false, 0, actions);
}

void Commander::release(TimeUs now, Server &server, std::vector<Ended> &ended)
{
    forget(now, server, server.leaseDeadAt, ended);
    server.stage = Stage::Foreign;
    server.departing = false;
    server.holdSequence = 0;
    server.nextLookAt = never;
    server.clockAt = 0;
    server.acknowledgedEnd = 0;
    server.sentAck = 0;
    ++m_roomVersion;
}

// Gives up all runs of a backend server; the last of them has certainly ended at deadAt.
void Commander::forget(TimeUs now, Server &server, TimeUs deadAt, std::vector<Ended> &ended)
{
    const std::vector<TaskId> runs = std::move(server.runs);
    server.runs.clear();
    for (const TaskId &task : runs) {
        const Run &run = m_runs.find(task)->second;
        if (run.acceptedAt == never && deadAt > now)
            server.openStarts.push_back({task, run.number, deadAt});
        endRun(now, task, RunEnd::Lost, std::max<TimeUs>(deadAt - now, 0), ended);
    }
    server.used = {};
}

// Orders --------------------------------------------------------------------------------------------

void Commander::readClock(Server &server, const ClockReading &reading)
{
    if (server.clockAt != 0 && clockNow(server, reading.receivedAt) >= reading.serverMs)
        return;
    server.clockMs = reading.serverMs;
    server.clockAt = reading.receivedAt;
}

// Never ahead of the true clock, so that a lease computed from it never ends later than meant.
std::int64_t Commander::clockNow(const Server &server, TimeUs now) const
{
    return server.clockMs
            + static_cast<std::int64_t>(static_cast<double>(now - server.clockAt) * slowestClock) / usPerMs;
}

void Commander::sendHold(TimeUs now, Server &server, bool withLease, std::int64_t waitMs, std::vector<Action> &actions)
{
    SendHold order;
    order.server = server.entry.id;
    order.address = server.entry.address;
    order.sequence = ++m_lastSequence;
    order.acknowledgedEnd = server.acknowledgedEnd;
    order.waitMs = waitMs;
    order.token = server.token;
    order.timeoutUs = waitMs * usPerMs + (waitMs > 0 ? holdSlackUs : answerTimeoutUs);
    if (withLease && server.clockAt != 0 && mayRenew(server, now)) {
        order.leaseEndMs = clockNow(server, now) + m_settings.maxLeaseUs / usPerMs;
        server.leaseDeadAt =
                now + static_cast<TimeUs>(static_cast<double>(m_settings.maxLeaseUs) / slowestClock) + clockSlackUs;
    }
    server.sentAck = server.acknowledgedEnd;
    server.holdSequence = order.sequence;
    server.holdSentAt = now;
    server.holdWithLease = order.leaseEndMs.has_value();
    server.nextLookAt = never;
    actions.push_back(std::move(order));
}

void Commander::sendStop(TimeUs, const Server &server, const TaskId &task, RunNumber run, std::vector<Action> &actions)
{
    actions.push_back(SendStop{server.entry.id, server.entry.address, task, run, server.token, stopTimeoutUs});
}

// A hold renews all runs of a backend server, so one that has to end holds up the renewal of the others.
bool Commander::mayRenew(const Server &server, TimeUs now) const
{
    return std::none_of(server.runs.begin(), server.runs.end(), [&](const TaskId &task) {
        const Run &run = m_runs.find(task)->second;
        if (run.state == RunState::Stopping && now - run.stopBeganAt > renewalLimitUs)
            return true;
        const auto heard = m_heardAt.find(run.coordinator);
        return heard != m_heardAt.end() && now - heard->second > renewalLimitUs;
    });
}

bool Commander::canStart(const Server &server, TimeUs now) const
{
    return !m_closed && server.stage == Stage::Usable && server.listed && !server.entry.draining && !server.departing
            && server.clockAt != 0 && now >= server.blockedUntil && mayRenew(server, now);
}

bool Commander::start(TimeUs now, std::string_view coordinator, const PlaceTasks &order, const PlaceTasks::Item &item,
                      std::vector<Action> &actions)
{
    const auto found = m_indexes.find(item.server);
    if (found == m_indexes.end())
        return false;
    Server &server = m_servers[found->second];
    const TaskId task{order.job, item.index};
    if (!canStart(server, now) || server.entry.service != order.service
        || !order.taskResources.fitsInto(server.entry.capacity - server.used) || m_runs.contains(task))
        return false;
    Run run;
    run.coordinator = coordinator;
    run.server = found->second;
    run.number = item.run;
    run.resources = order.taskResources;
    run.orderedAt = now;
    run.expectedUs = order.expectedUs;
    m_runs.emplace(task, std::move(run));
    server.used += order.taskResources;
    server.runs.push_back(task);
    ++m_roomVersion;

    SendStart start;
    start.server = server.entry.id;
    start.address = server.entry.address;
    start.task = task;
    start.run = item.run;
    start.spec = order.spec;
    start.leaseEndMs = clockNow(server, now) + m_settings.maxLeaseUs / usPerMs;
    start.token = server.token;
    start.timeoutUs = answerTimeoutUs;
    server.leaseDeadAt = std::max(server.leaseDeadAt,
                                  now + static_cast<TimeUs>(static_cast<double>(m_settings.maxLeaseUs) / slowestClock)
                                          + clockSlackUs);
    actions.push_back(std::move(start));
    if (server.holdSequence == 0)
        sendHold(now, server, true, holdWaitMs, actions);
    return true;
}

// Ends ----------------------------------------------------------------------------------------------

void Commander::endRun(TimeUs, const TaskId &task, RunEnd end, TimeUs maxRemainingUs, std::vector<Ended> &ended)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end())
        return;
    Run &run = found->second;
    Server &server = m_servers[run.server];
    server.used -= run.resources;
    std::erase(server.runs, task);
    ++m_roomVersion;
    ended.push_back({std::move(run.coordinator), {task, run.number, end, maxRemainingUs, server.entry.id}});
    m_runs.erase(found);
}

void Commander::learnEnd(TimeUs now, Server &server, const Run &run, RunEnd end)
{
    if (end == RunEnd::Done) {
        server.failures = 0;
        server.blockedUntil = 0;
        server.speed.learn(run.expectedUs, std::max<TimeUs>(now - run.orderedAt, usPerMs));
    } else if (end == RunEnd::Failed) {
        ++server.failures;
        if (server.failures >= failuresToBlock) {
            const TimeUs block =
                    std::min(failBlockUs << std::min(server.failures - failuresToBlock, 4U), longestBlockUs);
            server.blockedUntil = now + block;
        }
    }
}

// True when the lists belong to the incarnation that the runs were started on.
bool Commander::isIncarnation(Server &server, TimeUs now, std::int64_t incarnationStartMs, std::vector<Ended> &ended)
{
    if (incarnationStartMs == 0 || incarnationStartMs == server.incarnationStartMs)
        return true;
    if (server.incarnationStartMs == 0) {
        server.incarnationStartMs = incarnationStartMs;
        return true;
    }
    if (incarnationStartMs < server.incarnationStartMs)
        return false; // an answer of an earlier incarnation that was overtaken
    server.incarnationStartMs = incarnationStartMs;
    server.acknowledgedEnd = 0;
    server.clockAt = 0;
    forget(now, server, now, ended);
    return true;
}

void Commander::readLists(TimeUs now, Server &server, const HoldResult &event, TimeUs sentAt,
                          std::vector<Action> &actions, std::vector<Ended> &ended)
{
    const std::int64_t knownThrough = server.acknowledgedEnd;
    for (const EndedRun &end : event.ended) { // in no certain order
        if (end.number <= knownThrough)
            continue;
        server.acknowledgedEnd = std::max(server.acknowledgedEnd, end.number);
        const auto found = m_runs.find(end.task);
        if (found == m_runs.end() || found->second.number != end.run || &m_servers[found->second.server] != &server)
            continue;
        learnEnd(now, server, found->second, end.end);
        RunEnd told = end.end;
        if (found->second.state == RunState::Stopping && told == RunEnd::Failed)
            told = RunEnd::Stopped; // nobody waits for it any more
        endRun(now, end.task, told, 0, ended);
    }
    bool isForeign = false;
    for (const RunningRun &running : event.running) {
        const auto found = m_runs.find(running.task);
        const bool isKnown = found != m_runs.end() && found->second.number == running.run
                && &m_servers[found->second.server] == &server;
        if (!isKnown) {
            // Started by an earlier commander, given up here, or carried out late.
            isForeign = true;
            sendStop(now, server, running.task, running.run, actions);
        } else if (found->second.state == RunState::Starting) {
            found->second.state = RunState::Running;
            found->second.acceptedAt = now;
        } else if (found->second.state == RunState::Stopping && now - found->second.stopSentAt > stopRepeatUs) {
            found->second.stopSentAt = now;
            sendStop(now, server, running.task, running.run, actions);
        }
    }
    // A run that was there before the lists were asked for and is in none of them has vanished.
    std::vector<TaskId> vanished;
    for (const TaskId &task : server.runs) {
        const Run &run = m_runs.find(task)->second;
        const bool isListed = std::any_of(event.running.begin(), event.running.end(), [&](const RunningRun &running) {
            return running.task == task && running.run == run.number;
        });
        if (!isListed && run.acceptedAt < sentAt)
            vanished.push_back(task);
    }
    for (const TaskId &task : vanished)
        endRun(now, task, RunEnd::Lost, 0, ended);

    if (server.stage == Stage::Claiming || server.stage == Stage::Suspect) {
        std::erase_if(server.openStarts, [&](const OpenStart &start) { return now >= start.until; });
        for (const OpenStart &start : server.openStarts)
            sendStop(now, server, start.task, start.run, actions);
        if (isForeign || !server.openStarts.empty()) {
            sendHold(now, server, false, 50, actions); // a stop takes this long
            return;
        }
        if (server.stage == Stage::Suspect)
            actions.push_back(
                    LogLine{false, "servers", concat("backend server answers again server=", server.entry.id)});
        server.stage = Stage::Usable;
        ++m_roomVersion;
    }
    if (!server.runs.empty() || server.acknowledgedEnd > server.sentAck)
        sendHold(now, server, !server.runs.empty(), holdWaitMs, actions);
    else if (server.departing || !server.listed)
        release(now, server, ended);
}

// Answers -------------------------------------------------------------------------------------------

void Commander::onHoldEnded(TimeUs now, const HoldResult &event, std::vector<Action> &actions,
                            std::vector<Ended> &ended)
{
    const auto found = m_indexes.find(event.server);
    if (found == m_indexes.end())
        return;
    Server &server = m_servers[found->second];
    if (server.stage == Stage::Foreign || event.sequence != server.holdSequence)
        return;
    server.holdSequence = 0;
    const TimeUs sentAt = server.holdSentAt;
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        server.silences = 0;
        if (!isIncarnation(server, now, event.incarnationStartMs, ended)) {
            server.nextLookAt = now + firstLookUs;
            return;
        }
        if (event.clock)
            readClock(server, *event.clock);
        readLists(now, server, event, sentAt, actions, ended);
        return;
    case OrderOutcome::Fenced:
        onFenced(now, server, actions, ended);
        return;
    case OrderOutcome::OtherInstance:
        onOtherInstance(now, server, ended);
        return;
    case OrderOutcome::Unhealthy:
        server.blockedUntil = std::max(server.blockedUntil, now + turnedAwayBlockUs);
        server.nextLookAt = now + firstLookUs;
        ++m_roomVersion;
        return;
    default:
        onSilence(now, server, actions, ended);
    }
}

void Commander::onFenced(TimeUs now, Server &server, std::vector<Action> &actions, std::vector<Ended> &ended)
{
    actions.push_back(LogLine{true, "servers",
                              concat("another commander has a higher token server=", server.entry.id,
                                     " token=", server.token, " runs=", server.runs.size())});
    server.fencedToken = server.token;
    // Starts that are still unanswered will tell themselves whether they had an effect.
    for (const TaskId &task : std::vector<TaskId>(server.runs)) {
        if (m_runs.find(task)->second.acceptedAt != never)
            endRun(now, task, RunEnd::Lost, std::max<TimeUs>(server.leaseDeadAt - now, 0), ended);
    }
    server.stage = Stage::Fenced;
    server.holdSequence = 0;
    server.nextLookAt = never;
    ++m_roomVersion;
}

// The incarnation that ran the tasks is gone from this address, and its runs with it.
void Commander::onOtherInstance(TimeUs now, Server &server, std::vector<Ended> &ended)
{
    forget(now, server, now, ended);
    server.stage = Stage::Suspect;
    server.nextLookAt = now + longestLookUs;
    ++m_roomVersion;
}

// The first lost answer is often a reset connection, so one more look decides.
void Commander::onSilence(TimeUs now, Server &server, std::vector<Action> &actions, std::vector<Ended> &ended)
{
    ++server.silences;
    if (server.stage == Stage::Usable && server.silences < 2) {
        if (server.holdSequence == 0)
            sendHold(now, server, !server.runs.empty(), 0, actions);
        return;
    }
    if (server.stage == Stage::Usable) {
        actions.push_back(LogLine{true, "servers",
                                  concat("backend server does not answer server=", server.entry.id, " runs=",
                                         server.runs.size(), " leases_end_ms=", (server.leaseDeadAt - now) / usPerMs)});
        forget(now, server, server.leaseDeadAt, ended);
        server.stage = Stage::Suspect;
        ++m_roomVersion;
    }
    if (server.holdSequence == 0)
        server.nextLookAt = now + std::min(firstLookUs << std::min(server.silences, 5U), longestLookUs);
}

void Commander::onStartEnded(TimeUs now, const StartResult &event, std::vector<Action> &actions,
                             std::vector<Ended> &ended)
{
    const auto foundServer = m_indexes.find(event.server);
    if (foundServer == m_indexes.end())
        return;
    Server &server = m_servers[foundServer->second];
    if (event.clock && server.stage != Stage::Foreign)
        readClock(server, *event.clock);
    const auto found = m_runs.find(event.task);
    const bool isKnown =
            found != m_runs.end() && found->second.number == event.run && found->second.server == foundServer->second;
    if (!isKnown)
        return;
    Run &run = found->second;
    if (server.stage == Stage::Fenced
        && (event.outcome == OrderOutcome::Accepted || event.outcome == OrderOutcome::Unknown)) {
        endRun(now, event.task, RunEnd::Lost, std::max<TimeUs>(server.leaseDeadAt - now, 0), ended);
        return;
    }
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        server.silences = 0;
        run.acceptedAt = std::min(run.acceptedAt, now);
        if (run.state == RunState::Starting)
            run.state = RunState::Running;
        return;
    case OrderOutcome::Fenced:
        endRun(now, event.task, RunEnd::NotRun, 0, ended); // the order had no effect
        onFenced(now, server, actions, ended);
        return;
    case OrderOutcome::OtherInstance:
        onOtherInstance(now, server, ended);
        return;
    case OrderOutcome::Unhealthy:
        server.blockedUntil = std::max(server.blockedUntil, now + turnedAwayBlockUs);
        endRun(now, event.task, RunEnd::NotRun, 0, ended);
        return;
    case OrderOutcome::NotSent:
        endRun(now, event.task, RunEnd::NotRun, 0, ended);
        onSilence(now, server, actions, ended);
        return;
    case OrderOutcome::NoRoom:
    case OrderOutcome::OldRun:
    case OrderOutcome::Late:
    case OrderOutcome::Malformed:
        actions.push_back(LogLine{true, "servers",
                                  concat("start refused server=", server.entry.id, " job=", event.task.job, " task=",
                                         event.task.index, " run=", event.run, " reason=", toString(event.outcome))});
        endRun(now, event.task, RunEnd::NotRun, 0, ended);
        return;
    case OrderOutcome::Unknown:
        break;
    }
    // The order may still be carried out. A stop settles it: after its answer the run either is listed or never will
    // be.
    if (run.state == RunState::Starting)
        stopRun(now, event.task, run, actions);
    onSilence(now, server, actions, ended);
}

void Commander::onStopEnded(TimeUs now, const StopResult &event, std::vector<Action> &actions)
{
    const auto foundServer = m_indexes.find(event.server);
    if (foundServer == m_indexes.end())
        return;
    Server &server = m_servers[foundServer->second];
    if (server.stage == Stage::Foreign)
        return;
    if (event.clock)
        readClock(server, *event.clock);
    if (event.outcome == OrderOutcome::Accepted) {
        std::erase_if(server.openStarts,
                      [&](const OpenStart &start) { return start.task == event.task && start.run == event.run; });
    }
    const auto found = m_runs.find(event.task);
    if (found == m_runs.end() || found->second.number != event.run || found->second.server != foundServer->second)
        return;
    if (event.outcome == OrderOutcome::Accepted) {
        // Lists that are asked for from now on show the end, or nothing when the run never was there.
        found->second.acceptedAt = std::min(found->second.acceptedAt, now);
        if (server.holdSequence == 0)
            sendHold(now, server, true, 0, actions);
        else
            server.nextLookAt = std::min(server.nextLookAt, now + 60 * usPerMs);
    } else if (found->second.state == RunState::Stopping && now > found->second.stopSentAt
               && event.outcome != OrderOutcome::Fenced) {
        found->second.stopSentAt = now;
        sendStop(now, server, event.task, event.run, actions);
    }
}

// Stops ---------------------------------------------------------------------------------------------

void Commander::stopRun(TimeUs now, const TaskId &task, Run &run, std::vector<Action> &actions)
{
    if (run.state == RunState::Stopping)
        return;
    run.state = RunState::Stopping;
    run.stopSentAt = now;
    run.stopBeganAt = now;
    sendStop(now, m_servers[run.server], task, run.number, actions);
}

void Commander::stopJob(TimeUs now, std::string_view coordinator, std::string_view job, std::vector<Action> &actions)
{
    for (auto &[task, run] : m_runs) {
        if (task.job == job && run.coordinator == coordinator)
            stopRun(now, task, run, actions);
    }
}

void Commander::stopStalled(TimeUs now, std::string_view coordinator, const TaskId &task, std::vector<Action> &actions)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end() || found->second.coordinator != coordinator)
        return;
    Server &server = m_servers[found->second.server];
    ++server.failures;
    server.blockedUntil = std::max(server.blockedUntil, now + failBlockUs);
    server.speed.learn(found->second.expectedUs, now - found->second.orderedAt);
    ++m_roomVersion;
    stopRun(now, task, found->second, actions);
}

void Commander::stopCoordinator(TimeUs now, std::string_view coordinator, std::vector<Action> &actions)
{
    for (auto &[task, run] : m_runs) {
        if (run.coordinator == coordinator)
            stopRun(now, task, run, actions);
    }
}

// Time ----------------------------------------------------------------------------------------------

void Commander::tick(TimeUs now, std::vector<Action> &actions, std::vector<Ended> &ended)
{
    for (Server &server : m_servers) {
        if (server.stage == Stage::Foreign || server.nextLookAt > now)
            continue;
        if (!server.listed && server.stage == Stage::Suspect && now > server.leaseDeadAt) {
            release(now, server, ended);
            continue;
        }
        server.nextLookAt = never;
        // A hold that still waits is replaced: its answer would only come with the next end.
        if (server.stage == Stage::Usable)
            sendHold(now, server, !server.runs.empty(), 0, actions);
        else if (server.stage != Stage::Fenced)
            sendHold(now, server, false, 0, actions);
    }
}

// Views ---------------------------------------------------------------------------------------------

std::vector<CapacityReport::ServerCapacity> Commander::capacities(TimeUs now) const
{
    std::vector<CapacityReport::ServerCapacity> capacities;
    for (const Server &server : m_servers) {
        if (server.stage == Stage::Foreign || !server.listed)
            continue;
        const bool usable = canStart(server, now);
        capacities.push_back({server.entry.id, usable ? server.entry.capacity - server.used : Resources{},
                              server.speed.speed(), server.token, usable});
    }
    return capacities;
}

bool Commander::fitsSomewhere(const Resources &taskResources, std::string_view service) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const Server &server) {
        return server.listed && server.entry.service == service && taskResources.fitsInto(server.entry.capacity);
    });
}

bool Commander::isCommanded(std::string_view server) const
{
    const auto found = m_indexes.find(server);
    return found != m_indexes.end() && m_servers[found->second].stage != Stage::Foreign;
}

bool Commander::hasDepartingRuns() const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [](const Server &server) { return server.departing && !server.runs.empty(); });
}

std::size_t Commander::commandedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(),
                                                  [](const Server &server) { return server.stage != Stage::Foreign; }));
}

const ServerEntry *Commander::findEntry(std::string_view server) const
{
    const auto found = m_indexes.find(server);
    return found == m_indexes.end() || !m_servers[found->second].listed ? nullptr : &m_servers[found->second].entry;
}

} // namespace clementinelift::command
