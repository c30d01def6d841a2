#include "config/entries.h"

#include "config/ini_reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace clementinelift::config {

namespace {

constexpr std::array<std::string_view, 2> repeatNames = {"never", "allowed"};

constexpr std::int64_t maxDeadlineMs = 600000;
constexpr std::uint32_t maxRunMs = 600000;
constexpr std::uint32_t maxTasksPerJob = 10000;
constexpr float minCores = 0.01F;
constexpr float maxCores = 4096;
constexpr std::uint32_t maxMemoryMb = 64u << 20u; // 64 TiB
constexpr std::uint32_t maxPriority = 9;
constexpr std::uint32_t maxConcurrency = 1000000;
constexpr double maxRatePerS = 1e7;
constexpr double minWeight = 0.001;
constexpr double maxWeight = 1000;
constexpr double maxRetryBudgetPercent = 100;

core::TemplateParameters readTemplate(SectionReader &reader)
{
    core::TemplateParameters parameters;
    reader.readChoice<core::Repeat>("repeat", parameters.repeat, repeatNames);
    reader.readNumber<std::int64_t>("deadline_ms", parameters.deadlineMs, 1, maxDeadlineMs);
    reader.readNumber<std::uint32_t>("run_ms", parameters.runMs, 1, maxRunMs);
    reader.readNumber<std::uint32_t>("max_tasks", parameters.maxTasks, 1, maxTasksPerJob);
    reader.readNumber<float>("cores", parameters.cores, minCores, maxCores);
    reader.readNumber<std::uint32_t>("memory_mb", parameters.memoryMb, 1, maxMemoryMb);
    reader.readNumber<std::uint32_t>("priority", parameters.priority, 0, maxPriority);
    const IniField *run = reader.findField("run_ms");
    if (run && parameters.runMs > parameters.deadlineMs)
        reader.addFinding(*run, absl::StrCat("run_ms must not exceed deadline_ms, which is ", parameters.deadlineMs));
    return parameters;
}

void readAllowedTemplates(SectionReader &reader, std::vector<std::string> &allowed)
{
    const IniField *field = reader.findField("allowed_templates");
    if (!field)
        return;
    for (const std::string_view name : splitList(field->value, ',')) {
        const std::string text(name);
        if (!core::isEntryName(std::string(core::templatePrefix) + text))
            reader.addFinding(*field,
                              absl::StrCat("\"", text, "\" is not a template name; give names separated by commas"));
        else if (std::find(allowed.begin(), allowed.end(), text) != allowed.end())
            reader.addFinding(*field, absl::StrCat("\"", text, "\" occurs more than once"));
        else
            allowed.push_back(text);
    }
    // An empty list would allow all templates, which is hardly the intention of "allowed_templates =".
    if (field->value.empty())
        reader.addFinding(*field, "list is empty; give names separated by commas, or leave the field out to allow all");
}

core::OrganisationParameters readOrganisation(SectionReader &reader)
{
    core::OrganisationParameters parameters;
    reader.readNumber<std::uint32_t>("concurrency", parameters.concurrency, 1, maxConcurrency);
    reader.readNumber<double>("rate_per_s", parameters.ratePerS, 1, maxRatePerS);
    reader.readNumber<double>("weight", parameters.weight, minWeight, maxWeight);
    reader.readNumber<std::uint32_t>("priority", parameters.priority, 0, maxPriority);
    reader.readNumber<double>("retry_budget_percent", parameters.retryBudgetPercent, 0, maxRetryBudgetPercent);
    reader.readNumber<double>("response_weight", parameters.responseWeight, 0, 1);
    readAllowedTemplates(reader, parameters.allowedTemplates);
    return parameters;
}

// Converts "template NAME" into "template/NAME". Returns an empty text if the section is not an entry.
std::string entryNameOfSection(std::string_view section)
{
    for (const std::string_view prefix : {core::templatePrefix, core::organisationPrefix}) {
        const std::string_view word = prefix.substr(0, prefix.size() - 1);
        if (!section.starts_with(word) || section.size() == word.size())
            continue;
        std::string name = std::string(prefix) + std::string(trim(section.substr(word.size())));
        const char separator = section[word.size()];
        if ((separator == ' ' || separator == '\t') && core::isEntryName(name))
            return name;
    }
    return {};
}

// Joins the lines of a section and drops blank lines at the end.
std::string sectionBody(std::span<const std::string_view> lines)
{
    while (!lines.empty() && trim(lines.back()).empty())
        lines = lines.first(lines.size() - 1);
    std::string body;
    for (const std::string_view line : lines)
        body.append(line).append("\n");
    return body.empty() ? "\n" : body; // publishing an empty text would delete the entry
}

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        std::string_view line = text.substr(0, end);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        lines.push_back(line);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

} // namespace

tl::expected<core::ParsedEntry, core::Findings> parseEntry(std::string_view name, std::string_view text)
{
    if (!core::isEntryName(name))
        return tl::make_unexpected(
                core::Findings{{std::string(name), 0, "", "entry name must be template/NAME or organisation/NAME"}});
    if (text.size() > maxEntryBytes)
        return tl::make_unexpected(
                core::Findings{{std::string(name), 0, "",
                                absl::StrCat("text has ", text.size(), " bytes, ", maxEntryBytes, " are allowed")}});
    IniFile file = readIni(name, text);
    core::Findings findings = std::move(file.findings);
    for (const IniSection &section : file.sections) {
        if (section.line > 0)
            findings.push_back({file.name, section.line, section.name, "an entry must not contain section headers"});
    }
    SectionReader reader(file, "", findings);
    core::ParsedEntry entry;
    if (name.starts_with(core::templatePrefix))
        entry = readTemplate(reader);
    else
        entry = readOrganisation(reader);
    reader.finish();
    if (findings.empty())
        return entry;
    sortFindings(findings);
    return tl::make_unexpected(std::move(findings));
}

tl::expected<std::vector<PublishedEntry>, core::Findings> splitEntries(std::string_view fileName, std::string_view text)
{
    const IniFile file = readIni(fileName, text);
    core::Findings findings;
    std::vector<PublishedEntry> entries;
    const std::vector<std::string_view> lines = splitLines(text);
    for (std::size_t i = 0; i < file.sections.size(); ++i) {
        const IniSection &section = file.sections[i];
        if (section.line == 0) {
            for (const IniField &field : section.fields)
                findings.push_back({file.name, field.line, field.name, "field is before the first section header"});
            continue;
        }
        const std::size_t end =
                i + 1 < file.sections.size() ? static_cast<std::size_t>(file.sections[i + 1].line) - 1 : lines.size();
        PublishedEntry entry{entryNameOfSection(section.name), "", file.name, section.line};
        entry.text = sectionBody(std::span(lines).subspan(section.line, end - section.line));
        if (entry.name.empty()) {
            findings.push_back({file.name, section.line, section.name,
                                absl::StrCat("section must be [template NAME] or [organisation NAME]; NAME has 1 to ",
                                             core::maxEntryNameBytes, " letters, digits, '-', '_', '.'")});
            continue;
        }
        const auto same = std::find_if(entries.begin(), entries.end(),
                                       [&](const PublishedEntry &other) { return other.name == entry.name; });
        if (same != entries.end())
            findings.push_back({file.name, section.line, entry.name,
                                absl::StrCat("entry occurs again; the first one is in line ", same->line)});
        if (const auto parsed = parseEntry(entry.name, entry.text); !parsed) {
            for (const core::Finding &finding : parsed.error())
                findings.push_back({file.name, section.line + finding.line,
                                    absl::StrCat(section.name, finding.field.empty() ? "" : ".", finding.field),
                                    finding.message});
        }
        entries.push_back(std::move(entry));
    }
    // parseEntry() has already reported invalid lines inside a section.
    for (const core::Finding &finding : file.findings) {
        const bool isReported = std::any_of(findings.begin(), findings.end(), [&](const core::Finding &other) {
            return other.line == finding.line && other.message == finding.message;
        });
        if (!isReported)
            findings.push_back(finding);
    }
    if (findings.empty())
        return entries;
    sortFindings(findings);
    return tl::make_unexpected(std::move(findings));
}

} // namespace clementinelift::config
