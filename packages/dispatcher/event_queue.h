// FIFO queue from the I/O threads to the control thread.
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
            m_notEmpty.notify_one();
    }

    // Blocks until the queue has items or the time is reached, then moves all queued items into items, replacing its
    // content. Leaves items empty on a timeout.
    void take(std::vector<Item> &items, Clock::time_point until)
    {
        items.clear();
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait_until(lock, until, [this] { return !m_items.empty(); });
        m_items.swap(items);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::vector<Item> m_items;
};

} // namespace clementinelift::dispatcher
