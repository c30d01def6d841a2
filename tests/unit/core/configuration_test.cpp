#include "core/configuration.h"

#include "config/entries.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace clementinelift;
using namespace clementinelift::core;

namespace {

LogRecord makeChange(std::int64_t offset, std::string id, std::vector<ConfigEntryChange> entries)
{
    return {offset, 1000 + offset, ChangeRecord{std::move(id), "anna", std::move(entries)}};
}

// Oracle --------------------------------------------------------------------------------------------

struct ExpectedEntry
{
    std::int64_t version = 0;
    std::string text;

    friend bool operator==(const ExpectedEntry &, const ExpectedEntry &) = default;
};
using ExpectedState = std::map<std::string, ExpectedEntry>;

// Stores the expected entries for every prefix of the log.
class Oracle
{
public:
    const ExpectedState &after(std::int64_t offset) const { return m_states.at(offset); }

    void append(const LogRecord &record)
    {
        ExpectedState state = m_states.back();
        if (const auto *change = std::get_if<ChangeRecord>(&record.body)) {
            bool isAccepted = true;
            for (const ConfigEntryChange &entry : change->entries)
                isAccepted &=
                        state[entry.name].version == entry.baseVersion && entry.text.find("bad") == std::string::npos;
            for (const ConfigEntryChange &entry : change->entries) {
                if (isAccepted)
                    state[entry.name] = {record.offset + 1, entry.text};
            }
            std::erase_if(state, [](const auto &item) { return item.second.version == 0; });
        }
        m_states.push_back(std::move(state));
    }

private:
    std::vector<ExpectedState> m_states{{}}; // by count of records
};

// Fleet ---------------------------------------------------------------------------------------------

enum class Operation : std::uint8_t { Publish, AppendAgain, Read, Ask, Deliver, Snapshot, Restart, Drop, Count };

struct Command
{
    Operation operation = Operation::Read;
    std::uint32_t node = 0;
    std::uint32_t choice = 0; // selects the details of the operation
};

std::ostream &operator<<(std::ostream &stream, const Command &command)
{
    return stream << static_cast<int>(command.operation) << ":" << command.node << ":" << command.choice;
}

constexpr std::size_t nodeCount = 4;
const std::array<std::string, 5> entryNames = {"template/a", "template/b", "organisation/a", "organisation/b",
                                               "organisation/c"};

// Simulates entry VMs that read the log, restart, and exchange records in any order, with duplicates and old answers.
template <typename Variant> class Fleet
{
public:
    // Returns the first violation; empty when all entry VMs agreed with the oracle.
    std::string run(const std::vector<Command> &commands)
    {
        for (const Command &command : commands) {
            execute(command);
            if (std::string violation = check(); !violation.empty())
                return violation;
        }
        for (std::size_t node = 0; node < nodeCount; ++node)
            readToEnd(node);
        if (std::string violation = check(); !violation.empty())
            return violation;
        for (const Variant &variant : m_nodes) {
            if (variant.nextOffset() != end())
                return "an entry VM did not reach the end of the log";
        }
        return {};
    }

private:
    std::int64_t end() const { return static_cast<std::int64_t>(m_log.size()); }

    void append(LogBody body)
    {
        m_log.push_back({end(), 1000 + end(), std::move(body)});
        m_oracle.append(m_log.back());
    }

    void execute(const Command &command)
    {
        Variant &node = m_nodes[command.node];
        switch (command.operation) {
        case Operation::Publish:
            publish(node, command.choice);
            break;
        case Operation::AppendAgain:
            if (!m_log.empty())
                append(LogBody(m_log[command.choice % m_log.size()].body));
            break;
        case Operation::Read:
            read(command.node, command.choice % 8);
            break;
        case Operation::Ask:
            m_messages.push_back(m_nodes[command.choice % nodeCount].recordsFrom(node.nextOffset()));
            break;
        case Operation::Deliver:
            if (!m_messages.empty())
                deliver(node, m_messages[command.choice % m_messages.size()]);
            break;
        case Operation::Snapshot:
            append(node.snapshot());
            break;
        case Operation::Restart:
            node = Variant(config::parseEntry);
            m_lastOffsets[command.node] = 0;
            break;
        case Operation::Drop:
            drop();
            break;
        case Operation::Count:
            break;
        }
    }

    // An operator changes one or two entries, based on the versions that this entry VM has.
    void publish(const Variant &node, std::uint32_t choice)
    {
        ChangeRecord change{std::to_string(end()), "anna", {}};
        for (std::uint32_t i = 0; i <= choice % 2; ++i) {
            const std::string &name = entryNames[(choice / 2 + i) % entryNames.size()];
            const ConfigEntry *entry = node.entry(name);
            const std::string value = choice % 13 == 0 ? "bad" : std::to_string(choice % 9);
            const std::string text = choice % 7 == 0 ? "" : "priority = " + value;
            change.entries.push_back({name, entry ? entry->version : 0, text});
        }
        append(std::move(change));
    }

    void read(std::size_t node, std::size_t count)
    {
        const auto from = std::max<std::int64_t>(m_nodes[node].nextOffset(), m_firstAvailable);
        for (auto offset = from; offset < end() && offset < from + static_cast<std::int64_t>(count); ++offset)
            m_nodes[node].apply(m_log[offset]);
    }

    static void deliver(Variant &node, const ConfigRecords &answer)
    {
        if (answer.snapshot)
            node.apply(*answer.snapshot);
        for (const LogRecord &record : answer.records)
            node.apply(record);
    }

    // The log service drops the records that the newest snapshot covers.
    void drop()
    {
        for (const LogRecord &record : m_log) {
            if (const auto *snapshot = std::get_if<SnapshotRecord>(&record.body))
                m_firstAvailable = std::max(m_firstAvailable, snapshot->nextOffset);
        }
    }

    // The second pass reads the records from the snapshot's nextOffset up to the snapshot record.
    void readToEnd(std::size_t node)
    {
        read(node, m_log.size());
        read(node, m_log.size());
    }

    std::string check()
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (m_nodes[i].nextOffset() < m_lastOffsets[i])
                return "the applied offset fell";
            m_lastOffsets[i] = m_nodes[i].nextOffset();
            if (std::string violation = compare(m_nodes[i], m_oracle.after(m_lastOffsets[i])); !violation.empty())
                return violation;
            if (!canContinue(m_nodes[i], m_lastOffsets[(i + 1) % nodeCount]))
                return "the answer to a peer does not continue at its offset";
        }
        return {};
    }

    static bool canContinue(const Variant &node, std::int64_t offset)
    {
        if (!node.isLoaded() || offset >= node.nextOffset())
            return true;
        const ConfigRecords answer = node.recordsFrom(offset);
        if (answer.snapshot)
            return answer.snapshot->nextOffset == node.nextOffset();
        return !answer.records.empty() && answer.records.front().offset == offset;
    }

    static std::string compare(const Variant &node, const ExpectedState &expected)
    {
        ExpectedState actual;
        for (const ConfigEntry *entry : node.entries())
            actual[entry->name] = {entry->version, entry->text};
        if (actual != expected)
            return "entries differ from the accepted order";
        for (const auto &[name, entry] : expected) {
            const bool isTemplate = name.starts_with(templatePrefix);
            const auto templateId = node.findTemplate(name.substr(name.find('/') + 1));
            const auto organisationId = node.findOrganisation(name.substr(name.find('/') + 1));
            if ((isTemplate ? templateId.has_value() : organisationId.has_value()) == entry.text.empty())
                return "an entry is in force although it was deleted, or the other way round";
            if (entry.text.empty())
                continue;
            const std::uint32_t priority =
                    isTemplate ? node.parameters(*templateId).priority : node.parameters(*organisationId).priority;
            if (entry.text != "priority = " + std::to_string(priority))
                return "parameters differ from the accepted text";
        }
        return {};
    }

    std::vector<Variant> m_nodes = std::vector<Variant>(nodeCount, makeLoaded());
    std::array<std::int64_t, nodeCount> m_lastOffsets{};
    std::vector<LogRecord> m_log;
    std::int64_t m_firstAvailable = 0;
    std::vector<ConfigRecords> m_messages;
    Oracle m_oracle;

    static Variant makeLoaded()
    {
        Variant variant(config::parseEntry);
        variant.markLoaded();
        return variant;
    }
};

// Broken variants -----------------------------------------------------------------------------------

// Accepts every valid change, whatever its base version.
struct IgnoresBaseVersions : Configuration
{
    using Configuration::apply;
    using Configuration::Configuration;

    bool apply(const LogRecord &original)
    {
        LogRecord record = original;
        if (auto *change = std::get_if<ChangeRecord>(&record.body)) {
            for (ConfigEntryChange &changed : change->entries)
                changed.baseVersion = entry(changed.name) ? entry(changed.name)->version : 0;
        }
        return Configuration::apply(record);
    }
};

// Applies every snapshot that a peer sends, older ones included.
struct AppliesOldSnapshots : Configuration
{
    using Configuration::apply;
    using Configuration::Configuration;

    bool apply(const SnapshotRecord &snapshot)
    {
        Configuration fresh(config::parseEntry);
        const bool isApplied = fresh.apply(snapshot);
        if (isApplied)
            static_cast<Configuration &>(*this) = fresh;
        return isApplied;
    }
};

// Applies the next record even if records before it are missing.
struct IgnoresGaps : Configuration
{
    using Configuration::apply;
    using Configuration::Configuration;

    bool apply(const LogRecord &original)
    {
        LogRecord record = original;
        record.offset = std::min(record.offset, nextOffset());
        return Configuration::apply(record);
    }
};

template <typename Variant> std::uint32_t runsUntilViolation()
{
    constexpr std::uint32_t maxRuns = 500;
    std::mt19937_64 random(20261204);
    for (std::uint32_t run = 1; run <= maxRuns; ++run) {
        std::vector<Command> commands(100);
        for (Command &command : commands)
            command = {static_cast<Operation>(random() % static_cast<std::uint64_t>(Operation::Count)),
                       static_cast<std::uint32_t>(random() % nodeCount), static_cast<std::uint32_t>(random() % 1000)};
        if (!Fleet<Variant>().run(commands).empty())
            return run;
    }
    return 0;
}

rc::Gen<std::vector<Command>> generateCommands()
{
    const auto command = rc::gen::map(
            rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(Operation::Count)),
                           rc::gen::inRange<std::uint32_t>(0, nodeCount), rc::gen::inRange<std::uint32_t>(0, 1000)),
            [](const std::tuple<int, std::uint32_t, std::uint32_t> &parts) {
                return Command{static_cast<Operation>(std::get<0>(parts)), std::get<1>(parts), std::get<2>(parts)};
            });
    return rc::gen::container<std::vector<Command>>(command);
}

} // namespace

// Guards G8: an accepted change is in force everywhere and never reverts.
TEST_CASE("all entry VMs follow the accepted order")
{
    CHECK(rc::check("entries equal the oracle's after every step", [] {
        const auto commands = *rc::gen::resize(200, generateCommands());
        const std::string violation = Fleet<Configuration>().run(commands);
        if (!violation.empty())
            RC_FAIL(violation);
    }));
    CHECK(runsUntilViolation<Configuration>() == 0);
}

// Guards against an oracle that accepts any behaviour.
TEST_CASE("the oracle detects faulty variants")
{
    CHECK(runsUntilViolation<IgnoresBaseVersions>() > 0);
    CHECK(runsUntilViolation<AppliesOldSnapshots>() > 0);
    CHECK(runsUntilViolation<IgnoresGaps>() > 0);
}

// Guards against a conflict report that does not name the change that was accepted.
TEST_CASE("a conflict names the accepted change and rejects the other as a whole")
{
    Configuration configuration(config::parseEntry);
    configuration.apply(makeChange(0, "c0", {{"template/a", 0, "run_ms = 5"}}));
    configuration.apply(makeChange(1, "c1", {{"template/b", 0, "run_ms = 6"}, {"template/a", 0, "run_ms = 7"}}));
    const ChangeOutcome *outcome = configuration.outcome("c1");
    REQUIRE(outcome);
    CHECK(outcome->verdict == ChangeVerdict::Conflict);
    CHECK(outcome->conflictEntry == "template/a");
    CHECK(outcome->conflictAuthor == "anna");
    CHECK(outcome->conflictChange == "c0");
    CHECK(outcome->conflictVersion == 1);
    CHECK_FALSE(configuration.entry("template/b"));
    CHECK(configuration.nextOffset() == 2);

    // The same change appended twice after a lost response is reported as accepted.
    configuration.apply(makeChange(2, "c0", {{"template/a", 0, "run_ms = 5"}}));
    CHECK(configuration.outcome("c0")->verdict == ChangeVerdict::Accepted);
}

// Guards against changes that are in force in part, or whose text no entry VM can parse.
TEST_CASE("an invalid change is rejected as a whole with its findings")
{
    Configuration configuration(config::parseEntry);
    configuration.apply(makeChange(0, "c0", {{"template/a", 0, "run_ms = 5"}, {"organisation/b", 0, "weight = x"}}));
    configuration.apply(makeChange(1, "c1", {{"other/a", 0, ""}}));
    configuration.apply(makeChange(2, "c2", {{"template/a", 0, ""}, {"template/a", 0, ""}}));
    configuration.apply(makeChange(3, "c3", {}));
    for (const ChangeOutcome &outcome : configuration.history()) {
        CHECK(outcome.verdict == ChangeVerdict::Invalid);
        CHECK(outcome.findings.size() == 1);
    }
    CHECK(configuration.entries().empty());
    CHECK(configuration.generation() == 0);
}

// Guards against a task that is charged to another organisation after a deletion.
TEST_CASE("ids stay with their name")
{
    Configuration configuration(config::parseEntry);
    configuration.apply(makeChange(0, "c0", {{"organisation/a", 0, "weight = 2"}}));
    const auto id = configuration.findOrganisation("a");
    REQUIRE(id);
    configuration.apply(makeChange(1, "c1", {{"organisation/a", 1, ""}}));
    CHECK_FALSE(configuration.findOrganisation("a"));
    CHECK_FALSE(configuration.isInForce(*id));
    CHECK(configuration.parameters(*id).weight == 2);
    configuration.apply(
            makeChange(2, "c2", {{"organisation/b", 0, "weight = 3"}, {"organisation/a", 2, "weight = 4"}}));
    CHECK(configuration.findOrganisation("a") == id);
    CHECK(configuration.findOrganisation("b") != id);
    CHECK(configuration.parameters(*id).weight == 4);
    CHECK(configuration.organisationCount() == 2);
    CHECK(configuration.name(*id) == "a");
}

// Guards against a faulty snapshot that reverts accepted entries or removes entries that it does not contain.
TEST_CASE("contradicting snapshots are rejected")
{
    Configuration configuration(config::parseEntry);
    configuration.apply(makeChange(0, "c0", {{"template/a", 0, "run_ms = 5"}}));
    const ConfigEntry known = *configuration.entry("template/a");
    const auto isAccepted = [&](SnapshotRecord snapshot) {
        Configuration copy = configuration;
        return copy.apply(snapshot);
    };
    CHECK_FALSE(isAccepted({5, {}}));
    CHECK_FALSE(isAccepted({1, {known}}));
    CHECK_FALSE(isAccepted({5, {known, known}}));
    CHECK_FALSE(isAccepted({5, {known, {"template/b", 6, "anna", "c1", "run_ms = 1"}}}));
    CHECK_FALSE(isAccepted({5, {known, {"template/b", 0, "anna", "c1", "run_ms = 1"}}}));
    CHECK_FALSE(isAccepted({5, {known, {"wrong", 2, "anna", "c1", "run_ms = 1"}}}));
    CHECK(isAccepted({5, {known, {"template/b", 5, "anna", "c1", "run_ms = 1"}}}));

    // A snapshot record in the log that covers offsets beyond its own is ignored.
    CHECK(configuration.apply(LogRecord{1, 1001, SnapshotRecord{9, {known}}}));
    CHECK(configuration.nextOffset() == 2);
}

// Guards against an entry VM that is never ready because an older version accepted a text that this one rejects.
TEST_CASE("an invalid entry of a snapshot is kept but not in force")
{
    Configuration configuration(config::parseEntry);
    REQUIRE(configuration.apply(SnapshotRecord{5, {{"template/a", 3, "anna", "c1", "colour = red"}}}));
    CHECK(configuration.isLoaded());
    CHECK(configuration.entry("template/a")->version == 3);
    CHECK_FALSE(configuration.findTemplate("a"));
    configuration.apply(makeChange(5, "c2", {{"template/a", 3, "run_ms = 5"}}));
    CHECK(configuration.findTemplate("a"));
}

// Guards against unbounded memory and message sizes, and against wrong input to the decision when a snapshot is due.
TEST_CASE("history, records for peers and answers are bounded")
{
    Configuration configuration(config::parseEntry);
    CHECK(configuration.recordsFrom(0).records.empty());
    const std::string text = "run_ms = 5\n;" + std::string(1000, 'x');
    const auto count = static_cast<std::int64_t>(Configuration::recentRecordLimit) + 100;
    for (std::int64_t offset = 0; offset < count; ++offset)
        configuration.apply(makeChange(offset, std::to_string(offset), {{"template/a", offset, text}}));
    configuration.markLoaded();
    CHECK(configuration.history().size() == Configuration::historyLimit);
    CHECK(configuration.recordsSinceSnapshot() == count);
    CHECK(configuration.snapshotTimeMs() == 1000);

    CHECK(configuration.recordsFrom(0).snapshot);
    const ConfigRecords part = configuration.recordsFrom(count - 1000);
    CHECK_FALSE(part.snapshot);
    CHECK(part.records.front().offset == count - 1000);
    CHECK(part.records.size() < 1000);
    CHECK(part.nextOffset == count);
    CHECK(configuration.recordsFrom(count).records.empty());

    configuration.apply(LogRecord{count, 77777, configuration.snapshot()});
    CHECK(configuration.recordsSinceSnapshot() == 1);
    CHECK(configuration.snapshotTimeMs() == 77777);
}

// Guards against a configuration that is too large for a message between entry VMs.
TEST_CASE("the size of all entries is bounded")
{
    Configuration configuration(config::parseEntry);
    const std::string text = "run_ms = 5\n;" + std::string(60000, 'x');
    std::int64_t offset = 0;
    for (; offset < 100; ++offset)
        configuration.apply(makeChange(offset, "c", {{"template/a" + std::to_string(offset), 0, text}}));
    CHECK(configuration.history().back().verdict == ChangeVerdict::Invalid);
    const std::size_t count = configuration.entries().size();
    CHECK(count == Configuration::stateByteLimit / 60200);

    Configuration copy(config::parseEntry);
    copy.apply(configuration.snapshot());
    for (Configuration *variant : {&configuration, &copy}) {
        variant->apply(makeChange(offset, "c", {{"template/a1", 2, ""}}));
        variant->apply(makeChange(offset + 1, "c", {{"template/b", 0, text}}));
        CHECK(variant->entries().size() == count + 1);
    }
}
