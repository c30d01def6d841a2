#include "fuzz/oracle.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace clementinelift::fuzz {

using namespace core;

namespace {

constexpr std::int64_t leavingLimitUs = 3 * usPerS; // G6: time after which peers of the reader know
constexpr std::int64_t answerSlackUs = 4 * usPerS;  // after the deadline, for forwards and reconnections of links
constexpr std::size_t maxViolations = 20;
constexpr std::size_t maxJournalEntries = 4000;

} // namespace

std::string payloadOf(const TaskIdentity &task)
{
    return absl::StrCat(task.id, "/", task.index, "/", task.body, "/", task.runMs);
}

TaskIdentity parsePayload(const std::string &payload)
{
    const std::size_t run = payload.rfind('/');
    const std::size_t body = payload.rfind('/', run - 1);
    const std::size_t index = payload.rfind('/', body - 1);
    const auto number = [&](std::size_t at) { return static_cast<std::uint32_t>(std::stoul(payload.substr(at + 1))); };
    return {payload.substr(0, index), number(index), number(body), number(run)};
}

std::string resultOf(const std::string &payload)
{
    return "result of " + payload;
}

void Oracle::onRequest(CallerId caller, Request request)
{
    m_submissions[request.id];
    m_requests.emplace(raw(caller), std::move(request));
}

void Oracle::onAnswer(CallerId caller, const Answer &answer, std::int64_t nowUs)
{
    const auto found = m_requests.find(raw(caller));
    if (found == m_requests.end()) {
        violate("G3", absl::StrCat("an answer went to caller ", raw(caller), ", who did not ask"));
        return;
    }
    Request &request = found->second;
    addJournalEntry(nowUs,
                    absl::StrCat("answer id=", request.id, " caller=", raw(caller), " kind=",
                                 static_cast<int>(answer.kind), " statement=", static_cast<int>(answer.statement),
                                 " effects=", static_cast<int>(answer.effects),
                                 " reason=", std::string(toString(answer.reason))));
    if (++request.answers > 1)
        violate("G3", absl::StrCat("caller ", raw(caller), " of ", request.id, " got ", request.answers, " answers"));
    request.answer = answer;
    request.answeredUs = nowUs;
    m_lastAnswered[request.id] = raw(caller);
    ++m_answered;
    const Submission &submission = m_submissions[request.id];
    if (answer.kind == AnswerKind::Complete) {
        ++m_completed;
        if (request.isSubmit && answer.results.size() != request.tasks)
            violate("G2",
                    absl::StrCat(request.id, " is complete with ", answer.results.size(), " of ", request.tasks,
                                 " results"));
        for (std::uint32_t index = 0; index < answer.results.size(); ++index) {
            const std::string prefix = absl::StrCat("result of ", request.id, "/", index, "/");
            if (answer.results[index].empty())
                violate("G2", absl::StrCat(request.id, " is complete without result ", index));
            const bool isOwnBody =
                    !request.isSubmit || answer.results[index].rfind(absl::StrCat(prefix, request.body, "/"), 0) == 0;
            if (answer.results[index].rfind(prefix, 0) != 0 || !isOwnBody)
                violate("G3", absl::StrCat(request.id, " got \"", answer.results[index], "\" as result ", index));
        }
    } else if (!answer.results.empty()) {
        violate("G2", absl::StrCat(request.id, " has results in an answer that is not complete"));
    }
    const bool claimsNotRun = (answer.kind == AnswerKind::Refused && answer.statement == Statement::NotRun)
            || (answer.kind == AnswerKind::Failed && answer.effects == Effects::None
                && answer.reason != Reason::UnknownKey && submission.repeat == Repeat::Never);
    if (claimsNotRun && answer.reason != Reason::KeyReused && !mayClaimNotRun(raw(caller), request))
        violate("G4",
                absl::StrCat(request.id, " was answered as not run (", std::string(toString(answer.reason)),
                             ") after a start"));
    if (answer.kind == AnswerKind::Refused && answer.statement == Statement::None)
        violate("G4", absl::StrCat(request.id, " was refused without a statement"));
}

// Returns whether "nothing has started" was true when the answer was decided. Another request with the same key that
// was open at the same time may start the job between the decision and the delivery of the answer.
bool Oracle::mayClaimNotRun(std::uint64_t caller, const Request &request) const
{
    const Submission &submission = m_submissions.at(request.id);
    if (submission.starts.empty())
        return true;
    if (submission.firstStartUs < request.askedUs)
        return false;
    return std::any_of(m_requests.begin(), m_requests.end(), [&](const auto &entry) {
        const Request &other = entry.second;
        return entry.first != caller && other.id == request.id && other.isSubmit
                && (other.answers == 0 || other.isAnswerWaived || !other.isWaiting
                    || other.answeredUs >= request.askedUs);
    });
}

void Oracle::onNodeDown(std::size_t node)
{
    for (auto &[caller, request] : m_requests) {
        if (request.node == node && request.answers == 0)
            request.isAnswerWaived = true;
    }
}

void Oracle::onStart(const AttemptId &attempt, const std::string &payload, std::int64_t nowUs)
{
    const TaskIdentity task = parsePayload(payload);
    addJournalEntry(nowUs, absl::StrCat("start ", payload, " attempt=", toString(attempt)));
    Submission &submission = m_submissions[task.id];
    if (submission.starts.empty())
        submission.firstStartUs = nowUs;
    const std::size_t starts = ++submission.starts[task.index];
    const std::pair taskOfProcess{task.index, raw(attempt.incarnation)};
    submission.bodies.insert(task.body);
    if (submission.repeat == Repeat::Never && starts > 1) {
        violate("G1", absl::StrCat("task ", payload, " started ", starts, " times"));
        violate("G5", absl::StrCat("task ", payload, " of a template with repeat = never started again"));
    }
    if (submission.repeat == Repeat::Never && submission.bodies.size() > 1)
        violate("G1", absl::StrCat("two bodies of ", task.id, " have started"));
    if (++submission.running[taskOfProcess] > 1)
        violate("G1", absl::StrCat("attempts of task ", payload, " overlap"));
    if (submission.completed.contains(taskOfProcess))
        violate("G1", absl::StrCat("task ", payload, " started again after it was completed"));
}

void Oracle::onEnd(const AttemptId &attempt, const std::string &payload, bool isCompleted)
{
    const TaskIdentity task = parsePayload(payload);
    const std::pair taskOfProcess{task.index, raw(attempt.incarnation)};
    --m_submissions[task.id].running[taskOfProcess];
    if (isCompleted)
        m_submissions[task.id].completed.insert(taskOfProcess);
}

void Oracle::onLeavingRead(std::size_t node, const std::string &backend, std::int64_t nowUs)
{
    m_leaving[backend].try_emplace(node, nowUs);
}

void Oracle::onSend(std::size_t node, const std::string &backend, const std::set<std::size_t> &establishedPeers,
                    std::int64_t nowUs)
{
    const auto leaving = m_leaving.find(backend);
    if (leaving == m_leaving.end())
        return;
    for (const auto &[reader, readUs] : leaving->second) {
        if (reader == node || (establishedPeers.contains(reader) && nowUs >= readUs + leavingLimitUs))
            violate("G6",
                    absl::StrFormat("%s got a task %d ms after an entry VM had read that it leaves", backend,
                                    (nowUs - readUs) / usPerMs));
    }
}

void Oracle::onConfig(std::uint64_t process, const std::vector<const ConfigEntry *> &entries, std::int64_t next)
{
    std::int64_t &known = m_configNext[process];
    if (next < known)
        violate("G8", absl::StrCat("the applied offset fell from ", known, " to ", next));
    known = next;
    for (const ConfigEntry *entry : entries) {
        std::int64_t &version = m_versions[process][entry->name];
        if (entry->version < version)
            violate("G8", absl::StrCat(entry->name, " fell from version ", version, " to ", entry->version));
        version = entry->version;
    }
}

void Oracle::onDrainFinished(std::size_t node, std::size_t runningAttempts)
{
    if (runningAttempts > 0)
        violate("G7", absl::StrCat("entry VM ", node, " finished draining with ", runningAttempts, " attempts"));
    for (auto &[caller, request] : m_requests) {
        if (request.node != node || request.answers > 0 || request.isAnswerWaived)
            continue;
        violate("G7", absl::StrCat("a drain left caller ", caller, " of ", request.id, " without an answer"));
        request.isAnswerWaived = true;
    }
}

void Oracle::checkAnswersDue(std::int64_t nowUs)
{
    for (auto &[caller, request] : m_requests) {
        if (request.answers > 0 || request.isAnswerWaived || nowUs < request.deadlineUs + answerSlackUs)
            continue;
        violate("G3", absl::StrCat("caller ", caller, " of ", request.id, " has no answer"));
        request.isAnswerWaived = true;
    }
}

void Oracle::violate(const std::string &guarantee, const std::string &text)
{
    if (m_violations.size() < maxViolations)
        m_violations.push_back(guarantee + ": " + text);
}

void Oracle::addJournalEntry(std::int64_t nowUs, const std::string &text)
{
    if (m_journal.size() < maxJournalEntries)
        m_journal.push_back(absl::StrFormat("%9.3f %s", static_cast<double>(nowUs) / usPerMs, text));
}

std::size_t Oracle::starts(const std::string &id) const
{
    std::size_t count = 0;
    if (const auto found = m_submissions.find(id); found != m_submissions.end()) {
        for (const auto &[index, starts] : found->second.starts)
            count += starts;
    }
    return count;
}

const Oracle::Request *Oracle::lastAnswered(const std::string &id) const
{
    const auto found = m_lastAnswered.find(id);
    return found == m_lastAnswered.end() ? nullptr : &m_requests.at(found->second);
}

} // namespace clementinelift::fuzz
