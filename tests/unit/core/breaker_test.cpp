#include "core/breaker.h"

#include <catch2/catch.hpp>

using namespace clementinelift::core;

namespace {

// Circuit breakers for racks of the given sizes, with 8 slots per backend server.
CircuitBreakers makeBoard(std::initializer_list<std::uint32_t> racks)
{
    CircuitBreakers board(7);
    std::uint32_t id = 0;
    std::uint32_t rack = 0;
    for (const std::uint32_t size : racks) {
        for (std::uint32_t i = 0; i < size; ++i, ++id) {
            board.add(BackendId(id), "r" + std::to_string(rack));
            board.setCapacity(BackendId(id), 8);
        }
        ++rack;
    }
    return board;
}

void run(CircuitBreakers &board, BackendId id, Signal signal, std::int64_t atUs)
{
    board.onStart(id, atUs);
    board.onEnd(id, signal, atUs, atUs + 10 * usPerMs);
}

} // namespace

// Guards against further tasks on a backend server whose attempts all fail.
TEST_CASE("a failing backend server is opened, probed and recovers step by step")
{
    CircuitBreakers board = makeBoard({1});
    const BackendId id{};
    std::int64_t now = usPerS;
    for (int i = 0; i < 4; ++i)
        run(board, id, Signal::Bad, now += 20 * usPerMs);
    REQUIRE(board.state(id) == BreakerState::Open);
    REQUIRE(board.allowed(id) == 0);

    std::vector<BackendId> probes;
    board.onTimer(now + 100 * usPerMs, probes);
    REQUIRE(probes.empty());
    now += 2 * usPerS;
    board.onTimer(now, probes);
    REQUIRE(probes.size() == 1);
    REQUIRE(board.allowed(id) == 0); // the active probe comes first
    board.onProbed(id, true, now);
    REQUIRE(board.allowed(id) == 1); // then one attempt
    board.onStart(id, now);
    REQUIRE(board.allowed(id) == 0);
    board.onEnd(id, Signal::Good, now, now + usPerMs);
    REQUIRE(board.state(id) == BreakerState::Closed);
    REQUIRE(board.allowed(id) == 1);
    for (std::uint32_t limit = 2; limit < 8; ++limit) {
        run(board, id, Signal::Good, now += 20 * usPerMs);
        REQUIRE(board.allowed(id) == limit);
    }
}

// Guards against a constant or falling time between probes of a backend server that keeps failing.
TEST_CASE("the time between probes grows while the backend server keeps failing")
{
    CircuitBreakers board = makeBoard({1});
    std::int64_t now = usPerS;
    for (int i = 0; i < 4; ++i)
        run(board, BackendId{}, Signal::Bad, now);
    std::vector<std::int64_t> times;
    for (const std::int64_t end = now + 20 * usPerS; now < end; now += 10 * usPerMs) {
        std::vector<BackendId> probes;
        board.onTimer(now, probes);
        if (!probes.empty()) {
            times.push_back(now);
            board.onProbed(BackendId{}, false, now);
        }
    }
    REQUIRE(times.size() >= 4);
    REQUIRE(times.size() <= 10);
    REQUIRE(times[2] - times[1] > times[1] - times[0]);
}

// Guards against detecting a fault of the whole group at each of its members separately.
TEST_CASE("correlated failures reduce the limit of the whole group and open its breaker")
{
    CircuitBreakers board = makeBoard({8, 8});
    std::int64_t now = usPerS;
    // Three attempts in progress at each of five members fail one after the other.
    for (std::uint32_t i = 0; i < 5; ++i)
        for (int n = 0; n < 3; ++n)
            board.onStart(BackendId(i), now);
    for (std::uint32_t round = 0; round < 3; ++round)
        for (std::uint32_t i = 0; i < 5; ++i)
            board.onEnd(BackendId(i), Signal::Bad, usPerS, now += 45 * usPerMs);
    REQUIRE(board.groupState(BackendId(7)) == BreakerState::Open);
    REQUIRE(board.allowed(BackendId(7)) == 0); // a member without own failures
    REQUIRE(board.groupState(BackendId(8)) == BreakerState::Closed);
    REQUIRE(board.allowed(BackendId(8)) > 8);

    std::vector<BackendId> probes;
    now += 3 * usPerS;
    board.onTimer(now, probes);
    REQUIRE(probes.size() == 1); // one for the group, not one for each member
    board.onProbed(probes[0], true, now);
    std::uint32_t allowed = 0;
    for (std::uint32_t i = 0; i < 8; ++i)
        allowed += board.allowed(BackendId(i));
    REQUIRE(allowed == 1);
    run(board, probes[0], Signal::Good, now);
    REQUIRE(board.groupState(probes[0]) == BreakerState::Closed);
    REQUIRE(board.groupLimit(probes[0]) == 2);
}

// Guards against groups that stay equal to the racks of the VM list although other backend servers fail together.
TEST_CASE("groups follow observed failures")
{
    GroupCorrector groups;
    for (std::uint32_t i = 0; i < 4; ++i)
        groups.add(BackendId(i), 0);
    for (std::uint32_t i = 4; i < 6; ++i)
        groups.add(BackendId(i), 1);
    // 0, 1, 2 and 4, which is in another rack, fail together; 3 and 5 fail alone.
    std::int64_t now = usPerS;
    for (int event = 0; event < 5; ++event, now += 20 * usPerS) {
        for (const std::uint32_t id : {0u, 1u, 2u, 4u})
            groups.onTrip(BackendId(id), now + id * 10 * usPerMs);
        groups.onTrip(BackendId(3), now + 10 * usPerS);
        groups.onTrip(BackendId(5), now + 15 * usPerS);
    }
    CHECK(groups.group(BackendId(4)) == groups.group(BackendId(0)));
    CHECK(groups.group(BackendId(1)) == groups.group(BackendId(0)));
    CHECK(groups.group(BackendId(3)) != groups.group(BackendId(0)));
    CHECK(groups.group(BackendId(5)) != groups.group(BackendId(0)));
}

// Guards against probes and starts on backend servers that leave while their breaker is open.
TEST_CASE("an unusable backend server is not probed")
{
    CircuitBreakers board = makeBoard({1});
    for (int i = 0; i < 4; ++i)
        run(board, BackendId{}, Signal::Bad, usPerS);
    board.setUsable(BackendId{}, false);
    std::vector<BackendId> probes;
    board.onTimer(20 * usPerS, probes);
    CHECK(probes.empty());
    CHECK(board.allowed(BackendId{}) == 0);
}
