// The core of one entry VM: a deterministic state machine that takes events and returns actions.
//
//     Dispatcher core(settings);
//     Actions actions;
//     core.handle(now, event, actions);   // for every event, and TimerFired when the last SetTimer is due
//     for (const Action &action : actions) ...carry out in order
//
// Uses no sockets, files, threads, clocks or global random state: the same events and seed give the same actions.
// Not thread-safe; one control thread owns the object. See docs/embedding.md.
#pragma once

#include "core/configuration.h"
#include "core/events.h"
#include "core/membership.h"
#include "core/ownership.h"
#include "core/scheduler.h"

#include <array>
#include <memory>

namespace clementinelift::core {

// Totals since the start of the core; the process exports them as metrics.
struct Counters
{
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::Count)> refusals{};     // by reason
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::Count)> failures{};     // by reason
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::Count)> retries{}; // by reason
    std::uint64_t submissions = 0;                                                     // received from callers
    std::uint64_t joins = 0;        // resubmissions that joined a job or got a stored answer
    std::uint64_t forwardsSent = 0; // submissions sent to the owner of the key
    std::uint64_t forwardsReceived = 0;
    std::uint64_t completed = 0;    // jobs
    std::uint64_t attempts = 0;     // started
    std::uint64_t attemptsBusy = 0; // ended Busy: the request was wasted
    std::uint64_t attemptsNotStarted = 0;
    std::uint64_t attemptsFailed = 0;
    std::uint64_t attemptsUnknown = 0;
    std::uint64_t tasksDropped = 0; // ended without being started
    std::uint64_t stops = 0;        // attempts stopped at a backend server
    std::uint64_t queries = 0;      // status queries about attempts
};

class Dispatcher
{
public:
    explicit Dispatcher(const CoreSettings &settings);
    ~Dispatcher();

    void handle(Now now, Event &&event, Actions &actions);

    bool isReady() const;
    bool isDraining() const;
    std::string waitingFor() const; // the condition that readiness waits for, empty when ready

    const Counters &counters() const;
    const Configuration &configuration() const;
    const OwnershipTable &ownership() const;
    const Membership &membership() const;
    const Scheduler &scheduler() const;
    std::size_t jobBytes() const; // taken by jobs and forwarded submissions from CoreSettings::maxJobBytes
    std::size_t openJobs() const;
    std::size_t rememberedKeys() const;
    std::uint64_t answerBytes() const;
    std::uint32_t ownedPartitions(std::int64_t issueMs) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::core
