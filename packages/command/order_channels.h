// Chooses the connection for each order to a backend server, see SendStart.
//
// A channel is one connection, and knows which incarnation has answered on it. An order that names an incarnation takes
// a channel on which this one has answered; when none is free, one question at a time is due on another channel, whose
// answer names the incarnation there. Other orders take any channel.
//
//     OrderChannels channels({});
//     channels.add(now, "10.0.0.1:80", OrderId{1}, 1700000000000);
//     while (const auto step = channels.next(now, "10.0.0.1:80"))
//         ...                                                   // sends the order, or the question, on its channel
//     channels.bind("10.0.0.1:80", channel, 1700000000000);     // when the answer arrives
//
// Contents
//   ChannelId, OrderId
//   OrderChannels
#pragma once

#include "command/text.h"
#include "command/types.h"

#include <deque>
#include <optional>
#include <vector>

namespace clementinelift::command {

enum class ChannelId : std::uint64_t {}; // 0: none
enum class OrderId : std::uint64_t {};   // 0: none

struct OrderChannelSettings
{
    std::size_t maxChannels = 8;    // to each address; further orders wait
    TimeUs maxIdleUs = 50 * usPerS; // an idle channel is not used after this
};

class OrderChannels
{
public:
    explicit OrderChannels(const OrderChannelSettings &settings) : m_settings(settings) {}

    struct Step
    {
        ChannelId channel{};
        OrderId order{};
        bool isQuestion = false; // a question is due on the channel first; the order waits
    };

    // Adds an order behind those that wait. incarnationStartMs: Unix time; 0: any incarnation.
    void add(TimeUs now, std::string_view address, OrderId order, std::int64_t incarnationStartMs);
    // The next step at the address, whose channel is taken until release(), bind() or close().
    std::optional<Step> next(TimeUs now, std::string_view address);

    // The answer named no incarnation. hasConnected: a new connection was opened for the order.
    void release(std::string_view address, ChannelId channel, bool hasConnected);
    // The incarnation has answered on the channel. After a restart, channels that may lead to another one are given up.
    void bind(std::string_view address, ChannelId channel, std::int64_t incarnationStartMs);
    // No answer has arrived, so that the connection may be gone.
    void close(std::string_view address, ChannelId channel);

    // Removes the waiting orders that name an incarnation for which the predicate holds, and returns them.
    template <typename Predicate> std::vector<OrderId> takeWaiting(std::string_view address, Predicate &&isTaken);

    std::size_t channelCount(std::string_view address) const;

private:
    struct Channel
    {
        ChannelId id{};
        std::int64_t incarnationStartMs = 0; // 0: no answer has named one
        bool isTaken = false;
        bool isAsked = false;    // taken for a question
        bool isOutdated = false; // while taken: another incarnation has answered since
        TimeUs usedAt = 0;
    };
    struct Waiting
    {
        OrderId order{};
        std::int64_t incarnationStartMs = 0;
    };
    struct Server
    {
        std::vector<Channel> channels;
        std::deque<Waiting> waiting;
        TimeUs usedAt = 0;
    };

    void forgetUnused(TimeUs now);
    Channel *findIdle(Server &server, std::int64_t incarnationStartMs);
    Channel *open(Server &server);
    Channel *find(std::string_view address, ChannelId channel);

    OrderChannelSettings m_settings;
    TextMap<Server> m_servers; // by address
    std::uint64_t m_lastChannel = 0;
};

template <typename Predicate>
std::vector<OrderId> OrderChannels::takeWaiting(std::string_view address, Predicate &&isTaken)
{
    std::vector<OrderId> taken;
    const auto found = m_servers.find(address);
    if (found == m_servers.end())
        return taken;
    std::erase_if(found->second.waiting, [&](const Waiting &waiting) {
        if (waiting.incarnationStartMs == 0 || !isTaken(waiting.order, waiting.incarnationStartMs))
            return false;
        taken.push_back(waiting.order);
        return true;
    });
    return taken;
}

} // namespace clementinelift::command
