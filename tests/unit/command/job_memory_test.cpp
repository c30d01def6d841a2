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

} // namespace
} // namespace clementinelift::command
