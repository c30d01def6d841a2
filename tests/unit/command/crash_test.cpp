// Tests of tasks that crash each backend server that starts them.
#include "unit/command/fleet_world.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

using Kind = AnswerKind;

// A task may crash at most this many backend servers; one crash has several possible causes.
constexpr int crashLimit = 2;

WorldJob makeDeadlyJob(TimeUs budgetUs)
{
    return {.id = makeJobId(66), .tasks = 4, .workUs = 60 * usPerMs, .budgetUs = budgetUs, .path = "/l/", .deadly = 1};
}

// Guards against reports of known counts that entry VMs send each other without an end.
TEST_CASE("only a higher count of a peer changes the record, and counts are forgotten")
{
    CrashRecord record;
    const TaskId task{makeJobId(1), 3};
    CHECK(record.add(usPerS, task) == 1);
    const std::uint64_t version = record.version();
    CHECK_FALSE(record.merge(usPerS, {task, 1}));
    CHECK(record.version() == version);
    CHECK(record.changedSince(version).empty());
    CHECK(record.merge(usPerS, {task, 2}));
    REQUIRE(record.changedSince(version).size() == 1);
    CHECK(record.changedSince(version).front().count == 2);
    CHECK(record.ofJob(makeJobId(1)).size() == 1);
    CHECK(record.ofJob(makeJobId(2)).empty());
    record.expire(90 * usPerS);
    CHECK(record.count(task) == 0);
}

// Guards against one task that crashes server after server for as long as its caller waits.
TEST_CASE("a task that crashes its backend servers is given up after two crashes")
{
    FleetWorld world({.zones = {{"a", 2, 8}, {"b", 2, 8}}});
    world.start();
    const WorldJob job = makeDeadlyJob(30 * usPerS);
    const CallerId caller = world.submit(0, job);
    world.runFor(15 * usPerS);
    CHECK(world.crashesBy(job.id) == crashLimit);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Failed);
    CHECK(world.answer(caller)->afterUs < 4 * usPerS);
    CHECK(join(world.violations()).empty());
}

// Guards against crashes that are never counted, because the registry entry expires before the backend server is back.
TEST_CASE("a task whose backend servers leave the registry is given up")
{
    FleetWorld world({.zones = {{"a", 2, 12}, {"b", 2, 12}}});
    world.start();
    world.setCrashesRefuse(false);
    world.setRestart(3 * usPerS, 2 * usPerS);
    const WorldJob job = makeDeadlyJob(30 * usPerS);
    const CallerId caller = world.submit(0, job);
    world.runFor(32 * usPerS);
    CHECK(world.crashesBy(job.id) <= 3);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->afterUs < 5 * usPerS);
}

// Guards against further crashes until the first of several silent ones is known.
TEST_CASE("a task that has lost three backend servers is not started again")
{
    const TimeUs restartUs = GENERATE(3, 5, 8, 15) * usPerS;
    FleetWorld world({.zones = {{"a", 2, 12}, {"b", 2, 12}}});
    world.start();
    world.setCrashesRefuse(false);
    world.setRestart(restartUs, 3600 * usPerS);
    const WorldJob job = makeDeadlyJob(30 * usPerS);
    const CallerId caller = world.submit(0, job);
    world.runFor(32 * usPerS);
    CHECK(world.crashesBy(job.id) <= 3);
    REQUIRE(world.answer(caller) != nullptr);
}

// Guards against crashes without a bound when the caller submits the job again, each time to another entry VM.
TEST_CASE("a job that is submitted again after crashes brings them along to any entry VM")
{
    FleetWorld world({.zones = {{"a", 2, 12}, {"b", 2, 12}}});
    world.start();
    const WorldJob job = makeDeadlyJob(900 * usPerMs); // less than a lease: one crash for each submission
    Kind last = Kind::GivenUp;
    int submissions = 0;
    for (; submissions < 8 && last == Kind::GivenUp; ++submissions) {
        const CallerId caller = world.submit(submissions % world.nodeCount(), job);
        world.runFor(2 * usPerS);
        REQUIRE(world.answer(caller) != nullptr);
        last = world.answer(caller)->kind;
        world.runFor(1300 * usPerMs);
    }
    CHECK(last == Kind::Failed);
    CHECK(submissions == crashLimit);
    CHECK(world.crashesBy(job.id) == crashLimit);
    CHECK(join(world.violations()).empty());
}

// Guards against the answer "failed" for a job whose only fault is that it shared backend servers with a deadly task.
TEST_CASE("a task that was lost beside a deadly one is completed on a backend server of its own")
{
    FleetWorld world({.zones = {{"a", 2, 3}}});
    world.start();
    const WorldJob innocent{
            .id = makeJobId(1), .tasks = 3, .workUs = 300 * usPerMs, .budgetUs = 20 * usPerS, .path = "/l/"};
    const CallerId caller = world.submit(0, innocent);
    world.runFor(20 * usPerMs);
    for (std::uint64_t number = 70; number < 74; ++number) {
        WorldJob deadly = makeDeadlyJob(10 * usPerS);
        deadly.id = makeJobId(number);
        deadly.tasks = 1;
        world.submit(1, deadly);
    }
    world.runFor(20 * usPerS);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
    CHECK(join(world.violations()).empty());
}

// Guards against the answer "failed" for a job whose backend servers leave as planned while its task is still at work.
TEST_CASE("a backend server that exits after its drain has not crashed")
{
    FleetWorld world({.zones = {{"a", 2, 6}}});
    world.start();
    const WorldJob job{.id = makeJobId(1), .workUs = 1500 * usPerMs, .budgetUs = 30 * usPerS, .path = "/l/"};
    const CallerId caller = world.submit(0, job);
    for (std::uint64_t starts = 1; starts <= 2; ++starts) {
        while (world.startsOf(job.id) < starts && world.now() < 10 * usPerS)
            world.runFor(10 * usPerMs);
        for (int server = 0; server < world.serverCount(); ++server) {
            if (world.server(server).runs.empty())
                continue;
            world.drainServer(server, true);
            world.runFor(800 * usPerMs);
            world.crash(server, true);
            world.delist(server);
        }
    }
    world.runFor(10 * usPerS);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
}

// Guards against jobs that wait in vain for an idle backend server after an ordinary crash under load.
TEST_CASE("a job that has lost a run is completed although no backend server is idle")
{
    FleetWorld world({.zones = {{"a", 2, 6}}});
    world.start();
    std::uint64_t number = 1000;
    const auto submitOther = [&] {
        ++number;
        world.submit(static_cast<int>(number % 2),
                     {.id = makeJobId(number), .workUs = 200 * usPerMs, .budgetUs = 2 * usPerS});
        world.runFor(24 * usPerMs); // 0.83 of the places of five backend servers are in use
    };
    while (number < 1040)
        submitOther();
    const WorldJob job{.id = makeJobId(1), .tasks = 2, .workUs = 200 * usPerMs, .budgetUs = 8 * usPerS, .path = "/l/"};
    const CallerId caller = world.submit(0, job);
    while (world.startsOf(job.id) < 2 && world.now() < 10 * usPerS)
        world.runFor(usPerMs);
    world.runFor(20 * usPerMs);
    for (int server = 0; server < world.serverCount(); ++server) {
        if (world.server(server).runs.contains({job.id, 0}))
            world.crash(server, true);
    }
    for (const TimeUs end = world.now() + 9 * usPerS; world.now() < end;)
        submitOther();
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
}

// Guards against a crash count for backend servers that were only cut off.
TEST_CASE("a job whose backend servers are cut off twice is not failed")
{
    FleetWorld world({.zones = {{"a", 1, 3}}});
    world.start();
    const WorldJob job{.id = makeJobId(1),
                       .workUs = 600 * usPerMs,
                       .declaredUs = 600 * usPerMs,
                       .budgetUs = 20 * usPerS,
                       .path = "/l/"};
    const CallerId caller = world.submit(0, job);
    for (std::uint64_t starts = 1; starts <= 2; ++starts) {
        while (world.startsOf(job.id) < starts && world.now() < 10 * usPerS)
            world.runFor(10 * usPerMs);
        world.runFor(100 * usPerMs);
        for (int server = 0; server < world.serverCount(); ++server) {
            if (world.server(server).runs.empty())
                continue;
            world.cutServer(0, server, true);
            world.after(1600 * usPerMs, [&world, server] { world.cutServer(0, server, false); });
        }
    }
    world.runFor(5 * usPerS);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
    CHECK(world.startsOf(job.id) == 3);
}

} // namespace
} // namespace clementinelift::command
