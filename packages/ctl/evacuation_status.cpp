// Status of entry VMs on the platform, read from their metrics.
#include "ctl/command_support.h"
#include "ctl/metrics_text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

#include <algorithm>
#include <future>
#include <map>

namespace clementinelift::ctl::detail {

namespace {

using nlohmann::json;

struct ZoneStatus
{
    double sinceS = 0; // Unix time at which the first entry VM learned of the request
    std::uint64_t runs = 0;
    std::uint64_t servers = 0; // commanded by the entry VMs that were asked
    std::uint64_t unknownServers = 0;
    std::size_t entryVms = 0; // that know of the request
};

struct EntryVmMetrics
{
    double ready = 0;
    double commanding = 0;
    double jobs = 0;
    bool isClementinelift = false;
    std::optional<bool> knowsEvacuations; // nothing: an earlier version
};

std::uint64_t toCount(double value)
{
    return static_cast<std::uint64_t>(std::clamp(value, 0.0, 1e15));
}

EntryVmMetrics readMetrics(std::string_view text, std::map<std::string, ZoneStatus> &zones)
{
    EntryVmMetrics vm;
    for (const MetricSample &sample : parseMetrics(text)) {
        vm.isClementinelift = vm.isClementinelift || sample.name.starts_with("clementinelift_");
        if (sample.name == "clementinelift_ready")
            vm.ready = sample.value;
        else if (sample.name == "clementinelift_commanding")
            vm.commanding = sample.value;
        else if (sample.name == "clementinelift_jobs")
            vm.jobs = sample.value;
        else if (sample.name == "clementinelift_evacuations_known")
            vm.knowsEvacuations = sample.value > 0;
        const auto label = sample.labels.find("zone");
        if (label == sample.labels.end() || !sample.name.starts_with("clementinelift_evacuated_"))
            continue;
        ZoneStatus &zone = zones[label->second];
        if (sample.name == "clementinelift_evacuated_since_seconds") {
            zone.sinceS = zone.entryVms++ == 0 ? sample.value : std::min(zone.sinceS, sample.value);
        } else if (sample.name == "clementinelift_evacuated_runs") {
            zone.runs += toCount(sample.value);
        } else if (sample.name == "clementinelift_evacuated_servers") {
            zone.servers += toCount(sample.value);
        } else if (sample.name == "clementinelift_evacuated_unknown_servers") {
            zone.unknownServers += toCount(sample.value);
        }
    }
    return vm;
}

} // namespace

ExitCode runPlatformStatus(const std::vector<std::string> &addresses, Output &output)
{
    const std::vector<VmAnswer> answers = requestMetrics(addresses);
    std::map<std::string, ZoneStatus> zones;
    ExitCode code = addresses.empty() ? ExitCode::Unavailable : ExitCode::Success;
    output.json["entry_vms"] = json::array();
    output.print(absl::StrFormat("%-24s %-6s %-10s %8s  %s", "ADDRESS", "READY", "COMMANDING", "JOBS", "EVACUATIONS"));
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        json item{{"address", addresses[i]}};
        const std::string error = !answers[i] ? answers[i].error()
                : answers[i]->status != 200   ? absl::StrCat("status ", answers[i]->status)
                                              : "";
        const EntryVmMetrics vm = error.empty() ? readMetrics(answers[i]->body, zones) : EntryVmMetrics{};
        if (!error.empty() || !vm.isClementinelift) {
            item["error"] = toJsonText(error.empty() ? "the page has no metrics of an entry VM" : error);
            output.print(absl::StrFormat("%-24s %s", addresses[i], item["error"].get<std::string>()));
            code = ExitCode::EntryVmFailure;
        } else {
            const char *evacuations = !vm.knowsEvacuations ? "earlier version"
                    : *vm.knowsEvacuations                 ? "known"
                                                           : "not known";
            output.print(absl::StrFormat("%-24s %-6s %-10s %8d  %s", addresses[i], vm.ready > 0 ? "yes" : "no",
                                         vm.commanding > 0 ? "yes" : "no", toCount(vm.jobs), evacuations));
            item["ready"] = vm.ready > 0;
            item["commanding"] = vm.commanding > 0;
            item["jobs"] = toCount(vm.jobs);
            item["evacuations"] = evacuations;
        }
        output.json["entry_vms"].push_back(std::move(item));
    }
    output.json["evacuated_zones"] = json::object();
    for (const auto &[name, zone] : zones) {
        const std::string since = absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixSeconds(toCount(zone.sinceS)),
                                                   absl::UTCTimeZone());
        output.json["evacuated_zones"][name] = {{"since", since},
                                                {"runs", zone.runs},
                                                {"servers", zone.servers},
                                                {"servers_with_unknown_runs", zone.unknownServers},
                                                {"entry_vms", zone.entryVms}};
        output.print("zone ", name, " evacuated since ", since, ": ", zone.runs, " runs left on ", zone.servers,
                     " backend servers, runs of ", zone.unknownServers, " not known; known to ", zone.entryVms, " of ",
                     addresses.size(), " entry VMs");
    }
    if (zones.empty())
        output.print("no zone is evacuated");
    return code;
}

} // namespace clementinelift::ctl::detail
