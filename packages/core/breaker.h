// Circuit breakers per backend server and per group of backend servers that fail together.
//
// Contents
//   Signals        what an ended attempt says about its backend server
//   GroupCorrector which backend servers fail together, from observed failures
//   BreakerBoard   how many further attempts each backend server may get
#pragma once

#include "core/types.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <random>

namespace clementinelift::core {

// Signals -------------------------------------------------------------------------------------------

enum class Signal : std::uint8_t {
    Good,
    Bad,     // failed, unknown or refused
    Slow,    // completed, but several in a row were far slower than expected
    Neutral, // busy or cancelled: says nothing
};

// GroupCorrector ------------------------------------------------------------------------------------

struct GroupMove
{
    BackendId backend{};
    std::uint32_t from = 0; // former group
};

// Learns groups from trips (moments at which a backend server turns bad). Two backend servers that mostly trip within
// the same window belong together; one that mostly trips alone while its group stays well does not belong to it.
class GroupCorrector
{
public:
    void add(BackendId id, std::uint32_t group);
    std::uint32_t group(BackendId id) const { return m_members[raw(id)].group; }

    // Records a trip. Returns the backend servers whose group has changed.
    std::vector<GroupMove> onTrip(BackendId id, std::int64_t nowUs);

private:
    struct Member
    {
        std::uint32_t group = 0;
        std::uint32_t trips = 0;
        std::uint32_t lonelyTrips = 0; // no other member of the group tripped within the window
        std::int64_t lastTripUs = -1;
    };
    struct Trip
    {
        std::int64_t atUs = 0;
        BackendId backend{};
        bool judged = false; // counted as lonely or not
    };

    void judgeOldTrips(std::int64_t nowUs, std::vector<GroupMove> &moved);

    std::vector<Member> m_members;
    std::vector<std::uint32_t> m_groupSizes;
    std::deque<Trip> m_recent;
    absl::flat_hash_map<std::uint64_t, std::uint32_t> m_together; // by pair of backend servers
};

// BreakerBoard --------------------------------------------------------------------------------------

enum class BreakerState : std::uint8_t {
    Closed,   // attempts up to the limit
    Open,     // none until the retry time
    HalfOpen, // one active probe, then one attempt
};

class BreakerBoard
{
public:
    explicit BreakerBoard(std::uint64_t seed);

    // rack names the first guess of the group.
    void add(BackendId id, std::string_view rack);
    void setCapacity(BackendId id, std::uint32_t slots); // slots that this entry VM may use
    void setUsable(BackendId id, bool usable);           // not usable: leaving or gone, never probed

    std::uint32_t allowed(BackendId id) const; // further attempts that may start now
    BreakerState state(BackendId id) const;
    BreakerState groupState(BackendId id) const;
    std::uint32_t group(BackendId id) const { return m_groups.group(id); }
    std::uint32_t groupLimit(BackendId id) const; // attempts at once on the whole group

    void onStart(BackendId id, std::int64_t nowUs);
    void onEnd(BackendId id, Signal signal, std::int64_t startUs, std::int64_t nowUs);
    void onProbed(BackendId id, bool healthy, std::int64_t nowUs);

    // Lets no attempt through until an active probe has found the backend server in reach.
    void requireProbe(BackendId id, std::int64_t nowUs);

    // Ends open periods that are over; appends the backend servers to probe actively.
    void onTimer(std::int64_t nowUs, std::vector<BackendId> &probes);
    std::int64_t nextTimerUs() const { return m_nextTimerUs; }

    std::uint64_t corrections() const { return m_corrections; } // moves between groups since the start

    // Backend servers whose allowed() may have changed since the last call.
    void takeChanged(std::vector<BackendId> &changed);

private:
    struct Breaker
    {
        BreakerState state = BreakerState::Closed;
        double limit = 0;             // attempts at once while closed
        std::uint32_t capacity = 0;   // upper bound of the limit
        std::uint32_t inProgress = 0; // attempts started since the epoch
        std::uint32_t badInRow = 0;
        double badShare = 0; // smoothed
        bool usable = true;
        bool probed = false;        // Probing: the active probe was healthy
        std::int64_t epochUs = 0;   // attempts started before say nothing any more
        std::int64_t retryAtUs = 0; // Open; Probing: the active probe is given up
        std::int64_t backoffUs = 0;
        std::int64_t lastBadUs = -1;
        std::int64_t lastCutUs = -1;
    };
    struct Group
    {
        std::vector<BackendId> members;
        BreakerState state = BreakerState::Closed;
        double limit = 0;
        std::uint32_t capacity = 0;
        std::uint32_t inProgress = 0;
        double good = 0; // decayed counts of recent signals
        double bad = 0;
        BackendId probe{}; // Probing: the member that is tried
        bool probed = false;
        std::int64_t decayedUs = 0;
        std::int64_t epochUs = 0;
        std::int64_t retryAtUs = 0;
        std::int64_t backoffUs = 0;
        std::int64_t lastCutUs = -1;
    };

    Group &groupOf(BackendId id) { return m_groupStates[m_groups.group(id)]; }
    const Group &groupOf(BackendId id) const { return m_groupStates[m_groups.group(id)]; }
    std::int64_t jitter(std::int64_t us);
    void markGroup(const Group &group);
    void move(BackendId id, std::uint32_t from);
    void onGood(BackendId id, std::int64_t nowUs);
    void onBad(BackendId id, Signal signal, std::int64_t startUs, std::int64_t nowUs);
    void trip(BackendId id, std::int64_t nowUs);
    void open(Breaker &breaker, std::int64_t nowUs);
    void openGroup(Group &group, std::int64_t nowUs);
    void reopenGroup(Group &group, std::int64_t nowUs);
    void cutGroup(BackendId id, std::int64_t nowUs);
    void wakeAt(std::int64_t atUs) { m_nextTimerUs = std::min(m_nextTimerUs, atUs); }

    std::vector<Breaker> m_breakers;
    std::vector<Group> m_groupStates;
    absl::flat_hash_map<std::string, std::uint32_t> m_byRack;
    GroupCorrector m_groups;
    std::uint64_t m_corrections = 0;
    std::vector<BackendId> m_changed;
    std::int64_t m_nextTimerUs = INT64_MAX;
    std::mt19937_64 m_random;
};

} // namespace clementinelift::core
