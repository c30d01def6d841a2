// Time that orders to start tasks wait at the network link of this entry VM, learned from their answers.
//
// Handles entry VMs whose link carries fewer orders than their backend servers could take: each order contains the
// specification of its job, and a link of 2 Mbit/s carries about 90 orders of 2.4 KB a second. Orders that wait for
// longer than their answers are awaited make sound backend servers look silent, and the tasks are started again
// elsewhere. So a placing pass counts the wait like a slower backend server and leaves tasks waiting beyond a limit.
#pragma once

#include "command/types.h"

#include <cstddef>

namespace clementinelift::command {

// No order is added to a link whose orders wait longer, which is half the time for which an answer is awaited.
constexpr TimeUs maxStartDelayUs = 75 * usPerMs;

class StartDelay
{
public:
    // Returns the number of orders without an answer, this one included.
    std::size_t onSent() { return ++m_unanswered; }
    // For each order sent, answered or not.
    void onEnded() { m_unanswered -= m_unanswered > 0 ? 1 : 0; }
    // The order was answered tookUs after it was sent; unanswered: as returned by onSent().
    void learn(TimeUs tookUs, std::size_t unanswered);

    std::size_t unanswered() const { return m_unanswered; }
    TimeUs perOrderUs() const { return m_perOrderUs; }
    // Expected time until the orders sent so far have left.
    TimeUs queuedUs() const { return static_cast<TimeUs>(m_unanswered) * m_perOrderUs; }
    // Whether the link rather than the backend servers bounds the starts.
    bool isSlowLink() const;

private:
    std::size_t m_unanswered = 0;
    TimeUs m_perOrderUs = 0;
};

} // namespace clementinelift::command
