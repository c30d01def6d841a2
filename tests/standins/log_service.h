// Simulated log service of the platform, without HTTP: named streams of records, as in docs/protocols.md section 4.
//
// Contents
//   Options      limits that do not change during a run
//   Results      content of the HTTP answers
//   LogService   appends, reads and faults; the caller passes the time to each call
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelift::standins {

// Options -------------------------------------------------------------------------------------------

struct LogOptions
{
    double appendsPerS = 400;            // append limit over all streams
    std::int64_t syncUs = 4'000;         // from the append to its answer
    std::int64_t retentionMs = 3600'000; // older records are dropped
    std::uint64_t seed = 1;              // decides which answers are lost
};

// Results -------------------------------------------------------------------------------------------

enum class AppendStatus : std::uint8_t { Appended, OverLimit, Outage };

struct AppendResult
{
    AppendStatus status = AppendStatus::Outage;
    std::int64_t offset = -1; // of Appended
    std::int64_t readyUs = 0; // from this time on the record is synced and readable
    bool answerLost = false;  // of Appended: the answer must not be sent to the appender
};

struct StoredRecord
{
    std::int64_t offset = 0;
    std::int64_t timeMs = 0; // wall clock at the append
    std::string data;        // opaque bytes
};

struct ReadResult
{
    std::int64_t firstAvailable = 0;
    std::int64_t end = 0; // offset after the last synced record
    std::vector<StoredRecord> records;
};

struct LogCounts
{
    std::uint64_t appended = 0;
    std::uint64_t overLimit = 0;
    std::uint64_t refusedInOutage = 0; // appends and reads
    std::uint64_t answersLost = 0;
    std::uint64_t reads = 0;
};

// LogService ----------------------------------------------------------------------------------------

class LogService
{
public:
    explicit LogService(const LogOptions &options);

    AppendResult append(std::string_view stream, std::string_view data, std::int64_t nowUs, std::int64_t wallMs);

    // Returns at most max synced records from offset from on, or nullopt during an outage.
    std::optional<ReadResult> read(std::string_view stream, std::int64_t from, std::size_t max, std::int64_t nowUs,
                                   std::int64_t wallMs);

    // True when read() would return a record at or after from.
    bool hasRecord(std::string_view stream, std::int64_t from, std::int64_t nowUs) const;

    void beginOutage(std::int64_t untilUs) { m_outageUntilUs = untilUs; }
    bool isInOutage(std::int64_t nowUs) const { return nowUs < m_outageUntilUs; }
    void loseAnswers(double share, std::int64_t untilUs);
    void changeSyncTime(std::int64_t syncUs) { m_options.syncUs = syncUs; }

    const LogCounts &counts() const { return m_counts; }

private:
    struct Entry
    {
        StoredRecord record;
        std::int64_t readyUs = 0;
    };
    struct Stream
    {
        std::deque<Entry> entries;
        std::int64_t nextOffset = 0;
        std::int64_t lastReadyUs = 0;
    };

    bool takeAppendToken(std::int64_t nowUs);
    void dropOldRecords(Stream &stream, std::int64_t wallMs) const;

    LogOptions m_options;
    std::map<std::string, Stream, std::less<>> m_streams;
    std::mt19937_64 m_random;
    double m_tokens = 0;
    std::int64_t m_tokensAtUs = 0;
    std::int64_t m_outageUntilUs = 0;
    double m_lostShare = 0;
    std::int64_t m_lostUntilUs = 0;
    LogCounts m_counts;
};

} // namespace clementinelift::standins
