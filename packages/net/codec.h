// Encodes and decodes the structs of the core as JSON and CBOR.
//
// All decoders are strict: any input gives a value or a DecodeError, never an exception. Numbers outside the
// range of a field, unknown message types and wrong types are errors. Unknown fields are errors in requests of callers
// (a misspelt limit must not be ignored) and are skipped in peer messages and log records (so that fields can be
// added).
//
// Contents
//   Errors
//   Caller interface     JSON of docs/protocols.md, section 1
//   Backend servers      JSON, section 3
//   Peer messages        CBOR, section 6
//   Log records          CBOR, section 7
#pragma once

#include "core/events.h"
#include "net/http_server.h"

#include <tl/expected.hpp>

namespace clementinelift::net {

// Errors --------------------------------------------------------------------------------------------

struct DecodeError
{
    std::string place;  // path of the field, such as "tasks[3].payload"; empty: the whole text
    std::string detail; // what is wrong and what is allowed
};

template <typename T> using Decoded = tl::expected<T, DecodeError>;

// {"error", "place", "detail"} with status 400, or another 4xx.
HttpAnswer encodeError(const DecodeError &error, int status = 400, std::string_view name = "bad_request");

// Caller interface ----------------------------------------------------------------------------------

constexpr std::size_t maxNameBytes = 128;                        // of organisations and templates
constexpr std::size_t maxIdBytes = 256;                          // of a caller's own id
constexpr std::int64_t maxIssueMs = (std::int64_t(1) << 48) - 1; // the time field of a key
constexpr std::int64_t maxDeadlineMs = 24 * 3600 * 1000;
constexpr std::int64_t maxWaitMs = 60 * 1000; // of a fetch
constexpr std::uint32_t maxKeyCount = 1000;   // of one request for keys

// Body of POST /v1/jobs. Sets every field, bodyHash included.
Decoded<core::JobRequest> decodeJobRequest(std::string_view body, std::uint32_t maxTasks);

// Decodes the key in a path together with the value of issued_at. Without issued_at the text must be a UUIDv7.
Decoded<core::Key> decodeKey(std::string_view text, std::optional<std::string_view> issuedAt);

// Decodes an integer in min .. max from a path or query.
Decoded<std::int64_t> decodeNumber(std::string_view place, std::string_view text, std::int64_t min, std::int64_t max);

// An organisation or template name: 1 .. maxNameBytes bytes without control characters.
Decoded<std::string> decodeName(std::string_view place, std::string_view text);

// Status and body of an answer. A result that is not UTF-8 becomes {"base64": "..."}.
HttpAnswer encodeAnswer(const core::Answer &answer);
HttpAnswer encodeKeys(const core::AnswerKeys &answer);
HttpAnswer encodeTrace(const core::AnswerTrace &answer);

// Backend servers -----------------------------------------------------------------------------------

// Body of GET /v1/tasks/{attempt}; leaves the attempt of the result unset.
Decoded<core::AttemptStatus> decodeAttemptStatus(std::string_view body);

// Peer messages -------------------------------------------------------------------------------------

std::string encodePeerMessage(const core::PeerMessage &message);
Decoded<core::PeerMessage> decodePeerMessage(std::string_view bytes);

// Name of the message type on the wire, for counters.
std::string_view peerMessageName(const core::PeerMessage &message);

// Log records ---------------------------------------------------------------------------------------

std::string encodeLogBody(const core::LogBody &body);
Decoded<core::LogBody> decodeLogBody(std::string_view bytes);

} // namespace clementinelift::net
