// check and diff of a configuration of the platform. The translation of its records is in platform/.

#include "config/ini_reader.h"
#include "ctl/command_support.h"
#include "platform/configuration_file.h"
#include "platform/configuration_source.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>

namespace clementinelift::ctl::detail {

namespace {

constexpr std::size_t maxRegistryBytes = std::size_t{64} << 20; // of one page

// Reads a whole number of at most max; false: text is something else.
template <typename T> bool readNumber(std::string_view text, T &value, T max)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && value >= 0 && value <= max;
}

std::optional<command::ExpectedJob> parseJob(std::string_view text)
{
    constexpr std::uint32_t maxTasks = 10000; // of a job request
    constexpr std::int64_t maxAmount = std::int64_t(1) << 40;
    const std::vector<std::string_view> parts = config::splitList(text, ',');
    command::ExpectedJob job;
    command::Resources &task = job.taskResources;
    if (parts.size() != 5 || parts[0].empty() || !readNumber(parts[1], job.tasks, maxTasks)
        || !readNumber(parts[2], task.milliCores, maxAmount) || !readNumber(parts[3], task.memoryMb, maxAmount)
        || !readNumber(parts[4], job.estimateMs, maxAmount))
        return std::nullopt;
    if (parts[0] != "*")
        job.route = parts[0];
    return job;
}

// The facts that the options give; no value: the command line is wrong, which was reported.
std::optional<command::Facts> readFacts(const Options &options, core::Findings &findings, Output &output)
{
    command::Facts facts;
    facts.entryMemoryMb = options.entryMemoryMb;
    for (const std::string &text : options.jobs) {
        const auto job = parseJob(text);
        if (!job) {
            output.warn("--job must be ROUTE,TASKS,CPU,MEMMB,ESTIMATEMS, not \"", text, "\"");
            return std::nullopt;
        }
        facts.jobs.push_back(*job);
    }
    platform::RegistryDump dump;
    for (const std::string &file : options.registryFiles) {
        if (const auto text = config::readTextFile(file, maxRegistryBytes))
            platform::addRegistryPage(dump, file, *text);
        else
            dump.findings.insert(dump.findings.end(), text.error().begin(), text.error().end());
    }
    findings.insert(findings.end(), dump.findings.begin(), dump.findings.end());
    if (dump.isComplete && !dump.isDamaged)
        facts.servers = std::move(dump.servers);
    else if (!options.registryFiles.empty())
        findings.push_back({options.registryFiles.back(), 0, "",
                            "the registry is incomplete, so services are not compared with it", true});
    return facts;
}

// The version in force, with its findings as warnings, or the reason why it cannot be read.
tl::expected<platform::ConfigurationFile, core::Finding> readInForce(const Options &options)
{
    tl::expected<std::string, core::Findings> text;
    std::string name = options.againstFile;
    if (!name.empty()) {
        text = config::readTextFile(name);
        if (!text)
            return tl::make_unexpected(text.error().front());
    } else {
        name = "store " + options.storeAddress;
        net::HttpClient http({});
        auto published = platform::readPublishedConfiguration(http, options.storeAddress, options.timeoutMs);
        if (!published)
            return tl::make_unexpected(core::Finding{name, 0, "", std::move(published.error())});
        text = published->value_or(R"({"version":0,"routes":[],"services":[]})"); // nothing was published yet
    }
    platform::ConfigurationFile inForce = platform::readConfigurationFile(name, *text);
    if (!inForce.root.is_object())
        return tl::make_unexpected(inForce.findings.front());
    return inForce;
}

bool hasBase(const Options &options)
{
    return !options.storeAddress.empty() || !options.againstFile.empty();
}

ExitCode reportMissingBase(const core::Finding &finding, const Options &options, Output &output)
{
    if (options.storeAddress.empty()) {
        printFindings(output, {finding});
        return ExitCode::Findings;
    }
    output.json["result"] = "unavailable";
    output.json["detail"] = finding.message;
    output.warn(config::toString(finding), "; compare with a file (--against=FILE)");
    return ExitCode::Unavailable;
}

} // namespace

bool isPlatformFile(const TextFile &file)
{
    const std::string_view text = config::trim(file.text);
    return file.name.ends_with(".json") || text.starts_with('{');
}

ExitCode checkPlatformFiles(const Options &options, const std::vector<TextFile> &files, core::Findings &findings,
                            Output &output)
{
    const bool hasFacts = !options.registryFiles.empty() || !options.jobs.empty() || options.entryMemoryMb;
    if (files.empty()) {
        if (!hasFacts && !hasBase(options))
            return ExitCode::Success;
        output.warn("--store, --against, --registry, --entry-memory and --job need a configuration of the platform");
        return ExitCode::Usage;
    }
    const auto facts = readFacts(options, findings, output);
    if (!facts)
        return ExitCode::Usage;
    std::optional<platform::ConfigurationFile> inForce;
    if (hasBase(options)) {
        auto base = readInForce(options);
        if (!base)
            return reportMissingBase(base.error(), options, output);
        inForce = *std::move(base);
    }
    for (const TextFile &file : files) {
        const platform::ConfigurationFile record = platform::readConfigurationFile(file.name, file.text);
        core::Findings found = platform::checkConfigurationFile(record, *facts);
        if (inForce) {
            const core::Findings version = platform::checkFileVersion(record, *inForce);
            found.insert(found.end(), version.begin(), version.end());
        }
        findings.insert(findings.end(), found.begin(), found.end());
    }
    return ExitCode::Success;
}

ExitCode runPlatformDiff(const Options &options, const TextFile &file, Output &output)
{
    if (!hasBase(options)) {
        output.warn("diff of a configuration of the platform needs --store or --against");
        return ExitCode::Usage;
    }
    const platform::ConfigurationFile after = platform::readConfigurationFile(file.name, file.text);
    core::Findings findings = platform::checkConfigurationFile(after, {});
    if (toExitCode(findings) == ExitCode::Findings) {
        printFindings(output, findings);
        return ExitCode::Findings;
    }
    const auto before = readInForce(options);
    if (!before)
        return reportMissingBase(before.error(), options, output);
    for (core::Finding finding : before->findings) {
        finding.isWarning = true; // it says what the comparison lacks
        findings.push_back(std::move(finding));
    }
    const core::Findings version = platform::checkFileVersion(after, *before);
    findings.insert(findings.end(), version.begin(), version.end());

    output.json["version"] = {{"before", before->draft.version.value_or(0)},
                              {"after", after.draft.version.value_or(0)}};
    output.json["differences"] = nlohmann::json::array();
    output.json["effects"] = nlohmann::json::array();
    output.print("; compared with version ", before->draft.version.value_or(0), " of ", before->name);
    const auto differences = platform::compareConfigurations(*before, after);
    for (const platform::FieldDifference &difference : differences) {
        output.json["differences"].push_back(
                {{"field", difference.path}, {"before", difference.before}, {"after", difference.after}});
        output.print(difference.path, ": ", difference.before.empty() ? "(not set)" : difference.before, " -> ",
                     difference.after.empty() ? "(not set)" : difference.after);
    }
    for (const command::RouteChange &change :
         command::findEffects(command::toConfiguration(before->draft), command::toConfiguration(after.draft))) {
        output.json["effects"].push_back({{"route", change.route},
                                          {"effect", std::string(command::toString(change.effect))},
                                          {"text", change.text}});
        output.print("route ", change.route, ": ", command::toString(change.effect), ": ", change.text);
    }
    printFindings(output, findings);
    if (toExitCode(findings) == ExitCode::Findings)
        return ExitCode::Findings;
    return differences.empty() ? ExitCode::Success : ExitCode::Differences;
}

} // namespace clementinelift::ctl::detail
