// Tests of the record of starts without an answer, which entry VMs report to each other.
#include "command/unconfirmed_starts.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

const TaskId task{"job", 2};

UnconfirmedStart onlyStart(const UnconfirmedStarts &record, TimeUs now)
{
    const std::vector<UnconfirmedStart> all = record.changedSince(now, 0);
    REQUIRE(all.size() == 1);
    return all.front();
}

// Guards against a report that is older than what is known and blocks a task again.
TEST_CASE("reports of a start lead to the same fate in any order")
{
    UnconfirmedStarts commander;
    commander.add(0, task, "s-1", 3, StartFate::Unknown, lateStartLimitUs);
    const UnconfirmedStart unknown = onlyStart(commander, 0);
    commander.settle(usPerS, task, "s-1", 3, StartFate::Settled, usPerS);
    const UnconfirmedStart settled = onlyStart(commander, usPerS);

    UnconfirmedStarts inOrder;
    CHECK(inOrder.merge(usPerS, unknown));
    CHECK(inOrder.ofJob(usPerS, "job").size() == 1);
    CHECK(inOrder.merge(2 * usPerS, settled));
    CHECK(inOrder.ofJob(2 * usPerS, "job").empty());

    UnconfirmedStarts reversed;
    CHECK(reversed.merge(usPerS, settled));
    CHECK_FALSE(reversed.merge(2 * usPerS, unknown));
    CHECK(reversed.ofJob(2 * usPerS, "job").empty());
    CHECK(reversed.openOn(2 * usPerS, "s-1").empty());
}

// Guards against an unanswered start that counts as settled because an earlier one with the same number was.
TEST_CASE("a later unanswered start on the same backend server is reported although an earlier one is settled")
{
    UnconfirmedStarts commander;
    UnconfirmedStarts peer;
    commander.add(0, task, "s-1", 1, StartFate::Unknown, lateStartLimitUs);
    commander.settle(usPerS, task, "s-1", 1, StartFate::Settled, usPerS);
    CHECK(peer.merge(usPerS, onlyStart(commander, usPerS)));
    commander.add(2 * usPerS, task, "s-1", 1, StartFate::Unknown, 2 * usPerS + lateStartLimitUs);
    CHECK(peer.merge(2 * usPerS, onlyStart(commander, 2 * usPerS)));
    CHECK(peer.ofJob(2 * usPerS, "job").size() == 1);
}

// Guards against reports that are sent back and forth between entry VMs for ever.
TEST_CASE("a report that says nothing new changes no version")
{
    UnconfirmedStarts commander;
    UnconfirmedStarts peer;
    commander.add(0, task, "s-1", 1, StartFate::Unknown, lateStartLimitUs);
    CHECK(peer.merge(0, onlyStart(commander, 0)));
    const std::uint64_t version = commander.version();
    CHECK_FALSE(commander.merge(usPerMs, onlyStart(peer, usPerMs)));
    CHECK(commander.version() == version);
}

// Guards against starts of other runs, backend servers or jobs that are settled together with the one that was stopped.
TEST_CASE("a start is settled by its own task, backend server and run only")
{
    UnconfirmedStarts record;
    record.add(0, task, "s-1", 3, StartFate::Unknown, lateStartLimitUs);
    record.settle(1, task, "s-1", 2, StartFate::Settled, 1);
    record.settle(1, task, "s-2", 3, StartFate::Settled, 1);
    record.settle(1, {"job", 1}, "s-1", 3, StartFate::Settled, 1);
    record.settleAll(1, "s-2", 1);
    record.settleAll(1, "s-1", 0); // added later
    CHECK(record.openOn(1, "s-1").size() == 1);
    record.settleAll(1, "s-1", 1);
    CHECK(record.openOn(1, "s-1").empty());
}

// Guards against a record that grows without limit.
TEST_CASE("a start is forgotten after a minute, and is open on its backend server until then")
{
    UnconfirmedStarts record;
    record.add(0, task, "s-1", 3, StartFate::Unknown, lateStartLimitUs);
    CHECK(record.ofJob(lateStartLimitUs, "job").empty());
    record.expire(59 * usPerS);
    CHECK(record.openOn(59 * usPerS, "s-1").size() == 1);
    record.expire(60 * usPerS);
    CHECK(record.openOn(60 * usPerS, "s-1").empty());
}

} // namespace
} // namespace clementinelift::command
