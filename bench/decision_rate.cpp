// Measures task decisions a second of the shipped scheduler on one core, and its memory for each backend server.
//
//     decision_rate [BACKENDS...]     default: 50 500 5000
//
// One decision is admit, enqueue, decide and the end of the attempt of one task. The pool is kept about 90% busy.

#include "core/scheduler.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <malloc.h>

using namespace clementinelift::core;

namespace {

tl::expected<ParsedEntry, Findings> parseEntry(std::string_view name, std::string_view)
{
    if (name.substr(0, 8) == "template")
        return TemplateParameters{};
    OrganisationParameters parameters;
    parameters.concurrency = 1000000;
    parameters.ratePerS = 1e9;
    return parameters;
}

void measure(std::uint32_t backendCount)
{
    constexpr std::uint32_t organisations = 4;
    constexpr std::uint64_t decisionCount = 400000;
    Configuration configuration(parseEntry);
    ChangeRecord change{"c", "bench", {{"template/quote", 0, "x"}}};
    for (std::uint32_t i = 0; i < organisations; ++i)
        change.entries.push_back({"organisation/o" + std::to_string(i), 0, "x"});
    configuration.apply(LogRecord{0, 0, change});
    CoreSettings settings;
    settings.self.name = "e-1";
    settings.self.zone = "z1";
    settings.parseEntry = parseEntry;
    settings.maxQueuedTasks = 1000000;

    Now now{0, 1700000000000};
    const std::size_t before = mallinfo2().uordblks;
    Scheduler scheduler(settings, configuration);
    std::vector<BackendInfo> backends;
    for (std::uint32_t i = 0; i < backendCount; ++i) {
        BackendInfo info;
        info.name = "b-" + std::to_string(i);
        info.zone = "z1";
        info.rack = "r" + std::to_string(i / 8);
        backends.push_back(info);
    }
    scheduler.setBackends(backends, now);
    const std::size_t after = mallinfo2().uordblks;
    backends.clear();

    struct Running
    {
        TaskRef task;
        BackendId backend{};
    };
    std::deque<Running> running;
    Decisions decisions;
    std::uint64_t nextJob = 1;
    std::uint64_t started = 0;
    const std::vector<TaskRequest> tasks(1);
    const std::size_t busy = backendCount * 8 * 9 / 10;
    const std::int64_t stepUs = std::max<std::int64_t>(1, static_cast<std::int64_t>(200 * usPerMs / busy));
    const auto begin = std::chrono::steady_clock::now();
    while (started < decisionCount) {
        now.monoUs += stepUs;
        const JobDescription job{JobId(nextJob), OrganisationId(nextJob % organisations), TemplateId(0),
                                 now.monoUs + 10 * usPerS, tasks};
        if (scheduler.admit(job, now) == Reason::None) {
            scheduler.enqueue(job, now);
            ++nextJob;
        }
        decisions.clear();
        scheduler.decide(now, decisions);
        for (const auto &start : decisions.starts)
            running.push_back({start.task, start.backend});
        started += decisions.starts.size();
        if (running.size() >= busy) {
            const Running ended = running.front();
            running.pop_front();
            const std::uint32_t serviceUs = 100000 + raw(ended.backend) * 7919 % 300000;
            scheduler.onAttemptEnded(ended.task, AttemptOutcome::Completed, serviceUs, true, now);
        }
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    std::printf("%6u backend servers: %8.0f decisions/s, %.2f us each, %zu bytes a backend server at start\n",
                backendCount, static_cast<double>(started) / seconds, 1e6 * seconds / static_cast<double>(started),
                (after - before) / backendCount);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        for (const std::uint32_t count : {50u, 500u, 5000u})
            measure(count);
    for (int i = 1; i < argc; ++i)
        measure(static_cast<std::uint32_t>(std::strtoul(argv[i], nullptr, 10)));
    return 0;
}
