#include "config/entries.h"

#include <catch2/catch.hpp>

using namespace clementinelift;
using namespace clementinelift::config;

namespace {

struct BadField
{
    const char *entry;
    const char *text;
    int line;
    const char *field;
};

} // namespace

// Guards against a field that is accepted but not applied.
TEST_CASE("every field of a template and an organisation is read")
{
    const auto parsedTemplate = parseEntry("template/a",
                                           "repeat = allowed\ndeadline_ms = 4000\nrun_ms = 90\nmax_tasks = 7\n"
                                           "cores = 0.5\nmemory_mb = 128\npriority = 2\n");
    REQUIRE(parsedTemplate);
    const auto &templateParameters = std::get<core::TemplateParameters>(*parsedTemplate);
    CHECK(templateParameters.repeat == core::Repeat::Allowed);
    CHECK(templateParameters.deadlineMs == 4000);
    CHECK(templateParameters.runMs == 90);
    CHECK(templateParameters.maxTasks == 7);
    CHECK(templateParameters.cores == 0.5F);
    CHECK(templateParameters.memoryMb == 128);
    CHECK(templateParameters.priority == 2);

    const auto parsedOrganisation =
            parseEntry("organisation/b",
                       "concurrency = 12\nrate_per_s = 34.5\nweight = 2\npriority = 0\n"
                       "retry_budget_percent = 5\nresponse_weight = 0.9\nallowed_templates = a, b.c\n");
    REQUIRE(parsedOrganisation);
    const auto &organisation = std::get<core::OrganisationParameters>(*parsedOrganisation);
    CHECK(organisation.concurrency == 12);
    CHECK(organisation.ratePerS == 34.5);
    CHECK(organisation.weight == 2);
    CHECK(organisation.priority == 0);
    CHECK(organisation.retryBudgetPercent == 5);
    CHECK(organisation.responseWeight == 0.9);
    CHECK(organisation.allowedTemplates == std::vector<std::string>{"a", "b.c"});
}

// Guards against repeated tasks of a template that does not set repeat: a duplicated reorder cannot be undone.
TEST_CASE("repeat is never unless the template allows it")
{
    CHECK(std::get<core::TemplateParameters>(*parseEntry("template/a", "\n")).repeat == core::Repeat::Never);
}

// Guards against invalid values that are dropped or clamped without a finding, and against findings without a line.
TEST_CASE("every bad field of an entry is a finding")
{
    const BadField field = GENERATE(values<BadField>({
            {"template/a", "\nrepeat = sometimes", 2, "repeat"},
            {"template/a", "\nrepeat = Never", 2, "repeat"},
            {"template/a", "deadline_ms = 0", 1, "deadline_ms"},
            {"template/a", "deadline_ms = 600001", 1, "deadline_ms"},
            {"template/a", "run_ms = 1.5", 1, "run_ms"},
            {"template/a", "deadline_ms = 100\nrun_ms = 101", 2, "run_ms"},
            {"template/a", "run_ms = 20000", 1, "run_ms"},
            {"template/a", "max_tasks = -1", 1, "max_tasks"},
            {"template/a", "max_tasks = 99999999999999999999", 1, "max_tasks"},
            {"template/a", "cores = nan", 1, "cores"},
            {"template/a", "cores = 0", 1, "cores"},
            {"template/a", "memory_mb = 12 MB", 1, "memory_mb"},
            {"template/a", "priority = 10", 1, "priority"},
            {"template/a", "priority = 1\npriority = 2", 2, "priority"},
            {"template/a", "concurrency = 1", 1, "concurrency"},
            {"template/a", "[section]\n", 1, "section"},
            {"organisation/a", "concurrency = 0", 1, "concurrency"},
            {"organisation/a", "rate_per_s =", 1, "rate_per_s"},
            {"organisation/a", "rate_per_s = inf", 1, "rate_per_s"},
            {"organisation/a", "weight = 0", 1, "weight"},
            {"organisation/a", "priority = x", 1, "priority"},
            {"organisation/a", "retry_budget_percent = 101", 1, "retry_budget_percent"},
            {"organisation/a", "response_weight = 1.1", 1, "response_weight"},
            {"organisation/a", "allowed_templates = a, b c", 1, "allowed_templates"},
            {"organisation/a", "allowed_templates = a,,b", 1, "allowed_templates"},
            {"organisation/a", "allowed_templates = a, a", 1, "allowed_templates"},
            {"organisation/a", "allowed_templates =", 1, "allowed_templates"},
            {"organisation/a", "repeat = never", 1, "repeat"},
            {"team/a", "", 0, ""},
            {"template/", "", 0, ""},
            {"template/a b", "", 0, ""},
            {"template/123456789012345678901234567890123", "", 0, ""},
    }));
    CAPTURE(field.entry, field.text);
    const auto parsed = parseEntry(field.entry, field.text);
    REQUIRE_FALSE(parsed);
    REQUIRE(parsed.error().size() == 1);
    CHECK(parsed.error()[0].file == field.entry);
    CHECK(parsed.error()[0].line == field.line);
    CHECK(parsed.error()[0].field == field.field);
    CHECK_FALSE(parsed.error()[0].message.empty());
}

// Guards against reports that stop at the first finding, so that an operator needs several attempts.
TEST_CASE("a file for publishing reports all findings with their lines in the file")
{
    const auto entries = splitEntries("p.ini",
                                      "stray = 1\n[template a]\nrun_ms = x\n\n[organisation b]\nweight = 0\nfoo = 1\n"
                                      "[template a]\n[tenant c]\n[template]\nword\n");
    REQUIRE_FALSE(entries);
    std::vector<std::pair<int, std::string>> places;
    for (const core::Finding &finding : entries.error()) {
        CHECK(finding.file == "p.ini");
        places.emplace_back(finding.line, finding.field);
    }
    CHECK(places
          == std::vector<std::pair<int, std::string>>{{1, "stray"},
                                                      {3, "template a.run_ms"},
                                                      {6, "organisation b.weight"},
                                                      {7, "organisation b.foo"},
                                                      {8, "template/a"},
                                                      {9, "tenant c"},
                                                      {10, "template"},
                                                      {11, ""}});
}

// Guards against a section without fields that is published as an empty text, which would delete the entry.
TEST_CASE("sections become entries and are never empty")
{
    const auto entries = splitEntries("p.ini", "; file comment\n[template a]\nrun_ms = 5 ; fast\n\n[organisation b]\n");
    REQUIRE(entries);
    REQUIRE(entries->size() == 2);
    CHECK((*entries)[0].name == "template/a");
    CHECK((*entries)[0].text == "run_ms = 5 ; fast\n");
    CHECK((*entries)[0].line == 2);
    CHECK((*entries)[1].name == "organisation/b");
    CHECK((*entries)[1].text == "\n");
}
