#include "logservice/log_client.h"
#include "logservice/vm_list_client.h"
#include "tests/unit/net/servers.h"

#include <catch2/catch.hpp>

#include <absl/strings/escaping.h>

#include <condition_variable>
#include <deque>
#include <mutex>

using namespace clementinelift;
using namespace clementinelift::net;
using namespace clementinelift::logservice;

namespace {

std::string makePage(std::int64_t first, std::int64_t end, const std::vector<std::pair<int, std::string>> &records)
{
    std::string list;
    for (const auto &[offset, data] : records) {
        list += (list.empty() ? "" : ",") + std::string(R"({"offset":)") + std::to_string(offset)
                + R"(,"time_ms":1000,"data":")" + absl::Base64Escape(data) + "\"}";
    }
    return R"({"first_available":)" + std::to_string(first) + R"(,"end":)" + std::to_string(end) + R"(,"records":[)"
            + list + "]}";
}

// Answers requests with the given answers in order and records the requests. Further requests stay unanswered.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::deque<HttpAnswer> answers) : m_answers(std::move(answers))
    {
        auto started = HttpServer::start({}, [this](HttpCall call, HttpRequest &&request) { serve(call, request); });
        m_server = *std::move(started);
        m_started = true;
        m_started.notify_all();
    }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_server->port()); }
    std::vector<std::string> tags()
    {
        const std::lock_guard lock(m_mutex);
        return m_tags;
    }
    std::vector<std::string> queries()
    {
        const std::lock_guard lock(m_mutex);
        return m_queries;
    }

private:
    void serve(HttpCall call, const HttpRequest &request)
    {
        m_started.wait(false);
        const std::lock_guard lock(m_mutex);
        if (!m_answers.empty())
            m_tags.push_back(std::string(findField(request.headers, "If-None-Match")));
        m_queries.push_back(std::string(findField(request.query, "from")) + "/"
                            + std::string(findField(request.query, "wait_ms")));
        if (m_answers.empty())
            return;
        m_server->answer(call, std::move(m_answers.front()));
        m_answers.pop_front();
    }

    std::atomic<bool> m_started = false;
    std::mutex m_mutex;
    std::deque<HttpAnswer> m_answers;
    std::vector<std::string> m_queries;
    std::vector<std::string> m_tags; // If-None-Match values of the answered requests
    std::unique_ptr<HttpServer> m_server;
};

// Records the events of the clients.
struct Reports
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<core::LogRead> reads;
    int unavailable = 0;
    std::vector<core::AppendEnded> appends;

    LogClientHandlers handlers()
    {
        return {[this](core::LogRead &&read) { change([&] { reads.push_back(std::move(read)); }); },
                [this](core::LogUnavailable) { change([&] { ++unavailable; }); },
                [this](core::AppendEnded ended) { change([&] { appends.push_back(ended); }); }};
    }
    template <typename Change> void change(Change apply)
    {
        const std::lock_guard lock(mutex);
        apply();
        changed.notify_all();
    }
    template <typename Condition> bool waitFor(Condition condition)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, std::chrono::seconds(20), condition);
    }
};

const std::string release = encodeLogBody(core::ReleaseRecord{core::Incarnation{7}, 5});

} // namespace

// Guards against skipped or duplicate records, and against a reader that does not continue after an outage or that
// waits before its first read.
TEST_CASE("log client follows a stream through failures and gaps")
{
    ScriptedServer server({{200, makePage(0, 2, {{0, release}})},
                           {503, ""},
                           {200, "{"},
                           {200, makePage(0, 2, {{1, release}})},
                           {200, makePage(9, 9, {})}});
    HttpClient http({});
    Reports reports;
    LogClient log({.url = server.url(), .pollWaitMs = 1000, .firstRetryMs = 1, .maxRetryMs = 1}, http,
                  reports.handlers());
    log.follow(core::Stream::Ownership, 0);
    REQUIRE(reports.waitFor([&] { return reports.reads.size() == 3; }));
    http.stop();
    CHECK(reports.unavailable >= 2);
    CHECK_FALSE(reports.reads[0].caughtUp);
    CHECK(reports.reads[0].nextOffset == 1);
    CHECK(std::holds_alternative<core::ReleaseRecord>(reports.reads[0].records[0].body));
    CHECK(reports.reads[1].caughtUp);
    CHECK(reports.reads[2].firstAvailable == 9);
    CHECK(reports.reads[2].nextOffset == 9);
    const auto queries = server.queries();
    CHECK(std::vector(queries.begin(), queries.begin() + 5)
          == std::vector<std::string>{"0/0", "1/1000", "1/0", "1/0", "2/1000"});
}

// Guards against an append that counts as refused although it may have been stored, and against one that counts as
// unknown although it was refused.
TEST_CASE("outcomes of appends say no more than is known")
{
    HttpClient http({});
    Reports reports;
    const auto outcomeOf = [&](const std::string &url) {
        LogClient log({.url = url}, http, reports.handlers());
        log.append(core::AppendId{3}, core::Stream::Ownership, core::ReleaseRecord{});
        REQUIRE(reports.waitFor([&] { return reports.appends.size() == 1; }));
        return reports.appends[0].outcome;
    };
    SECTION("answers")
    {
        const auto [status, body, outcome] = GENERATE(
                table<int, std::string, core::AppendOutcome>({{200, R"({"offset":17})", core::AppendOutcome::Appended},
                                                              {200, "", core::AppendOutcome::Unknown},
                                                              {200, R"({"offset":-1})", core::AppendOutcome::Unknown},
                                                              {429, "", core::AppendOutcome::Refused},
                                                              {503, "", core::AppendOutcome::Refused},
                                                              {500, "", core::AppendOutcome::Unknown}}));
        ScriptedServer server({{status, body}});
        CHECK(outcomeOf(server.url()) == outcome);
        CHECK(reports.appends[0].offset == (outcome == core::AppendOutcome::Appended ? 17 : -1));
    }
    SECTION("lost answer")
    {
        ClosingServer server;
        server.run(0);
        CHECK(outcomeOf("http://127.0.0.1:" + std::to_string(server.port)) == core::AppendOutcome::Unknown);
        CHECK(server.requests == 1);
    }
    SECTION("nobody listens")
    {
        ClosingServer server;
        CHECK(outcomeOf("http://127.0.0.1:" + std::to_string(server.port)) == core::AppendOutcome::Refused);
    }
    http.stop();
}

// Guards against answers to an older read that arrive after a call of follow() and move the reader back.
TEST_CASE("a seek replaces the read in progress")
{
    ScriptedServer server({{200, makePage(0, 1, {{0, release}})}});
    HttpClient http({});
    Reports reports;
    LogClient log({.url = server.url()}, http, reports.handlers());
    log.follow(core::Stream::Config, 0);
    log.follow(core::Stream::Config, 50);
    while (server.queries().size() < 2)
        std::this_thread::yield();
    log.follow(core::Stream::Config, 100);
    while (server.queries().size() < 3)
        std::this_thread::yield();
    http.stop();
    CHECK(server.queries().back() == "100/0");
}

// Guards against undecodable records that stop the stream, and against pages with invalid offsets.
TEST_CASE("undecodable records keep their offset and change nothing")
{
    const std::string change = encodeLogBody(core::ChangeRecord{"c", "a", {}});
    const auto page = decodeLogPage(core::Stream::Ownership, 0, makePage(0, 3, {{0, "?"}, {1, change}, {2, release}}));
    REQUIRE(page);
    CHECK(page->undecodableRecords == 2);
    REQUIRE(page->records.size() == 3);
    CHECK(std::get<core::GrantRecord>(page->records[0].body).partitions.none());
    CHECK(std::holds_alternative<core::GrantRecord>(page->records[1].body));
    CHECK(std::holds_alternative<core::ReleaseRecord>(page->records[2].body));
    const auto config = decodeLogPage(core::Stream::Config, 0, makePage(0, 1, {{0, release}}));
    REQUIRE(config);
    CHECK(std::get<core::ChangeRecord>(config->records[0].body).entries.empty());

    CHECK_FALSE(decodeLogPage(core::Stream::Config, 0, makePage(0, 2, {{1, release}, {0, release}})));
    CHECK_FALSE(decodeLogPage(core::Stream::Config, 0, makePage(0, 1, {{1, release}})));
    CHECK_FALSE(decodeLogPage(core::Stream::Config, 5, makePage(0, 9, {{4, release}})));
    CHECK_FALSE(decodeLogPage(core::Stream::Config, 0, R"({"first_available":0,"end":1,"records":[{"offset":0}]})"));
    CHECK_FALSE(decodeLogPage(core::Stream::Config, 0, "[]"));
}

// Guards against sending and decoding a list of 50 backend servers twice a second although it is unchanged.
TEST_CASE("an unchanged VM list is read once")
{
    HttpAnswer first{200, R"({"vms":[]})"};
    first.headers.emplace_back("ETag", "\"1\"");
    HttpAnswer second = first;
    second.headers[0].second = "\"2\"";
    ScriptedServer server({first, {304, ""}, {304, ""}, second});
    HttpClient http({});
    Reports reports;
    int lists = 0;
    int failures = 0;
    VmListClient client(
            {server.url(), 1, 5000}, http, [&](core::VmListRead &&) { reports.change([&] { ++lists; }); },
            [&](std::string_view) { reports.change([&] { ++failures; }); });
    CHECK(reports.waitFor([&] { return lists == 2; }));
    http.stop();
    CHECK(server.tags() == std::vector<std::string>{"", "\"1\"", "\"1\"", "\"1\""});
}

// Guards against lists that omit invalid VMs silently: a missing backend server counts as removed.
TEST_CASE("a VM list is taken as a whole or not at all")
{
    const std::string backend = R"({"name":"b-1","role":"backend","address":"127.0.0.1:1","zone":"z1","rack":"r1",)"
                                R"("state":"leaving","slots":4,"cores":1.5})";
    const std::string entry = R"({"name":"e-1","role":"entry","address":"127.0.0.1:2","zone":"z1","state":"live"})";
    const auto list = [](const std::string &vms) { return decodeVmList(R"({"vms":[)" + vms + "]}"); };
    const auto read = list(backend + "," + entry + R"(,{"name":"d-1","role":"database"})");
    REQUIRE(read);
    REQUIRE(read->backends.size() == 1);
    CHECK(read->backends[0].leaving);
    CHECK(read->backends[0].slots == 4);
    CHECK(read->backends[0].cores == 1.5F);
    REQUIRE(read->nodes.size() == 1);
    CHECK_FALSE(read->nodes[0].leaving);

    CHECK(list(backend + "," + backend).error().place == "vms[1].name");
    CHECK(list(entry + R"(,{"name":"e-2","role":"entry","address":"x","zone":"z1","state":"dead"})").error().place
          == "vms[1].state");
    CHECK(list(R"({"name":"b","role":"backend","address":"x","zone":"z","state":"live","slots":0.5})").error().place
          == "vms[0].slots");
    CHECK_FALSE(list("3"));
    CHECK_FALSE(decodeVmList("{}"));
}
