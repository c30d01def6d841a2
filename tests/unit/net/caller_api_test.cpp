#include "dispatcher/backend_client.h"
#include "dispatcher/caller_api.h"

#include <catch2/catch.hpp>

using namespace clementinelift;
using namespace clementinelift::dispatcher;

namespace {

constexpr core::CallerId caller{9};
const std::string key = core::toString(core::makeKey(1733288000000, 1, 2));

RoutedRequest route(const std::string &method, const std::string &path, net::HttpFields query = {},
                    std::string body = "")
{
    return routeRequest(caller, {method, path, std::move(query), {}, std::move(body)}, {});
}

int statusOf(const RoutedRequest &routed)
{
    const auto *answer = std::get_if<net::HttpAnswer>(&routed);
    return answer != nullptr ? answer->status : 0;
}

template <typename Event> const Event &eventOf(const RoutedRequest &routed)
{
    REQUIRE(std::holds_alternative<core::Event>(routed));
    REQUIRE(std::holds_alternative<Event>(std::get<core::Event>(routed)));
    return std::get<Event>(std::get<core::Event>(routed));
}

core::AttemptOutcome outcomeOf(net::HttpOutcome outcome, int status = 0, net::HttpFields headers = {})
{
    return readAttemptEnd({}, {outcome, status, std::move(headers), "body", ""}).outcome;
}

} // namespace

// Guards against requests that are routed to another job or another action than the caller asked for.
TEST_CASE("paths lead to their events")
{
    const std::string body =
            R"({"organisation":"north","template":"quote","key":")" + key + R"(","tasks":[{"payload":"p"}]})";
    CHECK(eventOf<core::SubmitJob>(route("POST", "/v1/jobs", {}, body)).wait);
    CHECK_FALSE(eventOf<core::SubmitJob>(route("POST", "/v1/jobs", {{"wait", "0"}}, body)).wait);
    const std::string job = "/v1/jobs/north/" + key;
    const auto fetch = eventOf<core::FetchAnswer>(route("GET", job, {{"wait_ms", "250"}}));
    CHECK(fetch.caller == caller);
    CHECK(fetch.organisation == "north");
    CHECK(core::toString(fetch.key) == key);
    CHECK(fetch.waitMs == 250);
    CHECK(core::toString(eventOf<core::CancelJob>(route("DELETE", job)).key) == key);
    CHECK(core::toString(eventOf<core::RequestTrace>(route("GET", job + "/trace")).key) == key);
    const auto byId =
            eventOf<core::FetchAnswer>(route("GET", "/v1/jobs/north/order/7", {{"issued_at", "1733288000000"}}));
    CHECK(byId.key == core::makeKeyFromId("order/7", 1733288000000));
    CHECK(eventOf<core::RequestKeys>(route("POST", "/v1/keys", {{"organisation", "north"}, {"count", "5"}})).count
          == 5);
    CHECK(std::get<AdminRequest>(route("POST", "/v1/admin/drain")) == AdminRequest::Drain);
    CHECK(std::get<AdminRequest>(route("GET", "/metrics")) == AdminRequest::Metrics);
    CHECK(statusOf(route("GET", "/healthz")) == 200);
}

// Guards against malformed requests that are accepted with a guessed meaning instead of rejected.
TEST_CASE("bad requests get 4xx with a place")
{
    CHECK(statusOf(route("GET", "/")) == 404);
    CHECK(statusOf(route("PUT", "/v1/jobs")) == 404);
    CHECK(statusOf(route("GET", "/v1/jobs/north")) == 404);
    CHECK(statusOf(route("DELETE", "/v1/jobs/north/" + key + "/trace")) == 404);
    CHECK(statusOf(route("GET", "/v1/jobs/north/no-key")) == 400);
    CHECK(statusOf(route("GET", "/v1/jobs/north/" + key, {{"wait_ms", "-1"}})) == 400);
    CHECK(statusOf(route("GET", "/v1/jobs//" + key)) == 400);
    CHECK(statusOf(route("POST", "/v1/jobs", {{"wait", "maybe"}}, "{}")) == 400);
    CHECK(statusOf(route("POST", "/v1/jobs", {}, "{}")) == 400);
    CHECK(statusOf(route("POST", "/v1/keys", {{"count", "5"}})) == 400);
    CHECK(statusOf(route("POST", "/v1/keys", {{"organisation", "north"}, {"count", "1001"}})) == 400);
}

// Guards against "not started" for an attempt that may have run, which would let a task run twice.
TEST_CASE("only certain outcomes of an attempt are reported as such")
{
    using core::AttemptOutcome;
    CHECK(outcomeOf(net::HttpOutcome::NotSent) == AttemptOutcome::NotStarted);
    CHECK(outcomeOf(net::HttpOutcome::Unknown) == AttemptOutcome::Unknown);
    CHECK(outcomeOf(net::HttpOutcome::Answered, 200) == AttemptOutcome::Completed);
    CHECK(outcomeOf(net::HttpOutcome::Answered, 500) == AttemptOutcome::Failed);
    CHECK(outcomeOf(net::HttpOutcome::Answered, 503, {{"x-not-started", "busy"}}) == AttemptOutcome::Busy);
    CHECK(outcomeOf(net::HttpOutcome::Answered, 503, {{"x-not-started", "refused"}}) == AttemptOutcome::NotStarted);
    CHECK(outcomeOf(net::HttpOutcome::Answered, 503) == AttemptOutcome::Unknown);
    CHECK(outcomeOf(net::HttpOutcome::Answered, 502) == AttemptOutcome::Unknown);
    const auto ended = readAttemptEnd({}, {net::HttpOutcome::Answered, 200, {{"X-Service-Us", "1500"}}, "result", ""});
    CHECK(ended.result == "result");
    CHECK(ended.serviceUs == 1500);
}
