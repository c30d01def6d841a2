#include "net/codec.h"

#include <catch2/catch.hpp>

using namespace clementinelift;
using namespace clementinelift::core;
using namespace clementinelift::net;

namespace {

const Key key = makeKey(1733288000000, 0x123, 0x456789);

JobRequest makeRequest()
{
    JobRequest request{"north", "quote", key, 5000, 0xfedcba9876543210, {}};
    request.tasks = {{"rack \xff 17", 80, 1.5F, 64}, {"", 0, 0, 0}};
    return request;
}

std::vector<PeerMessage> makePeerMessages()
{
    const std::vector<MemberUpdate> updates{
            {{"e-1", "127.0.0.1:7101", "z1", Incarnation{~0ULL}, true}, NodeState::Left, 7}};
    const Answer answer{AnswerKind::Failed, Statement::None, Effects::Possible,
                        Reason::TaskFailed, {"a", "\xff"},   "detail"};
    ConfigRecords records;
    records.snapshot = SnapshotRecord{9, {{"template/quote", 4, "ann", "c-1", "repeat = never\n"}}};
    records.records = {{9, 1733288000000, ChangeRecord{"c-2", "bob", {{"organisation/north", 0, "weight = 2\n"}}}}};
    records.nextOffset = 10;
    return {Probe{1, 2, updates},
            ProbeAck{3, 4, {}},
            ProbeRequest{5, "e-2"},
            SubmitForward{6, SubmitKind::Cancel, 100, makeRequest()},
            SubmitResult{7, answer},
            SlotRequest{8, "quote", 1.5F, 64, 1000},
            SlotGrant{9, "b-01", 500},
            SlotRefuse{10},
            SlotReturn{11, true, AttemptOutcome::Unknown, 4000},
            Report{1, 2, 1.5F, 3, 4, DemandReport{{{"north", 5, 6, 7.5F}}}},
            ConfigRequest{12},
            records,
            ConfigRecords{},
            Report{},
            BackendLeaving{"b-02"}};
}

std::vector<LogBody> makeLogBodies()
{
    GrantRecord grant{"e-1", "127.0.0.1:7101", Incarnation{1}, {}, 10, 20};
    grant.partitions.set(0).set(9).set(1023);
    return {grant, ReleaseRecord{Incarnation{1}, 15}, ChangeRecord{"c-1", "ann", {{"template/quote", 3, ""}}},
            SnapshotRecord{5, {}}};
}

std::string placeOf(std::string_view body)
{
    const auto decoded = decodeJobRequest(body, 3);
    return decoded ? "accepted" : decoded.error().place;
}

std::string makeBody(const std::string &changed, const std::string &tasks = R"([{"payload":"p"}])")
{
    return R"({"organisation":"north","template":"quote","key":")" + toString(key) + R"(","tasks":)" + tasks + changed
            + "}";
}

} // namespace

// Guards against fields that are lost or swapped on the way to a peer.
TEST_CASE("every peer message and log record survives a round trip")
{
    std::size_t index = 0;
    for (const PeerMessage &message : makePeerMessages()) {
        const std::string bytes = encodePeerMessage(message);
        const auto decoded = decodePeerMessage(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(encodePeerMessage(*decoded) == bytes);
        index = std::max(index, message.index());
    }
    CHECK(index + 1 == std::variant_size_v<PeerMessage>);
    for (const LogBody &body : makeLogBodies()) {
        const std::string bytes = encodeLogBody(body);
        const auto decoded = decodeLogBody(bytes);
        REQUIRE(decoded);
        CHECK(encodeLogBody(*decoded) == bytes);
    }
    const auto forward = std::get<SubmitForward>(*decodePeerMessage(encodePeerMessage(makePeerMessages()[3])));
    CHECK(forward.request.key == key);
    CHECK(forward.request.tasks[0].payload == "rack \xff 17");
    CHECK(forward.request.bodyHash == 0xfedcba9876543210);
    const auto grant = std::get<GrantRecord>(*decodeLogBody(encodeLogBody(makeLogBodies()[0])));
    CHECK(grant.partitions.count() == 3);
    CHECK(grant.partitions[9]);
}

// Guards against periodic messages that exceed the control budget of 3 KB/s because of field names.
TEST_CASE("periodic peer messages are short")
{
    CHECK(encodePeerMessage(Report{100, 200, 1.5F, 3000, 4000, DemandReport{{{"north", 50, 60, 7.5F}}}}).size() <= 40);
    CHECK(encodePeerMessage(Probe{1000, 1733288000000, {}}).size() <= 20);
}

// Guards against crashes and exceptions on damaged frames, and against partly decoded messages that count as complete.
TEST_CASE("damaged frames are errors or other messages, never crashes")
{
    for (const PeerMessage &message : makePeerMessages()) {
        const std::string bytes = encodePeerMessage(message);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(decodePeerMessage(bytes.substr(0, length)));
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            std::string damaged = bytes;
            damaged[i] = static_cast<char>(damaged[i] ^ 0xff);
            const auto decoded = decodePeerMessage(damaged);
            CHECK((!decoded || !encodePeerMessage(*decoded).empty()));
        }
        CHECK_FALSE(decodePeerMessage(bytes + "x"));
    }
}

// Guards against stack overflow by deep nesting and against allocating a length that only the header of a value claims.
TEST_CASE("nested and oversized values are refused")
{
    CHECK_FALSE(decodePeerMessage(std::string(1u << 20, '\x81')));
    CHECK_FALSE(decodePeerMessage(std::string(1u << 20, '\x9f')));
    CHECK_FALSE(decodePeerMessage(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));
    CHECK_FALSE(decodePeerMessage(std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", 9)));
    CHECK_FALSE(decodePeerMessage(std::string("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)));
    CHECK_FALSE(decodeJobRequest(std::string(1u << 20, '['), 3));
    CHECK_FALSE(decodeJobRequest(makeBody("", "[" + std::string(1000, '1') + "]"), 3));
}

// Guards against numbers that overflow later arithmetic, and against enum values outside of the enumerators.
TEST_CASE("wire numbers outside of their range are errors with a place")
{
    const auto check = [](LogBody body, const std::string &place) {
        const auto decoded = decodeLogBody(encodeLogBody(body));
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().place == place);
    };
    check(ReleaseRecord{Incarnation{1}, -1}, "atMs");
    check(ReleaseRecord{Incarnation{1}, INT64_MAX}, "atMs");
    check(ChangeRecord{"c", "a", {{"x", 0, ""}, {"x", -5, ""}}}, "entries[1].baseVersion");
    SlotReturn slot;
    slot.outcome = static_cast<AttemptOutcome>(5);
    CHECK(decodePeerMessage(encodePeerMessage(slot)).error().place == "outcome");
    Report report;
    report.bestFactor = std::numeric_limits<float>::infinity();
    CHECK(decodePeerMessage(encodePeerMessage(report)).error().place == "bestFactor");
    CHECK(decodeLogBody("\xa1\x61t\x63xyz").error().place == "t");
    CHECK(decodePeerMessage("\x81\x18\x63").error().place == "t");
}

// Guards against requests that are accepted although a field was misread, and against errors without a place.
TEST_CASE("caller requests are checked field by field")
{
    const auto request =
            decodeJobRequest(makeBody(R"(,"deadline_ms":5000)",
                                      R"([{"payload":"p","run_ms":80,"cores":0.5,"memory_mb":64},{"payload":""}])"),
                             3);
    REQUIRE(request);
    CHECK(request->organisation == "north");
    CHECK(request->templateName == "quote");
    CHECK(request->key == key);
    CHECK(request->deadlineMs == 5000);
    REQUIRE(request->tasks.size() == 2);
    CHECK(request->tasks[0].runMs == 80);
    CHECK(request->tasks[0].cores == 0.5F);
    CHECK(request->tasks[0].memoryMb == 64);

    CHECK(placeOf("").empty());
    CHECK(placeOf("[]").empty());
    CHECK(placeOf("{}") == "organisation");
    CHECK(placeOf(R"({"organisation":1})") == "organisation");
    CHECK(placeOf(R"({"organisation":"a\u0000b"})") == "organisation");
    CHECK(placeOf(makeBody(R"(,"deadline_ms":0)")) == "deadline_ms");
    CHECK(placeOf(makeBody(R"(,"deadline_ms":1.5)")) == "deadline_ms");
    CHECK(placeOf(makeBody(R"(,"deadline_ms":18446744073709551615)")) == "deadline_ms");
    CHECK(placeOf(makeBody(R"(,"deadline":5000)")) == "deadline");
    CHECK(placeOf(makeBody(R"(,"issued_at":-1)")) == "issued_at");
    CHECK(placeOf(makeBody("", "[]")) == "tasks");
    CHECK(placeOf(makeBody("", "{}")) == "tasks");
    CHECK(placeOf(makeBody("", R"([{"payload":"p"},{"payload":"p"},{"payload":"p"},{"payload":"p"}])")) == "tasks");
    CHECK(placeOf(makeBody("", R"([{"payload":"p"},{"payload":3}])")) == "tasks[1].payload");
    CHECK(placeOf(makeBody("", R"([{"payload":"p","cores":-1}])")) == "tasks[0].cores");
    CHECK(placeOf(makeBody("", R"([{"payload":"p","cores":1e999}])")).empty());
    CHECK(placeOf(makeBody("", R"([{"payload":"p","size":1}])")) == "tasks[0].size");
    CHECK(placeOf("{\"organisation\":\"\xff\"}").empty());
}

// Guards against two different bodies under one key that count as the same submission.
TEST_CASE("the body hash covers template and tasks, not key and deadline")
{
    const auto hash = [](const std::string &body) { return decodeJobRequest(body, 3)->bodyHash; };
    const std::uint64_t plain = hash(makeBody("", R"([{"payload":"ab"},{"payload":"c"}])"));
    CHECK(plain == hash(makeBody(R"(,"deadline_ms":5)", R"([{"payload":"ab"},{"payload":"c"}])")));
    CHECK(plain != hash(makeBody("", R"([{"payload":"a"},{"payload":"bc"}])")));
    CHECK(plain != hash(makeBody("", R"([{"payload":"ab","run_ms":1},{"payload":"c"}])")));
}

// Guards against a caller's own id that gives another key on the second submission or in the path.
TEST_CASE("a pair of id and issue time is one key everywhere")
{
    const std::string body = R"({"organisation":"north","template":"quote","key":"order 1","issued_at":1733288000000,)"
                             R"("tasks":[{"payload":"p"}]})";
    const auto request = decodeJobRequest(body, 3);
    REQUIRE(request);
    CHECK(request->key == *decodeKey("order 1", "1733288000000"));
    CHECK(issueTimeMs(request->key) == 1733288000000);
    CHECK(decodeKey("order 1", std::nullopt).error().place == "key");
    CHECK(decodeKey("order 1", "soon").error().place == "issued_at");
}

// Guards against answers whose status or text does not match their kind, and against results that cannot be encoded.
TEST_CASE("answers have the status and body of the protocol page")
{
    const HttpAnswer complete = encodeAnswer({AnswerKind::Complete, {}, {}, {}, {"a", "\xff"}, ""});
    CHECK(complete.status == 200);
    CHECK(complete.body == R"({"answer":"complete","results":["a",{"base64":"/w=="}]})");
    const HttpAnswer failed =
            encodeAnswer({AnswerKind::Failed, {}, Effects::Possible, Reason::TaskFailed, {}, "x\xff"});
    CHECK(failed.status == 200);
    CHECK(failed.body.find(R"("effects":"possible")") != std::string::npos);
    CHECK(encodeAnswer({AnswerKind::Failed, {}, {}, Reason::UnknownKey, {}, ""}).status == 404);
    const HttpAnswer refused = encodeAnswer({AnswerKind::Refused, Statement::NotRun, {}, Reason::QueueFull, {}, ""});
    CHECK(refused.status == 503);
    CHECK(refused.body.find(R"("statement":"not_run")") != std::string::npos);
    CHECK(findField(refused.headers, "retry-after") == "1");
    CHECK(encodeAnswer({AnswerKind::Refused, Statement::NotRun, {}, Reason::KeyReused, {}, ""}).status == 409);
    CHECK(encodeAnswer({AnswerKind::Refused, Statement::NotRun, {}, Reason::OrganisationRate, {}, ""}).status == 429);
    CHECK(encodeAnswer({}).body == R"({"answer":"pending"})");
}
