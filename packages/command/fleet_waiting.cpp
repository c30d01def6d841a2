// Waiting for better backend servers (better_place.h).
#include "command/fleet_dispatcher.h"

#include "command/admission.h"
#include "command/text.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

// The fastest backend server is this many times as fast as one that counts as slow. Learned speeds of 24 equal servers
// differed by a factor of 2 in a few passes.
constexpr double slowFactor = 2.5;
constexpr TimeUs peerDelayUs = 10 * usPerMs; // from the end of a run at a peer until the next one begins there

std::size_t countTasks(const Resources &free, const Resources &task)
{
    return task.milliCores > 0 ? static_cast<std::size_t>(free.milliCores / task.milliCores) : 1;
}

} // namespace

// Costs a comparison, so that passes without such a task become no slower. With a slow link jobs start as a whole, and
// the link rather than the place decides when.
bool FleetDispatcher::mayBeBetter(const PlacingTask &wanted, const Candidate &candidate) const
{
    const bool isSlow = m_fastestSpeed >= slowFactor * candidate.speed;
    return (isSlow || (wanted.isFar(candidate) && m_settings.farX > 1)) && !wanted.needsWholeServer
            && m_settings.maxBetterWaitUs > 0 && !m_commander.startDelay().isSlowLink();
}

// Whether the last count tasks of the job wait although the candidate, which is the best one, is free. otherEndsUs:
// from now, of the tasks placed in this pass.
bool FleetDispatcher::waitsForBetter(Job &job, const PlacingTask &wanted, const Candidate &candidate, std::size_t count,
                                     TimeUs otherEndsUs)
{
    if (job.betterUntil != 0 && !job.waitsForBetter)
        return false;
    collectExpectedPlaces();
    const TimeUs endHereUs = expectFinish(candidate, m_link, wanted.workOn(candidate));
    const BetterPlaceTask task{wanted.service,         wanted.resources, wanted.workUs,
                               m_settings.farX,        wanted.rack,      endHereUs - expectStart(candidate, m_link),
                               wanted.isFar(candidate)};
    const std::vector<double> kindFactors(wanted.kindFactors.begin(), wanted.kindFactors.end());
    const auto better = m_expectedPlaces.take(task, kindFactors, count);
    TimeUs waitUs = 0;
    if (better && job.waitsForBetter) {
        waitUs = m_now + better->freeUs <= job.betterUntil ? job.betterUntil - m_now : 0;
    } else if (better) {
        WaitComparison compared;
        compared.endHereUs = endHereUs;
        compared.better = *better;
        compared.otherEndsUs = otherEndsUs;
        for (const Task &placed : job.tasks) {
            if (placed.state != TaskState::Placed)
                continue;
            const auto runUs = static_cast<TimeUs>(static_cast<double>(job.workUs) / placed.speed);
            compared.otherEndsUs = std::max(compared.otherEndsUs, placed.placedAt + placed.startUs + runUs - m_now);
        }
        compared.dueUs = job.dueAt - m_now;
        const bool hasBegun = job.mayHaveRun || job.placed > 0;
        compared.refusedUs = hasBegun ? never : refusedFrom(job) - m_now;
        for (const Candidate &other : m_candidates) {
            const bool isAsGood = wanted.resources.fitsInto(other.free) && other.service == wanted.service
                    && expectFinish(other, m_link, wanted.workOn(other)) <= endHereUs + endHereUs / 4;
            if (isAsGood)
                compared.placesHere += countTasks(other.free, wanted.resources);
        }
        compared.isFarHere = wanted.isFar(candidate);
        compared.tasksHere = count;
        compared.tasksBehind = countTasksBehind(job, compared.placesHere + 1);
        waitUs = decideWait(compared, m_settings.maxBetterWaitUs);
    }
    if (waitUs <= 0) {
        m_expectedPlaces.giveBack();
        if (job.waitsForBetter)
            endBetterWait(job, m_counters.betterWaitsEndedEarly, "none_expected");
        return false;
    }
    if (!job.waitsForBetter) {
        job.waitsForBetter = true;
        job.betterUntil = m_now + waitUs;
        ++m_counters.betterWaits;
        logLine(false, "jobs",
                concat("job waits for better backend servers job=", job.id, " tasks=", count, " rack=", job.dataRack,
                       " end_here_ms=", endHereUs / usPerMs, " free_there_ms=", better->freeUs / usPerMs,
                       " run_there_ms=", better->runUs / usPerMs, " at_most_ms=", waitUs / usPerMs));
    }
    m_nextTick = std::min(m_nextTick, job.betterUntil);
    return true;
}

void FleetDispatcher::endBetterWait(Job &job, std::uint64_t &counter, std::string_view outcome)
{
    job.waitsForBetter = false;
    ++counter;
    logLine(false, "jobs",
            concat("wait for better backend servers ended job=", job.id, " outcome=", outcome, " waiting=", job.waiting,
                   " before_deadline_ms=", (job.betterUntil - m_now) / usPerMs));
}

// Reports of peers tell no ends, so of their backend servers only the tasks of the jobs here are known.
void FleetDispatcher::collectExpectedPlaces()
{
    if (std::exchange(m_expectsPlaces, true))
        return;
    m_expectedPlaces.clear();
    m_commander.addExpectedPlaces(m_now, m_expectedPlaces);
    std::map<std::string_view, std::size_t> known; // by id of the backend server
    for (const auto &[id, job] : m_jobs) {
        const auto workUs = static_cast<double>(job.workUs);
        for (const Task &task : job.tasks) {
            if (task.state != TaskState::Placed || task.node == selfNode || task.stopping)
                continue;
            const auto peer = m_peers.find(task.node);
            if (peer == m_peers.end() || peer->second.lost || m_evacuations.isEvacuated(peer->second.zone))
                continue;
            const auto capacity = peer->second.capacities.find(task.server);
            const ListedServer listed = m_commander.findListed(task.server);
            if (capacity == peer->second.capacities.end() || listed.entry == nullptr || listed.entry->draining)
                continue;
            const auto &[reported, reserved] = capacity->second;
            const auto [place, isNew] = known.try_emplace(task.server, 0);
            if (isNew)
                place->second = m_expectedPlaces.add({listed.entry->service, listed.rack, listed.kind, reported.speed,
                                                      reported.free - reserved, peerDelayUs});
            m_expectedPlaces.addRun(place->second, m_now - task.placedAt - task.startUs,
                                    static_cast<TimeUs>(workUs / task.speed), job.taskResources);
        }
    }
}

// Tasks that wait for any place, of the jobs that are served after this one; at least the given number if there are so
// many.
std::size_t FleetDispatcher::countTasksBehind(const Job &first, std::size_t enough) const
{
    std::size_t count = 0;
    for (auto it = m_waiting.upper_bound({first.latestStart(), first.id}); it != m_waiting.end() && count < enough;
         ++it) {
        const Job &job = m_jobs.find(it->second)->second;
        count += job.waitsForBetter ? 0 : job.waiting;
    }
    return count;
}

// Jobs whose waiting tasks all wait by choice, as of the last pass. They need no capacity that others could take.
std::size_t FleetDispatcher::countWaitingByChoice() const
{
    const std::uint64_t ended =
            m_counters.betterWaitsPaid + m_counters.betterWaitsExpired + m_counters.betterWaitsEndedEarly;
    if (m_counters.betterWaits == ended)
        return 0;
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &entry) {
        return m_jobs.find(entry.second)->second.waitsForBetter;
    }));
}

} // namespace clementinelift::command
