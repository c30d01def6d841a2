#include "fuzz/steps.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace clementinelift::fuzz {

using namespace core;

namespace {

// Arguments and options that a verb accepts; runStep() checks their values.
struct VerbRule
{
    std::size_t minWords = 0;
    std::size_t maxWords = 0;
    std::vector<std::string> options; // empty: none; "*": any
};

const std::map<std::string, VerbRule> &verbRules()
{
    static const std::map<std::string, VerbRule> rules{
            {"world", {0, 0, {"seed", "nodes", "zones", "backends", "slots", "retention", "list_lag", "queue"}}},
            {"run", {1, 1, {}}},
            {"settle", {1, 1, {}}},
            {"submit", {1, 1, {"at", "template", "tasks", "run", "deadline", "issued", "body", "wait", "count"}}},
            {"cancel", {1, 1, {"at", "count"}}},
            {"fetch", {1, 1, {"at", "wait"}}},
            {"publish", {1, 1, {"*"}}},
            {"crash", {1, 1, {}}},
            {"restart", {1, 1, {}}},
            {"freeze", {1, 1, {}}},
            {"thaw", {1, 1, {}}},
            {"drain", {1, 1, {}}},
            {"clock", {2, 2, {}}},
            {"cut", {1, 2, {}}},
            {"heal", {1, 2, {}}},
            {"log", {1, 2, {}}},
            {"list", {1, 1, {}}},
            {"backend", {2, 2, {"factor"}}},
            {"rack", {2, 2, {"factor"}}},
            {"mark", {1, 1, {}}},
            {"expect", {2, 4, {"statement", "reason", "effects", "text"}}},
    };
    return rules;
}

// Reports a bad argument; runStep() catches the exception and returns the message.
[[noreturn]] void reject(const std::string &message)
{
    throw std::invalid_argument(message);
}

std::int64_t parseNumber(const std::string &text)
{
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(text, &value))
        reject(absl::StrCat("\"", text, "\" is not a number"));
    return value;
}

std::int64_t option(const Step &step, const std::string &name, std::int64_t fallback)
{
    const auto found = step.options.find(name);
    return found == step.options.end() ? fallback : parseNumber(found->second);
}

std::string textOption(const Step &step, const std::string &name, const std::string &fallback)
{
    const auto found = step.options.find(name);
    return found == step.options.end() ? fallback : found->second;
}

// Parses names such as e0 (entry VM), b3 (backend server), z1 (zone) and r2 (rack).
std::size_t parseName(const std::string &text, char kind, std::size_t count)
{
    std::int64_t index = -1;
    if (text.empty() || text[0] != kind || !absl::SimpleAtoi(text.substr(1), &index) || index < 0
        || static_cast<std::size_t>(index) >= count)
        reject(absl::StrCat("\"", text, "\" is not a name ", std::string(1, kind), "0 .. ", std::string(1, kind),
                            count - 1));
    return static_cast<std::size_t>(index);
}

BackendMode parseMode(const std::string &text)
{
    const std::map<std::string, BackendMode> modes{{"ok", BackendMode::Ok},           {"failing", BackendMode::Failing},
                                                   {"stalled", BackendMode::Stalled}, {"busy", BackendMode::Busy},
                                                   {"mute", BackendMode::Mute},       {"late", BackendMode::Late},
                                                   {"crashed", BackendMode::Crashed}};
    const auto found = modes.find(text);
    if (found == modes.end())
        reject(absl::StrCat("unknown mode \"", text, "\" of a backend server"));
    return found->second;
}

// count=N stands for the ids ID-0 .. ID-(N-1). at=all assigns the ids to the entry VMs in turn.
void forEachId(const Step &step, const World &world,
               const std::function<void(const std::string &, std::size_t)> &action)
{
    const std::string at = textOption(step, "at", "e0");
    const bool isEach = step.options.contains("count");
    const std::int64_t count = option(step, "count", 1);
    for (std::int64_t i = 0; i < std::min<std::int64_t>(count, 1000); ++i) {
        const std::size_t node =
                at == "all" ? static_cast<std::size_t>(i) % world.nodeCount() : parseName(at, 'e', world.nodeCount());
        action(isEach ? absl::StrCat(step.words[0], "-", i) : step.words[0], node);
    }
}

void setBackend(World &world, std::size_t backend, const std::string &mode, double factor)
{
    if (mode == "leaving")
        world.setLeaving(backend);
    else if (mode == "gone")
        world.removeBackend(backend);
    else
        world.setBackend(backend, parseMode(mode), factor);
}

void setCut(World &world, const Step &step, bool isCut)
{
    const std::string &first = step.words[0];
    if (first[0] == 'z') {
        world.cutZone(parseName(first, 'z', world.zoneCount()), isCut);
        return;
    }
    if (step.words.size() != 2)
        reject("two ends or one zone expected");
    const std::size_t node = parseName(first, 'e', world.nodeCount());
    const std::string &second = step.words[1];
    if (second == "platform")
        world.cutPlatform(node, isCut);
    else if (second[0] == 'b')
        world.cutBackend(node, parseName(second, 'b', world.backendCount()), isCut);
    else if (const std::size_t other = parseName(second, 'e', world.nodeCount()); other != node)
        world.cutNodes(node, other, isCut);
    else
        reject("an entry VM has no link to itself");
}

void setLog(World &world, const Step &step)
{
    const std::string &mode = step.words[0];
    if (mode == "lose" && step.words.size() == 2)
        world.loseAppends(static_cast<int>(parseNumber(step.words[1])));
    else if (mode == "up" || mode == "down" || mode == "slow")
        world.setLog(mode == "up" ? LogMode::Up : mode == "down" ? LogMode::Down : LogMode::Slow);
    else
        reject("mode of the log must be up, down, slow or lose N");
}

std::string describe(const Answer &answer)
{
    constexpr std::array kinds{"pending", "complete", "failed", "refused"};
    constexpr std::array statements{"none", "not_run", "attempt_not_run"};
    std::string text = kinds[static_cast<std::size_t>(answer.kind)];
    if (answer.kind == AnswerKind::Refused)
        absl::StrAppend(&text, " statement=", statements[static_cast<std::size_t>(answer.statement)]);
    if (answer.kind == AnswerKind::Failed)
        absl::StrAppend(&text, " effects=", answer.effects == Effects::None ? "none" : "possible");
    return absl::StrCat(text, " reason=", std::string(toString(answer.reason)));
}

} // namespace

std::string toString(const Step &step)
{
    std::string text = step.verb;
    for (const std::string &word : step.words)
        absl::StrAppend(&text, " ", word);
    for (const auto &[name, value] : step.options)
        absl::StrAppend(&text, " ", name, "=", value);
    return text;
}

tl::expected<std::vector<Step>, std::string> parseSteps(const std::string &file, const std::string &text)
{
    std::vector<Step> steps;
    std::string errors;
    std::istringstream lines(text);
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        std::istringstream words(line.substr(0, line.find('#')));
        Step step;
        step.line = number;
        if (!(words >> step.verb))
            continue;
        const auto fail = [&](const std::string &message) {
            absl::StrAppend(&errors, file, ":", number, ": ", message, "\n");
        };
        const auto rule = verbRules().find(step.verb);
        if (rule == verbRules().end()) {
            fail("unknown step \"" + step.verb + "\"");
            continue;
        }
        for (std::string word; words >> word;) {
            const std::size_t equals = word.find('=');
            if (equals == std::string::npos) {
                step.words.push_back(word);
                continue;
            }
            const std::string name = word.substr(0, equals);
            const auto &known = rule->second.options;
            if (known != std::vector<std::string>{"*"} && std::find(known.begin(), known.end(), name) == known.end())
                fail("\"" + step.verb + "\" has no option \"" + name + "\"");
            step.options[name] = word.substr(equals + 1);
        }
        if (step.words.size() < rule->second.minWords || step.words.size() > rule->second.maxWords)
            fail(absl::StrCat("\"", step.verb, "\" takes ", rule->second.minWords, " to ", rule->second.maxWords,
                              " arguments, not ", step.words.size()));
        steps.push_back(std::move(step));
    }
    if (!errors.empty())
        return tl::unexpected(errors);
    return steps;
}

World &ScenarioRunner::world()
{
    if (!m_world)
        m_world = std::make_unique<World>(WorldOptions{}, m_variant);
    return *m_world;
}

const Oracle &ScenarioRunner::oracle()
{
    return world().oracle();
}

std::string ScenarioRunner::runStep(const Step &step)
try {
    const std::string first = step.words.empty() ? std::string() : step.words[0];
    if (step.verb == "world") {
        if (m_world)
            reject("\"world\" must be the first step");
        WorldOptions options;
        options.seed = static_cast<std::uint64_t>(option(step, "seed", 1));
        options.nodes = static_cast<std::size_t>(std::clamp<std::int64_t>(option(step, "nodes", 3), 1, 9));
        options.zones = static_cast<std::size_t>(std::clamp<std::int64_t>(option(step, "zones", 3), 1, 4));
        options.backends = static_cast<std::size_t>(std::clamp<std::int64_t>(option(step, "backends", 6), 0, 60));
        options.slots = static_cast<std::uint32_t>(option(step, "slots", options.slots));
        options.retentionMs = option(step, "retention", options.retentionMs);
        options.listLagMs = option(step, "list_lag", options.listLagMs);
        options.queue = static_cast<std::uint32_t>(option(step, "queue", options.queue));
        m_world = std::make_unique<World>(options, m_variant);
        return {};
    }
    World &target = world();
    const auto node = [&](const std::string &name) { return parseName(name, 'e', target.nodeCount()); };
    const auto backend = [&](const std::string &name) { return parseName(name, 'b', target.backendCount()); };
    if (step.verb == "run") {
        target.run(parseNumber(first));
    } else if (step.verb == "settle") {
        target.settle(parseNumber(first));
    } else if (step.verb == "submit") {
        Submission submission;
        submission.templateName = textOption(step, "template", submission.templateName);
        submission.tasks = static_cast<std::uint32_t>(option(step, "tasks", submission.tasks));
        submission.runMs = static_cast<std::uint32_t>(option(step, "run", submission.runMs));
        submission.deadlineMs = option(step, "deadline", submission.deadlineMs);
        submission.issuedMs = option(step, "issued", 0);
        submission.body = static_cast<std::uint32_t>(option(step, "body", 0));
        submission.wait = option(step, "wait", 1) != 0;
        forEachId(step, target, [&](const std::string &id, std::size_t at) {
            submission.id = id;
            submission.node = at;
            target.submit(submission);
        });
    } else if (step.verb == "cancel") {
        forEachId(step, target, [&](const std::string &id, std::size_t at) { target.cancel(id, at); });
    } else if (step.verb == "fetch") {
        target.fetch(first, node(textOption(step, "at", "e0")), option(step, "wait", 0));
    } else if (step.verb == "publish") {
        std::string text;
        for (const auto &[name, value] : step.options) {
            if (name != "base")
                absl::StrAppend(&text, name, " = ", value, "\n");
        }
        const bool hasBase = step.options.contains("base");
        target.publish(first, text, hasBase ? std::optional(option(step, "base", 0)) : std::nullopt);
    } else if (step.verb == "crash") {
        target.crash(node(first));
    } else if (step.verb == "restart") {
        target.restart(node(first));
    } else if (step.verb == "freeze" || step.verb == "thaw") {
        target.setFrozen(node(first), step.verb == "freeze");
    } else if (step.verb == "drain") {
        target.drain(node(first));
    } else if (step.verb == "clock") {
        target.stepClock(node(first), parseNumber(step.words[1]));
    } else if (step.verb == "cut" || step.verb == "heal") {
        setCut(target, step, step.verb == "cut");
    } else if (step.verb == "log") {
        setLog(target, step);
    } else if (step.verb == "list") {
        if (first != "up" && first != "down")
            reject("state of the VM list must be up or down");
        target.setListUp(first == "up");
    } else if (step.verb == "backend") {
        setBackend(target, backend(first), step.words[1], std::stod(textOption(step, "factor", "1")));
    } else if (step.verb == "rack") {
        const std::size_t rack = parseName(first, 'r', (target.backendCount() + 1) / 2);
        for (std::size_t i = 2 * rack; i < std::min(2 * rack + 2, target.backendCount()); ++i)
            setBackend(target, i, step.words[1], std::stod(textOption(step, "factor", "1")));
    } else if (step.verb == "mark") {
        m_marks[backend(first)] = target.received(backend(first));
    } else {
        return expect(step);
    }
    return {};
} catch (const std::invalid_argument &error) {
    return error.what();
}

std::string ScenarioRunner::expect(const Step &step)
{
    World &target = world();
    const std::string &property = step.words[0];
    const std::string &subject = step.words[1];
    const std::string value = step.words.size() > 2 ? step.words[2] : std::string();
    std::string actual;
    if (property == "answer") {
        const Oracle::Request *request = target.oracle().lastAnswered(subject);
        const std::string text = request ? describe(request->answer) : "none";
        if (text.rfind(value, 0) != 0)
            actual = text;
        for (const auto &[name, wanted] : step.options) {
            if ((text + " ").find(absl::StrCat(name, "=", wanted, " ")) == std::string::npos)
                actual = text;
        }
    } else if (property == "starts") {
        if (const std::size_t starts = target.oracle().starts(subject); std::to_string(starts) != value)
            actual = std::to_string(starts);
    } else if (property == "completed") {
        if (static_cast<std::int64_t>(target.oracle().completed()) < parseNumber(subject))
            actual = std::to_string(target.oracle().completed());
    } else if (property == "quiet") {
        const std::size_t backend = parseName(subject, 'b', target.backendCount());
        if (const auto count = target.received(backend) - m_marks[backend]; count != 0)
            actual = absl::StrCat(count, " attempts since the mark");
    } else if (property == "ready" || property == "up") {
        const std::size_t node = parseName(subject, 'e', target.nodeCount());
        const bool isTrue = property == "up" ? target.isUp(node) : target.isUp(node) && target.core(node)->isReady();
        if (value != (isTrue ? "yes" : "no"))
            actual = isTrue ? "yes" : "no";
    } else if (property == "config") {
        if ((subject == "agreed") != target.isConfigAgreed())
            actual = target.isConfigAgreed() ? "agreed" : "differs";
    } else if (property == "entry") {
        const std::string wanted = absl::StrReplaceAll(textOption(step, "text", ""), {{":", " = "}});
        for (std::size_t i = 0; i < target.nodeCount(); ++i) {
            const ConfigEntry *entry = target.isUp(i) ? target.core(i)->configuration().entry(subject) : nullptr;
            if (target.isUp(i) && (!entry || entry->text.find(wanted) == std::string::npos))
                actual = absl::StrCat("e", i, ": ", entry ? entry->text : "no entry");
        }
    } else {
        reject("unknown property \"" + property + "\"");
    }
    return actual.empty() ? std::string() : absl::StrCat("expected \"", toString(step), "\", found ", actual);
}

} // namespace clementinelift::fuzz
