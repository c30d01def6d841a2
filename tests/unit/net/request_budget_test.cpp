#include "net/request_budget.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace clementinelift::net;

namespace {

std::vector<ConnectionSlot> takeChosen(RequestBudget &budget)
{
    std::vector<ConnectionSlot> chosen(budget.chosen().begin(), budget.chosen().end());
    budget.clearChosen();
    return chosen;
}

std::uint64_t counted(const RequestBudget &budget, LimitReason reason)
{
    return budget.counters()[static_cast<std::size_t>(reason)];
}

} // namespace

// Guards against bodies that together exceed the budget, and against closing those that make progress or are complete.
TEST_CASE("connections that hold most for longest without progress are closed first")
{
    RequestBudget budget({.bytes = 1000});
    const ConnectionSlot complete = budget.open(0);
    const ConnectionSlot stalled = budget.open(0);
    const ConnectionSlot smallStalled = budget.open(0);
    const ConnectionSlot active = budget.open(0);
    for (const ConnectionSlot slot : {complete, stalled, smallStalled, active})
        REQUIRE(budget.begin(slot, 0));
    CHECK(budget.receive(complete, 300, 0));
    CHECK(budget.complete(complete));
    CHECK(budget.receive(stalled, 400, 0));
    CHECK(budget.receive(smallStalled, 10, 0));
    CHECK(budget.receive(active, 500, 5000));
    CHECK(budget.chosen().empty());
    CHECK(budget.receive(active, 600, 5001));
    CHECK(takeChosen(budget) == std::vector{stalled});
    CHECK(budget.usedBytes() == 610);
    CHECK(counted(budget, LimitReason::Memory) == 1);
    CHECK_FALSE(budget.receive(stalled, 401, 5002)); // nothing of it is kept or run
    CHECK_FALSE(budget.complete(stalled));
    budget.close(stalled, 5003);
    CHECK(budget.usedBytes() == 610);
}

// Guards against a request over the whole budget that stays because no other can be closed.
TEST_CASE("a body that alone exceeds the budget is closed")
{
    RequestBudget budget({.bytes = 1000, .connectionBytes = 100});
    const ConnectionSlot slot = budget.open(0);
    CHECK(budget.begin(slot, 0));
    CHECK(budget.receive(slot, 900, 1));
    CHECK_FALSE(budget.receive(slot, 901, 2));
    CHECK(takeChosen(budget) == std::vector{slot});
    budget.end(slot, 3);
    budget.close(slot, 3);
    CHECK(budget.usedBytes() == 0);
    CHECK(budget.openConnections() == 0);
}

// Guards against clients that keep their connections with one request after the other while others are refused.
TEST_CASE("over the limit of connections a spare one is served and connections end with their answers")
{
    RequestBudget budget({.maxConnections = 1, .spareConnections = 1});
    const ConnectionSlot busy = budget.open(0);
    CHECK(budget.begin(busy, 0));
    CHECK(budget.complete(busy));
    const ConnectionSlot spare = budget.open(1);
    CHECK(budget.begin(spare, 1));
    CHECK(budget.complete(spare));
    CHECK_FALSE(budget.begin(budget.open(2), 2));
    CHECK_FALSE(budget.answer(busy, 1, 3));
    budget.end(busy, 3);
    budget.close(busy, 3);
    CHECK(budget.openConnections() == 2);
}

// Guards against left connections that keep new ones out, and against closing connections whose request is complete.
TEST_CASE("over the limit of connections the one that has waited longest is closed")
{
    RequestBudget budget({.maxConnections = 2});
    const ConnectionSlot complete = budget.open(0);
    CHECK(budget.begin(complete, 0));
    CHECK(budget.complete(complete));
    const ConnectionSlot left = budget.open(1);
    const ConnectionSlot next = budget.open(2);
    CHECK(takeChosen(budget) == std::vector{left});
    CHECK(budget.begin(next, 3));
    CHECK(budget.complete(next));
    const ConnectionSlot last = budget.open(4);
    CHECK(budget.chosen().empty());
    CHECK_FALSE(budget.begin(last, 5)); // 503
    CHECK(counted(budget, LimitReason::Connections) == 2);
    budget.answer(complete, 10, 6);
    budget.end(complete, 7);
    budget.close(complete, 7);
    budget.end(last, 8);
    CHECK(budget.begin(last, 9));
}

// Guards against headers that trickle or never come; a body in progress has no limit on its whole time.
TEST_CASE("connections without a header in time are closed")
{
    RequestBudget budget({.requestMs = 1000});
    const ConnectionSlot idle = budget.open(0);
    const ConnectionSlot body = budget.open(0);
    const ConnectionSlot reused = budget.open(0);
    CHECK(budget.begin(body, 1));
    CHECK(budget.begin(reused, 1));
    CHECK(budget.complete(reused));
    budget.answer(reused, 5, 900);
    budget.end(reused, 900);
    budget.expire(999);
    CHECK(budget.chosen().empty());
    budget.expire(1000);
    CHECK(takeChosen(budget) == std::vector{idle});
    budget.expire(1900); // within a second of the last search
    CHECK(budget.chosen().empty());
    budget.expire(2000);
    CHECK(takeChosen(budget) == std::vector{reused});
    CHECK(counted(budget, LimitReason::NoRequest) == 2);
}

// Guards against unread answers that fill the budget, and against answers that are closed before they can be read.
TEST_CASE("answers are closed only when they were not read for some time")
{
    RequestBudget budget({.bytes = 1000, .unreadAnswerMs = 100});
    const ConnectionSlot unread = budget.open(0);
    const ConnectionSlot recent = budget.open(0);
    for (const ConnectionSlot slot : {unread, recent}) {
        CHECK(budget.begin(slot, 0));
        CHECK(budget.complete(slot));
    }
    budget.answer(unread, 800, 0);
    budget.answer(recent, 800, 99);
    CHECK(budget.chosen().empty());
    budget.end(recent, 99);
    budget.answer(recent, 800, 100);
    CHECK(takeChosen(budget) == std::vector{unread});
    CHECK(counted(budget, LimitReason::Unread) == 1);
}

// Guards against clients that keep all connections by not reading, and against closing a large answer that is being
// read.
TEST_CASE("over the limit of connections an answer that the client blocks is closed")
{
    RequestBudget budget({.maxConnections = 2, .unreadAnswerMs = 5000, .unreadAnswerBytes = 100});
    const ConnectionSlot large = budget.open(0);
    const ConnectionSlot blocked = budget.open(0);
    for (const ConnectionSlot slot : {large, blocked}) {
        CHECK(budget.begin(slot, 0));
        CHECK(budget.complete(slot));
    }
    budget.answer(large, 101, 0);
    budget.answer(blocked, 100, 0);
    const ConnectionSlot early = budget.open(199);
    CHECK(budget.chosen().empty());
    budget.close(early, 199);
    const ConnectionSlot next = budget.open(200);
    CHECK(takeChosen(budget) == std::vector{blocked});
    CHECK(budget.begin(next, 200));
    CHECK(budget.complete(next));
    budget.open(4999);
    CHECK(budget.chosen().empty());
    budget.open(5000); // closes the connection of the time 4999 first
    budget.open(5001);
    CHECK(counted(budget, LimitReason::Connections) == 2);
    CHECK(counted(budget, LimitReason::Unread) == 1);
}

// Guards against defaults that some hundred ordinary requests meet on the smallest machine.
TEST_CASE("the smallest machine serves 500 requests of 5 KB and its bodies keep room beside all connections")
{
    constexpr std::size_t connectionBytes = 50u << 10;
    const RequestShare share = deriveCallerShare(120u << 20, 3075, 0, connectionBytes, 2000);
    CHECK(share.maxConnections >= 500);
    CHECK(share.bytes < 60u << 20);
    CHECK(share.bytes - share.maxConnections * connectionBytes >= share.bytes / 4);
    CHECK(deriveCallerShare(512u << 20, 10250, 0, connectionBytes, 2000).maxConnections == 2000);
    CHECK(deriveCallerShare(512u << 20, 1024, 0, connectionBytes, 2000).maxConnections == 512);
    CHECK(deriveCallerShare(512u << 20, 1024, 5u << 20, connectionBytes, 2000).bytes == 5u << 20);
    CHECK(deriveProbeShare(120u << 20, 3075, connectionBytes, 2000).maxConnections >= 16);
    RequestBudget budget(
            {.bytes = share.bytes, .connectionBytes = connectionBytes, .maxConnections = share.maxConnections});
    for (int i = 0; i < 500; ++i) {
        const ConnectionSlot slot = budget.open(i);
        CHECK(budget.begin(slot, i));
        CHECK(budget.receive(slot, 8192, i));
    }
    CHECK(std::ranges::count(budget.counters(), 0U) == static_cast<std::ptrdiff_t>(limitReasonNames.size()));
}

// Guards against a wrong account after many changes: the sum must be that of the open connections.
TEST_CASE("random connections leave an exact account")
{
    constexpr std::size_t connectionBytes = 10;
    RequestBudget budget({.bytes = 20000, .connectionBytes = connectionBytes, .maxConnections = 40, .requestMs = 5000});
    std::vector<ConnectionSlot> open;
    std::vector<ConnectionSlot> closing;
    std::uint32_t random = 20261207;
    const auto next = [&random](std::uint32_t range) {
        random = random * 1664525 + 1013904223;
        return (random >> 8) % range;
    };
    for (std::int64_t now = 0; now < 200000; now += next(20)) {
        if (open.size() < 60 && next(3) == 0)
            open.push_back(budget.open(now));
        if (!open.empty()) {
            const std::size_t which = next(static_cast<std::uint32_t>(open.size()));
            const ConnectionSlot slot = open[which];
            if (std::ranges::count(closing, slot) > 0 || next(5) == 0) {
                budget.close(slot, now);
                std::erase(closing, slot);
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(which));
            } else if (budget.begin(slot, now) && budget.receive(slot, next(3000), now) && next(2) == 0
                       && budget.complete(slot)) {
                budget.answer(slot, next(500), now);
                budget.end(slot, now);
            }
        }
        for (const ConnectionSlot slot : takeChosen(budget)) {
            REQUIRE(std::ranges::count(closing, slot) == 0);
            closing.push_back(slot);
        }
        REQUIRE(budget.openConnections() == open.size() - closing.size());
        REQUIRE(budget.usedBytes() <= 20000);
    }
    for (const ConnectionSlot slot : open)
        budget.close(slot, 300000);
    CHECK(budget.usedBytes() == 0);
    CHECK(budget.openConnections() == 0);
    CHECK(counted(budget, LimitReason::Memory) > 0);
    CHECK(counted(budget, LimitReason::Connections) > 0);
}

// Guards against complete bodies that are decoded at the same time beyond the budget.
TEST_CASE("a handler takes memory only while there is room")
{
    RequestBudget budget({.bytes = 1600});
    const auto openComplete = [&](std::size_t bytes) {
        const ConnectionSlot slot = budget.open(0);
        CHECK(budget.begin(slot, 0));
        CHECK(budget.receive(slot, bytes, 0));
        CHECK(budget.complete(slot));
        return slot;
    };
    const ConnectionSlot large = openComplete(400);
    CHECK(budget.holdForHandler(large, 1200, 1));
    const ConnectionSlot other = openComplete(100);
    CHECK_FALSE(budget.holdForHandler(other, 300, 2)); // an eighth is left for small requests
    CHECK(counted(budget, LimitReason::Memory) == 1);
    CHECK(budget.usedBytes() == 1200);
    const ConnectionSlot small = openComplete(30);
    CHECK(budget.holdForHandler(small, 90, 3));
    CHECK(budget.answer(other, 10, 4)); // the refusal
    budget.end(other, 5);
    CHECK(budget.holdForHandler(large, 0, 6));
    CHECK(budget.usedBytes() == 90);
    budget.close(small, 7);
    CHECK(budget.usedBytes() == 0);
}

// Guards against a body in progress that keeps a complete request out.
TEST_CASE("bodies in progress are closed for the handler of a complete request")
{
    RequestBudget budget({.bytes = 1600});
    const ConnectionSlot stalled = budget.open(0);
    CHECK(budget.begin(stalled, 0));
    CHECK(budget.receive(stalled, 1000, 0));
    const ConnectionSlot complete = budget.open(0);
    CHECK(budget.begin(complete, 0));
    CHECK(budget.receive(complete, 300, 0));
    CHECK(budget.complete(complete));
    CHECK(budget.holdForHandler(complete, 900, 1));
    CHECK(takeChosen(budget) == std::vector{stalled});
    CHECK(budget.usedBytes() == 900);
}
