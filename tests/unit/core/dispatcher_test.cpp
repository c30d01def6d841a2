#include "tests/unit/core/cluster.h"

#include <catch2/catch.hpp>

using namespace clementinelift::core;
using namespace clementinelift::core::test;

// Submissions and answers ---------------------------------------------------------------------------

// Guards the normal path: submission, start, end, answer.
TEST_CASE("a job is answered with the results of all tasks in task order")
{
    Cluster cluster(1);
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "once", 3);
    REQUIRE(cluster.starts.size() == 3);
    CHECK(cluster.starts[1].attempt.payload == "payload 1");
    CHECK(cluster.starts[0].attempt.leaseMs == 10000);
    cluster.end(cluster.starts[2], AttemptOutcome::Completed, "c");
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "a");
    CHECK(cluster.answerCount(caller) == 0);
    cluster.end(cluster.starts[1], AttemptOutcome::Completed, "b");
    CHECK(cluster.answer(caller).kind == AnswerKind::Complete);
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"a", "b", "c"});
    CHECK(cluster.core(0).openJobs() == 0);
}

// Guards G1 and G3: a resubmission starts nothing, and both callers get the same answer.
TEST_CASE("a resubmission joins the running job and later gets the stored answer")
{
    Cluster cluster(1);
    const Key key = cluster.keyOwnedBy(0);
    const CallerId first = cluster.submit(0, key, "once");
    const CallerId second = cluster.submit(0, key, "once");
    CHECK(cluster.starts.size() == 1);
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "r");
    CHECK(cluster.answer(first).results == std::vector<std::string>{"r"});
    CHECK(cluster.answer(second).results == std::vector<std::string>{"r"});
    const CallerId third = cluster.submit(0, key, "once");
    CHECK(cluster.answer(third).results == std::vector<std::string>{"r"});
    CHECK(cluster.starts.size() == 1);
    CHECK(cluster.core(0).counters().joins == 2);
}

// Guards G4: the job of the first body may have started.
TEST_CASE("a key with another body is refused without saying not_run")
{
    Cluster cluster(1);
    const Key key = cluster.keyOwnedBy(0);
    cluster.submit(0, key, "once", 1, 7);
    const CallerId other = cluster.submit(0, key, "once", 1, 8);
    CHECK(cluster.answer(other).reason == Reason::KeyReused);
    CHECK(cluster.answer(other).statement == Statement::AttemptNotRun);
}

TEST_CASE("the same key of two organisations is two submissions")
{
    Cluster cluster(1);
    const Key key = cluster.keyOwnedBy(0);
    cluster.submit(0, key, "once");
    cluster.submit(0, key, "once", 1, 7, true, "south");
    CHECK(cluster.starts.size() == 2);
}

// Guards against a second answer to callers that were answered at acceptance.
TEST_CASE("a caller that does not wait gets one answer, pending")
{
    Cluster cluster(2);
    for (const std::size_t owner : {0, 1}) {
        const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(owner), "once", 1, 7, false);
        CHECK(cluster.answer(caller).kind == AnswerKind::Pending);
        cluster.end(cluster.starts.back(), AttemptOutcome::Completed);
        CHECK(cluster.answerCount(caller) == 1);
    }
}

// Guards G4: only owners may answer not_run, and only for templates that never repeat. Repeatable jobs may have run on
// other entry VMs.
TEST_CASE("the owner says not_run about templates that never repeat only")
{
    CoreSettings settings;
    settings.maxQueuedTasks = 4;
    Cluster cluster(1, settings);
    const CallerId once = cluster.submit(0, cluster.keyOwnedBy(0), "once", 5);
    const CallerId again = cluster.submit(0, cluster.keyOwnedBy(0), "again", 5);
    CHECK(cluster.answer(once).statement == Statement::NotRun);
    CHECK(cluster.answer(again).statement == Statement::AttemptNotRun);
    CHECK(cluster.answer(again).reason == cluster.answer(once).reason);
    const CallerId unknown = cluster.submit(0, cluster.keyOwnedBy(0), "other");
    CHECK(cluster.answer(unknown).reason == Reason::UnknownTemplate);

    // A template that once allowed repeats may have run elsewhere before the change.
    cluster.publish("template/again", "deadline=5000");
    cluster.advance(100);
    const CallerId changed = cluster.submit(0, cluster.keyOwnedBy(0), "again", 5);
    CHECK(cluster.answer(changed).statement == Statement::AttemptNotRun);
}

TEST_CASE("keys outside the coverage of all grants are refused")
{
    Cluster cluster(1);
    const std::int64_t wallMs = cluster.now(0).wallMs;
    const CallerId future = cluster.submit(0, makeKey(wallMs + 3600000, 1, 1), "once");
    CHECK(cluster.answer(future).reason == Reason::KeyInFuture);
    const CallerId old = cluster.submit(0, makeKey(wallMs - 3600000, 1, 1), "once");
    CHECK(cluster.answer(old).reason == Reason::KeyTooOld);
    const CallerId gap = cluster.submit(0, makeKey(wallMs - 300000, 1, 1), "once");
    CHECK(cluster.answer(gap).reason == Reason::NoGrant);
    for (const CallerId caller : {future, old, gap})
        CHECK(cluster.answer(caller).statement == Statement::AttemptNotRun);
    // Templates that allow repeats run without an owner.
    cluster.submit(0, makeKey(wallMs - 300000, 1, 1), "again");
    CHECK(cluster.starts.size() == 1);
}

// Guards against payloads that exhaust the memory, in jobs and in submissions that are forwarded to their owner.
TEST_CASE("jobs and forwarded submissions stay within the memory for jobs")
{
    CoreSettings settings;
    settings.maxJobBytes = 64u << 10;
    Cluster cluster(2, settings);
    for (const std::size_t owner : {0, 1}) {
        CallerId last{};
        for (int i = 0; i < 200; ++i)
            last = cluster.submit(0, cluster.keyOwnedBy(owner), "once", 20);
        const Answer &refused = cluster.answer(last);
        CHECK(refused.kind == AnswerKind::Refused);
        CHECK(refused.reason == Reason::QueueFull);
        for (const std::size_t node : {0, 1})
            CHECK(cluster.core(node).jobBytes() <= settings.maxJobBytes);
    }
    cluster.advance(60000);
    for (const std::size_t node : {0, 1})
        CHECK(cluster.core(node).jobBytes() == 0);
    const CallerId later = cluster.submit(0, cluster.keyOwnedBy(0), "once", 20);
    CHECK(cluster.answerCount(later) == 0); // accepted
}

// Guards the memory bound: started keys are never evicted inside the horizon.
TEST_CASE("a full dedupe table refuses new keys and keeps the old ones")
{
    CoreSettings settings;
    settings.maxRememberedKeys = 2;
    Cluster cluster(1, settings);
    const Key key = cluster.keyOwnedBy(0);
    cluster.submit(0, key, "once");
    cluster.submit(0, cluster.keyOwnedBy(0), "once");
    const CallerId refused = cluster.submit(0, cluster.keyOwnedBy(0), "once");
    CHECK(cluster.answer(refused).reason == Reason::DedupeFull);
    cluster.submit(0, key, "once");
    CHECK(cluster.starts.size() == 2);
}

// Guards against a second start after the answer was evicted.
TEST_CASE("a dropped answer is reported as a failure with possible effects")
{
    CoreSettings settings;
    settings.maxAnswerBytes = 10;
    Cluster cluster(1, settings);
    const Key key = cluster.keyOwnedBy(0);
    const CallerId first = cluster.submit(0, key, "once");
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "a result longer than the bound");
    CHECK(cluster.answer(first).kind == AnswerKind::Complete);
    const CallerId second = cluster.submit(0, key, "once");
    CHECK(cluster.answer(second).reason == Reason::AnswerDropped);
    CHECK(cluster.answer(second).effects == Effects::Possible);
    CHECK(cluster.starts.size() == 1);
    CHECK(cluster.core(0).answerBytes() == 0);
}

// Guards the dedupe horizon: keys are removed only when the log shows that they are too old.
TEST_CASE("keys below the dedupe horizon are removed and refused")
{
    CoreSettings settings;
    settings.dedupeHorizonMs = 240000;
    Cluster cluster(1, settings);
    const Key key = cluster.keyOwnedBy(0);
    cluster.submit(0, key, "once");
    cluster.end(cluster.starts[0], AttemptOutcome::Completed);
    cluster.advance(400000);
    CHECK(cluster.core(0).rememberedKeys() == 0);
    const CallerId late = cluster.submit(0, key, "once");
    CHECK(cluster.answer(late).reason == Reason::KeyTooOld);
    CHECK(cluster.answer(late).statement == Statement::AttemptNotRun);
    CHECK(cluster.starts.size() == 1);
}

TEST_CASE("an entry VM issues only keys that it owns")
{
    Cluster cluster(2);
    cluster.handle(1, RequestKeys{CallerId(77), "north", 50});
    REQUIRE(cluster.keyAnswers[CallerId(77)].keys.size() == 50);
    for (const Key &key : cluster.keyAnswers[CallerId(77)].keys)
        cluster.submit(1, key, "once");
    CHECK(cluster.core(1).counters().forwardsSent == 0);
    cluster.handle(1, RequestKeys{CallerId(78), "west", 50});
    CHECK(cluster.keyAnswers[CallerId(78)].reason == Reason::UnknownOrganisation);
}

TEST_CASE("the trace of a job names its steps and stays bounded")
{
    Cluster cluster(1);
    const Key key = cluster.keyOwnedBy(0);
    cluster.submit(0, key, "once", 100);
    while (!cluster.starts.empty()) {
        const StartedAttempt start = cluster.starts.back();
        cluster.starts.pop_back();
        cluster.end(start, AttemptOutcome::Completed);
    }
    cluster.handle(0, RequestTrace{CallerId(77), "north", key});
    const auto &entries = cluster.explanations[CallerId(77)].entries;
    REQUIRE(entries.size() > 3);
    CHECK(entries.size() < 40);
    CHECK(entries.front().text == "accepted, tasks=100");
    CHECK(entries.back().text == "answered, reason=none");
}

// Attempts ------------------------------------------------------------------------------------------

// Guards G5 against late and duplicated ends.
TEST_CASE("a duplicate end of an attempt is ignored")
{
    Cluster cluster(1);
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "once", 2);
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "a");
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "a");
    cluster.end(cluster.starts[0], AttemptOutcome::Failed, "x");
    CHECK(cluster.answerCount(caller) == 0);
    cluster.end(cluster.starts[1], AttemptOutcome::Completed, "b");
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"a", "b"});
    cluster.end(cluster.starts[1], AttemptOutcome::Failed, "x");
    CHECK(cluster.answerCount(caller) == 1);
    CHECK(cluster.starts.size() == 2);
}

TEST_CASE("an attempt that did not start is followed by another one for every template")
{
    Cluster cluster(1);
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "once");
    cluster.end(cluster.starts[0], AttemptOutcome::Busy);
    cluster.advance(1000);
    REQUIRE(cluster.starts.size() == 2);
    CHECK(cluster.starts[1].attempt.payload == "payload 0");
    CHECK_FALSE(cluster.starts[1].attempt.attempt == cluster.starts[0].attempt.attempt);
    // The late end of the first attempt does not end the second one.
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "late");
    CHECK(cluster.answerCount(caller) == 0);
    cluster.end(cluster.starts[1], AttemptOutcome::Completed, "r");
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"r"});
}

// Guards G2 and G5: a failed task ends the job at once, its other tasks are stopped or dropped.
TEST_CASE("a failed task that never repeats fails the job early")
{
    Cluster cluster(1);
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "once", 12);
    const std::size_t started = cluster.starts.size();
    cluster.end(cluster.starts[0], AttemptOutcome::Failed, "broken");
    CHECK(cluster.answer(caller).kind == AnswerKind::Failed);
    CHECK(cluster.answer(caller).reason == Reason::TaskFailed);
    CHECK(cluster.answer(caller).effects == Effects::Possible);
    CHECK(cluster.answer(caller).detail == "broken");
    CHECK(cluster.stops.size() == started - 1);
    CHECK(cluster.core(0).counters().tasksDropped == 12 - started);
    for (std::size_t i = 1; i < started; ++i)
        cluster.end(cluster.starts[i], AttemptOutcome::Failed, "stopped");
    cluster.advance(20000);
    CHECK(cluster.starts.size() == started);
    // All slots are free again.
    cluster.submit(0, cluster.keyOwnedBy(0), "once", 8);
    cluster.advance(2000);
    CHECK(cluster.starts.size() > started);
}

// Guards G5: after a broken connection, the outcome of the first attempt counts and no second attempt starts.
TEST_CASE("an unknown outcome is resolved by asking the backend server")
{
    Cluster cluster(1);
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "once");
    cluster.end(cluster.starts[0], AttemptOutcome::Unknown);
    REQUIRE(cluster.queries.size() == 1);
    cluster.end(cluster.starts[0], AttemptOutcome::Unknown);    // a duplicate
    cluster.end(cluster.starts[0], AttemptOutcome::NotStarted); // contradicts the first end
    CHECK(cluster.queries.size() == 1);
    cluster.status(cluster.starts[0], AttemptState::Running);
    cluster.advance(200);
    CHECK(cluster.queries.size() == 2);
    cluster.status(cluster.starts[0], AttemptState::Unreachable);
    cluster.advance(200);
    CHECK(cluster.queries.size() == 3);
    cluster.status(cluster.starts[0], AttemptState::Completed, "r");
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"r"});
    CHECK(cluster.starts.size() == 1);
}

TEST_CASE("an outcome that stays unknown fails a job that never repeats with possible effects")
{
    Cluster cluster(1);
    SECTION("the backend server does not know the attempt")
    {
        const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "once");
        cluster.end(cluster.starts[0], AttemptOutcome::Unknown);
        // The backend server may still read the request for some time after the connection broke.
        for (int i = 0; i < 10; ++i) {
            cluster.status(cluster.starts[0], AttemptState::NotKnown);
            CHECK(cluster.answerCount(caller) == 0);
            cluster.advance(95);
        }
        // The answer to an earlier query arrives after a pause.
        cluster.advance(1000);
        cluster.status(cluster.starts[0], AttemptState::NotKnown);
        CHECK(cluster.answerCount(caller) == 0);
        cluster.advance(2000);
        cluster.status(cluster.starts[0], AttemptState::NotKnown);
        CHECK(cluster.answer(caller).reason == Reason::OutcomeUnknown);
        CHECK(cluster.answer(caller).effects == Effects::Possible);
    }
    SECTION("the backend server cannot be reached until the deadline")
    {
        const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "once");
        cluster.end(cluster.starts[0], AttemptOutcome::Unknown);
        for (int i = 0; i < 100; ++i) {
            cluster.status(cluster.starts[0], AttemptState::Unreachable);
            cluster.advance(100);
        }
        CHECK(cluster.answer(caller).reason == Reason::OutcomeUnknown);
        CHECK(cluster.answer(caller).effects == Effects::Possible);
        CHECK(cluster.queries.size() < 20);
    }
    cluster.advance(20000);
    CHECK(cluster.starts.size() == 1);
}

// Guards against overlapping attempts of one task.
TEST_CASE("a repeatable task starts again only after its attempt is known to have ended")
{
    Cluster cluster(1);
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "again");
    cluster.end(cluster.starts[0], AttemptOutcome::Unknown);
    for (int i = 0; i < 10; ++i) {
        cluster.status(cluster.starts[0], i % 2 == 0 ? AttemptState::Running : AttemptState::Unreachable);
        cluster.advance(200);
    }
    CHECK(cluster.starts.size() == 1);
    cluster.status(cluster.starts[0], AttemptState::Failed, "stopped");
    cluster.advance(1000);
    REQUIRE(cluster.starts.size() == 2);
    cluster.end(cluster.starts[1], AttemptOutcome::Completed, "r");
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"r"});
    CHECK(cluster.core(0).counters().retries[static_cast<std::size_t>(RetryReason::Failed)] == 1);
}

// Guards an operator's change to "never repeat" against jobs that were accepted before it.
TEST_CASE("a change of the template during a job can only forbid repeats")
{
    Cluster cluster(1);
    const CallerId allowed = cluster.submit(0, cluster.keyOwnedBy(0), "again");
    const CallerId never = cluster.submit(0, cluster.keyOwnedBy(0), "once");
    cluster.publish("template/again", "never");
    cluster.publish("template/once", "allowed");
    cluster.advance(100);
    cluster.end(cluster.starts[0], AttemptOutcome::Failed);
    cluster.end(cluster.starts[1], AttemptOutcome::Failed);
    cluster.advance(1000);
    CHECK(cluster.answer(allowed).reason == Reason::TaskFailed);
    CHECK(cluster.answer(never).reason == Reason::TaskFailed);
    CHECK(cluster.starts.size() == 2);
}

TEST_CASE("the deadline ends a job and says whether effects are possible")
{
    Cluster cluster(1);
    const CallerId running = cluster.submit(0, cluster.keyOwnedBy(0), "once", 8);
    const CallerId queued = cluster.submit(0, cluster.keyOwnedBy(0), "once", 1);
    cluster.advance(10100);
    CHECK(cluster.answer(running).reason == Reason::DeadlineExceeded);
    CHECK(cluster.answer(running).effects == Effects::Possible);
    CHECK(cluster.answer(queued).kind == AnswerKind::Failed);
    CHECK(cluster.answer(queued).effects == Effects::None);
    CHECK(cluster.stops.size() == 8);
    // A result that comes after the answer changes nothing.
    cluster.end(cluster.starts[0], AttemptOutcome::Completed);
    CHECK(cluster.answerCount(running) == 1);
}

// Fetches, cancellations, callers that disconnect ---------------------------------------------------

TEST_CASE("cancelling a job answers all its callers and stops its attempts")
{
    Cluster cluster(2);
    const Key key = cluster.keyOwnedBy(1);
    const CallerId caller = cluster.submit(0, key, "once", 2);
    const CallerId cancelled = cluster.cancel(0, key);
    CHECK(cluster.answer(caller).reason == Reason::Cancelled);
    CHECK(cluster.answer(cancelled).reason == Reason::Cancelled);
    CHECK(cluster.answer(cancelled).effects == Effects::Possible);
    CHECK(cluster.stops.size() == 2);
    // An attempt that did not start must not be queued again for a cancelled job.
    cluster.end(cluster.starts[0], AttemptOutcome::NotStarted);
    cluster.advance(2000);
    CHECK(cluster.starts.size() == 2);
    const CallerId resubmitted = cluster.submit(1, key, "once", 2);
    CHECK(cluster.answer(resubmitted).reason == Reason::Cancelled);
}

TEST_CASE("a fetch waits for the answer, but not longer than asked for")
{
    Cluster cluster(2);
    const Key key = cluster.keyOwnedBy(1);
    cluster.submit(1, key, "once");
    for (const std::size_t node : {0, 1}) {
        const CallerId now = cluster.fetch(node, key, 0);
        CHECK(cluster.answer(now).kind == AnswerKind::Pending);
        const CallerId later = cluster.fetch(node, key, 500);
        CHECK(cluster.answerCount(later) == 0);
        cluster.advance(600);
        CHECK(cluster.answer(later).kind == AnswerKind::Pending);
    }
    const CallerId waiting = cluster.fetch(0, key, 5000);
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "r");
    CHECK(cluster.answer(waiting).results == std::vector<std::string>{"r"});
    const CallerId unknown = cluster.fetch(0, cluster.keyOwnedBy(1));
    CHECK(cluster.answer(unknown).reason == Reason::UnknownKey);
    cluster.advance(10000);
    CHECK(cluster.answerCount(waiting) == 1);
}

TEST_CASE("a job continues after its caller has disconnected")
{
    Cluster cluster(2);
    for (const std::size_t owner : {0, 1}) {
        const Key key = cluster.keyOwnedBy(owner);
        const CallerId caller = cluster.submit(0, key, "once");
        cluster.handle(0, CallerGone{caller});
        cluster.handle(0, CallerGone{caller});
        cluster.end(cluster.starts.back(), AttemptOutcome::Completed, "r");
        CHECK(cluster.answerCount(caller) == 0);
        const CallerId second = cluster.submit(0, key, "once");
        CHECK(cluster.answer(second).results == std::vector<std::string>{"r"});
    }
}
