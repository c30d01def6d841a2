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

// Whether two commanders of different availability zones keep a link, over which they report their free capacity and
// place tasks. Ranks count from 0 in the order of electCommanders(), counts are the numbers of commanders of the two
// zones. Both sides get the same result, and a commander keeps about as many links with 30 zones as with 3.
bool areLinked(std::size_t rank, std::size_t count, std::size_t otherRank, std::size_t otherCount,
               std::size_t zoneCount);

// The coordinator for a job; empty when there is none. All copies of a job get the same coordinator, and each
// coordinator gets a share of the jobs in proportion to its processor.
std::string_view chooseCoordinator(std::span<const ZoneMember> coordinators, std::string_view job);

} // namespace clementinelift::command
