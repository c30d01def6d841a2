// Choice of a backend server for each waiting task of a job.
//
// Answers the load where tasks of very different length compete for backend servers of very different speed.
#pragma once

#include "command/types.h"

#include <optional>
#include <span>
#include <vector>

namespace clementinelift::command {

// Free room of one backend server, here or at a peer.
struct Candidate
{
    std::string_view server;
    std::string_view node; // that commands it; empty: this entry VM
    std::string_view service;
    Resources free;
    double speed = 1.0;
    TimeUs extraUs = 0; // way to its commander and back
};

// Expected time from now until a task with this work on a backend server of speed 1 has ended there.
TimeUs expectFinish(const Candidate &candidate, TimeUs workUs);

// The candidate on which a task of the service is to start now, as index; nothing when none has room or none ends the
// task within latestUs from now.
std::optional<std::size_t> choosePlace(std::span<const Candidate> candidates, std::string_view service,
                                       const Resources &taskResources, TimeUs workUs, TimeUs latestUs);

} // namespace clementinelift::command
