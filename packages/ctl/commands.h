// The commands of clementinelift-ctl.
//
// Contents
//   ExitCode   exit code of the process, documented in docs/OPERATIONS.md
//   Options    the parsed command line
//   run()      runs one command
#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace clementinelift::ctl {

// ExitCode ------------------------------------------------------------------------------------------

enum class ExitCode : std::uint8_t {
    Success = 0,
    Findings = 1,             // the input is not valid, nothing was sent
    Usage = 2,                // invalid command line
    Conflict = 3,             // an entry was changed since the base version
    Unavailable = 4,          // log service or VM list is unavailable, nothing was changed
    Uncertain = 5,            // the change may be in the log
    NotInForceEverywhere = 6, // accepted, but not every live entry VM has reported that the change is in force
    EntryVmFailure = 7,       // an entry VM could not be reached or refused the request
    Differences = 8,          // diff: an entry differs from the accepted one
    Warnings = 9,             // check: the input is valid, but a part of it has no effect or contradicts another part
};

// Options -------------------------------------------------------------------------------------------

enum class Command : std::uint8_t { Check, Diff, Publish, Show, History, Status, Drain, Keys, Explain };

struct Options
{
    Command command = Command::Check;
    std::vector<std::string> files;
    std::vector<std::string> names; // entries to show or to delete, entry VMs to drain
    std::string settingsPath;
    std::vector<std::string> metrics; // of status: metrics addresses of entry VMs on the platform
    bool checkSettings = false;       // of check: --config was given
    bool json = false;
    bool wait = true;                    // of publish
    std::string author;                  // of publish
    std::optional<std::int64_t> basedOn; // of publish: offset that the change is based on
    std::int64_t timeoutMs = 0;          // of check, diff, publish, show and history
    std::size_t limit = 0;               // of history
    std::string organisation;            // of keys and explain
    std::string key;                     // of explain
    std::string issuedAt;                // of explain: issue time, for keys that were built from an id of the caller
    std::uint32_t count = 1;             // of keys

    // Of check and diff with a configuration of the platform.
    std::string storeAddress;                  // ip:port of the store with the version in force; empty: not read
    std::string againstFile;                   // file with the version in force; empty: not read
    std::vector<std::string> registryFiles;    // pages of the registry of backend servers
    std::optional<std::int64_t> entryMemoryMb; // of the smallest entry VM
    std::vector<std::string> jobs;             // ROUTE,TASKS,CPU,MEMMB,ESTIMATEMS
};

// run() ---------------------------------------------------------------------------------------------

// Writes the result to out, as one JSON document if options.json is set. Warnings and errors go to err.
ExitCode run(const Options &options, std::ostream &out, std::ostream &err);

} // namespace clementinelift::ctl
