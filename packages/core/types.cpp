#include "core/types.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace clementinelift::core {

namespace {

constexpr std::uint64_t versionBits = 0x7000; // UUID version 7
constexpr std::uint64_t variantBits = 0x8000000000000000;
constexpr std::uint64_t variantMask = 0xc000000000000000;
constexpr std::size_t textLength = 36;

std::array<char, 16> bigEndianBytes(const Key &key)
{
    std::array<char, 16> bytes{};
    for (std::size_t i = 0; i < 8; ++i) {
        bytes[i] = static_cast<char>(key.high >> (56 - 8 * i));
        bytes[8 + i] = static_cast<char>(key.low >> (56 - 8 * i));
    }
    return bytes;
}

std::optional<std::uint64_t> parseHex(std::string_view digits)
{
    std::uint64_t value = 0;
    for (const char c : digits) {
        const int digit = c >= '0' && c <= '9' ? c - '0'
                : c >= 'a' && c <= 'f'         ? c - 'a' + 10
                : c >= 'A' && c <= 'F'         ? c - 'A' + 10
                                               : -1;
        if (digit < 0)
            return std::nullopt;
        value = value << 4 | static_cast<std::uint64_t>(digit);
    }
    return value;
}

} // namespace

std::string toString(const AttemptId &attempt)
{
    return absl::StrFormat("%016x-%d", raw(attempt.incarnation), attempt.sequence);
}

std::optional<AttemptId> parseAttemptId(std::string_view text)
{
    constexpr std::size_t hexDigits = 16;
    if (text.size() < hexDigits + 2 || text[hexDigits] != '-')
        return std::nullopt;
    const auto incarnation = parseHex(text.substr(0, hexDigits));
    std::uint64_t sequence = 0;
    const std::string_view tail = text.substr(hexDigits + 1);
    if (!incarnation || !absl::SimpleAtoi(absl::string_view(tail.data(), tail.size()), &sequence))
        return std::nullopt;
    return AttemptId{Incarnation(*incarnation), sequence};
}

Key makeKey(std::int64_t issueMs, std::uint64_t randomHigh, std::uint64_t randomLow)
{
    const auto timestamp = static_cast<std::uint64_t>(issueMs) << 16;
    return Key{timestamp | versionBits | (randomHigh & 0x0fff), variantBits | (randomLow & ~variantMask)};
}

Key makeKeyFromId(std::string_view id, std::int64_t issueMs)
{
    const XXH128_hash_t hash = XXH3_128bits(id.data(), id.size());
    return makeKey(issueMs, hash.high64, hash.low64);
}

std::string toString(const Key &key)
{
    return absl::StrFormat("%08x-%04x-%04x-%04x-%012x", key.high >> 32, key.high >> 16 & 0xffff, key.high & 0xffff,
                           key.low >> 48, key.low & 0xffffffffffff);
}

std::optional<Key> parseKey(std::string_view text)
{
    if (text.size() != textLength || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-')
        return std::nullopt;
    std::string digits;
    for (const std::string_view part :
         {text.substr(0, 8), text.substr(9, 4), text.substr(14, 4), text.substr(19, 4), text.substr(24)})
        digits += part;
    const auto high = parseHex(std::string_view(digits).substr(0, 16));
    const auto low = parseHex(std::string_view(digits).substr(16));
    if (!high || !low || (*high & 0xf000) != versionBits || (*low & variantMask) != variantBits)
        return std::nullopt;
    return Key{*high, *low};
}

std::uint32_t partitionOf(std::string_view organisation, const Key &key)
{
    std::string input(organisation);
    input.push_back('\0');
    const auto bytes = bigEndianBytes(key);
    input.append(bytes.data(), bytes.size());
    return static_cast<std::uint32_t>(XXH3_64bits(input.data(), input.size()) % partitionCount);
}

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::DeadlineUnreachable:
        return "deadline_unreachable";
    case Reason::NeverRunnable:
        return "never_runnable";
    case Reason::QueueFull:
        return "queue_full";
    case Reason::OrganisationConcurrency:
        return "organisation_concurrency";
    case Reason::OrganisationRate:
        return "organisation_rate";
    case Reason::UnknownTemplate:
        return "unknown_template";
    case Reason::UnknownOrganisation:
        return "unknown_organisation";
    case Reason::TemplateNotAllowed:
        return "template_not_allowed";
    case Reason::TooManyTasks:
        return "too_many_tasks";
    case Reason::Draining:
        return "draining";
    case Reason::NotReady:
        return "not_ready";
    case Reason::DedupeFull:
        return "dedupe_full";
    case Reason::KeyTooOld:
        return "key_too_old";
    case Reason::KeyInFuture:
        return "key_in_future";
    case Reason::NoGrant:
        return "no_grant";
    case Reason::OwnerUnreachable:
        return "owner_unreachable";
    case Reason::OwnerGone:
        return "owner_gone";
    case Reason::KeyReused:
        return "key_reused";
    case Reason::NoBackend:
        return "no_backend";
    case Reason::TaskFailed:
        return "task_failed";
    case Reason::DeadlineExceeded:
        return "deadline_exceeded";
    case Reason::Cancelled:
        return "cancelled";
    case Reason::OutcomeUnknown:
        return "outcome_unknown";
    case Reason::AnswerDropped:
        return "answer_dropped";
    case Reason::RetryBudget:
        return "retry_budget";
    case Reason::UnknownKey:
        return "unknown_key";
    case Reason::Count:
        break;
    }
    return "invalid";
}

std::string_view toString(RetryReason reason)
{
    switch (reason) {
    case RetryReason::NotStarted:
        return "not_started";
    case RetryReason::Busy:
        return "busy";
    case RetryReason::Failed:
        return "failed";
    case RetryReason::LostBackend:
        return "lost_backend";
    case RetryReason::Count:
        break;
    }
    return "invalid";
}

} // namespace clementinelift::core
