// CBOR codec for the messages that the command core sends between entry VMs. One frame holds several messages.
#pragma once

#include "command/events.h"

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelift::net {

std::string encodeFleetFrame(std::span<const command::PeerMessage> messages);

// Appends the decoded messages. False when the frame is malformed; messages before the first malformed one are kept.
bool decodeFleetFrame(std::string_view bytes, std::vector<command::PeerMessage> &messages);

} // namespace clementinelift::net
