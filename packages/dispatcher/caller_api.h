// Paths of docs/protocols.md, sections 1 and 2: from an HTTP request to an event of the core or an answer.
#pragma once

#include "core/events.h"
#include "net/codec.h"

namespace clementinelift::dispatcher {

// Requests that need the state of the process.
enum class AdminRequest : std::uint8_t { Ready, Status, Metrics, Config, Drain };

struct ApiLimits
{
    std::uint32_t maxTasks = 310; // of one job
};

// An event for the core, a request for the process, or the answer to a bad or trivial request.
using RoutedRequest = std::variant<core::Event, AdminRequest, net::HttpAnswer>;

// Thread-safe. Takes the request apart completely; nothing of it is checked again later.
RoutedRequest routeRequest(core::CallerId caller, net::HttpRequest &&request, const ApiLimits &limits);

} // namespace clementinelift::dispatcher
