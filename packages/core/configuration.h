// Accepted templates and organisation parameters: a pure function of the records in the log stream "config".
//
// Contents
//   ChangeOutcome   what became of one change
//   Configuration   fold of changes and snapshots, look-up of parameters, records for peers
//
// Booting from a log whose old records were dropped: apply() every record that can be read, in order. Records before
// the newest usable snapshot are refused as gaps, the snapshot jumps ahead. If nextOffset() is then below the end of
// the log, read again from nextOffset().
#pragma once

#include "core/messages.h"
#include "core/parameters.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>

namespace clementinelift::core {

// ChangeOutcome -------------------------------------------------------------------------------------

enum class ChangeVerdict : std::uint8_t { Accepted, Conflict, Invalid };

// What became of one change, kept for operators in a bounded history.
struct ChangeOutcome
{
    std::string changeId;
    std::string author;
    std::int64_t offset = 0;
    ChangeVerdict verdict = ChangeVerdict::Accepted;
    std::string conflictEntry;  // Conflict: first entry with another version
    std::string conflictAuthor; // Conflict: who set that version, empty: the entry does not exist
    std::string conflictChange; // Conflict: id of the change that set that version
    std::int64_t conflictVersion = 0;
    Findings findings; // Invalid
};

// "accepted", "conflict" or "invalid".
std::string_view toString(ChangeVerdict verdict);

// True for "template/NAME" and "organisation/NAME" where NAME has 1 to maxEntryNameBytes letters, digits, '-', '_',
// '.'.
bool isEntryName(std::string_view name);
constexpr std::size_t maxEntryNameBytes = 32; // of NAME

constexpr std::string_view templatePrefix = "template/";
constexpr std::string_view organisationPrefix = "organisation/";

// Configuration -------------------------------------------------------------------------------------

class Configuration
{
public:
    static constexpr std::size_t historyLimit = 256;                       // outcomes kept
    static constexpr std::size_t findingLimit = 20;                        // kept of one outcome
    static constexpr std::size_t recentRecordLimit = 2048;                 // records kept for peers
    static constexpr std::size_t recentByteLimit = std::size_t{4} << 20;   // of these records
    static constexpr std::size_t answerByteLimit = std::size_t{256} << 10; // of the records in one answer to a peer

    // Of all entries, deleted ones included. A change beyond it is invalid, so that a snapshot fits into a message.
    static constexpr std::size_t stateByteLimit = std::size_t{4} << 20;

    // parseEntry must be a pure function, it decides which changes are valid.
    explicit Configuration(ParseEntry parseEntry);

    // Applies the record at the next offset. Records below nextOffset() are ignored, a gap is refused (false).
    // Every entry VM judges a record by the same rule: based on current versions and valid, or rejected as a whole.
    // A snapshot record may jump ahead to the offset that it covers, which is at most its own.
    bool apply(const LogRecord &record);

    // Replaces the state when the snapshot covers more than nextOffset() and contradicts nothing that is applied;
    // otherwise does nothing (false). An entry that does not parse is kept with its version but is not in force.
    bool apply(const SnapshotRecord &snapshot);

    std::int64_t nextOffset() const;  // all records below are applied; never falls
    bool isLoaded() const;            // a snapshot was applied or markLoaded() called
    void markLoaded();                // the stream was read from offset 0 to its end, or is empty
    std::uint64_t generation() const; // rises whenever a parameter changes

    // In force only; a deleted entry that is created again gets its old id back, no other name ever does.
    std::optional<TemplateId> findTemplate(std::string_view name) const;
    std::optional<OrganisationId> findOrganisation(std::string_view name) const;
    const TemplateParameters &parameters(TemplateId id) const; // the last ones after a deletion
    const OrganisationParameters &parameters(OrganisationId id) const;
    std::string_view name(TemplateId id) const;
    std::string_view name(OrganisationId id) const;
    bool isInForce(TemplateId id) const; // false after a deletion; ids are never reused
    bool isInForce(OrganisationId id) const;
    std::size_t templateCount() const; // ids are 0 .. count - 1
    std::size_t organisationCount() const;

    SnapshotRecord snapshot() const;
    const ConfigEntry *entry(std::string_view name) const; // null: never existed
    std::vector<const ConfigEntry *> entries() const;      // ascending by name, deleted ones included
    const std::deque<ChangeOutcome> &history() const;      // newest last, bounded

    // Null: not in the history. When a change was appended twice, the accepted outcome is returned.
    const ChangeOutcome *outcome(std::string_view changeId) const;

    // What a peer needs after nextOffset: records without gaps, or a snapshot when these are not kept any more.
    // Snapshot records are relayed as empty place holders. Bounded by answerByteLimit; the peer asks again while its
    // nextOffset() is below that of the answer. Empty while isLoaded() is false.
    ConfigRecords recordsFrom(std::int64_t nextOffset) const;

    std::uint32_t recordsSinceSnapshot() const; // records applied after those covered by the newest snapshot of the log
    std::int64_t snapshotTimeMs() const; // log time of the newest snapshot, without one of the first record; 0: none

private:
    template <typename Parameters> struct Slot
    {
        std::string name;
        Parameters parameters;
        bool inForce = false;
    };
    template <typename Parameters, typename Id> struct Table
    {
        std::vector<Slot<Parameters>> slots; // by id
        absl::flat_hash_map<std::string, Id> ids;

        std::optional<Id> findInForce(std::string_view name) const;
        bool set(std::string_view name, const Parameters *parameters); // null: not in force; true when changed
    };

    ChangeOutcome judge(const ChangeRecord &change, std::int64_t offset, std::vector<ParsedEntry> &parsed) const;
    void accept(const ChangeRecord &change, std::int64_t offset, const std::vector<ParsedEntry> &parsed);
    std::size_t stateBytesAfter(const ChangeRecord &change) const;
    void setParameters(std::string_view name, const ParsedEntry *parsed);
    void remember(ChangeOutcome &&outcome);
    void keepForPeers(const LogRecord &record);
    bool contradicts(const SnapshotRecord &snapshot) const;

    ParseEntry m_parseEntry;
    std::int64_t m_nextOffset = 0;
    bool m_known = false;
    std::uint64_t m_generation = 0;
    std::map<std::string, ConfigEntry, std::less<>> m_entries;
    std::size_t m_stateBytes = 0;
    Table<TemplateParameters, TemplateId> m_templates;
    Table<OrganisationParameters, OrganisationId> m_organisations;
    std::deque<ChangeOutcome> m_history;
    std::deque<LogRecord> m_recent; // ends at m_nextOffset, without gaps
    std::size_t m_recentBytes = 0;
    std::int64_t m_snapshotNext = 0; // covered by the newest snapshot of the log
    std::int64_t m_snapshotTimeMs = 0;
};

} // namespace clementinelift::core
