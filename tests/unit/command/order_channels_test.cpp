// The connection that an order takes, and when a question is due first.
#include "command/order_channels.h"

#include <catch2/catch.hpp>

namespace clementinelift::command {
namespace {

const std::string address = "10.0.0.1:80";
constexpr std::int64_t earlier = 1000; // incarnations
constexpr std::int64_t later = 2000;

struct Fixture
{
    OrderChannels channels{{.maxChannels = 3}};
    TimeUs now = usPerS;
    std::uint64_t lastOrder = 0;

    OrderId add(std::int64_t incarnationStartMs)
    {
        channels.add(now, address, OrderId{++lastOrder}, incarnationStartMs);
        return OrderId{lastOrder};
    }
    OrderChannels::Step next()
    {
        const auto step = channels.next(now, address);
        REQUIRE(step);
        return *step;
    }
    bool isWaiting() { return !channels.next(now, address); }
    // A channel on which the incarnation has answered.
    ChannelId connect(std::int64_t incarnationStartMs)
    {
        add(0);
        const ChannelId channel = next().channel;
        channels.bind(address, channel, incarnationStartMs);
        return channel;
    }
};

// Guards against an order that reaches another incarnation than the one it names.
TEST_CASE("an order that names an incarnation waits for a channel on which this one has answered")
{
    Fixture fixture;
    const OrderId order = fixture.add(earlier);
    const OrderChannels::Step question = fixture.next();
    CHECK(question.isQuestion);
    CHECK(question.order == order);
    CHECK(fixture.isWaiting()); // one question is enough
    SECTION("the incarnation answers")
    {
        fixture.channels.bind(address, question.channel, earlier);
        const OrderChannels::Step step = fixture.next();
        CHECK_FALSE(step.isQuestion);
        CHECK(step.order == order);
        CHECK(step.channel == question.channel);
        CHECK(fixture.isWaiting());
    }
    SECTION("another one answers")
    {
        fixture.channels.bind(address, question.channel, later);
        const auto taken = fixture.channels.takeWaiting(
                address, [](OrderId, std::int64_t incarnationStartMs) { return incarnationStartMs != later; });
        CHECK(taken == std::vector<OrderId>{order});
        CHECK(fixture.isWaiting());
    }
    SECTION("nobody answers")
    {
        fixture.channels.close(address, question.channel);
        const OrderChannels::Step again = fixture.next();
        CHECK(again.isQuestion);
        CHECK(again.channel != question.channel);
    }
    SECTION("a rejection names no incarnation")
    {
        fixture.channels.release(address, question.channel, true);
        CHECK(fixture.next().isQuestion);
    }
}

// Guards against a connection that was opened to a new incarnation unnoticed.
TEST_CASE("a channel whose connection was replaced is asked again")
{
    Fixture fixture;
    const ChannelId channel = fixture.connect(earlier);
    fixture.add(0);
    CHECK(fixture.next().channel == channel);
    fixture.channels.release(address, channel, true);
    fixture.add(earlier);
    CHECK(fixture.next().isQuestion);
}

// Guards against orders that wait for the timeout of a silent connection to an earlier incarnation.
TEST_CASE("channels to an earlier incarnation are given up once another one has answered")
{
    Fixture fixture;
    fixture.add(0);
    const ChannelId hold = fixture.next().channel;
    const ChannelId idle = fixture.connect(earlier);
    fixture.add(earlier);
    REQUIRE(fixture.next().channel == idle);
    fixture.channels.bind(address, hold, later);
    CHECK(fixture.channels.channelCount(address) == 2);
    fixture.channels.release(address, idle, false);
    CHECK(fixture.channels.channelCount(address) == 1);
    fixture.add(later);
    CHECK(fixture.next().channel == hold);
}

// Guards against starts that wait behind one that is not answered, and against more connections than allowed.
TEST_CASE("an order beside one that is not answered asks on a further channel, up to the limit")
{
    Fixture fixture;
    const ChannelId first = fixture.connect(earlier);
    fixture.add(earlier);
    fixture.add(earlier);
    fixture.add(earlier);
    fixture.add(earlier);
    CHECK(fixture.next().channel == first);
    for (int i = 0; i < 2; ++i) {
        const OrderChannels::Step question = fixture.next();
        CHECK(question.isQuestion);
        CHECK(fixture.isWaiting());
        fixture.channels.bind(address, question.channel, earlier);
        CHECK(fixture.next().channel == question.channel);
    }
    CHECK(fixture.isWaiting());
    CHECK(fixture.channels.channelCount(address) == 3);
    fixture.channels.close(address, first); // its order has timed out
    CHECK(fixture.next().isQuestion);
}

// Guards against stops that are delayed by questions, or that open connections without need.
TEST_CASE("an order that may reach any incarnation takes any idle channel")
{
    Fixture fixture;
    const ChannelId bound = fixture.connect(earlier);
    fixture.add(0);
    const OrderChannels::Step step = fixture.next();
    CHECK_FALSE(step.isQuestion);
    CHECK(step.channel == bound);
    fixture.add(0);
    CHECK(fixture.next().channel != bound);
}

// Guards against connections that the other side closes for want of use, and against channels that are kept for ever.
TEST_CASE("channels are used in turn, and not after they were idle for long")
{
    Fixture fixture;
    const ChannelId first = fixture.connect(earlier);
    fixture.add(0);
    CHECK(fixture.next().channel == first);
    ++fixture.now;
    const ChannelId second = fixture.connect(earlier);
    fixture.channels.release(address, first, false);
    ++fixture.now;
    for (const ChannelId expected : {first, second, first}) {
        fixture.add(earlier);
        const OrderChannels::Step step = fixture.next();
        CHECK(step.channel == expected);
        fixture.channels.release(address, step.channel, false);
        ++fixture.now;
    }
    fixture.now += 60 * usPerS;
    fixture.channels.add(fixture.now, "10.0.0.2:80", OrderId{99}, 0);
    CHECK(fixture.channels.channelCount(address) == 0);
}

} // namespace
} // namespace clementinelift::command
