#include "core/dispatcher_state.h"

#include <algorithm>
#include <cassert>

namespace clementinelift::core {

namespace {

constexpr int maxDecisionRounds = 16;             // dropped tasks may cause further decisions
constexpr std::int64_t pauseThresholdUs = usPerS; // a longer interval without events means that the process was paused
constexpr std::int64_t startsHeldUs = 500 * usPerMs;        // no starts for this long after a pause
constexpr std::int64_t lateTimerThresholdUs = 10 * usPerMs; // a later timer means that the process was paused
constexpr std::int64_t minTimerDelayUs = 1000;              // delay before work that was limited per call continues
constexpr std::uint64_t requestIdMultiplier = 0x9e3779b97f4a7c15;

} // namespace

// Refusals ------------------------------------------------------------------------------------------

namespace detail {

constexpr std::size_t maxRefusals = 131072; // about 8 MiB

const Refusal *RefusalTable::find(const RequestOrigin &origin) const
{
    const auto found = m_refusals.find(origin);
    return found == m_refusals.end() ? nullptr : &found->second;
}

bool RefusalTable::isFull() const
{
    return m_refusals.size() >= maxRefusals;
}

void RefusalTable::add(const RequestOrigin &origin, const Refusal &refusal, std::int64_t untilUs)
{
    m_refusals.insert_or_assign(origin, refusal);
    m_refusalOrder.emplace_back(untilUs, origin);
}

void RefusalTable::expire(std::int64_t nowUs)
{
    while (!m_refusalOrder.empty() && m_refusalOrder.front().first <= nowUs) {
        m_refusals.erase(m_refusalOrder.front().second);
        m_refusalOrder.pop_front();
    }
}

} // namespace detail

// Construction --------------------------------------------------------------------------------------

Dispatcher::State::State(const CoreSettings &givenSettings)
    : settings(givenSettings), config(settings.parseEntry),
      ownership(settings.dedupeHorizonMs, settings.maxProgressStepMs), planner(settings), membership(settings),
      scheduler(settings, config), dedupe(settings.maxRememberedKeys, settings.maxAnswerBytes),
      jobMemory(settings.maxJobBytes), traces(settings.traceJobs),
      random(settings.seed ^ raw(settings.self.incarnation)),
      // Incarnations must use different request ids: a late result may reach the next incarnation of its receiver.
      nextRequest(raw(settings.self.incarnation) * requestIdMultiplier)
{
    assert(settings.parseEntry != nullptr);
    assert(raw(settings.self.incarnation) != 0);
}

Dispatcher::Dispatcher(const CoreSettings &settings) : m_state(std::make_unique<State>(settings)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::handle(Now now, Event &&event, Actions &actions)
{
    detail::Step step{now, actions};
    m_state->detectPause(step);
    m_state->runDueTimers(step);
    std::visit([&](auto &&alternative) { m_state->on(step, std::forward<decltype(alternative)>(alternative)); },
               std::move(event));
    m_state->finishEvent(step);
}

// Timers --------------------------------------------------------------------------------------------

// Suspends task starts after a pause of the process. Events of the pause are still queued, and the core must first read
// those that report leaving backend servers. Without a pause, timers fire several times a second.
void Dispatcher::State::detectPause(Step &step)
{
    if (lastEventUs >= 0 && step.now.monoUs > lastEventUs + pauseThresholdUs) {
        startsHeldUntilUs = step.now.monoUs + startsHeldUs;
        step.log(NoticeLevel::Warning, "jobs",
                 "process was paused, task starts are suspended pause_ms="
                         + std::to_string((step.now.monoUs - lastEventUs) / usPerMs));
    }
    lastEventUs = step.now.monoUs;
}

void Dispatcher::State::runDueTimers(Step &step)
{
    if (timerUs != INT64_MAX && step.now.monoUs >= timerUs + lateTimerThresholdUs)
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
                updateForward(step, timer.id);
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
    if (ownershipCaughtUp && !ownershipDown && !draining)
        next = std::min(next, std::max(planner.nextPlanUs(), firstGrantUs));
    if (snapshotDueUs > 0)
        next = std::min(next, snapshotDueUs);
    if (draining && !drainFinished) {
        next = std::min(next, releaseDueUs);
        if (idleSinceUs >= 0)
            next = std::min(next, drainDueUs);
    }
    if (next == INT64_MAX)
        return;
    next = std::max(next, step.now.monoUs + minTimerDelayUs);
    if (next >= timerUs)
        return; // the current timer is due earlier and sets the next one
    timerUs = next;
    step.emit(SetTimer{next});
}

// Every event ---------------------------------------------------------------------------------------

void Dispatcher::State::finishEvent(Step &step)
{
    if (membership.viewVersion() != schedulerViewVersion) {
        schedulerViewVersion = membership.viewVersion();
        // A draining entry VM keeps its slots, because its tasks still occupy them.
        scheduler.setPeers(membership.runningInZone(), membership.running(), step.now);
        updateAllForwards(step);
    }
    if (config.generation() != schedulerConfigGeneration) {
        schedulerConfigGeneration = config.generation();
        scheduler.onConfiguration(step.now);
    }
    planGrants(step);
    planSnapshot(step);
    applyDecisions(step);
    if (draining)
        continueDrain(step);
    updateReadiness(step);
    setTimer(step);
}

void Dispatcher::State::applyDecisions(Step &step)
{
    // After a pause, a task may be queued before the event that reports its backend server as leaving.
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
            step.emit(SendPeer{std::move(decision.node), std::move(decision.message)});
        }
        for (const ProbeDecision &probe : decisions.probes)
            step.emit(ProbeBackend{probe.backend, scheduler.backend(probe.backend).address});
        for (Notice &notice : decisions.notices)
            step.emit(std::move(notice));
        if (decisions.starts.empty() && decisions.drops.empty())
            return;
    }
}

// Readiness -----------------------------------------------------------------------------------------

std::string Dispatcher::State::waitingFor() const
{
    if (draining)
        return "draining";
    if (wasReady)
        return "";
    if (!config.isLoaded())
        return "configuration";
    if (!ownershipRead)
        return "ownership log";
    if (!ownGrantRead && !ownershipDown)
        return "own grant";
    return "";
}

void Dispatcher::State::updateReadiness(Step &step)
{
    if (wasReady || !waitingFor().empty())
        return;
    wasReady = true;
    step.log(NoticeLevel::Info, "keys", ownGrantRead ? "ready" : "ready without a grant, the log is down");
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

std::size_t Dispatcher::jobBytes() const
{
    return m_state->jobMemory.usedBytes();
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
