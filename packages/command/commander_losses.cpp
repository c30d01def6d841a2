// Runs that are given up because their backend server does not answer or has another commander, and what is known about
// those of them whose start had no answer.
#include "command/commander.h"
#include "command/commander_limits.h"

#include <algorithm>
#include <utility>

namespace clementinelift::command {

using namespace detail;

// Starts without an answer --------------------------------------------------------------------------

// From now on the run exists, or it is certain that it will not.
void Commander::confirm(TimeUs now, Run &run)
{
    if (run.acceptedAt == never)
        forgetUnconfirmed(run);
    run.acceptedAt = std::min(run.acceptedAt, now);
}

void Commander::forgetUnconfirmed(const Run &run)
{
    const auto ofCoordinator = m_unconfirmedRuns.find(run.coordinator);
    const auto ofOrder = ofCoordinator->second.find(run.sequence);
    if (--ofOrder->second == 0)
        ofCoordinator->second.erase(ofOrder);
    if (ofCoordinator->second.empty())
        m_unconfirmedRuns.erase(ofCoordinator);
}

std::uint64_t Commander::firstUnconfirmed(std::string_view coordinator) const
{
    const auto found = m_unconfirmedRuns.find(coordinator);
    return found == m_unconfirmedRuns.end() ? 0 : found->second.begin()->first;
}

void Commander::addUnconfirmedStart(TimeUs now, const TaskId &task, std::string_view server, RunNumber run)
{
    m_unconfirmedStarts.add(now, task, server, run, StartFate::Unknown, now + lateStartLimitUs);
}

// The time from which an unanswered start cannot reach a backend server that has not received it: the client closes the
// connection of an order without an answer.
TimeUs Commander::undeliverableFrom(const Run &run)
{
    return std::min(run.unansweredAt, run.orderedAt + answerTimeoutUs);
}

// What is known about a start that was not answered. The order reached at most one incarnation, which was up before
// undeliverableFrom(). That incarnation has ended when a later order was refused or met another instance, and was the
// expected one when the expected one was heard later.
StartFate Commander::startFate(const Server &server, const Run &run) const
{
    if (server.endedSentAt >= undeliverableFrom(run))
        return StartFate::Settled;
    const bool isExpectedHeard = server.heardIncarnationMs != 0 && server.heardIncarnationMs == run.incarnationStartMs
            && server.heardSentAt >= undeliverableFrom(run);
    return isExpectedHeard ? StartFate::Bounded : StartFate::Unknown;
}

// The commander of the backend server settles a start that a peer, or the commander before it, has reported.
void Commander::mergeUnconfirmedStart(TimeUs now, const UnconfirmedStart &reported, std::vector<Action> &actions)
{
    if (!m_unconfirmedStarts.merge(now, reported))
        return;
    const auto found = m_indexes.find(reported.server);
    if (found == m_indexes.end() || reported.fate != StartFate::Unknown)
        return;
    const auto run = m_runs.find(reported.task);
    if (run != m_runs.end() && run->second.server == found->second && run->second.number == reported.run)
        stopRun(now, reported.task, run->second, actions); // its coordinator has lost this entry VM
    else if (m_servers[found->second].stage == Stage::Usable)
        claimAgain(now, m_servers[found->second], actions);
}

// The result of a start whose run has been given up in the meantime.
void Commander::onLateStartResult(TimeUs now, const StartResult &event)
{
    if (event.outcome == OrderOutcome::Unknown)
        return;
    if (event.outcome == OrderOutcome::Accepted)
        m_unconfirmedStarts.settle(now, event.task, event.server, event.run, StartFate::Bounded,
                                   now + leaseBound(m_settings.maxLeaseUs));
    else
        m_unconfirmedStarts.settle(now, event.task, event.server, event.run, StartFate::Settled, now);
}

// Lost runs -----------------------------------------------------------------------------------------

// Reports all runs of a backend server as lost. All of them have certainly ended by endsBy, except those whose starts
// another incarnation may have received: its clock is behind their lease ends.
void Commander::abandonRuns(TimeUs now, Server &server, TimeUs endsBy, std::vector<RunEndNotice> &ended)
{
    dropHeldStarts(now, server, ended);
    const std::vector<TaskId> runs = std::move(server.runs);
    server.runs.clear();
    bool hasUnconfirmed = false;
    bool hasUnknown = false;
    for (const TaskId &task : runs) {
        const Run &run = m_runs.find(task)->second;
        if (run.acceptedAt != never)
            continue;
        const StartFate fate = startFate(server, run);
        hasUnconfirmed = hasUnconfirmed || (fate != StartFate::Settled && endsBy > now);
        hasUnknown = hasUnknown || fate == StartFate::Unknown;
    }
    // A backend server that has restarted unnoticed counts the lease from the arrival of an unanswered start. The lease
    // is that of all runs there.
    const TimeUs boundUs = endsBy + (hasUnconfirmed ? answerTimeoutUs : 0);
    for (const TaskId &task : runs) {
        const Run &run = m_runs.find(task)->second;
        const bool isUnconfirmed = run.acceptedAt == never;
        const StartFate fate = isUnconfirmed       ? startFate(server, run)
                : hasUnknown && run.isAfterRestart ? StartFate::Unknown
                                                   : StartFate::Settled;
        const TimeUs runEndsBy = fate == StartFate::Unknown ? now + lateStartLimitUs : boundUs;
        if (fate == StartFate::Unknown || (fate == StartFate::Bounded && endsBy > now))
            m_unconfirmedStarts.add(now, task, server.entry.id, run.number, fate, runEndsBy);
        endRun(now, task, RunEnd::Lost, std::max<TimeUs>(runEndsBy - now, 0), ended);
    }
    server.used = {};
}

// Reports one run without an answer to its start as lost, on a backend server that has rejected the fencing token.
void Commander::loseUnconfirmed(TimeUs now, const Server &server, const TaskId &task, const Run &run,
                                std::vector<RunEndNotice> &ended)
{
    StartFate fate = startFate(server, run);
    TimeUs endsBy = server.leasesEndBy;
    if (fate == StartFate::Unknown && server.fencedSentAt >= undeliverableFrom(run)) {
        fate = StartFate::Bounded;
        endsBy = now + leaseBound(m_settings.maxLeaseUs); // another incarnation may have begun the run just before
    } else if (fate == StartFate::Unknown) {
        endsBy = now + lateStartLimitUs;
    }
    if (fate != StartFate::Settled)
        m_unconfirmedStarts.add(now, task, server.entry.id, run.number, fate, endsBy);
    endRun(now, task, RunEnd::Lost, std::max<TimeUs>(endsBy - now, 0), ended);
}

// As abandonRuns(), for a backend server that may have crashed.
void Commander::giveUpRuns(TimeUs now, Server &server, TimeUs endsBy, std::vector<RunEndNotice> &ended)
{
    dropHeldStarts(now, server, ended);
    if (server.listed && !server.entry.draining) { // a planned exit ends its runs as well
        for (const TaskId &task : server.runs)
            addGivenUpRun(server, task, m_runs.find(task)->second, ended);
    }
    abandonRuns(now, server, endsBy, ended);
}

// Counts at once, because a silent crash may become known only when the task has been started several times more.
void Commander::addGivenUpRun(Server &server, const TaskId &task, const Run &run, std::vector<RunEndNotice> &ended)
{
    server.givenUpRuns.push_back({task, run.state == RunState::Running});
    ended.push_back({{}, {task, 0, RunEnd::Lost, 0, server.entry.id}, CrashNotice::Lost});
}

void Commander::reportGivenUpRuns(Server &server, CrashNotice running, CrashNotice other,
                                  std::vector<RunEndNotice> &ended)
{
    for (const GivenUpRun &run : std::exchange(server.givenUpRuns, {}))
        ended.push_back({{}, {run.task, 0, RunEnd::Lost, 0, server.entry.id}, run.wasRunning ? running : other});
}

// The crash happened between the last lists and now. It is certain to have ended a run only when the run cannot have
// ended in between by itself, by its lease or by a stop.
void Commander::reportCrash(TimeUs now, Server &server, std::vector<RunEndNotice> &ended)
{
    const bool mayHaveEnded = server.mayMissEnds || now > server.leasesLastUntil;
    reportGivenUpRuns(server, mayHaveEnded ? CrashNotice::Suspected : CrashNotice::Certain, CrashNotice::Suspected,
                      ended);
}

} // namespace clementinelift::command
