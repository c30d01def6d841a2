// Settings of one entry VM: an INI file, read once at the start of the process.
//
// Contents
//   ProcessSettings   checked values with defaults
//   Reading           from a file or a string, all findings in one report
//
// Sections of the file: [node], [peers], [platform], [limits], [timing], [log], [tool]. examples/ has annotated files.
#pragma once

#include "core/parameters.h"
#include "net/request_budget.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace clementinelift::config {

// ProcessSettings -----------------------------------------------------------------------------------

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

struct ProcessSettings
{
    // Identity, seeds, limits, times and parseEntry. The process sets the incarnation and the random seed.
    core::CoreSettings core;

    std::string callerAddress; // ip:port of the HTTP server for callers and operators
    std::string peerAddress;   // ip:port of the peer links; equal to core.self.address
    std::string peerSecret;    // shared by all entry VMs, sent in the hello message
    std::string logServiceUrl; // http://ip:port, without trailing slash
    std::string vmListUrl;     // http://ip:port, without trailing slash

    std::uint64_t maxBodyBytes = 8u << 20;    // of one HTTP request
    std::uint32_t maxHeaderBytes = 16u << 10; // of one HTTP request
    std::uint32_t maxTasks = 310;             // of one job; upper limit for every template
    std::uint32_t maxFrameBytes = 16u << 20;  // of one message on a peer link

    // Limits on all requests of callers together. The size of the machine is unknown unless it is given.
    net::RequestSettings requests{.memoryMb = 0, .maxFds = 0, .maxConnections = 4096, .maxDiscardBytes = 8u << 20};

    LogLevel logLevel = LogLevel::Info;
    std::uint32_t ioThreads = 2;         // of the HTTP server
    std::int64_t vmListIntervalMs = 500; // interval at which the VM list is read

    std::vector<core::NodeInfo> entryVms; // names and caller addresses, used by clementinelift-ctl
};

// Reading -------------------------------------------------------------------------------------------

// Findings contain the path, the line and "section.field". An unreadable file gives one finding without a line.
tl::expected<ProcessSettings, core::Findings> readSettings(const std::string &path);

// fileName is used only in findings.
tl::expected<ProcessSettings, core::Findings> parseSettings(std::string_view fileName, std::string_view text);

} // namespace clementinelift::config
