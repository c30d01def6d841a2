// A start without an answer that a restarted backend server carries out seconds later, when nothing can reach it.
#include "unit/command/fleet_world.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

using Kind = AnswerKind;

constexpr TimeUs cutUs = 5 * usPerS;

// Two entry VMs and two backend servers with two places each. A backend server restarts silently while a hold counts as
// open there, and receives the start of the job "late" before it is cut off.
struct LateStart
{
    FleetWorld world{{.zones = {{"a", 2, 2}}, .lateOrdersArrive = true}};
    WorldJob late{.id = makeJobId(2), .workUs = 900 * usPerMs, .budgetUs = 1500 * usPerMs};
    int silent = -1; // the restarted backend server
    CallerId first{};

    explicit LateStart(TimeUs darkUs, TimeUs lateUs)
    {
        world.start();
        world.runFor(20 * usPerS); // the clocks of restarted backend servers are far behind
        const CallerId filler = world.submit(0, {.id = makeJobId(1), .tasks = 3, .workUs = 1200 * usPerMs});
        world.runFor(100 * usPerMs);
        REQUIRE(world.answer(filler) == nullptr);
        REQUIRE(world.runCount() == 3);
        silent = world.server(0).runs.size() == 1 ? 0 : 1;
        world.crash(silent);
        world.runFor(darkUs);
        world.reboot(silent, 400 * usPerMs);
        world.setLostAnswers(1, lateUs);
        first = world.submit(0, late);
        world.runFor(usPerMs);
        world.setLostAnswers(0, 0);
        cut(true);
    }
    void cut(bool isCut)
    {
        for (int node = 0; node < world.nodeCount(); ++node)
            world.cutServer(node, silent, isCut);
    }
    bool hasRun() const { return world.startsOf(late.id) > 0; }
    // Runs until the caller has its answer.
    FleetWorld::Answered await(CallerId caller)
    {
        for (int i = 0; i < 300 && world.answer(caller) == nullptr; ++i)
            world.runFor(10 * usPerMs);
        REQUIRE(world.answer(caller) != nullptr);
        return *world.answer(caller);
    }
};

// Guards against a second run of a task at the other entry VM while the first one may yet begin.
TEST_CASE("a task whose start may be carried out late is not started at another entry VM")
{
    const TimeUs darkUs = GENERATE(60, 200) * usPerMs;
    const TimeUs lateUs = GENERATE(2000, 2200, 4000) * usPerMs;
    const TimeUs resubmitUs = GENERATE(700, 1300) * usPerMs;
    LateStart fixture(darkUs, lateUs);
    FleetWorld &world = fixture.world;
    CHECK(fixture.await(fixture.first).kind == Kind::GivenUp);
    world.runFor(resubmitUs);
    CHECK_FALSE(fixture.hasRun());
    const FleetWorld::Answered again = fixture.await(world.submit(1, fixture.late));
    CHECK(again.kind == Kind::GivenUp); // a refusal would say that the job never runs
    CHECK(again.afterUs < 50 * usPerMs);
    CHECK(again.retryAfterUs > usPerS);
    world.runFor(cutUs - resubmitUs);
    CHECK(world.startsOf(fixture.late.id) == 1);

    // Once the backend server answers, the task is free again on all entry VMs, long before the latest possible end.
    fixture.cut(false);
    world.runFor(usPerS);
    CHECK(fixture.await(world.submit(1, fixture.late)).kind == Kind::Completed);
    CHECK(fixture.await(world.submit(0, {.id = makeJobId(3)})).kind == Kind::Completed);
    CHECK(join(world.violations()).empty());
}

// Guards against a task that stays blocked, or is started too early, when the entry VM that sent the order is gone:
// only its successor reaches the backend server.
TEST_CASE("the next commander settles the unanswered start of a commander that has gone")
{
    LateStart fixture(200 * usPerMs, 5 * usPerS);
    FleetWorld &world = fixture.world;
    CHECK(fixture.await(fixture.first).kind == Kind::GivenUp);
    world.runFor(100 * usPerMs);
    world.kill(0);
    world.runFor(1200 * usPerMs);
    CHECK(fixture.await(world.submit(1, fixture.late)).kind == Kind::GivenUp);
    world.runFor(300 * usPerMs); // the membership of the entry VM has lapsed, its backend servers are reassigned
    fixture.cut(false);
    world.runFor(usPerS); // longer than the interval at which it is asked
    CHECK_FALSE(fixture.hasRun());
    CHECK(fixture.await(world.submit(1, fixture.late)).kind == Kind::Completed);
    world.runFor(5 * usPerS);
    CHECK(world.startsOf(fixture.late.id) == 1); // the late order was rejected
    CHECK(join(world.violations()).empty());
}

// Guards against tasks that are blocked for long after an ordinary crash: a refused connection shows that the process
// has ended that may have received the start.
TEST_CASE("a start that a crashed backend server has not answered is repeated when connections are refused")
{
    FleetWorld world({.zones = {{"a", 2, 2}}});
    world.start();
    const WorldJob job{.id = makeJobId(1), .tasks = 4, .workUs = 60 * usPerMs, .budgetUs = 3 * usPerS};
    const CallerId caller = world.submit(0, job);
    world.runFor(200); // the starts are on their way
    world.crash(0, true);
    world.runFor(2500 * usPerMs);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
    CHECK(join(world.violations()).empty());
}

// Guards against a task that stays blocked for ever when nothing is heard of its backend server again.
TEST_CASE("a task with an unanswered start is started again when late orders are no longer carried out")
{
    LateStart fixture(200 * usPerMs, 12 * usPerS);
    FleetWorld &world = fixture.world;
    CHECK(fixture.await(fixture.first).kind == Kind::GivenUp);
    for (int second = 0; second < 12; ++second) {
        world.runFor(usPerS);
        CHECK(fixture.await(world.submit(1, fixture.late)).kind == Kind::GivenUp);
    }
    CHECK(world.startsOf(fixture.late.id) == 1);
    world.runFor(3500 * usPerMs);
    CHECK(fixture.await(world.submit(1, fixture.late)).kind == Kind::Completed);
    CHECK(join(world.violations()).empty());
}

} // namespace
} // namespace clementinelift::command
