#include "standins/audit.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace clementinelift::standins {

namespace {

// The part of an attempt id that identifies the process run of the entry VM.
std::string_view incarnationOf(std::string_view attempt)
{
    return attempt.substr(0, attempt.find('-'));
}

} // namespace

std::string toPayload(const TaskIdentity &identity)
{
    nlohmann::json payload = {{"job", identity.job},
                              {"task", identity.task},
                              {"repeat", identity.repeatAllowed ? "allowed" : "never"},
                              {"run_us", identity.runUs}};
    if (identity.fails)
        payload["fail"] = true;
    return payload.dump();
}

std::optional<TaskIdentity> parsePayload(std::string_view payload)
{
    const auto json = nlohmann::json::parse(payload, nullptr, false);
    if (!json.is_object() || !json.contains("job") || !json["job"].is_string() || !json.contains("task")
        || !json["task"].is_number_unsigned())
        return std::nullopt;
    TaskIdentity identity;
    identity.job = json["job"].get<std::string>();
    identity.task = json["task"].get<std::uint32_t>();
    identity.repeatAllowed = json.value("repeat", "never") == "allowed";
    identity.runUs = json.value("run_us", identity.runUs);
    identity.fails = json.value("fail", false);
    return identity;
}

std::string resultOf(std::string_view job, std::uint32_t task)
{
    return std::string(job) + "#" + std::to_string(task);
}

void Audit::recordStart(const TaskIdentity &identity, std::string_view attempt)
{
    ++m_starts;
    if (!m_attempts.emplace(attempt).second)
        ++m_attemptsReused;
    TaskRecord &record = m_jobs[identity.job][identity.task];
    record.repeatAllowed = identity.repeatAllowed;
    for (const std::string &other : record.running)
        (incarnationOf(other) == incarnationOf(attempt) ? record.overlapSameVm : record.overlapOtherVm) = true;
    record.attempts.emplace_back(attempt);
    record.running.emplace(attempt);
}

void Audit::recordEnd(const TaskIdentity &identity, std::string_view attempt)
{
    m_jobs[identity.job][identity.task].running.erase(std::string(attempt));
}

AuditCounts Audit::counts() const
{
    AuditCounts counts;
    counts.starts = m_starts;
    counts.attemptsReused = m_attemptsReused;
    for (const auto &[job, tasks] : m_jobs) {
        counts.tasks += tasks.size();
        for (const auto &[index, record] : tasks) {
            if (!record.repeatAllowed)
                counts.repeatNeverDoubled += record.attempts.size() > 1 ? 1 : 0;
            else if (record.overlapSameVm)
                ++counts.overlapSameVm;
            else if (record.overlapOtherVm)
                ++counts.overlapOtherVm;
        }
    }
    return counts;
}

std::uint32_t Audit::startedTasks(std::string_view job) const
{
    const auto found = m_jobs.find(std::string(job));
    return found == m_jobs.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
}

std::vector<std::string> Audit::describeDoubled(std::size_t max) const
{
    std::vector<std::string> lines;
    for (const auto &[job, tasks] : m_jobs) {
        for (const auto &[index, record] : tasks) {
            const bool doubled =
                    record.repeatAllowed ? record.overlapSameVm || record.overlapOtherVm : record.attempts.size() > 1;
            if (!doubled || lines.size() >= max)
                continue;
            std::string line = resultOf(job, index) + (record.repeatAllowed ? " repeat=allowed" : " repeat=never");
            for (const std::string &attempt : record.attempts)
                line += " " + attempt;
            lines.push_back(line);
        }
    }
    return lines;
}

} // namespace clementinelift::standins
