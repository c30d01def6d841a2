#include "standins/load_oracle.h"

#include <algorithm>
#include <cmath>

namespace clementinelift::standins {

namespace {

constexpr std::int64_t usPerMs = 1000;
constexpr double usPerSecond = 1e6;
constexpr std::uint32_t keyBatch = 20;            // keys of one POST /v1/keys
constexpr std::size_t minSpareKeys = 8;           // new keys are requested below this number
constexpr std::int64_t backoffUs = 150 * usPerMs; // before a resubmission after a refusal or error
constexpr std::int64_t spareKeyAgeMs = 5'000;     // older spare keys are not used
constexpr std::int64_t healthIntervalUs = 250 * usPerMs;
constexpr std::int64_t misdeclarationFactor = 5;
constexpr double idShare = 0.2; // of the callers' own keys are ids with an issue time

} // namespace

std::string LoadJob::identity() const
{
    return organisation + "/" + core::toString(key);
}

LoadOracle::LoadOracle(const LoadOptions &options, std::int64_t startUs)
    : m_options(options), m_random(options.seed), m_ready(options.entryVms, true)
{
    planJobs(startUs);
    planCancelWaves(startUs);
}

LoadRequests LoadOracle::advance(std::int64_t nowUs, std::int64_t wallMs)
{
    LoadRequests requests;
    if (nowUs >= m_nextHealthUs) {
        m_nextHealthUs = nowUs + healthIntervalUs;
        for (std::size_t i = 0; i < m_options.entryVms; ++i)
            requests.healthChecks.push_back({i});
    }
    if (m_options.keys != KeySource::Own) {
        for (const std::string &organisation : m_options.organisations)
            requestKeys(organisation, requests);
    }
    while (m_nextArrival < m_jobs.size() && m_jobs[m_nextArrival].arrivalUs <= nowUs)
        begin(static_cast<JobIndex>(m_nextArrival++), wallMs, requests);
    while (!m_cancelTimesUs.empty() && m_cancelTimesUs.back() <= nowUs) {
        m_cancelTimesUs.pop_back();
        cancelOpenJobs(requests);
    }
    while (m_firstOpen < m_nextArrival && m_jobs[m_firstOpen].ended)
        ++m_firstOpen;
    for (std::size_t i = m_firstOpen; i < m_nextArrival; ++i) {
        LoadJob &job = m_jobs[i];
        if (job.ended)
            continue;
        if (nowUs - job.arrivalUs > m_options.giveUpMs * usPerMs) {
            ++m_reasons["caller: no answer"];
            job.ended = true;
            job.answer = ReplyKind::Timeout;
            job.endUs = nowUs;
            --m_open;
        } else if (job.resubmitAtUs != 0 && job.resubmitAtUs <= nowUs) {
            ++m_resubmissions;
            submit(static_cast<JobIndex>(i), requests);
        }
    }
    return requests;
}

void LoadOracle::handleReply(JobIndex index, std::uint32_t attempt, const Reply &reply, std::int64_t nowUs)
{
    LoadJob &job = m_jobs[index];
    if (job.ended || attempt != job.attempt)
        return;
    switch (reply.kind) {
    case ReplyKind::Complete:
    case ReplyKind::Failed:
    case ReplyKind::RefusedNotRun:
    case ReplyKind::Rejected:
        end(job, reply, nowUs);
        break;
    case ReplyKind::RefusedAttemptNotRun:
        // Another entry VM may give a more exact answer until the deadline of the job; a later resubmission is useless.
        if (nowUs - job.arrivalUs > m_options.deadlineMs * usPerMs)
            end(job, reply, nowUs);
        else
            job.resubmitAtUs = nowUs + backoffUs * job.attempt;
        break;
    case ReplyKind::Pending:
    case ReplyKind::NotSent:
    case ReplyKind::Timeout:
    case ReplyKind::NoValidAnswer:
        m_noValidAnswer += reply.kind == ReplyKind::NoValidAnswer ? 1 : 0;
        m_notSent += reply.kind == ReplyKind::NotSent ? 1 : 0;
        job.resubmitAtUs = nowUs + (reply.kind == ReplyKind::Timeout ? 1 : backoffUs);
        break;
    }
}

void LoadOracle::handleKeys(const KeysRequest &request, const std::vector<core::Key> &keys)
{
    m_keysRequested[request.organisation] = false;
    for (const core::Key &key : keys)
        m_spareKeys[request.organisation].push_back({key, request.entryVm});
}

TaskIdentity LoadOracle::taskIdentity(JobIndex index, std::uint32_t task) const
{
    const LoadJob &job = m_jobs[index];
    return {job.identity(), task, m_options.templates[job.templateIndex].repeatAllowed, job.runUs[task],
            job.fails[task]};
}

LoadCounts LoadOracle::counts() const
{
    LoadCounts counts;
    counts.jobs = static_cast<std::uint32_t>(m_jobs.size());
    counts.partial = m_partial;
    counts.rejected = m_rejected;
    counts.resubmissions = m_resubmissions;
    counts.cancels = m_cancels;
    counts.noValidAnswer = m_noValidAnswer;
    counts.notSent = m_notSent;
    for (const LoadJob &job : m_jobs) {
        counts.tasks += job.runUs.size();
        switch (job.answer) {
        case ReplyKind::Complete:
            ++counts.complete;
            break;
        case ReplyKind::Failed:
            ++counts.failed;
            break;
        case ReplyKind::RefusedNotRun:
        case ReplyKind::RefusedAttemptNotRun:
        case ReplyKind::Rejected:
            ++counts.refused;
            break;
        case ReplyKind::Pending:
        case ReplyKind::NotSent:
        case ReplyKind::Timeout:
        case ReplyKind::NoValidAnswer:
            ++counts.unanswered;
            break;
        }
    }
    return counts;
}

std::vector<std::string> LoadOracle::claimedNotRun() const
{
    std::vector<std::string> jobs;
    for (const LoadJob &job : m_jobs) {
        if (job.answer == ReplyKind::RefusedNotRun)
            jobs.push_back(job.identity());
    }
    return jobs;
}

std::vector<std::string> LoadOracle::claimedNoEffects() const
{
    std::vector<std::string> jobs;
    for (const LoadJob &job : m_jobs) {
        if (job.answer == ReplyKind::Failed && job.effectsNone)
            jobs.push_back(job.identity());
    }
    return jobs;
}

std::vector<double> LoadOracle::ratios() const
{
    std::vector<double> ratios;
    for (const LoadJob &job : m_jobs) {
        if (job.answer == ReplyKind::Complete)
            ratios.push_back(static_cast<double>(job.endUs - job.arrivalUs) / static_cast<double>(job.idealUs));
    }
    std::sort(ratios.begin(), ratios.end());
    return ratios;
}

void LoadOracle::planJobs(std::int64_t startUs)
{
    std::exponential_distribution<double> gapS(m_options.jobsPerS);
    std::uniform_int_distribution<std::uint32_t> taskCount(1, m_options.maxTasks);
    std::uniform_real_distribution<double> logRun(std::log(static_cast<double>(m_options.minRunUs)),
                                                  std::log(static_cast<double>(m_options.maxRunUs)));
    std::uniform_int_distribution<std::size_t> organisation(0, m_options.organisations.size() - 1);
    std::uniform_int_distribution<std::size_t> templateIndex(0, m_options.templates.size() - 1);
    double atUs = static_cast<double>(startUs);
    const auto firstBurstJob = static_cast<std::uint32_t>(m_options.jobs * (1 - m_options.burstShare) / 2);
    const auto endBurstJob = static_cast<std::uint32_t>(m_options.jobs * (1 + m_options.burstShare) / 2);
    for (std::uint32_t i = 0; i < m_options.jobs; ++i) {
        LoadJob &job = m_jobs.emplace_back();
        if (i < firstBurstJob || i >= endBurstJob)
            atUs += gapS(m_random) * usPerSecond;
        job.arrivalUs = static_cast<std::int64_t>(atUs);
        job.organisation = m_options.organisations[organisation(m_random)];
        job.templateIndex = templateIndex(m_random);
        job.impatient = draw(m_options.impatientShare);
        const std::uint32_t tasks = taskCount(m_random);
        for (std::uint32_t task = 0; task < tasks; ++task) {
            const auto run = static_cast<std::int64_t>(std::exp(logRun(m_random)));
            job.runUs.push_back(draw(m_options.longShare) ? m_options.longRunUs : run);
            job.fails.push_back(draw(m_options.failingShare));
            const bool misdeclared = draw(m_options.misdeclaredShare);
            const bool tooLong = misdeclared && draw(0.5);
            const std::int64_t runUs = job.runUs.back();
            job.declaredUs.push_back(!misdeclared      ? runUs
                                             : tooLong ? runUs * misdeclarationFactor
                                                       : runUs / misdeclarationFactor);
        }
        job.idealUs = *std::max_element(job.runUs.begin(), job.runUs.end());
    }
}

void LoadOracle::planCancelWaves(std::int64_t startUs)
{
    const double runUs = m_options.jobs / m_options.jobsPerS * usPerSecond;
    for (std::uint32_t wave = m_options.cancelWaves; wave > 0; --wave)
        m_cancelTimesUs.push_back(startUs + static_cast<std::int64_t>(runUs * wave / (m_options.cancelWaves + 1)));
}

void LoadOracle::begin(JobIndex index, std::int64_t wallMs, LoadRequests &requests)
{
    LoadJob &job = m_jobs[index];
    job.started = true;
    ++m_open;
    job.entryVm = pickEntryVm(m_options.entryVms);
    const bool fromEntryVm = m_options.keys == KeySource::Entry || (m_options.keys == KeySource::Mixed && draw(0.5));
    auto &spare = m_spareKeys[job.organisation];
    std::erase_if(spare, [&](const SpareKey &key) { return core::issueTimeMs(key.key) < wallMs - spareKeyAgeMs; });
    if (fromEntryVm && !spare.empty()) {
        job.key = spare.back().key;
        if (m_ready[spare.back().entryVm])
            job.entryVm = spare.back().entryVm;
        spare.pop_back();
    } else if (draw(idShare)) {
        job.id = "order-" + std::to_string(m_options.seed) + "-" + std::to_string(index);
        job.issuedAtMs = wallMs;
        job.key = core::makeKeyFromId(job.id, wallMs);
    } else {
        job.key = core::makeKey(wallMs, m_random(), m_random());
    }
    submit(index, requests);
}

void LoadOracle::submit(JobIndex index, LoadRequests &requests)
{
    LoadJob &job = m_jobs[index];
    if (job.attempt > 0)
        job.entryVm = pickEntryVm(job.entryVm);
    ++job.attempt;
    job.resubmitAtUs = 0;
    const bool resubmitsEarly = job.impatient && job.attempt == 1;
    requests.submits.push_back(
            {index, job.attempt, job.entryVm, resubmitsEarly ? m_options.impatientMs : m_options.resubmitMs});
}

void LoadOracle::end(LoadJob &job, const Reply &reply, std::int64_t nowUs)
{
    job.ended = true;
    job.answer = reply.kind;
    job.effectsNone = reply.effectsNone;
    job.endUs = nowUs;
    --m_open;
    if (reply.kind == ReplyKind::Complete) {
        bool matches = reply.results.size() == job.runUs.size();
        for (std::uint32_t task = 0; matches && task < job.runUs.size(); ++task)
            matches = reply.results[task] == resultOf(job.identity(), task);
        m_partial += matches ? 0 : 1;
        return;
    }
    const char *kind = reply.kind == ReplyKind::Failed ? (reply.effectsNone ? "failed, effects none: " : "failed: ")
            : reply.kind == ReplyKind::RefusedNotRun   ? "refused, not_run: "
            : reply.kind == ReplyKind::RefusedAttemptNotRun ? "refused, attempt_not_run: "
                                                            : "rejected: ";
    ++m_reasons[kind + reply.reason + " (" + m_options.templates[job.templateIndex].name + ")"];
    m_rejected += reply.kind == ReplyKind::Rejected ? 1 : 0;
}

void LoadOracle::cancelOpenJobs(LoadRequests &requests)
{
    for (std::size_t i = m_firstOpen; i < m_nextArrival; ++i) {
        if (m_jobs[i].ended || !draw(m_options.cancelShare))
            continue;
        ++m_cancels;
        requests.cancels.push_back({static_cast<JobIndex>(i), pickEntryVm(m_options.entryVms)});
    }
}

void LoadOracle::requestKeys(const std::string &organisation, LoadRequests &requests)
{
    bool &requested = m_keysRequested[organisation];
    if (requested || m_spareKeys[organisation].size() >= minSpareKeys || m_nextArrival == m_jobs.size())
        return;
    requested = true;
    requests.keys.push_back({organisation, pickEntryVm(m_options.entryVms), keyBatch});
}

std::size_t LoadOracle::pickEntryVm(std::size_t except)
{
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < m_options.entryVms; ++i) {
        if (m_ready[i] && i != except)
            usable.push_back(i);
    }
    const std::size_t count = usable.empty() ? m_options.entryVms : usable.size();
    const std::size_t picked = std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    return usable.empty() ? picked : usable[picked];
}

} // namespace clementinelift::standins
