// A configuration and schedulers for the unit tests of decisions.
#pragma once

#include "core/basic_scheduler.h"

#include <map>

namespace clementinelift::core {

// Entries by name; the text of an entry is not read.
inline std::map<std::string, ParsedEntry, std::less<>> &testEntries()
{
    static std::map<std::string, ParsedEntry, std::less<>> entries;
    return entries;
}

inline tl::expected<ParsedEntry, Findings> parseTestEntry(std::string_view name, std::string_view)
{
    return testEntries().find(name)->second;
}

inline NodeInfo makeNode(const std::string &name, const std::string &zone = "z1")
{
    return NodeInfo{name, "127.0.0.1:1", zone, Incarnation(std::hash<std::string>()(name)), false};
}

inline BackendInfo makeBackend(const std::string &name, const std::string &rack = "r1", std::uint32_t slots = 8)
{
    BackendInfo info;
    info.name = name;
    info.address = "127.0.0.1:2";
    info.zone = "z1";
    info.rack = rack;
    info.slots = slots;
    return info;
}

// One template "quote" (repeatable) and organisations "north" and "south".
struct SchedulerFixture
{
    explicit SchedulerFixture(OrganisationParameters north = {}, TemplateParameters quote = {})
    {
        quote.repeat = Repeat::Allowed;
        testEntries() = {{"template/quote", quote},
                         {"organisation/north", north},
                         {"organisation/south", OrganisationParameters{}}};
        ChangeRecord change{"c1", "test", {}};
        for (const auto &[name, entry] : testEntries())
            change.entries.push_back({name, 0, "x"});
        configuration.apply(LogRecord{0, 0, change});
        settings.self = makeNode("e-1");
        settings.parseEntry = parseTestEntry;
    }

    JobDescription ticket(std::uint64_t job, std::size_t tasks, std::string_view organisation = "north")
    {
        requests.assign(tasks, TaskRequest{});
        return JobDescription{JobId(job), *configuration.findOrganisation(organisation),
                              *configuration.findTemplate("quote"), now.monoUs + 10 * usPerS, requests};
    }

    template <typename S> Decisions &decide(S &scheduler)
    {
        decisions.clear();
        scheduler.decide(now, decisions);
        return decisions;
    }

    void advance(std::int64_t us)
    {
        now.monoUs += us;
        now.wallMs += us / usPerMs;
    }

    Configuration configuration{parseTestEntry};
    CoreSettings settings;
    Now now{0, 1700000000000};
    std::vector<TaskRequest> requests;
    Decisions decisions;
};

} // namespace clementinelift::core
