// Virtual-time simulation of entry VMs (schedulers of the core), their slot messages and a pool of backend servers.
//
// Contents
//   Workload     backend servers, arrivals and faults of one case; the same for every policy
//   Result       what was measured
//   CentralQueue the ideal: one queue over the pool, no latency, the fastest free slot first
//   Simulation   schedulers with slot policy P on the workload
#pragma once

#include "core/basic_scheduler.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>

namespace clementinelift::bench {

using namespace core;

// Workload ------------------------------------------------------------------------------------------

struct SimBackend
{
    BackendInfo info;
    double factor = 1; // service time over the task's size
    std::uint32_t rack = 0;
};

// A period in which backend servers misbehave.
struct Fault
{
    std::vector<std::uint32_t> backends;
    std::int64_t fromUs = 0;
    std::int64_t toUs = 0;
    double slowdown = 1;    // of tasks that start in the period
    double failShare = 0;   // of tasks that run in the period
    double failAfter = 0.2; // share of the service time after which they fail
    bool feed = false;      // a feed dip: tasks in progress at its begin are hit as well, health checks fail
};

struct SimTask
{
    double sizeUs = 0; // service time on a backend server of factor 1
    std::uint32_t declaredMs = 0;
    double luck = 0;    // 0..1, decides whether it fails during a fault
    double stretch = 1; // of a straggler: service time over the usual one
};

struct SimJob
{
    std::int64_t atUs = 0;
    std::uint32_t node = 0;
    std::uint32_t organisation = 0;
    std::uint32_t templateId = 0;
    std::int64_t cancelUs = 0; // 0: never
    std::vector<SimTask> tasks;
};

struct Workload
{
    std::string name;
    std::uint64_t seed = 1;
    std::vector<NodeInfo> nodes;
    std::vector<SimBackend> backends;
    std::vector<std::pair<std::string, ParsedEntry>> entries; // configuration
    std::vector<SimJob> jobs;                                 // ascending by time
    std::vector<Fault> faults;
    std::int64_t warmupUs = 0; // arrivals before are not measured
    std::int64_t endUs = 0;    // arrivals end
    double capacity = 0;       // size (us) served per us by the healthy pool
};

constexpr std::int64_t sameZoneUs = 250;   // one way
constexpr std::int64_t otherZoneUs = 1000; // one way

// Result --------------------------------------------------------------------------------------------

struct Result
{
    std::vector<double> ratios;                            // response time over size, completed tasks after warm-up
    std::array<std::vector<double>, 2> organisationRatios; // the same of organisations 0 and 1
    std::map<std::string, std::uint64_t> refusals;         // tasks by reason
    std::map<std::string, std::uint64_t> wastedByKind;     // messages
    std::vector<double> offeredWork;                       // size of arrivals by second
    std::vector<double> doneWork;                          // size of completed tasks by second of completion
    std::vector<double> doneElsewhere;                     // the same on backend servers that no fault ever hits
    std::vector<std::uint64_t> attempts;                   // by second
    std::vector<std::uint64_t> firstAttempts;              // by second
    std::uint64_t tasks = 0;                               // offered after warm-up
    std::uint64_t completed = 0;
    std::uint64_t failed = 0; // tasks of jobs that failed after they were accepted
    std::uint64_t messages = 0;
    std::uint64_t wasted = 0;
    std::uint64_t retries = 0;
    std::uint64_t borrowed = 0;
    double busyUs = 0; // slot time in use after warm-up
};

inline double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size()))) - 1;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

inline void addTo(std::vector<double> &seconds, std::int64_t atUs, double value)
{
    const auto second = static_cast<std::size_t>(atUs / usPerS);
    if (second >= seconds.size())
        seconds.resize(second + 1);
    seconds[second] += value;
}

inline void countIn(std::vector<std::uint64_t> &seconds, std::int64_t atUs)
{
    const auto second = static_cast<std::size_t>(atUs / usPerS);
    if (second >= seconds.size())
        seconds.resize(second + 1);
    ++seconds[second];
}

// CentralQueue --------------------------------------------------------------------------------------

// Serves tasks in the order of arrival on the fastest free slot; avoids backend servers during their faults.
inline Result runCentralQueue(const Workload &work)
{
    struct End
    {
        std::int64_t atUs;
        std::uint32_t backend;
        bool operator<(const End &other) const
        {
            return std::pair(atUs, backend) > std::pair(other.atUs, other.backend);
        }
    };
    struct Waiting
    {
        const SimJob *job;
        const SimTask *task;
    };
    Result result;
    std::vector<std::uint32_t> order(work.backends.size());
    for (std::uint32_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::sort(order.begin(), order.end(), [&](auto a, auto b) {
        return std::pair(work.backends[a].factor, a) < std::pair(work.backends[b].factor, b);
    });
    std::vector<std::uint32_t> used(work.backends.size());
    std::priority_queue<End> ends;
    std::deque<Waiting> queue;
    for (const Fault &fault : work.faults)
        ends.push({fault.toUs, UINT32_MAX});
    const auto isFaulty = [&](std::uint32_t backend, std::int64_t nowUs) {
        return std::any_of(work.faults.begin(), work.faults.end(), [&](const Fault &fault) {
            return nowUs >= fault.fromUs && nowUs < fault.toUs
                    && std::find(fault.backends.begin(), fault.backends.end(), backend) != fault.backends.end();
        });
    };
    const auto serve = [&](std::int64_t nowUs) {
        for (const std::uint32_t backend : order)
            while (!queue.empty() && used[backend] < work.backends[backend].info.slots && !isFaulty(backend, nowUs)) {
                const Waiting next = queue.front();
                queue.pop_front();
                ++used[backend];
                const double serviceUs = next.task->sizeUs * next.task->stretch * work.backends[backend].factor;
                const std::int64_t endUs = nowUs + static_cast<std::int64_t>(serviceUs);
                ends.push({endUs, backend});
                addTo(result.doneWork, endUs, next.task->sizeUs);
                if (next.job->atUs >= work.warmupUs) {
                    const double ratio = static_cast<double>(endUs - next.job->atUs) / next.task->sizeUs;
                    result.ratios.push_back(ratio);
                    result.organisationRatios[next.job->organisation].push_back(ratio);
                    ++result.completed;
                    result.busyUs += serviceUs;
                }
            }
    };
    const auto endUntil = [&](std::int64_t untilUs) {
        while (!ends.empty() && ends.top().atUs <= untilUs) {
            const End end = ends.top();
            ends.pop();
            if (end.backend != UINT32_MAX)
                --used[end.backend];
            serve(end.atUs);
        }
    };
    for (const SimJob &job : work.jobs) {
        endUntil(job.atUs);
        for (const SimTask &task : job.tasks) {
            addTo(result.offeredWork, job.atUs, task.sizeUs);
            result.tasks += job.atUs >= work.warmupUs ? 1 : 0;
            queue.push_back({&job, &task});
        }
        serve(job.atUs);
    }
    endUntil(INT64_MAX);
    return result;
}

// Simulation ----------------------------------------------------------------------------------------

template <SlotPolicy P> class Simulation
{
public:
    explicit Simulation(const Workload &work)
        : m_work(work), m_configuration(parseEntry), m_used(work.backends.size()), m_jobs(work.jobs.size()),
          m_random(work.seed)
    {
        entries() = &work.entries;
        ChangeRecord change{.changeId = "bench", .author = "bench", .entries = {}};
        for (std::size_t i = 0; i < work.entries.size(); ++i)
            change.entries.push_back({work.entries[i].first, 0, std::to_string(i)});
        m_configuration.apply(LogRecord{0, 0, change});
        m_configuration.markLoaded();
        std::vector<BackendInfo> infos;
        for (const SimBackend &backend : work.backends)
            infos.push_back(backend.info);
        m_settings.reserve(work.nodes.size());
        for (std::size_t i = 0; i < work.nodes.size(); ++i) {
            CoreSettings settings;
            settings.self = work.nodes[i];
            settings.seed = work.seed * 1000 + i;
            settings.parseEntry = parseEntry;
            settings.maxQueuedTasks = 20000;
            m_settings.push_back(settings);
        }
        for (std::size_t i = 0; i < work.nodes.size(); ++i) {
            m_schedulers.push_back(std::make_unique<BasicScheduler<P>>(m_settings[i], m_configuration));
            std::vector<NodeInfo> inZone;
            std::copy_if(work.nodes.begin(), work.nodes.end(), std::back_inserter(inZone),
                         [&](const NodeInfo &node) { return node.zone == work.nodes[i].zone; });
            m_schedulers[i]->setPeers(inZone, work.nodes, Now{});
            m_schedulers[i]->setBackends(infos, Now{});
            m_timers.push_back(INT64_MAX);
        }
        m_hit.resize(work.backends.size());
        for (const Fault &fault : work.faults)
            for (const std::uint32_t backend : fault.backends)
                m_hit[backend] = true;
    }

    Result run()
    {
        for (std::uint32_t i = 0; i < m_work.jobs.size(); ++i) {
            push(m_work.jobs[i].atUs, Kind::Arrival, i);
            if (m_work.jobs[i].cancelUs > 0)
                push(m_work.jobs[i].cancelUs, Kind::Cancel, i);
        }
        for (std::uint32_t i = 0; i < m_work.faults.size(); ++i)
            if (m_work.faults[i].feed)
                push(m_work.faults[i].fromUs, Kind::Dip, i);
        for (std::uint32_t i = 0; i < m_schedulers.size(); ++i)
            decide(i);
        // The tail serves what has been accepted; it is bounded by the deadlines of the jobs.
        const std::int64_t stopUs = m_work.endUs + 30 * usPerS;
        while (!m_events.empty() && m_events.top().atUs <= stopUs) {
            const Event event = m_events.top();
            m_events.pop();
            m_nowUs = event.atUs;
            handle(event);
        }
        // Requests that were held until they expired have neither a grant nor a refusal.
        m_result.wasted += m_openRequests;
        m_result.wastedByKind["expired request"] += m_openRequests;
        return std::move(m_result);
    }

    const BasicScheduler<P> &scheduler(std::size_t node) const { return *m_schedulers[node]; }

private:
    enum class Kind : std::uint8_t { Arrival, Cancel, Dip, AtBackend, Finish, Ended, Message, Probed, Timer, Stop };
    struct Event
    {
        std::int64_t atUs = 0;
        std::uint64_t sequence = 0;
        Kind kind{};
        std::uint32_t a = 0; // job, node, attempt or message
        std::uint32_t b = 0;
        std::uint32_t c = 0;
        bool operator<(const Event &other) const
        {
            return std::pair(atUs, sequence) > std::pair(other.atUs, other.sequence);
        }
    };
    struct Attempt
    {
        TaskRef task;
        std::uint32_t node = 0;
        std::uint32_t backend = 0;
        AttemptOutcome outcome = AttemptOutcome::Completed;
        std::uint32_t serviceUs = 0;
        std::int64_t startUs = -1; // at the backend server, -1: not started
        bool running = false;
        bool ended = false; // reported to the scheduler
    };
    struct Job
    {
        bool accepted = false;
        bool over = false; // answered
        std::uint32_t done = 0;
        std::vector<std::uint32_t> live; // attempts in progress
    };
    struct Message
    {
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        PeerMessage body;
    };

    // The parser of configuration entries: the text is an index into the entries of the workload.
    static const std::vector<std::pair<std::string, ParsedEntry>> *&entries()
    {
        static thread_local const std::vector<std::pair<std::string, ParsedEntry>> *table = nullptr;
        return table;
    }
    static tl::expected<ParsedEntry, Findings> parseEntry(std::string_view, std::string_view text)
    {
        return (*entries())[std::stoul(std::string(text))].second;
    }

    void push(std::int64_t atUs, Kind kind, std::uint32_t a, std::uint32_t b = 0, std::uint32_t c = 0)
    {
        m_events.push(Event{atUs, m_sequence++, kind, a, b, c});
    }

    Now now() const { return Now{m_nowUs, 1700000000000 + m_nowUs / usPerMs}; }
    bool measured() const { return m_nowUs >= m_work.warmupUs; }

    void countMessage(std::string_view wastedKind = {}, std::uint64_t wasted = 0)
    {
        if (!measured())
            return;
        if (wastedKind.empty()) {
            ++m_result.messages;
        } else {
            m_result.wasted += wasted;
            m_result.wastedByKind[std::string(wastedKind)] += wasted;
        }
    }

    const Fault *faultAt(std::uint32_t backend, std::int64_t atUs) const
    {
        if (!m_hit[backend])
            return nullptr;
        for (const Fault &fault : m_work.faults)
            if (atUs >= fault.fromUs && atUs < fault.toUs
                && std::find(fault.backends.begin(), fault.backends.end(), backend) != fault.backends.end())
                return &fault;
        return nullptr;
    }

    std::int64_t latency(std::string_view zoneA, std::string_view zoneB) const
    {
        return zoneA == zoneB ? sameZoneUs : otherZoneUs;
    }

    std::int64_t toBackend(const Attempt &attempt) const
    {
        return latency(m_work.nodes[attempt.node].zone, m_work.backends[attempt.backend].info.zone);
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Kind::Arrival:
            arrive(event.a);
            break;
        case Kind::Cancel:
            cancel(event.a);
            break;
        case Kind::Dip:
            dip(m_work.faults[event.a]);
            break;
        case Kind::AtBackend:
            reachBackend(event.a);
            break;
        case Kind::Finish:
            finish(event.a, event.b);
            break;
        case Kind::Ended:
            reportEnd(event.a);
            break;
        case Kind::Message:
            deliver(m_messages[event.a]);
            break;
        case Kind::Probed:
            m_schedulers[event.a]->onBackendProbed(BackendId(event.b), event.c != 0, now());
            decide(event.a);
            break;
        case Kind::Timer:
            if (m_timers[event.a] == m_nowUs) {
                m_timers[event.a] = INT64_MAX;
                decide(event.a);
            }
            break;
        case Kind::Stop:
            stop(event.a);
            break;
        }
    }

    void arrive(std::uint32_t index)
    {
        const SimJob &job = m_work.jobs[index];
        std::vector<TaskRequest> tasks(job.tasks.size());
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            tasks[i].runMs = job.tasks[i].declaredMs;
            addTo(m_result.offeredWork, m_nowUs, job.tasks[i].sizeUs);
        }
        m_result.tasks += measured() ? tasks.size() : 0;
        const auto &parameters = m_configuration.parameters(TemplateId(job.templateId));
        const JobDescription ticket{JobId(index), OrganisationId(job.organisation), TemplateId(job.templateId),
                                    m_nowUs + parameters.deadlineMs * usPerMs, tasks};
        auto &scheduler = *m_schedulers[job.node];
        const Reason reason = scheduler.admit(ticket, now());
        if (reason == Reason::None) {
            m_jobs[index].accepted = true;
            scheduler.enqueue(ticket, now());
        } else {
            m_jobs[index].over = true;
            m_result.refusals[std::string(toString(reason))] += measured() ? tasks.size() : 0;
        }
        decide(job.node);
    }

    void cancel(std::uint32_t index)
    {
        if (m_jobs[index].over)
            return;
        endJob(index);
        decide(m_work.jobs[index].node);
    }

    // The job is answered: queued tasks are dropped, attempts in progress are stopped.
    void endJob(std::uint32_t index)
    {
        auto &job = m_jobs[index];
        job.over = true;
        m_schedulers[m_work.jobs[index].node]->cancelQueued(JobId(index), now());
        for (const std::uint32_t attempt : job.live) {
            m_schedulers[m_attempts[attempt].node]->markStopped(m_attempts[attempt].task);
            countMessage();
            countMessage("stop", 1);
            push(m_nowUs + toBackend(m_attempts[attempt]), Kind::Stop, attempt);
        }
    }

    void failJob(std::uint32_t index)
    {
        if (m_jobs[index].over)
            return;
        m_result.failed += measured() ? m_work.jobs[index].tasks.size() : 0;
        endJob(index);
    }

    void decide(std::uint32_t node)
    {
        m_decisions.clear();
        m_schedulers[node]->decide(now(), m_decisions);
        auto decisions = std::move(m_decisions);
        for (const auto &start : decisions.starts)
            startAttempt(node, start);
        for (auto &message : decisions.messages)
            sendMessage(node, std::move(message));
        for (const auto &probe : decisions.probes) {
            countMessage();
            countMessage("probe", 1);
            const std::uint32_t backend = raw(probe.backend);
            const auto way = latency(m_work.nodes[node].zone, m_work.backends[backend].info.zone);
            const Fault *fault = faultAt(backend, m_nowUs + way);
            push(m_nowUs + 2 * way, Kind::Probed, node, backend, fault != nullptr && fault->feed ? 0 : 1);
        }
        for (const auto &drop : decisions.drops)
            failJob(static_cast<std::uint32_t>(raw(drop.task.job)));
        m_decisions = std::move(decisions);
        const std::int64_t next = std::max(m_nowUs + 1, m_schedulers[node]->nextTimerUs());
        if (next < m_timers[node]) {
            m_timers[node] = next;
            push(next, Kind::Timer, node);
        }
    }

    void startAttempt(std::uint32_t node, const StartDecision &start)
    {
        const auto index = static_cast<std::uint32_t>(m_attempts.size());
        m_attempts.push_back(Attempt{start.task, node, raw(start.backend)});
        auto &job = m_jobs[raw(start.task.job)];
        assert(!job.over);
        job.live.push_back(index);
        countMessage();
        countIn(m_result.attempts, m_nowUs);
        if (m_started.insert(start.task).second)
            countIn(m_result.firstAttempts, m_nowUs);
        else
            m_result.retries += measured() ? 1 : 0;
        push(m_nowUs + toBackend(m_attempts.back()), Kind::AtBackend, index);
    }

    void reachBackend(std::uint32_t index)
    {
        auto &attempt = m_attempts[index];
        auto &used = m_used[attempt.backend];
        if (used >= m_work.backends[attempt.backend].info.slots) {
            attempt.outcome = AttemptOutcome::Busy;
            push(m_nowUs + toBackend(attempt), Kind::Ended, index);
            return;
        }
        ++used;
        attempt.running = true;
        attempt.startUs = m_nowUs;
        const SimTask &task = m_work.jobs[raw(attempt.task.job)].tasks[attempt.task.index];
        double serviceUs = task.sizeUs * task.stretch * m_work.backends[attempt.backend].factor;
        if (const Fault *fault = faultAt(attempt.backend, m_nowUs)) {
            const bool fails = luck(attempt) < fault->failShare;
            attempt.outcome = fails ? AttemptOutcome::Failed : AttemptOutcome::Completed;
            serviceUs *= fails ? fault->failAfter : fault->slowdown;
        }
        attempt.serviceUs = static_cast<std::uint32_t>(serviceUs);
        endAtLease(attempt);
        push(m_nowUs + attempt.serviceUs, Kind::Finish, index, 0);
    }

    // The backend server stops a task whose lease, the deadline of its job, is over.
    void endAtLease(Attempt &attempt) const
    {
        const SimJob &job = m_work.jobs[raw(attempt.task.job)];
        const std::int64_t deadlineMs = m_configuration.parameters(TemplateId(job.templateId)).deadlineMs;
        const std::int64_t leaseEndUs = job.atUs + deadlineMs * usPerMs;
        if (attempt.startUs + attempt.serviceUs <= leaseEndUs)
            return;
        attempt.outcome = AttemptOutcome::Failed;
        attempt.serviceUs = static_cast<std::uint32_t>(std::max<std::int64_t>(0, leaseEndUs - attempt.startUs));
    }

    // Decides whether an attempt fails, the same for every policy that makes the same attempt.
    double luck(const Attempt &attempt) const
    {
        const SimTask &task = m_work.jobs[raw(attempt.task.job)].tasks[attempt.task.index];
        return std::fmod(task.luck + 0.618033988749895 * (attempt.backend + 1), 1.0);
    }

    // Tasks in progress at the begin of a feed dip fail or become slow.
    void dip(const Fault &fault)
    {
        for (std::uint32_t i = 0; i < m_attempts.size(); ++i) {
            auto &attempt = m_attempts[i];
            if (!attempt.running
                || std::find(fault.backends.begin(), fault.backends.end(), attempt.backend) == fault.backends.end())
                continue;
            const double doneUs = static_cast<double>(m_nowUs - attempt.startUs);
            const double leftUs = std::max(0.0, attempt.serviceUs - doneUs);
            const bool fails = luck(attempt) < fault.failShare;
            attempt.outcome = fails ? AttemptOutcome::Failed : AttemptOutcome::Completed;
            attempt.serviceUs =
                    static_cast<std::uint32_t>(doneUs + leftUs * (fails ? fault.failAfter : fault.slowdown));
            endAtLease(attempt);
            push(std::max(m_nowUs, attempt.startUs + attempt.serviceUs), Kind::Finish, i, ++m_versions[i]);
        }
    }

    void finish(std::uint32_t index, std::uint32_t version)
    {
        auto &attempt = m_attempts[index];
        const auto current = m_versions.find(index);
        if (!attempt.running || (current != m_versions.end() && current->second != version))
            return;
        attempt.running = false;
        --m_used[attempt.backend];
        if (measured())
            m_result.busyUs += attempt.serviceUs;
        push(m_nowUs + toBackend(attempt), Kind::Ended, index);
    }

    void stop(std::uint32_t index)
    {
        auto &attempt = m_attempts[index];
        if (!attempt.running)
            return;
        attempt.outcome = AttemptOutcome::Failed;
        attempt.serviceUs = static_cast<std::uint32_t>(m_nowUs - attempt.startUs);
        const auto current = m_versions.find(index);
        finish(index, current == m_versions.end() ? 0 : current->second);
    }

    void reportEnd(std::uint32_t index)
    {
        auto &attempt = m_attempts[index];
        const auto jobIndex = static_cast<std::uint32_t>(raw(attempt.task.job));
        const SimJob &spec = m_work.jobs[jobIndex];
        auto &job = m_jobs[jobIndex];
        std::erase(job.live, index);
        attempt.ended = true;
        if (attempt.outcome != AttemptOutcome::Completed)
            countMessage(attempt.outcome == AttemptOutcome::Busy ? "busy" : "failed", 1);
        const bool repeatable = m_configuration.parameters(TemplateId(spec.templateId)).repeat == Repeat::Allowed;
        const NextStep next = m_schedulers[attempt.node]->onAttemptEnded(attempt.task, attempt.outcome,
                                                                         attempt.serviceUs, repeatable, now());
        if (next == NextStep::Fail)
            failJob(jobIndex);
        if (next == NextStep::Done && !job.over) {
            const SimTask &task = spec.tasks[attempt.task.index];
            addTo(m_result.doneWork, m_nowUs, task.sizeUs);
            if (!m_hit[attempt.backend])
                addTo(m_result.doneElsewhere, m_nowUs, task.sizeUs);
            if (spec.atUs >= m_work.warmupUs) {
                const double ratio = static_cast<double>(m_nowUs - spec.atUs) / task.sizeUs;
                m_result.ratios.push_back(ratio);
                m_result.organisationRatios[spec.organisation].push_back(ratio);
                ++m_result.completed;
            }
            job.over = ++job.done == spec.tasks.size();
        }
        decide(attempt.node);
    }

    void sendMessage(std::uint32_t from, SlotMessageDecision &&message)
    {
        const auto to =
                static_cast<std::uint32_t>(std::find_if(m_work.nodes.begin(), m_work.nodes.end(),
                                                        [&](const NodeInfo &node) { return node.name == message.node; })
                                           - m_work.nodes.begin());
        if (!std::holds_alternative<Report>(message.message))
            countMessage();
        if (std::holds_alternative<SlotRefuse>(message.message))
            countMessage("refused slot", 2); // the request and the refusal
        if (const auto *returned = std::get_if<SlotReturn>(&message.message)) {
            if (!returned->used)
                countMessage("unused grant", 3); // the request, the grant and the return
            else
                m_result.borrowed += measured() ? 1 : 0;
        }
        if (std::holds_alternative<SlotRequest>(message.message) && measured())
            ++m_openRequests;
        if ((std::holds_alternative<SlotRefuse>(message.message) || std::holds_alternative<SlotGrant>(message.message))
            && measured() && m_openRequests > 0)
            --m_openRequests;
        m_messages.push_back(Message{from, to, std::move(message.message)});
        push(m_nowUs + latency(m_work.nodes[from].zone, m_work.nodes[to].zone), Kind::Message,
             static_cast<std::uint32_t>(m_messages.size() - 1));
    }

    void deliver(Message &message)
    {
        auto &scheduler = *m_schedulers[message.to];
        const std::string &from = m_work.nodes[message.from].name;
        std::visit(
                [&](const auto &body) {
                    using Body = std::decay_t<decltype(body)>;
                    if constexpr (
                            std::is_same_v<
                                    Body,
                                    SlotRequest> || std::is_same_v<Body, SlotGrant> || std::is_same_v<Body, SlotRefuse> || std::is_same_v<Body, SlotReturn> || std::is_same_v<Body, Report>)
                        scheduler.onPeerMessage(from, body, now());
                },
                message.body);
        message.body = Probe{}; // frees the memory
        decide(message.to);
    }

    const Workload &m_work;
    Configuration m_configuration;
    std::vector<CoreSettings> m_settings;
    std::vector<std::unique_ptr<BasicScheduler<P>>> m_schedulers;
    std::vector<std::int64_t> m_timers; // by node, time of the next timer event
    std::vector<std::uint32_t> m_used;  // slots in use by backend server
    std::vector<bool> m_hit;            // by backend server: some fault hits it
    std::vector<Job> m_jobs;
    std::vector<Attempt> m_attempts;
    std::map<std::uint32_t, std::uint32_t> m_versions; // of rescheduled ends
    std::vector<Message> m_messages;
    absl::flat_hash_set<TaskRef> m_started;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    std::int64_t m_nowUs = 0;
    Decisions m_decisions;
    std::uint64_t m_openRequests = 0; // slot requests without an answer
    Result m_result;
    std::mt19937_64 m_random;
};

} // namespace clementinelift::bench
