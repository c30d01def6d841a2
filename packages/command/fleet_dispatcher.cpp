#include "command/fleet_dispatcher.h"

#include "command/text.h"

#include <algorithm>
#include <utility>

namespace clementinelift::command {

namespace {

constexpr TimeUs tickUs = 20 * usPerMs;           // resolution of time limits; tasks take at least 50 ms
constexpr TimeUs idleTickUs = 75 * usPerMs;       // without jobs or runs here; half of the heartbeat interval
constexpr TimeUs forwardingTickUs = 50 * usPerMs; // bounds how long the disconnect of a caller is not noticed
constexpr TimeUs startUpUs = 3 * usPerS; // links, elections and shards follow each other; none waits for a tick
constexpr TimeUs pauseThresholdUs = 300 * usPerMs; // a longer gap between events means that the process was suspended
// A message that is handled after a longer gap between events counts as contact before the gap. Ticks come every 20 ms
// while there are runs, and slow VMs are suspended for less than this all the time.
constexpr TimeUs maxContactGapUs = 100 * usPerMs;
constexpr TimeUs resumeDelayUs = 100 * usPerMs;  // without starts after a pause, to detect lost callers and peers
constexpr TimeUs answerReserveUs = 15 * usPerMs; // for delivering the answer before the caller's timeout
// Shortest drain: the load balancer probes once a second, and two failed probes end its traffic.
constexpr TimeUs minDrainUs = 2500 * usPerMs;
constexpr TimeUs exitReserveUs = 900 * usPerMs; // at the end of a drain, to hand over shards and close links
// Drain of a commander with a successor: its backend servers are used by tasks that end within this time, and its
// shards are then handed over. About the longest run.
constexpr TimeUs handoverDelayUs = 1500 * usPerMs;
constexpr TimeUs handoverSlackUs = 400 * usPerMs; // for runs that take longer than expected; later ones are lost
// Drain of a commander without a successor: no starts in this time before the remaining jobs are given up.
constexpr TimeUs lastRunsUs = 100 * usPerMs;
constexpr TimeUs stopRunsUs = 100 * usPerMs;        // a stop of a run takes 50 ms
constexpr TimeUs notReadyRetryAfterUs = 1 * usPerS; // sent to callers before the configuration is known
constexpr TimeUs shrunkRetryAfterUs = 1 * usPerS;   // sent while the backend servers have shrunk below the task
constexpr TimeUs lapsedGraceUs = 2 * usPerS;        // entries that expired during a store outage return within this
constexpr std::size_t maxGoneCallers = 2000;        // as many requests as connections may wait in the queue
constexpr std::size_t idLength = 16;
// Reason of a request that does not fit the memory for jobs.
constexpr std::string_view noMemory = "no_memory";
// Books no capacity: a crowd of wide jobs would delay the callers that are refused for lack of it.
constexpr TimeUs noMemoryRetryAfterUs = 2 * usPerS;
constexpr double percent = 100;

bool isJobId(std::string_view text)
{
    return text.size() == idLength
            && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
}

} // namespace

FleetDispatcher::FleetDispatcher(const FleetSettings &settings)
    : m_settings(settings), m_commander({settings.zone, settings.maxLeaseUs, settings.maxStarts, settings.maxRuns}),
      m_jobMemory(settings.jobBytes)
{}

void FleetDispatcher::apply(TimeUs now, Event &&event, std::vector<Action> &actions)
{
    m_now = now;
    m_actions = &actions;
    if (m_lastEventAt != 0 && now - m_lastEventAt > pauseThresholdUs) {
        logLine(true, "process", concat("process resumed after a pause pause_ms=", (now - m_lastEventAt) / usPerMs));
        m_noStartsUntil = now + resumeDelayUs;
        m_evacuations.onPause(now, now - m_lastEventAt);
    }
    if (m_lastEventAt != 0 && now - m_lastEventAt > maxContactGapUs) {
        m_gapBegan = m_lastEventAt;
        m_gapEnded = now;
    }
    m_startedAt = m_startedAt == 0 ? now : m_startedAt;
    m_lastEventAt = now;
    updateMayStart();
    std::visit([this](auto &content) { on(content); }, event);
    deliverRunEnds();
    if (needsFrequentTicks())
        m_nextTick = std::min(m_nextTick, now + tickUs);
    else if (!m_forwarded.empty())
        m_nextTick = std::min(m_nextTick, now + forwardingTickUs);
}

// Messages that are handled right after a gap between events may have arrived at any time since its beginning.
TimeUs FleetDispatcher::contactTime() const
{
    return m_gapEnded != 0 && m_now - m_gapEnded < resumeDelayUs ? m_gapBegan : m_now;
}

// Forwarded requests have none here: their coordinator watches them.
bool FleetDispatcher::needsFrequentTicks() const
{
    const bool hasTimeLimits = !m_jobs.empty() || !m_queuedRequests.empty() || !m_endingRuns.empty()
            || m_commander.hasRuns() || m_drainingSince != never;
    const bool hasUnreportedCapacity = m_commander.capacityVersion() != m_seenCapacityVersion || m_reportsUnusable;
    const bool isStartingUp = m_now - m_startedAt < startUpUs && !isReady();
    return hasTimeLimits || hasUnreportedCapacity || isStartingUp;
}

// Separate from apply(), because a pass over waiting jobs and free capacity costs far more than an event: a commander
// under overload receives over a thousand events a second, each of which would need a pass.
void FleetDispatcher::placeTasks(TimeUs now, std::vector<Action> &actions)
{
    m_now = now;
    m_actions = &actions;
    dispatch();
    deliverRunEnds(); // starts that the commander rejected
}

bool FleetDispatcher::isReady() const
{
    if (m_drainingSince != never || !m_routes.isKnown())
        return false;
    if (!m_commands)
        return hasCoordinator();
    return m_serversKnown
            && ((m_commander.commandedCount() > 0 && m_evacuations.isKnown())
                || std::any_of(m_peers.begin(), m_peers.end(), [](const auto &entry) {
                       return !entry.second.lost && !entry.second.capacities.empty();
                   }));
}

// When the jobs that are still in progress are given up.
TimeUs FleetDispatcher::drainEnd() const
{
    return m_drainingSince == never ? never : m_drainingSince + m_settings.drainUs - exitReserveUs;
}

// When the runs on the backend servers that this entry VM commands must have ended.
TimeUs FleetDispatcher::runsEndBy() const
{
    return std::min(m_handoverAt, drainEnd());
}

// Hands the shards over to the other commanders of the zone. Without another one, or without the store, nobody could
// take them: then tasks are started until shortly before the exit.
void FleetDispatcher::handOverShards()
{
    if (m_drainingSince == never)
        return;
    const bool hasSuccessor = !m_storeUnavailable
            && std::any_of(m_peers.begin(), m_peers.end(),
                           [&](const auto &entry) { return isCoordinator(entry.second) && !entry.second.stopping; });
    if (!hasSuccessor && !m_startsEnded)
        m_handoverAt = never;
    else if (m_handoverAt == never)
        m_handoverAt = m_now + handoverDelayUs;
    if (!m_startsEnded && (m_now >= m_handoverAt || m_now >= drainEnd() - lastRunsUs)) {
        m_startsEnded = true;
        m_commander.disableStarts();
    }
    const bool isDue = m_startsEnded && (!m_commander.hasRuns() || m_now - handoverSlackUs >= m_handoverAt);
    if (!m_takesShards || !hasSuccessor || !isDue)
        return;
    m_takesShards = false;
    m_actions->push_back(TakeShards{false});
    logLine(false, "servers",
            concat("shards handed over drain_ms=", (m_now - m_drainingSince) / usPerMs,
                   " shards=", m_assignedShards.shards.size(), " has_runs=", m_commander.hasRuns() ? 1 : 0));
    m_assignedShards.shards.clear();
    m_commander.assignShards(m_now, m_assignedShards, *m_actions, m_ended);
}

// Once the process may exit, the remaining jobs are given up, as later answers could not be delivered.
void FleetDispatcher::endDrain()
{
    if (m_drainingSince == never)
        return;
    if (m_now >= drainEnd()) {
        while (!m_jobs.empty())
            giveUpJob(m_jobs.begin()->second, "stopping");
        for (const auto &[sequence, request] : m_forwarded) {
            m_actions->push_back(SendPeer{request.node, ForwardGone{sequence}});
            answer(request.caller, AnswerKind::GivenUp, "stopping");
        }
        while (!m_forwarded.empty())
            eraseForwarded(m_forwarded.begin()->first);
    }
    const bool isIdle = m_jobs.empty() && !m_commander.hasRuns() && m_forwarded.empty() && m_queuedRequests.empty();
    if (m_now >= drainEnd() + stopRunsUs || (isIdle && m_now - m_drainingSince >= minDrainUs))
        m_drained = true;
}

std::size_t FleetDispatcher::peerCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_peers.begin(), m_peers.end(), [](const auto &entry) { return !entry.second.lost; }));
}

void FleetDispatcher::logLine(bool warning, std::string_view part, std::string text)
{
    m_actions->push_back(LogLine{warning, part, std::move(text)});
}

// Configuration and backend servers -----------------------------------------------------------------

void FleetDispatcher::on(ConfigurationRead &event)
{
    const std::int64_t version = event.configuration.version;
    const std::size_t routes = event.configuration.routes.size();
    if (!m_routes.apply(std::move(event.configuration)))
        return;
    logLine(false, "config", concat("configuration applied version=", version, " routes=", routes));
    m_commander.setColdLimits(m_routes.configuration().services);
    m_dispatchNeeded = true;
}

void FleetDispatcher::on(ServerListed &event)
{
    m_lapsedServers.erase(event.entry.id);
    const ServerEntry *known = m_commander.findEntry(event.entry.id);
    // Backend servers renew their entries every 1.5 s; with 1,100 of them, 700 renewals a second arrive here.
    if (known != nullptr && *known == event.entry)
        return;
    if (known == nullptr || known->draining != event.entry.draining
        || known->incarnationStartMs != event.entry.incarnationStartMs)
        logLine(false, "servers",
                concat("backend server registered server=", event.entry.id, " zone=", event.entry.zone,
                       " rack=", event.entry.rack, " draining=", event.entry.draining ? 1 : 0,
                       " born_ms=", event.entry.incarnationStartMs));
    m_commander.addServer(m_now, event.entry, *m_actions, m_ended);
    m_dispatchNeeded = true;
}

void FleetDispatcher::on(ServerDelisted &event)
{
    const bool mayReturn = m_storeUnavailable || m_now - m_storeAvailableSince < lapsedGraceUs;
    logLine(false, "servers",
            concat("backend server removed from the registry server=", event.id,
                   " store_was_away=", mayReturn ? 1 : 0));
    if (mayReturn)
        m_lapsedServers[event.id] = m_now + lapsedGraceUs;
    else
        m_commander.removeServer(m_now, event.id, *m_actions, m_ended);
}

void FleetDispatcher::on(StoreState &event)
{
    if (event.available == !m_storeUnavailable)
        return;
    m_storeUnavailable = !event.available;
    if (!m_storeUnavailable)
        m_storeAvailableSince = m_now;
    logLine(m_storeUnavailable, "store", m_storeUnavailable ? "store does not answer" : "store answers again");
}

// Removes backend servers whose entries expired around a store outage and have not returned.
void FleetDispatcher::removeLapsedServers()
{
    for (auto it = m_lapsedServers.begin(); it != m_lapsedServers.end();) {
        if (m_now < it->second || m_storeUnavailable) {
            ++it;
            continue;
        }
        m_commander.removeServer(m_now, it->first, *m_actions, m_ended);
        it = m_lapsedServers.erase(it);
    }
}

void FleetDispatcher::on(ServersKnown &)
{
    if (!m_serversKnown)
        logLine(false, "servers", "list of backend servers is complete");
    m_serversKnown = true;
}

void FleetDispatcher::on(ShardsAssigned &event)
{
    logLine(false, "servers",
            concat("shards assigned shards=", event.shards.size(), " of=", event.shardCount, " token=", event.token));
    m_assignedShards = event;
    if (!m_commands)
        event.shards.clear(); // about to be handed over
    m_commander.assignShards(m_now, event, *m_actions, m_ended);
    m_dispatchNeeded = true;
}

void FleetDispatcher::on(StartResult &event)
{
    const bool wasFull = m_commander.isFull();
    m_commander.onStartResult(m_now, event, *m_actions, m_ended);
    const bool isSlowLink = m_commander.startDelay().isSlowLink();
    m_dispatchNeeded = m_dispatchNeeded || isSlowLink || wasFull; // tasks may wait for the link or for earlier starts
    if (std::exchange(m_wasSlowLink, isSlowLink) != isSlowLink)
        logLine(isSlowLink, "link",
                concat(isSlowLink ? "starts wait for the network link" : "starts no longer wait for the network link",
                       " us_per_start=", m_commander.startDelay().perOrderUs(),
                       " queued_us=", m_commander.startDelay().queuedUs()));
}

void FleetDispatcher::on(StopResult &event)
{
    m_commander.onStopResult(m_now, event, *m_actions);
}

void FleetDispatcher::on(HoldResult &event)
{
    m_commander.onHoldResult(m_now, event, *m_actions, m_ended);
}

void FleetDispatcher::on(Tick &)
{
    m_nextTick = m_now + idleTickUs;
    m_commander.tick(m_now, *m_actions, m_ended);
    markPeersInUse();
    for (auto &[node, peer] : m_peers) {
        checkPeer(node, peer);
        if (peer.connected)
            relayConfiguration(node, peer);
    }
    elect();
    flushQueuedRequests();
    checkRunning();
    removeLapsedServers();
    checkEvacuations();
    m_crashes.expire(m_now);
    m_commander.expireUnconfirmedStarts(m_now);
    m_dispatchNeeded = true;
    handOverShards();
    endDrain();
    sendCapacityReports();
}

void FleetDispatcher::on(BoundsChanged &event)
{
    logLine(false, "process",
            concat("bounds in force max_lease_ms=", event.maxLeaseUs / usPerMs, " drain_ms=", event.drainUs / usPerMs,
                   " far_percent=", static_cast<std::int64_t>(event.farX * percent)));
    m_settings.maxLeaseUs = event.maxLeaseUs;
    m_settings.drainUs = event.drainUs;
    m_settings.farX = event.farX;
    m_commander.setMaxLease(event.maxLeaseUs);
}

void FleetDispatcher::on(BeginDrain &)
{
    if (m_drainingSince != never)
        return;
    m_drainingSince = m_now;
    logLine(false, "process", concat("drain started jobs=", m_jobs.size(), " passed_on=", m_forwarded.size()));
}

// Callers -------------------------------------------------------------------------------------------

// Sends every answer: to an own caller, or to the entry VM that forwarded the request.
void FleetDispatcher::send(AnswerCaller &&answer)
{
    const auto remote = m_remoteCallers.find(answer.caller);
    if (remote == m_remoteCallers.end()) {
        m_actions->push_back(std::move(answer));
        return;
    }
    const RemoteCaller origin = std::move(remote->second);
    m_remoteCallers.erase(remote);
    m_remoteCallerIds.erase({origin.node, origin.sequence});
    m_actions->push_back(SendPeer{origin.node, ForwardAnswer{origin.sequence, std::move(answer)}});
}

void FleetDispatcher::answer(CallerId caller, AnswerKind kind, std::string_view reason, TimeUs retryAfterUs)
{
    send(AnswerCaller{caller, kind, std::string(reason), {}, retryAfterUs, 0, false});
}

void FleetDispatcher::on(CallerRequest &request)
{
    ++m_counters.requests;
    if (m_goneCallers.erase(request.caller) > 0) {
        ++m_counters.callersGone;
        logLine(false, "jobs",
                concat("request ignored as its caller has disconnected path=", request.path.substr(0, 64)));
        return;
    }
    processRequest(request);
}

void FleetDispatcher::processRequest(CallerRequest &request)
{
    if (!m_routes.isKnown()) {
        ++m_counters.reasons["not_ready"];
        answer(request.caller, AnswerKind::NotReady, "not_ready", notReadyRetryAfterUs);
        return;
    }
    const Route *route = m_routes.find(request.host, request.path);
    if (route == nullptr) {
        ++m_counters.unknownRoutes;
        logLine(false, "jobs",
                concat("route not found host=", request.host, " path=", request.path.substr(0, 64),
                       " config_version=", m_routes.configuration().version));
        answer(request.caller, AnswerKind::UnknownRoute, "unknown_route");
        return;
    }
    const std::string_view id = std::string_view(request.path).substr(route->prefix.size());
    // Forwarded requests of other entry VMs are not forwarded again, nor are requests that need no coordinator.
    const bool isLocal = coordinatesOwnCallers() || m_remoteCallers.contains(request.caller) || !isJobId(id)
            || (request.verb == Verb::Submit && (!request.job || !findUnservable(*request.job, *route).empty()))
            || m_jobs.contains(id) || endsAfterDrain(request, *route);
    if (!isLocal) {
        forwardRequest(std::move(request), std::string(id));
        return;
    }
    if (request.verb == Verb::Submit) {
        submit(request, *route, id);
        return;
    }
    if (request.verb == Verb::Query && id.empty()) {
        AnswerCaller pending{request.caller, AnswerKind::Pending, {}, {}, 0, 0, false};
        for (const auto &[key, job] : m_jobs)
            pending.pending += job.route == route->name && job.placed == 0 && job.done == 0 && !job.mayHaveRun ? 1 : 0;
        send(std::move(pending));
        return;
    }
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        answer(request.caller, AnswerKind::UnknownJob, "unknown_job");
    } else if (request.verb == Verb::Query) {
        send(AnswerCaller{
                request.caller, AnswerKind::State, {}, {}, 0, 0, found->second.placed + found->second.done > 0});
    } else {
        answer(request.caller, AnswerKind::Cancelled);
        giveUpJob(found->second, "cancelled");
    }
}

// Whether this process exits before the job can have been completed, so that its answer could not be delivered.
bool FleetDispatcher::endsAfterDrain(const CallerRequest &request, const Route &route) const
{
    if (m_drainingSince == never || !request.job || request.job->steps.empty())
        return false;
    return m_now + m_work.expect(route.name, request.job->steps.front().estimateUs) >= drainEnd();
}

// Why this version can never serve the job; empty when it can.
std::string_view FleetDispatcher::findUnservable(const JobRequest &request, const Route &route) const
{
    if (!request.answerIsResult)
        return "stored_job_unsupported";
    if (!request.unsupported.empty())
        return "job_property_unsupported";
    if (request.steps.size() != 1)
        return "several_steps_unsupported";
    const StepRequest &step = request.steps.front();
    if (step.count == 0)
        return {}; // malformed, see submit()
    if (!step.unsupported.empty() || !step.requiredLabel.empty())
        return "task_property_unsupported";
    if (m_routes.findService(route.service) == nullptr)
        return "unknown_service";
    return {};
}

// Entries of backend servers that expire during an outage of the store return only some time after it. A process that
// has been started meanwhile reads a registry without them.
bool FleetDispatcher::isRegistryIncomplete(std::string_view service) const
{
    return m_storeUnavailable || m_now - m_storeAvailableSince < lapsedGraceUs || !m_commander.hasServers(service);
}

void FleetDispatcher::submit(CallerRequest &request, const Route &route, std::string_view id)
{
    const bool hasTasks = request.job && !request.job->steps.empty() && request.job->steps.front().count > 0;
    if (!isJobId(id) || !request.job || (!hasTasks && request.job->unsupported.empty())) {
        const std::string problem = !isJobId(id) ? "the job's id is not 16 hexadecimal digits"
                : request.problem.empty()        ? "the job has no tasks"
                                                 : request.problem;
        logLine(false, "jobs", concat("job malformed job=", id.substr(0, 32), " detail=", problem));
        send(AnswerCaller{request.caller, AnswerKind::Malformed, "malformed", problem, 0, 0, false});
        return;
    }
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end()) {
        logLine(false, "jobs", concat("resubmission attached to the running job job=", id));
        known->second.callers.push_back(request.caller);
        m_callers[request.caller] = known->first;
        return;
    }
    const JobRequest &wanted = *request.job;
    if (const std::string_view reason = findUnservable(wanted, route); !reason.empty()) {
        refuse(request.caller, id, reason, 0);
        return;
    }
    const StepRequest &step = wanted.steps.front();
    Job job;
    job.id = id;
    job.callers.push_back(request.caller);
    job.route = route.name;
    job.service = route.service;
    job.priority = route.priority;
    job.maxAttempts = route.maxAttempts;
    job.spec = wanted.spec;
    job.taskResources = step.taskResources;
    job.declaredUs = step.estimateUs;
    job.dataRack = step.dataRack;
    job.workUs = m_work.expect(route.name, step.estimateUs);
    job.arrivedAt = m_now;
    const auto objectiveUs = static_cast<TimeUs>(route.stretch * static_cast<double>(job.workUs)) + route.targetUs;
    // The caller's own timeout takes precedence over that of the route.
    const TimeUs budgetUs = request.budgetUs > 0 ? request.budgetUs : route.timeoutUs;
    job.lastUsefulAt = m_now + budgetUs - answerReserveUs;
    job.budgetUs = request.budgetUs;
    job.dueAt = std::min(m_now + objectiveUs, job.lastUsefulAt);
    if (m_drained || m_now + job.workUs >= drainEnd()) {
        refuse(request.caller, id, "stopping", notReadyRetryAfterUs);
        return;
    }
    job.memoryBytes = memoryOfJob(wanted);
    if (!m_jobMemory.tryTake(job.memoryBytes)) {
        refuseForMemory(request.caller, id, job.memoryBytes);
        return;
    }
    job.tasks.resize(step.count);
    job.waiting = step.count;
    Job &kept = m_jobs[std::string(id)] = std::move(job);
    m_callers[request.caller] = kept.id;
    if (m_serversKnown && !m_commander.hasFittedSomewhere(kept.taskResources, kept.service)
        && isRegistryIncomplete(kept.service)) {
        refuseJob(kept, "registry_incomplete", lapsedGraceUs);
        return;
    }
    if (m_serversKnown && !m_commander.hasFittedSomewhere(kept.taskResources, kept.service)) {
        failJob(kept, "larger_than_every_backend_server");
        return;
    }
    if (m_serversKnown && !m_commander.fitsSomewhere(kept.taskResources, kept.service)) {
        refuseJob(kept, "capacity_shrunk", shrunkRetryAfterUs);
        return;
    }
    for (const CrashCount &crash : m_crashes.ofJob(kept.id)) {
        if (crash.task.index < kept.tasks.size())
            kept.tasks[crash.task.index].crashes = crash.sum();
        if (crash.count >= maxCrashes) {
            failJob(kept, crashedBackendServers);
            return;
        }
        if (crash.mustGiveUp()) {
            giveUpJob(kept, suspectedCrashes);
            return;
        }
    }
    if (!blockUnconfirmedTasks(kept))
        return;
    blockEndingTasks(kept);
    if (isCapacityEvacuated(kept)) {
        endEvacuatedJob(kept);
        return;
    }
    setInQueue(kept, kept.waiting > 0);
    m_dispatchNeeded = true;
}

// Refuses a request before it becomes a job.
void FleetDispatcher::refuse(CallerId caller, std::string_view id, std::string_view reason, TimeUs retryAfterUs)
{
    ++m_counters.refused;
    ++m_counters.reasons[reason];
    logLine(false, "jobs", concat("job refused job=", id, " reason=", reason));
    answer(caller, AnswerKind::Refused, reason, retryAfterUs);
}

// Whether a run of an earlier submission may exist or have existed.
bool FleetDispatcher::mayHaveRun(std::string_view id) const
{
    const auto ending = m_endingRuns.lower_bound(TaskId{std::string(id), 0});
    return (ending != m_endingRuns.end() && ending->first.job == id) || !m_crashes.ofJob(id).empty()
            || !m_commander.unconfirmedStarts().ofJob(m_now, id).empty();
}

// An answer that denies runs would be wrong for a job of which an earlier submission may have run.
void FleetDispatcher::refuseForMemory(CallerId caller, std::string_view id, std::size_t bytes)
{
    const bool isGivenUp = mayHaveRun(id);
    ++(isGivenUp ? m_counters.givenUp : m_counters.refused);
    ++m_counters.reasons[noMemory];
    logLine(true, "jobs",
            concat(isGivenUp ? "job given up job=" : "job refused job=", id, " reason=", noMemory, " bytes=", bytes,
                   " used_bytes=", m_jobMemory.usedBytes(), " limit_bytes=", m_jobMemory.limitBytes(),
                   " jobs=", m_jobs.size()));
    answer(caller, isGivenUp ? AnswerKind::GivenUp : AnswerKind::Refused, noMemory, noMemoryRetryAfterUs);
}

// The oldest entry goes first: ids increase in about the order in which requests are handled.
void FleetDispatcher::rememberGoneCaller(CallerId caller)
{
    m_goneCallers.insert(caller);
    if (m_goneCallers.size() > maxGoneCallers)
        m_goneCallers.erase(m_goneCallers.begin());
}

void FleetDispatcher::on(CallerGone &event)
{
    const auto passed = m_forwardedByCaller.find(event.caller);
    if (passed != m_forwardedByCaller.end()) {
        const ForwardedRequest &request = m_forwarded.at(passed->second);
        ++m_counters.callersGone;
        logLine(false, "jobs", concat("caller disconnected job=", request.job, " coordinator=", request.node));
        m_actions->push_back(SendPeer{request.node, ForwardGone{passed->second}});
        eraseForwarded(passed->second);
        return;
    }
    const std::size_t queuedRequests = std::erase_if(m_queuedRequests, [&](const QueuedRequest &queued) {
        if (queued.request.caller != event.caller)
            return false;
        m_jobMemory.release(queued.memoryBytes);
        return true;
    });
    const auto found = m_callers.find(event.caller);
    if (found == m_callers.end()) {
        // Closed connections are found faster than queued requests are handled, above all after a pause.
        if (queuedRequests == 0 && !m_remoteCallers.contains(event.caller))
            rememberGoneCaller(event.caller);
        return;
    }
    ++m_counters.callersGone;
    const auto job = m_jobs.find(found->second);
    m_callers.erase(found);
    if (const auto remote = m_remoteCallers.find(event.caller); remote != m_remoteCallers.end()) {
        m_remoteCallerIds.erase({remote->second.node, remote->second.sequence});
        m_remoteCallers.erase(remote);
    }
    if (job == m_jobs.end())
        return;
    std::erase(job->second.callers, event.caller);
    if (job->second.callers.empty())
        giveUpJob(job->second, "caller_gone");
}

// Ends of jobs --------------------------------------------------------------------------------------

void FleetDispatcher::stopRuns(Job &job)
{
    std::set<std::string_view> nodes;
    for (const Task &task : job.tasks) {
        if (task.state == TaskState::Placed || task.state == TaskState::Blocked)
            nodes.insert(task.node);
    }
    for (const std::string_view node : nodes) {
        if (node == selfNode)
            m_commander.stopJob(m_now, selfNode, job.id, *m_actions);
        else
            m_actions->push_back(SendPeer{std::string(node), StopJob{job.id, false, 0}});
    }
}

void FleetDispatcher::completeJob(Job &job)
{
    const TimeUs took = m_now - job.arrivedAt;
    ++m_counters.completed;
    m_counters.late += m_now > job.dueAt ? 1 : 0;
    const auto bound = std::lower_bound(answerBoundsMs.begin(), answerBoundsMs.end(), (took + usPerMs - 1) / usPerMs);
    ++m_counters.answerTimes[static_cast<std::size_t>(bound - answerBoundsMs.begin())];
    m_counters.answerSeconds += static_cast<double>(took) / usPerS;
    endJob(job, AnswerKind::Completed, "", 0);
}

void FleetDispatcher::failJob(Job &job, std::string_view reason)
{
    ++m_counters.failed;
    ++m_counters.reasons[reason];
    stopRuns(job);
    endJob(job, AnswerKind::Failed, reason, 0);
}

// For jobs of which tasks may have run, so that neither "failed" nor "not run" would be correct.
void FleetDispatcher::giveUpJob(Job &job, std::string_view reason, TimeUs retryAfterUs)
{
    ++m_counters.givenUp;
    ++m_counters.reasons[reason];
    stopRuns(job);
    endJob(job, AnswerKind::GivenUp, reason, retryAfterUs);
}

// Only for jobs of which nothing has been started.
void FleetDispatcher::refuseJob(Job &job, std::string_view reason, TimeUs retryAfterUs)
{
    ++m_counters.refused;
    ++m_counters.reasons[reason];
    endJob(job, AnswerKind::Refused, reason, retryAfterUs);
}

void FleetDispatcher::endJob(Job &job, AnswerKind kind, std::string_view reason, TimeUs retryAfterUs)
{
    for (const CallerId caller : job.callers) {
        answer(caller, kind, reason, retryAfterUs);
        m_callers.erase(caller);
    }
    const auto ms = [](TimeUs time) { return time / usPerMs; };
    logLine(kind != AnswerKind::Completed, "jobs",
            concat(kind == AnswerKind::Completed         ? "job completed job="
                           : kind == AnswerKind::Refused ? "job refused job="
                           : kind == AnswerKind::GivenUp ? "job given up job="
                                                         : "job failed job=",
                   job.id, " reason=", reason, " route=", job.route, " tasks=", job.tasks.size(), " done=", job.done,
                   " placed=", job.placed, " waiting=", job.waiting, " took_ms=", ms(m_now - job.arrivedAt),
                   " queued_ms=", job.firstPlacedAt == 0 ? -1 : ms(job.firstPlacedAt - job.arrivedAt), " due_in_ms=",
                   ms(job.dueAt - m_now), " useful_for_ms=", ms(job.lastUsefulAt - m_now), " work_ms=", ms(job.workUs),
                   " declared_ms=", ms(job.declaredUs), " milli_cores=", job.taskResources.milliCores,
                   " budget_ms=", ms(job.budgetUs), " jobs=", m_jobs.size(), " waiting_jobs=", m_waiting.size(),
                   " config_version=", m_routes.configuration().version));
    rememberEndingRuns(job);
    if (job.waitsForBetter)
        endBetterWait(job, m_counters.betterWaitsEndedEarly, "job_ended");
    setInQueue(job, false);
    m_jobMemory.release(job.memoryBytes);
    m_jobs.erase(m_jobs.find(job.id));
}

} // namespace clementinelift::command
