#include "command/election.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace clementinelift::command {

namespace {

// Each commander sends reports to every other, so their number is bounded. The eight shards are a further bound.
constexpr std::size_t maxCommanders = 6;
constexpr std::size_t minCommanders = 2; // after the loss of one, another already knows the backend servers
// Largest ratio of processors between two commanders. Shards are assigned evenly, so a smaller one would be overloaded.
constexpr std::uint32_t maxSizeRatio = 2;
// Links of a commander to other zones, in all. Each carries a report whenever capacity has changed; 24 of them take
// more of a processor of 0.3 cores than the commander's own backend servers.
constexpr std::size_t maxOtherZoneLinks = 12;

} // namespace

std::vector<std::string_view> electCommanders(std::span<const ZoneMember> alive)
{
    std::vector<ZoneMember> ranked(alive.begin(), alive.end());
    std::sort(ranked.begin(), ranked.end(), [](const ZoneMember &left, const ZoneMember &right) {
        return std::pair(right.milliCores, left.node) < std::pair(left.milliCores, right.node);
    });
    std::vector<std::string_view> commanders;
    for (const ZoneMember &member : ranked) {
        const bool isLarge = member.milliCores * maxSizeRatio >= ranked.front().milliCores;
        if (commanders.size() >= maxCommanders || (!isLarge && commanders.size() >= minCommanders))
            break;
        commanders.push_back(member.node);
    }
    return commanders;
}

bool areLinked(std::size_t rank, std::size_t count, std::size_t otherRank, std::size_t otherCount,
               std::size_t zoneCount)
{
    const std::size_t smaller = std::min(count, otherCount);
    if (smaller == 0 || zoneCount < 2)
        return false;
    // The sum of the ranks spreads the links evenly and is the same on both sides.
    const std::size_t linksPerZone = std::max<std::size_t>(maxOtherZoneLinks / (zoneCount - 1), 1);
    return (rank + otherRank) % smaller < linksPerZone;
}

// Weighted rendezvous hashing: the loss of a coordinator moves only its own jobs.
std::string_view chooseCoordinator(std::span<const ZoneMember> coordinators, std::string_view job)
{
    std::string_view best;
    double bestScore = 0;
    const std::uint64_t jobHash = XXH3_64bits(job.data(), job.size());
    for (const ZoneMember &member : coordinators) {
        const std::uint64_t hash = XXH3_64bits_withSeed(member.node.data(), member.node.size(), jobHash);
        const double draw = (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(1ULL << 53); // 0 .. 1
        const double score = std::max<std::uint32_t>(member.milliCores, 1) / -std::log(draw);
        if (score <= bestScore)
            continue;
        best = member.node;
        bestScore = score;
    }
    return best;
}

} // namespace clementinelift::command
