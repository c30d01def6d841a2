#include "tests/unit/core/cluster.h"

#include <catch2/catch.hpp>

using namespace clementinelift::core;
using namespace clementinelift::core::test;

// Forwards ------------------------------------------------------------------------------------------

TEST_CASE("a submission reaches the owner of its key and its answer comes back")
{
    Cluster cluster(3);
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(2), "once", 2);
    REQUIRE(cluster.starts.size() == 2);
    CHECK(cluster.starts[0].node == 2);
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "a");
    cluster.end(cluster.starts[1], AttemptOutcome::Completed, "b");
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"a", "b"});
}

// Guards G1 and G3 against duplicated peer messages.
TEST_CASE("a forward and a result that come twice count once")
{
    Cluster cluster(2);
    cluster.holdMessages = true;
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(1), "once");
    cluster.duplicateHeld<SubmitForward>();
    cluster.holdMessages = false;
    cluster.deliver();
    CHECK(cluster.starts.size() == 1);
    cluster.holdMessages = true;
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "r");
    CHECK(cluster.heldCount<SubmitResult>() == 1);
    cluster.duplicateHeld<SubmitResult>();
    cluster.holdMessages = false;
    cluster.deliver();
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"r"});
}

// Guards G4: a copy of a refused submission must not start after its caller was told that nothing was started.
TEST_CASE("a duplicate of a refused forward is refused again")
{
    CoreSettings settings;
    settings.maxQueuedTasks = 10;
    Cluster cluster(2, settings);
    const Key blocker = cluster.keyOwnedBy(1);
    cluster.submit(1, blocker, "once", 9);
    const std::size_t started = cluster.starts.size();
    const CallerId refused = [&] {
        cluster.holdMessages = true;
        const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(1), "once", 11);
        cluster.duplicateHeld<SubmitForward>();
        cluster.publish("template/once", "never max=310");
        return caller;
    }();
    // The second copy is delivered after the queue has become empty.
    auto copy = cluster.takeHeld<SubmitForward>();
    cluster.holdMessages = false;
    cluster.deliver();
    REQUIRE(cluster.answerCount(refused) == 1);
    CHECK(cluster.answer(refused).kind == AnswerKind::Refused);
    CHECK(cluster.answer(refused).statement == Statement::NotRun);
    cluster.cancel(1, blocker);
    for (std::size_t i = 0; i < started; ++i)
        cluster.end(cluster.starts[i], AttemptOutcome::Failed, "stopped");
    std::get<SubmitForward>(copy.message).request.tasks.resize(1);
    cluster.deliverNow(std::move(copy));
    cluster.advance(1000);
    CHECK(cluster.starts.size() == started);
    CHECK(cluster.answerCount(refused) == 1);
}

// Guards G3: the link breaks between the forward and its result.
TEST_CASE("a lost result is asked for again after the link is back")
{
    Cluster cluster(2);
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(1), "once");
    cluster.disconnect(0, 1);
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "r");
    CHECK(cluster.answerCount(caller) == 0);
    cluster.advance(300);
    cluster.connect(0, 1);
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"r"});
    CHECK(cluster.starts.size() == 1);
}

TEST_CASE("a lost forward is sent again on the same link")
{
    Cluster cluster(2);
    cluster.holdMessages = true;
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(1), "once");
    cluster.dropHeld<SubmitForward>();
    cluster.holdMessages = false;
    cluster.advance(1100);
    REQUIRE(cluster.starts.size() == 1);
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "r");
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"r"});
}

// Guards the statements about owners that do not answer.
TEST_CASE("an owner that does not answer leads to a true answer")
{
    Cluster cluster(2);
    const Key key = cluster.keyOwnedBy(1);
    SECTION("the submission was never handed to a link")
    {
        cluster.disconnect(0, 1);
        const CallerId caller = cluster.submit(0, key, "once");
        cluster.advance(11000);
        CHECK(cluster.answer(caller).kind == AnswerKind::Refused);
        CHECK(cluster.answer(caller).statement == Statement::AttemptNotRun);
        CHECK(cluster.starts.empty());
    }
    SECTION("the submission was handed to a link")
    {
        const CallerId caller = cluster.submit(0, key, "once");
        cluster.disconnect(0, 1);
        cluster.advance(11000);
        CHECK(cluster.answer(caller).reason == Reason::OutcomeUnknown);
        CHECK(cluster.answer(caller).effects == Effects::Possible);
        CHECK(cluster.starts.size() == 1);
    }
    SECTION("a fetch and a cancellation start nothing")
    {
        cluster.submit(1, key, "once");
        cluster.disconnect(0, 1);
        const CallerId fetched = cluster.fetch(0, key, 100);
        const CallerId cancelled = cluster.cancel(0, key);
        cluster.advance(11000);
        CHECK(cluster.answer(fetched).statement == Statement::AttemptNotRun);
        CHECK(cluster.answer(cancelled).statement == Statement::AttemptNotRun);
    }
    SECTION("the template allows repeats")
    {
        cluster.disconnect(0, 1);
        const CallerId caller = cluster.submit(0, key, "again");
        cluster.advance(1900);
        CHECK(cluster.starts.empty()); // attempts of the owner have a lease of 2,000 ms
        cluster.advance(200);
        REQUIRE(cluster.starts.size() == 1);
        CHECK(cluster.starts[0].node == 0);
        const CallerId joined = cluster.submit(0, key, "again");
        cluster.end(cluster.starts[0], AttemptOutcome::Completed, "r");
        CHECK(cluster.answer(caller).results == std::vector<std::string>{"r"});
        CHECK(cluster.answer(joined).results == std::vector<std::string>{"r"});
        // The owner does not know of this run.
        cluster.connect(0, 1);
        CHECK(cluster.starts.size() == 1);
    }
}

// Guards G1: copies of a repeatable job at several entry VMs, whose owner was lost while it may have run the job.
TEST_CASE("copies of a repeatable job meet at one entry VM when the owner is lost")
{
    Cluster cluster(4);
    const Key key = cluster.keyOwnedBy(1);
    cluster.submit(0, key, "again");
    REQUIRE(cluster.starts.size() == 1);
    for (std::size_t node : {0, 2, 3})
        cluster.disconnect(node, 1);
    const CallerId first = cluster.submit(2, key, "again");
    const CallerId second = cluster.submit(3, key, "again");
    const CallerId third = cluster.submit(0, key, "again");
    cluster.advance(1900);
    CHECK(cluster.starts.size() == 1); // the owner's attempt has a lease of 2,000 ms
    cluster.advance(1500);
    REQUIRE(cluster.starts.size() == 2);
    cluster.end(cluster.starts[1], AttemptOutcome::Completed, "r");
    cluster.advance(10);
    for (const CallerId caller : {first, second, third})
        CHECK(cluster.answer(caller).results == std::vector<std::string>{"r"});
    CHECK(cluster.starts.size() == 2);
}

// Guards G5: the change to "never" comes while a submission waits for its owner.
TEST_CASE("a template that stops allowing repeats does not run without its owner")
{
    Cluster cluster(2);
    const Key key = cluster.keyOwnedBy(1);
    cluster.disconnect(0, 1);
    const CallerId caller = cluster.submit(0, key, "again");
    cluster.publish("template/again", "never");
    cluster.advance(11000);
    CHECK(cluster.answer(caller).statement == Statement::AttemptNotRun);
    CHECK(cluster.starts.empty());
}

// Restarts ------------------------------------------------------------------------------------------

// Guards G1 and G5: the new incarnation does not inherit the issue times of the crashed one.
TEST_CASE("keys of a crashed owner are not started by its successor")
{
    Cluster cluster(2);
    const Key fresh = cluster.keyOwnedBy(1);
    const Key started = cluster.keyOwnedBy(1);
    const CallerId caller = cluster.submit(0, started, "once");
    cluster.crash(1);
    cluster.boot(1);
    cluster.connect(0, 1);
    CHECK(cluster.answer(caller).reason == Reason::OutcomeUnknown);
    CHECK(cluster.answer(caller).effects == Effects::Possible);
    cluster.advance(3000);
    for (const std::size_t node : {0, 1}) {
        for (const Key &key : {fresh, started}) {
            const CallerId resubmitted = cluster.submit(node, key, "once");
            CHECK(cluster.answer(resubmitted).reason == Reason::OwnerGone);
            CHECK(cluster.answer(resubmitted).statement == Statement::AttemptNotRun);
        }
    }
    CHECK(cluster.starts.size() == 1);
    // Templates that allow repeats run at once.
    cluster.submit(0, fresh, "again");
    CHECK(cluster.starts.size() == 2);
}

TEST_CASE("ends of attempts of an earlier incarnation are ignored")
{
    Cluster cluster(1);
    cluster.submit(0, cluster.keyOwnedBy(0), "once");
    cluster.crash(0);
    cluster.boot(0);
    cluster.advance(60000);
    const CallerId caller = cluster.submit(0, cluster.keyOwnedBy(0), "once");
    REQUIRE(cluster.starts.size() == 2);
    CHECK(cluster.starts[0].attempt.attempt.sequence == cluster.starts[1].attempt.attempt.sequence);
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "old");
    CHECK(cluster.answerCount(caller) == 0);
}

// Guards G3: a result for the crashed incarnation of the sender must not answer a caller of the new one.
TEST_CASE("a result of an older incarnation answers nobody")
{
    Cluster cluster(2);
    cluster.submit(0, cluster.keyOwnedBy(1), "once");
    cluster.holdMessages = true;
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "old");
    auto late = cluster.takeHeld<SubmitResult>();
    cluster.holdMessages = false;
    cluster.crash(0);
    cluster.boot(0);
    cluster.connect(0, 1);
    cluster.advance(2000);
    const Key key = cluster.keyOwnedBy(1);
    cluster.holdMessages = true;
    const CallerId caller = cluster.submit(0, key, "once");
    cluster.deliverNow(std::move(late));
    CHECK(cluster.answerCount(caller) == 0);
}

// Log streams ---------------------------------------------------------------------------------------

// Guards F8: a log outage shorter than the grant has no effect, a longer one refuses keys that nobody owns.
TEST_CASE("keys past the end of the grants are refused while the log is down")
{
    Cluster cluster(1);
    cluster.logDown = true;
    cluster.advance(20000);
    const CallerId covered = cluster.submit(0, cluster.keyOwnedBy(0), "once");
    CHECK(cluster.starts.size() == 1);
    cluster.end(cluster.starts[0], AttemptOutcome::Completed);
    CHECK(cluster.answer(covered).kind == AnswerKind::Complete);
    cluster.advance(20000);
    const Key key = makeKey(cluster.now(0).wallMs, 1, 2);
    const CallerId refused = cluster.submit(0, key, "once");
    CHECK(cluster.answer(refused).reason == Reason::NoGrant);
    CHECK(cluster.answer(refused).statement == Statement::AttemptNotRun);
    cluster.submit(0, key, "again");
    CHECK(cluster.starts.size() == 2);
    CHECK(cluster.core(0).isReady());
    cluster.logDown = false;
    cluster.advance(7000);
    CHECK(cluster.core(0).ownedPartitions(cluster.now(0).wallMs) == partitionCount);
}

// Guards against acting on a grant that is not in the log.
TEST_CASE("a grant counts only after it was read back")
{
    CoreSettings settings;
    settings.parseEntry = parseTestEntry;
    settings.self = {.name = "e-0", .address = "127.0.0.1:7000", .zone = "z1", .incarnation = Incarnation(5)};
    Dispatcher core(settings);
    Actions actions;
    core.handle({0, wallStartMs}, LogRead{Stream::Config, 0, 0, true, {}}, actions);
    core.handle({0, wallStartMs}, LogRead{Stream::Ownership, 0, 0, true, {}}, actions);
    AppendLog *append = nullptr;
    for (Action &action : actions)
        append = std::holds_alternative<AppendLog>(action) ? &std::get<AppendLog>(action) : append;
    REQUIRE(append != nullptr);
    Actions more;
    core.handle({1000, wallStartMs}, AppendEnded{append->append, AppendOutcome::Appended, 0}, more);
    CHECK(core.ownedPartitions(wallStartMs) == 0);
    CHECK(core.waitingFor() == "own grant");
    core.handle({2000, wallStartMs}, LogRead{Stream::Ownership, 0, 1, true, {{0, wallStartMs, append->body}}}, more);
    CHECK(core.ownedPartitions(wallStartMs) == partitionCount);
    CHECK(core.isReady());
}

TEST_CASE("a gap in the ownership stream is read again")
{
    Cluster cluster(1);
    const std::size_t before = cluster.ownership.size();
    cluster.append(Stream::Ownership, ReleaseRecord{Incarnation(1), 5});
    cluster.append(Stream::Ownership, ReleaseRecord{Incarnation(2), 5});
    const auto next = static_cast<std::int64_t>(before);
    // The first of both records is missing in this read.
    cluster.handle(0, LogRead{Stream::Ownership, 0, next + 2, true, {cluster.ownership.back()}});
    CHECK_FALSE(cluster.core(0).ownership().isReleased(Incarnation(2)));
    cluster.advance(20);
    CHECK(cluster.core(0).ownership().isReleased(Incarnation(1)));
    CHECK(cluster.core(0).ownership().isReleased(Incarnation(2)));
}

// Guards F14: an entry VM that slept through the retention must not start a remembered key again.
TEST_CASE("dropped ownership records never lead to a second start")
{
    Cluster cluster(1);
    const Key key = cluster.keyOwnedBy(0);
    cluster.submit(0, key, "once");
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "r");
    cluster.firstAvailable = static_cast<std::int64_t>(cluster.ownership.size()) + 3;
    for (int i = 0; i < 5; ++i)
        cluster.append(Stream::Ownership, ReleaseRecord{Incarnation(1), 5});
    cluster.advance(20);
    const CallerId caller = cluster.submit(0, key, "once");
    CHECK(cluster.answerCount(caller) == 1);
    CHECK(cluster.starts.size() == 1);
}

TEST_CASE("an entry VM without the log takes the configuration from its peers")
{
    Cluster cluster(2);
    cluster.publish("template/late", "never");
    cluster.readLogs(0);
    CHECK(cluster.core(0).configuration().findTemplate("late"));
    CHECK_FALSE(cluster.core(1).configuration().findTemplate("late"));
    cluster.logDown = true;
    cluster.advance(2000);
    CHECK(cluster.core(1).configuration().findTemplate("late"));
}

TEST_CASE("snapshots are appended before records are dropped, and start a new entry VM")
{
    CoreSettings settings;
    settings.snapshotEvery = 10;
    Cluster cluster(1, settings);
    for (int i = 0; i < 20; ++i)
        cluster.publish("template/t" + std::to_string(i), "never");
    cluster.advance(15000);
    REQUIRE(cluster.snapshots >= 1);
    cluster.crash(0);
    cluster.firstAvailable = 15; // below the snapshot record, above what it covers
    cluster.ownership.resize(std::max<std::size_t>(cluster.ownership.size(), 15), cluster.ownership.back());
    cluster.boot(0);
    cluster.advance(1000);
    CHECK(cluster.core(0).configuration().isLoaded());
    CHECK(cluster.core(0).configuration().findTemplate("t19"));
    CHECK(cluster.core(0).configuration().nextOffset() == static_cast<std::int64_t>(cluster.config.size()));
}

// Clocks --------------------------------------------------------------------------------------------

// Guards G1: ownership depends on issue times in keys, so a step of the clock starts nothing twice.
TEST_CASE("steps of the wall clock start nothing twice")
{
    Cluster cluster(2);
    const Key key = cluster.keyOwnedBy(0);
    cluster.submit(0, key, "once");
    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "r");
    for (const std::int64_t stepMs : {40000, -80000, 700000, -700000}) {
        cluster.stepWallClock(0, stepMs);
        cluster.advance(6000);
        for (const std::size_t node : {0, 1})
            CHECK(cluster.answerCount(cluster.submit(node, key, "once")) == 1);
    }
    CHECK(cluster.starts.size() == 1);
}

// Draining ------------------------------------------------------------------------------------------

// Guards G7: a planned stop ends no job and loses no answer.
TEST_CASE("a draining entry VM finishes its jobs, refuses new keys and releases its grants")
{
    Cluster cluster(2);
    const Key running = cluster.keyOwnedBy(1);
    const Key early = cluster.keyOwnedBy(1, -1);
    const Key late = cluster.keyOwnedBy(1, 2000);
    const CallerId caller = cluster.submit(1, running, "once");
    cluster.handle(1, BeginDrain{});
    CHECK_FALSE(cluster.core(1).isReady());
    // Below the release time the draining entry VM owns the key for good, at and above it a successor may start it.
    const CallerId below = cluster.submit(1, early, "once");
    CHECK(cluster.answer(below).reason == Reason::Draining);
    CHECK(cluster.answer(below).statement == Statement::NotRun);
    const CallerId above = cluster.submit(1, late, "once");
    CHECK(cluster.answer(above).reason == Reason::Draining);
    CHECK(cluster.answer(above).statement == Statement::AttemptNotRun);
    cluster.advance(8000);
    CHECK(cluster.drainsFinished == 0);
    // The successor has taken over the later issue times.
    const CallerId refused = cluster.submit(1, late, "once");
    CHECK(cluster.answer(refused).statement == Statement::AttemptNotRun);
    cluster.submit(0, late, "once");
    REQUIRE(cluster.starts.size() == 2);
    CHECK(cluster.starts[1].node == 0);
    cluster.end(cluster.starts[1], AttemptOutcome::Completed, "late");

    cluster.end(cluster.starts[0], AttemptOutcome::Completed, "r");
    CHECK(cluster.answer(caller).results == std::vector<std::string>{"r"});
    cluster.advance(1000);
    CHECK(cluster.drainsFinished == 0);
    const CallerId fetched = cluster.fetch(0, running, 0);
    CHECK(cluster.answer(fetched).results == std::vector<std::string>{"r"});
    cluster.advance(2000);
    CHECK(cluster.drainsFinished == 1);
    cluster.advance(2000);
    CHECK(cluster.drainsFinished == 1);
    CHECK(cluster.core(0).ownership().isReleased(cluster.nodeInfo(1).incarnation));
}

TEST_CASE("a release is appended until it is read back, but does not hold up the stop for ever")
{
    Cluster cluster(1);
    cluster.logDown = true;
    cluster.handle(0, BeginDrain{});
    cluster.handle(0, BeginDrain{});
    SECTION("the log comes back")
    {
        cluster.advance(500);
        cluster.logDown = false;
        cluster.advance(2500);
        CHECK(cluster.core(0).ownership().isReleased(cluster.nodeInfo(0).incarnation));
    }
    SECTION("the log stays down")
    {
        cluster.advance(2500);
    }
    CHECK(cluster.drainsFinished == 1);
}

// Backend servers that leave ------------------------------------------------------------------------

// Guards G6: the VM list lags differently for each entry VM.
TEST_CASE("a leaving backend server is reported to all entry VMs once and gets no new work")
{
    Cluster cluster(3);
    auto leaving = cluster.backends;
    leaving[0].leaving = true;
    cluster.handle(0, VmListRead{leaving, {}});
    cluster.handle(0, VmListRead{leaving, {}});
    cluster.deliver();
    CHECK(cluster.leavingSent.size() <= 6); // each entry VM passes it on once
    // The own list of the receiver still shows the backend server as live.
    cluster.handle(1, VmListRead{cluster.backends, {}});
    const CallerId refused = cluster.submit(1, cluster.keyOwnedBy(1), "once");
    cluster.advance(1000);
    CHECK(cluster.answer(refused).reason == Reason::NoBackend);
    CHECK(cluster.starts.empty());
    // It leaves the list and comes back: a new VM of the same name.
    cluster.handle(1, VmListRead{});
    cluster.handle(1, VmListRead{cluster.backends, {}});
    cluster.submit(1, cluster.keyOwnedBy(1), "once");
    cluster.advance(1000);
    CHECK(cluster.starts.size() == 1);
}

// Guards against refusing keys of a restarted owner because the link to its predecessor is still up.
TEST_CASE("a forward to a new incarnation waits for its link")
{
    Cluster cluster(2);
    const NodeInfo old = cluster.nodeInfo(1);
    const std::int64_t fromMs = cluster.now(0).wallMs + 100000;
    GrantRecord grant{.node = old.name, .address = old.address, .incarnation = Incarnation(77), .partitions = {}};
    grant.partitions.set();
    grant.fromMs = fromMs;
    grant.toMs = fromMs + 10000;
    cluster.append(Stream::Ownership, grant);
    cluster.advance(20);
    cluster.holdMessages = true;
    const CallerId caller = cluster.submit(0, makeKey(fromMs + 1, 1, 1), "once");
    cluster.advance(500);
    CHECK(cluster.answerCount(caller) == 0);
    CHECK(cluster.heldCount<SubmitForward>() == 0);
    NodeInfo restarted = old;
    restarted.incarnation = Incarnation(77);
    cluster.handle(0, PeerConnected{restarted});
    CHECK(cluster.heldCount<SubmitForward>() == 1);
}

// Guards G7: requests that came during a pause are delivered behind the timer that ends the drain.
TEST_CASE("a drain that ends during a pause answers the requests of the pause")
{
    Cluster cluster(1);
    const Key key = cluster.keyOwnedBy(0);
    cluster.handle(0, BeginDrain{});
    cluster.advance(1000);
    cluster.pause(5000);
    cluster.handle(0, TimerFired{});
    CHECK(cluster.drainsFinished == 0);
    const CallerId caller = cluster.submit(0, key, "once", 1, 7, true, "south");
    CHECK(cluster.answer(caller).kind == AnswerKind::Refused);
    cluster.advance(200);
    CHECK(cluster.drainsFinished == 1);
}

// Guards G6 for an entry VM that was paused: it reads first what happened meanwhile.
TEST_CASE("nothing starts right after a pause")
{
    Cluster cluster(1);
    cluster.pause(5000);
    cluster.submit(0, cluster.keyOwnedBy(0), "once");
    cluster.advance(400);
    CHECK(cluster.starts.empty());
    cluster.advance(200);
    CHECK(cluster.starts.size() == 1);
}

// Guards against a stop that does not end while callers go on sending requests for other owners.
TEST_CASE("a drain ends under load, and every request of it is answered")
{
    Cluster cluster(2);
    std::vector<CallerId> callers;
    cluster.handle(1, BeginDrain{});
    for (int i = 0; i < 45 && cluster.drainsFinished == 0; ++i) {
        callers.push_back(cluster.submit(1, cluster.keyOwnedBy(0), "once"));
        if (cluster.answerCount(callers.back()) == 0)
            cluster.end(cluster.starts.back(), AttemptOutcome::Completed);
        callers.push_back(cluster.fetch(1, cluster.keyOwnedBy(0), 300));
        cluster.advance(100);
    }
    CHECK(cluster.drainsFinished == 1);
    for (const CallerId caller : callers)
        CHECK(cluster.answerCount(caller) == 1);
    CHECK(cluster.answer(callers.front()).kind == AnswerKind::Complete);
}

// Guards G8: a snapshot that claims records after itself would make the entry VM skip accepted changes.
TEST_CASE("a snapshot record that covers records after itself is not applied")
{
    Cluster cluster(1);
    const auto next = static_cast<std::int64_t>(cluster.config.size());
    SnapshotRecord snapshot = cluster.core(0).configuration().snapshot();
    snapshot.nextOffset += 100;
    cluster.append(Stream::Config, std::move(snapshot));
    cluster.publish("template/later", "never");
    cluster.advance(1000);
    CHECK(cluster.core(0).configuration().nextOffset() == next + 2);
    CHECK(cluster.core(0).configuration().findTemplate("later"));
}
