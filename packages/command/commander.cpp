#include "command/commander.h"
#include "command/commander_limits.h"

#include "command/text.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace clementinelift::command {

using namespace detail;

namespace {

constexpr std::int64_t holdWaitMs = 400;             // leases of 1,000 ms are renewed at least this often
constexpr TimeUs holdAnswerMarginUs = 250 * usPerMs; // for the answer once the wait of a hold is over
// Latest end of a lease after the disconnect of a caller or the last message of its entry VM: the caller submits its
// job again after 1,300 ms.
constexpr TimeUs latestLeaseEndUs = 1300 * usPerMs;
// From that event to the first stop or the last contact here: 50 ms until a front VM notices the disconnect, or 100 ms
// between two events here, and the delay of two messages.
constexpr TimeUs contactReserveUs = 120 * usPerMs;
// Leases are not renewed when the first stop of a run or the last contact with its coordinator is older than this. The
// renewed leases would have 700 ms left, and the answer to a hold may take 650 ms.
constexpr TimeUs renewalLimitUs = 450 * usPerMs;
constexpr TimeUs stopRepeatUs = 120 * usPerMs; // a stop takes 50 ms; while the run is still listed it is sent again
constexpr TimeUs minFailureBlockUs = 700 * usPerMs; // after consecutive failed runs, doubled with each further one
constexpr TimeUs maxFailureBlockUs = 3 * usPerS;
constexpr std::uint32_t failuresBeforeBlock = 2; // one run in 500 fails by its own fault, two in a row are rare

// The number of a text in order of first appearance, from 1; 0: the text is empty.
std::uint32_t numberOf(TextMap<std::uint32_t> &numbers, const std::string &text)
{
    return text.empty() ? 0 : numbers.try_emplace(text, static_cast<std::uint32_t>(numbers.size() + 1)).first->second;
}

Resources largestOf(const Resources &left, const Resources &right)
{
    return {std::max(left.milliCores, right.milliCores), std::max(left.memoryMb, right.memoryMb),
            std::max(left.accelerators, right.accelerators)};
}

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

bool Commander::isCommandedHere(const Server &server) const
{
    if (server.entry.zone != m_settings.zone || m_shards.shardCount == 0)
        return false;
    return std::find(m_shards.shards.begin(), m_shards.shards.end(), shardOf(server.entry.id)) != m_shards.shards.end();
}

std::uint32_t Commander::shardOf(std::string_view server) const
{
    return static_cast<std::uint32_t>(XXH3_64bits(server.data(), server.size()) % m_shards.shardCount);
}

void Commander::addServer(TimeUs now, const ServerEntry &entry, std::vector<Action> &actions,
                          std::vector<RunEndNotice> &ended)
{
    Server &server = m_servers[indexOf(entry.id)];
    const bool isNewIncarnation = server.listed && entry.incarnationStartMs != 0 && server.incarnationStartMs != 0
            && entry.incarnationStartMs > server.incarnationStartMs;
    const bool isMoved = server.listed && entry.address != server.entry.address;
    setEntry(now, server, entry, ended);
    server.rack = numberOf(m_rackNumbers, entry.rack);
    server.kind = static_cast<std::uint16_t>(numberOf(m_kindNumbers, entry.kind));
    server.largestCapacity =
            !server.listed || isNewIncarnation ? entry.capacity : largestOf(server.largestCapacity, entry.capacity);
    server.listed = true;
    if (server.incarnationStartMs == 0)
        server.incarnationStartMs = entry.incarnationStartMs;
    ++m_capacityVersion;
    if (isNewIncarnation || isMoved) {
        beginIncarnation(now, server, entry.incarnationStartMs, actions, ended);
        server.missingAnswers = 0;
        server.failures = 0;
        server.blockedUntil = 0;
        if (server.stage != Stage::Foreign && server.stage != Stage::Fenced)
            startCommanding(now, server, server.token, actions);
    } else if (server.stage == Stage::Foreign && isCommandedHere(server)) {
        startCommanding(now, server, m_shards.token, actions);
    }
}

// Runs on a backend server that has deregistered have ended with the server.
void Commander::removeServer(TimeUs now, std::string_view id, std::vector<Action> &actions,
                             std::vector<RunEndNotice> &ended)
{
    const auto found = m_indexes.find(id);
    if (found == m_indexes.end())
        return;
    Server &server = m_servers[found->second];
    if (!server.runs.empty())
        actions.push_back(LogLine{false, "servers",
                                  concat("backend server deregistered with runs server=", id,
                                         " runs=", server.runs.size(), " stage=", toString(server.stage))});
    server.listed = false;
    ++m_capacityVersion;
    // An entry expires after some seconds of silence. With the missing answers, that is taken for a crash.
    if (server.stage == Stage::Suspect && !server.entry.draining)
        reportCrash(now, server, ended);
    // A registry entry may also expire while its backend server still works, so runs are kept until their leases end.
    if (server.runs.empty())
        stopCommanding(now, server, ended);
}

void Commander::assignShards(TimeUs now, const ShardsAssigned &assigned, std::vector<Action> &actions,
                             std::vector<RunEndNotice> &ended)
{
    m_shards = assigned;
    ++m_capacityVersion;
    for (Server &server : m_servers) {
        if (!server.listed && server.stage == Stage::Foreign)
            continue;
        if (isCommandedHere(server)) {
            server.handingOver = false;
            const bool isNewToken = assigned.token > server.token;
            server.token = assigned.token;
            if (server.stage == Stage::Foreign
                || (server.stage == Stage::Fenced && assigned.token > server.fencedToken))
                startCommanding(now, server, assigned.token, actions);
            else if (server.stage != Stage::Fenced && isNewToken)
                claimAgain(now, server, actions);
        } else if ((server.stage == Stage::Usable || server.stage == Stage::Claiming) && !server.runs.empty()) {
            server.handingOver = true;
        } else if (server.stage != Stage::Foreign) {
            stopCommanding(now, server, ended);
        }
    }
}

void Commander::startCommanding(TimeUs now, Server &server, FencingToken token, std::vector<Action> &actions)
{
    server.stage = Stage::Claiming;
    server.handingOver = false;
    server.token = token;
    server.missingAnswers = 0;
    server.isVerifying = false;
    if (server.holdSequence != 0) // its answer is ignored
        server.mayMissEnds = true;
    server.holdSequence = 0;
    server.nextProbeAt = never;
    ++m_capacityVersion;
    sendHold(now, server, false, 0, actions);
    repeatStops(now, server, actions);
}

// Between two tokens of this entry VM another one may have commanded the backend server, and what has been learned
// under the earlier token says nothing about its runs. Known runs stay; their leases are renewed once they are listed.
void Commander::claimAgain(TimeUs now, Server &server, std::vector<Action> &actions)
{
    if (server.stage == Stage::Usable) {
        server.stage = Stage::Claiming;
        ++m_capacityVersion;
    }
    sendHold(now, server, false, 0, actions);
    repeatStops(now, server, actions);
}

// Stops under the earlier token may be rejected. A run whose start had no answer ends only once a stop is answered.
void Commander::repeatStops(TimeUs now, const Server &server, std::vector<Action> &actions)
{
    for (const TaskId &task : server.runs) {
        Run &run = m_runs.find(task)->second;
        if (run.state != RunState::Stopping)
            continue;
        sendOrDelayStop(now, task, run, actions);
    }
}

void Commander::stopCommanding(TimeUs now, Server &server, std::vector<RunEndNotice> &ended)
{
    abandonRuns(now, server, server.leasesEndBy, ended);
    server.givenUpRuns.clear();
    server.stage = Stage::Foreign;
    server.handingOver = false;
    server.holdSequence = 0;
    server.nextProbeAt = never;
    server.clockAt = 0;
    server.acknowledgedEnd = 0;
    server.sentAcknowledgedEnd = 0;
    ++m_capacityVersion;
}

// Orders --------------------------------------------------------------------------------------------

// Only lists name the incarnation. Other answers set no clock before the first lists, nor one that the clock of the
// lists cannot have reached since: they may come from an earlier incarnation.
void Commander::readClock(Server &server, const ClockReading &reading, bool isOfLists)
{
    if (isOfLists) {
        server.listedClockMs = reading.serverMs;
        server.listsSentAt = reading.sentAt;
    } else if (server.clockAt == 0
               || reading.serverMs > server.listedClockMs
                               + (reading.receivedAt - server.listsSentAt + clockResolutionUs) / usPerMs) {
        return;
    }
    if (server.clockAt != 0 && clockNow(server, reading.receivedAt) >= reading.serverMs)
        return;
    server.clockMs = reading.serverMs;
    server.clockAt = reading.receivedAt;
}

// Whether the clock is behind its lower bound, as after a restart.
bool Commander::isBehind(const Server &server, const ClockReading &reading) const
{
    return server.clockAt != 0 && reading.serverMs < clockNow(server, reading.sentAt);
}

// A lower bound of the server's clock, so that a lease computed from this value never ends later than intended.
std::int64_t Commander::clockNow(const Server &server, TimeUs now) const
{
    return server.clockMs
            + static_cast<std::int64_t>(static_cast<double>(now - server.clockAt) * minClockRate) / usPerMs;
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
    order.timeoutUs = waitMs * usPerMs + (waitMs > 0 ? holdAnswerMarginUs : answerTimeoutUs);
    server.holdLeaseUs = 0;
    if (withLease && server.clockAt != 0 && mayRenew(server, now)) {
        server.holdLeaseUs = extendLeases(server, now);
        order.leaseEndMs = clockNow(server, now) + server.holdLeaseUs / usPerMs;
    }
    if (order.leaseEndMs || order.acknowledgedEnd > 0)
        order.incarnationStartMs = server.incarnationStartMs;
    if (server.holdSequence != 0) // the answer to the hold that is replaced is ignored
        server.mayMissEnds = true;
    server.sentAcknowledgedEnd = server.acknowledgedEnd;
    server.holdSequence = order.sequence;
    server.holdSentAt = now;
    server.holdTimeoutUs = order.timeoutUs;
    server.nextProbeAt = never;
    actions.push_back(std::move(order));
}

void Commander::sendStop(TimeUs, const Server &server, const TaskId &task, RunNumber run, std::vector<Action> &actions)
{
    ++m_stopsInProgress;
    actions.push_back(SendStop{server.entry.id, server.entry.address, task, run, server.token, stopTimeoutUs});
}

// How long ago the first stop of a run on the backend server was sent, or its coordinator was last in contact.
TimeUs Commander::longestSilence(const Server &server, TimeUs now) const
{
    TimeUs longestUs = 0;
    for (const TaskId &task : server.runs) {
        const Run &run = m_runs.find(task)->second;
        if (run.state == RunState::Stopping)
            longestUs = std::max(longestUs, now - run.firstStopSentAt);
        const auto lastContact = m_lastContactAt.find(run.coordinator);
        if (lastContact != m_lastContactAt.end())
            longestUs = std::max(longestUs, now - lastContact->second);
    }
    return longestUs;
}

// A hold and a start renew the leases of all runs of a backend server, so one run that has to end blocks the renewal of
// all others.
bool Commander::mayRenew(const Server &server, TimeUs now) const
{
    return longestSilence(server, now) <= renewalLimitUs;
}

// Length of the leases that an order gives now, so that all runs of the backend server end in time.
TimeUs Commander::extendLeases(Server &server, TimeUs now) const
{
    const auto boundedUs = static_cast<TimeUs>(
            static_cast<double>(latestLeaseEndUs - contactReserveUs - clockResolutionUs - longestSilence(server, now))
            * minClockRate);
    const TimeUs leaseUs = std::min(m_settings.maxLeaseUs, boundedUs);
    server.leasesEndBy = std::max(server.leasesEndBy, now + leaseBound(leaseUs));
    return leaseUs;
}

bool Commander::canStart(const Server &server, TimeUs now) const
{
    return !m_startsDisabled && m_mayStart && !server.isEvacuated && server.stage == Stage::Usable && server.listed
            && !server.entry.draining && !server.handingOver && server.clockAt != 0 && now >= server.blockedUntil
            && mayRenew(server, now);
}

bool Commander::isFull() const
{
    return m_startDelay.unanswered() + m_heldStarts >= m_settings.maxStarts || m_runs.size() >= m_settings.maxRuns;
}

bool Commander::start(TimeUs now, std::string_view coordinator, const PlaceTasks &order, const PlaceTasks::Item &item,
                      std::vector<Action> &actions)
{
    const auto found = m_indexes.find(item.server);
    if (found == m_indexes.end())
        return false;
    Server &server = m_servers[found->second];
    const TaskId task{order.job, item.index};
    if (isFull() || !canStart(server, now) || startsLeft(server, now) == 0 || server.entry.service != order.service
        || !order.taskResources.fitsInto(server.entry.capacity - server.used) || m_runs.contains(task))
        return false;
    Run run;
    run.coordinator = coordinator;
    run.server = found->second;
    run.number = item.run;
    run.sequence = order.sequence;
    run.resources = order.taskResources;
    run.orderedAt = now;
    run.expectedUs = order.expectedUs;
    ++m_unconfirmedRuns[run.coordinator][run.sequence];
    Run &kept = m_runs.emplace(task, std::move(run)).first->second;
    server.used += order.taskResources;
    server.runs.push_back(task);
    server.coldStart.onStart(now, coldLimit(server), server.entry.capacity.milliCores, order.taskResources.milliCores,
                             order.expectedUs);
    ++m_capacityVersion;

    SendStart start;
    start.server = server.entry.id;
    start.address = server.entry.address;
    start.task = task;
    start.run = item.run;
    start.spec = order.spec;
    start.timeoutUs = answerTimeoutUs;
    // Without an open hold a restart or a crash goes unnoticed, and the lease end of a start means nothing to the clock
    // of another incarnation. Such a backend server, or one that has left an order unanswered, is asked first.
    const bool isHoldOpen = server.holdSequence != 0;
    if (isHoldOpen && !server.isVerifying && server.heldStarts.empty()) {
        sendStart(now, server, kept, std::move(start), actions);
        return true;
    }
    kept.state = RunState::Held;
    ++m_heldStarts;
    server.heldStarts.push_back(std::move(start));
    if (!isHoldOpen)
        sendHold(now, server, false, 0, actions);
    return true;
}

void Commander::sendStart(TimeUs now, Server &server, Run &run, SendStart &&order, std::vector<Action> &actions)
{
    run.state = RunState::Starting;
    run.orderedAt = now;
    run.unansweredStarts = m_startDelay.onSent();
    run.leavesAt = now + m_startDelay.queuedUs();
    run.token = server.token;
    order.token = server.token;
    run.leaseUs = extendLeases(server, now);
    run.incarnationStartMs = server.incarnationStartMs;
    order.incarnationStartMs = server.incarnationStartMs;
    order.leaseEndMs = clockNow(server, now) + run.leaseUs / usPerMs;
    actions.push_back(std::move(order));
}

void Commander::releaseHeldStarts(TimeUs now, Server &server, std::vector<Action> &actions,
                                  std::vector<RunEndNotice> &ended)
{
    const bool isStartable = canStart(server, now);
    m_heldStarts -= server.heldStarts.size();
    for (SendStart &order : std::exchange(server.heldStarts, {})) {
        const auto found = m_runs.find(order.task);
        if (found == m_runs.end() || found->second.number != order.run)
            continue;
        if (isStartable && found->second.state == RunState::Held && server.used.fitsInto(server.entry.capacity))
            sendStart(now, server, found->second, std::move(order), actions);
        else
            endRun(now, order.task, RunEnd::NotAsked, 0, ended);
    }
}

void Commander::dropHeldStarts(TimeUs now, Server &server, std::vector<RunEndNotice> &ended)
{
    m_heldStarts -= server.heldStarts.size();
    for (const SendStart &order : std::exchange(server.heldStarts, {})) {
        const auto found = m_runs.find(order.task);
        if (found != m_runs.end() && found->second.number == order.run)
            endRun(now, order.task, RunEnd::NotAsked, 0, ended);
    }
}

// Ends ----------------------------------------------------------------------------------------------

void Commander::endRun(TimeUs now, const TaskId &task, RunEnd end, TimeUs maxRemainingUs,
                       std::vector<RunEndNotice> &ended)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end())
        return;
    Run &run = found->second;
    if (run.acceptedAt == never)
        forgetUnconfirmed(run);
    Server &server = m_servers[run.server];
    // A coordinator that has lost this entry VM may wait for the run. That no order was sent says nothing about one
    // that another entry VM may have sent under the same number.
    if (maxRemainingUs == 0 && end != RunEnd::NotAsked)
        m_unconfirmedStarts.settle(now, task, server.entry.id, run.number, StartFate::Settled, now);
    server.used -= run.resources;
    std::erase(server.runs, task);
    ++m_capacityVersion;
    ended.push_back({std::move(run.coordinator), {task, run.number, end, maxRemainingUs, server.entry.id}});
    m_runs.erase(found);
}

void Commander::learnSpeed(Server &server, TimeUs expectedUs, TimeUs ranUs)
{
    server.speed.learn(expectedUs, ranUs, m_kindSpeeds.logPrior(server.kind));
    if (server.kind != 0)
        m_kindSpeeds.learn(server.kind, expectedUs, ranUs);
}

void Commander::recordRunEnd(TimeUs now, Server &server, const Run &run, RunEnd end)
{
    if (end == RunEnd::Done) {
        server.failures = 0;
        server.blockedUntil = 0;
        // The wait of the order at the link says nothing about the backend server.
        const TimeUs startedAt = std::clamp(run.acceptedAt, run.orderedAt, run.leavesAt);
        learnSpeed(server, run.expectedUs, std::max<TimeUs>(now - startedAt, usPerMs));
    } else if (end == RunEnd::Failed) {
        ++server.failures;
        if (server.failures >= failuresBeforeBlock) {
            const TimeUs block = std::min(minFailureBlockUs << std::min(server.failures - failuresBeforeBlock, 4U),
                                          maxFailureBlockUs);
            server.blockedUntil = now + block;
        }
    }
}

// The runs of the earlier incarnation have ended, but the new one may already have accepted starts, because its entry
// and its lists arrive later. No run is ended here: the next lists tell which runs exist.
void Commander::beginIncarnation(TimeUs now, Server &server, std::int64_t incarnationStartMs,
                                 std::vector<Action> &actions, std::vector<RunEndNotice> &ended)
{
    actions.push_back(
            LogLine{false, "servers",
                    concat("backend server has restarted server=", server.entry.id, " runs=", server.runs.size(),
                           " born_ms=", incarnationStartMs, " earlier_born_ms=", server.incarnationStartMs)});
    server.incarnationStartMs = incarnationStartMs;
    server.acknowledgedEnd = 0;
    server.sentAcknowledgedEnd = 0;
    server.holdLeaseUs = 0; // the hold in progress has not reached the new incarnation
    server.clockAt = 0;
    server.hasRestarted = true;
    reportCrash(now, server, ended);
}

// The answer to the last hold comes from the present incarnation, whose start time may be earlier than that of the one
// before: the time of day of a backend server may have been set back.
void Commander::acceptIncarnation(TimeUs now, Server &server, std::int64_t incarnationStartMs,
                                  std::vector<Action> &actions, std::vector<RunEndNotice> &ended)
{
    if (incarnationStartMs == 0 || incarnationStartMs == server.incarnationStartMs)
        return;
    if (server.incarnationStartMs == 0)
        server.incarnationStartMs = incarnationStartMs;
    else
        beginIncarnation(now, server, incarnationStartMs, actions, ended);
}

void Commander::applyRunLists(TimeUs now, Server &server, const HoldResult &event, TimeUs sentAt,
                              std::vector<Action> &actions, std::vector<RunEndNotice> &ended)
{
    const TimeUs renewedUs = server.holdLeaseUs;
    const std::int64_t knownThrough = server.acknowledgedEnd;
    for (const EndedRun &end : event.ended) { // in no particular order
        if (end.number <= knownThrough)
            continue;
        server.acknowledgedEnd = std::max(server.acknowledgedEnd, end.number);
        m_unconfirmedStarts.settle(now, end.task, server.entry.id, end.run, StartFate::Settled, now);
        const auto found = m_runs.find(end.task);
        if (found == m_runs.end() || found->second.number != end.run || &m_servers[found->second.server] != &server)
            continue;
        recordRunEnd(now, server, found->second, end.end);
        RunEnd reportedEnd = end.end;
        if (found->second.state == RunState::Stopping && reportedEnd == RunEnd::Failed)
            reportedEnd = RunEnd::Stopped; // the job no longer waits for this run
        endRun(now, end.task, reportedEnd, 0, ended);
    }
    std::size_t unknownRuns = 0;
    for (const RunningRun &running : event.running) {
        const auto found = m_runs.find(running.task);
        const bool isKnown = found != m_runs.end() && found->second.number == running.run
                && &m_servers[found->second.server] == &server;
        if (!isKnown) {
            // Started by an earlier commander, already given up here, or the order arrived late.
            ++unknownRuns;
            sendStop(now, server, running.task, running.run, actions);
            continue;
        }
        found->second.isAfterRestart = false;
        if (found->second.state == RunState::Starting) {
            found->second.state = RunState::Running;
            confirm(now, found->second);
        } else if (found->second.state == RunState::Stopping && now - found->second.stopSentAt > stopRepeatUs) {
            found->second.stopSentAt = now;
            sendStop(now, server, running.task, running.run, actions);
        }
    }
    if (unknownRuns > 0)
        actions.push_back(LogLine{true, "servers",
                                  concat("backend server lists unknown runs, which are stopped server=",
                                         server.entry.id, " unknown_runs=", unknownRuns, " runs=", server.runs.size(),
                                         " stage=", toString(server.stage), " token=", server.token)});
    // A run that was accepted before the lists were requested and is in neither list has vanished.
    std::vector<TaskId> vanished;
    for (const TaskId &task : server.runs) {
        const Run &run = m_runs.find(task)->second;
        const bool isListed = std::any_of(event.running.begin(), event.running.end(), [&](const RunningRun &running) {
            return running.task == task && running.run == run.number;
        });
        if (!isListed && run.acceptedAt < sentAt)
            vanished.push_back(task);
    }
    const bool hasRestarted = std::exchange(server.hasRestarted, false);
    for (const TaskId &task : vanished) {
        if (hasRestarted)
            addGivenUpRun(server, task, m_runs.find(task)->second, ended);
        actions.push_back(
                LogLine{true, "servers",
                        concat("backend server lists neither the run nor its end server=", server.entry.id,
                               " job=", task.job, " task=", task.index, " run=", m_runs.find(task)->second.number)});
        endRun(now, task, RunEnd::Lost, 0, ended);
    }
    reportCrash(now, server, ended);
    // After a pause of this entry VM the lists are old.
    server.mayMissEnds = event.clock && now - event.clock->receivedAt > maxListAgeUs;
    if (renewedUs > 0)
        server.leasesLastUntil = std::max(server.leasesLastUntil, sentAt + shortestLease(renewedUs));

    // Starts and holds would extend the leases of these runs, which their commander may have reported as lost.
    if (unknownRuns > 0 && server.stage == Stage::Usable) {
        server.stage = Stage::Claiming;
        ++m_capacityVersion;
    }
    if (server.stage == Stage::Claiming || server.stage == Stage::Suspect) {
        const std::vector<UnconfirmedStart> openStarts = m_unconfirmedStarts.openOn(now, server.entry.id);
        for (const UnconfirmedStart &start : openStarts)
            sendStop(now, server, start.task, start.run, actions);
        if (unknownRuns > 0 || !openStarts.empty()) {
            dropHeldStarts(now, server, ended);        // other backend servers take these tasks meanwhile
            sendHold(now, server, false, 50, actions); // a stop takes 50 ms
            return;
        }
        if (server.stage == Stage::Suspect)
            actions.push_back(
                    LogLine{false, "servers", concat("backend server answers again server=", server.entry.id)});
        server.stage = Stage::Usable;
        ++m_capacityVersion;
    }
    releaseHeldStarts(now, server, actions, ended);
    if (!server.runs.empty() || server.acknowledgedEnd > server.sentAcknowledgedEnd)
        sendHold(now, server, !server.runs.empty(), holdWaitMs, actions);
    else if (server.handingOver || !server.listed)
        stopCommanding(now, server, ended);
}

// Stops ---------------------------------------------------------------------------------------------

void Commander::stopRun(TimeUs now, const TaskId &task, Run &run, std::vector<Action> &actions)
{
    if (run.state == RunState::Stopping)
        return;
    run.state = RunState::Stopping;
    run.firstStopSentAt = now;
    sendOrDelayStop(now, task, run, actions);
}

void Commander::repeatStop(TimeUs now, const TaskId &task, Run &run, std::vector<Action> &actions)
{
    run.nextStopAt = never;
    sendOrDelayStop(now, task, run, actions);
}

// The end of a wide job stops thousands of runs at once. Their requests are sent a limited number at a time; the others
// wait here, where a stop takes no memory of its own.
void Commander::sendOrDelayStop(TimeUs now, const TaskId &task, Run &run, std::vector<Action> &actions)
{
    run.stopSentAt = now;
    if (m_stopsInProgress < maxStopsInProgress)
        sendStop(now, m_servers[run.server], task, run.number, actions);
    else
        run.nextStopAt = now + delayedStopUs;
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
    server.blockedUntil = std::max(server.blockedUntil, now + minFailureBlockUs);
    learnSpeed(server, found->second.expectedUs, now - found->second.orderedAt);
    ++m_capacityVersion;
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

void Commander::tick(TimeUs now, std::vector<Action> &actions, std::vector<RunEndNotice> &ended)
{
    for (auto &[task, run] : m_runs) {
        if (run.nextStopAt <= now)
            repeatStop(now, task, run, actions);
    }
    updateColdServers(now);
    for (Server &server : m_servers) {
        if (server.stage == Stage::Foreign || server.nextProbeAt > now)
            continue;
        if (!server.listed && server.stage == Stage::Suspect && now > server.leasesEndBy) {
            stopCommanding(now, server, ended);
            continue;
        }
        server.nextProbeAt = never;
        // Replaces a hold that is still waiting, as its answer would come only with the next end of a run.
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
        const std::uint32_t left = startsLeft(server, now);
        const bool usable = canStart(server, now) && left > 0;
        capacities.push_back({server.entry.id, usable ? server.entry.capacity - server.used : Resources{},
                              speedOf(server), server.token, usable, left});
    }
    return capacities;
}

bool Commander::fitsSomewhere(const Resources &taskResources, std::string_view service) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const Server &server) {
        return server.listed && server.entry.service == service && taskResources.fitsInto(server.entry.capacity);
    });
}

bool Commander::hasFittedSomewhere(const Resources &taskResources, std::string_view service) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const Server &server) {
        return server.listed && server.entry.service == service && taskResources.fitsInto(server.largestCapacity);
    });
}

bool Commander::hasServers(std::string_view service) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const Server &server) { return server.listed && server.entry.service == service; });
}

bool Commander::isCommanded(std::string_view server) const
{
    const auto found = m_indexes.find(server);
    return found != m_indexes.end() && m_servers[found->second].stage != Stage::Foreign;
}

std::vector<std::uint32_t> Commander::shardsToHandOver() const
{
    std::vector<std::uint32_t> shards;
    for (const Server &server : m_servers) {
        if (server.handingOver && !server.runs.empty())
            shards.push_back(shardOf(server.entry.id));
    }
    std::sort(shards.begin(), shards.end());
    shards.erase(std::unique(shards.begin(), shards.end()), shards.end());
    return shards;
}

std::vector<std::string_view> Commander::runCoordinators() const
{
    std::vector<std::string_view> coordinators;
    for (const auto &[task, run] : m_runs)
        coordinators.push_back(run.coordinator);
    return coordinators;
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

ListedServer Commander::findListed(std::string_view server) const
{
    const auto found = m_indexes.find(server);
    if (found == m_indexes.end() || !m_servers[found->second].listed)
        return {};
    const Server &listed = m_servers[found->second];
    return {&listed.entry, listed.rack, listed.kind};
}

std::uint32_t Commander::rackNumber(std::string_view rack) const
{
    if (rack.empty())
        return 0;
    const auto found = m_rackNumbers.find(rack);
    return found == m_rackNumbers.end() ? std::numeric_limits<std::uint32_t>::max() : found->second;
}

void Commander::addExpectedPlaces(TimeUs now, ExpectedPlaces &places) const
{
    for (const Server &server : m_servers) {
        if (server.runs.empty() || !canStart(server, now))
            continue;
        const double speed = speedOf(server);
        const std::size_t place = places.add(
                {server.entry.service, server.rack, server.kind, speed, server.entry.capacity - server.used, 0});
        for (const TaskId &task : server.runs) {
            const Run &run = m_runs.find(task)->second;
            const TimeUs expectedUs = static_cast<TimeUs>(static_cast<double>(run.expectedUs) / speed);
            const TimeUs startedAt = std::clamp(run.acceptedAt, run.orderedAt, std::max(run.leavesAt, run.orderedAt));
            if (run.state != RunState::Stopping)
                places.addRun(place, now - startedAt, expectedUs, run.resources);
        }
    }
}

} // namespace clementinelift::command
