// Keys that this entry VM has accepted, and the answers of their jobs.
//
// A key stays remembered until its issue time falls below the dedupe horizon; the table never evicts a started key
// earlier, it becomes full instead. Stored results may be evicted early, oldest first, when they exceed their bound.
//
// Contents
//   Remembered     what is known of one key
//   DedupeTable    keys by (organisation, key), results by number
#pragma once

#include "core/types.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>

namespace clementinelift::core {

// Remembered ----------------------------------------------------------------------------------------

enum class KeyState : std::uint8_t {
    Absent,   // never accepted here
    Running,  // job is set
    Complete, // results is set, or null when they were evicted
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

    // Replaces the running job of a key by its answer, Complete or Failed. Does nothing when the key is forgotten.
    void storeAnswer(std::string_view organisation, const Key &key, Answer &&answer);

    // Forgets keys issued below floorMs, in steps of bucketMs. The floor never falls.
    void raiseFloor(std::int64_t floorMs);
    std::int64_t floorMs() const { return m_floorMs; } // keys below must be refused, they may be forgotten

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
    std::map<std::int64_t, Bucket> m_buckets; // by issue time / bucketMs, so that a whole bucket is forgotten at once
    std::deque<StoredResults> m_results;      // numbers m_firstResultsNumber .., in the order of the ends of their jobs
    std::uint64_t m_firstResultsNumber = 0;
    std::map<std::string, std::uint32_t, std::less<>> m_organisations; // of accepted keys, also after their deletion
};

} // namespace clementinelift::core
