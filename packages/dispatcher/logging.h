// Log lines of the process: "<time> <level> <part>: <sentence> key=value ...", on standard error.
#pragma once

#include "core/events.h"

namespace clementinelift::dispatcher {

// Lines below this level are dropped. Call once, before the first log().
void initLogging(core::NoticeLevel level);

// Thread-safe. part is the fixed prefix of the component. A sentence that repeats more often than maxRepeatsPerS is
// dropped; the next line of its kind says how many were.
void log(core::NoticeLevel level, std::string_view part, std::string_view text);

constexpr std::uint32_t maxRepeatsPerS = 10;

} // namespace clementinelift::dispatcher
