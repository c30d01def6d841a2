// Tests of the commander with one backend server, whose answers come in orders that the simulation does not play.
#include "command/commander.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

template <typename T> std::vector<T> pickAll(const std::vector<Action> &actions)
{
    std::vector<T> found;
    for (const Action &action : actions) {
        if (const auto *one = std::get_if<T>(&action))
            found.push_back(*one);
    }
    return found;
}

// A commander with one backend server, whose answers the test gives.
struct SingleServer
{
    Commander commander{{"a", usPerS}};
    std::vector<Action> actions;
    std::vector<RunEndNotice> ended;
    TimeUs now = 10 * usPerS;
    ServerEntry entry;

    SingleServer()
    {
        entry.id = "s-0";
        entry.service = "svc";
        entry.address = "10.0.0.1:80";
        entry.zone = "a";
        entry.capacity = {32000, 100000, 0};
        entry.incarnationStartMs = 1000;
        commander.addServer(now, entry, actions, ended);
        commander.assignShards(now, {1, 1, {0}}, actions, ended);
        answerHold(500000, 1000, {});
    }
    std::uint64_t lastHold() { return pickAll<SendHold>(actions).back().sequence; }
    void answerHold(std::int64_t clockMs, std::int64_t born, std::vector<RunningRun> running)
    {
        HoldResult result;
        result.server = "s-0";
        result.sequence = lastHold();
        result.outcome = OrderOutcome::Accepted;
        result.clock = ClockReading{clockMs, now, now};
        result.incarnationStartMs = born;
        result.running = std::move(running);
        commander.onHoldResult(now, result, actions, ended);
    }
    bool start(const std::string &job)
    {
        PlaceTasks order;
        order.job = job;
        order.service = "svc";
        order.taskResources = {1000, 64, 0};
        order.expectedUs = 500 * usPerMs;
        return commander.start(now, selfNode, order, {0, 1, "s-0"}, actions);
    }
    void startResult(const std::string &job, OrderOutcome outcome, std::optional<ClockReading> clock)
    {
        commander.onStartResult(now, StartResult{"s-0", {job, 0}, 1, outcome, clock}, actions, ended);
    }
};

// Guards against two runs when an order to the earlier address of a backend server is rejected after it has moved.
TEST_CASE("a rejected order to an earlier address ends no run at the new one")
{
    SingleServer bench;
    REQUIRE(bench.start("old"));
    bench.now += 5 * usPerMs;
    bench.entry.address = "10.0.0.2:80";
    bench.entry.incarnationStartMs = 2000;
    bench.commander.addServer(bench.now, bench.entry, bench.actions, bench.ended);
    bench.now += 2 * usPerMs;
    bench.answerHold(1000, 2000, {});
    REQUIRE(bench.start("new"));
    bench.now += 2 * usPerMs;
    bench.startResult("new", OrderOutcome::Accepted, ClockReading{1004, bench.now, bench.now});
    bench.ended.clear();
    bench.startResult("old", OrderOutcome::OtherInstance, std::nullopt);
    for (const RunEndNotice &end : bench.ended) {
        CHECK(end.ended.task.job == "old");
    }
}

// Guards against leases without an end: the clock of a restarted backend server starts anew.
TEST_CASE("an answer of an earlier incarnation does not set the clock of the new one")
{
    SingleServer bench;
    REQUIRE(bench.start("old"));
    bench.now += 5 * usPerMs;
    bench.entry.incarnationStartMs = 2000;
    bench.commander.addServer(bench.now, bench.entry, bench.actions, bench.ended);
    bench.startResult("old", OrderOutcome::Accepted, ClockReading{500006, bench.now, bench.now});
    bench.now += 2 * usPerMs;
    bench.answerHold(1000, 2000, {});
    REQUIRE(bench.start("new"));
    const std::int64_t leaseEndMs = pickAll<SendStart>(bench.actions).back().leaseEndMs;
    CHECK(leaseEndMs <= 2001);
    bench.now += 500 * usPerMs; // and it is not corrected by later answers
    bench.answerHold(1500, 2000, {{{"new", 0}, 1}});
    const SendHold hold = pickAll<SendHold>(bench.actions).back();
    CHECK(hold.leaseEndMs.value_or(0) <= 2501);
}

// Guards against a backend server that gets no tasks because a run there never ends.
TEST_CASE("a run whose start and stop had no answer before another commander took over ends")
{
    SingleServer bench;
    REQUIRE(bench.start("a"));
    const std::uint64_t hold = bench.lastHold();
    bench.now += 150 * usPerMs;
    bench.startResult("a", OrderOutcome::Unknown, std::nullopt);
    bench.commander.onStopResult(bench.now, StopResult{"s-0", {"a", 0}, 1, OrderOutcome::Fenced, std::nullopt},
                                 bench.actions);
    HoldResult fenced;
    fenced.server = "s-0";
    fenced.sequence = hold;
    fenced.outcome = OrderOutcome::Fenced;
    bench.commander.onHoldResult(bench.now, fenced, bench.actions, bench.ended);
    bench.now += 50 * usPerMs;
    bench.commander.assignShards(bench.now, {2, 1, {0}}, bench.actions, bench.ended);
    bench.now += usPerMs;
    bench.answerHold(500250, 1000, {});
    for (int i = 0; i < 100; ++i) { // 10 s
        bench.now += 100 * usPerMs;
        bench.commander.tick(bench.now, bench.actions, bench.ended);
        if (pickAll<SendHold>(bench.actions).size() > 0)
            bench.answerHold(500250 + (i + 1) * 100, 1000, {});
    }
    CHECK_FALSE(bench.commander.hasRuns());
    CHECK(bench.start("b"));
}

} // namespace
} // namespace clementinelift::command
