// Simulated callers without HTTP: decides when and to which entry VM each job is submitted, which reply is the final
// answer, and counts the answers.
//
// Contents
//   LoadOptions   jobs, arrival rate and run times of the load
//   Requests      requests that the HTTP layer sends
//   Replies       replies to submissions
//   LoadCounts    counts of jobs by answer
//   LoadOracle    state machine of all simulated callers; the time is passed to each call
#pragma once

#include "core/types.h"
#include "standins/audit.h"

#include <map>
#include <random>

namespace clementinelift::standins {

// LoadOptions ---------------------------------------------------------------------------------------

struct LoadTemplate
{
    std::string name;
    bool repeatAllowed = false; // as the published template says
};

enum class KeySource : std::uint8_t {
    Own,   // UUIDv7 keys and ids of the caller
    Entry, // POST /v1/keys
    Mixed
};

struct LoadOptions
{
    std::vector<std::string> organisations;
    std::vector<LoadTemplate> templates;
    std::size_t entryVms = 1; // addressed by index
    std::uint32_t jobs = 1'000;
    double jobsPerS = 100;          // Poisson arrivals
    std::uint32_t maxTasks = 8;     // tasks of a job, uniform from 1
    std::int64_t minRunUs = 50'000; // run times are uniform on a log scale
    std::int64_t maxRunUs = 1'000'000;
    double longShare = 0.002; // of the tasks run longRunUs
    std::int64_t longRunUs = 3'000'000;
    double failingShare = 0;       // of the tasks run and fail
    double misdeclaredShare = 0.1; // of the tasks declare a run time that is 5 times too long or too short
    double burstShare = 0;         // of the jobs arrive at the same time in the middle of the run
    std::int64_t deadlineMs = 15'000;
    std::int64_t resubmitMs = 17'000; // without an answer the caller resubmits to another entry VM
    double impatientShare = 0.03;     // of the callers resubmit after impatientMs
    std::int64_t impatientMs = 400;
    std::uint32_t cancelWaves = 0; // evenly spread over the run
    double cancelShare = 0.2;      // of the open jobs in each wave
    KeySource keys = KeySource::Mixed;
    std::int64_t giveUpMs = 40'000; // after the first submission; a job without an answer is lost then
    std::uint64_t seed = 1;
};

// Requests ------------------------------------------------------------------------------------------

using JobIndex = std::uint32_t;

struct SubmitRequest
{
    JobIndex job = 0;
    std::uint32_t attempt = 0; // replies to older attempts are ignored
    std::size_t entryVm = 0;
    std::int64_t timeoutMs = 0;
};

struct CancelRequest
{
    JobIndex job = 0;
    std::size_t entryVm = 0;
};

struct KeysRequest
{
    std::string organisation;
    std::size_t entryVm = 0;
    std::uint32_t count = 0;
};

struct HealthRequest
{
    std::size_t entryVm = 0;
};

struct LoadRequests
{
    std::vector<HealthRequest> healthChecks;
    std::vector<SubmitRequest> submits;
    std::vector<CancelRequest> cancels;
    std::vector<KeysRequest> keys;
};

// Replies -------------------------------------------------------------------------------------------

enum class ReplyKind : std::uint8_t {
    Complete,
    Failed,
    RefusedNotRun,
    RefusedAttemptNotRun, // attempt_not_run
    Pending,
    Rejected, // 4xx with an error
    NotSent,
    Timeout,      // no answer within the time of the submission
    NoValidAnswer // connection lost, or an answer that the protocol does not define
};

struct Reply
{
    ReplyKind kind = ReplyKind::NoValidAnswer;
    bool effectsNone = false; // of Failed
    std::string reason;
    std::vector<std::string> results; // of Complete
};

// LoadCounts ----------------------------------------------------------------------------------------

struct LoadCounts
{
    std::uint32_t jobs = 0;
    std::uint32_t complete = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    std::uint32_t unanswered = 0;
    std::uint32_t partial = 0;  // complete answers whose results do not match the tasks
    std::uint32_t rejected = 0; // 4xx, contained in refused
    std::uint32_t resubmissions = 0;
    std::uint32_t noValidAnswer = 0; // submissions that ended with NoValidAnswer
    std::uint32_t notSent = 0;       // submissions that reached no entry VM
    std::uint32_t cancels = 0;
    std::uint64_t tasks = 0;
};

// LoadOracle ----------------------------------------------------------------------------------------

struct LoadJob
{
    std::string organisation;
    std::size_t templateIndex = 0;
    core::Key key;
    std::string id; // when not empty, sent with issuedAtMs in place of the key
    std::int64_t issuedAtMs = 0;
    std::vector<std::int64_t> runUs; // one entry for each task
    std::vector<std::int64_t> declaredUs;
    std::vector<bool> fails;
    std::int64_t arrivalUs = 0;
    std::int64_t idealUs = 0;      // longest task on an idle backend server of speed 1
    std::uint32_t attempt = 0;     // submissions so far
    std::size_t entryVm = 0;       // of the last submission
    std::int64_t resubmitAtUs = 0; // 0: a submission is in progress
    bool started = false;
    bool ended = false;
    bool impatient = false;
    ReplyKind answer = ReplyKind::Pending;
    bool effectsNone = false;
    std::int64_t endUs = 0;

    // Name of the job in payloads and in the audit.
    std::string identity() const;
};

class LoadOracle
{
public:
    explicit LoadOracle(const LoadOptions &options, std::int64_t startUs);

    // Returns all requests that are due now.
    LoadRequests advance(std::int64_t nowUs, std::int64_t wallMs);
    void handleReply(JobIndex job, std::uint32_t attempt, const Reply &reply, std::int64_t nowUs);
    // Callers use only entry VMs that were ready at the last check, as the load balancer of the platform does. When
    // none was ready, callers use all of them.
    void handleHealth(std::size_t entryVm, bool ready) { m_ready[entryVm] = ready; }
    void handleKeys(const KeysRequest &request, const std::vector<core::Key> &keys);

    bool isDone() const { return m_open == 0 && m_nextArrival == m_jobs.size(); }
    const LoadJob &job(JobIndex index) const { return m_jobs[index]; }
    TaskIdentity taskIdentity(JobIndex index, std::uint32_t task) const;
    const LoadOptions &options() const { return m_options; }

    LoadCounts counts() const;
    const std::map<std::string, std::uint32_t> &reasons() const { return m_reasons; }
    // identity() of the jobs that were refused with the statement not_run.
    std::vector<std::string> claimedNotRun() const;
    // identity() of the jobs that failed with effects=none.
    std::vector<std::string> claimedNoEffects() const;
    // Response time over ideal time of complete jobs, ascending.
    std::vector<double> ratios() const;

private:
    struct SpareKey
    {
        core::Key key;
        std::size_t entryVm = 0;
    };

    void planJobs(std::int64_t startUs);
    void planCancelWaves(std::int64_t startUs);
    void begin(JobIndex index, std::int64_t wallMs, LoadRequests &requests);
    void submit(JobIndex index, LoadRequests &requests);
    void end(LoadJob &job, const Reply &reply, std::int64_t nowUs);
    void cancelOpenJobs(LoadRequests &requests);
    void requestKeys(const std::string &organisation, LoadRequests &requests);
    std::size_t pickEntryVm(std::size_t except);
    bool draw(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    LoadOptions m_options;
    std::mt19937_64 m_random;
    std::vector<LoadJob> m_jobs; // ascending by arrivalUs
    std::size_t m_nextArrival = 0;
    std::size_t m_firstOpen = 0; // all jobs before it have ended
    std::size_t m_open = 0;
    std::vector<std::int64_t> m_cancelTimesUs; // descending
    std::vector<bool> m_ready;                 // of each entry VM
    std::int64_t m_nextHealthUs = 0;
    std::map<std::string, std::vector<SpareKey>> m_spareKeys;
    std::map<std::string, bool> m_keysRequested;
    std::map<std::string, std::uint32_t> m_reasons;
    std::uint32_t m_partial = 0;
    std::uint32_t m_rejected = 0;
    std::uint32_t m_resubmissions = 0;
    std::uint32_t m_noValidAnswer = 0;
    std::uint32_t m_notSent = 0;
    std::uint32_t m_cancels = 0;
};

} // namespace clementinelift::standins
