#include "command/wakeup.h"

namespace clementinelift::command {

// A report that waits is handled before the next event, so a job that arrives is placed with the newest capacities.
bool isUrgent(const PeerMessage &message, bool hasWaitingJobs)
{
    const auto *report = std::get_if<CapacityReport>(&message);
    return report == nullptr || (hasWaitingJobs && !report->capacities.empty());
}

} // namespace clementinelift::command
