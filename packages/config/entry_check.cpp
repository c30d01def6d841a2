#include "config/entry_check.h"

#include "config/ini_reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace clementinelift::config {

namespace {

template <typename Parameters> struct CheckedEntry
{
    const PublishedEntry *entry = nullptr;
    std::string name; // without prefix
    Parameters parameters;
};

using CheckedTemplate = CheckedEntry<core::TemplateParameters>;
using CheckedOrganisation = CheckedEntry<core::OrganisationParameters>;

bool mayUse(const CheckedOrganisation &organisation, const std::string &name)
{
    const std::vector<std::string> &allowed = organisation.parameters.allowedTemplates;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
}

// A field that is left out has the line of the section header.
void warn(core::Findings &findings, const PublishedEntry &entry, std::string_view field, std::string message)
{
    int line = entry.line;
    const IniFile file = readIni(entry.file, entry.text);
    for (const IniField &found : file.sections.front().fields) {
        if (found.name == field)
            line = entry.line + found.line;
    }
    std::string place = entry.name;
    place.replace(place.find('/'), 1, " ");
    if (!field.empty())
        place.append(".").append(field);
    findings.push_back({entry.file, line, std::move(place), std::move(message), true});
}

void checkTemplate(const CheckedTemplate &checked, std::span<const CheckedOrganisation> organisations,
                   core::Findings &findings)
{
    const core::TemplateParameters &parameters = checked.parameters;
    if (parameters.runMs > parameters.deadlineMs) // an error when run_ms is given
        warn(findings, *checked.entry, "deadline_ms",
             absl::StrCat("deadline is under run_ms, which is ", parameters.runMs, " by default"));
    if (organisations.empty())
        return;
    bool isUsable = false;
    std::uint32_t maxConcurrency = 0;
    for (const CheckedOrganisation &organisation : organisations) {
        if (!mayUse(organisation, checked.name))
            continue;
        isUsable = true;
        maxConcurrency = std::max(maxConcurrency, organisation.parameters.concurrency);
    }
    if (!isUsable)
        warn(findings, *checked.entry, "", "no organisation may use this template");
    else if (parameters.maxTasks > maxConcurrency)
        warn(findings, *checked.entry, "max_tasks",
             absl::StrCat("a job of ", parameters.maxTasks,
                          " tasks never runs at once: the organisations that may use the template run at most ",
                          maxConcurrency, " tasks"));
}

void checkOrganisation(const CheckedOrganisation &checked, std::span<const CheckedTemplate> templates,
                       core::Findings &findings)
{
    constexpr double msPerS = 1000;
    const core::OrganisationParameters &parameters = checked.parameters;
    if (templates.empty())
        return;
    for (const std::string &name : parameters.allowedTemplates) {
        if (std::none_of(templates.begin(), templates.end(), [&](const auto &other) { return other.name == name; }))
            warn(findings, *checked.entry, "allowed_templates",
                 absl::StrCat("template \"", name, "\" is not in the checked files"));
    }
    for (const CheckedTemplate &used : templates) {
        const double starts = parameters.ratePerS * static_cast<double>(used.parameters.deadlineMs) / msPerS;
        if (mayUse(checked, used.name) && starts < 1)
            warn(findings, *checked.entry, "rate_per_s",
                 absl::StrCat("the rate allows less than one start within the deadline of template \"", used.name,
                              "\", which is ", used.parameters.deadlineMs, " ms"));
    }
}

} // namespace

core::Findings findContradictions(std::span<const PublishedEntry> entries)
{
    std::vector<CheckedTemplate> templates;
    std::vector<CheckedOrganisation> organisations;
    for (const PublishedEntry &entry : entries) {
        const auto parsed = parseEntry(entry.name, entry.text);
        if (!parsed)
            continue;
        const std::string name = entry.name.substr(entry.name.find('/') + 1);
        if (const auto *parameters = std::get_if<core::TemplateParameters>(&*parsed))
            templates.push_back({&entry, name, *parameters});
        else
            organisations.push_back({&entry, name, std::get<core::OrganisationParameters>(*parsed)});
    }
    core::Findings findings;
    for (const CheckedTemplate &checked : templates)
        checkTemplate(checked, organisations, findings);
    for (const CheckedOrganisation &checked : organisations)
        checkOrganisation(checked, templates, findings);
    sortFindings(findings);
    return findings;
}

} // namespace clementinelift::config
