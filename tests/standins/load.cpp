#include "standins/load.h"

#include "net/http_client.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

namespace clementinelift::standins {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t usPerMs = 1000;
constexpr auto pollInterval = 2ms;
constexpr auto settlePollInterval = 100ms;
constexpr int maxSettlePolls = 100;           // tasks of failed jobs may still run after the answer
constexpr std::size_t auditBatchJobs = 1'000; // jobs in one audit request
constexpr std::int64_t auditTimeoutMs = 10'000;
constexpr std::int64_t keysTimeoutMs = 1'000;
constexpr std::int64_t healthTimeoutMs = 500;
constexpr std::int64_t cancelTimeoutMs = 5'000;

std::int64_t monotonicUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

// Answers -------------------------------------------------------------------------------------------

// elapsedUs is the time since the request was sent, timeoutMs the time limit of the request.
Reply parseReply(const net::HttpResult &result, std::int64_t elapsedUs, std::int64_t timeoutMs)
{
    Reply reply;
    if (result.outcome != net::HttpOutcome::Answered) {
        reply.kind = result.outcome == net::HttpOutcome::NotSent ? ReplyKind::NotSent
                : elapsedUs >= timeoutMs * usPerMs               ? ReplyKind::Timeout
                                                                 : ReplyKind::NoValidAnswer;
        return reply;
    }
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object()) {
        reply.reason = "body is not JSON";
        reply.kind = result.status < 500 ? ReplyKind::Rejected : ReplyKind::NoValidAnswer;
        return reply;
    }
    const std::string answer = json.value("answer", "");
    reply.reason = json.value("reason", json.value("error", "") + " " + json.value("detail", ""));
    if (answer == "complete") {
        reply.kind = ReplyKind::Complete;
        reply.results = json.value("results", std::vector<std::string>{});
    } else if (answer == "failed") {
        reply.kind = ReplyKind::Failed;
        reply.effectsNone = json.value("effects", "") == "none";
    } else if (answer == "refused") {
        reply.kind =
                json.value("statement", "") == "not_run" ? ReplyKind::RefusedNotRun : ReplyKind::RefusedAttemptNotRun;
    } else if (answer == "pending") {
        reply.kind = ReplyKind::Pending;
    } else {
        reply.kind = result.status >= 500 ? ReplyKind::NoValidAnswer : ReplyKind::Rejected;
    }
    return reply;
}

std::vector<core::Key> parseKeys(const net::HttpResult &result)
{
    std::vector<core::Key> keys;
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object())
        return keys;
    for (const std::string &text : json.value("keys", std::vector<std::string>{})) {
        if (const auto key = core::parseKey(text))
            keys.push_back(*key);
    }
    return keys;
}

// Sends one request to the stand-ins and waits for the answer. The JSON value is discarded when there is no valid
// answer.
nlohmann::json sendAndWait(net::HttpClient &client, net::HttpClientRequest &&request)
{
    std::promise<std::string> body;
    request.timeoutMs = auditTimeoutMs;
    request.repeatable = true;
    client.send(std::move(request), [&](net::HttpResult &&result) { body.set_value(std::move(result.body)); });
    return nlohmann::json::parse(body.get_future().get(), nullptr, false);
}

// Callers -------------------------------------------------------------------------------------------

// Sends the requests of the oracle and passes the replies to the oracle on the thread of run().
class LoadRunner
{
public:
    LoadRunner(const LoadOptions &options, const LoadTargets &targets)
        : m_targets(targets), m_oracle(options, monotonicUs()),
          m_client({.maxHostConnections = 2000, .maxIdleConnections = 4000})
    {}

    const LoadOracle &run()
    {
        while (!m_oracle.isDone()) {
            send(m_oracle.advance(monotonicUs(), wallMs()));
            std::unique_lock lock(m_mutex);
            m_wake.wait_for(lock, pollInterval, [this] { return !m_events.empty(); });
            std::deque<std::function<void()>> events;
            events.swap(m_events);
            lock.unlock();
            for (const auto &event : events)
                event();
        }
        return m_oracle;
    }

    net::HttpClient &client() { return m_client; }

private:
    void post(std::function<void()> &&event)
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_wake.notify_all();
    }

    std::string url(std::size_t entryVm, const std::string &path) const
    {
        return "http://" + m_targets.entryVms[entryVm] + path;
    }

    void send(const LoadRequests &requests)
    {
        for (const SubmitRequest &request : requests.submits) {
            m_client.send({.method = "POST",
                           .url = url(request.entryVm, "/v1/jobs?wait=1"),
                           .body = submission(request.job),
                           // The server may close a reused connection while the request is sent, which would be
                           // counted as a submission without a valid answer.
                           .headers = {{"Connection", "close"}},
                           .timeoutMs = request.timeoutMs},
                          [this, request, sentUs = monotonicUs()](net::HttpResult &&result) {
                              const std::int64_t nowUs = monotonicUs();
                              const Reply reply = parseReply(result, nowUs - sentUs, request.timeoutMs);
                              post([this, request, reply, nowUs] {
                                  m_oracle.handleReply(request.job, request.attempt, reply, nowUs);
                              });
                          });
        }
        for (const HealthRequest &request : requests.healthChecks) {
            m_client.send({.url = url(request.entryVm, "/readyz"), .timeoutMs = healthTimeoutMs},
                          [this, request](net::HttpResult &&result) {
                              post([this, request, ready = result.status == 200] {
                                  m_oracle.handleHealth(request.entryVm, ready);
                              });
                          });
        }
        for (const CancelRequest &request : requests.cancels) {
            const LoadJob &job = m_oracle.job(request.job);
            const std::string name =
                    job.id.empty() ? core::toString(job.key) : job.id + "?issued_at=" + std::to_string(job.issuedAtMs);
            m_client.send({.method = "DELETE",
                           .url = url(request.entryVm, "/v1/jobs/" + job.organisation + "/" + name),
                           .timeoutMs = cancelTimeoutMs},
                          [](net::HttpResult &&) {});
        }
        for (const KeysRequest &request : requests.keys) {
            const std::string query = absl::StrFormat("?organisation=%s&count=%d", request.organisation, request.count);
            m_client.send(
                    {.method = "POST", .url = url(request.entryVm, "/v1/keys" + query), .timeoutMs = keysTimeoutMs},
                    [this, request](net::HttpResult &&result) {
                        post([this, request, keys = parseKeys(result)] { m_oracle.handleKeys(request, keys); });
                    });
        }
    }

    std::string submission(JobIndex index) const
    {
        const LoadJob &job = m_oracle.job(index);
        nlohmann::json tasks = nlohmann::json::array();
        for (std::uint32_t task = 0; task < job.runUs.size(); ++task) {
            tasks.push_back({{"payload", toPayload(m_oracle.taskIdentity(index, task))},
                             {"run_ms", std::max<std::int64_t>(1, job.declaredUs[task] / usPerMs)}});
        }
        nlohmann::json body = {{"organisation", job.organisation},
                               {"template", m_oracle.options().templates[job.templateIndex].name},
                               {"key", job.id.empty() ? core::toString(job.key) : job.id},
                               {"deadline_ms", m_oracle.options().deadlineMs},
                               {"tasks", tasks}};
        if (!job.id.empty())
            body["issued_at"] = job.issuedAtMs;
        return body.dump();
    }

    const LoadTargets &m_targets;
    LoadOracle m_oracle;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_events;
    net::HttpClient m_client; // declared last: the thread of the client ends before the members that its callbacks use
                              // are destroyed
};

// Report --------------------------------------------------------------------------------------------

struct AuditSummary
{
    bool known = false;
    std::uint64_t falseNotRun = 0;    // refused not_run, but a task started
    std::uint64_t falseNoEffects = 0; // failed without effects, but a task started
    nlohmann::json counts;
};

std::uint64_t countStarted(net::HttpClient &client, const std::string &url, const std::vector<std::string> &jobs,
                           const char *claim)
{
    std::uint64_t started = 0;
    for (std::size_t from = 0; from < jobs.size(); from += auditBatchJobs) {
        const std::size_t to = std::min(jobs.size(), from + auditBatchJobs);
        const std::vector<std::string> batch(jobs.begin() + static_cast<std::ptrdiff_t>(from),
                                             jobs.begin() + static_cast<std::ptrdiff_t>(to));
        const auto answer =
                sendAndWait(client, {.method = "POST", .url = url, .body = nlohmann::json{{"jobs", batch}}.dump()});
        if (!answer.is_object())
            continue;
        for (const auto &job : answer["started_jobs"]) {
            ++started;
            std::printf("false answer %s, but a task has started: %s\n", claim, job.get<std::string>().c_str());
        }
    }
    return started;
}

AuditSummary audit(net::HttpClient &client, const std::string &url, const LoadOracle &oracle)
{
    AuditSummary summary;
    for (int i = 0; i < maxSettlePolls; ++i) {
        summary.counts = sendAndWait(client, {.method = "POST", .url = url, .body = "{}"});
        summary.known = summary.counts.is_object() && summary.counts.contains("doubled");
        if (!summary.known || summary.counts["running"] == 0)
            break;
        std::this_thread::sleep_for(settlePollInterval);
    }
    summary.falseNotRun = countStarted(client, url, oracle.claimedNotRun(), "not_run");
    summary.falseNoEffects = countStarted(client, url, oracle.claimedNoEffects(), "effects=none");
    return summary;
}

double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

} // namespace

int runLoad(const LoadOptions &options, const LoadTargets &targets)
{
    LoadRunner runner(options, targets);
    const LoadOracle &oracle = runner.run();
    const AuditSummary summary = audit(runner.client(), "http://" + targets.platform + "/control/audit", oracle);
    const LoadCounts counts = oracle.counts();
    const std::vector<double> ratios = oracle.ratios();

    for (const auto &[reason, count] : oracle.reasons())
        std::printf("answer %s: %u\n", reason.c_str(), count);
    if (summary.known) {
        for (const auto &line : summary.counts["doubled_tasks"])
            std::printf("doubled %s\n", line.get<std::string>().c_str());
        std::printf(
                "audit starts=%llu tasks=%llu repeat_never_doubled=%llu overlap_same_vm=%llu overlap_other_vm=%llu\n",
                summary.counts["starts"].get<unsigned long long>(), summary.counts["tasks"].get<unsigned long long>(),
                summary.counts["repeat_never_doubled"].get<unsigned long long>(),
                summary.counts["overlap_same_vm"].get<unsigned long long>(),
                summary.counts["overlap_other_vm"].get<unsigned long long>());
    }
    std::printf("load tasks=%llu resubmissions=%u cut=%u not_sent=%u cancels=%u rejected=%u untrue_effects=%llu\n",
                static_cast<unsigned long long>(counts.tasks), counts.resubmissions, counts.noValidAnswer,
                counts.notSent, counts.cancels, counts.rejected,
                static_cast<unsigned long long>(summary.falseNoEffects));
    std::printf("ratio p50=%.3f p90=%.3f p99=%.3f\n", quantile(ratios, 0.5), quantile(ratios, 0.9),
                quantile(ratios, 0.99));
    const std::uint64_t lost = counts.unanswered + summary.falseNotRun;
    const std::uint64_t doubled = summary.known ? summary.counts["doubled"].get<std::uint64_t>() : 0;
    const bool countsAddUp = counts.jobs == counts.complete + counts.failed + counts.refused + counts.unanswered;
    if (!summary.known)
        std::printf("audit: no valid answer from /control/audit of the stand-ins\n");
    std::printf("jobs=%u complete=%u failed=%u refused=%u lost=%llu doubled=%llu partial=%u\n", counts.jobs,
                counts.complete, counts.failed, counts.refused, static_cast<unsigned long long>(lost),
                static_cast<unsigned long long>(doubled), counts.partial);
    const bool passed = summary.known && countsAddUp && lost == 0 && doubled == 0 && counts.partial == 0
            && summary.falseNoEffects == 0;
    return passed ? 0 : 1;
}

int printCounts(const std::string &platform)
{
    net::HttpClient client({});
    const auto answer = sendAndWait(client, {.url = "http://" + platform + "/control"});
    if (!answer.is_object())
        return 1;
    const auto lines = answer.flatten();
    for (const auto &[name, value] : lines.items())
        std::printf("%s=%s\n", name.c_str(), value.dump().c_str());
    return 0;
}

} // namespace clementinelift::standins
