// Evacuations of availability zones: their effect on placing, admission and reports.
#include "command/fleet_dispatcher.h"

#include "command/text.h"

#include <algorithm>

namespace clementinelift::command {

void FleetDispatcher::on(EvacuationRead &event)
{
    onEvacuationChanges(m_evacuations.apply(m_now, event), "store");
}

void FleetDispatcher::on(EvacuationsKnown &event)
{
    const bool wasKnown = m_evacuations.isKnown();
    onEvacuationChanges(m_evacuations.complete(event.offset, event.zones, event.hasUnreadableKeys), "store");
    if (!wasKnown)
        logLine(false, "config",
                concat("evacuations read offset=", event.offset, " zones=", m_evacuations.inForce().size()));
}

void FleetDispatcher::on(EvacuationsConfirmed &event)
{
    m_evacuations.confirm(event.asOf);
    updateMayStart();
}

// Reports that have waited since before a pause, and are handled right after it, do not confirm the state.
void FleetDispatcher::mergeEvacuations(const std::string &node, CapacityReport &message)
{
    if (message.evacuations)
        onEvacuationChanges(m_evacuations.merge(m_now, *message.evacuations), node);
    if (message.knowsEvacuations && m_now >= m_noStartsUntil) {
        m_evacuations.confirm(m_now);
        updateMayStart();
    }
}

void FleetDispatcher::reportEvacuations(Peer &peer, CapacityReport &report) const
{
    report.knowsEvacuations = m_evacuations.isCurrent();
    if (!m_evacuations.isKnown() || peer.reportedEvacuations == m_evacuations.version())
        return;
    peer.reportedEvacuations = m_evacuations.version();
    report.evacuations = m_evacuations.state();
}

void FleetDispatcher::onEvacuationChanges(const Evacuations::Changes &changes, std::string_view source)
{
    updateMayStart();
    if (changes.empty())
        return;
    for (const ZoneEvacuation &change : changes) {
        m_emptyZones.erase(change.zone);
        m_unknownZones.erase(change.zone);
        logLine(false, "config",
                concat(change.requested ? "evacuation requested zone=" : "evacuation withdrawn zone=", change.zone,
                       " offset=", change.offset, " source=", source,
                       " runs=", m_commander.zoneRuns(change.zone).runs));
    }
    std::vector<std::string> zones;
    for (const Evacuations::InForce &zone : m_evacuations.inForce())
        zones.push_back(zone.zone);
    m_commander.setEvacuatedZones(m_now, zones, m_ended);
    m_dispatchNeeded = true;
}

// After a pause a request may have been made that this entry VM has not read yet.
void FleetDispatcher::updateMayStart()
{
    const bool mayStart = m_evacuations.mayStart(m_now);
    if (!m_commander.setMayStart(mayStart) || !m_commands)
        return;
    if (!mayStart)
        logLine(true, "config", "starts wait for the state of evacuations after a pause");
    else if (m_heldSince != never)
        logLine(false, "config",
                concat("starts no longer wait for the state of evacuations confirmed=",
                       m_evacuations.isCurrent() ? 1 : 0, " after_ms=", (m_now - m_heldSince) / usPerMs));
    m_heldSince = mayStart ? never : m_now;
    m_dispatchNeeded = true;
}

// Whether the tasks of the job fit only backend servers of evacuated zones.
bool FleetDispatcher::isCapacityEvacuated(const Job &job) const
{
    return m_evacuations.hasAny() && m_serversKnown && m_commander.hasServers(job.service)
            && !m_commander.fitsOutsideEvacuation(job.taskResources, job.service);
}

// Of a job that was submitted before, tasks may have run.
void FleetDispatcher::endEvacuatedJob(Job &job)
{
    if (job.mayHaveRun)
        giveUpJob(job, zoneEvacuated, evacuatedRetryAfterUs);
    else
        refuseJob(job, zoneEvacuated, evacuatedRetryAfterUs);
}

// Logs each zone once that has no backend server, and once that has no runs left here.
void FleetDispatcher::checkEvacuations()
{
    if (!m_evacuations.hasAny() || !m_serversKnown)
        return;
    for (const Evacuations::InForce &zone : m_evacuations.inForce()) {
        const Commander::ZoneRuns runs = m_commander.zoneRuns(zone.zone);
        if (runs.listed > 0)
            m_unknownZones.erase(zone.zone);
        else if (m_commands && m_unknownZones.insert(zone.zone).second)
            logLine(true, "config", concat("evacuated zone has no backend server zone=", zone.zone));
        if (runs.commanded == 0 || runs.runs > 0 || runs.unknown > 0)
            m_emptyZones.erase(zone.zone);
        else if (m_emptyZones.insert(zone.zone).second)
            logLine(false, "config",
                    concat("evacuated zone is empty zone=", zone.zone, " servers=", runs.commanded,
                           " after_ms=", (m_now - zone.since) / usPerMs));
    }
}

} // namespace clementinelift::command
