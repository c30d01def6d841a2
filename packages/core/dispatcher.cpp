#include "core/dispatcher_state.h"

#include <algorithm>
#include <cassert>

namespace clementinelift::core {

namespace {

constexpr int maxDecisionRounds = 16;                // drops may lead to further decisions
constexpr std::int64_t pauseUs = usPerS;             // without events: the process was paused
constexpr std::int64_t startsHeldUs = 500 * usPerMs; // after a pause
constexpr std::int64_t lateTimerUs = 10 * usPerMs;   // a timer that is later means that the process was paused
constexpr std::int64_t minTimerUs = 1000; // a part whose work is bounded by a round continues after this time
constexpr std::uint64_t requestIdMix = 0x9e3779b97f4a7c15;

} // namespace

// Refusals ------------------------------------------------------------------------------------------

namespace detail {

constexpr std::size_t maxRefusals = 131072; // about 8 MiB

const Refusal *RefusalMemory::find(const RequestOrigin &origin) const
{
    const auto found = m_refusals.find(origin);
    return found == m_refusals.end() ? nullptr : &found->second;
}

bool RefusalMemory::isFull() const
{
    return m_refusals.size() >= maxRefusals;
}

void RefusalMemory::add(const RequestOrigin &origin, const Refusal &refusal, std::int64_t untilUs)
{
    m_refusals.insert_or_assign(origin, refusal);
    m_order.emplace_back(untilUs, origin);
}

void RefusalMemory::expire(std::int64_t nowUs)
{
    while (!m_order.empty() && m_order.front().first <= nowUs) {
        m_refusals.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace detail

// Construction --------------------------------------------------------------------------------------

Dispatcher::State::State(const CoreSettings &givenSettings)
    : settings(givenSettings), config(settings.parseEntry),
      ownership(settings.dedupeHorizonMs, settings.maxProgressStepMs), planner(settings), membership(settings),
      scheduler(settings, config), dedupe(settings.maxRememberedKeys, settings.maxAnswerBytes),
      traces(settings.traceJobs), random(settings.seed ^ raw(settings.self.incarnation)),
      // Request ids of different incarnations must not meet: a late result may reach the successor of its receiver.
      nextRequest(raw(settings.self.incarnation) * requestIdMix)
{
    assert(settings.parseEntry != nullptr);
    assert(raw(settings.self.incarnation) != 0);
}

Dispatcher::Dispatcher(const CoreSettings &settings) : m_state(std::make_unique<State>(settings)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::handle(Now now, Event &&event, Actions &actions)
{
    detail::Step step{now, actions};
    m_state->notePause(step);
    m_state->runDueTimers(step);
    std::visit([&](auto &&alternative) { m_state->on(step, std::forward<decltype(alternative)>(alternative)); },
               std::move(event));
    m_state->settle(step);
}

// Timers --------------------------------------------------------------------------------------------

// What has happened during a pause of the process waits in its queues: it must learn first that a backend server is
// leaving. Without a pause timers are due several times a second.
void Dispatcher::State::notePause(Step &step)
{
    if (lastEventUs >= 0 && step.now.monoUs > lastEventUs + pauseUs) {
        startsHeldUntilUs = step.now.monoUs + startsHeldUs;
        step.notice(NoticeLevel::Warning, "jobs",
                    "no event for a long time, starts are held pause_ms="
                            + std::to_string((step.now.monoUs - lastEventUs) / usPerMs));
    }
    lastEventUs = step.now.monoUs;
}

void Dispatcher::State::runDueTimers(Step &step)
{
    if (timerUs != INT64_MAX && step.now.monoUs >= timerUs + lateTimerUs)
        resumedUs = step.now.monoUs;
    if (step.now.monoUs >= timerUs)
        timerUs = INT64_MAX;
    while (timers.isDue(step.now.monoUs)) {
        const Timer timer = timers.pop();
        switch (timer.kind) {
        case TimerKind::JobDeadline:
            onDeadline(step, JobId(timer.id));
            break;
        case TimerKind::JobStart:
            if (Job *job = jobs.find(JobId(timer.id)))
                enqueueJob(step, *job);
            break;
        case TimerKind::WaiterTimeout:
            onWaiterTimeout(step, JobId(timer.id), timer.serial);
            break;
        case TimerKind::ForwardDue: {
            const auto found = forwards.find(timer.id);
            if (found != forwards.end() && found->second.dueUs == timer.atUs)
                reviewForward(step, timer.id);
            break;
        }
        case TimerKind::AttemptQuery:
            onQueryTimer(step, timer.id, timer.atUs);
            break;
        }
    }
    refusals.expire(step.now.monoUs);
    if (step.now.monoUs >= membership.nextTimerUs())
        membership.onTimer(step.now, step.actions);
}

void Dispatcher::State::on(Step &step, TimerFired &&event)
{
    (void)event;
    (void)step;
    timerUs = INT64_MAX;
}

void Dispatcher::State::setTimer(Step &step)
{
    std::int64_t next =
            std::min({timers.nextUs(), std::max(scheduler.nextTimerUs(), startsHeldUntilUs), membership.nextTimerUs()});
    if (ownershipAtEnd && !ownershipDown && !draining)
        next = std::min(next, std::max(planner.nextPlanUs(), grantsFromUs));
    if (snapshotDueUs > 0)
        next = std::min(next, snapshotDueUs);
    if (draining && !drainFinished) {
        next = std::min(next, releaseDueUs);
        if (idleSinceUs >= 0)
            next = std::min(next, drainDueUs);
    }
    if (next == INT64_MAX)
        return;
    next = std::max(next, step.now.monoUs + minTimerUs);
    if (next >= timerUs)
        return; // the timer that is set fires earlier and sets the next one
    timerUs = next;
    step.act(SetTimer{next});
}

// Every event ---------------------------------------------------------------------------------------

void Dispatcher::State::settle(Step &step)
{
    if (membership.viewVersion() != seenView) {
        seenView = membership.viewVersion();
        // Slots of an entry VM that drains stay with it: its tasks still occupy them.
        scheduler.setPeers(membership.runningInZone(), membership.running(), step.now);
        reviewAllForwards(step);
    }
    if (config.generation() != seenGeneration) {
        seenGeneration = config.generation();
        scheduler.onConfiguration(step.now);
    }
    planGrants(step);
    planSnapshot(step);
    runDecisions(step);
    if (draining)
        continueDrain(step);
    noteReadiness(step);
    setTimer(step);
}

void Dispatcher::State::runDecisions(Step &step)
{
    // After a pause the queue of the process may hold a task before the news that its backend server is leaving.
    if (step.now.monoUs < startsHeldUntilUs)
        return;
    for (int round = 0; round < maxDecisionRounds; ++round) {
        decisions.clear();
        scheduler.decide(step.now, decisions);
        for (const StartDecision &start : decisions.starts)
            startAttempt(step, start);
        for (const DropDecision &drop : decisions.drops) {
            ++counters.tasksDropped;
            Job *job = jobs.find(drop.task.job);
            if (job == nullptr)
                continue;
            job->tasks[drop.task.index].state = TaskState::Dropped;
            job->trace.add(step.now.wallMs, TraceStep::Dropped, drop.task.index,
                           static_cast<std::uint32_t>(drop.reason));
            failJob(step, *job, drop.reason, "a task could not be started");
        }
        for (SlotMessageDecision &decision : decisions.messages) {
            if (auto *report = std::get_if<Report>(&decision.message)) {
                report->configNext = config.nextOffset();
                report->ownershipNext = ownershipNext;
            }
            step.act(SendPeer{std::move(decision.node), std::move(decision.message)});
        }
        for (const ProbeDecision &probe : decisions.probes)
            step.act(ProbeBackend{probe.backend, scheduler.backend(probe.backend).address});
        for (Notice &notice : decisions.notices)
            step.act(std::move(notice));
        if (decisions.starts.empty() && decisions.drops.empty())
            return;
    }
}

// Readiness -----------------------------------------------------------------------------------------

std::string Dispatcher::State::waitingFor() const
{
    if (draining)
        return "draining";
    if (everReady)
        return "";
    if (!config.isLoaded())
        return "configuration";
    if (!ownershipRead)
        return "ownership log";
    if (!everGranted && !ownershipDown)
        return "own grant";
    return "";
}

void Dispatcher::State::noteReadiness(Step &step)
{
    if (everReady || !waitingFor().empty())
        return;
    everReady = true;
    step.notice(NoticeLevel::Info, "keys", everGranted ? "ready" : "ready without a grant, the log is down");
}

// Read access ---------------------------------------------------------------------------------------

bool Dispatcher::isReady() const
{
    return m_state->waitingFor().empty();
}

bool Dispatcher::isDraining() const
{
    return m_state->draining;
}

std::string Dispatcher::waitingFor() const
{
    return m_state->waitingFor();
}

const Counters &Dispatcher::counters() const
{
    return m_state->counters;
}

const Configuration &Dispatcher::configuration() const
{
    return m_state->config;
}

const OwnershipTable &Dispatcher::ownership() const
{
    return m_state->ownership;
}

const Membership &Dispatcher::membership() const
{
    return m_state->membership;
}

const Scheduler &Dispatcher::scheduler() const
{
    return m_state->scheduler;
}

std::size_t Dispatcher::openJobs() const
{
    return m_state->jobs.size();
}

std::size_t Dispatcher::rememberedKeys() const
{
    return m_state->dedupe.size();
}

std::uint64_t Dispatcher::answerBytes() const
{
    return m_state->dedupe.answerBytes();
}

std::uint32_t Dispatcher::ownedPartitions(std::int64_t issueMs) const
{
    std::uint32_t owned = 0;
    for (std::uint32_t partition = 0; partition < partitionCount; ++partition)
        owned += m_state->isOwn(m_state->ownership.find(partition, issueMs)) ? 1 : 0;
    return owned;
}

} // namespace clementinelift::core
