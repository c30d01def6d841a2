// Tests of jobs, peers and drains of the command core with simulated backend servers and callers.
#include "unit/command/fleet_world.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

using Kind = AnswerKind;

// Submits one job of the given shape every gap, for the duration.
void submitLoad(FleetWorld &world, TimeUs duration, TimeUs gap, std::vector<CallerId> &callers, const WorldJob &shape)
{
    static std::uint64_t number = 1000;
    for (TimeUs passed = 0; passed < duration; passed += gap) {
        WorldJob job = shape;
        job.id = makeJobId(++number);
        callers.push_back(world.submit(static_cast<int>(number % static_cast<std::uint64_t>(world.nodeCount())), job));
        world.runFor(gap);
    }
}

std::size_t count(const FleetWorld &world, const std::vector<CallerId> &callers, Kind kind)
{
    return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [&](CallerId caller) {
        return world.answer(caller) != nullptr && world.answer(caller)->kind == kind;
    }));
}

TEST_CASE("a job runs each task once and is answered when the last task has ended")
{
    FleetWorld world({});
    world.start();
    const CallerId caller = world.submit(0, {.id = makeJobId(1), .tasks = 6});
    world.runFor(usPerS);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
    CHECK(world.answer(caller)->afterUs < 75 * usPerMs);
    CHECK(world.starts() == 6);
    CHECK(world.violations().empty());
}

// Guards against missing heartbeats while events arrive without a pause: peers were lost and their runs stopped.
TEST_CASE("peers stay connected under a load without pauses")
{
    FleetWorld world({.zones = {{"a", 2, 6}, {"b", 2, 6}}});
    world.start();
    std::vector<CallerId> callers;
    submitLoad(world, 3 * usPerS, 5 * usPerMs, callers, {.tasks = 1, .workUs = 30 * usPerMs});
    for (int node = 0; node < world.nodeCount(); ++node)
        CHECK(world.core(node).peerCount() == 3);
    world.runFor(usPerS);
    CHECK(count(world, callers, Kind::Completed) == callers.size());
}

TEST_CASE("requests without configuration, with unknown routes or with malformed bodies are answered at once")
{
    FleetDispatcher core({"vm", "a", 1000, usPerS, 6 * usPerS});
    std::vector<Action> actions;
    const auto ask = [&](const std::string &path, std::optional<JobRequest> job) {
        actions.clear();
        CallerRequest request;
        request.host = "shop.example";
        request.path = path;
        request.job = std::move(job);
        request.problem = "body is no JSON";
        core.apply(usPerS, std::move(request), actions);
        for (const Action &action : actions) {
            if (const auto *answer = std::get_if<AnswerCaller>(&action))
                return answer->kind;
        }
        return Kind::Pending;
    };
    CHECK(ask("/q/0000000000000001", std::nullopt) == Kind::NotReady);
    CHECK_FALSE(core.isReady());
    core.apply(usPerS, ConfigurationRead{FleetWorld::configuration()}, actions);
    CHECK(ask("/x/0000000000000001", std::nullopt) == Kind::UnknownRoute);
    CHECK(ask("/q/0000000000000001", std::nullopt) == Kind::Malformed);
    CHECK(ask("/q/not-an-id", JobRequest{"", {{1, {1000, 1, 0}, 0, {}, {}}}, true, {}}) == Kind::Malformed);
    CHECK(ask("/q/0000000000000001", JobRequest{"", {{1, {1000, 1, 0}, 0, {}, {}}}, false, {}}) == Kind::Refused);
    CHECK(ask("/q/0000000000000001", JobRequest{"", {{1, {1000, 1, 0}, 0, {}, "gang"}}, true, {}}) == Kind::Refused);
    CHECK(ask("/q/0000000000000001", JobRequest{"", {}, true, "more than 4096 values"}) == Kind::Refused);
    CHECK(ask("/q/0000000000000001", JobRequest{"", {}, true, {}}) == Kind::Malformed);
}

TEST_CASE("an older configuration does not replace a newer one")
{
    RouteTable routes;
    Configuration configuration = FleetWorld::configuration();
    configuration.version = 5;
    Configuration older = configuration;
    older.version = 4;
    older.routes.clear();
    const bool isApplied = routes.apply(std::move(configuration));
    const bool isOlderApplied = routes.apply(std::move(older));
    CHECK(isApplied);
    CHECK_FALSE(isOlderApplied);
    CHECK(routes.find("SHOP.example:80", "/q/1") != nullptr);
    CHECK(routes.find("other.example", "/q/1") == nullptr);
}

// Guards against an entry VM that serves an old configuration because the store rejects its reads.
TEST_CASE("a new configuration reaches an entry VM that cannot read the store")
{
    FleetWorld world({.zones = {{"a", 2, 2}, {"b", 1, 2}}});
    world.start();
    Configuration newer = FleetWorld::configuration();
    newer.version = 9;
    world.deliver(0, ConfigurationRead{newer});
    world.runFor(1500 * usPerMs);
    for (int node = 0; node < world.nodeCount(); ++node)
        CHECK(world.core(node).routes().configuration().version == 9);
}

TEST_CASE("a task larger than every backend server fails at once, without a start")
{
    FleetWorld world({});
    world.start();
    const CallerId caller = world.submit(0, {.id = makeJobId(1), .milliCores = 64000});
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Failed);
    CHECK(world.starts() == 0);
}

TEST_CASE("the runs of a job are stopped when its caller disconnects")
{
    FleetWorld world({});
    world.start();
    const CallerId caller = world.submit(0, {.id = makeJobId(1), .tasks = 4, .workUs = 2 * usPerS});
    world.runFor(100 * usPerMs);
    CHECK(world.runCount() == 4);
    world.leave(0, caller);
    world.runFor(100 * usPerMs);
    CHECK(world.runCount() == 0);
}

// Guards against two runs of a task when a caller submits its job again after its entry VM has failed.
TEST_CASE("the runs of a failed entry VM end before its callers submit their jobs again")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FleetWorld world({.zones = {{"a", 2, 6}, {"b", 2, 6}}, .seed = seed});
        world.start();
        const WorldJob job{
                .id = makeJobId(7), .tasks = 8, .workUs = 3 * usPerS, .budgetUs = 12 * usPerS, .path = "/l/"};
        world.submit(0, job);
        world.runFor(static_cast<TimeUs>(world.random()() % (400 * usPerMs)) + 10 * usPerMs);
        world.kill(0);
        world.runFor(1300 * usPerMs);
        const CallerId again = world.submit(3, job);
        world.runFor(6 * usPerS);
        CHECK(join(world.violations()).empty());
        REQUIRE(world.answer(again) != nullptr);
        CHECK(world.answer(again)->kind == Kind::Completed);
    }
}

// Guards against leases that are renewed after a pause because messages of a failed entry VM had arrived before.
TEST_CASE("messages that waited during a pause do not keep the runs of a failed entry VM alive")
{
    for (TimeUs offset = 0; offset < 400 * usPerMs; offset += 50 * usPerMs) {
        FleetWorld world({.zones = {{"a", 1, 1}, {"b", 1, 0}}});
        world.start();
        world.submit(1, {.id = makeJobId(8), .workUs = 5 * usPerS, .budgetUs = 20 * usPerS});
        world.runFor(200 * usPerMs + offset);
        REQUIRE(world.runCount() == 1);
        world.freeze(0, 700 * usPerMs);
        world.runFor(200 * usPerMs);
        world.powerOff(1);
        world.runFor(700 * usPerMs);
        world.cutServer(0, 0, true); // the stop does not arrive
        world.runFor(400 * usPerMs); // the caller submits its job again
        CHECK(world.runCount() == 0);
    }
}

// Guards against leases that last until a caller whose connection broke has submitted its job again elsewhere.
TEST_CASE("a run that cannot be stopped ends before its caller returns, although everything takes its longest time")
{
    int alive = 0;
    for (TimeUs offset = 0; offset < 500 * usPerMs; offset += 2 * usPerMs) {
        FleetWorld world({.zones = {{"a", 3, 1, {500, 500, 90}}}});
        const auto cut = [&](bool isCut) {
            for (const int commander : {0, 1})
                world.cutServer(commander, 0, isCut);
        };
        world.server(0).clockRate = 0.98;
        world.start();
        world.runFor(usPerS);
        const CallerId caller = world.submit(2, {.id = makeJobId(8), .workUs = 5 * usPerS, .budgetUs = 20 * usPerS});
        world.runFor(500 * usPerMs + offset);
        REQUIRE(world.runCount() == 1);
        world.runFor(50 * usPerMs); // until the front VM notices that the connection broke
        cut(true);                  // the stops are lost
        world.leave(2, caller);
        world.runFor(243 * usPerMs);
        cut(false);
        world.runFor(8 * usPerMs);
        cut(true);
        world.runFor(999 * usPerMs);
        alive += static_cast<int>(world.runCount());
    }
    CHECK(alive == 0);
}

// Guards against two runs when the end of a run that an earlier process of the entry VM has ordered arrives late.
TEST_CASE("the end of a run on another backend server under the same number says nothing about a run")
{
    const WorldJob job{.id = makeJobId(8), .workUs = 500 * usPerMs};
    std::string other;
    for (const bool hasLateEnd : {false, true}) {
        FleetWorld world({.zones = {{"a", 1, 2}, {"b", 1, 1}}});
        world.start();
        world.drainServer(2, true);
        world.runFor(500 * usPerMs);
        const CallerId caller = world.submit(1, job);
        world.drainServer(2, false);
        REQUIRE(world.startsOf(job.id) == 0); // the order is on its way
        if (hasLateEnd)
            world.deliver(1, PeerReceived{"vm-a0", TaskEnded{{job.id, 0}, 1, RunEnd::Stopped, 0, other}});
        world.runFor(2 * usPerS);
        CHECK(join(world.violations()).empty());
        CHECK(world.startsOf(job.id) == 1);
        other = world.startsOn(0) > 0 ? "s-1" : "s-0";
        REQUIRE(world.answer(caller) != nullptr);
        CHECK(world.answer(caller)->kind == Kind::Completed);
    }
}

// Guards against a second run of a task while the first is still being stopped.
TEST_CASE("a job that is submitted again at once waits for the end of its stopped runs")
{
    FleetWorld world({.zones = {{"a", 2, 6}}});
    world.start();
    const WorldJob job{.id = makeJobId(9), .tasks = 6, .workUs = 200 * usPerMs, .budgetUs = 9 * usPerS};
    const CallerId first = world.submit(0, job);
    world.runFor(20 * usPerMs);
    world.leave(0, first);
    const CallerId again = world.submit(0, job);
    world.runFor(3 * usPerS);
    CHECK(join(world.violations()).empty());
    REQUIRE(world.answer(again) != nullptr);
    CHECK(world.answer(again)->kind == Kind::Completed);
}

// Guards against a second run of a task when an entry VM wakes up after its caller has turned to another one.
TEST_CASE("a request whose caller disconnected during a pause is not started")
{
    FleetWorld world({.zones = {{"a", 2, 6}}});
    world.start();
    const WorldJob job{.id = makeJobId(5), .tasks = 2, .workUs = 2 * usPerS, .path = "/l/"};
    world.freeze(0, 4 * usPerS);
    world.runFor(100 * usPerMs);
    const CallerId first = world.submit(0, job);
    world.runFor(1500 * usPerMs);
    world.leave(0, first);
    world.runFor(1300 * usPerMs);
    const CallerId again = world.submit(1, job);
    world.runFor(5 * usPerS);
    CHECK(join(world.violations()).empty());
    CHECK(world.startsOf(job.id) == 2);
    REQUIRE(world.answer(again) != nullptr);
    CHECK(world.answer(again)->kind == Kind::Completed);
}

// Guards against an end of a connection that is forgotten when a later request is handled first.
TEST_CASE("a request whose caller has disconnected is ignored in any order of requests")
{
    FleetWorld world({.zones = {{"a", 1, 2}}});
    world.start();
    CallerRequest request;
    request.host = "shop.example";
    request.path = "/q/" + makeJobId(1);
    request.budgetUs = 5 * usPerS;
    request.job = JobRequest{"", {{1, {14000, 64, 0}, 500 * usPerMs, {}, {}}}, true, {}};
    CallerRequest later;
    later.caller = CallerId{1008};
    later.verb = Verb::Query;
    later.path = request.path;
    request.caller = CallerId{1007};
    world.deliver(0, CallerGone{request.caller});
    world.deliver(0, std::move(later));
    world.deliver(0, std::move(request));
    CHECK(world.core(0).jobCount() == 0);
}

TEST_CASE("the backend servers of a failed entry VM are usable again within 2 s")
{
    FleetWorld world({.zones = {{"a", 2, 6}}});
    world.start();
    world.kill(0);
    world.runFor(2 * usPerS);
    CHECK(world.core(1).commander().commandedCount() == 6);
    const CallerId caller = world.submit(1, {.id = makeJobId(1), .tasks = 12});
    world.runFor(200 * usPerMs);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->afterUs < 80 * usPerMs);
}

// Guards against the answer "not run" for a job whose tasks are running when a drain ends.
TEST_CASE("jobs are completed during a drain or reported as given up")
{
    FleetWorld world({.zones = {{"a", 2, 6}}});
    world.start();
    const CallerId inTime = world.submit(0, {.id = makeJobId(1), .workUs = 2 * usPerS, .path = "/l/"});
    const CallerId tooLong =
            world.submit(0, {.id = makeJobId(2), .workUs = 9 * usPerS, .budgetUs = 30 * usPerS, .path = "/l/"});
    world.deliver(0, BeginDrain{});
    CHECK_FALSE(world.core(0).isReady());
    world.runFor(3 * usPerS);
    const CallerId noTimeLeft = world.submit(0, {.id = makeJobId(3), .workUs = 4 * usPerS, .path = "/l/"});
    const CallerId shortOne = world.submit(0, {.id = makeJobId(4), .workUs = 50 * usPerMs});
    world.runFor(3 * usPerS);
    CHECK(world.answer(inTime)->kind == Kind::Completed);
    CHECK(world.answer(tooLong)->kind == Kind::GivenUp);
    CHECK(world.answer(noTimeLeft)->kind == Kind::Refused);
    CHECK(world.answer(shortOne)->kind == Kind::Completed);
    CHECK(world.core(0).isDrained());
    CHECK(world.violations().empty());
}

// Guards against a job that starts shortly before the process exits, so that its answer cannot be delivered.
TEST_CASE("nothing starts after the end of a drain")
{
    FleetWorld world({.zones = {{"a", 2, 6}}});
    world.start();
    world.deliver(0, BeginDrain{});
    world.runFor(2600 * usPerMs);
    REQUIRE(world.core(0).isDrained());
    const CallerId late = world.submit(0, {.id = makeJobId(1)});
    REQUIRE(world.answer(late) != nullptr);
    CHECK(world.answer(late)->kind == Kind::Refused);
    CHECK(world.starts() == 0);
}

// Guards against jobs given up because a start was rejected for its old token, although the order had no effect.
TEST_CASE("a task whose start is rejected by fencing is placed on another backend server")
{
    FleetWorld world({.zones = {{"a", 1, 4}}});
    world.start();
    world.server(0).token = 1000; // another entry VM commands it, which this one does not know yet
    const CallerId caller = world.submit(0, {.id = makeJobId(1), .tasks = 8});
    world.runFor(200 * usPerMs);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
    CHECK(world.startsOn(0) == 0);
}

// Guards against two runs of a task on a backend server that restarted without notice: its first answer ended its runs.
TEST_CASE("a run that a restarted backend server has accepted is not started again")
{
    const TimeUs entryDelayUs = GENERATE(100, 2000) * usPerMs; // before and after the first list of runs
    FleetWorld world({.zones = {{"a", 1, 2}}, .speeds = {2.0, 1.0}});
    world.start();
    std::vector<CallerId> callers;
    submitLoad(world, usPerS, 50 * usPerMs, callers, {.tasks = 4, .workUs = 20 * usPerMs}); // learns the speeds
    world.runFor(usPerS);
    world.crash(1);
    world.runFor(20 * usPerMs);
    world.reboot(1, entryDelayUs);
    // Occupies the faster backend server for 300 ms, so that the job starts on the restarted one.
    submitLoad(world, usPerMs, usPerMs, callers, {.tasks = 2, .workUs = 600 * usPerMs, .path = "/l/"});
    const WorldJob job{.id = makeJobId(1), .workUs = 900 * usPerMs, .path = "/l/"};
    const CallerId caller = world.submit(0, job);
    world.runFor(3 * usPerS);
    CHECK(world.startsOf(job.id) == 1);
    CHECK(join(world.violations()).empty());
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
}

// Guards against a lease that a backend server which has restarted unnoticed counts from the arrival of a late start.
TEST_CASE("a start that arrives late at a restarted backend server is not repeated while it runs")
{
    const TimeUs lateUs = GENERATE(30, 60, 100, 140) * usPerMs;
    FleetWorld world({.zones = {{"a", 1, 2}}, .bindsOrders = false, .seed = 3});
    world.start();
    world.runFor(3 * usPerS);
    world.drainServer(1, true);
    world.submit(0, {.id = makeJobId(2), .workUs = 20 * usPerMs});
    world.runFor(30 * usPerMs); // a hold is still open
    world.crash(0);
    world.reboot(0, 10 * usPerS);
    world.runFor(20 * usPerMs);
    world.setLostAnswers(1.0, lateUs);
    world.submit(0, {.id = makeJobId(1), .workUs = 1200 * usPerMs, .budgetUs = 8 * usPerS, .path = "/l/"});
    world.runFor(usPerMs);
    world.setLostAnswers(0, 0);
    world.drainServer(1, false);
    // The late start arrives, and nothing after it.
    world.runFor(usPerMs);
    world.cutServer(0, 0, true);
    world.runFor(lateUs - 3 * usPerMs);
    world.cutServer(0, 0, false);
    world.runFor(3 * usPerMs);
    world.cutServer(0, 0, true);
    world.runFor(3 * usPerS);
    CHECK(world.startsOn(0) == 2);
    CHECK(join(world.violations()).empty());
}

// Guards against two runs when an idle backend server restarts: its new clock takes no late start for late.
TEST_CASE("a start that a restarted backend server carries out seconds late does not overlap with the next one")
{
    FleetWorld world({.zones = {{"a", 1, 2}}, .seed = 3});
    world.start();
    world.runFor(3 * usPerS);
    world.drainServer(1, true);
    world.crash(0);
    world.reboot(0, 10 * usPerS);
    world.runFor(300 * usPerMs);
    world.setLostAnswers(1.0, 1600 * usPerMs);
    world.submit(0, {.id = makeJobId(1), .workUs = 1200 * usPerMs, .budgetUs = 8 * usPerS, .path = "/l/"});
    world.runFor(usPerMs);
    world.setLostAnswers(0, 0);
    world.drainServer(1, false);
    world.runFor(2 * usPerMs);
    world.cutServer(0, 0, true);
    world.runFor(1200 * usPerMs);
    world.cutServer(0, 0, false);
    world.runFor(4 * usPerS);
    CHECK(join(world.violations()).empty());
}

// Guards against jobs that are given up with an idle backend server that has crashed unnoticed.
TEST_CASE("a task that meets a crashed idle backend server is placed on another one at once")
{
    FleetWorld world({.zones = {{"a", 1, 2}}});
    world.start();
    world.runFor(2 * usPerS);
    world.crash(1, true);
    const CallerId caller = world.submit(0, {.id = makeJobId(1), .tasks = 2});
    world.runFor(500 * usPerMs);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
    CHECK(world.answer(caller)->afterUs < 100 * usPerMs);
}

// Guards against answers of a backend server that are ignored as those of an earlier incarnation, while tasks are
// started.
TEST_CASE("a backend server whose time of day went back before its restart is asked and used")
{
    FleetWorld world({.zones = {{"a", 1, 2}}});
    world.start();
    for (int server = 0; server < world.serverCount(); ++server) {
        world.crash(server);
        world.runFor(20 * usPerMs);
        world.reboot(server);
        world.server(server).entry.incarnationStartMs = 500; // less than before
    }
    world.runFor(usPerS);
    std::vector<CallerId> callers;
    submitLoad(world, usPerS, 100 * usPerMs, callers, {.tasks = 2, .workUs = 50 * usPerMs});
    world.runFor(3 * usPerS);
    CHECK(count(world, callers, Kind::Completed) == callers.size());
    CHECK(join(world.violations()).empty());
}

// Guards against jobs that wait for a run on a backend server that has restarted and cannot be asked for it.
TEST_CASE("the runs of a restarted backend server that does not answer are given up when their leases have ended")
{
    FleetWorld world({.zones = {{"a", 1, 2}}});
    world.start();
    const WorldJob job{.id = makeJobId(1), .workUs = 900 * usPerMs, .path = "/l/"};
    const CallerId caller = world.submit(0, job);
    world.runFor(50 * usPerMs);
    const int server = world.startsOn(0) > 0 ? 0 : 1;
    world.cutServer(0, server, true);
    world.crash(server);
    world.runFor(usPerMs);
    world.reboot(server);
    world.runFor(3 * usPerS);
    CHECK(join(world.violations()).empty());
    CHECK(world.startsOn(1 - server) == 1);
    REQUIRE(world.answer(caller) != nullptr);
    CHECK(world.answer(caller)->kind == Kind::Completed);
}

TEST_CASE("a draining backend server gets no new tasks")
{
    FleetWorld world({.zones = {{"a", 2, 2}}});
    world.start();
    world.drainServer(0, true);
    const std::uint64_t before = world.startsOn(0);
    std::vector<CallerId> callers;
    submitLoad(world, usPerS, 50 * usPerMs, callers, {.tasks = 1});
    CHECK(world.startsOn(0) == before);
    world.runFor(usPerS);
    CHECK(count(world, callers, Kind::Completed) == callers.size());
}

TEST_CASE("entries that expire during a store outage return within 2 s or are removed")
{
    FleetWorld world({.zones = {{"a", 1, 2}}});
    world.start();
    world.deliver(0, StoreState{false});
    world.runFor(5 * usPerS);
    world.deliver(0, StoreState{true});
    world.deliver(0, ServerDelisted{"s-0"});
    world.deliver(0, ServerDelisted{"s-1"});
    std::vector<CallerId> callers;
    submitLoad(world, 1500 * usPerMs, 100 * usPerMs, callers, {.tasks = 2});
    world.deliver(0, ServerListed{world.server(0).entry});
    world.runFor(usPerS);
    CHECK(count(world, callers, Kind::Completed) == callers.size());
    const std::uint64_t before = world.startsOn(1);
    submitLoad(world, usPerS, 100 * usPerMs, callers, {.tasks = 1});
    CHECK(world.startsOn(1) == before);
}

TEST_CASE("a backend server on which all runs fail gets few tasks")
{
    FleetWorld world({.zones = {{"a", 1, 6}}});
    world.start();
    world.server(2).failing = true;
    std::vector<CallerId> callers;
    submitLoad(world, 3 * usPerS, 30 * usPerMs, callers, {.tasks = 2});
    world.runFor(usPerS);
    CHECK(world.startsOn(2) < 20);
    CHECK(count(world, callers, Kind::Completed) >= callers.size() - 3);
}

TEST_CASE("a backend server that does not answer is excluded until it answers again")
{
    FleetWorld world({.zones = {{"a", 1, 4}}});
    world.start();
    world.server(1).unresponsive = true;
    std::vector<CallerId> callers;
    submitLoad(world, 3 * usPerS, 30 * usPerMs, callers, {.tasks = 1});
    const std::uint64_t during = world.startsOn(1);
    world.server(1).unresponsive = false;
    submitLoad(world, 3 * usPerS, 30 * usPerMs, callers, {.tasks = 4});
    CHECK(during < 12);
    CHECK(world.startsOn(1) > during + 10);
    CHECK(world.violations().empty());
}

// Guards against jobs that are answered as failed for good by a process that was started during an outage of the store:
// it reads a registry without the entries that have expired.
TEST_CASE("a job is refused, not failed, while the registry has no backend server of its service")
{
    FleetWorld world({.zones = {{"a", 1, 2}}});
    for (int server = 0; server < world.serverCount(); ++server)
        world.server(server).listed = false;
    world.start();
    const CallerId early = world.submit(0, {.id = makeJobId(1)});
    world.runFor(50 * usPerMs);
    REQUIRE(world.answer(early) != nullptr);
    CHECK(world.answer(early)->kind == AnswerKind::Refused);
    CHECK(world.answer(early)->retryAfterUs == 2 * usPerS);
    for (int server = 0; server < world.serverCount(); ++server) {
        world.server(server).listed = true;
        world.deliver(0, ServerListed{world.server(server).entry});
    }
    world.runFor(50 * usPerMs);
    const CallerId large = world.submit(0, {.id = makeJobId(2), .milliCores = 64000});
    const CallerId sound = world.submit(0, {.id = makeJobId(3)});
    world.runFor(200 * usPerMs);
    REQUIRE(world.answer(large) != nullptr);
    CHECK(world.answer(large)->kind == AnswerKind::Failed);
    REQUIRE(world.answer(sound) != nullptr);
    CHECK(world.answer(sound)->kind == AnswerKind::Completed);
}

} // namespace
} // namespace clementinelift::command
