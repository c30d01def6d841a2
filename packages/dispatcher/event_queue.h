// Events on their way from the I/O threads to the control thread, in the order of arrival.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace clementinelift::dispatcher {

template <typename Item> class EventQueue
{
public:
    using Clock = std::chrono::steady_clock;

    // Thread-safe.
    void push(Item &&item)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            wasEmpty = m_items.empty();
            m_items.push_back(std::move(item));
        }
        if (wasEmpty)
            m_arrived.notify_one();
    }

    // Replaces the content of items by all waiting ones. Returns with none at the given time.
    void take(std::vector<Item> &items, Clock::time_point until)
    {
        items.clear();
        std::unique_lock lock(m_mutex);
        m_arrived.wait_until(lock, until, [this] { return !m_items.empty(); });
        m_items.swap(items);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::vector<Item> m_items;
};

} // namespace clementinelift::dispatcher
