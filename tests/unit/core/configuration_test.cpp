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

// The accepted order, written down for every prefix of the log.
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

enum class Step : std::uint8_t { Publish, AppendAgain, Read, Ask, Deliver, Snapshot, Restart, Drop, Count };

struct Command
{
    Step step = Step::Read;
    std::uint32_t node = 0;
    std::uint32_t number = 0; // choice within the step
};

std::ostream &operator<<(std::ostream &stream, const Command &command)
{
    return stream << static_cast<int>(command.step) << ":" << command.node << ":" << command.number;
}

constexpr std::size_t nodeCount = 4;
const std::array<std::string, 5> entryNames = {"template/a", "template/b", "organisation/a", "organisation/b",
                                               "organisation/c"};

// Entry VMs that read the log, restart, and relay records in any order, with duplicates and old answers.
template <typename Fold> class Fleet
{
public:
    // Empty: no entry VM ever contradicted the oracle.
    std::string run(const std::vector<Command> &commands)
    {
        for (const Command &command : commands) {
            carryOut(command);
            if (std::string violation = check(); !violation.empty())
                return violation;
        }
        for (std::size_t node = 0; node < nodeCount; ++node)
            catchUp(node);
        if (std::string violation = check(); !violation.empty())
            return violation;
        for (const Fold &fold : m_nodes) {
            if (fold.nextOffset() != end())
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

    void carryOut(const Command &command)
    {
        Fold &node = m_nodes[command.node];
        switch (command.step) {
        case Step::Publish:
            publish(node, command.number);
            break;
        case Step::AppendAgain:
            if (!m_log.empty())
                append(LogBody(m_log[command.number % m_log.size()].body));
            break;
        case Step::Read:
            read(command.node, command.number % 8);
            break;
        case Step::Ask:
            m_messages.push_back(m_nodes[command.number % nodeCount].recordsFrom(node.nextOffset()));
            break;
        case Step::Deliver:
            if (!m_messages.empty())
                deliver(node, m_messages[command.number % m_messages.size()]);
            break;
        case Step::Snapshot:
            append(node.snapshot());
            break;
        case Step::Restart:
            node = Fold(config::parseEntry);
            m_seen[command.node] = 0;
            break;
        case Step::Drop:
            drop();
            break;
        case Step::Count:
            break;
        }
    }

    // An operator changes one or two entries on the base of what this entry VM knows.
    void publish(const Fold &node, std::uint32_t number)
    {
        ChangeRecord change{std::to_string(end()), "anna", {}};
        for (std::uint32_t i = 0; i <= number % 2; ++i) {
            const std::string &name = entryNames[(number / 2 + i) % entryNames.size()];
            const ConfigEntry *entry = node.entry(name);
            const std::string value = number % 13 == 0 ? "bad" : std::to_string(number % 9);
            const std::string text = number % 7 == 0 ? "" : "priority = " + value;
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

    static void deliver(Fold &node, const ConfigRecords &answer)
    {
        if (answer.snapshot)
            node.apply(*answer.snapshot);
        for (const LogRecord &record : answer.records)
            node.apply(record);
    }

    // The log service keeps what the newest snapshot does not cover.
    void drop()
    {
        for (const LogRecord &record : m_log) {
            if (const auto *snapshot = std::get_if<SnapshotRecord>(&record.body))
                m_firstAvailable = std::max(m_firstAvailable, snapshot->nextOffset);
        }
    }

    // The second pass reads what lies between a snapshot record and the offset that it covers.
    void catchUp(std::size_t node)
    {
        read(node, m_log.size());
        read(node, m_log.size());
    }

    std::string check()
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (m_nodes[i].nextOffset() < m_seen[i])
                return "the applied offset fell";
            m_seen[i] = m_nodes[i].nextOffset();
            if (std::string violation = compare(m_nodes[i], m_oracle.after(m_seen[i])); !violation.empty())
                return violation;
            if (!canContinue(m_nodes[i], m_seen[(i + 1) % nodeCount]))
                return "the answer to a peer does not continue at its offset";
        }
        return {};
    }

    static bool canContinue(const Fold &node, std::int64_t offset)
    {
        if (!node.isLoaded() || offset >= node.nextOffset())
            return true;
        const ConfigRecords answer = node.recordsFrom(offset);
        if (answer.snapshot)
            return answer.snapshot->nextOffset == node.nextOffset();
        return !answer.records.empty() && answer.records.front().offset == offset;
    }

    static std::string compare(const Fold &node, const ExpectedState &expected)
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

    std::vector<Fold> m_nodes = std::vector<Fold>(nodeCount, makeKnown());
    std::array<std::int64_t, nodeCount> m_seen{};
    std::vector<LogRecord> m_log;
    std::int64_t m_firstAvailable = 0;
    std::vector<ConfigRecords> m_messages;
    Oracle m_oracle;

    static Fold makeKnown()
    {
        Fold fold(config::parseEntry);
        fold.markLoaded();
        return fold;
    }
};

// Broken variants -----------------------------------------------------------------------------------

// Accepts every valid change, whatever it was based on.
struct SkipsVersionCheck : Configuration
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

// Takes over every snapshot that a peer sends, older ones included.
struct TakesOldSnapshots : Configuration
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

// Applies the next record that it gets although records between are missing.
struct SkipsGaps : Configuration
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

template <typename Fold> std::uint32_t runsUntilViolation()
{
    constexpr std::uint32_t maxRuns = 500;
    std::mt19937_64 random(20261204);
    for (std::uint32_t run = 1; run <= maxRuns; ++run) {
        std::vector<Command> commands(100);
        for (Command &command : commands)
            command = {static_cast<Step>(random() % static_cast<std::uint64_t>(Step::Count)),
                       static_cast<std::uint32_t>(random() % nodeCount), static_cast<std::uint32_t>(random() % 1000)};
        if (!Fleet<Fold>().run(commands).empty())
            return run;
    }
    return 0;
}

rc::Gen<std::vector<Command>> generateCommands()
{
    const auto command = rc::gen::map(
            rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(Step::Count)),
                           rc::gen::inRange<std::uint32_t>(0, nodeCount), rc::gen::inRange<std::uint32_t>(0, 1000)),
            [](const std::tuple<int, std::uint32_t, std::uint32_t> &parts) {
                return Command{static_cast<Step>(std::get<0>(parts)), std::get<1>(parts), std::get<2>(parts)};
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

// Guards against an oracle that accepts everything.
TEST_CASE("the oracle detects broken folds")
{
    CHECK(runsUntilViolation<SkipsVersionCheck>() > 0);
    CHECK(runsUntilViolation<TakesOldSnapshots>() > 0);
    CHECK(runsUntilViolation<SkipsGaps>() > 0);
}

// Guards against an operator who is told of a conflict without learning whose change won.
TEST_CASE("a conflict names the winner and rejects the whole change")
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

// Guards against changes that are in force in part, or whose text nobody can read.
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

// Guards against a wrong snapshot that reverts accepted entries or replaces what it does not cover.
TEST_CASE("contradicting snapshots are refused")
{
    Configuration configuration(config::parseEntry);
    configuration.apply(makeChange(0, "c0", {{"template/a", 0, "run_ms = 5"}}));
    const ConfigEntry known = *configuration.entry("template/a");
    const auto isTaken = [&](SnapshotRecord snapshot) {
        Configuration copy = configuration;
        return copy.apply(snapshot);
    };
    CHECK_FALSE(isTaken({5, {}}));
    CHECK_FALSE(isTaken({1, {known}}));
    CHECK_FALSE(isTaken({5, {known, known}}));
    CHECK_FALSE(isTaken({5, {known, {"template/b", 6, "anna", "c1", "run_ms = 1"}}}));
    CHECK_FALSE(isTaken({5, {known, {"template/b", 0, "anna", "c1", "run_ms = 1"}}}));
    CHECK_FALSE(isTaken({5, {known, {"wrong", 2, "anna", "c1", "run_ms = 1"}}}));
    CHECK(isTaken({5, {known, {"template/b", 5, "anna", "c1", "run_ms = 1"}}}));

    // A snapshot record of the log that claims to cover later records is passed over.
    CHECK(configuration.apply(LogRecord{1, 1001, SnapshotRecord{9, {known}}}));
    CHECK(configuration.nextOffset() == 2);
}

// Guards against an entry VM that is never ready because an older version accepted a text that this one rejects.
TEST_CASE("an unreadable entry of a snapshot is kept but not in force")
{
    Configuration configuration(config::parseEntry);
    REQUIRE(configuration.apply(SnapshotRecord{5, {{"template/a", 3, "anna", "c1", "colour = red"}}}));
    CHECK(configuration.isLoaded());
    CHECK(configuration.entry("template/a")->version == 3);
    CHECK_FALSE(configuration.findTemplate("a"));
    configuration.apply(makeChange(5, "c2", {{"template/a", 3, "run_ms = 5"}}));
    CHECK(configuration.findTemplate("a"));
}

// Guards against unbounded memory and frames, and against snapshots that are never due or always due.
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

// Guards against a configuration that no message between entry VMs can carry.
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
    for (Configuration *fold : {&configuration, &copy}) {
        fold->apply(makeChange(offset, "c", {{"template/a1", 2, ""}}));
        fold->apply(makeChange(offset + 1, "c", {{"template/b", 0, text}}));
        CHECK(fold->entries().size() == count + 1);
    }
}
