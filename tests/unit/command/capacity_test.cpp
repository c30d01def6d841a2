// Tests of backend servers whose capacity changes while they are at work.
#include "unit/command/fleet_world.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

using Kind = AnswerKind;

// Guards against starts beyond a capacity that has shrunk, on backend servers that do not reject them.
TEST_CASE("no start brings a backend server over a capacity that has shrunk")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetWorld world({.zones = {{"a", 2, 4}, {"b", 2, 4}}, .seed = seed});
        world.start();
        for (int server = 0; server < world.serverCount(); ++server)
            world.server(server).guardsCapacity = false;
        std::vector<CallerId> callers;
        for (std::uint64_t number = 1; number <= 400; ++number) {
            const WorldJob job{.id = makeJobId(number), .tasks = 3, .workUs = 100 * usPerMs};
            callers.push_back(
                    world.submit(static_cast<int>(number % static_cast<std::uint64_t>(world.nodeCount())), job));
            if (number % 10 == 0) {
                const auto server = static_cast<int>(world.random()() % 8);
                world.resizeServer(server, world.random()() % 2 == 0 ? 32000 : 15000, 200 * usPerMs);
            }
            world.runFor(20 * usPerMs);
        }
        world.runFor(3 * usPerS);
        INFO("seed " << seed);
        CHECK(join(world.violations()).empty());
        CHECK(world.starts() > 400);
        for (const CallerId caller : callers) {
            REQUIRE(world.answer(caller) != nullptr);
            CHECK(world.answer(caller)->kind != Kind::Failed);
        }
    }
}

// Guards against starts that are repeated at once, as often as the answers come, until the entry is read.
TEST_CASE("a start that a shrunk backend server rejects is not repeated there at once")
{
    FleetWorld world({.zones = {{"a", 1, 1}}});
    world.start();
    world.resizeServer(0, 10000, 500 * usPerMs);
    const CallerId caller =
            world.submit(0, {.id = makeJobId(1), .tasks = 2, .workUs = 60 * usPerMs, .budgetUs = 3 * usPerS});
    world.runFor(3 * usPerS);
    CHECK(world.rejectedStarts() < 10);
    CHECK(world.answer(caller) != nullptr);
}

// Guards against a start that was kept for an idle backend server until its capacity had shrunk.
TEST_CASE("a held start is not sent beyond a capacity that has shrunk meanwhile")
{
    FleetWorld world({.zones = {{"a", 1, 1}}, .orderDelayUs = 20 * usPerMs});
    world.start();
    world.runFor(usPerS);
    world.server(0).guardsCapacity = false;
    world.submit(0, {.id = makeJobId(1), .workUs = 60 * usPerMs});
    world.runFor(5 * usPerMs);
    world.resizeServer(0, 10000);
    world.runFor(usPerS);
    CHECK(world.starts() == 0);
    CHECK(join(world.violations()).empty());
}

// Guards against the final answer "failed" for a job that fits again once the backend servers have grown.
TEST_CASE("a job that fits no backend server while all have shrunk is refused at once, not failed")
{
    FleetWorld world({.zones = {{"a", 2, 4}}});
    world.start();
    for (int server = 0; server < world.serverCount(); ++server)
        world.resizeServer(server, 10000);
    world.runFor(10 * usPerMs);
    const CallerId meanwhile = world.submit(0, {.id = makeJobId(1), .milliCores = 14000});
    REQUIRE(world.answer(meanwhile) != nullptr);
    CHECK(world.answer(meanwhile)->kind == Kind::Refused);
    CHECK(world.answer(meanwhile)->retryAfterUs > 0);
    const CallerId tooLarge = world.submit(0, {.id = makeJobId(2), .milliCores = 64000});
    REQUIRE(world.answer(tooLarge) != nullptr);
    CHECK(world.answer(tooLarge)->kind == Kind::Failed);
    world.resizeServer(2, 32000);
    world.runFor(10 * usPerMs);
    const CallerId after = world.submit(0, {.id = makeJobId(1), .milliCores = 14000});
    world.runFor(usPerS);
    REQUIRE(world.answer(after) != nullptr);
    CHECK(world.answer(after)->kind == Kind::Completed);
}

} // namespace
} // namespace clementinelift::command
