// Deduplication of submissions: the keys that this entry VM has accepted, and the answers of their jobs.
//
// A key is kept until its issue time is below the dedupe horizon. The table never evicts a key earlier; when it is
// full, new keys are refused. Stored results are evicted earlier, oldest first, when they exceed their size limit.
//
// Contents
//   KeyLookup      state of one key
//   DedupeTable    keys by (organisation, key), results by number
#pragma once

#include "core/types.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>

namespace clementinelift::core {

// KeyLookup ------------------------------------------------------------------------------------------

enum class KeyState : std::uint8_t {
    Absent,   // never accepted here
    Running,  // job is set
    Complete, // results is set, or null after their eviction
    Failed,   // reason and effects are set
};

struct KeyLookup
{
    KeyState state = KeyState::Absent;
    std::uint64_t bodyHash = 0;
    JobId job{};
    const std::vector<std::string> *results = nullptr; // valid until the next change of the table
    Reason reason = Reason::None;
    Effects effects = Effects::None;
};

// DedupeTable ---------------------------------------------------------------------------------------

class DedupeTable
{
public:
    DedupeTable(std::uint32_t maxKeys, std::uint64_t maxAnswerBytes);

    KeyLookup find(std::string_view organisation, const Key &key) const;
    bool isFull() const { return m_size >= m_maxKeys; }

    // The key must be absent, not below floorMs(), and the table not full.
    void add(std::string_view organisation, const Key &key, std::uint64_t bodyHash, JobId job);

    // Replaces the running job of a key with its answer, Complete or Failed. Does nothing when the key was removed.
    void storeAnswer(std::string_view organisation, const Key &key, Answer &&answer);

    // Removes keys issued before floorMs, rounded down to a multiple of bucketMs. Ignores a floor below the current
    // one.
    void raiseFloor(std::int64_t floorMs);
    std::int64_t floorMs() const { return m_floorMs; } // keys issued earlier may have been removed and must be refused

    std::size_t size() const { return m_size; }
    std::uint64_t answerBytes() const { return m_answerBytes; }
    std::uint64_t evictedAnswers() const { return m_evicted; }

private:
    struct EntryKey
    {
        Key key;
        std::uint32_t organisation = 0; // index in m_organisations

        friend bool operator==(const EntryKey &, const EntryKey &) = default;
        template <typename H> friend H AbslHashValue(H h, const EntryKey &id)
        {
            return H::combine(std::move(h), id.key, id.organisation);
        }
    };
    struct Entry
    {
        std::uint64_t bodyHash = 0;
        std::uint64_t packed = 0; // state in the two highest bits; job, number of the results, or reason and effects
    };
    struct StoredResults
    {
        std::vector<std::string> results;
        std::int64_t issueMs = 0;
        std::uint64_t bytes = 0;
    };
    using Bucket = absl::flat_hash_map<EntryKey, Entry>;

    void evictOldestResults();

    std::uint32_t m_maxKeys;
    std::uint64_t m_maxAnswerBytes;
    std::int64_t m_floorMs = 0;
    std::size_t m_size = 0;
    std::uint64_t m_answerBytes = 0;
    std::uint64_t m_evicted = 0;
    std::map<std::int64_t, Bucket> m_buckets; // by issue time / bucketMs, so that keys are removed by the bucket
    std::deque<StoredResults> m_results;      // numbered from m_firstResultsNumber, in the order of completion
    std::uint64_t m_firstResultsNumber = 0;
    std::map<std::string, std::uint32_t, std::less<>> m_organisations; // index by name; entries are never removed
};

} // namespace clementinelift::core
