// Basic types of the command core.
//
// Contents
//   Time
//   Resources
//   Ids
//   Runs
#pragma once

#include <absl/hash/hash.h>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace clementinelift::command {

// Time ----------------------------------------------------------------------------------------------

// Microseconds of a monotonic clock that also advances while the VM is suspended.
using TimeUs = std::int64_t;

constexpr TimeUs usPerMs = 1000;
constexpr TimeUs usPerS = 1000 * usPerMs;
constexpr TimeUs never = std::numeric_limits<TimeUs>::max();

// Resources -----------------------------------------------------------------------------------------

// Resources that a task needs or a backend server has.
struct Resources
{
    std::int64_t milliCores = 0;   // thousandths of a core
    std::int64_t memoryMb = 0;     // MiB
    std::int64_t accelerators = 0; // whole devices

    bool operator==(const Resources &) const = default;
    bool operator<(const Resources &other) const // lexicographic, for keys
    {
        return std::tie(milliCores, memoryMb, accelerators)
                < std::tie(other.milliCores, other.memoryMb, other.accelerators);
    }

    Resources &operator+=(const Resources &other)
    {
        milliCores += other.milliCores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        milliCores -= other.milliCores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }
    bool fitsInto(const Resources &available) const
    {
        return milliCores <= available.milliCores && memoryMb <= available.memoryMb
                && accelerators <= available.accelerators;
    }
};

inline Resources operator-(Resources left, const Resources &right)
{
    return left -= right;
}

// Ids -----------------------------------------------------------------------------------------------

enum class CallerId : std::uint64_t {}; // a request that waits for its answer; ids are never reused

// One task of a job of one step.
struct TaskId
{
    std::string job;         // id of the job, chosen by the caller
    std::uint32_t index = 0; // within the job

    bool operator==(const TaskId &) const = default;
    bool operator<(const TaskId &other) const { return std::tie(job, index) < std::tie(other.job, other.index); }

    template <typename H> friend H AbslHashValue(H state, const TaskId &id)
    {
        return H::combine(std::move(state), id.job, id.index);
    }
};

// Number of a start of a task; a later start has a higher number.
using RunNumber = std::uint32_t;

// A backend server rejects orders with a token lower than the highest that it has seen.
using FencingToken = std::int64_t;

// Runs ----------------------------------------------------------------------------------------------

// How a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    Failed,   // by a fault of the task or of the backend server
    Stopped,  // by a stop order
    Lapsed,   // its lease expired
    Lost,     // contact was lost; the run ends at latest when its lease expires
    NotRun,   // the order was rejected, the run never existed
    NotAsked, // no order was sent to the backend server
};

std::string_view toString(RunEnd end);

} // namespace clementinelift::command
