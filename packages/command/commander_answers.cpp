// Answers of backend servers to starts, stops and holds.
#include "command/commander.h"
#include "command/commander_limits.h"

#include "command/text.h"

#include <algorithm>
#include <utility>

namespace clementinelift::command {

using namespace detail;

void Commander::onHoldResult(TimeUs now, const HoldResult &event, std::vector<Action> &actions,
                             std::vector<RunEndNotice> &ended)
{
    const auto found = m_indexes.find(event.server);
    if (found == m_indexes.end())
        return;
    Server &server = m_servers[found->second];
    if (server.stage == Stage::Foreign || event.sequence != server.holdSequence)
        return;
    server.holdSequence = 0;
    server.isRefusing = event.isRefused;
    const bool wasVerifying = std::exchange(server.isVerifying, false);
    const TimeUs sentAt = server.holdSentAt;
    // Until its connection breaks, a hold reports each end; one that was not sent reports none.
    const TimeUs seenUs = event.outcome == OrderOutcome::NotSent ? maxListAgeUs : server.holdTimeoutUs;
    if ((event.outcome == OrderOutcome::NotSent || event.outcome == OrderOutcome::Unknown) && now - sentAt >= seenUs)
        server.mayMissEnds = true;
    if (event.isRefused || event.outcome == OrderOutcome::OtherInstance) {
        server.endedSentAt = sentAt;
        m_unconfirmedStarts.settleAll(now, server.entry.id, sentAt - answerTimeoutUs);
    }
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        server.missingAnswers = 0;
        acceptIncarnation(now, server, event.incarnationStartMs, actions, ended);
        server.heardIncarnationMs = event.incarnationStartMs;
        server.heardSentAt = sentAt;
        reportGivenUpRuns(server, CrashNotice::NotCrashed, CrashNotice::NotCrashed, ended);
        if (event.clock)
            readClock(server, *event.clock, true);
        applyRunLists(now, server, event, sentAt, actions, ended);
        return;
    case OrderOutcome::Fenced:
        onFenced(now, server, sentAt, actions, ended);
        return;
    case OrderOutcome::OtherInstance:
        onOtherInstance(now, server, actions, ended);
        return;
    case OrderOutcome::Unhealthy:
        dropHeldStarts(now, server, ended);
        server.blockedUntil = std::max(server.blockedUntil, now + unhealthyBlockUs);
        server.nextProbeAt = now + minProbeIntervalUs;
        ++m_capacityVersion;
        return;
    default:
        onMissingAnswer(now, server, wasVerifying, actions, ended);
    }
}

// sentAt: when the rejected order was sent. A start that could no longer arrive then never begins: whichever
// incarnation has received it has seen the higher token. It may have begun before.
void Commander::onFenced(TimeUs now, Server &server, TimeUs sentAt, std::vector<Action> &actions,
                         std::vector<RunEndNotice> &ended)
{
    actions.push_back(LogLine{true, "servers",
                              concat("backend server rejected the fencing token server=", server.entry.id,
                                     " token=", server.token, " runs=", server.runs.size())});
    server.fencedToken = server.token;
    server.fencedSentAt = sentAt;
    dropHeldStarts(now, server, ended);
    // Starts without an answer so far are decided by their own results, unless these have come and a stop was sent.
    for (const TaskId &task : std::vector<TaskId>(server.runs)) {
        const Run &run = m_runs.find(task)->second;
        if (run.acceptedAt != never)
            endRun(now, task, RunEnd::Lost, std::max<TimeUs>(server.leasesEndBy - now, 0), ended);
        else if (run.state == RunState::Stopping)
            loseUnconfirmed(now, server, task, run, ended);
    }
    server.stage = Stage::Fenced;
    server.holdSequence = 0;
    server.nextProbeAt = never;
    ++m_capacityVersion;
}

// Another incarnation answers at this address; the runs of the earlier incarnation have ended.
void Commander::onOtherInstance(TimeUs now, Server &server, std::vector<Action> &actions,
                                std::vector<RunEndNotice> &ended)
{
    if (server.stage != Stage::Suspect)
        actions.push_back(
                LogLine{true, "servers",
                        concat("another instance answers at the address of the backend server server=", server.entry.id,
                               " address=", server.entry.address, " runs=", server.runs.size())});
    giveUpRuns(now, server, now, ended);
    reportCrash(now, server, ended);
    server.stage = Stage::Suspect;
    server.nextProbeAt = now + maxProbeIntervalUs;
    ++m_capacityVersion;
}

// A missing answer is often due to a reset connection or to one order that was not answered, so the backend server is
// asked for its runs at once, and only a missing answer to that decides. isLastAttempt: this was that answer.
void Commander::onMissingAnswer(TimeUs now, Server &server, bool isLastAttempt, std::vector<Action> &actions,
                                std::vector<RunEndNotice> &ended)
{
    ++server.missingAnswers;
    // A claimed backend server has runs when it has restarted: they may be of its new incarnation.
    const bool mayHaveRuns = server.stage == Stage::Usable || (server.stage == Stage::Claiming && !server.runs.empty());
    if (mayHaveRuns && !isLastAttempt) {
        if (!server.heldStarts.empty()) { // other backend servers take these tasks meanwhile
            dropHeldStarts(now, server, ended);
            server.blockedUntil = std::max(server.blockedUntil, now + unhealthyBlockUs);
        }
        if (!std::exchange(server.isVerifying, true))
            sendHold(now, server, server.stage == Stage::Usable && !server.runs.empty(), 0, actions);
        return;
    }
    if (mayHaveRuns) {
        actions.push_back(LogLine{true, "servers",
                                  concat("backend server does not answer server=", server.entry.id, " runs=",
                                         server.runs.size(), " leases_end_ms=", (server.leasesEndBy - now) / usPerMs)});
        giveUpRuns(now, server, server.leasesEndBy, ended);
        server.stage = Stage::Suspect;
        ++m_capacityVersion;
    }
    if (server.isRefusing)
        reportCrash(now, server, ended);
    if (server.holdSequence == 0)
        server.nextProbeAt =
                now + std::min(minProbeIntervalUs << std::min(server.missingAnswers, 5U), maxProbeIntervalUs);
}

void Commander::onStartResult(TimeUs now, const StartResult &event, std::vector<Action> &actions,
                              std::vector<RunEndNotice> &ended)
{
    m_startDelay.onEnded();
    const auto foundServer = m_indexes.find(event.server);
    if (foundServer == m_indexes.end())
        return;
    Server &server = m_servers[foundServer->second];
    if (event.clock && server.stage != Stage::Foreign)
        readClock(server, *event.clock, false);
    const auto found = m_runs.find(event.task);
    const bool isKnown =
            found != m_runs.end() && found->second.number == event.run && found->second.server == foundServer->second;
    if (!isKnown) {
        onLateStartResult(now, event);
        return;
    }
    Run &run = found->second;
    if (event.outcome == OrderOutcome::Unknown)
        run.unansweredAt = std::min(run.unansweredAt, now);
    if (server.stage == Stage::Fenced && event.outcome == OrderOutcome::Accepted) {
        endRun(now, event.task, RunEnd::Lost, std::max<TimeUs>(server.leasesEndBy - now, 0), ended);
        return;
    }
    if (server.stage == Stage::Fenced && event.outcome == OrderOutcome::Unknown) {
        loseUnconfirmed(now, server, event.task, run, ended);
        return;
    }
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        server.missingAnswers = 0;
        m_startDelay.learn(now - run.orderedAt, run.unansweredStarts);
        if (event.clock && isBehind(server, *event.clock)) { // it has restarted
            server.leasesEndBy = std::max(server.leasesEndBy, now + leaseBound(m_settings.maxLeaseUs));
            run.isAfterRestart = true;
            if (server.stage == Stage::Usable)
                sendHold(now, server, false, 0, actions);
        }
        server.leasesLastUntil = std::max(server.leasesLastUntil, run.orderedAt + shortestLease(run.leaseUs));
        confirm(now, run);
        if (run.state == RunState::Starting)
            run.state = RunState::Running;
        return;
    case OrderOutcome::Fenced: {
        const bool isOwnToken = run.token < server.token; // the backend server has seen the present token of this VM
        const TimeUs sentAt = run.orderedAt;
        endRun(now, event.task, RunEnd::NotRun, 0, ended); // the order had no effect
        if (!isOwnToken)
            onFenced(now, server, sentAt, actions, ended);
        return;
    }
    case OrderOutcome::OtherInstance:
        // The order may have gone to an earlier address; the answer to a hold decides about the other runs. All starts
        // on their way to an incarnation end so at once; one hold is enough.
        actions.push_back(LogLine{false, "servers",
                                  concat("start not sent, another incarnation answers server=", server.entry.id,
                                         " job=", event.task.job, " task=", event.task.index, " run=", event.run,
                                         " born_ms=", run.incarnationStartMs)});
        endRun(now, event.task, RunEnd::NotRun, 0, ended);
        if (server.stage == Stage::Usable && !std::exchange(server.isVerifying, true))
            sendHold(now, server, false, 0, actions);
        return;
    case OrderOutcome::Unhealthy:
        server.blockedUntil = std::max(server.blockedUntil, now + unhealthyBlockUs);
        endRun(now, event.task, RunEnd::NotRun, 0, ended);
        return;
    case OrderOutcome::NotSent:
        endRun(now, event.task, RunEnd::NotRun, 0, ended);
        onMissingAnswer(now, server, false, actions, ended);
        return;
    case OrderOutcome::NoRoom:
    case OrderOutcome::Malformed:
        // Its capacity may have shrunk; other backend servers are tried meanwhile.
        server.blockedUntil = std::max(server.blockedUntil, now + unhealthyBlockUs);
        [[fallthrough]];
    case OrderOutcome::OldRun:
    case OrderOutcome::Late:
        actions.push_back(
                LogLine{true, "servers",
                        concat("backend server rejected start server=", server.entry.id, " job=", event.task.job,
                               " task=", event.task.index, " run=", event.run, " reason=", toString(event.outcome))});
        endRun(now, event.task, RunEnd::NotRun, 0, ended);
        return;
    case OrderOutcome::Unknown:
        break;
    }
    // The order may still be carried out. Once a stop is answered, the run is either listed or will never start.
    if (run.state == RunState::Starting)
        stopRun(now, event.task, run, actions);
    onMissingAnswer(now, server, false, actions, ended);
}

void Commander::onStopResult(TimeUs now, const StopResult &event, std::vector<Action> &actions)
{
    m_stopsInProgress -= m_stopsInProgress > 0 ? 1 : 0;
    const auto foundServer = m_indexes.find(event.server);
    if (foundServer == m_indexes.end())
        return;
    Server &server = m_servers[foundServer->second];
    if (server.stage == Stage::Foreign)
        return;
    if (event.clock)
        readClock(server, *event.clock, false);
    if (event.outcome == OrderOutcome::Accepted)
        m_unconfirmedStarts.settle(now, event.task, event.server, event.run, StartFate::Settled, now + stopBoundUs);
    const auto found = m_runs.find(event.task);
    if (found == m_runs.end() || found->second.number != event.run || found->second.server != foundServer->second)
        return;
    if (event.outcome == OrderOutcome::Accepted) {
        // Lists requested from now on contain the end of the run, or nothing when the run never started.
        confirm(now, found->second);
        if (server.holdSequence == 0)
            sendHold(now, server, server.stage == Stage::Usable, 0, actions);
        else
            server.nextProbeAt = std::min(server.nextProbeAt, now + 60 * usPerMs);
    } else if (found->second.state == RunState::Stopping && now > found->second.stopSentAt
               && event.outcome != OrderOutcome::Fenced) {
        // The first one is often due to a reset connection. Later ones wait: a backend server that rejects stops at
        // once would get 2,000 of them a second.
        Run &run = found->second;
        const TimeUs repeatAt = run.stopSentAt + stopTimeoutUs;
        if (run.stopSentAt == run.firstStopSentAt || now >= repeatAt)
            repeatStop(now, event.task, run, actions);
        else
            run.nextStopAt = repeatAt;
    }
}

} // namespace clementinelift::command
