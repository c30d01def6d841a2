// Measures one core on one CPU core: task decisions per second and memory per object.
//
//     core_bench [jobs]
//
// One entry VM owns all keys. Jobs are submitted in virtual time, every start is answered by an end after 10 ms. A
// decision is one task that was accepted, started, ended and answered, with all its events. Memory is counted at
// operator new.

#include "core/dispatcher.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <new>

// Memory --------------------------------------------------------------------------------------------

namespace {

std::int64_t allocatedBytes = 0; // of the heap, one thread

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    allocatedBytes += static_cast<std::int64_t>(malloc_usable_size(memory));
    return memory;
}

void operator delete(void *memory) noexcept
{
    if (memory == nullptr)
        return;
    allocatedBytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace {

using namespace clementinelift::core;

constexpr std::int64_t wallStartMs = 1733288000000;
constexpr std::int64_t taskUs = 10 * usPerMs;
constexpr std::size_t payloadBytes = 100;

tl::expected<ParsedEntry, Findings> parseEntry(std::string_view name, std::string_view text)
{
    (void)text;
    if (!name.starts_with("organisation/"))
        return TemplateParameters{.runMs = 10};
    OrganisationParameters parameters;
    parameters.concurrency = 1000000;
    parameters.ratePerS = 1e9;
    return parameters;
}

struct Running
{
    std::int64_t endUs = 0;
    AttemptId attempt;
};

// One core whose log and backend servers answer in virtual time.
class Bench
{
public:
    Bench(std::size_t backends, std::size_t organisations, std::uint64_t maxAnswerBytes = 256u << 20)
        : m_core(settings(maxAnswerBytes)), m_organisations(organisations)
    {
        handle(LogRead{Stream::Config, 0, 0, true, {}});
        publish("template/quote");
        addOrganisations(0, organisations);
        handle(LogRead{Stream::Ownership, 0, 0, true, {}});
        setBackends(backends);
        advance(2 * usPerS);
        if (!m_core.isReady())
            std::abort();
    }

    void setBackends(std::size_t count)
    {
        VmListRead list;
        for (std::size_t i = 0; i < count; ++i)
            list.backends.push_back({.name = "backend-" + std::to_string(i),
                                     .address = "10.0.0.1:" + std::to_string(i),
                                     .zone = "z1",
                                     .rack = "rack-" + std::to_string(i / 8)});
        handle(std::move(list));
    }

    void addOrganisations(std::size_t from, std::size_t to)
    {
        for (std::size_t i = from; i < to; ++i)
            publish("organisation/organisation-" + std::to_string(i));
        m_organisations = to;
    }

    void submit(std::size_t tasks)
    {
        SubmitJob event;
        event.caller = CallerId(++m_jobs);
        event.request.organisation = "organisation-" + std::to_string(m_jobs % m_organisations);
        event.request.templateName = "quote";
        event.request.key = makeKey(now().wallMs, m_jobs, m_jobs * 0x9e3779b97f4a7c15);
        event.request.bodyHash = m_jobs;
        event.request.tasks.resize(tasks);
        for (TaskRequest &task : event.request.tasks)
            task.payload.assign(payloadBytes, 'x');
        handle(std::move(event));
    }

    // Moves the clock on and ends the tasks that are due.
    void advance(std::int64_t us)
    {
        const std::int64_t endUs = m_us + us;
        while (m_us < endUs) {
            std::int64_t next = std::min(endUs, m_timerUs);
            if (!m_running.empty())
                next = std::min(next, m_running.front().endUs);
            m_us = std::max(m_us, next);
            while (!m_running.empty() && m_running.front().endUs <= m_us) {
                const AttemptId attempt = m_running.front().attempt;
                m_running.pop_front();
                handle(AttemptEnded{attempt, AttemptOutcome::Completed, std::string(payloadBytes, 'r'), taskUs});
            }
            if (m_us >= m_timerUs) {
                m_timerUs = INT64_MAX;
                handle(TimerFired{});
            }
        }
    }

    Dispatcher &core() { return m_core; }
    std::uint64_t answers() const { return m_answers; }
    std::size_t running() const { return m_running.size(); }

private:
    static CoreSettings settings(std::uint64_t maxAnswerBytes)
    {
        CoreSettings settings;
        settings.self = {.name = "e-0", .address = "10.0.0.1:1", .zone = "z1", .incarnation = Incarnation(99)};
        settings.parseEntry = parseEntry;
        settings.maxRememberedKeys = 20000000;
        settings.maxAnswerBytes = maxAnswerBytes;
        return settings;
    }

    Now now() const { return {m_us, wallStartMs + m_us / usPerMs}; }

    void publish(const std::string &entry)
    {
        const LogRecord record{m_configEnd, now().wallMs, ChangeRecord{entry, "bench", {{entry, 0, "text"}}}};
        ++m_configEnd;
        handle(LogRead{Stream::Config, 0, m_configEnd, true, {record}});
    }

    void handle(Event &&event)
    {
        Actions actions;
        std::swap(actions, m_actions);
        m_core.handle(now(), std::move(event), actions);
        std::vector<LogRecord> appended;
        for (Action &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action))
                m_running.push_back({m_us + taskUs, start->attempt});
            else if (std::holds_alternative<AnswerCaller>(action))
                ++m_answers;
            else if (const auto *timer = std::get_if<SetTimer>(&action))
                m_timerUs = timer->monoUs;
            else if (auto *append = std::get_if<AppendLog>(&action); append && append->stream == Stream::Ownership)
                appended.push_back({m_ownershipEnd++, now().wallMs, std::move(append->body)});
        }
        actions.clear();
        std::swap(actions, m_actions);
        if (!appended.empty())
            handle(LogRead{Stream::Ownership, 0, m_ownershipEnd, true, std::move(appended)});
    }

    Dispatcher m_core;
    Actions m_actions; // keeps its memory between events
    std::size_t m_organisations;
    std::int64_t m_us = usPerS;
    std::int64_t m_timerUs = INT64_MAX;
    std::int64_t m_configEnd = 0;
    std::int64_t m_ownershipEnd = 0;
    std::uint64_t m_jobs = 0;
    std::uint64_t m_answers = 0;
    std::deque<Running> m_running; // by end, because all tasks take the same time
};

// Decisions -----------------------------------------------------------------------------------------

void measureDecisions(std::size_t backends, std::size_t tasksPerJob, std::size_t jobs)
{
    Bench bench(backends, 72);
    const std::size_t slots = backends * 8;
    const std::clock_t begin = std::clock();
    for (std::size_t i = 0; i < jobs; ++i) {
        bench.submit(tasksPerJob);
        if (bench.running() + tasksPerJob > slots * 9 / 10)
            bench.advance(taskUs);
    }
    bench.advance(usPerS);
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    const std::uint64_t tasks = bench.core().counters().attempts;
    std::printf("decisions backends=%zu tasks_per_job=%zu tasks=%llu answers=%llu cpu_s=%.3f decisions_per_s=%.0f\n",
                backends, tasksPerJob, static_cast<unsigned long long>(tasks),
                static_cast<unsigned long long>(bench.answers()), seconds, static_cast<double>(tasks) / seconds);
}

// Memory --------------------------------------------------------------------------------------------

// Results have a bound of their own; without them the rest is what a key takes.
void measureKeys(std::size_t jobs, std::uint64_t maxAnswerBytes)
{
    Bench bench(50, 4, maxAnswerBytes);
    const std::int64_t before = allocatedBytes;
    for (std::size_t i = 0; i < jobs; ++i) {
        bench.submit(1);
        // 1,000 jobs a second, so that the timers of open deadlines weigh little.
        if (i % 10 == 0)
            bench.advance(taskUs);
    }
    bench.advance(30 * usPerS);
    const std::size_t keys = bench.core().rememberedKeys();
    const auto stored = static_cast<std::int64_t>(bench.core().answerBytes());
    std::printf("memory per remembered key: keys=%zu bytes=%.1f results_in_bound=%.1f\n", keys,
                static_cast<double>(allocatedBytes - before) / static_cast<double>(keys),
                static_cast<double>(stored) / static_cast<double>(keys));
}

void measureBackends(std::size_t count)
{
    Bench bench(1, 4);
    const std::int64_t before = allocatedBytes;
    bench.setBackends(count);
    std::printf("memory per backend server: servers=%zu bytes=%.1f\n", count,
                static_cast<double>(allocatedBytes - before) / static_cast<double>(count - 1));
}

void measureOrganisations(std::size_t count)
{
    Bench bench(50, 1);
    const std::int64_t before = allocatedBytes;
    bench.addOrganisations(1, count);
    std::printf("memory per organisation: organisations=%zu bytes=%.1f\n", count,
                static_cast<double>(allocatedBytes - before) / static_cast<double>(count - 1));
}

} // namespace

int main(int argc, char **argv)
{
    const std::size_t jobs = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 200000;
    measureDecisions(50, 1, jobs);
    measureDecisions(50, 10, jobs / 10);
    measureDecisions(50, 300, jobs / 300);
    measureDecisions(5200, 10, jobs / 10);
    measureKeys(jobs, 0);
    measureKeys(jobs, 256u << 20);
    measureBackends(5200);
    measureOrganisations(1000);
    return 0;
}
