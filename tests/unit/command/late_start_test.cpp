// A start without an answer that a restarted backend server carries out seconds later, when nothing can reach it.
#include "unit/command/fleet_world.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

using Kind = AnswerKind;

constexpr TimeUs cutUs = 5 * usPerS;

struct LateStartSettings
{
    int size = 2;                        // entry VMs, and as many backend servers
    bool isCut = true;                   // the restarted backend server, once the start has been sent
    bool bindsOrders = false;            // see WorldSettings
    bool isCommanderCoordinator = false; // the job is submitted to the commander of the backend server
};

// Entry VMs and as many backend servers with two places each. A backend server restarts silently while a hold counts as
// open there, and the start of the job "late" is sent before it is cut off. It arrives if orders are not bound to an
// incarnation.
struct LateStart
{
    FleetWorld world;
    WorldJob late{.id = makeJobId(2), .workUs = 900 * usPerMs, .budgetUs = 1500 * usPerMs};
    int silent = -1;   // the restarted backend server
    int commander = 0; // its entry VM
    CallerId first{};

    // Without a cut, the job is submitted to an entry VM that does not command the backend server.
    LateStart(TimeUs darkUs, TimeUs lateUs, const LateStartSettings &settings = {})
        : world({.zones = {{"a", settings.size, settings.size}},
                 .lateOrdersArrive = true,
                 .bindsOrders = settings.bindsOrders})
    {
        const int size = settings.size;
        const bool isCut = settings.isCut;
        world.start();
        world.runFor(20 * usPerS); // the clocks of restarted backend servers are far behind
        const auto places = static_cast<std::uint32_t>(2 * size);
        const CallerId filler = world.submit(0, {.id = makeJobId(1), .tasks = places - 1, .workUs = 1200 * usPerMs});
        world.runFor(100 * usPerMs);
        REQUIRE(world.answer(filler) == nullptr);
        REQUIRE(world.runCount() == places - 1);
        for (int server = 0; server < size; ++server)
            silent = world.server(server).runs.size() == 1 ? server : silent;
        for (int node = 0; node < size; ++node)
            commander = world.core(node).commander().isCommanded(world.server(silent).entry.id) ? node : commander;
        world.crash(silent);
        world.runFor(darkUs);
        world.reboot(silent, 400 * usPerMs);
        world.setLostAnswers(1, lateUs);
        first = world.submit(settings.isCommanderCoordinator ? commander : isCut ? 0 : other(1), late);
        world.runFor((isCut ? 1 : 3) * usPerMs);
        world.setLostAnswers(0, 0);
        if (isCut)
            cut(true);
    }
    // Another entry VM than the commander of the backend server.
    int other(int number) const { return (commander + number) % world.nodeCount(); }
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

// Guards against a second run of a task whose commander is paused: other entry VMs must not count on the lease of a
// start of which they do not know that it was answered.
TEST_CASE("a task is not started again while its lost commander may have left the start unanswered")
{
    LateStart fixture(200 * usPerMs, 2600 * usPerMs, {.size = 3, .isCut = false});
    FleetWorld &world = fixture.world;
    world.freeze(fixture.commander, 4 * usPerS);
    CHECK(fixture.await(fixture.first).kind == Kind::GivenUp);
    world.runFor(1300 * usPerMs);
    CHECK_FALSE(fixture.hasRun());
    CHECK(fixture.await(world.submit(fixture.other(2), fixture.late)).kind == Kind::GivenUp);
    world.runFor(3 * usPerS); // the late start is carried out, and the commander resumes
    CHECK(world.startsOf(fixture.late.id) == 1);
    CHECK(fixture.await(world.submit(fixture.other(2), fixture.late)).kind == Kind::Completed);
    CHECK(join(world.violations()).empty());
}

// Guards against a second run of a task whose commander, which also coordinates its job, is lost right after the start:
// nobody else can know of the start, so it must not have reached the new incarnation.
TEST_CASE("a start given to an earlier incarnation is not carried out when its commander is lost")
{
    const bool isKilled = GENERATE(true, false);
    const TimeUs darkUs = GENERATE(60, 200, 400) * usPerMs;
    const TimeUs lateUs = GENERATE(1800, 2600, 4900) * usPerMs;
    LateStart fixture(darkUs, lateUs, {.size = 3, .isCut = false, .bindsOrders = true, .isCommanderCoordinator = true});
    FleetWorld &world = fixture.world;
    if (isKilled)
        world.kill(fixture.commander);
    else
        world.freeze(fixture.commander, 3600 * usPerMs);
    world.runFor(1300 * usPerMs);
    const CallerId again = world.submit(fixture.other(1), fixture.late);
    world.runFor(6 * usPerS);
    REQUIRE(world.answer(again) != nullptr);
    CHECK(world.answer(again)->kind == Kind::Completed);
    CHECK(world.startsOf(fixture.late.id) == 1);
    CHECK(join(world.violations()).empty());
}

// Guards against a job that is given up because a backend server has restarted unnoticed.
TEST_CASE("a start that has not reached a restarted backend server is sent again")
{
    FleetWorld world({.zones = {{"a", 1, 1}}});
    world.start();
    world.runFor(5 * usPerS);
    world.submit(0, {.id = makeJobId(1), .workUs = 900 * usPerMs});
    world.runFor(100 * usPerMs);
    world.crash(0);
    world.runFor(100 * usPerMs);
    world.reboot(0, usPerS);
    const CallerId caller = world.submit(0, {.id = makeJobId(2), .tasks = 2});
    world.runFor(200 * usPerMs);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
    CHECK(world.startsOf(makeJobId(2)) == 2);
    CHECK(join(world.violations()).empty());
}

// Guards against tasks that wait for seconds after the loss of an entry VM: the next commander settles their starts.
TEST_CASE("the start that a lost commander may have left unanswered is settled by the next one")
{
    LateStart fixture(200 * usPerMs, 5 * usPerS, {.size = 3, .isCut = false});
    FleetWorld &world = fixture.world;
    world.kill(fixture.commander);
    CHECK(fixture.await(fixture.first).kind == Kind::GivenUp);
    CHECK(fixture.await(world.submit(fixture.other(2), fixture.late)).kind == Kind::GivenUp);
    world.runFor(2 * usPerS);
    CHECK(fixture.await(world.submit(fixture.other(2), fixture.late)).kind == Kind::Completed);
    world.runFor(4 * usPerS);
    CHECK(world.startsOf(fixture.late.id) == 1);
    CHECK(join(world.violations()).empty());
}

// Guards against jobs that are given up for a run which their lost commander has reported as accepted: its lease ends
// it.
TEST_CASE("a task whose start was answered is started again when its lost commander's lease has ended")
{
    FleetWorld world({.zones = {{"a", 2, 2}}});
    world.start();
    const int commander = world.core(0).commander().isCommanded("s-0") ? 0 : 1;
    const WorldJob job{.id = makeJobId(1), .tasks = 4, .workUs = 900 * usPerMs, .budgetUs = 6 * usPerS};
    const CallerId caller = world.submit(1 - commander, job);
    world.runFor(300 * usPerMs); // two heartbeats
    world.powerOff(commander);
    world.runFor(5500 * usPerMs);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
    CHECK(join(world.violations()).empty());
}

} // namespace
} // namespace clementinelift::command
