#include "command/better_place.h"

#include <algorithm>

namespace clementinelift::command {

namespace {

constexpr TimeUs overdueFactor = 2;         // a run that takes longer may hang
constexpr TimeUs leastRemainingDivisor = 4; // of the expected time of a run that should have ended; it is off by 40%
constexpr double minGainShare = 0.1;      // of the run time here; a smaller gain is within the error of learned speeds
constexpr TimeUs reserveUs = 5 * usPerMs; // until a pass after the deadline has started the task
constexpr double lateReserveShare = 0.1;  // of the run time here: errors of its estimate
// Of the expected time until the end there: errors of the estimates of the runs that have to end first.
constexpr double safeReserveShare = 0.4;

TimeUs share(double factor, TimeUs time)
{
    return static_cast<TimeUs>(factor * static_cast<double>(time));
}

} // namespace

void ExpectedPlaces::clear()
{
    m_servers.clear();
}

std::size_t ExpectedPlaces::add(const Server &server)
{
    m_servers.push_back({server, {}});
    return m_servers.size() - 1;
}

void ExpectedPlaces::addRun(std::size_t server, TimeUs ranUs, TimeUs expectedUs, const Resources &resources)
{
    if (ranUs > overdueFactor * expectedUs)
        return;
    const TimeUs endsUs = std::max(expectedUs - ranUs, expectedUs / leastRemainingDivisor);
    std::vector<End> &ends = m_servers[server].ends;
    const auto place = std::upper_bound(ends.begin(), ends.end(), endsUs,
                                        [](TimeUs time, const End &end) { return time < end.endsUs; });
    ends.insert(place, {endsUs, resources});
}

// When enough of the runs have ended. Room that is free now is no place to wait for: the pass has not chosen it.
std::optional<TimeUs> ExpectedPlaces::findStart(const Known &known, const Resources &resources) const
{
    Resources free = known.server.free;
    for (const End &end : known.ends) {
        free += end.resources;
        if (resources.fitsInto(free))
            return end.endsUs;
    }
    return std::nullopt;
}

// The ends up to the one that makes room become free capacity, of which the task takes its part.
void ExpectedPlaces::takeOne(Known &known, const Resources &resources)
{
    std::size_t used = 0;
    Resources free = known.server.free;
    while (used < known.ends.size() && (used == 0 || !resources.fitsInto(free)))
        free += known.ends[used++].resources;
    const TimeUs startUs = known.ends[used - 1].endsUs;
    known.ends.erase(known.ends.begin(), known.ends.begin() + static_cast<std::ptrdiff_t>(used));
    known.server.free = {};
    // What is left over becomes free at the same time, for the next task.
    known.ends.insert(known.ends.begin(), {startUs, free - resources});
}

std::optional<BetterPlace> ExpectedPlaces::take(const BetterPlaceTask &task, const std::vector<double> &kindFactors,
                                                std::size_t count)
{
    struct Option
    {
        std::size_t server;
        BetterPlace place;
    };
    std::vector<Option> options;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const Server &server = m_servers[i].server;
        const bool isFar = task.rack != 0 && server.rack != task.rack;
        const double factor = server.kind < kindFactors.size() ? kindFactors[server.kind] : 1.0;
        const TimeUs runUs = share((isFar ? task.farX : 1.0) / (server.speed * factor), task.workUs);
        const bool isBetter =
                share(minSpeedGain, runUs) <= task.runHereUs || (task.isFarHere && !isFar && runUs < task.runHereUs);
        if (server.service != task.service || !isBetter)
            continue;
        if (const auto startUs = findStart(m_servers[i], task.resources))
            options.push_back({i, {*startUs + server.delayUs, runUs}});
    }
    m_beforeTake.clear();
    BetterPlace last;
    for (std::size_t taken = 0; taken < count; ++taken) {
        const auto best = std::min_element(options.begin(), options.end(), [](const Option &left, const Option &right) {
            return left.place.freeUs + left.place.runUs < right.place.freeUs + right.place.runUs;
        });
        if (best == options.end()) {
            giveBack();
            return std::nullopt;
        }
        last = best->place;
        Known &known = m_servers[best->server];
        m_beforeTake.emplace_back(best->server, known);
        takeOne(known, task.resources);
        if (const auto startUs = findStart(known, task.resources))
            best->place.freeUs = *startUs + known.server.delayUs;
        else
            options.erase(best);
    }
    return last;
}

void ExpectedPlaces::giveBack()
{
    for (auto it = m_beforeTake.rbegin(); it != m_beforeTake.rend(); ++it)
        m_servers[it->first] = std::move(it->second);
    m_beforeTake.clear();
}

TimeUs decideWait(const WaitComparison &compared, TimeUs maxWaitUs)
{
    const TimeUs endThereUs = compared.better.freeUs + compared.better.runUs;
    const TimeUs gainUs = compared.endHereUs - std::max(endThereUs, compared.otherEndsUs);
    if (gainUs < share(minGainShare, compared.endHereUs))
        return 0;
    // A slow place is as slow for the tasks behind. They would lose the fast one for nothing that they can use.
    if (!compared.isFarHere && compared.tasksBehind > 0)
        return 0;
    TimeUs limitUs = std::min({gainUs, maxWaitUs, compared.refusedUs - reserveUs});
    const TimeUs slackUs = compared.dueUs - compared.endHereUs;
    if (slackUs >= 0) {
        limitUs = std::min(limitUs, slackUs - reserveUs - share(lateReserveShare, compared.endHereUs));
        // The tasks behind may take all places here. Then only the place there is left.
        const bool isSafeThere = endThereUs + share(safeReserveShare, endThereUs) <= compared.dueUs;
        if (compared.tasksHere + compared.tasksBehind > compared.placesHere && !isSafeThere)
            return 0;
    }
    return compared.better.freeUs <= limitUs ? limitUs : 0;
}

} // namespace clementinelift::command
