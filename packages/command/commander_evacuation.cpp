// Backend servers of evacuated zones, and backend servers that are cold after an evacuation or a start.
#include "command/commander.h"

#include <algorithm>
#include <utility>

namespace clementinelift::command {

void Commander::setEvacuatedZones(TimeUs now, const std::vector<std::string> &zones, std::vector<RunEndNotice> &ended)
{
    m_evacuatedZones = zones;
    ++m_capacityVersion;
    for (Server &server : m_servers) {
        const bool isEvacuated = std::find(zones.begin(), zones.end(), server.entry.zone) != zones.end();
        if (std::exchange(server.isEvacuated, isEvacuated) && !isEvacuated)
            server.coldStart.takeBack(now);
        if (isEvacuated)
            dropHeldStarts(now, server, ended); // other backend servers take these tasks
    }
}

bool Commander::setMayStart(bool mayStart)
{
    const bool isChange = std::exchange(m_mayStart, mayStart) != mayStart;
    m_capacityVersion += isChange ? 1 : 0;
    return isChange;
}

void Commander::setColdLimits(std::span<const Service> services)
{
    m_coldLimits.clear();
    for (const Service &service : services) {
        if (service.coldPerS > 0 || service.coldStartUs > 0)
            m_coldLimits[service.name] = service;
    }
}

void Commander::setEntry(TimeUs now, Server &server, const ServerEntry &entry, std::vector<RunEndNotice> &ended)
{
    server.entry = entry;
    const auto limits = m_coldLimits.find(entry.service);
    const bool isBounded = limits != m_coldLimits.end() && limits->second.coldStartUs > 0;
    server.coldStart.setRemaining(
            now, isBounded ? std::min(entry.coldRemainingUs, limits->second.coldStartUs) : entry.coldRemainingUs);
    server.isEvacuated =
            std::find(m_evacuatedZones.begin(), m_evacuatedZones.end(), entry.zone) != m_evacuatedZones.end();
    if (server.isEvacuated)
        dropHeldStarts(now, server, ended);
}

double Commander::coldLimit(const Server &server) const
{
    const auto limits = m_coldLimits.find(server.entry.service);
    return limits == m_coldLimits.end() ? 0 : limits->second.coldPerS;
}

std::uint32_t Commander::startsLeft(const Server &server, TimeUs now) const
{
    if (!server.coldStart.isCold(now))
        return unlimitedStarts;
    return server.coldStart.startsLeft(now, coldLimit(server), server.entry.capacity.milliCores);
}

// The limits of cold backend servers change with time.
void Commander::updateColdServers(TimeUs now)
{
    const bool hasCold = std::any_of(m_servers.begin(), m_servers.end(), [&](const Server &server) {
        return server.stage != Stage::Foreign && server.listed && startsLeft(server, now) != unlimitedStarts;
    });
    if (std::exchange(m_hasColdServers, hasCold) || hasCold)
        ++m_capacityVersion;
}

bool Commander::fitsOutsideEvacuation(const Resources &taskResources, std::string_view service) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const Server &server) {
        return server.listed && !server.isEvacuated && server.entry.service == service
                && taskResources.fitsInto(server.entry.capacity);
    });
}

Commander::ZoneRuns Commander::zoneRuns(std::string_view zone) const
{
    ZoneRuns sum;
    for (const Server &server : m_servers) {
        if (server.entry.zone != zone)
            continue;
        sum.listed += server.listed ? 1 : 0;
        if (server.stage == Stage::Foreign)
            continue;
        ++sum.commanded;
        sum.unknown += server.stage != Stage::Usable ? 1 : 0;
        sum.runs += server.runs.size();
    }
    return sum;
}

} // namespace clementinelift::command
