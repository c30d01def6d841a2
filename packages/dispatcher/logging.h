// Log lines of the process: "<time> <level> <part>: <sentence> key=value ...", on standard error or standard output.
#pragma once

#include "core/events.h"

namespace clementinelift::dispatcher {

// Lines below this level are dropped. Call once, before the first log().
void initLogging(core::NoticeLevel level);

// Like initLogging(), but writes to standard output on a separate thread, so that log() never blocks on a slow reader.
// Lines that do not fit into the queue are dropped.
void initOutputLogging(core::NoticeLevel level);

// Writes the queued lines. Call before the process exits.
void stopLogging();

// Thread-safe. part is the fixed prefix of the component. Lines of the same kind beyond the limit per second are
// dropped; the next line of the kind reports their number as repeats_dropped.
void log(core::NoticeLevel level, std::string_view part, std::string_view text);

constexpr std::uint32_t maxRepeatsPerS = 10;        // on standard error
constexpr std::uint32_t maxOutputRepeatsPerS = 100; // on standard output: allows one line per job at a usual load

} // namespace clementinelift::dispatcher
