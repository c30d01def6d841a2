#include "standins/backend_pool.h"
#include "standins/load_oracle.h"
#include "standins/log_service.h"

#include <catch2/catch.hpp>

using namespace clementinelift;
using namespace clementinelift::standins;

namespace {

constexpr std::int64_t second = 1'000'000;
constexpr std::int64_t leaseUs = 10 * second;
const std::string firstAttempt = "00000000000000aa-1";
const std::string secondAttempt = "00000000000000aa-2";
const std::string otherVmAttempt = "00000000000000bb-1";

BackendPool makePool(std::size_t backends)
{
    std::vector<BackendSpec> specs(backends);
    for (std::size_t i = 0; i < backends; ++i) {
        specs[i].name = "b-" + std::to_string(i);
        specs[i].feed = "f" + std::to_string(i);
        specs[i].slots = 2;
    }
    return {specs, StragglerOptions{.probability = 0}, 1};
}

std::string payload(std::uint32_t task, bool repeatAllowed = false)
{
    return toPayload({"north/k", task, repeatAllowed, second, false});
}

} // namespace

// Guards against a simulated backend server that runs more tasks than it has slots, which would hide slot collisions.
TEST_CASE("a backend server runs at most its slots and answers busy above")
{
    BackendPool pool = makePool(1);
    REQUIRE(pool.start(0, firstAttempt, payload(0), leaseUs, 0) == StartStatus::Started);
    REQUIRE(pool.start(0, secondAttempt, payload(1), leaseUs, 0) == StartStatus::Started);
    REQUIRE(pool.start(0, otherVmAttempt, payload(2), leaseUs, 0) == StartStatus::Busy);
    REQUIRE(pool.counts(0).busy == 1);
    REQUIRE(pool.audit().counts().starts == 2);
    REQUIRE(pool.advance(second).size() == 2);
    REQUIRE(pool.query(0, firstAttempt).state == "completed");
    REQUIRE(pool.query(0, otherVmAttempt).state == "unknown");
}

// Guards against an audit that misses a second start of a task; all process tests depend on this check.
TEST_CASE("the audit counts second starts and overlaps")
{
    BackendPool pool = makePool(2);
    pool.start(0, firstAttempt, payload(0), leaseUs, 0);
    pool.advance(second);
    pool.start(1, otherVmAttempt, payload(0), leaseUs, 2 * second);
    REQUIRE(pool.audit().counts().repeatNeverDoubled == 1);

    pool.start(0, secondAttempt, payload(1, true), leaseUs, 4 * second);
    pool.advance(5 * second);
    pool.start(0, "00000000000000aa-3", payload(1, true), leaseUs, 5 * second);
    REQUIRE(pool.audit().counts().overlapSameVm == 0);
    pool.start(1, "00000000000000aa-4", payload(1, true), leaseUs, 5 * second);
    REQUIRE(pool.audit().counts().overlapSameVm == 1);
    REQUIRE(pool.audit().counts().doubled() == 2);
    REQUIRE(pool.audit().startedTasks("north/k") == 2);
    REQUIRE(pool.audit().startedTasks("north/other") == 0);
}

// Guards against a feed fault, a lease end or a crash that has no effect on running tasks.
TEST_CASE("a feed fault slows its group only, a lease ends a task, a crash loses tasks")
{
    BackendPool pool = makePool(2);
    pool.start(0, firstAttempt, payload(0), leaseUs, 0);
    pool.start(1, otherVmAttempt, payload(1), leaseUs, 0);
    REQUIRE(pool.setFeedFault("f0", {.slowdown = 4, .failProbability = 0, .untilUs = 100 * second}, second / 2) == 1);
    REQUIRE(pool.setFeedFault("none", {}, 0) == 0);
    REQUIRE(pool.advance(second).size() == 1);
    REQUIRE(pool.advance(2 * second).empty());
    REQUIRE(pool.advance(5 * second / 2).size() == 1);

    pool.start(0, secondAttempt, payload(2), second, 3 * second);
    const auto ended = pool.advance(4 * second);
    REQUIRE(ended.size() == 1);
    REQUIRE(ended[0].state == EndState::Failed);
    REQUIRE(pool.counts(0).leaseEnds == 1);

    pool.start(1, "00000000000000bb-2", payload(3), leaseUs, 5 * second);
    pool.changeMode(1, BackendMode::Crashed, 5 * second);
    REQUIRE(pool.advance(5 * second).at(0).state == EndState::Lost);
    REQUIRE(pool.start(1, "00000000000000bb-3", payload(4), leaseUs, 5 * second) == StartStatus::Crashed);
}

// Guards against a count of late starts that always stays 0, so that tests of leaving backend servers could not fail.
TEST_CASE("starts later than 3 s after the list says leaving are counted")
{
    BackendPool pool = makePool(1);
    pool.markListedAsLeaving(0, second);
    pool.start(0, firstAttempt, payload(0), leaseUs, 4 * second);
    REQUIRE(pool.counts(0).lateStarts == 0);
    pool.start(0, secondAttempt, payload(1), leaseUs, 4 * second + 1);
    REQUIRE(pool.counts(0).lateStarts == 1);
}

// Guards against a log service that returns records before their sync, never drops old records, or accepts appends
// during an outage.
TEST_CASE("the log syncs, limits, loses answers and drops old records")
{
    LogService log({.appendsPerS = 8, .syncUs = 4'000, .retentionMs = 1'000, .seed = 1});
    REQUIRE(log.append("s", "a", 0, 0).offset == 0);
    REQUIRE(log.read("s", 0, 10, 1'000, 0)->records.empty());
    REQUIRE(log.read("s", 0, 10, 4'000, 0)->end == 1);
    REQUIRE(log.append("s", "b", 0, 0).status == AppendStatus::Appended);
    REQUIRE(log.append("s", "c", 0, 0).status == AppendStatus::OverLimit);

    log.loseAnswers(1, 2 * second);
    const auto lost = log.append("s", "d", second, 1'000);
    REQUIRE(lost.answerLost);
    REQUIRE(log.read("s", 0, 10, 2 * second, 1'500)->firstAvailable == 2);
    REQUIRE(log.read("s", 0, 10, 2 * second, 1'500)->records.at(0).data == "d");

    log.beginOutage(10 * second);
    REQUIRE(log.append("s", "e", 3 * second, 3'000).status == AppendStatus::Outage);
    REQUIRE_FALSE(log.read("s", 0, 10, 3 * second, 3'000));
    REQUIRE(log.read("s", 0, 10, 10 * second, 1'500)->end == 3);
}

// Guards against a VM list that shows changes without lag; the dispatcher must be tested with the lag.
TEST_CASE("the VM list lags")
{
    VmList list(second);
    ListedVm vm;
    vm.name = "b-1";
    list.put(vm, 0);
    REQUIRE(list.read(0).size() == 1);
    list.markLeaving("b-1", second);
    REQUIRE_FALSE(list.read(second).at(0).leaving);
    REQUIRE(list.read(2 * second).at(0).leaving);
    list.remove("b-1", 2 * second);
    REQUIRE(list.read(2 * second).size() == 1);
    REQUIRE(list.read(3 * second).empty());
}

// Guards against an oracle that accepts wrong results or uses a late reply to an older submission.
TEST_CASE("callers resubmit, ignore late replies and compare results")
{
    LoadOptions options;
    options.organisations = {"north"};
    options.templates = {{"reorder", false}};
    options.entryVms = 2;
    options.jobs = 1;
    options.keys = KeySource::Own;
    LoadOracle oracle(options, 0);
    const auto requests = oracle.advance(second, 0);
    REQUIRE(requests.submits.size() == 1);
    oracle.handleReply(0, 1, {.kind = ReplyKind::Timeout, .reason = {}, .results = {}}, second);
    const auto again = oracle.advance(second + 10, 0);
    REQUIRE(again.submits.size() == 1);
    REQUIRE(again.submits[0].entryVm != requests.submits[0].entryVm);
    oracle.handleReply(0, 1, {.kind = ReplyKind::Complete, .reason = {}, .results = {"late"}}, second);
    REQUIRE_FALSE(oracle.isDone());
    oracle.handleReply(0, 2, {.kind = ReplyKind::Complete, .reason = {}, .results = {"wrong"}}, second);
    REQUIRE(oracle.isDone());
    REQUIRE(oracle.counts().complete == 1);
    REQUIRE(oracle.counts().partial == 1);
}
