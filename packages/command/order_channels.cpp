#include "command/order_channels.h"

#include <algorithm>

namespace clementinelift::command {

void OrderChannels::add(TimeUs now, std::string_view address, OrderId order, std::int64_t incarnationStartMs)
{
    if (!m_servers.contains(address))
        forgetUnused(now);
    m_servers[address].waiting.push_back({order, incarnationStartMs});
}

// Channels of backend servers that are no longer commanded would be kept otherwise.
void OrderChannels::forgetUnused(TimeUs now)
{
    absl::erase_if(m_servers, [&](const auto &entry) {
        const Server &server = entry.second;
        return server.waiting.empty()
                && std::all_of(server.channels.begin(), server.channels.end(), [&](const Channel &channel) {
                       return !channel.isTaken && now - channel.usedAt > m_settings.maxIdleUs;
                   });
    });
}

// Of several, the one that was idle for the longest time: connections that are not used are closed by the other side.
OrderChannels::Channel *OrderChannels::findIdle(Server &server, std::int64_t incarnationStartMs)
{
    Channel *found = nullptr;
    for (Channel &channel : server.channels) {
        if (!channel.isTaken && channel.incarnationStartMs == incarnationStartMs
            && (found == nullptr || channel.usedAt < found->usedAt))
            found = &channel;
    }
    return found;
}

// Null when all channels are taken.
OrderChannels::Channel *OrderChannels::open(Server &server)
{
    if (server.channels.size() >= m_settings.maxChannels) {
        const auto idle = std::find_if(server.channels.begin(), server.channels.end(),
                                       [](const Channel &channel) { return !channel.isTaken; });
        if (idle == server.channels.end())
            return nullptr;
        server.channels.erase(idle);
    }
    Channel &channel = server.channels.emplace_back();
    channel.id = ChannelId{++m_lastChannel};
    return &channel;
}

std::optional<OrderChannels::Step> OrderChannels::next(TimeUs now, std::string_view address)
{
    const auto found = m_servers.find(address);
    if (found == m_servers.end())
        return std::nullopt;
    Server &server = found->second;
    std::erase_if(server.channels, [&](const Channel &channel) {
        return !channel.isTaken && now - channel.usedAt > m_settings.maxIdleUs;
    });
    const bool isAsking = std::any_of(server.channels.begin(), server.channels.end(),
                                      [](const Channel &channel) { return channel.isAsked; });
    for (auto waiting = server.waiting.begin(); waiting != server.waiting.end(); ++waiting) {
        const std::int64_t incarnationStartMs = waiting->incarnationStartMs;
        Channel *channel = findIdle(server, incarnationStartMs);
        const bool isQuestion = incarnationStartMs != 0 && channel == nullptr;
        if (isQuestion && isAsking)
            continue;
        if (isQuestion)
            channel = findIdle(server, 0);
        if (channel == nullptr && !isQuestion) { // the order may go anywhere
            const auto idle = std::find_if(server.channels.begin(), server.channels.end(),
                                           [](const Channel &other) { return !other.isTaken; });
            channel = idle == server.channels.end() ? nullptr : &*idle;
        }
        if (channel == nullptr)
            channel = open(server);
        if (channel == nullptr)
            continue;
        channel->isTaken = true;
        channel->isAsked = isQuestion;
        channel->usedAt = now;
        const Step step{channel->id, waiting->order, isQuestion};
        if (!isQuestion)
            server.waiting.erase(waiting);
        return step;
    }
    return std::nullopt;
}

OrderChannels::Channel *OrderChannels::find(std::string_view address, ChannelId id)
{
    const auto found = m_servers.find(address);
    if (found == m_servers.end())
        return nullptr;
    std::vector<Channel> &channels = found->second.channels;
    const auto channel = std::find_if(channels.begin(), channels.end(),
                                      [id](const Channel &candidate) { return candidate.id == id; });
    return channel == channels.end() ? nullptr : &*channel;
}

void OrderChannels::release(std::string_view address, ChannelId id, bool hasConnected)
{
    Channel *channel = find(address, id);
    if (channel == nullptr)
        return;
    if (channel->isOutdated) {
        close(address, id);
        return;
    }
    channel->isTaken = false;
    channel->isAsked = false;
    if (hasConnected)
        channel->incarnationStartMs = 0;
}

void OrderChannels::bind(std::string_view address, ChannelId id, std::int64_t incarnationStartMs)
{
    if (find(address, id) == nullptr)
        return;
    std::vector<Channel> &channels = m_servers.find(address)->second.channels;
    const bool hasRestarted = std::any_of(channels.begin(), channels.end(), [&](const Channel &channel) {
        return channel.incarnationStartMs != 0 && channel.incarnationStartMs != incarnationStartMs;
    });
    Channel &bound = *find(address, id);
    bound.isTaken = false;
    bound.isAsked = false;
    bound.isOutdated = false;
    bound.incarnationStartMs = incarnationStartMs;
    if (!hasRestarted)
        return;
    // Connections to an earlier incarnation may be silent. What is sent on one waits for its timeout.
    for (Channel &channel : channels)
        channel.isOutdated = channel.isTaken && !channel.isAsked && channel.incarnationStartMs != incarnationStartMs;
    std::erase_if(channels, [&](const Channel &channel) {
        return !channel.isTaken && channel.incarnationStartMs != incarnationStartMs;
    });
}

void OrderChannels::close(std::string_view address, ChannelId id)
{
    const auto found = m_servers.find(address);
    if (found != m_servers.end())
        std::erase_if(found->second.channels, [id](const Channel &channel) { return channel.id == id; });
}

std::size_t OrderChannels::channelCount(std::string_view address) const
{
    const auto found = m_servers.find(address);
    return found == m_servers.end() ? 0 : found->second.channels.size();
}

} // namespace clementinelift::command
