#include "core/configuration.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace clementinelift::core {

namespace {

constexpr std::size_t recordOverheadBytes = 128; // counted for each record and entry beside its texts

// Abseil of Debian is built for C++14 and has a string_view of its own.
absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view removePrefix(std::string_view text, std::string_view prefix)
{
    return text.substr(prefix.size());
}

std::size_t byteCount(const LogRecord &record)
{
    std::size_t bytes = recordOverheadBytes;
    if (const auto *change = std::get_if<ChangeRecord>(&record.body)) {
        bytes += change->changeId.size() + change->author.size();
        for (const ConfigEntryChange &entry : change->entries)
            bytes += recordOverheadBytes + entry.name.size() + entry.text.size();
    }
    return bytes;
}

// Upper bound of the encoded size of an entry in a snapshot.
std::size_t byteCount(const ConfigEntry &entry)
{
    return recordOverheadBytes + entry.name.size() + entry.author.size() + entry.changeId.size() + entry.text.size();
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.';
}

// Findings about the shape of a change; the texts of its entries are judged by the parser.
Findings checkShape(const ChangeRecord &change)
{
    Findings findings;
    if (change.entries.empty())
        findings.push_back({"", 0, "", "a change needs at least one entry"});
    for (auto entry = change.entries.begin(); entry != change.entries.end(); ++entry) {
        if (!isEntryName(entry->name))
            findings.push_back({entry->name, 0, "", "entry name must be template/NAME or organisation/NAME"});
        const auto sameName = [&](const ConfigEntryChange &other) { return other.name == entry->name; };
        if (std::any_of(change.entries.begin(), entry, sameName))
            findings.push_back({entry->name, 0, "", "entry occurs more than once in the change"});
    }
    return findings;
}

} // namespace

std::string_view toString(ChangeVerdict verdict)
{
    switch (verdict) {
    case ChangeVerdict::Accepted:
        return "accepted";
    case ChangeVerdict::Conflict:
        return "conflict";
    case ChangeVerdict::Invalid:
        return "invalid";
    }
    return "unknown";
}

bool isEntryName(std::string_view name)
{
    for (const std::string_view prefix : {templatePrefix, organisationPrefix}) {
        if (!name.starts_with(prefix))
            continue;
        const std::string_view rest = removePrefix(name, prefix);
        return !rest.empty() && rest.size() <= maxEntryNameBytes
                && std::all_of(rest.begin(), rest.end(), isNameCharacter);
    }
    return false;
}

// Tables --------------------------------------------------------------------------------------------

template <typename Parameters, typename Id>
std::optional<Id> Configuration::Table<Parameters, Id>::findInForce(std::string_view name) const
{
    const auto found = ids.find(toAbsl(name));
    if (found == ids.end() || !slots[raw(found->second)].inForce)
        return std::nullopt;
    return found->second;
}

template <typename Parameters, typename Id>
bool Configuration::Table<Parameters, Id>::set(std::string_view name, const Parameters *parameters)
{
    const auto found = ids.find(toAbsl(name));
    if (found == ids.end()) {
        if (!parameters)
            return false;
        ids.emplace(std::string(name), Id(slots.size()));
        slots.push_back({std::string(name), *parameters, true});
        return true;
    }
    Slot<Parameters> &slot = slots[raw(found->second)];
    const bool changed = slot.inForce || parameters;
    slot.inForce = parameters != nullptr;
    if (parameters)
        slot.parameters = *parameters;
    return changed;
}

// Fold ----------------------------------------------------------------------------------------------

Configuration::Configuration(ParseEntry parseEntry) : m_parseEntry(parseEntry)
{
    assert(parseEntry);
}

bool Configuration::apply(const LogRecord &record)
{
    assert(record.offset >= 0);
    const auto *snapshotRecord = std::get_if<SnapshotRecord>(&record.body);
    // A snapshot that claims to cover records after itself cannot have been written by a correct entry VM.
    const bool usable = snapshotRecord && snapshotRecord->nextOffset <= record.offset;
    if (usable)
        apply(*snapshotRecord);
    if (record.offset > m_nextOffset)
        return false;
    if (usable && snapshotRecord->nextOffset > m_snapshotNext) {
        m_snapshotNext = snapshotRecord->nextOffset;
        m_snapshotTimeMs = record.timeMs;
    }
    if (record.offset < m_nextOffset)
        return true;

    if (const auto *change = std::get_if<ChangeRecord>(&record.body)) {
        std::vector<ParsedEntry> parsed;
        ChangeOutcome outcome = judge(*change, record.offset, parsed);
        if (outcome.verdict == ChangeVerdict::Accepted)
            accept(*change, record.offset, parsed);
        remember(std::move(outcome));
    }
    if (m_snapshotTimeMs == 0)
        m_snapshotTimeMs = record.timeMs;
    m_nextOffset = record.offset + 1;
    keepForPeers(record);
    return true;
}

ChangeOutcome Configuration::judge(const ChangeRecord &change, std::int64_t offset,
                                   std::vector<ParsedEntry> &parsed) const
{
    ChangeOutcome outcome;
    outcome.changeId = change.changeId;
    outcome.author = change.author;
    outcome.offset = offset;
    for (const ConfigEntryChange &changed : change.entries) {
        const ConfigEntry *current = entry(changed.name);
        if (changed.baseVersion == (current ? current->version : 0))
            continue;
        outcome.verdict = ChangeVerdict::Conflict;
        outcome.conflictEntry = changed.name;
        if (current) {
            outcome.conflictAuthor = current->author;
            outcome.conflictChange = current->changeId;
            outcome.conflictVersion = current->version;
        }
        return outcome;
    }

    outcome.findings = checkShape(change);
    if (const std::size_t bytes = stateBytesAfter(change); bytes > stateByteLimit)
        outcome.findings.push_back(
                {"", 0, "",
                 absl::StrCat("all entries together would have ", bytes, " bytes, ", stateByteLimit, " are allowed")});
    for (const ConfigEntryChange &changed : change.entries) {
        if (changed.text.empty() || !isEntryName(changed.name)) {
            parsed.emplace_back(); // not used
            continue;
        }
        auto result = m_parseEntry(changed.name, changed.text);
        if (result)
            parsed.push_back(std::move(*result));
        else
            outcome.findings.insert(outcome.findings.end(), result.error().begin(), result.error().end());
    }
    if (!outcome.findings.empty())
        outcome.verdict = ChangeVerdict::Invalid;
    if (outcome.findings.size() > findingLimit)
        outcome.findings.resize(findingLimit);
    return outcome;
}

std::size_t Configuration::stateBytesAfter(const ChangeRecord &change) const
{
    std::size_t bytes = m_stateBytes;
    for (const ConfigEntryChange &changed : change.entries) {
        const ConfigEntry *current = entry(changed.name);
        bytes += byteCount(ConfigEntry{changed.name, 0, change.author, change.changeId, changed.text});
        bytes -= current ? byteCount(*current) : 0;
    }
    return bytes;
}

void Configuration::accept(const ChangeRecord &change, std::int64_t offset, const std::vector<ParsedEntry> &parsed)
{
    assert(parsed.size() == change.entries.size());
    m_stateBytes = stateBytesAfter(change);
    for (std::size_t i = 0; i < change.entries.size(); ++i) {
        const ConfigEntryChange &changed = change.entries[i];
        assert(offset + 1 > changed.baseVersion);
        m_entries[changed.name] = {changed.name, offset + 1, change.author, change.changeId, changed.text};
        setParameters(changed.name, changed.text.empty() ? nullptr : &parsed[i]);
    }
}

void Configuration::setParameters(std::string_view name, const ParsedEntry *parsed)
{
    const bool changed = name.starts_with(templatePrefix)
            ? m_templates.set(removePrefix(name, templatePrefix),
                              parsed ? std::get_if<TemplateParameters>(parsed) : nullptr)
            : m_organisations.set(removePrefix(name, organisationPrefix),
                                  parsed ? std::get_if<OrganisationParameters>(parsed) : nullptr);
    if (changed)
        ++m_generation;
}

void Configuration::remember(ChangeOutcome &&outcome)
{
    m_history.push_back(std::move(outcome));
    if (m_history.size() > historyLimit)
        m_history.pop_front();
}

// Snapshots -----------------------------------------------------------------------------------------

bool Configuration::contradicts(const SnapshotRecord &snapshot) const
{
    absl::flat_hash_map<std::string, std::int64_t> versions;
    for (const ConfigEntry &entry : snapshot.entries) {
        const bool isBounded = entry.version > 0 && entry.version <= snapshot.nextOffset;
        if (!isBounded || !isEntryName(entry.name) || !versions.emplace(entry.name, entry.version).second)
            return true;
    }
    // Entries are never removed and versions never fall, so a later state contains every entry of this one.
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        const auto found = versions.find(item.first);
        return found == versions.end() || found->second < item.second.version;
    });
}

bool Configuration::apply(const SnapshotRecord &snapshot)
{
    if (snapshot.nextOffset <= m_nextOffset || contradicts(snapshot))
        return false;
    m_stateBytes = 0;
    for (const ConfigEntry &entry : snapshot.entries) {
        m_stateBytes += byteCount(entry);
        ConfigEntry &current = m_entries[entry.name];
        if (current.version == entry.version)
            continue;
        current = entry;
        std::optional<ParsedEntry> parsed;
        if (!entry.text.empty()) {
            if (auto result = m_parseEntry(entry.name, entry.text))
                parsed = std::move(*result);
        }
        setParameters(entry.name, parsed ? &*parsed : nullptr);
    }
    m_nextOffset = snapshot.nextOffset;
    m_known = true;
    m_recent.clear();
    m_recentBytes = 0;
    return true;
}

SnapshotRecord Configuration::snapshot() const
{
    SnapshotRecord snapshot;
    snapshot.nextOffset = m_nextOffset;
    snapshot.entries.reserve(m_entries.size());
    for (const auto &[name, entry] : m_entries)
        snapshot.entries.push_back(entry);
    return snapshot;
}

std::uint32_t Configuration::recordsSinceSnapshot() const
{
    return static_cast<std::uint32_t>(std::min<std::int64_t>(m_nextOffset - m_snapshotNext, UINT32_MAX));
}

std::int64_t Configuration::snapshotTimeMs() const
{
    return m_snapshotTimeMs;
}

// Records for peers ---------------------------------------------------------------------------------

void Configuration::keepForPeers(const LogRecord &record)
{
    if (std::holds_alternative<ChangeRecord>(record.body))
        m_recent.push_back(record);
    else
        m_recent.push_back({record.offset, record.timeMs, SnapshotRecord{}});
    m_recentBytes += byteCount(m_recent.back());
    while (m_recent.size() > recentRecordLimit || m_recentBytes > recentByteLimit) {
        m_recentBytes -= byteCount(m_recent.front());
        m_recent.pop_front();
    }
}

ConfigRecords Configuration::recordsFrom(std::int64_t nextOffset) const
{
    ConfigRecords answer;
    answer.nextOffset = m_nextOffset;
    if (!m_known || nextOffset >= m_nextOffset)
        return answer;
    if (m_recent.empty() || nextOffset < m_recent.front().offset) {
        answer.snapshot = snapshot();
        return answer;
    }
    std::size_t bytes = 0;
    for (std::size_t i = nextOffset - m_recent.front().offset; i < m_recent.size(); ++i) {
        bytes += byteCount(m_recent[i]);
        if (bytes > answerByteLimit && !answer.records.empty())
            break;
        answer.records.push_back(m_recent[i]);
    }
    return answer;
}

// Look-up -------------------------------------------------------------------------------------------

std::int64_t Configuration::nextOffset() const
{
    return m_nextOffset;
}

bool Configuration::isLoaded() const
{
    return m_known;
}

void Configuration::markLoaded()
{
    m_known = true;
}

std::uint64_t Configuration::generation() const
{
    return m_generation;
}

std::optional<TemplateId> Configuration::findTemplate(std::string_view name) const
{
    return m_templates.findInForce(name);
}

std::optional<OrganisationId> Configuration::findOrganisation(std::string_view name) const
{
    return m_organisations.findInForce(name);
}

const TemplateParameters &Configuration::parameters(TemplateId id) const
{
    assert(raw(id) < m_templates.slots.size());
    return m_templates.slots[raw(id)].parameters;
}

const OrganisationParameters &Configuration::parameters(OrganisationId id) const
{
    assert(raw(id) < m_organisations.slots.size());
    return m_organisations.slots[raw(id)].parameters;
}

std::string_view Configuration::name(TemplateId id) const
{
    assert(raw(id) < m_templates.slots.size());
    return m_templates.slots[raw(id)].name;
}

std::string_view Configuration::name(OrganisationId id) const
{
    assert(raw(id) < m_organisations.slots.size());
    return m_organisations.slots[raw(id)].name;
}

bool Configuration::isInForce(TemplateId id) const
{
    assert(raw(id) < m_templates.slots.size());
    return m_templates.slots[raw(id)].inForce;
}

bool Configuration::isInForce(OrganisationId id) const
{
    assert(raw(id) < m_organisations.slots.size());
    return m_organisations.slots[raw(id)].inForce;
}

std::size_t Configuration::templateCount() const
{
    return m_templates.slots.size();
}

std::size_t Configuration::organisationCount() const
{
    return m_organisations.slots.size();
}

const ConfigEntry *Configuration::entry(std::string_view name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<const ConfigEntry *> Configuration::entries() const
{
    std::vector<const ConfigEntry *> entries;
    entries.reserve(m_entries.size());
    for (const auto &[name, entry] : m_entries)
        entries.push_back(&entry);
    return entries;
}

const std::deque<ChangeOutcome> &Configuration::history() const
{
    return m_history;
}

const ChangeOutcome *Configuration::outcome(std::string_view changeId) const
{
    const ChangeOutcome *first = nullptr;
    for (const ChangeOutcome &outcome : m_history) {
        if (outcome.changeId != changeId)
            continue;
        if (outcome.verdict == ChangeVerdict::Accepted)
            return &outcome;
        if (!first)
            first = &outcome;
    }
    return first;
}

} // namespace clementinelift::core
