// Runs the simulated callers over HTTP until every job has an answer, then compares with the counts of the stand-ins.
#pragma once

#include "standins/load_oracle.h"

namespace clementinelift::standins {

struct LoadTargets
{
    std::vector<std::string> entryVms; // ip:port of the caller interface
    std::string platform;              // ip:port of the stand-ins
};

// Prints a report to standard output; the last line holds the counts. Returns the exit code of the process: 0 when
// nothing was lost, doubled, partial or untrue and the counts add up.
int runLoad(const LoadOptions &options, const LoadTargets &targets);

// Prints the answer of GET /control as lines "/totals/busy=3". Returns the exit code of the process.
int printCounts(const std::string &platform);

} // namespace clementinelift::standins
