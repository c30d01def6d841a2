// Records starts, answers and configurations, and checks the guarantees G1 to G8 against them.
//
// Contents
//   TaskIdentity   identity of a task in its payload, independent of jobs and attempts
//   Oracle         receives every start, answer and configuration; keeps the first violations as text
#pragma once

#include "core/events.h"

#include <map>
#include <set>

namespace clementinelift::fuzz {

// TaskIdentity --------------------------------------------------------------------------------------

// The payload of a task in all tests: "<id>/<index>/<body>/<run ms>".
struct TaskIdentity
{
    std::string id; // of the submission
    std::uint32_t index = 0;
    std::uint32_t body = 0; // number of the body: submissions with one id and different numbers have different bodies
    std::uint32_t runMs = 0;
};

std::string payloadOf(const TaskIdentity &task);
TaskIdentity parsePayload(const std::string &payload);
std::string resultOf(const std::string &payload);

// Oracle --------------------------------------------------------------------------------------------

class Oracle
{
public:
    // One request of a caller. Each request has its own caller id.
    struct Request
    {
        std::string id = {};
        std::uint32_t body = 0;
        std::uint32_t tasks = 0;
        std::size_t node = 0;
        bool isSubmit = true;
        bool isWaiting = true; // the caller waits for the end of the job
        std::int64_t askedUs = 0;
        std::int64_t deadlineUs = 0; // an answer is due by then, unless the entry VM went down
        int answers = 0;
        bool isAnswerWaived = false; // no answer is due: the entry VM went down, or its absence is already reported
        core::Answer answer = {};
        std::int64_t answeredUs = 0;
    };

    void declareTemplate(const std::string &id, core::Repeat repeat) { m_submissions[id].repeat = repeat; }
    void onRequest(core::CallerId caller, Request request);
    void onAnswer(core::CallerId caller, const core::Answer &answer, std::int64_t nowUs);
    void onNodeDown(std::size_t node);

    // A backend server begins or ends to execute an attempt.
    void onStart(const core::AttemptId &attempt, const std::string &payload, std::int64_t nowUs);
    void onEnd(const core::AttemptId &attempt, const std::string &payload, bool isCompleted);

    // The entry VM has read a VM list in which the backend server is marked as leaving.
    void onLeavingRead(std::size_t node, const std::string &backend, std::int64_t nowUs);
    // The entry VM sends an attempt. establishedPeers: entry VMs whose links to the sender have been up for some
    // seconds.
    void onSend(std::size_t node, const std::string &backend, const std::set<std::size_t> &establishedPeers,
                std::int64_t nowUs);

    // Checks the configuration of a process. Each start of an entry VM has its own process number.
    void onConfig(std::uint64_t process, const std::vector<const core::ConfigEntry *> &entries, std::int64_t next);
    void onDrainFinished(std::size_t node, std::size_t runningAttempts);
    void checkAnswersDue(std::int64_t nowUs);
    void violate(const std::string &guarantee, const std::string &text);

    const std::vector<std::string> &violations() const { return m_violations; }
    const std::vector<std::string> &journal() const { return m_journal; }
    void addJournalEntry(std::int64_t nowUs, const std::string &text);
    std::size_t starts(const std::string &id) const;
    const Request *lastAnswered(const std::string &id) const;
    std::size_t answered() const { return m_answered; }
    std::size_t completed() const { return m_completed; }

private:
    struct Submission
    {
        core::Repeat repeat = core::Repeat::Never;
        std::map<std::uint32_t, std::size_t> starts; // by task index
        std::int64_t firstStartUs = 0;
        std::set<std::uint32_t> bodies; // bodies of which a task has started
        // Attempts that run now, by task index and incarnation of the entry VM.
        std::map<std::pair<std::uint32_t, std::uint64_t>, std::size_t> running;
        std::set<std::pair<std::uint32_t, std::uint64_t>> completed;
    };

    bool mayClaimNotRun(std::uint64_t caller, const Request &request) const;

    std::map<std::string, Submission> m_submissions;
    std::map<std::uint64_t, Request> m_requests; // by caller
    std::map<std::string, std::uint64_t> m_lastAnswered;
    std::map<std::string, std::map<std::size_t, std::int64_t>> m_leaving; // backend server -> entry VM -> first read
    std::map<std::uint64_t, std::map<std::string, std::int64_t>> m_versions;
    std::map<std::uint64_t, std::int64_t> m_configNext;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_journal;
    std::size_t m_answered = 0;
    std::size_t m_completed = 0;
};

} // namespace clementinelift::fuzz
