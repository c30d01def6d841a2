#include "core/ownership.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace clementinelift::core;

namespace {

constexpr std::int64_t horizonMs = 600000;
constexpr std::int64_t stepMs = 300000;
constexpr std::int64_t startMs = 1733288000000;

GrantRecord grant(std::uint64_t incarnation, std::uint32_t partition, std::int64_t fromMs, std::int64_t toMs)
{
    GrantRecord record;
    record.node = "e-" + std::to_string(incarnation);
    record.incarnation = Incarnation(incarnation);
    record.partitions.set(partition);
    record.fromMs = fromMs;
    record.toMs = toMs;
    return record;
}

std::uint64_t ownerAt(const OwnershipTable &table, std::uint32_t partition, std::int64_t issueMs)
{
    return raw(table.find(partition, issueMs).incarnation);
}

CoreSettings settingsOf(const std::string &name, std::uint64_t incarnation)
{
    CoreSettings settings;
    settings.self = {name, "127.0.0.1:1", "z1", Incarnation(incarnation), false};
    return settings;
}

std::vector<NodeInfo> fleet(int count)
{
    std::vector<NodeInfo> nodes(count);
    for (int i = 0; i < count; ++i)
        nodes[i] = {"e-" + std::to_string(i), "", "z1", Incarnation(i + 1), false};
    return nodes;
}

} // namespace

// Guards G1: a later grant must not take over issue times of an earlier one, whether it overlaps the earlier one at
// either side or encloses it.
TEST_CASE("the first grant of an issue time wins")
{
    OwnershipTable table(horizonMs, stepMs);
    table.apply(grant(1, 7, startMs, startMs + 100), startMs);
    table.apply(grant(2, 7, startMs - 50, startMs + 200), startMs);
    CHECK(ownerAt(table, 7, startMs - 1) == 2);
    CHECK(ownerAt(table, 7, startMs) == 1);
    CHECK(ownerAt(table, 7, startMs + 99) == 1);
    CHECK(ownerAt(table, 7, startMs + 100) == 2);
    CHECK(table.find(7, startMs + 200).coverage == Coverage::Uncovered);
    CHECK(table.find(8, startMs).coverage == Coverage::Uncovered);
    CHECK(table.coverageEndMs(7) == startMs + 200);
    CHECK(table.intervalCount() == 3);
}

// Guards G1: a late append must not grant issue times to a released incarnation that still runs, and a repeated release
// must not change the end of its grants.
TEST_CASE("a release ends grants and voids later ones")
{
    OwnershipTable table(horizonMs, stepMs);
    table.apply(grant(1, 7, startMs, startMs + 1000), startMs);
    table.apply(ReleaseRecord{Incarnation(1), startMs + 400});
    table.apply(ReleaseRecord{Incarnation(1), startMs + 100});
    table.apply(grant(1, 7, startMs + 400, startMs + 2000), startMs);
    CHECK(ownerAt(table, 7, startMs + 399) == 1);
    CHECK(table.find(7, startMs + 400).coverage == Coverage::Uncovered);
    table.apply(grant(2, 7, startMs, startMs + 3000), startMs);
    CHECK(ownerAt(table, 7, startMs + 399) == 1);
    CHECK(ownerAt(table, 7, startMs + 400) == 2);
}

// Guards against one wrong clock that makes all keys too old: progress stays near the clock of the log service.
TEST_CASE("a grant from a wrong clock raises progress by at most the maximum step")
{
    OwnershipTable table(horizonMs, stepMs);
    table.apply(grant(1, 7, startMs, startMs + 30000), startMs);
    table.apply(grant(2, 8, startMs, startMs + 100 * horizonMs), startMs);
    CHECK(table.progressMs() == startMs + stepMs);
    CHECK(ownerAt(table, 7, startMs) == 1);
    table.apply(grant(3, 9, startMs - 10 * horizonMs, startMs), startMs);
    CHECK(table.find(9, startMs + stepMs - horizonMs - 1).coverage == Coverage::TooOld);
    CHECK(ownerAt(table, 9, startMs + stepMs - horizonMs) == 3);
}

// Guards F14: after records are lost, a process must not trust grants that may overlap a lost earlier grant.
TEST_CASE("a rebuilt table rejects issue times that lost grants may cover")
{
    OwnershipTable table(horizonMs, stepMs);
    table.apply(grant(1, 7, startMs, startMs + 30000), startMs);
    table.reset();
    table.apply(grant(2, 7, startMs, startMs + 2 * stepMs), startMs + stepMs);
    CHECK(table.find(7, startMs + 2 * stepMs - 1).coverage == Coverage::TooOld);
    table.apply(grant(2, 7, startMs + 2 * stepMs, startMs + 3 * stepMs), startMs + 2 * stepMs);
    CHECK(ownerAt(table, 7, startMs + 2 * stepMs) == 2);
}

// Guards against errors in the interval code: compares the table with a model that stores one owner for each issue
// time.
TEST_CASE("the interval table agrees with a model of single issue times")
{
    CHECK(rc::check([] {
        const std::int64_t base = 1000;
        OwnershipTable table(50, 40);
        std::map<std::int64_t, std::uint64_t> owners;
        std::set<std::uint64_t> released;
        std::int64_t progress = 0;
        const auto count = *rc::gen::inRange(0, 30);
        for (int i = 0; i < count; ++i) {
            const std::int64_t recordTime = base + i * 5;
            const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 5);
            const auto from = recordTime + *rc::gen::inRange(-70, 60);
            if (*rc::gen::inRange(0, 6) == 0) {
                table.apply(ReleaseRecord{Incarnation(incarnation), from});
                if (released.insert(incarnation).second)
                    std::erase_if(owners,
                                  [&](auto &entry) { return entry.second == incarnation && entry.first >= from; });
            } else {
                const auto to = from + *rc::gen::inRange(-2, 60);
                table.apply(grant(incarnation, 3, from, to), recordTime);
                const std::int64_t end = std::min<std::int64_t>(to, recordTime + 40);
                if (released.contains(incarnation) || end <= from)
                    continue;
                progress = std::max(progress, end);
                for (auto at = std::max({from, recordTime - 50, progress - 50}); at < end; ++at)
                    owners.try_emplace(at, incarnation);
            }
        }
        RC_ASSERT(table.progressMs() == progress);
        for (std::int64_t at = progress - 60; at < progress + 5; ++at) {
            const auto expected = owners.find(at);
            const auto found = table.find(3, at);
            if (at < progress - 50)
                RC_ASSERT(found.coverage == Coverage::TooOld);
            else
                RC_ASSERT(raw(found.incarnation) == (expected == owners.end() ? 0 : expected->second));
        }
    }));
}

// Guards F14: a process that starts after old records were dropped must resolve competing grants to the same owners as
// one that read all records. Retention exceeds horizon + step, as ownership.h requires.
TEST_CASE("readers of a shortened log agree on every owner")
{
    CHECK(rc::check([] {
        struct Entry
        {
            GrantRecord grant;
            std::int64_t time;
        };
        std::vector<Entry> log;
        std::int64_t time = 1000;
        const auto count = *rc::gen::inRange(2, 40);
        for (int i = 0; i < count; ++i) {
            time += *rc::gen::inRange(0, 30);
            const auto from = time + *rc::gen::inRange(-90, 60);
            log.push_back({grant(i + 1, 3, from, from + *rc::gen::inRange(1, 80)), time});
        }
        const std::int64_t dropped = time - 100; // retention
        OwnershipTable whole(50, 40);
        OwnershipTable shortened(50, 40);
        for (const auto &entry : log) {
            whole.apply(entry.grant, entry.time);
            if (entry.time >= dropped)
                shortened.apply(entry.grant, entry.time);
        }
        // Grants appended now compete only with records that both have read.
        for (std::int64_t at = std::max(whole.floorMs(), time - 50); at < time + 45; ++at)
            RC_ASSERT(ownerAt(whole, 3, at) == ownerAt(shortened, 3, at));
    }));
}

// Guards against more than one record per call in steady state, and against partitions without an owner.
TEST_CASE("planners of a fleet cover all partitions with few records")
{
    const auto live = fleet(6);
    std::vector<CoreSettings> settings(6);
    for (int i = 0; i < 6; ++i)
        settings[i] = settingsOf("e-" + std::to_string(i), i + 1);
    std::vector<GrantPlanner> planners(settings.begin(), settings.end());
    OwnershipTable table(horizonMs, stepMs);
    std::size_t appends = 0;
    for (std::int64_t ms = 0; ms < 60000; ms += 100) {
        for (auto &planner : planners) {
            for (const auto &record : planner.plan(table, live, {ms * usPerMs, startMs + ms})) {
                table.apply(record, startMs + ms);
                ++appends;
            }
        }
        for (std::uint32_t partition = 0; partition < partitionCount; ++partition)
            REQUIRE(table.find(partition, startMs + ms + 20000).coverage == Coverage::Owned);
    }
    CHECK(appends <= 6 * 60 / 4); // at most one record per planner in 4 s
    CHECK(table.intervalCount() == partitionCount);
    CHECK(table.find(0, startMs - 60000).coverage == Coverage::Uncovered); // issue times long past are not claimed
}

// Guards against too many appends after a restart of the fleet, and against gaps left by releases and crashes.
TEST_CASE("a restarted fleet fills all gaps with at most two records a planner")
{
    OwnershipTable table(horizonMs, stepMs);
    for (std::uint32_t partition = 0; partition < partitionCount; partition += 2)
        table.apply(grant(1000 + partition % 7, partition, startMs - 60000, startMs + 10 * partition), startMs);
    table.apply(ReleaseRecord{Incarnation(1000), startMs - 20000});
    const auto live = fleet(150);
    std::size_t appends = 0;
    for (int i = 0; i < 150; ++i) {
        const auto settings = settingsOf("e-" + std::to_string(i), i + 1);
        GrantPlanner planner(settings);
        const auto records = planner.plan(table, live, {0, startMs});
        CHECK(records.size() <= 2);
        CHECK(planner.plan(table, live, {1, startMs}).empty()); // not repeated while the append is under way
        for (const auto &record : records)
            table.apply(record, startMs);
        appends += records.size();
    }
    CHECK(appends <= 300);
    for (std::uint32_t partition = 0; partition < partitionCount; ++partition)
        REQUIRE(table.firstGapMs(partition, startMs - 30000) >= startMs + 25000);
}

// Guards against one wrong clock that makes all keys too old, and against a released entry VM that claims again.
TEST_CASE("a planner with a wrong clock raises no progress")
{
    const auto live = fleet(1);
    const auto settings = settingsOf("e-0", 1);
    OwnershipTable table(horizonMs, stepMs);
    table.apply(grant(9, 5, startMs, startMs + 20000), startMs);
    for (const std::int64_t error : {3600000, -3600000, 6000}) {
        GrantPlanner planner(settings);
        for (const auto &record : planner.plan(table, live, {0, startMs + error}, error))
            CHECK(record.toMs <= table.progressMs());
    }
    GrantPlanner planner(settings);
    CHECK(planner.plan(table, live, {0, startMs}, 100).size() == 2);
    CHECK(planner.release(startMs + 1).atMs == startMs + 1);
    CHECK(planner.plan(table, live, {100 * usPerS, startMs + 100000}).empty());
}
