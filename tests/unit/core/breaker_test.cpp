#include "core/breaker.h"

#include <catch2/catch.hpp>

using namespace clementinelift::core;

namespace {

// Circuit breakers for racks of the given sizes, with 8 slots per backend server.
CircuitBreakers makeBreakers(std::initializer_list<std::uint32_t> racks)
{
    CircuitBreakers breakers(7);
    std::uint32_t id = 0;
    std::uint32_t rack = 0;
    for (const std::uint32_t size : racks) {
        for (std::uint32_t i = 0; i < size; ++i, ++id) {
            breakers.add(BackendId(id), "r" + std::to_string(rack));
            breakers.setCapacity(BackendId(id), 8);
        }
        ++rack;
    }
    return breakers;
}

void run(CircuitBreakers &breakers, BackendId id, Signal signal, std::int64_t atUs)
{
    breakers.onStart(id, atUs);
    breakers.onEnd(id, signal, atUs, atUs + 10 * usPerMs);
}

} // namespace

// Guards against further tasks on a backend server whose attempts all fail.
TEST_CASE("a failing backend server is opened, probed and recovers step by step")
{
    CircuitBreakers breakers = makeBreakers({1});
    const BackendId id{};
    std::int64_t now = usPerS;
    for (int i = 0; i < 4; ++i)
        run(breakers, id, Signal::Bad, now += 20 * usPerMs);
    REQUIRE(breakers.state(id) == BreakerState::Open);
    REQUIRE(breakers.allowed(id) == 0);

    std::vector<BackendId> probes;
    breakers.onTimer(now + 100 * usPerMs, probes);
    REQUIRE(probes.empty());
    now += 2 * usPerS;
    breakers.onTimer(now, probes);
    REQUIRE(probes.size() == 1);
    REQUIRE(breakers.allowed(id) == 0); // the active probe comes first
    breakers.onProbed(id, true, now);
    REQUIRE(breakers.allowed(id) == 1); // then one attempt
    breakers.onStart(id, now);
    REQUIRE(breakers.allowed(id) == 0);
    breakers.onEnd(id, Signal::Good, now, now + usPerMs);
    REQUIRE(breakers.state(id) == BreakerState::Closed);
    REQUIRE(breakers.allowed(id) == 1);
    for (std::uint32_t limit = 2; limit < 8; ++limit) {
        run(breakers, id, Signal::Good, now += 20 * usPerMs);
        REQUIRE(breakers.allowed(id) == limit);
    }
}

// Guards against a constant or falling time between probes of a backend server that keeps failing.
TEST_CASE("the time between probes grows while the backend server keeps failing")
{
    CircuitBreakers breakers = makeBreakers({1});
    std::int64_t now = usPerS;
    for (int i = 0; i < 4; ++i)
        run(breakers, BackendId{}, Signal::Bad, now);
    std::vector<std::int64_t> times;
    for (const std::int64_t end = now + 20 * usPerS; now < end; now += 10 * usPerMs) {
        std::vector<BackendId> probes;
        breakers.onTimer(now, probes);
        if (!probes.empty()) {
            times.push_back(now);
            breakers.onProbed(BackendId{}, false, now);
        }
    }
    REQUIRE(times.size() >= 4);
    REQUIRE(times.size() <= 10);
    REQUIRE(times[2] - times[1] > times[1] - times[0]);
}

// Guards against detecting a fault of the whole group at each of its members separately.
TEST_CASE("correlated failures reduce the limit of the whole group and open its breaker")
{
    CircuitBreakers breakers = makeBreakers({8, 8});
    std::int64_t now = usPerS;
    // Three attempts in progress at each of five members fail one after the other.
    for (std::uint32_t i = 0; i < 5; ++i)
        for (int n = 0; n < 3; ++n)
            breakers.onStart(BackendId(i), now);
    for (std::uint32_t round = 0; round < 3; ++round)
        for (std::uint32_t i = 0; i < 5; ++i)
            breakers.onEnd(BackendId(i), Signal::Bad, usPerS, now += 45 * usPerMs);
    REQUIRE(breakers.groupState(BackendId(7)) == BreakerState::Open);
    REQUIRE(breakers.allowed(BackendId(7)) == 0); // a member without own failures
    REQUIRE(breakers.groupState(BackendId(8)) == BreakerState::Closed);
    REQUIRE(breakers.allowed(BackendId(8)) > 8);

    std::vector<BackendId> probes;
    now += 3 * usPerS;
    breakers.onTimer(now, probes);
    REQUIRE(probes.size() == 1); // one for the group, not one for each member
    breakers.onProbed(probes[0], true, now);
    std::uint32_t allowed = 0;
    for (std::uint32_t i = 0; i < 8; ++i)
        allowed += breakers.allowed(BackendId(i));
    REQUIRE(allowed == 1);
    run(breakers, probes[0], Signal::Good, now);
    REQUIRE(breakers.groupState(probes[0]) == BreakerState::Closed);
    REQUIRE(breakers.groupLimit(probes[0]) == 2);
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
    CircuitBreakers breakers = makeBreakers({1});
    for (int i = 0; i < 4; ++i)
        run(breakers, BackendId{}, Signal::Bad, usPerS);
    breakers.setUsable(BackendId{}, false);
    std::vector<BackendId> probes;
    breakers.onTimer(20 * usPerS, probes);
    CHECK(probes.empty());
    CHECK(breakers.allowed(BackendId{}) == 0);
}
