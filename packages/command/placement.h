// Choice of a backend server for each waiting task of a job.
//
// Meant for loads in which tasks of very different length compete for backend servers of very different speed, on
// hundreds of backend servers that are commanded by dozens of entry VMs.
#pragma once

#include "command/types.h"

#include <optional>
#include <span>
#include <vector>

namespace clementinelift::command {

// Free capacity of one backend server, commanded here or by a peer.
struct Candidate
{
    std::string_view server;
    std::string_view node; // its commander; empty: this entry VM
    std::string_view service;
    Resources free;
    double speed = 1.0;
    TimeUs roundTripUs = 0; // to its commander
};

// Expected time from now until a task ends on the candidate; workUs: run time on a backend server of speed 1.
TimeUs expectFinish(const Candidate &candidate, TimeUs workUs);

// Index of the candidate with the earliest expected finish for a task of the service, where a candidate of this entry
// VM is preferred to a slightly faster one of a peer; nothing when no candidate has enough free capacity and finishes
// within latestUs from now.
std::optional<std::size_t> choosePlace(std::span<const Candidate> candidates, std::string_view service,
                                       const Resources &taskResources, TimeUs workUs, TimeUs latestUs);

} // namespace clementinelift::command
