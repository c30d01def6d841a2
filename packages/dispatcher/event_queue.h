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

    // Thread-safe. An item that is not urgent does not end a take() in progress before its time.
    void push(Item &&item, bool isUrgent = true)
    {
        bool isWakeupNeeded = false;
        {
            const std::lock_guard lock(m_mutex);
            isWakeupNeeded = isUrgent && !m_hasUrgentItem;
            m_hasUrgentItem = m_hasUrgentItem || isUrgent;
            m_items.push_back(std::move(item));
        }
        if (isWakeupNeeded)
            m_becameUrgent.notify_one();
    }

    // Blocks until the queue has an urgent item or the time is reached, then moves all queued items into items,
    // replacing its content.
    void take(std::vector<Item> &items, Clock::time_point until)
    {
        items.clear();
        std::unique_lock lock(m_mutex);
        m_becameUrgent.wait_until(lock, until, [this] { return m_hasUrgentItem; });
        m_hasUrgentItem = false;
        m_items.swap(items);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_becameUrgent;
    std::vector<Item> m_items;
    bool m_hasUrgentItem = false; // since the last take()
};

} // namespace clementinelift::dispatcher
