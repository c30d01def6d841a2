// Writes the JSON of GET /status, /readyz and /v1/config (docs/protocols.md, section 2).
#pragma once

#include "core/dispatcher.h"
#include "net/http_server.h"

namespace clementinelift::dispatcher {

// State of the process that the core does not hold.
struct ProcessInfo
{
    std::string_view version;
    const core::NodeInfo &self;
    std::int64_t ownershipNext = 0; // offset in the log
    std::int64_t wallMs = 0;
};

net::HttpAnswer makeReadyAnswer(const core::Dispatcher &core);
net::HttpAnswer makeStatusAnswer(const core::Dispatcher &core, const ProcessInfo &process);
net::HttpAnswer makeConfigAnswer(const core::Configuration &configuration);

} // namespace clementinelift::dispatcher
