#include "scheduler_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace clementinelift::core;

namespace {

template <typename Message> const Message *findMessage(const Decisions &decisions, std::string_view node)
{
    for (const auto &entry : decisions.messages)
        if (entry.node == node && std::holds_alternative<Message>(entry.message))
            return &std::get<Message>(entry.message);
    return nullptr;
}

} // namespace

// Guards against starting more tasks on a backend server than slots are held.
TEST_CASE("starts are bounded by the held slots")
{
    SchedulerFixture f;
    Scheduler scheduler(f.settings, f.configuration);
    scheduler.setBackends(std::vector{makeBackend("b-1"), makeBackend("b-2", "r1", 4)}, f.now);
    const auto job = f.makeJob(1, 30);
    REQUIRE(scheduler.admit(job, f.now) == Reason::None);
    scheduler.enqueue(job, f.now);
    REQUIRE(f.decide(scheduler).starts.size() == 12);
    const auto first = f.decisions.starts.front();
    f.advance(usPerMs);
    REQUIRE(scheduler.onAttemptEnded(first.task, AttemptOutcome::Completed, 1000, true, f.now) == NextStep::Done);
    REQUIRE(f.decide(scheduler).starts.size() == 1);
}

// Guards against slots with two holders or none while all entry VMs know the same live entry VMs.
TEST_CASE("every slot has exactly one holder")
{
    REQUIRE(rc::check([] {
        const auto count = *rc::gen::inRange(1, 9);
        std::vector<NodeInfo> nodes;
        nodes.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            nodes.push_back(makeNode("e-" + std::to_string(i)));
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 17);
        const auto backend = makeBackend("b-" + std::to_string(*rc::gen::inRange(0, 1000)), "r", slots);
        std::uint32_t held = 0;
        for (const NodeInfo &node : nodes)
            held += assignedSlotCount(backend, node.name, nodes);
        RC_ASSERT(held == slots);
        RC_ASSERT(assignedSlotCount(backend, "stranger", nodes) == 0u);
    }));
}

// Guards against starts on a backend server that the VM list or a peer reported as leaving, also while the VM list lags
// behind the peer.
TEST_CASE("a leaving or gone backend server gets no task")
{
    SchedulerFixture f;
    Scheduler scheduler(f.settings, f.configuration);
    const std::vector backends{makeBackend("b-1"), makeBackend("b-2")};
    scheduler.setBackends(backends, f.now);
    scheduler.setLeaving("b-1", f.now);
    scheduler.setBackends(backends, f.now); // a stale list without the leaving mark
    scheduler.enqueue(f.makeJob(1, 20), f.now);
    for (const auto &start : f.decide(scheduler).starts)
        CHECK(scheduler.backend(start.backend).name == "b-2");
    CHECK(f.decisions.starts.size() == 8);
    scheduler.setBackends(std::vector{backends[0]}, f.now);
    CHECK(scheduler.isGone(*scheduler.findBackend("b-2")));
    const auto another = f.makeJob(2, 1);
    CHECK(scheduler.admit(another, f.now) == Reason::NoBackend);
    CHECK(f.decide(scheduler).starts.empty());
}

// Guards against starting tasks of a cancelled job, also when a retry was pending.
TEST_CASE("cancelled tasks never start")
{
    SchedulerFixture f;
    Scheduler scheduler(f.settings, f.configuration);
    scheduler.setBackends(std::vector{makeBackend("b-1", "r1", 2)}, f.now);
    scheduler.enqueue(f.makeJob(1, 5), f.now);
    REQUIRE(f.decide(scheduler).starts.size() == 2);
    const auto starts = f.decisions.starts;
    f.advance(usPerMs);
    REQUIRE(scheduler.onAttemptEnded(starts[0].task, AttemptOutcome::NotStarted, 0, true, f.now) == NextStep::Retry);
    REQUIRE(scheduler.cancelQueued(JobId(1), f.now) == 4);
    REQUIRE(scheduler.onAttemptEnded(starts[1].task, AttemptOutcome::Failed, 1000, true, f.now) == NextStep::Fail);
    for (int i = 0; i < 100; ++i) {
        f.advance(100 * usPerMs);
        REQUIRE(f.decide(scheduler).starts.empty());
    }
    REQUIRE(scheduler.queuedTasks() == 0);
}

// Guards against starting tasks after the deadline of their job: they must be dropped with a reason.
TEST_CASE("queued tasks are dropped at the deadline")
{
    SchedulerFixture f;
    Scheduler scheduler(f.settings, f.configuration);
    scheduler.setBackends(std::vector{makeBackend("b-1", "r1", 1)}, f.now);
    scheduler.enqueue(f.makeJob(1, 3), f.now);
    REQUIRE(f.decide(scheduler).starts.size() == 1);
    f.advance(10 * usPerS);
    REQUIRE(f.decide(scheduler).drops.size() == 2);
    CHECK(f.decisions.drops[0].reason == Reason::DeadlineExceeded);
    CHECK(scheduler.queuedTasks() == 0);
}

// Guards against accepting jobs that no backend server can run or that cannot end in time.
TEST_CASE("admission refuses before anything starts")
{
    SchedulerFixture f;
    Scheduler scheduler(f.settings, f.configuration);
    CHECK(scheduler.admit(f.makeJob(1, 1), f.now) == Reason::NoBackend);
    scheduler.setBackends(std::vector{makeBackend("b-1", "r1", 1)}, f.now);
    auto job = f.makeJob(1, 1);
    f.requests[0].cores = 1000;
    CHECK(scheduler.admit(job, f.now) == Reason::NeverRunnable);
    job = f.makeJob(1, 311);
    CHECK(scheduler.admit(job, f.now) == Reason::TooManyTasks);
    job = f.makeJob(1, 300);
    CHECK(scheduler.admit(job, f.now) == Reason::DeadlineUnreachable);
    job = f.makeJob(1, 3);
    CHECK(scheduler.admit(job, f.now) == Reason::None);
    f.settings.maxQueuedTasks = 2;
    CHECK(scheduler.admit(job, f.now) == Reason::QueueFull);
}

// Guards against lent slots that stay lent after a return, the end of the lease, or the loss of the borrower.
TEST_CASE("lent slots become free again")
{
    SchedulerFixture f;
    Scheduler lender(f.settings, f.configuration);
    const std::vector nodes{makeNode("e-1"), makeNode("e-2")};
    lender.setPeers(nodes, nodes, f.now);
    lender.setBackends(std::vector{makeBackend("b-1")}, f.now);
    const auto lent = [&] { return lender.status()[0].lent; };
    for (std::uint64_t id = 1; id <= 5; ++id)
        lender.onPeerMessage("e-2", SlotRequest{id, "quote", 1, 1, 1'000'000'000}, f.now);
    f.decide(lender);
    REQUIRE(lent() == 4); // an even share of 8
    CHECK(findMessage<SlotRefuse>(f.decisions, "e-2") != nullptr);
    lender.onPeerMessage("e-2", SlotReturn{1, true, AttemptOutcome::Completed, 1000}, f.now);
    lender.onPeerMessage("e-2", SlotReturn{1, true, AttemptOutcome::Completed, 1000}, f.now); // a duplicate
    REQUIRE(lent() == 3);
    f.advance(11 * usPerS);
    f.decide(lender);
    REQUIRE(lent() == 0);
    lender.onPeerMessage("e-2", SlotRequest{9, "quote", 1, 1, 1'000'000'000}, f.now);
    REQUIRE(lent() == 1);
    lender.setPeers(std::vector{nodes[0]}, std::vector{nodes[0]}, f.now);
    REQUIRE(lent() == 0);
    REQUIRE(lender.status()[0].held == 8);
}

// Guards against borrowed slots that are not returned: a slot is returned when its task ends, an unused grant at once.
TEST_CASE("borrowed slots are returned")
{
    SchedulerFixture f;
    Scheduler borrower(f.settings, f.configuration);
    const std::vector nodes{makeNode("e-1"), makeNode("e-2")};
    borrower.setPeers(nodes, nodes, f.now);
    borrower.setBackends(std::vector{makeBackend("b-1", "r1", 1), makeBackend("b-2", "r1", 1)}, f.now);
    Report report;
    report.freeSlots = 8;
    report.bestFactor = 0.5F;
    borrower.onPeerMessage("e-2", report, f.now);
    borrower.enqueue(f.makeJob(1, 40), f.now);
    f.decide(borrower);
    const auto *request = findMessage<SlotRequest>(f.decisions, "e-2");
    REQUIRE(request != nullptr);
    const std::uint64_t id = request->requestId;
    f.advance(usPerMs);
    borrower.onPeerMessage("e-2", SlotGrant{id, "b-2", 11000}, f.now);
    REQUIRE(f.decide(borrower).starts.size() == 1);
    const auto start = f.decisions.starts[0];
    CHECK(borrower.backend(start.backend).name == "b-2");
    f.advance(usPerMs);
    borrower.onAttemptEnded(start.task, AttemptOutcome::Completed, 1000, true, f.now);
    f.decide(borrower);
    const auto *returned = findMessage<SlotReturn>(f.decisions, "e-2");
    REQUIRE(returned != nullptr);
    CHECK((returned->used && returned->requestId == id));
    borrower.onPeerMessage("e-2", SlotGrant{999, "b-2", 11000}, f.now);
    f.decide(borrower);
    returned = findMessage<SlotReturn>(f.decisions, "e-2");
    REQUIRE(returned != nullptr);
    CHECK(!returned->used);
}

// Guards against tasks that never start because a slot request stays unanswered: after the timeout they start on held
// slots.
TEST_CASE("a slot request without an answer does not block its task")
{
    SchedulerFixture f;
    Scheduler scheduler(f.settings, f.configuration);
    const std::vector nodes{makeNode("e-1"), makeNode("e-2")};
    scheduler.setPeers(nodes, nodes, f.now);
    scheduler.setBackends(std::vector{makeBackend("b-1", "r1", 16)}, f.now);
    Report report;
    report.freeSlots = 4;
    report.bestFactor = 0.01F;
    scheduler.onPeerMessage("e-2", report, f.now);
    scheduler.enqueue(f.makeJob(1, 8), f.now);
    std::size_t started = f.decide(scheduler).starts.size();
    CHECK(started < 8);
    for (int i = 0; i < 20; ++i) {
        f.advance(20 * usPerMs);
        started += f.decide(scheduler).starts.size();
    }
    CHECK(started == 8);
}

// Guards against event sequences that break an invariant: at most the held slots in use, no start of cancelled tasks or
// on leaving backend servers, one attempt per task at a time.
TEST_CASE("random event sequences keep the invariants")
{
    REQUIRE(rc::check([] {
        SchedulerFixture f;
        f.settings.seed = *rc::gen::arbitrary<std::uint64_t>();
        Scheduler scheduler(f.settings, f.configuration);
        std::vector<BackendInfo> backends;
        backends.reserve(4);
        for (int i = 0; i < 4; ++i)
            backends.push_back(makeBackend("b-" + std::to_string(i), "r" + std::to_string(i / 2), 3));
        scheduler.setBackends(backends, f.now);
        std::map<std::pair<std::uint64_t, std::uint32_t>, BackendId> running;
        std::set<std::uint64_t> cancelled;
        std::set<std::string> leaving;
        std::uint64_t nextJob = 1;
        const auto steps = *rc::gen::inRange(10, 120);
        for (int step = 0; step < steps; ++step) {
            f.advance(*rc::gen::inRange(0, 50000));
            const int kind = *rc::gen::inRange(0, 10);
            if (kind < 3) {
                const auto job =
                        f.makeJob(nextJob, *rc::gen::inRange<std::size_t>(1, 5), kind == 0 ? "south" : "north");
                if (scheduler.admit(job, f.now) == Reason::None) {
                    scheduler.enqueue(job, f.now);
                    ++nextJob;
                }
            } else if (kind < 8 && !running.empty()) {
                const auto chosen =
                        std::next(running.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(running)));
                const auto outcome = AttemptOutcome(*rc::gen::inRange(0, 5));
                const TaskRef task{JobId(chosen->first.first), chosen->first.second};
                running.erase(chosen);
                scheduler.onAttemptEnded(task, outcome, 50000, true, f.now);
            } else if (kind == 8 && nextJob > 1) {
                const auto job = *rc::gen::inRange<std::uint64_t>(1, nextJob);
                scheduler.cancelQueued(JobId(job), f.now);
                cancelled.insert(job);
            } else if (leaving.size() < 3 && step % 7 == 0) {
                leaving.insert(backends[leaving.size()].name);
                scheduler.setLeaving(*leaving.rbegin(), f.now);
            }
            f.decide(scheduler);
            for (const auto &probe : f.decisions.probes)
                scheduler.onBackendProbed(probe.backend, true, f.now);
            std::map<std::uint32_t, int> perBackend;
            for (const auto &start : f.decisions.starts) {
                RC_ASSERT(!cancelled.contains(raw(start.task.job)));
                RC_ASSERT(!leaving.contains(scheduler.backend(start.backend).name));
                RC_ASSERT(running.emplace(std::pair(raw(start.task.job), start.task.index), start.backend).second);
            }
            for (const auto &[task, backend] : running)
                RC_ASSERT(++perBackend[raw(backend)] <= 3);
        }
    }));
}
