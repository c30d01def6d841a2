// JSON of the caller interface and of backend servers.
#include "net/bounded_json.h"
#include "net/codec.h"

#include <absl/strings/escaping.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace clementinelift::net {

namespace {

using namespace core;

constexpr std::int64_t maxRunMs = maxDeadlineMs;
constexpr double maxCores = 4096;
constexpr std::int64_t maxMemoryMb = 1 << 24;
constexpr std::size_t maxRequestDepth = 4;
constexpr std::size_t valuesPerTask = 5;     // the object and its fields
constexpr std::size_t valuesPerRequest = 16; // fields outside of the tasks
constexpr int statusBadRequest = 400;

// Reads the fields of one JSON object and keeps the first error. finish() reports fields that were not read.
class Fields
{
public:
    Fields(const Json &object, std::string place, std::optional<DecodeError> &error)
        : m_object(object), m_place(std::move(place)), m_error(error)
    {
        if (!object.is_object())
            fail("", "must be an object");
    }

    const std::string *text(std::string_view name, bool required)
    {
        const Json *found = find(name, required);
        if (found == nullptr)
            return nullptr;
        const auto *text = found->get_ptr<const std::string *>();
        if (text == nullptr)
            fail(name, std::string(name) + " must be a string");
        return text;
    }
    void name(std::string_view name, std::string &target)
    {
        const std::string *value = text(name, true);
        if (value == nullptr)
            return;
        auto decoded = decodeName(name, *value);
        if (decoded)
            target = *std::move(decoded);
        else
            fail(name, decoded.error().detail);
    }
    template <typename T> bool integer(std::string_view name, T &target, std::int64_t min, std::int64_t max)
    {
        const Json *found = find(name, false);
        if (found == nullptr)
            return false;
        const auto range = std::to_string(min) + " .. " + std::to_string(max);
        const bool isWhole = found->is_number_integer() && !(found->is_number_unsigned() && exceedsInt64(*found));
        if (!isWhole || found->get<std::int64_t>() < min || found->get<std::int64_t>() > max) {
            fail(name, std::string(name) + " must be a whole number " + range);
            return false;
        }
        target = static_cast<T>(found->get<std::int64_t>());
        return true;
    }
    void positive(std::string_view name, float &target, double max)
    {
        const Json *found = find(name, false);
        if (found == nullptr)
            return;
        const double value = found->is_number() ? found->get<double>() : 0;
        if (std::isfinite(value) && value > 0 && value <= max)
            target = static_cast<float>(value);
        else
            fail(name, std::string(name) + " must be a number above 0, at most " + std::to_string(max));
    }
    const Json *list(std::string_view name)
    {
        const Json *found = find(name, true);
        if (found == nullptr || found->is_array())
            return found;
        fail(name, std::string(name) + " must be a list");
        return nullptr;
    }
    void finish()
    {
        if (m_error || m_object.size() == m_known.size())
            return;
        for (const auto &[name, value] : m_object.items()) {
            if (std::find(m_known.begin(), m_known.end(), name) == m_known.end())
                fail(name.substr(0, maxNameBytes), "unknown field");
        }
    }
    void fail(std::string_view name, std::string detail)
    {
        if (m_error)
            return;
        std::string place = m_place;
        if (!name.empty())
            place.append(place.empty() ? "" : ".").append(name);
        m_error = DecodeError{std::move(place), std::move(detail)};
    }

private:
    static bool exceedsInt64(const Json &number)
    {
        return number.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    }
    const Json *find(std::string_view name, bool required)
    {
        if (m_error)
            return nullptr;
        const auto found = m_object.find(name);
        if (found != m_object.end()) {
            m_known.push_back(name);
            return &*found;
        }
        if (required)
            fail(name, std::string(name) + " is missing");
        return nullptr;
    }

    const Json &m_object;
    std::string m_place;
    std::optional<DecodeError> &m_error;
    std::vector<std::string_view> m_known; // fields that were read
};

void readTask(const Json &object, std::size_t index, TaskRequest &task, std::optional<DecodeError> &error)
{
    Fields fields(object, "tasks[" + std::to_string(index) + "]", error);
    if (const std::string *payload = fields.text("payload", true))
        task.payload = *payload;
    fields.integer("run_ms", task.runMs, 1, maxRunMs);
    fields.positive("cores", task.cores, maxCores);
    fields.integer("memory_mb", task.memoryMb, 1, maxMemoryMb);
    fields.finish();
}

void readKey(Fields &fields, Key &key)
{
    const std::string *text = fields.text("key", true);
    std::int64_t issueMs = 0;
    const bool hasIssueTime = fields.integer("issued_at", issueMs, 0, maxIssueMs);
    if (text == nullptr)
        return;
    const std::string issueText = std::to_string(issueMs);
    const auto decoded = decodeKey(*text, hasIssueTime ? std::optional<std::string_view>(issueText) : std::nullopt);
    if (decoded)
        key = *decoded;
    else
        fields.fail(decoded.error().place, decoded.error().detail);
}

// The hash includes the lengths, so that moving bytes from one payload to the next changes the hash.
std::uint64_t hashBody(const JobRequest &request)
{
    XXH3_state_t state;
    XXH3_64bits_reset(&state);
    const auto add = [&state](const auto &number) { XXH3_64bits_update(&state, &number, sizeof number); };
    const auto addText = [&](std::string_view text) {
        add(static_cast<std::uint64_t>(text.size()));
        XXH3_64bits_update(&state, text.data(), text.size());
    };
    addText(request.templateName);
    for (const TaskRequest &task : request.tasks) {
        addText(task.payload);
        add(task.runMs);
        add(task.cores);
        add(task.memoryMb);
    }
    return XXH3_64bits_digest(&state);
}

int statusOf(const Answer &answer)
{
    switch (answer.kind) {
    case AnswerKind::Pending:
        return 202;
    case AnswerKind::Complete:
        return 200;
    case AnswerKind::Failed:
        return answer.reason == Reason::UnknownKey ? 404 : 200;
    case AnswerKind::Refused:
        break;
    }
    switch (answer.reason) {
    case Reason::KeyReused:
        return 409;
    case Reason::OrganisationConcurrency:
    case Reason::OrganisationRate:
        return 429;
    default:
        return 503;
    }
}

bool isRetryable(Reason reason)
{
    constexpr Reason retryable[] = {Reason::DeadlineUnreachable, Reason::QueueFull,   Reason::OrganisationConcurrency,
                                    Reason::OrganisationRate,    Reason::Draining,    Reason::NotReady,
                                    Reason::DedupeFull,          Reason::NoGrant,     Reason::OwnerUnreachable,
                                    Reason::NoBackend,           Reason::RetryBudget, Reason::KeyInFuture};
    return std::find(std::begin(retryable), std::end(retryable), reason) != std::end(retryable);
}

bool isUtf8(const std::string &text)
{
    if (std::none_of(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) >= 0x80; }))
        return true;
    try {
        (void)Json(text).dump(); // dump() throws on invalid UTF-8
        return true;
    } catch (const Json::type_error &) {
        return false;
    }
}

Json writeResult(const std::string &result)
{
    if (isUtf8(result))
        return result;
    return Json{{"base64", absl::Base64Escape(result)}};
}

HttpAnswer makeAnswer(int status, const Json &body)
{
    return {status, writeJson(body)};
}

} // namespace

HttpAnswer encodeError(const DecodeError &error, int status, std::string_view name)
{
    return makeAnswer(status, Json{{"error", name}, {"place", error.place}, {"detail", error.detail}});
}

Decoded<JobRequest> decodeJobRequest(std::string_view body, std::uint32_t maxTasks)
{
    std::string problem;
    const ParseLimits limits{maxRequestDepth, valuesPerRequest + valuesPerTask * std::size_t(maxTasks)};
    const Json object = parseBounded(body, Json::input_format_t::json, limits, problem);
    if (object.is_discarded())
        return tl::unexpected(DecodeError{"", "not JSON: " + problem});
    std::optional<DecodeError> error;
    JobRequest request;
    Fields fields(object, "", error);
    fields.name("organisation", request.organisation);
    fields.name("template", request.templateName);
    readKey(fields, request.key);
    fields.integer("deadline_ms", request.deadlineMs, 1, maxDeadlineMs);
    const Json *tasks = fields.list("tasks");
    if (tasks != nullptr && (tasks->empty() || tasks->size() > maxTasks))
        fields.fail("tasks", "tasks must have 1 .. " + std::to_string(maxTasks) + " entries");
    for (std::size_t i = 0; tasks != nullptr && !error && i < tasks->size(); ++i)
        readTask((*tasks)[i], i, request.tasks.emplace_back(), error);
    fields.finish();
    if (error)
        return tl::unexpected(*std::move(error));
    request.bodyHash = hashBody(request);
    return request;
}

Decoded<Key> decodeKey(std::string_view text, std::optional<std::string_view> issuedAt)
{
    if (issuedAt) {
        const auto issueMs = decodeNumber("issued_at", *issuedAt, 0, maxIssueMs);
        if (!issueMs)
            return tl::unexpected(issueMs.error());
        if (text.empty() || text.size() > maxIdBytes)
            return tl::unexpected(DecodeError{"key", "key must have 1 .. " + std::to_string(maxIdBytes) + " bytes"});
        return makeKeyFromId(text, *issueMs);
    }
    if (const auto key = parseKey(text))
        return *key;
    return tl::unexpected(DecodeError{"key", "key must be a UUID of version 7, or any text together with issued_at"});
}

Decoded<std::int64_t> decodeNumber(std::string_view place, std::string_view text, std::int64_t min, std::int64_t max)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [last, problem] = std::from_chars(text.data(), end, value);
    if (!text.empty() && problem == std::errc() && last == end && value >= min && value <= max)
        return value;
    return tl::unexpected(DecodeError{std::string(place),
                                      std::string(place) + " must be a whole number " + std::to_string(min) + " .. "
                                              + std::to_string(max)});
}

Decoded<std::string> decodeName(std::string_view place, std::string_view text)
{
    const bool isPlain =
            std::all_of(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) >= 0x20; });
    if (!text.empty() && text.size() <= maxNameBytes && isPlain)
        return std::string(text);
    return tl::unexpected(DecodeError{std::string(place),
                                      std::string(place) + " must have 1 .. " + std::to_string(maxNameBytes)
                                              + " bytes and no control characters"});
}

HttpAnswer encodeAnswer(const Answer &answer)
{
    Json body;
    switch (answer.kind) {
    case AnswerKind::Pending:
        body["answer"] = "pending";
        break;
    case AnswerKind::Complete: {
        body["answer"] = "complete";
        Json &results = body["results"] = Json::array();
        for (const std::string &result : answer.results)
            results.push_back(writeResult(result));
        break;
    }
    case AnswerKind::Failed:
        body = {{"answer", "failed"}, {"effects", answer.effects == Effects::None ? "none" : "possible"}};
        break;
    case AnswerKind::Refused:
        body = {{"answer", "refused"},
                {"statement", answer.statement == Statement::NotRun ? "not_run" : "attempt_not_run"}};
        break;
    }
    if (answer.kind == AnswerKind::Failed || answer.kind == AnswerKind::Refused) {
        body["reason"] = toString(answer.reason);
        body["detail"] = answer.detail;
    }
    HttpAnswer result = makeAnswer(statusOf(answer), body);
    if (answer.kind == AnswerKind::Refused && isRetryable(answer.reason))
        result.headers.emplace_back("Retry-After", "1");
    return result;
}

HttpAnswer encodeKeys(const AnswerKeys &answer)
{
    if (answer.keys.empty()) {
        Answer refusal;
        refusal.kind = AnswerKind::Refused;
        refusal.statement = Statement::AttemptNotRun;
        refusal.reason = answer.reason;
        return encodeAnswer(refusal);
    }
    Json keys = Json::array();
    for (const Key &key : answer.keys)
        keys.push_back(toString(key));
    return makeAnswer(200, Json{{"keys", std::move(keys)}});
}

Decoded<AttemptStatus> decodeAttemptStatus(std::string_view body)
{
    constexpr std::pair<std::string_view, AttemptState> states[] = {{"running", AttemptState::Running},
                                                                    {"completed", AttemptState::Completed},
                                                                    {"failed", AttemptState::Failed},
                                                                    {"unknown", AttemptState::NotKnown}};
    std::string problem;
    const Json object = parseBounded(body, Json::input_format_t::json, {maxRequestDepth, valuesPerRequest}, problem);
    if (object.is_discarded())
        return tl::unexpected(DecodeError{"", "not JSON: " + problem});
    std::optional<DecodeError> error;
    Fields fields(object, "", error);
    AttemptStatus status;
    if (const std::string *state = fields.text("state", true)) {
        const auto found = std::find_if(std::begin(states), std::end(states),
                                        [&](const auto &known) { return known.first == *state; });
        if (found != std::end(states))
            status.state = found->second;
        else
            fields.fail("state", "unknown state");
    }
    if (const std::string *result = fields.text("result", status.state == AttemptState::Completed))
        status.result = *result;
    if (error)
        return tl::unexpected(*std::move(error));
    return status;
}

HttpAnswer encodeTrace(const AnswerTrace &answer)
{
    Json trace = Json::array();
    for (const TraceEntry &entry : answer.entries)
        trace.push_back(Json{{"at_ms", entry.wallMs}, {"text", entry.text}});
    return makeAnswer(answer.entries.empty() ? 404 : 200, Json{{"trace", std::move(trace)}});
}

} // namespace clementinelift::net
