#include "command/admission.h"
#include "command/fleet_dispatcher.h"

#include "command/text.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

constexpr TimeUs peerRoundTripUs = 3 * usPerMs;      // to a commander in the same availability zone, with processing
constexpr TimeUs otherZoneRoundTripUs = 5 * usPerMs; // the same in another availability zone
constexpr double stalledFactor = 3.5;                // of the expected time; estimates are off by 40%
constexpr TimeUs stalledMarginUs = 100 * usPerMs;
constexpr TimeUs restartUs = 60 * usPerMs; // a stop takes 50 ms
// Longest time that a run requested from a lost peer may continue: the peer detects the loss within a heartbeat of 150
// ms, and its leases end 1,180 ms after the last contact.
constexpr TimeUs lostPeerRunLimitUs = 1500 * usPerMs;
// Longest time that a run may continue after its stop was requested: its lease, and the time to detect the loss of the
// backend server or the peer.
constexpr TimeUs stoppedRunLimitUs = 2500 * usPerMs;
// While orders wait longer at a slow link, no further job is started: jobs that wait here start in the order of their
// urgency, orders at the link do not.
constexpr TimeUs maxJobWaitUs = 20 * usPerMs;
// A start without an answer is settled once its backend server answers or has another commander, which takes less than
// this unless the backend server is away. The answer to a job that comes too early costs little.
constexpr TimeUs unconfirmedRetryAfterUs = 2 * usPerS;
// Tasks of one job that are placed in one pass. Each start carries the specification of up to 256 KiB and compares all
// candidates, so a job of 10,000 small tasks would hold the control thread for seconds.
constexpr std::size_t maxTasksPerPass = 64;
constexpr TimeUs nextPassUs = 1 * usPerMs; // until the pass that goes on with such a job
constexpr RunNumber oldRunStep = 16;       // skips run numbers that an earlier submission may have used

} // namespace

// Inserts the job into or removes it from m_waiting, which is ordered by the latest start for being on time.
void FleetDispatcher::setInQueue(Job &job, bool isWaiting)
{
    const std::pair key(job.latestStart(), job.id);
    if (isWaiting)
        m_waiting.insert(key);
    else
        m_waiting.erase(key);
}

void FleetDispatcher::setWaiting(Job &job, std::uint32_t index)
{
    Task &task = job.tasks[index];
    task.state = TaskState::Waiting;
    task.stopping = false;
    job.firstWaiting = std::min(job.firstWaiting, index);
    ++job.waiting;
    setInQueue(job, true);
    m_dispatchNeeded = true;
}

// Only backend servers with room for the smallest waiting task become candidates. Under overload these are few of a
// thousand, and a pass costs little more than a comparison for each of the others.
void FleetDispatcher::collectCandidates()
{
    m_candidates.clear();
    m_knownCapacityCount = 0;
    m_fastestSpeed = 0;
    m_expectsPlaces = false;
    const Resources smallest = smallestWaitingTask();
    m_ownCapacities = m_commander.capacities(m_now);
    m_link = {m_commander.startDelay().queuedUs(), m_commander.startDelay().perOrderUs()};
    for (const CapacityReport::ServerCapacity &capacity : m_ownCapacities) {
        if (!capacity.usable)
            continue;
        ++m_knownCapacityCount;
        m_fastestSpeed = std::max(m_fastestSpeed, capacity.speed);
        if (m_commander.isFull())
            continue;
        const auto [entry, rack, kind] = m_commander.findListed(capacity.server);
        if (entry == nullptr || !smallest.fitsInto(capacity.free))
            continue;
        m_candidates.push_back({capacity.server, selfNode, entry->service, capacity.free, capacity.speed});
        m_candidates.back().kind = kind;
        m_candidates.back().rack = rack;
        m_candidates.back().total = entry->capacity;
        m_candidates.back().endsByUs = runsEndBy() == never ? never : runsEndBy() - m_now;
        m_candidates.back().startsLeft = capacity.startsLeft;
    }
    for (const auto &[node, peer] : m_peers) {
        // Entry VMs command only backend servers of their own zone.
        if (peer.lost || m_evacuations.isEvacuated(peer.zone))
            continue;
        m_knownCapacityCount += peer.capacities.size();
        const TimeUs startQueueUs = peer.startQueueUs + static_cast<TimeUs>(peer.inFlight.size()) * peer.perStartUs;
        for (const auto &[server, reported] : peer.capacities) {
            const Resources free = reported.capacity.free - reported.reserved;
            if (!smallest.fitsInto(free))
                continue;
            std::uint32_t startsLeft = reported.capacity.startsLeft;
            if (startsLeft != unlimitedStarts) { // less the orders that the report does not count yet
                for (const InFlight &order : peer.inFlight)
                    startsLeft -= order.server == server && startsLeft > 0 ? 1 : 0;
                if (startsLeft == 0)
                    continue;
            }
            const auto [entry, rack, kind] = m_commander.findListed(server);
            if (entry == nullptr || entry->draining || m_commander.isCommanded(server)
                || (m_evacuations.hasAny() && m_evacuations.isEvacuated(entry->zone)))
                continue;
            m_candidates.push_back({server, node, entry->service, free, reported.capacity.speed,
                                    peer.zone == m_settings.zone ? peerRoundTripUs : otherZoneRoundTripUs, startQueueUs,
                                    peer.perStartUs});
            m_candidates.back().kind = kind;
            m_candidates.back().rack = rack;
            m_candidates.back().total = entry->capacity;
            m_candidates.back().endsByUs = peer.handoverAt == never ? never : peer.handoverAt - m_now;
            m_candidates.back().startsLeft = startsLeft;
        }
    }
}

// The smallest amount of each resource that some waiting task needs.
Resources FleetDispatcher::smallestWaitingTask() const
{
    Resources smallest{never, never, never};
    for (const auto &[latestStart, id] : m_waiting) {
        const Resources &task = m_jobs.find(id)->second.taskResources;
        smallest.milliCores = std::min(smallest.milliCores, task.milliCores);
        smallest.memoryMb = std::min(smallest.memoryMb, task.memoryMb);
        smallest.accelerators = std::min(smallest.accelerators, task.accelerators);
    }
    return smallest;
}

void FleetDispatcher::dispatch()
{
    if (!m_dispatchNeeded)
        return;
    m_dispatchNeeded = false;
    if (m_waiting.empty())
        return;
    ++m_counters.placingPasses;
    if (m_now >= m_noStartsUntil) {
        collectCandidates();
        std::vector<std::string> order;
        for (const auto &[key, id] : m_waiting)
            order.push_back(id);
        const bool othersWait = m_waiting.size() - countWaitingByChoice() > 1;
        m_endsPerS = othersWait ? endsPerS() : 0;
        m_forecast.update(m_now, m_endsPerS, std::exchange(m_placedCount, 0));
        m_placesWide = m_now >= m_widePassAt;
        std::set<std::string_view> unfinished; // by the bound of a pass
        for (const std::string &id : order) {
            if (!placeJob(m_jobs.find(id)->second, othersWait))
                unfinished.insert(id);
        }
        if (!unfinished.empty()) {
            m_dispatchNeeded = true;
            if (m_placesWide)
                m_widePassAt = m_now + nextPassUs;
            m_nextTick = std::min(m_nextTick, m_widePassAt);
        }
        for (const std::string &id : order) {
            Job &job = m_jobs.find(id)->second;
            if (othersWait && job.waiting > 0 && !job.waitsForBetter && !unfinished.contains(id)
                && hasAmpleCapacity(m_candidates, m_knownCapacityCount, job.taskResources))
                placeJob(job, false);
        }
    }
    if (!m_waiting.empty())
        m_waitedAt = m_now;
    refuseHopelessJobs(); // after placing, so that free capacity is used independently of the estimates
}

// With a slow link, a job that has not begun is started only as a whole: a job that is given up later because its last
// orders have not left has used the link for nothing. While other jobs wait, the same holds for capacity, except when
// room for the remaining tasks is expected in time.
//
// Returns false when further tasks of the job are left to the next pass, so that other jobs are served between.
bool FleetDispatcher::placeJob(Job &job, bool othersWait)
{
    if (job.waitsForBetter && m_now >= job.betterUntil)
        endBetterWait(job, m_counters.betterWaitsExpired, "deadline");
    const bool isSlowLink = m_commander.startDelay().isSlowLink();
    const bool onlyWhole = (isSlowLink || othersWait) && job.placed == 0 && !job.mayHaveRun;
    if (onlyWhole && isSlowLink && m_link.queuedUs > maxJobWaitUs)
        return true;
    // Of a job that is wider than a pass, only the room for it is known.
    const bool isWide = job.waiting > maxTasksPerPass;
    if (isWide && !m_placesWide)
        return false;
    if (onlyWhole && isWide) {
        const std::size_t room = countRoom(m_candidates, job.service, job.taskResources, job.waiting);
        if (room < job.waiting && (isSlowLink || !mayBeginInPart(job, m_now, job.waiting - room, m_endsPerS)))
            return true;
    }
    const LinkLoad linkBefore = m_link;
    struct Placed
    {
        std::uint32_t index;
        std::size_t candidate;
        Resources reserved;
        TimeUs startUs;
        CandidateRoom before;
    };
    std::vector<Placed> placed;
    while (job.firstWaiting < job.tasks.size() && job.tasks[job.firstWaiting].state != TaskState::Waiting)
        ++job.firstWaiting;
    TimeUs latestEndUs = 0; // expected, of the tasks in placed
    PlacingTask wanted{job.service, job.taskResources, job.workUs};
    wanted.rack = m_commander.rackNumber(job.dataRack);
    wanted.farWorkUs = static_cast<TimeUs>(static_cast<double>(job.workUs) * m_settings.farX);
    wanted.kindFactors = m_routeSpeeds.factors(job.route);
    wanted.latestUs = runTimeLimit(job, m_now, othersWait);
    bool isRoomLeft = true;
    for (std::uint32_t index = job.firstWaiting; index < job.tasks.size() && placed.size() < maxTasksPerPass; ++index) {
        if (job.tasks[index].state != TaskState::Waiting)
            continue;
        const bool hasCrashes = job.tasks[index].crashes > 0;
        wanted.needsWholeServer = hasCrashes;
        m_counters.candidatesExamined += m_candidates.size();
        auto place = choosePlace(m_candidates, m_link, wanted);
        const bool isShared = !place && hasCrashes && m_now > job.latestStart();
        if (isShared) { // a late job waits no longer for an idle backend server
            wanted.needsWholeServer = false;
            place = choosePlace(m_candidates, m_link, wanted);
        }
        if (!place && hasCrashes)
            continue;
        isRoomLeft = place.has_value();
        if (!place)
            break;
        if (mayBeBetter(wanted, m_candidates[*place])
            && waitsForBetter(job, wanted, m_candidates[*place], job.waiting - placed.size(), latestEndUs))
            break;
        latestEndUs =
                std::max(latestEndUs, expectFinish(m_candidates[*place], m_link, wanted.workOn(m_candidates[*place])));
        // Otherwise the whole backend server is reserved for a task with crashes.
        const Resources reserved = hasCrashes && !isShared ? m_candidates[*place].total : job.taskResources;
        placed.push_back({index,
                          *place,
                          reserved,
                          expectStart(m_candidates[*place], m_link),
                          {m_candidates[*place].free, m_candidates[*place].startsLeft}});
        addTask(m_candidates, *place, reserved, m_link);
    }
    const std::size_t missing = job.waiting - placed.size();
    if (onlyWhole && !isWide && missing > 0 && !placed.empty() && !job.waitsForBetter
        && (isSlowLink || !mayBeginInPart(job, m_now, missing, m_endsPerS))) {
        for (auto place = placed.rbegin(); place != placed.rend(); ++place)
            removeTask(m_candidates, place->candidate, place->before);
        m_link = linkBefore;
        placed.clear();
        ++m_counters.deferredStarts;
    }
    for (const Placed &place : placed)
        placeTask(job, place.index, m_candidates[place.candidate], place.reserved, place.startUs, wanted);
    flushOrders(job);
    for (Candidate &candidate : m_candidates)
        candidate.hasOrder = false;
    if (job.waiting == 0) {
        setInQueue(job, false);
        if (job.waitsForBetter)
            endBetterWait(job, m_counters.betterWaitsPaid, "paid");
    }
    return !isRoomLeft || job.waiting == 0 || placed.size() < maxTasksPerPass;
}

void FleetDispatcher::placeTask(Job &job, std::uint32_t index, const Candidate &candidate, const Resources &reserved,
                                TimeUs startUs, const PlacingTask &wanted)
{
    Task &task = job.tasks[index];
    task.state = TaskState::Placed;
    m_counters.retries += task.run > 0 ? 1 : 0;
    ++task.run;
    task.server = candidate.server;
    task.node = candidate.node;
    const TimeUs expectedUs = wanted.workOn(candidate);
    task.speed =
            candidate.speed * static_cast<double>(job.workUs) / static_cast<double>(std::max<TimeUs>(expectedUs, 1));
    task.serverSpeed = candidate.speed;
    task.isFar = wanted.isFar(candidate);
    task.placedAt = m_now;
    task.startUs = startUs;
    task.stopping = false;
    --job.waiting;
    ++job.placed;
    ++m_placedCount;
    if (job.firstPlacedAt == 0)
        job.firstPlacedAt = m_now;
    m_orders[{task.node, reserved, expectedUs}].push_back({index, task.run, task.server});
}

void FleetDispatcher::flushOrders(Job &job)
{
    for (auto &[target, items] : m_orders)
        sendOrder(job, std::get<0>(target), std::get<1>(target), std::get<2>(target), std::move(items));
    m_orders.clear();
}

void FleetDispatcher::sendOrder(Job &job, const std::string &node, const Resources &taskResources, TimeUs expectedUs,
                                std::vector<PlaceTasks::Item> &&items)
{
    PlaceTasks order;
    order.job = job.id;
    order.spec = job.spec;
    order.service = job.service;
    order.taskResources = taskResources;
    order.expectedUs = expectedUs;
    order.items = std::move(items);
    if (node == selfNode) {
        for (const PlaceTasks::Item &item : order.items) {
            if (m_commander.start(m_now, selfNode, order, item, *m_actions))
                ++m_counters.starts;
            else
                m_ended.push_back(
                        {std::string(selfNode), {{job.id, item.index}, item.run, RunEnd::NotAsked, 0, item.server}});
        }
        return;
    }
    Peer &peer = m_peers.find(node)->second;
    order.sequence = ++peer.lastSent;
    order.echo = peer.reportSentAt;
    order.lossCount = peer.lossCount;
    for (const PlaceTasks::Item &item : order.items) {
        peer.inFlight.push_back({order.sequence, item.server, taskResources});
        peer.capacities[item.server].reserved += taskResources;
        job.tasks[item.index].sequence = order.sequence;
    }
    m_counters.remoteStarts += order.items.size();
    m_actions->push_back(SendPeer{node, std::move(order)});
}

// Ends of runs --------------------------------------------------------------------------------------

// Crashes go first: a coordinator that knows of the last crash under a task answers that the job has failed, and
// otherwise that it was given up, which makes the caller submit it again.
void FleetDispatcher::deliverRunEnds()
{
    applyUnconfirmedStarts();
    while (!m_ended.empty()) {
        const std::vector<RunEndNotice> ended = std::move(m_ended);
        m_ended.clear();
        m_dispatchNeeded = true;
        for (const RunEndNotice &end : ended) {
            if (end.crash != CrashNotice::None)
                onCrash(end.ended.task, end.ended.server, end.crash);
        }
        for (const RunEndNotice &end : ended) {
            if (end.crash != CrashNotice::None)
                continue;
            if (end.coordinator == selfNode) {
                onTaskEnded(std::string(selfNode), end.ended);
                continue;
            }
            const auto peer = m_peers.find(end.coordinator);
            if (peer != m_peers.end() && peer->second.connected && hasNewsFor(peer->second))
                sendReport(peer->first, peer->second, false);
            m_actions->push_back(SendPeer{end.coordinator, end.ended});
        }
    }
}

// A caller may submit a job again right after it has disconnected, while the runs are still being stopped.
void FleetDispatcher::rememberEndingRuns(const Job &job)
{
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const Task &task = job.tasks[index];
        if (task.state == TaskState::Placed)
            m_endingRuns[{job.id, index}] = {task.node, task.server, task.run, m_now + stoppedRunLimitUs,
                                             task.sequence};
        else if (task.state == TaskState::Blocked)
            m_endingRuns[{job.id, index}] = {task.node, task.server, task.run, task.retryAt, task.sequence};
    }
}

void FleetDispatcher::blockEndingTasks(Job &job)
{
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const auto found = m_endingRuns.find(TaskId{job.id, index});
        if (found == m_endingRuns.end())
            continue;
        Task &task = job.tasks[index];
        task.state = TaskState::Blocked;
        task.node = found->second.node;
        task.server = found->second.server;
        task.run = found->second.run;
        task.retryAt = found->second.endsBy;
        task.sequence = found->second.sequence;
        --job.waiting;
        job.mayHaveRun = true;
        m_endingRuns.erase(found);
    }
}

// Blocks the tasks whose earlier runs may not have ended. A task whose start may yet be carried out cannot be started
// for so long that its job is given up at once; returns false then. A refusal would say that nothing has run.
bool FleetDispatcher::blockUnconfirmedTasks(Job &job)
{
    for (const UnconfirmedStart &start : m_commander.unconfirmedStarts().ofJob(m_now, job.id)) {
        if (start.task.index >= job.tasks.size())
            continue;
        const TimeUs endsBy = m_now + start.remainingUs;
        logUnconfirmedStart(start);
        if (endsBy + job.workUs > job.lastUsefulAt) {
            giveUpJob(job, unconfirmedStart, std::min(start.remainingUs, unconfirmedRetryAfterUs));
            return false;
        }
        const auto found = m_endingRuns.find(start.task);
        if (found == m_endingRuns.end() || found->second.endsBy < endsBy)
            m_endingRuns[start.task] = {std::string(selfNode), start.server, start.run, endsBy, 0};
    }
    return true;
}

void FleetDispatcher::logUnconfirmedStart(const UnconfirmedStart &start)
{
    logLine(start.fate == StartFate::Unknown, "jobs",
            concat("start without an answer job=", start.task.job, " task=", start.task.index, " run=", start.run,
                   " server=", start.server, " fate=", toString(start.fate),
                   " dead_after_ms=", start.remainingUs / usPerMs));
}

// Applies changes of the unconfirmed starts to the jobs here. A job whose task may also be carried out elsewhere is
// given up, and tasks that wait for a start that has been settled wait no longer than for its end.
void FleetDispatcher::applyUnconfirmedStarts()
{
    const UnconfirmedStarts &starts = m_commander.unconfirmedStarts();
    if (starts.version() == m_appliedStarts)
        return;
    for (const UnconfirmedStart &start : starts.changedSince(m_now, std::exchange(m_appliedStarts, starts.version()))) {
        const TimeUs endsBy = m_now + start.remainingUs;
        const auto ending = m_endingRuns.find(start.task);
        if (ending != m_endingRuns.end() && ending->second.server == start.server && ending->second.run == start.run)
            ending->second.endsBy = start.fate == StartFate::Unknown ? std::max(ending->second.endsBy, endsBy)
                                                                     : std::min(ending->second.endsBy, endsBy);
        const auto found = m_jobs.find(start.task.job);
        // The others hear of it for the case that the job is submitted to them; hundreds may come at once.
        if (m_commander.isCommanded(start.server) || ending != m_endingRuns.end() || found != m_jobs.end())
            logUnconfirmedStart(start);
        if (found == m_jobs.end() || start.task.index >= found->second.tasks.size())
            continue;
        Task &task = found->second.tasks[start.task.index];
        const bool isSameRun = task.server == start.server && task.run == start.run;
        if (start.fate != StartFate::Unknown && task.state == TaskState::Blocked && isSameRun)
            task.retryAt = std::min(task.retryAt, endsBy);
        // The end of the run that the task is waiting for is reported to its coordinator by itself.
        if (start.fate == StartFate::Unknown && task.state != TaskState::Done && !isSameRun)
            giveUpJob(found->second, unconfirmedStart, std::min(start.remainingUs, unconfirmedRetryAfterUs));
    }
}

void FleetDispatcher::onEndingRun(const std::string &node, const TaskEnded &ended)
{
    const auto found = m_endingRuns.find(ended.task);
    if (found == m_endingRuns.end() || found->second.node != node || found->second.server != ended.server
        || found->second.run != ended.run)
        return;
    if (ended.maxRemainingUs > 0)
        found->second.endsBy = m_now + ended.maxRemainingUs;
    else
        m_endingRuns.erase(found);
}

// The commander counts, because it outlives many coordinators; the count reaches the coordinator with a report.
void FleetDispatcher::onCrash(const TaskId &task, std::string_view server, CrashNotice notice)
{
    m_crashes.add(m_now, task, notice);
    const CrashCount counts = m_crashes.find(task);
    if (notice == CrashNotice::Certain || notice == CrashNotice::Suspected)
        logLine(true, "jobs",
                concat("backend server crashed under a task job=", task.job, " task=", task.index, " server=", server,
                       " certain=", notice == CrashNotice::Certain ? 1 : 0, " crashes=", counts.count,
                       " suspected=", counts.suspected));
    setCrashes(counts);
}

// Applies higher counts to the task if its job is here. A job whose task may not be started again has failed when the
// crashes are certain, and is given up otherwise.
void FleetDispatcher::setCrashes(const CrashCount &counts)
{
    const auto found = m_jobs.find(counts.task.job);
    if (found == m_jobs.end() || counts.task.index >= found->second.tasks.size())
        return;
    Task &crashed = found->second.tasks[counts.task.index];
    crashed.crashes = counts.sum();
    if (crashed.state == TaskState::Done)
        return;
    if (counts.count >= maxCrashes)
        failJob(found->second, crashedBackendServers);
    else if (counts.mustGiveUp())
        giveUpJob(found->second, suspectedCrashes);
}

void FleetDispatcher::onTaskEnded(const std::string &node, const TaskEnded &ended, bool isPeerLost)
{
    onEndingRun(node, ended);
    const auto found = m_jobs.find(ended.task.job);
    if (found == m_jobs.end() || ended.task.index >= found->second.tasks.size())
        return;
    Job &job = found->second;
    Task &task = job.tasks[ended.task.index];
    // An earlier process of this entry VM may have given the same number to a run on another backend server.
    const bool isCurrent = task.run == ended.run && task.node == node && task.server == ended.server;
    if (!isCurrent || (task.state != TaskState::Placed && task.state != TaskState::Blocked))
        return;
    if (task.state == TaskState::Placed)
        --job.placed;
    if (ended.end == RunEnd::NotRun || ended.end == RunEnd::NotAsked) {
        m_counters.remoteRefusals += node == selfNode ? 0 : 1;
        if (ended.end == RunEnd::NotRun)
            task.run += oldRunStep;
        setWaiting(job, ended.task.index);
        return;
    }
    job.mayHaveRun = true;
    if (ended.end == RunEnd::Done) {
        const TimeUs took = m_now - task.placedAt;
        const TimeUs ran = std::max({took - task.startUs, took / 2, usPerMs});
        m_work.learn(job.route, static_cast<TimeUs>(static_cast<double>(ran) * task.speed));
        if (const ListedServer listed = m_commander.findListed(task.server); listed.kind != 0) {
            const double farX = task.isFar ? m_settings.farX : 1.0;
            const auto expectedUs = static_cast<TimeUs>(static_cast<double>(job.workUs) * farX);
            m_routeSpeeds.learn(job.route, listed.kind, expectedUs, ran, task.serverSpeed);
        }
        task.state = TaskState::Done;
        if (++job.done == job.tasks.size())
            completeJob(job);
        return;
    }
    if (ended.end == RunEnd::Failed && ++task.failures >= job.maxAttempts) {
        failJob(job, "attempts_failed");
        return;
    }
    logLine(true, "jobs",
            concat("run ended without a result job=", job.id, " task=", ended.task.index, " run=", ended.run,
                   " end=", toString(ended.end), " server=", ended.server, " node=", node,
                   " dead_after_ms=", ended.maxRemainingUs / usPerMs, " failures=", task.failures,
                   " due_in_ms=", (job.dueAt - m_now) / usPerMs));
    if (task.state == TaskState::Blocked && ended.maxRemainingUs > 0)
        task.retryAt = std::min(task.retryAt, m_now + ended.maxRemainingUs);
    task.losses += ended.end == RunEnd::Lost && !isPeerLost ? 1 : 0;
    if (task.losses >= maxLosses || m_now + ended.maxRemainingUs + job.workUs > job.lastUsefulAt) {
        const bool isLost = ended.end == RunEnd::Lost;
        giveUpJob(job, isLost ? "run_lost" : "too_late_to_repeat",
                  isLost ? std::min(ended.maxRemainingUs, unconfirmedRetryAfterUs) : 0);
    } else if (ended.maxRemainingUs > 0) {
        task.state = TaskState::Blocked;
        task.retryAt = m_now + ended.maxRemainingUs;
    } else {
        setWaiting(job, ended.task.index);
    }
}

// Time ----------------------------------------------------------------------------------------------

// Refuses or gives up waiting jobs that can no longer be completed in time, so that their callers are told early.
void FleetDispatcher::refuseHopelessJobs()
{
    std::vector<std::string> hopeless;
    std::vector<std::string> tooLate;
    std::vector<std::string> evacuated;
    std::map<std::pair<std::string_view, Resources>, bool> isEvacuated; // by service and task, of which there are few
    std::vector<std::string> withoutRoom;
    std::size_t tasksBefore = 0; // of the jobs that are served before
    for (const auto &[latestStart, id] : m_waiting) {
        const Job &job = m_jobs.find(id)->second;
        const bool hasBegun = job.mayHaveRun || job.placed > 0;
        if (job.placed == 0 && m_evacuations.hasAny()) { // otherwise its runs in progress end by themselves first
            const auto [found, isNew] = isEvacuated.try_emplace({job.service, job.taskResources}, false);
            if (isNew)
                found->second = isCapacityEvacuated(job);
            if (found->second) {
                evacuated.push_back(id);
                continue;
            }
        }
        if (!hasBegun && shouldRefuse(job, m_now))
            hopeless.push_back(id);
        else if (hasBegun && shouldGiveUp(job, m_now))
            tooLate.push_back(id);
        // Places for a wide job are not chosen in every pass.
        else if (!hasBegun && !job.waitsForBetter && m_waiting.size() > 1 && job.waiting <= maxTasksPerPass
                 && m_now >= m_noStartsUntil
                 && m_forecast.isShort(tasksBefore + job.waiting, job.latestStart() - m_now))
            withoutRoom.push_back(id);
        else
            tasksBefore += job.waiting;
    }
    for (const std::string &id : withoutRoom) {
        Job &job = m_jobs.find(id)->second;
        refuseJob(job, "no_room_forecast", retryAfter(job));
    }
    for (const std::string &id : evacuated)
        endEvacuatedJob(m_jobs.find(id)->second);
    for (const std::string &id : tooLate)
        giveUpJob(m_jobs.find(id)->second, "no_room_in_time");
    for (const std::string &id : hopeless) {
        Job &job = m_jobs.find(id)->second;
        refuseJob(job, "no_room_in_time", retryAfter(job));
    }
}

// The tasks in progress tell the rate of ends: those of 100 ms end ten times a second each.
double FleetDispatcher::endsPerS() const
{
    double sum = 0;
    for (const auto &[id, job] : m_jobs)
        sum += job.placed * static_cast<double>(usPerS) / static_cast<double>(std::max<TimeUs>(job.workUs, 1));
    return sum;
}

// When the caller of a refused job is asked to submit it again.
TimeUs FleetDispatcher::retryAfter(const Job &refused)
{
    std::size_t waitingCount = 0;
    for (const auto &[id, job] : m_jobs)
        waitingCount += id == refused.id ? 0 : job.waiting;
    return m_retryPlanner.book(m_now, refused.tasks.size(), waitingCount, endsPerS());
}

void FleetDispatcher::checkRunning()
{
    std::vector<std::string> expired;
    for (auto &[id, job] : m_jobs) {
        if (m_now >= job.lastUsefulAt) {
            expired.push_back(id);
            continue;
        }
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            Task &task = job.tasks[index];
            if (task.state == TaskState::Blocked && m_now >= task.retryAt) {
                setWaiting(job, index);
            } else if (task.state == TaskState::Placed && !task.stopping) {
                const auto expectedUs = static_cast<TimeUs>(static_cast<double>(job.workUs) / task.speed);
                const bool isStalled = m_now - task.placedAt - task.startUs
                        > static_cast<TimeUs>(stalledFactor * static_cast<double>(expectedUs)) + stalledMarginUs;
                if (!isStalled || m_now + restartUs + job.workUs > job.lastUsefulAt)
                    continue;
                task.stopping = true;
                ++m_counters.stalls;
                logLine(true, "jobs",
                        concat("task is overdue job=", id, " task=", index, " server=", task.server,
                               " node=", task.node, " runs_ms=", (m_now - task.placedAt) / usPerMs,
                               " expected_ms=", expectedUs / usPerMs));
                if (task.node == selfNode)
                    m_commander.stopStalled(m_now, selfNode, {id, index}, *m_actions);
                else
                    m_actions->push_back(SendPeer{task.node, StopJob{id, true, index}});
            }
        }
    }
    for (auto it = m_endingRuns.begin(); it != m_endingRuns.end();)
        it = m_now >= it->second.endsBy ? m_endingRuns.erase(it) : std::next(it);
    for (const std::string &id : expired) {
        Job &job = m_jobs.find(id)->second;
        if (job.mayHaveRun || job.placed > 0)
            giveUpJob(job, "time_is_over");
        else
            refuseJob(job, "no_room_in_time", retryAfter(job));
    }
}

// Failure detection. The tasks requested from a lost peer end because the peer stops them or their leases expire.
void FleetDispatcher::checkPeer(const std::string &node, Peer &peer)
{
    // A caller submits its job again 1,300 ms after its entry VM has failed; the runs have to be stopped before.
    constexpr TimeUs inUseTimeoutUs = 700 * usPerMs;
    constexpr TimeUs idleTimeoutUs = 2000 * usPerMs; // three heartbeats of a link on which nothing depends
    const TimeUs timeoutUs = peer.inUse ? inUseTimeoutUs : idleTimeoutUs;
    const bool isContactLost = m_now - peer.lastContactAt > timeoutUs || m_now - peer.contactConfirmedAt > timeoutUs;
    if (peer.lost || (peer.connected && !isContactLost))
        return;
    peer.lost = true;
    m_forecast.reset();
    ++peer.lossCount;
    peer.capacities.clear();
    peer.inFlight.clear();
    peer.coordinates = false;
    giveUpForwarded(node);
    dropCallersOf(node);
    logLine(true, "peers",
            concat("peer lost node=", node, " connected=", peer.connected ? 1 : 0,
                   " heard_ms_ago=", (m_now - peer.lastContactAt) / usPerMs,
                   " hears_us_ms_ago=", (m_now - peer.contactConfirmedAt) / usPerMs));
    m_commander.stopCoordinator(m_now, node, *m_actions);
    // The peer has not reported that these runs exist. Their starts may be unanswered on backend servers that have
    // restarted, and nobody stops them until another commander is there.
    const auto mayBegin = [&](std::uint64_t sequence) { return sequence > peer.confirmedSequence; };
    std::vector<TaskEnded> lost;
    for (const auto &[id, job] : m_jobs) {
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            const Task &task = job.tasks[index];
            if (task.state == TaskState::Placed && task.node == node)
                lost.push_back({{id, index},
                                task.run,
                                RunEnd::Lost,
                                mayBegin(task.sequence) ? lateStartLimitUs : lostPeerRunLimitUs,
                                task.server});
        }
    }
    for (const auto &[task, run] : m_endingRuns) {
        if (run.node == node)
            lost.push_back({task, run.run, RunEnd::Lost, mayBegin(run.sequence) ? lateStartLimitUs : lostPeerRunLimitUs,
                            run.server});
    }
    for (const TaskEnded &end : lost) {
        if (end.maxRemainingUs == lateStartLimitUs)
            m_commander.addUnconfirmedStart(m_now, end.task, end.server, end.run);
        onTaskEnded(node, end, true);
    }
}

} // namespace clementinelift::command
