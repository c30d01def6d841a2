#include "standins/backend_pool.h"

#include <algorithm>
#include <limits>

namespace clementinelift::standins {

namespace {

constexpr std::int64_t noEndUs = std::numeric_limits<std::int64_t>::max();

std::int64_t scaled(std::int64_t us, double factor)
{
    return static_cast<std::int64_t>(static_cast<double>(us) * factor);
}

} // namespace

// BackendPool ---------------------------------------------------------------------------------------

BackendPool::BackendPool(std::vector<BackendSpec> specs, const StragglerOptions &stragglers, std::uint64_t seed)
    : m_stragglers(stragglers), m_random(seed)
{
    m_backends.resize(specs.size());
    for (std::size_t i = 0; i < specs.size(); ++i)
        m_backends[i].spec = std::move(specs[i]);
}

std::optional<std::size_t> BackendPool::find(std::string_view name) const
{
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        if (m_backends[i].spec.name == name)
            return i;
    }
    return std::nullopt;
}

StartStatus BackendPool::start(std::size_t index, std::string_view attempt, std::string_view payload,
                               std::int64_t leaseUs, std::int64_t nowUs)
{
    endExpiredFeedFaults(nowUs);
    Backend &backend = m_backends[index];
    if (backend.mode == BackendMode::Crashed)
        return StartStatus::Crashed;
    if (backend.mode == BackendMode::Busy || backend.running.size() >= backend.spec.slots) {
        ++backend.counts.busy;
        return StartStatus::Busy;
    }
    Running task;
    task.identity = parsePayload(payload);
    if (task.identity)
        m_audit.recordStart(*task.identity, attempt);
    ++backend.counts.starts;
    if (backend.listedLeavingUs && nowUs > *backend.listedLeavingUs + leavingGraceUs)
        ++backend.counts.lateStarts;
    if (backend.running.contains(attempt))
        return StartStatus::AttemptReused;

    std::int64_t runUs = scaled(task.identity ? task.identity->runUs : TaskIdentity{}.runUs, 1 / backend.spec.speed);
    if (draw(m_stragglers.probability))
        runUs = scaled(runUs, m_stragglers.slowdown);
    task.fails = task.identity && task.identity->fails;
    if (backend.feedFaultActive) {
        runUs = scaled(runUs, backend.feedFault.slowdown);
        task.fails = task.fails || draw(backend.feedFault.failProbability);
    }
    if (backend.mode == BackendMode::FailEverything) {
        runUs = failureUs;
        task.fails = true;
    }
    task.startUs = nowUs;
    task.endUs = nowUs + runUs;
    task.leaseEndUs = nowUs + leaseUs;
    backend.running.emplace(attempt, std::move(task));
    backend.counts.mostRunning =
            std::max(backend.counts.mostRunning, static_cast<std::uint32_t>(backend.running.size()));
    return StartStatus::Started;
}

AttemptStatus BackendPool::query(std::size_t index, std::string_view attempt)
{
    Backend &backend = m_backends[index];
    ++backend.counts.queries;
    if (backend.running.contains(attempt))
        return {"running", {}};
    const auto found = backend.ended.find(attempt);
    if (found == backend.ended.end())
        return {"unknown", {}};
    return {found->second.state == EndState::Completed ? "completed" : "failed", found->second.result};
}

bool BackendPool::stop(std::size_t index, std::string_view attempt, std::int64_t nowUs)
{
    Backend &backend = m_backends[index];
    ++backend.counts.stops;
    const auto found = backend.running.find(attempt);
    if (found == backend.running.end())
        return false;
    found->second.stopped = true;
    found->second.fails = true;
    found->second.endUs = nowUs;
    return true;
}

std::optional<bool> BackendPool::probe(std::size_t index)
{
    Backend &backend = m_backends[index];
    if (backend.mode == BackendMode::Crashed)
        return std::nullopt;
    ++backend.counts.probes;
    return backend.mode == BackendMode::Normal || backend.mode == BackendMode::Busy;
}

std::vector<EndedTask> BackendPool::advance(std::int64_t nowUs)
{
    endExpiredFeedFaults(nowUs);
    std::vector<EndedTask> ended = std::move(m_lostTasks);
    m_lostTasks.clear();
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        Backend &backend = m_backends[i];
        for (auto it = backend.running.begin(); it != backend.running.end();) {
            if (std::min(it->second.endUs, it->second.leaseEndUs) > nowUs) {
                ++it;
                continue;
            }
            ended.push_back(finish(i, it->first, it->second, nowUs));
            rememberEnded(backend, ended.back());
            it = backend.running.erase(it);
        }
    }
    return ended;
}

std::int64_t BackendPool::nextEndUs() const
{
    if (!m_lostTasks.empty())
        return 0;
    std::int64_t next = noEndUs;
    for (const Backend &backend : m_backends) {
        for (const auto &[attempt, task] : backend.running)
            next = std::min({next, task.endUs, task.leaseEndUs});
        if (backend.feedFaultActive)
            next = std::min(next, backend.feedFault.untilUs);
    }
    return next;
}

void BackendPool::changeMode(std::size_t index, BackendMode mode, std::int64_t nowUs)
{
    Backend &backend = m_backends[index];
    backend.mode = mode;
    if (mode == BackendMode::FailEverything) {
        for (auto &[attempt, task] : backend.running) {
            task.fails = true;
            task.endUs = std::min(task.endUs, nowUs + failureUs);
        }
    }
    if (mode != BackendMode::Crashed)
        return;
    for (const auto &[attempt, task] : backend.running) {
        if (task.identity)
            m_audit.recordEnd(*task.identity, attempt);
        ++backend.counts.lost;
        m_lostTasks.push_back({index, attempt, EndState::Lost, {}, nowUs - task.startUs});
    }
    backend.running.clear();
    backend.ended.clear();
    backend.endedOrder.clear();
}

std::size_t BackendPool::setFeedFault(std::string_view feed, const FeedFault &feedFault, std::int64_t nowUs)
{
    std::size_t changed = 0;
    for (Backend &backend : m_backends) {
        if (!feed.empty() && backend.spec.feed != feed)
            continue;
        if (backend.feedFaultActive)
            applyFeedFault(backend, backend.feedFault, false, nowUs);
        if (feedFault.untilUs > nowUs)
            applyFeedFault(backend, feedFault, true, nowUs);
        ++changed;
    }
    return changed;
}

void BackendPool::markListedAsLeaving(std::size_t backend, std::int64_t nowUs)
{
    if (!m_backends[backend].listedLeavingUs)
        m_backends[backend].listedLeavingUs = nowUs;
}

BackendCounts BackendPool::totals() const
{
    BackendCounts sum;
    for (const Backend &backend : m_backends) {
        const BackendCounts &counts = backend.counts;
        sum.starts += counts.starts;
        sum.completed += counts.completed;
        sum.failed += counts.failed;
        sum.lost += counts.lost;
        sum.busy += counts.busy;
        sum.stops += counts.stops;
        sum.queries += counts.queries;
        sum.probes += counts.probes;
        sum.leaseEnds += counts.leaseEnds;
        sum.lateStarts += counts.lateStarts;
        sum.mostRunning = std::max(sum.mostRunning, counts.mostRunning);
    }
    return sum;
}

std::size_t BackendPool::running() const
{
    std::size_t sum = 0;
    for (const Backend &backend : m_backends)
        sum += backend.running.size();
    return sum;
}

std::uint64_t BackendPool::totalSlots() const
{
    std::uint64_t sum = 0;
    for (const Backend &backend : m_backends)
        sum += backend.spec.slots;
    return sum;
}

void BackendPool::applyFeedFault(Backend &backend, const FeedFault &feedFault, bool begins, std::int64_t nowUs)
{
    backend.feedFault = feedFault;
    backend.feedFaultActive = begins;
    const double factor = begins ? feedFault.slowdown : 1 / feedFault.slowdown;
    for (auto &[attempt, task] : backend.running) {
        if (task.endUs > nowUs)
            task.endUs = nowUs + scaled(task.endUs - nowUs, factor);
        if (begins && draw(feedFault.failProbability)) {
            task.fails = true;
            task.endUs = std::min(task.endUs, nowUs + failureUs);
        }
    }
}

void BackendPool::endExpiredFeedFaults(std::int64_t nowUs)
{
    for (Backend &backend : m_backends) {
        if (backend.feedFaultActive && backend.feedFault.untilUs <= nowUs)
            applyFeedFault(backend, backend.feedFault, false, nowUs);
    }
}

EndedTask BackendPool::finish(std::size_t index, const std::string &attempt, const Running &task, std::int64_t nowUs)
{
    Backend &backend = m_backends[index];
    if (task.identity)
        m_audit.recordEnd(*task.identity, attempt);
    EndedTask ended{index, attempt, EndState::Completed, {}, nowUs - task.startUs};
    if (!task.fails && task.endUs <= nowUs) {
        ended.result = task.identity ? resultOf(task.identity->job, task.identity->task) : "done";
        ++backend.counts.completed;
        return ended;
    }
    ended.state = EndState::Failed;
    const bool leaseEnded = task.endUs > nowUs;
    ended.result = task.stopped ? "stopped" : leaseEnded ? "lease ended" : "task failed";
    backend.counts.leaseEnds += leaseEnded ? 1 : 0;
    ++backend.counts.failed;
    return ended;
}

void BackendPool::rememberEnded(Backend &backend, const EndedTask &task)
{
    backend.ended.insert_or_assign(task.attempt, task);
    backend.endedOrder.push_back(task.attempt);
    if (backend.endedOrder.size() > maxEndedAttempts) {
        backend.ended.erase(backend.endedOrder.front());
        backend.endedOrder.pop_front();
    }
}

// VmList --------------------------------------------------------------------------------------------

void VmList::put(const ListedVm &vm, std::int64_t nowUs)
{
    auto vms = m_versions.empty() ? decltype(Version::vms){} : m_versions.back().vms;
    vms.insert_or_assign(vm.name, vm);
    commit(std::move(vms), nowUs);
}

void VmList::markLeaving(std::string_view name, std::int64_t nowUs)
{
    if (m_versions.empty())
        return;
    auto vms = m_versions.back().vms;
    if (const auto found = vms.find(name); found != vms.end())
        found->second.leaving = true;
    commit(std::move(vms), nowUs);
}

void VmList::remove(std::string_view name, std::int64_t nowUs)
{
    if (m_versions.empty())
        return;
    auto vms = m_versions.back().vms;
    if (const auto found = vms.find(name); found != vms.end())
        vms.erase(found);
    commit(std::move(vms), nowUs);
}

std::vector<ListedVm> VmList::read(std::int64_t nowUs)
{
    m_wasRead = true;
    while (m_versions.size() > 1 && m_versions[1].visibleUs <= nowUs)
        m_versions.pop_front();
    std::vector<ListedVm> result;
    if (!m_versions.empty()) {
        for (const auto &[name, vm] : m_versions.front().vms)
            result.push_back(vm);
    }
    return result;
}

void VmList::commit(std::map<std::string, ListedVm, std::less<>> vms, std::int64_t nowUs)
{
    if (!m_wasRead)
        m_versions.clear();
    m_versions.push_back({m_wasRead ? nowUs + m_lagUs : 0, std::move(vms)});
}

} // namespace clementinelift::standins
