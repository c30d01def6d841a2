#include "config/settings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstring>

using namespace clementinelift;
using namespace clementinelift::config;

namespace {

constexpr const char *required = "[node]\nname = e-1\nzone = z1\ncaller_address = 127.0.0.1:7001\n"
                                 "peer_address = 127.0.0.1:7101\n[peers]\nsecret = 0123456789abcdef\n"
                                 "[platform]\nlog_url = http://127.0.0.1:8001/\nvm_list_url = http://127.0.0.1:8002\n";
constexpr int requiredLines = 10;

struct BadLine
{
    const char *text; // appended to the required fields; the finding is in the last line
    const char *field;
};

} // namespace

// Guards against a setting that is accepted but not applied.
TEST_CASE("every setting is read")
{
    const auto settings = parseSettings(
            "s.ini",
            "[node]\nname = e-1\nzone = z1\ncaller_address = 127.0.0.1:7001\npeer_address = [::1]:7101\nio_threads = "
            "3\n"
            "[peers]\nsecret = 0123456789abcdef\nseeds = e-2@127.0.0.1:7102/z2, e-3@127.0.0.1:7103\n"
            "[platform]\nlog_url = http://127.0.0.1:8001/\nvm_list_url = http://127.0.0.1:8002\nvm_list_interval_ms = "
            "250\n"
            "[limits]\nmax_body_bytes = 2048\nmax_header_bytes = 2049\nmax_connections = 5\nmax_tasks = 6\n"
            "max_frame_bytes = 6000000\nmax_queued_tasks = 7\nmax_remembered_keys = 8\nmax_answer_bytes = 1048577\n"
            "trace_jobs = 9\nsnapshot_every = 10\n"
            "memory_mb = 120\nmax_fds = 1024\nrequest_memory_mb = 40\njob_memory_mb = 30\nidle_timeout_ms = 2000\n"
            "max_discard_bytes = 11\nunread_answer_ms = 12\nunread_answer_bytes = 1025\nmax_pending_links = 13\n"
            "[timing]\ngrant_ahead_ms = 9000\ngrant_extend_ms = 1001\ndedupe_horizon_ms = 20000\n"
            "max_progress_step_ms = 9501\nfuture_skew_ms = 1002\ndrain_linger_ms = 1003\nprobe_interval_ms = 104\n"
            "suspect_ms = 1005\nreport_interval_ms = 106\nforward_timeout_ms = 107\nlog_retention_ms = 60002\n"
            "[log]\nlevel = debug\n[tool]\nentry_vms = e-1@127.0.0.1:7001\n");
    REQUIRE(settings);
    CHECK(settings->core.self.name == "e-1");
    CHECK(settings->core.self.zone == "z1");
    CHECK(settings->core.self.address == "[::1]:7101");
    CHECK(settings->callerAddress == "127.0.0.1:7001");
    CHECK(settings->peerAddress == "[::1]:7101");
    CHECK(settings->ioThreads == 3);
    CHECK(settings->peerSecret == "0123456789abcdef");
    REQUIRE(settings->core.seeds.size() == 2);
    CHECK(settings->core.seeds[0].name == "e-2");
    CHECK(settings->core.seeds[0].address == "127.0.0.1:7102");
    CHECK(settings->core.seeds[0].zone == "z2");
    CHECK(settings->core.seeds[1].zone.empty());
    CHECK(settings->logServiceUrl == "http://127.0.0.1:8001");
    CHECK(settings->vmListUrl == "http://127.0.0.1:8002");
    CHECK(settings->vmListIntervalMs == 250);
    CHECK(settings->maxBodyBytes == 2048);
    CHECK(settings->maxHeaderBytes == 2049);
    CHECK(settings->requests == net::RequestSettings{120, 1024, 40, 30, 5, 2000, 11, 12, 1025, 13});
    CHECK(settings->maxTasks == 6);
    CHECK(settings->maxFrameBytes == 6000000);
    CHECK(settings->core.maxQueuedTasks == 7);
    CHECK(settings->core.maxRememberedKeys == 8);
    CHECK(settings->core.maxAnswerBytes == 1048577);
    CHECK(settings->core.traceJobs == 9);
    CHECK(settings->core.snapshotEvery == 10);
    CHECK(settings->core.grantAheadMs == 9000);
    CHECK(settings->core.grantExtendMs == 1001);
    CHECK(settings->core.dedupeHorizonMs == 20000);
    CHECK(settings->core.maxProgressStepMs == 9501);
    CHECK(settings->core.futureSkewMs == 1002);
    CHECK(settings->core.drainLingerMs == 1003);
    CHECK(settings->core.probeIntervalMs == 104);
    CHECK(settings->core.suspectMs == 1005);
    CHECK(settings->core.reportIntervalMs == 106);
    CHECK(settings->core.forwardTimeoutMs == 107);
    CHECK(settings->core.logRetentionMs == 60002);
    CHECK(settings->core.parseEntry != nullptr);
    CHECK(settings->logLevel == LogLevel::Debug);
    CHECK(settings->entryVms.at(0).address == "127.0.0.1:7001");
}

// Guards against what is kept for callers beyond the memory of a small machine.
TEST_CASE("limits on what is kept for callers follow from the memory")
{
    constexpr std::uint64_t mib = 1u << 20;
    const auto unknown = parseSettings("s.ini", required);
    REQUIRE(unknown);
    CHECK(unknown->core.maxJobBytes == 256 * mib);
    CHECK(unknown->core.maxAnswerBytes == 256 * mib);
    CHECK(unknown->core.maxRememberedKeys == 2000000);
    const auto derived = parseSettings("s.ini", required + std::string("\n[limits]\nmemory_mb = 400\n"));
    REQUIRE(derived);
    CHECK(derived->core.maxJobBytes == 100 * mib);
    CHECK(derived->core.maxAnswerBytes == 50 * mib);
    CHECK(derived->core.maxRememberedKeys == 819200);
    const auto given = parseSettings("s.ini",
                                     required
                                             + std::string("\n[limits]\nmemory_mb = 400\njob_memory_mb = 60\n"
                                                           "max_answer_bytes = 1048577\nmax_remembered_keys = 8\n"));
    REQUIRE(given);
    CHECK(given->core.maxJobBytes == 60 * mib);
    CHECK(given->core.maxAnswerBytes == 1048577);
    CHECK(given->core.maxRememberedKeys == 8);
    // A job in the largest body fits a quarter of the memory for jobs.
    const auto small = parseSettings("s.ini", required + std::string("\n[limits]\nmemory_mb = 120\n"));
    REQUIRE(small);
    CHECK(small->core.maxJobBytes == 5 * small->maxBodyBytes);
}

// Guards against a process that starts without its name, addresses, peer secret or platform URLs.
TEST_CASE("missing required settings are all reported")
{
    const auto settings = parseSettings("s.ini", "");
    REQUIRE_FALSE(settings);
    std::vector<std::string> fields;
    for (const core::Finding &finding : settings.error())
        fields.push_back(finding.field);
    CHECK(fields
          == std::vector<std::string>{"node.name", "node.zone", "node.caller_address", "node.peer_address",
                                      "peers.secret", "platform.log_url", "platform.vm_list_url"});
    CHECK(parseSettings("s.ini", required));
}

// Guards against invalid values that are dropped or clamped without a finding.
TEST_CASE("every bad setting is a finding in its line")
{
    const BadLine line = GENERATE(values<BadLine>({
            {"[limits]\nmax_body_bytes = 1023", "limits.max_body_bytes"},
            {"[limits]\nmax_body_bytes = 8 MB", "limits.max_body_bytes"},
            {"[limits]\nmax_body_bytes = 16777216", "limits.max_body_bytes"},
            {"[limits]\nmax_frame_bytes = 5000000", "limits.max_frame_bytes"},
            {"[limits]\nmax_body_bytes = 1024\nmax_frame_bytes = 5242879", "limits.max_frame_bytes"},
            {"[limits]\nmax_header_bytes = 0", "limits.max_header_bytes"},
            {"[limits]\nmax_connections = 0", "limits.max_connections"},
            {"[limits]\nmax_tasks = 10001", "limits.max_tasks"},
            {"[limits]\nmax_queued_tasks = 0", "limits.max_queued_tasks"},
            {"[limits]\nmax_remembered_keys = 0", "limits.max_remembered_keys"},
            {"[limits]\nmax_answer_bytes = 1", "limits.max_answer_bytes"},
            {"[limits]\ntrace_jobs = -1", "limits.trace_jobs"},
            {"[limits]\nsnapshot_every = 0", "limits.snapshot_every"},
            {"[timing]\ngrant_ahead_ms = 999", "timing.grant_ahead_ms"},
            {"[timing]\ngrant_extend_ms = 16000", "timing.grant_extend_ms"},
            {"[timing]\ndedupe_horizon_ms = 1800001", "timing.dedupe_horizon_ms"},
            {"[timing]\ndedupe_horizon_ms = 20000", "timing.dedupe_horizon_ms"},
            {"[timing]\nmax_progress_step_ms = 1", "timing.max_progress_step_ms"},
            {"[timing]\nmax_progress_step_ms = 30000", "timing.max_progress_step_ms"},
            {"[timing]\nmax_progress_step_ms = 400000", "timing.max_progress_step_ms"},
            {"[timing]\nfuture_skew_ms = 40000", "timing.future_skew_ms"},
            {"[timing]\ndrain_linger_ms = -1", "timing.drain_linger_ms"},
            {"[timing]\nprobe_interval_ms = 3000", "timing.probe_interval_ms"},
            {"[timing]\nsuspect_ms = 99", "timing.suspect_ms"},
            {"[timing]\nreport_interval_ms = 1", "timing.report_interval_ms"},
            {"[timing]\nforward_timeout_ms = 1", "timing.forward_timeout_ms"},
            {"[timing]\nlog_retention_ms = 60000", "timing.log_retention_ms"},
            {"[log]\nlevel = loud", "log.level"},
            {"[tool]\nentry_vms = 127.0.0.1:1", "tool.entry_vms"},
            {"[tool]\nentry_vms = a@127.0.0.1:1, a@127.0.0.1:2", "tool.entry_vms"},
            {"[tool]\nentry_vms = a@127.0.0.1:1/", "tool.entry_vms"},
            {"[tool]\nunknown = 1", "tool.unknown"},
            {"[unknown]", "unknown"},
            {"[node]", "node"},
    }));
    CAPTURE(line.text);
    const std::string text = std::string(required) + line.text;
    const auto settings = parseSettings("s.ini", text);
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error().size() == 1);
    CHECK(settings.error()[0].file == "s.ini");
    CHECK(settings.error()[0].line
          == requiredLines + 1 + std::count(line.text, line.text + std::strlen(line.text), '\n'));
    CHECK(settings.error()[0].field == line.field);
}

// Guards against addresses that fail only when the process binds or connects.
TEST_CASE("bad identity, addresses and URLs are findings")
{
    const auto settings =
            parseSettings("s.ini",
                          "[node]\nname = e 1\nzone =\ncaller_address = localhost:1\npeer_address = 127.0.0.1:70000\n"
                          "io_threads = 0\n[peers]\nsecret = short\n[platform]\nlog_url = https://127.0.0.1:1\n"
                          "vm_list_url = http://127.0.0.1\nvm_list_interval_ms = 0\n");
    REQUIRE_FALSE(settings);
    std::vector<int> lines;
    for (const core::Finding &finding : settings.error())
        lines.push_back(finding.line);
    CHECK(lines == std::vector<int>{2, 3, 4, 5, 6, 8, 10, 11, 12});

    std::string same = required;
    same.replace(same.find(":7101"), 5, ":7001");
    const auto equal = parseSettings("s.ini", same);
    REQUIRE_FALSE(equal);
    CHECK(equal.error().at(0).line == 5);
}

// Guards against a missing file that is parsed as an empty text, which reports every required field.
TEST_CASE("an unreadable settings file is one finding")
{
    const auto settings = readSettings("does/not/exist.ini");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().size() == 1);
}
