// Whether the tasks of a job wait for better backend servers instead of starting on the best free ones, and until when.
//
// Meant for loads whose data are on few racks, and for backend servers of which only slow ones are free: a task that
// starts at once may then take two or three times as long as one that waits for the next end of a run. The rule and its
// reasons are in docs/design/better-place.md.
//
// Contents
//   ExpectedPlaces   what becomes free, where and when
//   decideWait()     the rule
#pragma once

#include "command/types.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinelift::command {

// A backend server is better only if a task takes at most 1 / minSpeedGain of the time there, or if the data of the
// task are on its rack. Learned speeds differ by less than this from sample to sample.
constexpr double minSpeedGain = 1.5;

// A task that may wait, and the best free candidate for it.
struct BetterPlaceTask
{
    std::string_view service;
    Resources resources;
    TimeUs workUs = 0;      // run time on a backend server of speed 1, on the rack of its data
    double farX = 1.0;      // multiple of workUs on another rack
    std::uint32_t rack = 0; // of its data; 0: any
    TimeUs runHereUs = 0;   // on the best free candidate
    bool isFarHere = false; // the best free candidate is on another rack than the data
};

struct BetterPlace
{
    TimeUs freeUs = 0; // expected time from now until the task can start there
    TimeUs runUs = 0;  // run time there
};

class ExpectedPlaces
{
public:
    struct Server
    {
        std::string_view service;
        std::uint32_t rack = 0;
        std::uint32_t kind = 0;
        double speed = 1.0;
        Resources free;
        TimeUs delayUs = 0; // of a start there
    };

    void clear();
    // Returns the index of the server.
    std::size_t add(const Server &server);
    // A run that began ranUs ago there and was expected to take expectedUs. Ignored once it has taken twice that time.
    void addRun(std::size_t server, TimeUs ranUs, TimeUs expectedUs, const Resources &resources);
    bool empty() const { return m_servers.empty(); }

    // Counts the better places where count tasks are expected to end first as taken, and returns the one that ends
    // last; nothing, and no place is taken, when fewer are expected. kindFactors: of the speeds, by kind.
    std::optional<BetterPlace> take(const BetterPlaceTask &task, const std::vector<double> &kindFactors,
                                    std::size_t count);
    // Makes the places of the last take() available again.
    void giveBack();

private:
    struct End
    {
        TimeUs endsUs = 0;
        Resources resources;
    };
    struct Known
    {
        Server server;
        std::vector<End> ends; // by endsUs
    };
    std::optional<TimeUs> findStart(const Known &known, const Resources &resources) const;
    void takeOne(Known &known, const Resources &resources);

    std::vector<Known> m_servers;
    std::vector<std::pair<std::size_t, Known>> m_beforeTake; // servers of the last take(), as they were
};

// The comparison for the last task of a job that waits; times are relative to now.
struct WaitComparison
{
    TimeUs endHereUs = 0;   // expected on the best free candidate
    TimeUs otherEndsUs = 0; // latest expected end of the tasks of the job that are already placed
    BetterPlace better;
    TimeUs dueUs = 0;            // a later end of the job is late
    TimeUs refusedUs = 0;        // the job is refused if nothing has started by then
    bool isFarHere = false;      // the place here is on another rack than the data, and not slow for other tasks
    std::size_t placesHere = 0;  // free places about as good as the best candidate
    std::size_t tasksHere = 0;   // of the job, that would start here
    std::size_t tasksBehind = 0; // of the jobs served after it, that wait for any place
};

// Longest time that the wait may last; 0: the task starts here now.
TimeUs decideWait(const WaitComparison &compared, TimeUs maxWaitUs);

} // namespace clementinelift::command
