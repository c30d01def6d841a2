#include "config/settings.h"

#include "config/entries.h"
#include "config/ini_reader.h"
#include "core/job_memory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include <arpa/inet.h>

namespace clementinelift::config {

namespace {

constexpr std::array<std::string_view, 7> sectionNames = {"node",   "peers", "platform", "limits",
                                                          "timing", "log",   "tool"};
constexpr std::array<std::string_view, 4> logLevelNames = {"debug", "info", "warning", "error"};

constexpr std::size_t maxNameBytes = 64;    // of entry VMs and availability zones
constexpr std::size_t minSecretBytes = 16;  // shorter secrets are easy to guess
constexpr std::size_t maxSecretBytes = 256; // the secret must fit into a hello frame
constexpr std::size_t maxUrlBytes = 512;
constexpr std::string_view addressFormat = "ip:port, for example 10.0.1.7:7100";
constexpr std::string_view urlFormat = "http://ip:port without a path, for example http://10.0.1.3:8080";
constexpr std::string_view nodesFormat = "a list of NAME@IP:PORT or NAME@IP:PORT/ZONE, separated by commas";

constexpr std::int64_t msPerS = 1000;
constexpr std::int64_t msPerMinute = 60 * msPerS;
constexpr std::int64_t msPerHour = 60 * msPerMinute;
constexpr std::int64_t msPerDay = 24 * msPerHour;
constexpr std::uint64_t kib = 1024;
constexpr std::uint64_t mib = 1024 * kib;
constexpr std::uint64_t gib = 1024 * mib;

// A peer message must hold a snapshot of the largest configuration.
constexpr std::uint32_t minFrameBytes = core::Configuration::stateByteLimit + mib;

// Reserved in a forwarded submission for everything besides the request body.
constexpr std::uint64_t forwardOverheadBytes = 64 * kib;

// The smallest memory for jobs, in bodies of the largest size.
constexpr std::uint64_t jobsOfLargestBody = core::JobMemory::freeMemoryDivisor + 1;
constexpr std::uint64_t keptDivisor = 8;  // share of the memory for answers, and for keys
constexpr std::uint64_t bytesPerKey = 64; // in the dedupe table, which is at most half empty

bool isName(std::string_view text)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
                || c == '.';
    };
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), isAllowed);
}

// IPv4 "a.b.c.d:port" or IPv6 "[...]:port"; port 1 .. 65535.
bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::uint32_t port = 0;
    if (!detail::parseNumber(text.substr(colon + 1), port) || port < 1 || port > 65535)
        return false;
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.starts_with('[') && host.ends_with(']') && host.size() > 2;
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    in6_addr parsed{};
    return inet_pton(isBracketed ? AF_INET6 : AF_INET, std::string(host).c_str(), &parsed) == 1;
}

void readName(SectionReader &reader, std::string_view field, std::string &target)
{
    const IniField *found = reader.findField(field);
    if (found && !isName(found->value))
        reader.addFinding(*found,
                          absl::StrCat("name must have 1 to ", maxNameBytes, " letters, digits, '-', '_', '.'"));
    else if (found)
        target = found->value;
}

void readAddress(SectionReader &reader, std::string_view field, std::string &target)
{
    const IniField *found = reader.findField(field);
    if (found && !isAddress(found->value))
        reader.addFinding(*found, "address must be " + std::string(addressFormat));
    else if (found)
        target = found->value;
}

void readUrl(SectionReader &reader, std::string_view field, std::string &target)
{
    const IniField *found = reader.findField(field);
    if (!found)
        return;
    constexpr std::string_view scheme = "http://";
    std::string_view url = found->value;
    while (url.ends_with('/'))
        url.remove_suffix(1);
    if (found->value.size() > maxUrlBytes || !url.starts_with(scheme) || !isAddress(url.substr(scheme.size())))
        reader.addFinding(*found, "URL must be " + std::string(urlFormat));
    else
        target = url;
}

void readNodes(SectionReader &reader, std::string_view field, std::vector<core::NodeInfo> &target)
{
    const IniField *found = reader.findField(field);
    if (!found)
        return;
    for (const std::string_view item : splitList(found->value, ',')) {
        const std::size_t at = item.find('@');
        const std::size_t slash = std::min(item.find('/'), item.size());
        core::NodeInfo node;
        bool isValid = at != std::string_view::npos && at < slash;
        if (isValid) {
            node.name = item.substr(0, at);
            node.address = item.substr(at + 1, slash - at - 1);
            node.zone = slash < item.size() ? item.substr(slash + 1) : std::string_view();
            isValid = isName(node.name) && isAddress(node.address) && (slash == item.size() || isName(node.zone));
        }
        const bool isRepeated = std::any_of(target.begin(), target.end(),
                                            [&](const core::NodeInfo &other) { return other.name == node.name; });
        if (!isValid)
            reader.addFinding(
                    *found,
                    absl::StrCat("\"", std::string(item), "\" is not allowed; give ", std::string(nodesFormat)));
        else if (isRepeated)
            reader.addFinding(*found, absl::StrCat("entry VM \"", node.name, "\" occurs more than once"));
        else
            target.push_back(std::move(node));
    }
}

// Sections ------------------------------------------------------------------------------------------

void readNode(SectionReader reader, ProcessSettings &settings)
{
    readName(reader, "name", settings.core.self.name);
    readName(reader, "zone", settings.core.self.zone);
    readAddress(reader, "caller_address", settings.callerAddress);
    readAddress(reader, "peer_address", settings.peerAddress);
    reader.readNumber<std::uint32_t>("io_threads", settings.ioThreads, 1, 64);
    reader.require("name", "the name of this entry VM, unique on the platform");
    reader.require("zone", "the availability zone of this entry VM");
    reader.require("caller_address", addressFormat);
    reader.require("peer_address", addressFormat);
    const IniField *peer = reader.findField("peer_address");
    if (peer && !settings.peerAddress.empty() && settings.peerAddress == settings.callerAddress)
        reader.addFinding(*peer, "peer_address must differ from caller_address");
    settings.core.self.address = settings.peerAddress;
    reader.finish();
}

void readPeers(SectionReader reader, ProcessSettings &settings)
{
    reader.readText("secret", settings.peerSecret, maxSecretBytes);
    const std::string secretFormat = absl::StrCat("a text of ", minSecretBytes, " to ", maxSecretBytes,
                                                  " bytes that all entry VMs of the deployment share");
    reader.require("secret", secretFormat);
    const IniField *secret = reader.findField("secret");
    if (secret && !settings.peerSecret.empty() && settings.peerSecret.size() < minSecretBytes)
        reader.addFinding(*secret, "secret must be " + secretFormat);
    readNodes(reader, "seeds", settings.core.seeds);
    reader.finish();
}

void readPlatform(SectionReader reader, ProcessSettings &settings)
{
    readUrl(reader, "log_url", settings.logServiceUrl);
    readUrl(reader, "vm_list_url", settings.vmListUrl);
    reader.readNumber<std::int64_t>("vm_list_interval_ms", settings.vmListIntervalMs, 50, msPerMinute);
    reader.require("log_url", urlFormat);
    reader.require("vm_list_url", urlFormat);
    reader.finish();
}

// Derives the limits on what is kept for callers from the memory of the machine, unless they are given.
void limitKeptBytes(SectionReader &reader, ProcessSettings &settings)
{
    core::CoreSettings &core = settings.core;
    const std::uint64_t memory = settings.requests.memoryMb * mib;
    if (settings.requests.jobMb > 0)
        core.maxJobBytes = settings.requests.jobMb * mib;
    else if (memory > 0)
        core.maxJobBytes = memory / net::jobMemoryDivisor;
    // One job takes a part of the memory for jobs, and a job within the limits of one request is always served.
    core.maxJobBytes = std::max(core.maxJobBytes, jobsOfLargestBody * settings.maxBodyBytes);
    if (memory == 0)
        return;
    if (!reader.findField("max_answer_bytes"))
        core.maxAnswerBytes = std::min(core.maxAnswerBytes, std::max(memory / keptDivisor, std::uint64_t(mib)));
    if (!reader.findField("max_remembered_keys"))
        core.maxRememberedKeys = static_cast<std::uint32_t>(
                std::min<std::uint64_t>(core.maxRememberedKeys, memory / keptDivisor / bytesPerKey));
}

void readLimits(SectionReader reader, ProcessSettings &settings)
{
    core::CoreSettings &core = settings.core;
    reader.readNumber<std::uint64_t>("max_body_bytes", settings.maxBodyBytes, kib, gib);
    reader.readNumber<std::uint32_t>("max_header_bytes", settings.maxHeaderBytes, kib, mib);
    net::RequestSettings &requests = settings.requests;
    reader.readNumber<std::uint32_t>("max_connections", requests.maxConnections, 1, 1000000);
    reader.readNumber<std::uint32_t>("memory_mb", requests.memoryMb, 0, 1u << 20);
    reader.readNumber<std::uint32_t>("max_fds", requests.maxFds, 0, 1000000);
    reader.readNumber<std::uint32_t>("request_memory_mb", requests.requestMb, 0, 1u << 20);
    reader.readNumber<std::uint32_t>("job_memory_mb", requests.jobMb, 0, 1u << 20);
    reader.readNumber<std::int64_t>("idle_timeout_ms", requests.idleTimeoutMs, msPerS, msPerHour);
    reader.readNumber<std::uint32_t>("max_discard_bytes", requests.maxDiscardBytes, 0, gib);
    reader.readNumber<std::int64_t>("unread_answer_ms", requests.unreadAnswerMs, 0, msPerHour);
    reader.readNumber<std::uint32_t>("unread_answer_bytes", requests.unreadAnswerBytes, kib, gib);
    reader.readNumber<std::uint32_t>("max_pending_links", requests.maxPendingLinks, 1, 1000000);
    reader.readNumber<std::uint32_t>("max_tasks", settings.maxTasks, 1, 10000);
    reader.readNumber<std::uint32_t>("max_frame_bytes", settings.maxFrameBytes, minFrameBytes, gib);
    reader.readNumber<std::uint32_t>("max_queued_tasks", core.maxQueuedTasks, 1, 10000000);
    reader.readNumber<std::uint32_t>("max_remembered_keys", core.maxRememberedKeys, 1, 100000000);
    reader.readNumber<std::uint64_t>("max_answer_bytes", core.maxAnswerBytes, mib, 64 * gib);
    limitKeptBytes(reader, settings);
    reader.readNumber<std::uint32_t>("trace_jobs", core.traceJobs, 0, 1000000);
    reader.readNumber<std::uint32_t>("snapshot_every", core.snapshotEvery, 1, 1000000);
    const IniField *frame = reader.findField("max_frame_bytes");
    // A forwarded submission contains the whole body of a request.
    if (settings.maxFrameBytes < settings.maxBodyBytes + forwardOverheadBytes) {
        const IniField *field = frame ? frame : reader.findField("max_body_bytes");
        if (field)
            reader.addFinding(*field,
                              absl::StrCat("max_frame_bytes must be at least max_body_bytes + 65536, which is ",
                                           settings.maxBodyBytes + forwardOverheadBytes));
    }
    reader.finish();
}

// Adds a finding if a rule between two fields does not hold. The finding is reported for the first field if the file
// contains it, otherwise for the second one; the defaults of both fields comply with the rule.
void checkFieldRelation(SectionReader &reader, bool holds, std::string_view first, std::string_view second,
                        std::string_view rule)
{
    const IniField *found = reader.findField(first);
    if (!found)
        found = reader.findField(second);
    if (!holds && found)
        reader.addFinding(*found, std::string(rule));
}

void readTiming(SectionReader reader, ProcessSettings &settings)
{
    core::CoreSettings &core = settings.core;
    reader.readNumber<std::int64_t>("grant_ahead_ms", core.grantAheadMs, 1 * msPerS, 10 * msPerMinute);
    reader.readNumber<std::int64_t>("grant_extend_ms", core.grantExtendMs, 100, msPerMinute);
    reader.readNumber<std::int64_t>("dedupe_horizon_ms", core.dedupeHorizonMs, 10 * msPerS, msPerDay);
    reader.readNumber<std::int64_t>("max_progress_step_ms", core.maxProgressStepMs, msPerS, msPerDay);
    reader.readNumber<std::int64_t>("future_skew_ms", core.futureSkewMs, 0, msPerMinute);
    reader.readNumber<std::int64_t>("drain_linger_ms", core.drainLingerMs, 0, 10 * msPerMinute);
    reader.readNumber<std::int64_t>("probe_interval_ms", core.probeIntervalMs, 20, 10 * msPerS);
    reader.readNumber<std::int64_t>("suspect_ms", core.suspectMs, 100, msPerMinute);
    reader.readNumber<std::int64_t>("report_interval_ms", core.reportIntervalMs, 10, 10 * msPerS);
    reader.readNumber<std::int64_t>("forward_timeout_ms", core.forwardTimeoutMs, 50, msPerMinute);
    reader.readNumber<std::int64_t>("log_retention_ms", core.logRetentionMs, msPerMinute, 365 * msPerDay);
    checkFieldRelation(reader, 2 * core.grantExtendMs <= core.grantAheadMs, "grant_extend_ms", "grant_ahead_ms",
                       "grant_extend_ms must be at most half of grant_ahead_ms");
    checkFieldRelation(reader, core.futureSkewMs < core.grantAheadMs, "future_skew_ms", "grant_ahead_ms",
                       "future_skew_ms must be below grant_ahead_ms");
    checkFieldRelation(reader, 2 * core.dedupeHorizonMs <= core.logRetentionMs, "dedupe_horizon_ms", "log_retention_ms",
                       "dedupe_horizon_ms must be at most half of log_retention_ms");
    checkFieldRelation(reader, core.grantAheadMs < core.maxProgressStepMs, "max_progress_step_ms", "grant_ahead_ms",
                       "max_progress_step_ms must exceed grant_ahead_ms");
    checkFieldRelation(reader, 2 * core.maxProgressStepMs <= core.dedupeHorizonMs, "max_progress_step_ms",
                       "dedupe_horizon_ms", "max_progress_step_ms must be at most half of dedupe_horizon_ms");
    checkFieldRelation(reader, core.probeIntervalMs <= core.suspectMs, "probe_interval_ms", "suspect_ms",
                       "probe_interval_ms must not exceed suspect_ms");
    reader.finish();
}

void readLog(SectionReader reader, ProcessSettings &settings)
{
    reader.readChoice<LogLevel>("level", settings.logLevel, logLevelNames);
    reader.finish();
}

void readTool(SectionReader reader, ProcessSettings &settings)
{
    readNodes(reader, "entry_vms", settings.entryVms);
    reader.finish();
}

} // namespace

tl::expected<ProcessSettings, core::Findings> parseSettings(std::string_view fileName, std::string_view text)
{
    const IniFile file = readIni(fileName, text);
    core::Findings findings = file.findings;
    checkSections(file, sectionNames, findings);

    ProcessSettings settings;
    settings.core.parseEntry = parseEntry;
    readNode({file, "node", findings}, settings);
    readPeers({file, "peers", findings}, settings);
    readPlatform({file, "platform", findings}, settings);
    readLimits({file, "limits", findings}, settings);
    readTiming({file, "timing", findings}, settings);
    readLog({file, "log", findings}, settings);
    readTool({file, "tool", findings}, settings);
    if (findings.empty())
        return settings;
    sortFindings(findings);
    return tl::make_unexpected(std::move(findings));
}

tl::expected<ProcessSettings, core::Findings> readSettings(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text)
        return tl::make_unexpected(text.error());
    return parseSettings(path, *text);
}

} // namespace clementinelift::config
