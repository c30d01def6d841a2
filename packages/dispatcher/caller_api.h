// Routes HTTP requests (docs/protocols.md, sections 1 and 2) to events of the core or to answers.
#pragma once

#include "core/events.h"
#include "net/codec.h"

namespace clementinelift::dispatcher {

// Requests that are answered from the state of the process.
enum class AdminRequest : std::uint8_t { Ready, Status, Metrics, Config, Drain };

struct ApiLimits
{
    std::uint32_t maxTasks = 310; // per job
};

// An event for the core, a request for the process, or the immediate answer to an invalid or trivial request.
using RoutedRequest = std::variant<core::Event, AdminRequest, net::HttpAnswer>;

// Thread-safe. Parses and validates the whole request; later stages do not validate again.
RoutedRequest routeRequest(core::CallerId caller, net::HttpRequest &&request, const ApiLimits &limits);

} // namespace clementinelift::dispatcher
