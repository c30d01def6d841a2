// Limits on requests of the servers of a process: from settings to servers, and from their counters to metrics and log.
#pragma once

#include "command/fleet_dispatcher.h"
#include "dispatcher/metric_families.h"
#include "net/http_server.h"
#include "net/peer_link.h"

#include <map>
#include <span>

namespace clementinelift::dispatcher {

// Sets the limits of the server for callers; maxBodyBytes and maxHeaderBytes must be set.
void limitCallerServer(net::HttpServerSettings &server, const net::RequestSettings &settings);

// The same for a server for probes (readiness, metrics).
void limitProbeServer(net::HttpServerSettings &server, const net::RequestSettings &settings);

// Sets the limits on jobs, starts and runs.
void limitJobs(command::FleetSettings &fleet, const net::RequestSettings &settings);

struct ServerUsage
{
    std::string_view name;
    net::RequestUsage usage;
};

// Metrics with the labels server and reason.
void addRequestLimits(Families &families, std::span<const ServerUsage> servers);
void addRefusedLinks(Families &families, const net::PeerLinkCounters &links);

// Writes at most one line for each server in ten seconds, and only after a limit took effect.
class LimitReporter
{
public:
    bool isDue(std::int64_t nowMs) const { return nowMs >= m_nextMs; }
    void report(std::int64_t nowMs, std::span<const ServerUsage> servers);

private:
    std::int64_t m_nextMs = 0;
    std::map<std::string_view, net::LimitCounters> m_reported;
};

} // namespace clementinelift::dispatcher
