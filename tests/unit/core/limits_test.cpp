#include "core/limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace clementinelift::core;

namespace {

FairQueue::QueueEntry makePlace(std::uint32_t organisation, std::uint64_t job, std::int64_t deadlineUs = 0,
                                std::uint32_t priorityClass = 44)
{
    return {priorityClass, OrganisationId(organisation), deadlineUs, JobId(job)};
}

std::vector<NodeInfo> makeNodes(int count)
{
    std::vector<NodeInfo> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        nodes.push_back(NodeInfo{"e-" + std::to_string(i), "", "z1", Incarnation(i + 1), false});
    return nodes;
}

} // namespace

// Guards against an organisation that gets more service than its weight allows while others wait.
TEST_CASE("service follows the weights")
{
    FairQueue queue;
    queue.setWeight(OrganisationId(0), 1);
    queue.setWeight(OrganisationId(1), 3);
    queue.insert(makePlace(0, 1));
    queue.insert(makePlace(1, 2));
    std::array<double, 2> served{};
    for (int i = 0; i < 4000; ++i) {
        const auto entry = *queue.first();
        const double cost = (50 + i % 7 * 30) * double(usPerMs);
        served[raw(entry.organisation)] += cost;
        queue.charge(entry, cost);
    }
    CHECK(served[1] / served[0] == Approx(3).epsilon(0.1));
}

// Guards against a backlog that delays another organisation's single jobs.
TEST_CASE("a new job of another organisation goes before a backlog")
{
    FairQueue queue;
    for (std::uint64_t job = 1; job <= 1000; ++job)
        queue.insert(makePlace(0, job, static_cast<std::int64_t>(job)));
    for (int i = 0; i < 500; ++i)
        queue.charge(*queue.first(), 100.0 * usPerMs);
    queue.insert(makePlace(1, 5000, 999999));
    CHECK(queue.first()->job == JobId(5000));
}

// Guards against a wrong order within one organisation and between priorities.
TEST_CASE("priority comes before deadline")
{
    FairQueue queue;
    queue.insert(makePlace(0, 1, 300));
    queue.insert(makePlace(0, 2, 200));
    queue.insert(makePlace(1, 3, 900, 10));
    CHECK(queue.first()->job == JobId(3));
    queue.erase(makePlace(1, 3, 900, 10));
    CHECK(queue.first()->job == JobId(2));
    CHECK(queue.last()->job == JobId(1));
    queue.block(OrganisationId(0));
    CHECK(!queue.first());
    queue.unblock(OrganisationId(0));
    CHECK(queue.first()->job == JobId(2));
}

// Guards against shares that add up to more than the limit, with all reports received, some missing, or none.
TEST_CASE("the shares of all entry VMs stay within the limit")
{
    REQUIRE(rc::check([] {
        const int count = *rc::gen::inRange(1, 9);
        const auto nodes = makeNodes(count);
        std::vector<std::uint32_t> demand;
        demand.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            demand.push_back(*rc::gen::inRange<std::uint32_t>(0, 500));
        const bool cutOff = *rc::gen::arbitrary<bool>();
        double total = 0;
        for (int i = 0; i < count; ++i) {
            FleetShare shares;
            shares.setPeers(nodes, nodes[static_cast<std::size_t>(i)].name, 0);
            for (int j = 0; j < count && !(cutOff && i == 0); ++j)
                if (j != i && !(cutOff && j == 0)) {
                    const std::vector<OrganisationDemand> report{{"north", demand[static_cast<std::size_t>(j)], 0, 0}};
                    shares.onReport(nodes[static_cast<std::size_t>(j)].name, report, 0);
                }
            total += shares.share(120, "north", demand[static_cast<std::size_t>(i)], usPerS);
        }
        RC_ASSERT(total <= 120.001);
    }));
}

// Guards against an entry VM that takes the whole limit when it is cut off from its peers.
TEST_CASE("an entry VM without reports falls back to a fixed share")
{
    FleetShare shares;
    const auto nodes = makeNodes(4);
    shares.setPeers(nodes, "e-0", 0);
    const std::vector<OrganisationDemand> idle{{"north", 0, 0, 0}};
    for (const char *peer : {"e-1", "e-2", "e-3"})
        shares.onReport(peer, idle, 0);
    CHECK(shares.share(100, "north", 10, usPerS) > 80);
    CHECK(shares.share(100, "north", 10, 60 * usPerS) == Approx(25));
    shares.setPeers(std::vector{nodes[0]}, "e-0", 60 * usPerS); // the others were declared dead
    CHECK(shares.share(100, "north", 10, 61 * usPerS) == Approx(25));
}

// Guards against limits below the number of entry VMs that no entry VM may use, or each of them in full.
TEST_CASE("a limit of two tasks serves two of six entry VMs in turn")
{
    const auto nodes = makeNodes(6);
    std::vector<int> turns(6);
    for (std::int64_t wallMs = 0; wallMs < 200000; wallMs += 2000) {
        int holders = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            FleetShare shares;
            shares.setPeers(nodes, nodes[i].name, 0);
            const int mine = static_cast<int>(shares.wholeTaskShare(2, 1.0 / 6, "north", nodes[i].name, wallMs));
            holders += mine;
            turns[i] += mine;
        }
        REQUIRE(holders == 2);
    }
    for (const int count : turns)
        CHECK(count > 10);
}

// Guards against starts over the rate or the concurrency.
TEST_CASE("starts stay within rate and concurrency")
{
    StartLimiter limiter;
    limiter.setShares(3, 10, 0);
    int started = 0;
    std::int64_t now = 0;
    for (; now < 10 * usPerS; now += usPerMs)
        if (limiter.mayStart(now)) {
            limiter.onStart();
            limiter.onEnd();
            ++started;
        }
    CHECK(started <= 103);
    CHECK(started >= 99);
    limiter.setShares(2, 1000, now);
    now += usPerS;
    for (int i = 0; i < 2; ++i) {
        REQUIRE(limiter.mayStart(now));
        limiter.onStart();
    }
    CHECK(!limiter.mayStart(now));
    limiter.onEnd();
    CHECK(limiter.mayStart(now));
}

// Guards against retry storms: over any 10 s, retries must stay within 10% of the first attempts plus the 5 that are
// always allowed.
TEST_CASE("retries stay within the budget over any 10 s")
{
    RetryBudget budget;
    std::vector<std::int64_t> first;
    std::vector<std::int64_t> retries;
    std::mt19937_64 random(3);
    for (std::int64_t now = 0; now < 60 * usPerS; now += 2 * usPerMs) {
        const bool calm = now / (7 * usPerS) % 2 == 0; // the rate changes by a third
        if (random() % 100 < (calm ? 90 : 60)) {
            budget.onFirstAttempt(now);
            first.push_back(now);
        }
        if (budget.takeRetry(10, now))
            retries.push_back(now);
    }
    REQUIRE(retries.size() > first.size() / 20);
    for (std::int64_t end = 10 * usPerS; end <= 60 * usPerS; end += 100 * usPerMs) {
        const auto count = [&](const std::vector<std::int64_t> &times) {
            return std::count_if(times.begin(), times.end(),
                                 [&](std::int64_t at) { return at > end - 10 * usPerS && at <= end; });
        };
        CHECK(static_cast<double>(count(retries)) <= 0.1 * static_cast<double>(count(first)) + 5);
    }
    RetryBudget quiet;
    int allowed = 0;
    for (int i = 0; i < 100; ++i)
        allowed += quiet.takeRetry(10, i) ? 1 : 0;
    CHECK(allowed == 5);
    CHECK(!quiet.takeRetry(0, 60 * usPerS));
}

// Guards against tasks that failed together and retry at the same time.
TEST_CASE("backoff grows and is randomised")
{
    std::mt19937_64 random(1);
    std::int64_t least = INT64_MAX;
    std::int64_t most = 0;
    for (int i = 0; i < 200; ++i) {
        const std::int64_t delay = backoffUs(5, random);
        least = std::min(least, delay);
        most = std::max(most, delay);
    }
    CHECK(least >= 80 * usPerMs);
    CHECK(most <= 160 * usPerMs);
    CHECK(most - least > 40 * usPerMs);
    CHECK(backoffUs(40, random) <= 2 * usPerS);
}
