// Tests of the bound on the memory of jobs.
#include "unit/command/fleet_world.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

using Kind = AnswerKind;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr std::uint32_t wideTasks = 10000;

Kind kindOf(const FleetWorld &world, CallerId caller)
{
    const FleetWorld::Answered *answer = world.answer(caller);
    return answer == nullptr ? Kind::Pending : answer->kind;
}

TEST_CASE("a job takes at most a quarter of the memory that is left")
{
    JobMemory memory(1600);
    CHECK_FALSE(memory.tryTake(401));
    CHECK(memory.tryTake(400));
    CHECK_FALSE(memory.tryTake(301));
    CHECK(memory.tryTake(300));
    CHECK(memory.usedBytes() == 700);
    memory.release(700);
    CHECK(memory.tryTake(400));
    CHECK_FALSE(JobMemory(0).tryTake(1));
}

// Guards against jobs of many tasks that exhaust the memory or keep small jobs out.
TEST_CASE("wide jobs stay within the memory for jobs and leave room for small ones")
{
    FleetWorld world({.zones = {{"a", 1, 4}}, .jobBytes = 30 * mib});
    world.start();
    std::vector<CallerId> wide;
    std::size_t refused = 0;
    for (std::uint64_t number = 1; number <= 300; ++number) {
        wide.push_back(world.submit(0, {.id = makeJobId(number), .tasks = wideTasks, .budgetUs = 60 * usPerS}));
        CHECK(world.core(0).jobMemory().usedBytes() <= 30 * mib);
        if (kindOf(world, wide.back()) != Kind::Refused)
            continue;
        ++refused;
        CHECK(world.answer(wide.back())->reason == "no_memory");
        CHECK(world.answer(wide.back())->retryAfterUs >= usPerS);
    }
    CHECK(kindOf(world, wide.front()) == Kind::Pending);
    CHECK(refused > 200);
    const CallerId small = world.submit(0, {.id = makeJobId(1000), .milliCores = 1000});
    world.runFor(usPerS);
    REQUIRE(world.answer(small) != nullptr);
    CHECK(world.answer(small)->reason != "no_memory");
    for (const CallerId caller : wide)
        world.leave(0, caller);
    world.runFor(5 * usPerS);
    CHECK(world.core(0).jobCount() == 0);
    CHECK(world.core(0).jobMemory().usedBytes() == 0);
    const CallerId calm = world.submit(0, {.id = makeJobId(1001), .tasks = 4});
    world.runFor(usPerS);
    CHECK(kindOf(world, calm) == Kind::Completed);
    CHECK(world.violations().empty());
}

// Guards against the answer "not run" to the second submission of a job whose first one has started tasks.
TEST_CASE("a job that may have run is given up, not refused, without memory")
{
    FleetWorld world({.zones = {{"a", 1, 4}}, .jobBytes = 100 * kib});
    world.start();
    const WorldJob job{.id = makeJobId(1), .tasks = 100, .workUs = 2 * usPerS, .milliCores = 1000};
    const CallerId first = world.submit(0, job);
    world.runFor(500 * usPerMs);
    REQUIRE(world.startsOf(job.id) > 0);
    world.leave(0, first);
    const CallerId other = world.submit(0, {.id = makeJobId(2), .tasks = 100, .workUs = 2 * usPerS});
    const CallerId again = world.submit(0, job);
    CHECK(kindOf(world, other) == Kind::Pending);
    REQUIRE(world.answer(again) != nullptr);
    CHECK(world.answer(again)->kind == Kind::GivenUp);
    CHECK(world.answer(again)->reason == "no_memory");
}

// Guards against orders that exhaust the memory: each start in progress carries the specification of its job.
TEST_CASE("starts and runs in progress stay within their limits")
{
    FleetWorld world({.zones = {{"a", 2, 4}}, .orderDelayUs = 20 * usPerMs, .maxStarts = 64, .maxRuns = 500});
    world.start();
    std::vector<CallerId> callers;
    for (std::uint64_t number = 1; number <= 20; ++number)
        callers.push_back(world.submit(static_cast<int>(number % 2),
                                       {.id = makeJobId(number), .tasks = 200, .workUs = usPerS, .milliCores = 0}));
    std::size_t mostStarts = 0;
    std::size_t mostRuns = 0;
    for (int step = 0; step < 400; ++step) {
        world.runFor(5 * usPerMs);
        for (int node = 0; node < 2; ++node) {
            mostStarts = std::max(mostStarts, world.core(node).commander().startDelay().unanswered());
            mostRuns = std::max(mostRuns, world.core(node).commander().runCount());
        }
    }
    CHECK(mostStarts > 32);
    CHECK(mostStarts <= 64);
    CHECK(mostRuns > 64);
    CHECK(mostRuns <= 500);
    world.runFor(10 * usPerS);
    for (const CallerId caller : callers)
        CHECK(world.answer(caller) != nullptr);
    CHECK(world.violations().empty());
}

// Guards against one request for each run of a wide job when it is cancelled, and against stops that are forgotten.
TEST_CASE("a limited number of stops is in progress at a time")
{
    FleetWorld world({.zones = {{"a", 1, 4}}, .orderDelayUs = 10 * usPerMs});
    world.start();
    const WorldJob job{
            .id = makeJobId(1), .tasks = 4000, .workUs = 20 * usPerS, .milliCores = 0, .budgetUs = 60 * usPerS};
    const CallerId caller = world.submit(0, job);
    world.runFor(2 * usPerS);
    REQUIRE(world.core(0).commander().runCount() == 4000);
    world.leave(0, caller);
    std::size_t most = 0;
    for (int step = 0; step < 100; ++step) {
        world.runFor(10 * usPerMs);
        most = std::max(most, world.core(0).commander().stopsInProgress());
    }
    CHECK(most == 256);
    world.runFor(2 * usPerS);
    CHECK_FALSE(world.core(0).commander().hasRuns());
    CHECK(world.core(0).commander().stopsInProgress() == 0);
    CHECK(world.violations().empty());
}

} // namespace
} // namespace clementinelift::command
