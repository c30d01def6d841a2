#include "core/scheduler.h"

#include "core/basic_scheduler.h"

namespace clementinelift::core {

struct Scheduler::State : BasicScheduler<ExpectedFinish>
{
    using BasicScheduler::BasicScheduler;
};

void Decisions::clear()
{
    starts.clear();
    drops.clear();
    messages.clear();
    probes.clear();
    notices.clear();
}

Scheduler::Scheduler(const CoreSettings &settings, const Configuration &configuration)
    : m_state(std::make_unique<State>(settings, configuration))
{}

Scheduler::~Scheduler() = default;

void Scheduler::setBackends(std::span<const BackendInfo> backends, Now now)
{
    m_state->setBackends(backends, now);
}

void Scheduler::setLeaving(std::string_view backend, Now now)
{
    m_state->setLeaving(backend, now);
}

void Scheduler::setPeers(std::span<const NodeInfo> liveInZone, std::span<const NodeInfo> live, Now now)
{
    m_state->setPeers(liveInZone, live, now);
}

void Scheduler::onConfiguration(Now now)
{
    m_state->onConfiguration(now);
}

Reason Scheduler::admit(const JobDescription &job, Now now)
{
    return m_state->admit(job, now);
}

void Scheduler::enqueue(const JobDescription &job, Now now)
{
    m_state->enqueue(job, now);
}

std::uint32_t Scheduler::cancelQueued(JobId job, Now now)
{
    return m_state->cancelQueued(job, now);
}

void Scheduler::markStopped(TaskRef task)
{
    m_state->markStopped(task);
}

NextStep Scheduler::onAttemptEnded(TaskRef task, AttemptOutcome outcome, std::uint32_t serviceUs, bool repeatable,
                                   Now now)
{
    return m_state->onAttemptEnded(task, outcome, serviceUs, repeatable, now);
}

void Scheduler::onBackendProbed(BackendId backend, bool healthy, Now now)
{
    m_state->onBackendProbed(backend, healthy, now);
}

void Scheduler::onPeerMessage(std::string_view node, const SlotRequest &message, Now now)
{
    m_state->onPeerMessage(node, message, now);
}

void Scheduler::onPeerMessage(std::string_view node, const SlotGrant &message, Now now)
{
    m_state->onPeerMessage(node, message, now);
}

void Scheduler::onPeerMessage(std::string_view node, const SlotRefuse &message, Now now)
{
    m_state->onPeerMessage(node, message, now);
}

void Scheduler::onPeerMessage(std::string_view node, const SlotReturn &message, Now now)
{
    m_state->onPeerMessage(node, message, now);
}

void Scheduler::onPeerMessage(std::string_view node, const Report &message, Now now)
{
    m_state->onPeerMessage(node, message, now);
}

void Scheduler::onPeerLost(std::string_view node, Now now)
{
    m_state->onPeerLost(node, now);
}

void Scheduler::decide(Now now, Decisions &decisions)
{
    m_state->decide(now, decisions);
}

std::int64_t Scheduler::nextTimerUs() const
{
    return m_state->nextTimerUs();
}

const BackendInfo &Scheduler::backend(BackendId id) const
{
    return m_state->backend(id);
}

std::optional<BackendId> Scheduler::findBackend(std::string_view name) const
{
    return m_state->findBackend(name);
}

bool Scheduler::isGone(BackendId id) const
{
    return m_state->isGone(id);
}

const SchedulerCounters &Scheduler::counters() const
{
    return m_state->counters();
}

std::size_t Scheduler::queuedTasks() const
{
    return m_state->queuedTasks();
}

std::vector<BackendStatus> Scheduler::status() const
{
    return m_state->status();
}

} // namespace clementinelift::core
