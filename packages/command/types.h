// Ids, sizes and times that the command of backend servers is written in.
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

// Microseconds of a clock that never jumps and that also counts while the VM is suspended.
using TimeUs = std::int64_t;

constexpr TimeUs usPerMs = 1000;
constexpr TimeUs usPerS = 1000 * usPerMs;
constexpr TimeUs never = std::numeric_limits<TimeUs>::max();

// Resources -----------------------------------------------------------------------------------------

// What a task needs or a backend server has.
struct Resources
{
    std::int64_t milliCores = 0;   // thousandths of a core
    std::int64_t memoryMb = 0;     // MiB
    std::int64_t accelerators = 0; // whole ones

    bool operator==(const Resources &) const = default;

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

enum class CallerId : std::uint64_t {}; // one request that waits for its answer, never reused

// One task of a job of one step.
struct TaskId
{
    std::string job;         // the caller's id of the job
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

// A backend server accepts orders under the highest token that it has seen.
using FencingToken = std::int64_t;

// Runs ----------------------------------------------------------------------------------------------

// How a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    Failed,   // by its own fault or the backend server's
    Stopped,  // by order
    Lapsed,   // its lease ran out
    Lost,     // the backend server cannot be reached; the run ends at latest when its lease does
    NotRun,   // the order was refused, the run never was
    NotAsked, // the order never left this entry VM
};

std::string_view toString(RunEnd end);

} // namespace clementinelift::command
