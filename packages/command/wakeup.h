// Which messages of peers wake the control thread at once, and which wait for its next event or tick.
//
// Meant for deployments of hundreds of entry VMs, in which nearly all messages between them are heartbeats and reports
// of capacity that no job waits for: 40 a second at a front VM, several hundred at a commander.
#pragma once

#include "command/events.h"

namespace clementinelift::command {

// hasWaitingJobs: tasks wait here for free capacity.
bool isUrgent(const PeerMessage &message, bool hasWaitingJobs);

} // namespace clementinelift::command
