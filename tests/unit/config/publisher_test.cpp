#include "config/entries.h"
#include "ctl/publisher.h"

#include <catch2/catch.hpp>

using namespace clementinelift;
using namespace clementinelift::ctl;

namespace {

enum class Fault : std::uint8_t { None, Refused, RequestLost, ResponseLost, Delayed, ReadsFail };

// A log service with injected faults; faults[i] applies to the i-th append.
struct FakeLog
{
    std::vector<core::LogRecord> records;
    std::vector<Fault> faults;
    std::int64_t firstAvailable = 0;
    std::int64_t clockMs = 0;
    std::size_t appends = 0;
    int failingReads = 0;
    std::optional<core::ChangeRecord> delayed; // added to the log just before the next append

    void add(const core::ChangeRecord &change)
    {
        records.push_back({static_cast<std::int64_t>(records.size()), clockMs, change});
    }

    core::AppendOutcome append(const core::ChangeRecord &change)
    {
        if (delayed)
            add(*std::exchange(delayed, std::nullopt));
        const Fault fault = appends < faults.size() ? faults[appends] : Fault::None;
        ++appends;
        if (fault == Fault::Refused)
            return core::AppendOutcome::Refused;
        if (fault == Fault::Delayed)
            delayed = change;
        if (fault == Fault::None || fault == Fault::ResponseLost || fault == Fault::ReadsFail)
            add(change);
        if (fault == Fault::ReadsFail)
            failingReads = 1000;
        return fault == Fault::None || fault == Fault::ReadsFail ? core::AppendOutcome::Appended
                                                                 : core::AppendOutcome::Unknown;
    }

    tl::expected<LogPage, std::string> read(std::int64_t from)
    {
        if (failingReads > 0 && failingReads-- > 0)
            return tl::make_unexpected(std::string("outage"));
        LogPage page{firstAvailable, static_cast<std::int64_t>(records.size()), {}};
        for (auto offset = std::max(from, firstAvailable); offset < page.end && page.records.size() < 2; ++offset)
            page.records.push_back(records[offset]);
        return page;
    }

    std::int64_t nowMs() const { return clockMs; }
    void pause(std::int64_t ms) { clockMs += ms; }
};

core::ChangeRecord makeChange(const std::string &id, std::int64_t baseVersion)
{
    return {id, "author of " + id, {{"template/a", baseVersion, "run_ms = 5"}}};
}

PublishResult publishTo(FakeLog &log, const core::ChangeRecord &change)
{
    LogReader reader(log, config::parseEntry);
    return publish(log, reader, change, 10000);
}

} // namespace

// Guards against a change that is appended twice after a lost response, and against one that is never appended.
TEST_CASE("a change is accepted after refusals and lost responses")
{
    struct Case
    {
        std::vector<Fault> faults;
        std::uint32_t appends = 0;
    };
    const Case testCase =
            GENERATE(Case{{}, 1}, Case{{Fault::Refused, Fault::Refused}, 3}, Case{{Fault::RequestLost}, 2},
                     Case{{Fault::ResponseLost}, 1}, Case{{Fault::Delayed}, 2});
    FakeLog log;
    log.faults = testCase.faults;
    const PublishResult result = publishTo(log, makeChange("c", 0));
    CHECK(result.state == PublishState::Accepted);
    CHECK(result.appends == testCase.appends);
    CHECK(result.outcome.offset == 0);
}

// Guards against "accepted" for a change that conflicts with an earlier one, and against a conflict that does not name
// the earlier change and its author.
TEST_CASE("a conflict names the earlier change")
{
    FakeLog log;
    log.add(makeChange("earlier", 0));
    const PublishResult beforeAppend = publishTo(log, makeChange("conflicting", 0));
    CHECK(beforeAppend.state == PublishState::Conflict);
    CHECK(beforeAppend.appends == 0);
    CHECK(beforeAppend.outcome.conflictAuthor == "author of earlier");

    FakeLog racing;
    racing.delayed = makeChange("earlier", 0);
    const PublishResult afterAppend = publishTo(racing, makeChange("conflicting", 0));
    CHECK(afterAppend.state == PublishState::Conflict);
    CHECK(afterAppend.outcome.offset == 1);
    CHECK(afterAppend.outcome.conflictChange == "earlier");
}

// Guards against "not appended" for a change that may be in the log, and "uncertain" for one that certainly is not,
// when an outage of the log service keeps the verdict from being read back.
TEST_CASE("a change without a verdict is reported as not appended or as uncertain")
{
    FakeLog down;
    down.failingReads = 1000;
    CHECK(publishTo(down, makeChange("c", 0)).state == PublishState::NotAppended);
    CHECK(down.appends == 0);

    FakeLog refusing;
    refusing.faults.assign(1000, Fault::Refused);
    CHECK(publishTo(refusing, makeChange("c", 0)).state == PublishState::NotAppended);

    FakeLog unreadable;
    unreadable.faults = {Fault::ReadsFail};
    CHECK(publishTo(unreadable, makeChange("c", 0)).state == PublishState::Uncertain);
    CHECK(unreadable.appends == 1);
}

// Guards against publishing on top of an incomplete configuration after the log service has dropped records.
TEST_CASE("the reader starts from a snapshot when records were dropped")
{
    FakeLog log;
    log.add(makeChange("c0", 0));
    log.add(makeChange("c1", 1));
    core::Configuration other(config::parseEntry);
    for (const core::LogRecord &record : log.records)
        other.apply(record);
    log.add(makeChange("c2", 2));
    log.firstAvailable = 1;
    LogReader incomplete(log, config::parseEntry);
    CHECK_FALSE(incomplete.readToEnd());

    log.records.push_back({3, 0, other.snapshot()});
    log.firstAvailable = 2;
    LogReader reader(log, config::parseEntry);
    REQUIRE(reader.readToEnd());
    CHECK(reader.configuration().nextOffset() == 4);
    CHECK(reader.configuration().entry("template/a")->version == 3);
}
