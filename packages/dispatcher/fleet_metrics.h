// Writes counters and histograms of the command core and its clients in the Prometheus text format.
#pragma once

#include "command/fleet_dispatcher.h"
#include "dispatcher/request_limits.h"
#include "net/http_client.h"
#include "platform/order_client.h"
#include "platform/store_client.h"

namespace clementinelift::dispatcher {

std::string writeFleetMetrics(const command::FleetDispatcher &core, const platform::StoreCounters &store,
                              const platform::OrderCounters &orders, const net::HttpClient &http,
                              std::uint64_t badFrames, std::span<const ServerUsage> servers,
                              const net::PeerLinkCounters &links);

} // namespace clementinelift::dispatcher
