// Tests of the queue between the I/O threads and the control thread.
#include "dispatcher/event_queue.h"

#include <catch2/catch.hpp>

#include <thread>

namespace clementinelift::dispatcher {
namespace {

using Clock = EventQueue<int>::Clock;
using std::chrono::milliseconds;

// Guards against a wakeup of the control thread for each heartbeat, and against one that comes late for an urgent item.
TEST_CASE("only an urgent item ends the wait, and it brings the others along in order")
{
    EventQueue<int> queue;
    std::vector<int> items;
    queue.push(1, false);
    const auto began = Clock::now();
    queue.take(items, began + milliseconds(30));
    CHECK(Clock::now() - began >= milliseconds(30));
    CHECK(items == std::vector{1});

    queue.push(2, false);
    queue.push(3);
    queue.push(4, false);
    queue.take(items, Clock::now() + std::chrono::seconds(60));
    CHECK(items == std::vector{2, 3, 4});

    std::thread producer([&] {
        std::this_thread::sleep_for(milliseconds(20));
        queue.push(5, false);
        queue.push(6);
    });
    queue.take(items, Clock::now() + std::chrono::seconds(60));
    producer.join();
    CHECK(items == std::vector{5, 6});
}

} // namespace
} // namespace clementinelift::dispatcher
