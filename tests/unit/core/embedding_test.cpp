// The example of docs/embedding.md: a core in a minimal event loop, with a log and a backend server in memory.

#include "core/dispatcher.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace clementinelift::core;

namespace {

tl::expected<ParsedEntry, Findings> parseEntry(std::string_view name, std::string_view)
{
    if (name.starts_with("template/"))
        return TemplateParameters{};
    return OrganisationParameters{};
}

class EventLoop
{
public:
    EventLoop() : m_core(settings())
    {
        m_events.emplace_back(VmListRead{{{.name = "b-1", .address = "127.0.0.1:9001", .zone = "z1"}}, {}});
        append(Stream::Config, ChangeRecord{"c-1", "operator", {{"template/quote", 0, "any"}}});
        append(Stream::Config, ChangeRecord{"c-2", "operator", {{"organisation/north", 0, "any"}}});
        m_events.emplace_back(LogRead{Stream::Ownership, 0, 0, true, {}});
    }

    void post(Event &&event) { m_events.push_back(std::move(event)); }

    // Handles all events and timers that are due within the given time.
    void run(std::int64_t us)
    {
        const std::int64_t endUs = m_monoUs + us;
        while (!m_events.empty() || m_timerUs <= endUs) {
            if (m_events.empty()) {
                m_monoUs = std::max(m_monoUs, m_timerUs);
                m_timerUs = INT64_MAX;
                m_events.emplace_back(TimerFired{});
            }
            Event event = std::move(m_events.front());
            m_events.pop_front();
            Actions actions;
            m_core.handle({m_monoUs, wallMs()}, std::move(event), actions);
            for (Action &action : actions)
                std::visit([this](auto &alternative) { carryOut(alternative); }, action);
        }
        m_monoUs = endUs;
    }

    std::int64_t wallMs() const { return 1733288000000 + m_monoUs / usPerMs; }
    const Dispatcher &core() const { return m_core; }

    std::vector<Answer> answers;

private:
    static CoreSettings settings()
    {
        CoreSettings settings;
        settings.self = {.name = "e-1", .address = "127.0.0.1:7101", .zone = "z1", .incarnation = Incarnation(0x5eed)};
        settings.parseEntry = parseEntry;
        return settings;
    }

    void append(Stream stream, LogBody &&body)
    {
        std::int64_t &end = m_ends[static_cast<std::size_t>(stream)];
        const LogRecord record{end++, wallMs(), std::move(body)};
        m_events.emplace_back(LogRead{stream, 0, end, true, {record}});
    }

    void carryOut(AnswerCaller &action) { answers.push_back(std::move(action.answer)); }
    void carryOut(SetTimer &action) { m_timerUs = action.monoUs; }
    void carryOut(AppendLog &action)
    {
        append(action.stream, std::move(action.body));
        m_events.emplace_back(AppendEnded{action.append, AppendOutcome::Appended,
                                          m_ends[static_cast<std::size_t>(action.stream)] - 1});
    }
    void carryOut(StartAttempt &action)
    {
        m_events.emplace_back(AttemptEnded{action.attempt, AttemptOutcome::Completed, "done: " + action.payload, 1000});
    }
    template <typename A> void carryOut(A &) {} // peers and notices are not used

    Dispatcher m_core;
    std::deque<Event> m_events;
    std::int64_t m_monoUs = 0;
    std::int64_t m_timerUs = INT64_MAX;
    std::int64_t m_ends[2] = {0, 0};
};

} // namespace

// Guards the documented embedding of the core.
TEST_CASE("the core runs a job in the event loop of the embedding process")
{
    EventLoop loop;
    loop.run(usPerS);
    REQUIRE(loop.core().isReady());
    JobRequest request{
            .organisation = "north", .templateName = "quote", .key = makeKey(loop.wallMs(), 1, 2), .tasks = {}};
    request.tasks.push_back({.payload = "rack 17"});
    loop.post(SubmitJob{CallerId(1), true, std::move(request)});
    loop.run(usPerS);
    REQUIRE(loop.answers.size() == 1);
    CHECK(loop.answers[0].kind == AnswerKind::Complete);
    CHECK(loop.answers[0].results == std::vector<std::string>{"done: rack 17"});

    loop.post(BeginDrain{});
    loop.run(5 * usPerS);
    CHECK_FALSE(loop.core().isReady());
}
