// Writes the counters of the process in the Prometheus text format.
#pragma once

#include "core/dispatcher.h"
#include "net/http_server.h"
#include "net/peer_link.h"

#include <absl/container/flat_hash_map.h>

namespace clementinelift::dispatcher {

struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

// Totals that the process counts in addition to those of the core.
struct ProcessCounters
{
    absl::flat_hash_map<std::string_view, Traffic> peerSent;     // by message type
    absl::flat_hash_map<std::string_view, Traffic> peerReceived; // by message type
    std::uint64_t peerUndecodable = 0;                           // dropped messages
    std::uint64_t platformBytes = 0;                             // log service and VM list, both directions
    std::uint64_t backendControlBytes = 0;                       // stops, queries and probes
    std::uint64_t vmListFailures = 0;
    std::uint64_t logFailures = 0;           // failed reads
    std::uint64_t logUndecodableRecords = 0; // skipped
    std::uint64_t appendsAppended = 0;
    std::uint64_t appendsRefused = 0;
    std::uint64_t appendsUnknown = 0;
    std::uint64_t badRequests = 0;  // of callers, answered with 4xx
    std::uint64_t callersGone = 0;  // disconnected before the answer
    std::int64_t ownershipNext = 0; // offset in the log
    double controlCpuS = 0;         // of the control thread
    double processCpuS = 0;
};

std::string writeMetrics(const core::Dispatcher &core, const net::PeerLinkCounters &links,
                         const net::RequestUsage &requests, const ProcessCounters &process, std::int64_t wallMs);

} // namespace clementinelift::dispatcher
