// Runs the simulated callers over HTTP until every job has an answer, then compares the answers with the counts of the
// simulated backend servers.
#pragma once

#include "standins/load_oracle.h"

namespace clementinelift::standins {

struct LoadTargets
{
    std::vector<std::string> entryVms; // ip:port of the caller interface
    std::string platform;              // ip:port of the stand-ins
};

// Prints a report to standard output; the last line holds the counts. Returns the exit code of the process: 0 when no
// job was lost, doubled or answered partially or falsely, and the counts add up.
int runLoad(const LoadOptions &options, const LoadTargets &targets);

// Prints the answer to GET /control, one value a line, such as "/totals/busy=3". Returns the exit code of the process.
int printCounts(const std::string &platform);

} // namespace clementinelift::standins
