// Parameters of templates and organisations, and settings of one core. Values are checked before use; members have
// their defaults.
#pragma once

#include "core/types.h"

#include <tl/expected.hpp>

#include <variant>

namespace clementinelift::core {

struct TemplateParameters
{
    Repeat repeat = Repeat::Never;
    std::int64_t deadlineMs = 10000; // longest and default deadline of a job
    std::uint32_t runMs = 200;       // declared run time of a task
    std::uint32_t maxTasks = 310;    // tasks of a job
    float cores = 1;                 // declared cores of a task
    std::uint32_t memoryMb = 256;    // declared memory of a task, MiB
    std::uint32_t priority = 4;      // 0 (first) .. 9 (last)
};

struct OrganisationParameters
{
    std::uint32_t concurrency = 400;           // tasks running at once over all entry VMs
    double ratePerS = 10000;                   // task starts a second over all entry VMs
    double weight = 1;                         // relative share in fair scheduling
    std::uint32_t priority = 4;                // 0 (first) .. 9 (last)
    double retryBudgetPercent = 10;            // retries per 100 first attempts
    double responseWeight = 0.5;               // 1: favour response time, 0: favour fewer messages
    std::vector<std::string> allowedTemplates; // empty: all
};

// One problem in a settings file or configuration entry.
struct Finding
{
    std::string file;    // or entry name
    int line = 0;        // 1-based, 0: whole text
    std::string field;   // "section.name"
    std::string message; // what is wrong and what is allowed
    bool isWarning = false;
};
using Findings = std::vector<Finding>;

using ParsedEntry = std::variant<TemplateParameters, OrganisationParameters>;

// Parses the INI text of one configuration entry; name is "template/NAME" or "organisation/NAME".
using ParseEntry = tl::expected<ParsedEntry, Findings> (*)(std::string_view name, std::string_view text);

// Settings of one core. All times are bounded by the defaults' order of magnitude, see docs/OPERATIONS.md.
struct CoreSettings
{
    NodeInfo self;                   // incarnation is set by the embedding process
    std::vector<NodeInfo> seeds;     // entry VMs known from the settings
    std::uint64_t seed = 1;          // of all random numbers in the core
    ParseEntry parseEntry = nullptr; // must be set

    std::int64_t grantAheadMs = 30000;         // grants reach this far past the wall clock
    std::int64_t grantExtendMs = 5000;         // time between extensions
    std::int64_t dedupeHorizonMs = 600000;     // issue time kept below the largest granted one
    std::int64_t maxProgressStepMs = 120000;   // a grant may reach at most this far past the record time
    std::int64_t futureSkewMs = 5000;          // keys further in the future are rejected
    std::uint32_t maxRememberedKeys = 2000000; // entries in the dedupe table
    std::uint64_t maxAnswerBytes = 256u << 20; // bytes of stored answers
    std::int64_t drainLingerMs = 2000;         // answers are served this long after the last job ended

    std::uint32_t maxQueuedTasks = 20000;   // queue bound of this entry VM
    std::uint64_t maxJobBytes = 256u << 20; // of the jobs in progress and of the submissions that are forwarded
    std::int64_t probeIntervalMs = 500;     // duration of a membership round
    std::int64_t suspectMs = 2000;          // a suspect entry VM is dead after this time
    std::int64_t reportIntervalMs = 200;    // reports of free capacity and demand to peers
    std::int64_t forwardTimeoutMs = 1000;   // a forward without an answer is sent again after this time
    std::uint32_t snapshotEvery = 1000;     // config records between snapshots
    std::int64_t logRetentionMs = 3600000;  // records are kept at least this long
    std::uint32_t traceJobs = 4096;         // jobs kept for explain
};

} // namespace clementinelift::core
