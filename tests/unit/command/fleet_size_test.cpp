// Tests of work that must not grow with the number of entry VMs and backend servers.
#include "unit/command/fleet_world.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

// Guards against a scan of all backend servers for each renewal of a registry entry: a commander reads 700 a second.
TEST_CASE("a renewed registry entry without changes causes no work")
{
    FleetWorld world({});
    world.start();
    const std::uint64_t version = world.core(0).commander().capacityVersion();
    for (int server = 0; server < world.serverCount(); ++server)
        world.deliver(0, ServerListed{world.server(server).entry});
    CHECK(world.core(0).commander().capacityVersion() == version);
    world.drainServer(0, true);
    CHECK(world.core(0).commander().capacityVersion() > version);
}

// Guards against a pass over all waiting jobs and backend servers for each event under overload.
TEST_CASE("events that arrive together cause one placing pass")
{
    FleetWorld world({.zones = {{"a", 1, 4}}});
    world.start();
    for (std::uint64_t number = 1; number <= 40; ++number)
        world.submit(0, {.id = makeJobId(number), .tasks = 4, .workUs = 900 * usPerMs, .path = "/l/"});
    world.runFor(50 * usPerMs);
    REQUIRE(world.core(0).waitingCount() > 10);
    const std::uint64_t passes = world.core(0).counters().placingPasses;
    world.freeze(0, 200 * usPerMs); // the events of this time arrive together
    world.runFor(210 * usPerMs);
    CHECK(world.core(0).counters().placingPasses - passes <= 3);
}

// Guards against a control thread that wakes for each heartbeat: a front VM of a zone with six commanders receives 40 a
// second, and a commander of a zone with 25 front VMs several hundred.
TEST_CASE("an entry VM without jobs does not wake for each heartbeat")
{
    FleetWorld world({.zones = {{"a", 12, 6, {500, 500, 500, 500, 500, 500, 90, 90, 90, 90, 90, 90}}}});
    world.start();
    world.runFor(usPerS);
    std::vector<std::uint64_t> before;
    before.reserve(static_cast<std::size_t>(world.nodeCount()));
    for (int node = 0; node < world.nodeCount(); ++node)
        before.push_back(world.wakeups(node));
    world.runFor(usPerS);
    for (int node = 0; node < world.nodeCount(); ++node)
        CHECK(world.wakeups(node) - before[static_cast<std::size_t>(node)] <= 25);
}

// Guards against orders to peers for nearly every task: with learned speeds that differ by a few percent, the fastest
// of several hundred backend servers is hardly ever an own one.
TEST_CASE("a slightly faster backend server of a peer is not chosen while an own one is free")
{
    const Resources room{32000, 64000, 0};
    const Resources task{14000, 1000, 0};
    std::vector<Candidate> candidates{{"own", "", "svc", room, 1.0}, {"peer", "b", "svc", room, 1.1, 3 * usPerMs}};
    const auto choose = [&](TimeUs latestUs) {
        const auto place = choosePlace(candidates, {}, {"svc", task, 200 * usPerMs, latestUs});
        return place ? candidates[*place].server : std::string_view("none");
    };
    CHECK(choose(usPerS) == "own");
    CHECK(choose(190 * usPerMs) == "peer"); // it would be late on the own one
    CHECK(choose(150 * usPerMs) == "none");
    candidates[1].speed = 1.5;
    CHECK(choose(usPerS) == "peer");
    std::swap(candidates[0], candidates[1]);
    CHECK(choose(usPerS) == "peer");
}

// Guards against links that are full of copies of the configuration, each of hundreds of KB: at a start, after a power
// loss of everything, and at an entry VM that is slow to read a new one from the store.
TEST_CASE("an entry VM is sent few copies of the configuration by its peers")
{
    FleetWorld world({.zones = {{"a", 12, 6, {500, 500, 500, 500, 500, 500, 90, 90, 90, 90, 90, 90}}}});
    world.start();
    world.runFor(3 * usPerS);
    for (int node = 0; node < world.nodeCount(); ++node)
        CHECK(world.relayedConfigurations(node) == 0); // all have read it from the store
    Configuration newer = FleetWorld::configuration();
    newer.version = 9;
    for (int node = 1; node < world.nodeCount(); ++node)
        world.deliver(node, ConfigurationRead{newer});
    world.runFor(1500 * usPerMs);
    CHECK(world.core(0).routes().configuration().version == 9);
    CHECK(world.relayedConfigurations(0) <= 3);
    world.runFor(5 * usPerS);
    CHECK(world.relayedConfigurations(0) <= 3);
}

// Messages within a second.
std::uint64_t countMessages(FleetWorld &world, int from, int to)
{
    const std::uint64_t before = world.sentMessages(from, to);
    world.runFor(usPerS);
    return world.sentMessages(from, to) - before;
}

// Guards against heartbeats that make up nearly all messages of a deployment of hundreds of entry VMs.
TEST_CASE("heartbeats are rare on links on which nothing depends, and frequent on the others")
{
    FleetWorld world({.zones = {{"a", 3, 4, {500, 500, 90}}, {"b", 2, 4, {500, 500}}}});
    world.start();
    world.runFor(usPerS);
    CHECK(countMessages(world, 0, 2) <= 2); // commander to front VM
    CHECK(countMessages(world, 2, 0) <= 2);
    CHECK(countMessages(world, 0, 1) <= 4);               // between commanders of a zone
    CHECK(countMessages(world, 0, 3) <= 4);               // to another zone
    for (std::uint64_t number = 1; number <= 4; ++number) // some at each coordinator
        world.submit(2, {.id = makeJobId(number), .tasks = 2, .workUs = 1200 * usPerMs, .path = "/l/"});
    world.runFor(50 * usPerMs);
    const std::uint64_t before = world.sentMessages(2, 0);
    CHECK(countMessages(world, 0, 2) >= 6);
    CHECK(world.sentMessages(2, 0) - before >= 5);
}

// Guards against a refusal of the first request that a front VM forwards after a quiet time, whose echo is older than
// the coordinator accepts.
TEST_CASE("requests after a quiet time are served")
{
    FleetWorld world({.zones = {{"a", 4, 4, {500, 500, 90, 90}}}});
    world.start();
    std::vector<CallerId> callers;
    for (std::uint64_t number = 1; number <= 40; ++number) {
        world.runFor(1037 * usPerMs);
        const int node = number % 2 == 0 ? 2 : 3;
        callers.push_back(world.submit(node, {.id = makeJobId(number), .tasks = 2, .workUs = 60 * usPerMs}));
    }
    world.runFor(usPerS);
    for (const CallerId caller : callers) {
        REQUIRE(world.answer(caller) != nullptr);
        CHECK(world.answer(caller)->kind == AnswerKind::Completed);
        CHECK(world.answer(caller)->afterUs < 100 * usPerMs);
    }
    CHECK(join(world.violations()).empty());
}

// Guards against reports to other zones that nobody reads: each is paid for by the byte and wakes both sides.
TEST_CASE("capacity is reported to another zone only while tasks wait there")
{
    FleetWorld world({.zones = {{"a", 1, 6}, {"b", 1, 2}}});
    world.start();
    std::uint64_t number = 0;
    const auto submit = [&](int node, int jobs) {
        for (int job = 0; job < jobs; ++job)
            world.submit(node, {.id = makeJobId(++number), .tasks = 2, .workUs = 400 * usPerMs, .path = "/m/"});
    };
    world.runFor(usPerS);
    const std::uint64_t before = world.sentMessages(0, 1);
    for (int i = 0; i < 10; ++i) {
        submit(0, 1);
        world.runFor(100 * usPerMs);
    }
    CHECK(world.sentMessages(0, 1) - before <= 4);

    submit(1, 8); // eight times two tasks on two backend servers with room for two each
    world.runFor(400 * usPerMs);
    CHECK(world.core(1).counters().remoteStarts > 0);
}

// Guards against a job that waits although a report of free capacity has arrived.
TEST_CASE("a report of free capacity is urgent only while jobs wait for it")
{
    CapacityReport heartbeat;
    CapacityReport report;
    report.capacities.push_back({.server = "s", .usable = true});
    CHECK_FALSE(isUrgent(heartbeat, true));
    CHECK_FALSE(isUrgent(report, false));
    CHECK(isUrgent(report, true));
    CHECK(isUrgent(TaskEnded{}, false));
    CHECK(isUrgent(PlaceTasks{}, false));
    CHECK(isUrgent(StopJob{}, false));
    CHECK(isUrgent(ForwardRequest{}, false));
    CHECK(isUrgent(ForwardAnswer{}, false));
}

// Within 500 ms.
int countTicks(FleetWorld &world, int node)
{
    int ticks = 0;
    for (int step = 0; step < 50; ++step) {
        const TimeUs before = world.core(node).nextTick();
        world.runFor(10 * usPerMs);
        ticks += world.core(node).nextTick() > before ? 1 : 0;
    }
    return ticks;
}

// Guards against time-outs that are checked 50 times a second on entry VMs that have nothing to time out.
TEST_CASE("ticks are rare while no job and no run is in progress, and frequent otherwise")
{
    FleetWorld world({.zones = {{"a", 5, 6, {500, 500, 90, 90, 90}}}});
    world.start();
    world.runFor(usPerS);
    for (int node = 0; node < world.nodeCount(); ++node)
        CHECK(countTicks(world, node) <= 10);
    for (int node = 0; node < 2; ++node) {
        world.submit(node, {.id = makeJobId(1), .tasks = 6, .workUs = 600 * usPerMs});
        CHECK(countTicks(world, node) >= 18);
        world.runFor(2 * usPerS);
    }
}

std::size_t countLinks(std::size_t rank, std::size_t count, std::size_t otherCount, std::size_t zoneCount)
{
    std::size_t links = 0;
    for (std::size_t other = 0; other < otherCount; ++other)
        links += areLinked(rank, count, other, otherCount, zoneCount) ? 1 : 0;
    return links;
}

// Guards against messages between commanders that grow with the square of the number of availability zones, and
// against a zone whose commanders cannot use the free capacity of another zone.
TEST_CASE("each commander is linked to each other zone, to fewer commanders the more zones there are")
{
    for (std::size_t zones = 2; zones <= 16; ++zones) {
        for (std::size_t count = 1; count <= 6; ++count) {
            for (std::size_t otherCount = 1; otherCount <= 6; ++otherCount) {
                for (std::size_t rank = 0; rank < count; ++rank) {
                    CHECK(countLinks(rank, count, otherCount, zones) >= 1);
                    for (std::size_t other = 0; other < otherCount; ++other)
                        CHECK(areLinked(rank, count, other, otherCount, zones)
                              == areLinked(other, otherCount, rank, count, zones));
                }
            }
        }
    }
    for (std::size_t rank = 0; rank < 6; ++rank) {
        CHECK(countLinks(rank, 6, 6, 3) == 6);
        CHECK(countLinks(rank, 6, 6, 5) == 3);
        CHECK(countLinks(rank, 6, 6, 8) == 1);
    }
}

} // namespace
} // namespace clementinelift::command
