// Which entry VMs of an availability zone command its backend servers and coordinate jobs.
//
// In a zone with many small entry VMs, a few large ones own the shards and the queues, and the others forward their
// callers' jobs to them. Up to six entry VMs of equal size all command.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace clementinelift::command {

struct ZoneMember
{
    std::string_view node;
    std::uint32_t milliCores = 0; // of its processor
};

// Nodes of the commanders, by rank. All entry VMs that see the same members alive elect the same commanders.
std::vector<std::string_view> electCommanders(std::span<const ZoneMember> alive);

// The coordinator for a job; empty when there is none. All copies of a job get the same coordinator, and each
// coordinator gets a share of the jobs in proportion to its processor.
std::string_view chooseCoordinator(std::span<const ZoneMember> coordinators, std::string_view job);

} // namespace clementinelift::command
