// Accepted templates and organisation parameters: a pure function of the records in the log stream "config".
//
// Contents
//   Verdict         what became of one change
//   Configuration   fold of changes and snapshots, look-up of parameters, records for peers
#pragma once

#include "core/messages.h"
#include "core/parameters.h"

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace clementinelift::core {

enum class ChangeVerdict : std::uint8_t { Accepted, Conflict, Invalid };

// What became of one change, kept for operators in a bounded history.
struct ChangeOutcome
{
    std::string changeId;
    std::string author;
    std::int64_t offset = 0;
    ChangeVerdict verdict = ChangeVerdict::Accepted;
    std::string conflictEntry;  // Conflict: first entry with another version
    std::string conflictAuthor; // Conflict: who set that version
    std::int64_t conflictVersion = 0;
    Findings findings; // Invalid
};

class Configuration
{
public:
    explicit Configuration(ParseEntry parseEntry);

    // Applies the record at the next offset. Records below nextOffset() are ignored, a gap is refused (false).
    // Every entry VM judges a record by the same rule: based on current versions and valid, or rejected as a whole.
    bool apply(const LogRecord &record);

    // Replaces the state when the snapshot covers more than nextOffset(); otherwise does nothing (false).
    bool apply(const SnapshotRecord &snapshot);

    std::int64_t nextOffset() const;  // all records below are applied; never falls
    bool isKnown() const;             // a snapshot, or the stream from its start, was applied
    void markKnown();                 // the stream was read from offset 0 or is empty
    std::uint64_t generation() const; // changes whenever a parameter changes

    std::optional<TemplateId> findTemplate(std::string_view name) const;
    std::optional<OrganisationId> findOrganisation(std::string_view name) const;
    const TemplateParameters &parameters(TemplateId id) const;
    const OrganisationParameters &parameters(OrganisationId id) const;
    std::string_view name(TemplateId id) const;
    std::string_view name(OrganisationId id) const;
    bool isInForce(TemplateId id) const; // false after a deletion; ids are never reused
    bool isInForce(OrganisationId id) const;
    std::size_t templateCount() const; // ids are 0 .. count - 1
    std::size_t organisationCount() const;

    SnapshotRecord snapshot() const;
    const ConfigEntry *entry(std::string_view name) const; // null: never existed
    std::vector<const ConfigEntry *> entries() const;      // ascending by name
    const std::deque<ChangeOutcome> &history() const;      // newest last, bounded
    const ChangeOutcome *outcome(std::string_view changeId) const;

    // Everything a peer needs to continue at nextOffset.
    ConfigRecords recordsFrom(std::int64_t nextOffset) const;
    std::uint32_t recordsSinceSnapshot() const;
};

} // namespace clementinelift::core
