#include "dispatcher/backend_client.h"

#include "net/codec.h"

#include <algorithm>
#include <charconv>

namespace clementinelift::dispatcher {

namespace {

using core::AttemptOutcome;
using net::HttpOutcome;

constexpr long maxBackendConnections = 60; // accepted by a backend server from all entry VMs
constexpr long maxTaskConnections = 8;     // a backend server runs at most this many tasks at once
constexpr long maxControlConnections = 2;
constexpr std::int64_t controlTimeoutMs = 1000;

std::string makeUrl(const std::string &address, const core::AttemptId &attempt)
{
    return "http://" + address + "/v1/tasks/" + core::toString(attempt);
}

std::uint32_t readServiceUs(const net::HttpFields &headers)
{
    const std::string_view text = net::findField(headers, "X-Service-Us");
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

core::AttemptEnded readAttemptEnd(const core::AttemptId &attempt, net::HttpResult &&result)
{
    core::AttemptEnded ended{attempt, AttemptOutcome::Unknown, std::move(result.body), readServiceUs(result.headers)};
    if (result.outcome != HttpOutcome::Answered) {
        ended.outcome = result.outcome == HttpOutcome::NotSent ? AttemptOutcome::NotStarted : AttemptOutcome::Unknown;
        ended.result = std::move(result.error);
    } else if (result.status == 200) {
        ended.outcome = AttemptOutcome::Completed;
    } else if (result.status == 500) {
        ended.outcome = AttemptOutcome::Failed;
    } else if (result.status == 503) {
        // Without this header the attempt may have been started.
        const std::string_view reason = net::findField(result.headers, "X-Not-Started");
        if (reason == "busy")
            ended.outcome = AttemptOutcome::Busy;
        else if (reason == "refused")
            ended.outcome = AttemptOutcome::NotStarted;
    }
    return ended;
}

BackendClient::BackendClient(Post post)
    : m_post(std::move(post)), m_tasks({.maxHostConnections = maxTaskConnections}),
      m_control({.maxHostConnections = maxControlConnections})
{}

void BackendClient::start(core::StartAttempt &&action)
{
    net::HttpClientRequest request;
    request.method = "POST";
    request.url = makeUrl(action.address, action.attempt);
    request.body = std::move(action.payload);
    request.headers = {{"X-Organisation", std::move(action.organisation)},
                       {"X-Template", std::move(action.templateName)},
                       {"X-Lease-Ms", std::to_string(action.leaseMs)}};
    request.timeoutMs = action.leaseMs;
    m_tasks.send(std::move(request), [this, attempt = action.attempt](net::HttpResult &&result) {
        m_post(readAttemptEnd(attempt, std::move(result)));
    });
}

void BackendClient::stop(const core::StopAttempt &action)
{
    m_control.send({.method = "DELETE",
                    .url = makeUrl(action.address, action.attempt),
                    .timeoutMs = controlTimeoutMs,
                    .repeatable = true},
                   [](net::HttpResult &&) {});
}

void BackendClient::query(const core::QueryAttempt &action)
{
    m_control.send({.url = makeUrl(action.address, action.attempt), .timeoutMs = controlTimeoutMs, .repeatable = true},
                   [this, attempt = action.attempt](net::HttpResult &&result) {
                       core::AttemptStatus status;
                       if (result.outcome == HttpOutcome::Answered && result.status == 200)
                           status = net::decodeAttemptStatus(result.body).value_or(core::AttemptStatus{});
                       status.attempt = attempt;
                       m_post(std::move(status));
                   });
}

void BackendClient::probe(const core::ProbeBackend &action)
{
    m_control.send(
            {.url = "http://" + action.address + "/healthz", .timeoutMs = controlTimeoutMs, .repeatable = true},
            [this, backend = action.backend](net::HttpResult &&result) {
                m_post(core::BackendProbed{backend, result.outcome == HttpOutcome::Answered && result.status == 200});
            });
}

void BackendClient::shareConnections(std::uint32_t entryVms)
{
    if (entryVms == m_entryVms)
        return;
    m_entryVms = entryVms;
    const long share = maxBackendConnections / static_cast<long>(std::max(entryVms, 1u));
    const long control = share > maxTaskConnections + 1 ? maxControlConnections : 1;
    m_control.setMaxHostConnections(control);
    m_tasks.setMaxHostConnections(std::clamp(share - control, 1L, maxTaskConnections));
}

void BackendClient::close()
{
    m_tasks.stop();
    m_control.stop();
}

std::uint64_t BackendClient::controlBytes() const
{
    return m_control.bytesSent() + m_control.bytesReceived();
}

} // namespace clementinelift::dispatcher
