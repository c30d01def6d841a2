#include "core/dedupe.h"

#include <cassert>

namespace clementinelift::core {

namespace {

constexpr std::int64_t bucketMs = 60000;
constexpr unsigned stateShift = 62;
constexpr std::uint64_t valueMask = (std::uint64_t(1) << stateShift) - 1;
constexpr unsigned effectsShift = 8;
constexpr std::uint64_t storedOverheadBytes = 64; // per job: StoredResults and allocator overhead

std::uint64_t pack(KeyState state, std::uint64_t value)
{
    assert((value & ~valueMask) == 0);
    return static_cast<std::uint64_t>(state) << stateShift | value;
}

KeyState stateOf(std::uint64_t packed)
{
    return static_cast<KeyState>(packed >> stateShift);
}

std::uint64_t sizeOf(const std::vector<std::string> &results)
{
    std::uint64_t bytes = storedOverheadBytes + results.size() * sizeof(std::string);
    for (const std::string &result : results)
        bytes += result.capacity();
    return bytes;
}

} // namespace

DedupeTable::DedupeTable(std::uint32_t maxKeys, std::uint64_t maxAnswerBytes)
    : m_maxKeys(maxKeys), m_maxAnswerBytes(maxAnswerBytes)
{}

KeyLookup DedupeTable::find(std::string_view organisation, const Key &key) const
{
    const auto index = m_organisations.find(organisation);
    if (index == m_organisations.end())
        return {};
    const auto bucket = m_buckets.find(issueTimeMs(key) / bucketMs);
    if (bucket == m_buckets.end())
        return {};
    const auto entry = bucket->second.find(EntryKey{key, index->second});
    if (entry == bucket->second.end())
        return {};

    KeyLookup found{.state = stateOf(entry->second.packed), .bodyHash = entry->second.bodyHash};
    const std::uint64_t value = entry->second.packed & valueMask;
    if (found.state == KeyState::Running) {
        found.job = JobId(value);
    } else if (found.state == KeyState::Failed) {
        found.reason = static_cast<Reason>(value & 0xff);
        found.effects = static_cast<Effects>(value >> effectsShift);
    } else if (value >= m_firstResultsNumber) {
        found.results = &m_results[value - m_firstResultsNumber].results;
    }
    return found;
}

void DedupeTable::add(std::string_view organisation, const Key &key, std::uint64_t bodyHash, JobId job)
{
    assert(!isFull());
    assert(issueTimeMs(key) >= m_floorMs);
    const auto next = static_cast<std::uint32_t>(m_organisations.size());
    const std::uint32_t index = m_organisations.try_emplace(std::string(organisation), next).first->second;
    Bucket &bucket = m_buckets[issueTimeMs(key) / bucketMs];
    const bool added =
            bucket.try_emplace(EntryKey{key, index}, Entry{bodyHash, pack(KeyState::Running, raw(job))}).second;
    assert(added);
    m_size += added ? 1 : 0;
}

void DedupeTable::storeAnswer(std::string_view organisation, const Key &key, Answer &&answer)
{
    assert(answer.kind == AnswerKind::Complete || answer.kind == AnswerKind::Failed);
    const auto index = m_organisations.find(organisation);
    const auto bucket = m_buckets.find(issueTimeMs(key) / bucketMs);
    if (index == m_organisations.end() || bucket == m_buckets.end())
        return;
    const auto entry = bucket->second.find(EntryKey{key, index->second});
    if (entry == bucket->second.end())
        return;
    assert(stateOf(entry->second.packed) == KeyState::Running);

    if (answer.kind == AnswerKind::Failed) {
        const std::uint64_t effects = static_cast<std::uint64_t>(answer.effects) << effectsShift;
        entry->second.packed = pack(KeyState::Failed, effects | static_cast<std::uint64_t>(answer.reason));
        return;
    }
    entry->second.packed = pack(KeyState::Complete, m_firstResultsNumber + m_results.size());
    const std::uint64_t bytes = sizeOf(answer.results);
    m_results.push_back({std::move(answer.results), issueTimeMs(key), bytes});
    m_answerBytes += bytes;
    while (m_answerBytes > m_maxAnswerBytes) {
        evictOldestResults();
        ++m_evicted;
    }
}

void DedupeTable::raiseFloor(std::int64_t floorMs)
{
    if (floorMs <= m_floorMs)
        return;
    m_floorMs = floorMs;
    while (!m_buckets.empty() && (m_buckets.begin()->first + 1) * bucketMs <= floorMs) {
        m_size -= m_buckets.begin()->second.size();
        m_buckets.erase(m_buckets.begin());
    }
    while (!m_results.empty() && m_results.front().issueMs < floorMs)
        evictOldestResults();
}

void DedupeTable::evictOldestResults()
{
    m_answerBytes -= m_results.front().bytes;
    m_results.pop_front();
    ++m_firstResultsNumber;
}

} // namespace clementinelift::core
