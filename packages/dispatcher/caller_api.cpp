#include "dispatcher/caller_api.h"

namespace clementinelift::dispatcher {

namespace {

using net::Decoded;
using net::DecodeError;
using net::HttpAnswer;
using net::HttpRequest;

constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::string_view traceSuffix = "/trace";

HttpAnswer makeNotFound(const HttpRequest &request)
{
    return net::encodeError({"path", "no such path for " + request.method}, 404, "not_found");
}

std::optional<std::string_view> findQuery(const HttpRequest &request, std::string_view name)
{
    for (const auto &[key, value] : request.query) {
        if (key == name)
            return value;
    }
    return std::nullopt;
}

Decoded<std::int64_t> readQuery(const HttpRequest &request, std::string_view name, std::int64_t absent,
                                std::int64_t min, std::int64_t max)
{
    const auto text = findQuery(request, name);
    if (!text)
        return absent;
    return net::decodeNumber(name, *text, min, max);
}

RoutedRequest routeSubmission(core::CallerId caller, const HttpRequest &request, const ApiLimits &limits)
{
    const auto wait = readQuery(request, "wait", 1, 0, 1);
    if (!wait)
        return net::encodeError(wait.error());
    auto job = net::decodeJobRequest(request.body, limits.maxTasks);
    if (!job)
        return net::encodeError(job.error());
    return core::SubmitJob{caller, *wait == 1, *std::move(job)};
}

RoutedRequest routeKeys(core::CallerId caller, const HttpRequest &request)
{
    auto organisation = net::decodeName("organisation", findQuery(request, "organisation").value_or(""));
    if (!organisation)
        return net::encodeError(organisation.error());
    const auto count = readQuery(request, "count", 1, 1, net::maxKeyCount);
    if (!count)
        return net::encodeError(count.error());
    return core::RequestKeys{caller, *std::move(organisation), static_cast<std::uint32_t>(*count)};
}

// Accepts "{organisation}/{key}" and "{organisation}/{key}/trace" as rest. The key may contain slashes.
RoutedRequest routeJob(core::CallerId caller, const HttpRequest &request, std::string_view rest)
{
    const bool isTrace = rest.ends_with(traceSuffix);
    if (isTrace)
        rest.remove_suffix(traceSuffix.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos || (isTrace && request.method != "GET"))
        return makeNotFound(request);
    auto organisation = net::decodeName("organisation", rest.substr(0, slash));
    if (!organisation)
        return net::encodeError(organisation.error());
    const auto key = net::decodeKey(rest.substr(slash + 1), findQuery(request, "issued_at"));
    if (!key)
        return net::encodeError(key.error());
    if (isTrace)
        return core::RequestTrace{caller, *std::move(organisation), *key};
    if (request.method == "DELETE")
        return core::CancelJob{caller, *std::move(organisation), *key};
    const auto waitMs = readQuery(request, "wait_ms", 0, 0, net::maxWaitMs);
    if (!waitMs)
        return net::encodeError(waitMs.error());
    return core::FetchAnswer{caller, *std::move(organisation), *key, *waitMs};
}

RoutedRequest routeGet(core::CallerId caller, const HttpRequest &request)
{
    const std::string_view path = request.path;
    if (path == "/healthz")
        return HttpAnswer{200, R"({"healthy":true})"};
    if (path == "/readyz")
        return AdminRequest::Ready;
    if (path == "/status")
        return AdminRequest::Status;
    if (path == "/metrics")
        return AdminRequest::Metrics;
    if (path == "/v1/config")
        return AdminRequest::Config;
    if (path.starts_with("/v1/jobs/"))
        return routeJob(caller, request, path.substr(jobsPath.size() + 1));
    return makeNotFound(request);
}

} // namespace

RoutedRequest routeRequest(core::CallerId caller, HttpRequest &&request, const ApiLimits &limits)
{
    const std::string_view path = request.path;
    if (request.method == "GET")
        return routeGet(caller, request);
    if (request.method == "DELETE" && path.starts_with("/v1/jobs/"))
        return routeJob(caller, request, path.substr(jobsPath.size() + 1));
    if (request.method == "POST" && path == jobsPath)
        return routeSubmission(caller, request, limits);
    if (request.method == "POST" && path == "/v1/keys")
        return routeKeys(caller, request);
    if (request.method == "POST" && path == "/v1/admin/drain")
        return AdminRequest::Drain;
    return makeNotFound(request);
}

} // namespace clementinelift::dispatcher
