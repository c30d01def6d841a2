#include "ctl/commands.h"

#include "config/entries.h"
#include "config/entry_check.h"
#include "config/ini_reader.h"
#include "ctl/command_support.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>

namespace clementinelift::ctl {

namespace detail {

void Output::finish(ExitCode code)
{
    if (!m_isJson)
        return;
    json["exit_code"] = static_cast<int>(code);
    m_out << json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

nlohmann::json toJsonText(std::string_view text)
{
    return std::string(text); // finish() replaces invalid UTF-8
}

ExitCode toExitCode(const core::Findings &findings)
{
    if (findings.empty())
        return ExitCode::Success;
    const bool hasErrors = std::any_of(findings.begin(), findings.end(),
                                       [](const core::Finding &finding) { return !finding.isWarning; });
    return hasErrors ? ExitCode::Findings : ExitCode::Warnings;
}

nlohmann::json toJson(const core::Findings &findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const core::Finding &finding : findings)
        list.push_back({{"file", finding.file},
                        {"line", finding.line},
                        {"field", finding.field},
                        {"severity", finding.isWarning ? "warning" : "error"},
                        {"message", finding.message}});
    return list;
}

void printFindings(Output &output, const core::Findings &findings)
{
    output.json["findings"] = toJson(findings);
    for (const core::Finding &finding : findings)
        output.print(config::toString(finding));
}

} // namespace detail

namespace {

using detail::Output;
using nlohmann::json;

// Input files ---------------------------------------------------------------------------------------

struct Input
{
    std::vector<config::PublishedEntry> entries; // an empty text deletes the entry
    std::vector<detail::TextFile> platformFiles; // configurations of the platform
    core::Findings findings;
};

Input readInput(const Options &options)
{
    Input input;
    const auto add = [&](config::PublishedEntry &&entry) {
        const auto first = std::find_if(input.entries.begin(), input.entries.end(),
                                        [&](const config::PublishedEntry &other) { return other.name == entry.name; });
        if (first != input.entries.end())
            input.findings.push_back(
                    {entry.file, entry.line, entry.name,
                     absl::StrCat("entry occurs again; the first one is in ", first->file, ":", first->line)});
        input.entries.push_back(std::move(entry));
    };
    for (const std::string &file : options.files) {
        auto text = config::readTextFile(file);
        if (text && detail::isPlatformFile({file, *text})) {
            if (options.command == Command::Publish)
                input.findings.push_back(
                        {file, 0, "", "a configuration of the platform is not published by this tool"});
            input.platformFiles.push_back({file, *std::move(text)});
            continue;
        }
        auto entries = text ? config::splitEntries(file, *text) : tl::make_unexpected(text.error());
        if (!entries) {
            input.findings.insert(input.findings.end(), entries.error().begin(), entries.error().end());
            continue;
        }
        for (config::PublishedEntry &entry : *entries)
            add(std::move(entry));
    }
    if (options.command == Command::Publish) {
        for (const std::string &name : options.names) {
            if (!core::isEntryName(name))
                input.findings.push_back(
                        {"--delete", 0, name, "entry name must be template/NAME or organisation/NAME"});
            add({name, "", "--delete", 0});
        }
    }
    return input;
}

// check ---------------------------------------------------------------------------------------------

ExitCode runCheck(const Options &options, Output &output)
{
    Input input = readInput(options);
    if (options.checkSettings) {
        if (const auto settings = config::readSettings(options.settingsPath); !settings)
            input.findings.insert(input.findings.end(), settings.error().begin(), settings.error().end());
    }
    const core::Findings warnings = config::findContradictions(input.entries);
    input.findings.insert(input.findings.end(), warnings.begin(), warnings.end());
    const ExitCode code = detail::checkPlatformFiles(options, input.platformFiles, input.findings, output);
    if (code != ExitCode::Success)
        return code;
    detail::printFindings(output, input.findings);
    output.json["entries"] = json::array();
    for (const config::PublishedEntry &entry : input.entries)
        output.json["entries"].push_back(entry.name);
    output.json["configurations"] = json::array();
    for (const detail::TextFile &file : input.platformFiles)
        output.json["configurations"].push_back(file.name);
    if (!input.findings.empty())
        return detail::toExitCode(input.findings);
    output.print("no findings, ", input.entries.size(), " entries, ", input.platformFiles.size(),
                 " configurations of the platform");
    return ExitCode::Success;
}

// diff ----------------------------------------------------------------------------------------------

struct FieldChange
{
    std::string field;
    std::string before; // empty: not set
    std::string after;
};

std::map<std::string, std::string> readFields(std::string_view text)
{
    std::map<std::string, std::string> fields;
    const config::IniFile file = config::readIni("", text);
    for (const config::IniField &field : file.sections.front().fields)
        fields[field.name] = field.value;
    return fields;
}

std::vector<FieldChange> compareFields(std::string_view before, std::string_view after)
{
    std::map<std::string, FieldChange> changes;
    for (auto &[name, value] : readFields(before))
        changes[name] = {name, value, ""};
    for (auto &[name, value] : readFields(after)) {
        changes[name].field = name;
        changes[name].after = value;
    }
    std::vector<FieldChange> list;
    for (auto &[name, change] : changes) {
        if (change.before != change.after)
            list.push_back(std::move(change));
    }
    return list;
}

std::string_view currentText(const core::Configuration &configuration, std::string_view name)
{
    const core::ConfigEntry *entry = configuration.entry(name);
    return entry ? std::string_view(entry->text) : std::string_view();
}

// Warns about templates that an organisation may use but that do not exist once the change is accepted.
void warnAboutMissingTemplates(const core::Configuration &configuration, const Input &input, Output &output)
{
    for (const config::PublishedEntry &entry : input.entries) {
        const auto parsed = config::parseEntry(entry.name, entry.text);
        const auto *organisation = parsed ? std::get_if<core::OrganisationParameters>(&*parsed) : nullptr;
        for (const std::string &name : organisation ? organisation->allowedTemplates : std::vector<std::string>()) {
            const std::string templateEntry = std::string(core::templatePrefix) + name;
            const auto published =
                    std::find_if(input.entries.begin(), input.entries.end(),
                                 [&](const config::PublishedEntry &other) { return other.name == templateEntry; });
            const bool exists = published != input.entries.end() ? !published->text.empty()
                                                                 : !currentText(configuration, templateEntry).empty();
            if (!exists)
                output.warn(entry.name, " allows ", templateEntry, ", which does not exist");
        }
    }
}

ExitCode runDiff(const Input &input, const core::Configuration &configuration, Output &output)
{
    std::size_t differences = 0;
    output.json["entries"] = json::array();
    output.json["based_on"] = configuration.nextOffset();
    output.print("; based on offset ", configuration.nextOffset());
    for (const config::PublishedEntry &entry : input.entries) {
        const std::string_view before = currentText(configuration, entry.name);
        const char *state = before == entry.text ? "same" : before.empty() ? "new" : "changed";
        differences += before == entry.text ? 0 : 1;
        json item{{"name", entry.name}, {"state", state}, {"fields", json::array()}};
        output.print(entry.name, ": ", state);
        for (const FieldChange &change : compareFields(before, entry.text)) {
            item["fields"].push_back({{"field", change.field}, {"before", change.before}, {"after", change.after}});
            output.print("  ", change.field, ": ", change.before.empty() ? "(not set)" : change.before, " -> ",
                         change.after.empty() ? "(not set)" : change.after);
        }
        output.json["entries"].push_back(std::move(item));
    }
    warnAboutMissingTemplates(configuration, input, output);
    return differences == 0 ? ExitCode::Success : ExitCode::Differences;
}

// publish -------------------------------------------------------------------------------------------

std::string makeChangeId()
{
    std::random_device device;
    const auto random = [&] { return std::uint64_t{device()} << 32 | device(); };
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return core::toString(core::makeKey(nowMs, random(), random()));
}

// Makes a change of the entries whose text differs from the accepted one, with the current versions as base versions.
core::ChangeRecord makeChange(const Input &input, const core::Configuration &configuration, const std::string &author,
                              Output &output)
{
    core::ChangeRecord change{makeChangeId(), author, {}};
    for (const config::PublishedEntry &entry : input.entries) {
        const core::ConfigEntry *current = configuration.entry(entry.name);
        if (entry.text.empty() && currentText(configuration, entry.name).empty())
            output.warn(entry.name, " does not exist, so there is nothing to delete");
        else if (currentText(configuration, entry.name) != entry.text)
            change.entries.push_back({entry.name, current ? current->version : 0, entry.text});
    }
    return change;
}

// Returns a conflict for the first entry of the change that was set after the offset basedOn, or nullopt.
std::optional<core::ChangeOutcome> findChangeAfter(const core::ChangeRecord &change,
                                                   const core::Configuration &configuration, std::int64_t basedOn)
{
    core::ChangeRecord checkedChange = change;
    for (core::ConfigEntryChange &entry : checkedChange.entries)
        entry.baseVersion = entry.baseVersion > basedOn ? -1 : entry.baseVersion; // -1 matches no version
    return findConflict(configuration, checkedChange);
}

ExitCode reportResult(const PublishResult &result, Output &output)
{
    const core::ChangeOutcome &outcome = result.outcome;
    output.json["appends"] = result.appends;
    switch (result.state) {
    case PublishState::Accepted:
        output.json["result"] = "accepted";
        output.json["offset"] = outcome.offset;
        output.print("accepted at offset ", outcome.offset);
        return ExitCode::Success;
    case PublishState::Conflict:
        output.json["result"] = "conflict";
        output.json["conflict"] = {{"entry", outcome.conflictEntry},
                                   {"author", outcome.conflictAuthor},
                                   {"change_id", outcome.conflictChange},
                                   {"version", outcome.conflictVersion}};
        output.warn("conflict: ", outcome.conflictEntry, " was set to version ", outcome.conflictVersion, " by ",
                    outcome.conflictAuthor, " (change ", outcome.conflictChange,
                    "); nothing of this change is in force");
        return ExitCode::Conflict;
    case PublishState::Invalid:
        output.json["result"] = "invalid";
        detail::printFindings(output, outcome.findings);
        return ExitCode::Findings;
    case PublishState::NotAppended:
        output.json["result"] = "unavailable";
        output.json["detail"] = result.detail;
        output.warn("nothing was appended: ", result.detail);
        return ExitCode::Unavailable;
    case PublishState::Uncertain:
        break;
    }
    output.json["result"] = "uncertain";
    output.json["detail"] = result.detail;
    output.warn("the change may be in the log: ", result.detail,
                "; search for the change ID with \"clementinelift-ctl history\"");
    return ExitCode::Uncertain;
}

ExitCode runPublish(const Options &options, const Input &input, ConfigLog &log, LogReader<ConfigLog> &reader,
                    EntryVms &vms, Output &output)
{
    const core::ChangeRecord change = makeChange(input, reader.configuration(), options.author, output);
    warnAboutMissingTemplates(reader.configuration(), input, output);
    output.json["entries"] = json::array();
    for (const core::ConfigEntryChange &entry : change.entries) {
        output.json["entries"].push_back(entry.name);
        output.print(entry.name, entry.text.empty() ? ": delete" : entry.baseVersion == 0 ? ": new" : ": change");
    }
    if (change.entries.empty()) {
        output.json["result"] = "unchanged";
        output.print("nothing to publish: all entries equal the accepted ones");
    } else {
        output.json["change_id"] = change.changeId;
        output.print("change ", change.changeId, " by ", change.author);
        PublishResult result;
        if (auto newer = options.basedOn ? findChangeAfter(change, reader.configuration(), *options.basedOn)
                                         : std::nullopt) {
            result.state = PublishState::Conflict;
            result.outcome = std::move(*newer);
        } else {
            result = publish(log, reader, change, options.timeoutMs);
        }
        const ExitCode code = reportResult(result, output);
        if (code != ExitCode::Success)
            return code;
    }
    if (!options.wait)
        return ExitCode::Success;
    return detail::waitUntilInForce(vms, reader.configuration().nextOffset(), options.timeoutMs, output);
}

// show and history ----------------------------------------------------------------------------------

// Prints entries in the format of the files that publish reads.
ExitCode runShow(const Options &options, const core::Configuration &configuration, Output &output)
{
    core::Findings unknown;
    for (const std::string &name : options.names) {
        if (!configuration.entry(name))
            unknown.push_back({"", 0, name, "no such entry was ever accepted"});
    }
    output.json["based_on"] = configuration.nextOffset();
    output.json["entries"] = json::array();
    output.print("; based on offset ", configuration.nextOffset());
    for (const core::ConfigEntry *entry : configuration.entries()) {
        const bool isNamed = std::find(options.names.begin(), options.names.end(), entry->name) != options.names.end();
        if (!options.names.empty() && !isNamed)
            continue;
        output.json["entries"].push_back({{"name", entry->name},
                                          {"version", entry->version},
                                          {"author", entry->author},
                                          {"change_id", entry->changeId},
                                          {"deleted", entry->text.empty()},
                                          {"text", detail::toJsonText(entry->text)}});
        std::string header = entry->name;
        header.replace(header.find('/'), 1, " ");
        const std::string origin =
                absl::StrCat("version ", entry->version, " by ", entry->author, ", change ", entry->changeId);
        if (entry->text.empty())
            output.print("\n; ", entry->name, " is deleted: ", origin);
        else
            output.print("\n[", header, "] ; ", origin, "\n", config::trim(entry->text).empty() ? "" : entry->text);
    }
    detail::printFindings(output, unknown);
    return unknown.empty() ? ExitCode::Success : ExitCode::Findings;
}

struct HistoryLine
{
    std::int64_t timeMs = 0;
    std::vector<std::string> entries;
    core::ChangeOutcome outcome;
};

ExitCode runHistory(const std::vector<HistoryLine> &lines, std::size_t limit, Output &output)
{
    output.json["changes"] = json::array();
    for (std::size_t i = lines.size() - std::min(limit, lines.size()); i < lines.size(); ++i) {
        const core::ChangeOutcome &outcome = lines[i].outcome;
        json item{{"offset", outcome.offset},
                  {"time_ms", lines[i].timeMs},
                  {"change_id", outcome.changeId},
                  {"author", outcome.author},
                  {"verdict", std::string(core::toString(outcome.verdict))},
                  {"entries", lines[i].entries}};
        std::string text = absl::StrCat(
                outcome.offset, "  ",
                absl::FormatTime(absl::RFC3339_sec, absl::FromUnixMillis(lines[i].timeMs), absl::UTCTimeZone()), "  ",
                outcome.changeId, "  ", outcome.author, "  ", std::string(core::toString(outcome.verdict)), " ");
        for (const std::string &entry : lines[i].entries)
            absl::StrAppend(&text, " ", entry);
        if (outcome.verdict == core::ChangeVerdict::Conflict) {
            item["conflict"] = {{"entry", outcome.conflictEntry},
                                {"author", outcome.conflictAuthor},
                                {"change_id", outcome.conflictChange},
                                {"version", outcome.conflictVersion}};
            absl::StrAppend(&text, " (", outcome.conflictEntry, " was set by ", outcome.conflictAuthor, ", change ",
                            outcome.conflictChange, ")");
        }
        if (!outcome.findings.empty())
            item["findings"] = detail::toJson(outcome.findings);
        output.print(text);
        output.json["changes"].push_back(std::move(item));
    }
    return ExitCode::Success;
}

// Dispatch ------------------------------------------------------------------------------------------

// Retries until timeoutMs have passed, because an outage of the log service may be short.
tl::expected<void, std::string> readConfiguration(LogReader<ConfigLog> &reader, ConfigLog &log, std::int64_t timeoutMs)
{
    const std::int64_t deadlineMs = log.nowMs() + timeoutMs;
    for (std::int64_t backoffMs = initialBackoffMs;; backoffMs = std::min(2 * backoffMs, maxBackoffMs)) {
        auto read = reader.readToEnd();
        if (read || log.nowMs() >= deadlineMs)
            return read;
        log.pause(backoffMs);
    }
}

ExitCode runLogCommand(const Options &options, const Input &input, const config::ProcessSettings &settings,
                       Output &output)
{
    ConfigLog log(settings.logServiceUrl);
    LogReader<ConfigLog> reader(log, config::parseEntry);
    std::vector<HistoryLine> history;
    if (options.command == Command::History) {
        reader.onOutcome = [&](const core::LogRecord &record, const core::ChangeOutcome &outcome) {
            HistoryLine line{record.timeMs, {}, outcome};
            for (const core::ConfigEntryChange &entry : std::get<core::ChangeRecord>(record.body).entries)
                line.entries.push_back(entry.name);
            history.push_back(std::move(line));
        };
    }
    if (const auto read = readConfiguration(reader, log, options.timeoutMs); !read) {
        output.json["result"] = "unavailable";
        output.json["detail"] = read.error();
        output.warn(read.error());
        return ExitCode::Unavailable;
    }
    switch (options.command) {
    case Command::Diff:
        return runDiff(input, reader.configuration(), output);
    case Command::Show:
        return runShow(options, reader.configuration(), output);
    case Command::History:
        return runHistory(history, options.limit, output);
    default:
        break;
    }
    EntryVms vms(settings);
    return runPublish(options, input, log, reader, vms, output);
}

ExitCode runCommand(const Options &options, Output &output)
{
    if (options.command == Command::Check)
        return runCheck(options, output);
    if (options.command == Command::Status && !options.metrics.empty())
        return detail::runPlatformStatus(options.metrics, output);
    const auto settings = config::readSettings(options.settingsPath);
    Input input = readInput(options);
    if (options.command == Command::Diff && !input.platformFiles.empty()) {
        if (options.files.size() == 1)
            return detail::runPlatformDiff(options, input.platformFiles.front(), output);
        output.warn("diff of a configuration of the platform takes no other files");
        return ExitCode::Usage;
    }
    if (!options.storeAddress.empty() || !options.againstFile.empty()) {
        output.warn("--store and --against need a configuration of the platform");
        return ExitCode::Usage;
    }
    if (!settings)
        input.findings.insert(input.findings.end(), settings.error().begin(), settings.error().end());
    if (!input.findings.empty()) {
        detail::printFindings(output, input.findings);
        return ExitCode::Findings;
    }
    switch (options.command) {
    case Command::Status:
    case Command::Drain:
    case Command::Keys:
    case Command::Explain:
        break;
    default:
        return runLogCommand(options, input, *settings, output);
    }
    EntryVms vms(*settings);
    if (options.command == Command::Status)
        return detail::runStatus(vms, output);
    if (options.command == Command::Drain)
        return detail::runDrain(vms, options.names, output);
    if (options.command == Command::Keys)
        return detail::runKeys(vms, options.organisation, options.count, output);
    return detail::runExplain(vms, options, output);
}

} // namespace

ExitCode run(const Options &options, std::ostream &out, std::ostream &err)
{
    Output output(options.json, out, err);
    const ExitCode code = runCommand(options, output);
    output.finish(code);
    return code;
}

} // namespace clementinelift::ctl
