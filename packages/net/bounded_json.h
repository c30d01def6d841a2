// Parses untrusted JSON and CBOR into a nlohmann value with limits on depth and size and without exceptions.
//
// nlohmann parses nested CBOR recursively and throws on oversized lengths even when exceptions are disabled, so the
// callbacks of the parser check both before it descends or allocates.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace clementinelift::net {

using Json = nlohmann::json;

struct ParseLimits
{
    std::size_t maxDepth = 16;
    std::size_t maxValues = 1u << 20; // of all types; each value takes 16 bytes of memory or more
};

namespace detail {

// Builds the value like nlohmann's own parser and stops at the limits.
class BoundedParser
{
public:
    BoundedParser(Json &root, const ParseLimits &limits, std::size_t inputBytes)
        : m_builder(root, false), m_limits(limits), m_inputBytes(inputBytes)
    {}

    // Function names required by the SAX interface of nlohmann.
    // NOLINTBEGIN(readability-identifier-naming)
    bool null() { return count() && m_builder.null(); }
    bool boolean(bool value) { return count() && m_builder.boolean(value); }
    bool number_integer(Json::number_integer_t value) { return count() && m_builder.number_integer(value); }
    bool number_unsigned(Json::number_unsigned_t value) { return count() && m_builder.number_unsigned(value); }
    bool number_float(Json::number_float_t value, const std::string &text)
    {
        return count() && m_builder.number_float(value, text);
    }
    bool string(std::string &value) { return count() && m_builder.string(value); }
    bool binary(Json::binary_t &value) { return count() && m_builder.binary(value); }
    bool start_object(std::size_t size) { return open(size) && m_builder.start_object(size); }
    bool key(std::string &name) { return m_builder.key(name); }
    bool end_object() { return close() && m_builder.end_object(); }
    bool start_array(std::size_t size) { return open(size) && m_builder.start_array(size); }
    bool end_array() { return close() && m_builder.end_array(); }
    bool parse_error(std::size_t position, const std::string &, const nlohmann::detail::exception &error)
    {
        m_error = error.what();
        const std::size_t text = m_error.find("] "); // strips the error number of nlohmann
        m_error = "byte " + std::to_string(position) + ": " + m_error.substr(text == std::string::npos ? 0 : text + 2);
        return false;
    }
    // NOLINTEND(readability-identifier-naming)

    const std::string &error() const { return m_error; }
    bool isOverValueLimit() const { return m_values > m_limits.maxValues; }

private:
    bool count()
    {
        if (++m_values <= m_limits.maxValues)
            return true;
        m_error = "more than " + std::to_string(m_limits.maxValues) + " values";
        return false;
    }
    bool open(std::size_t size)
    {
        if (++m_depth > m_limits.maxDepth) {
            m_error = "nested deeper than " + std::to_string(m_limits.maxDepth);
            return false;
        }
        if (size != static_cast<std::size_t>(-1) && size > m_inputBytes) {
            m_error = "a length exceeds the input";
            return false;
        }
        return count();
    }
    bool close()
    {
        --m_depth;
        return true;
    }

    nlohmann::detail::json_sax_dom_parser<Json> m_builder;
    ParseLimits m_limits;
    std::size_t m_inputBytes;
    std::size_t m_depth = 0;
    std::size_t m_values = 0;
    std::string m_error;
};

} // namespace detail

// Discarded (Json::is_discarded) when the input is malformed or over a limit; error then holds the position and
// the reason. isOverValueLimit tells whether the input has more than limits.maxValues.
inline Json parseBounded(std::string_view input, Json::input_format_t format, const ParseLimits &limits,
                         std::string &error, bool *isOverValueLimit = nullptr)
{
    Json root;
    detail::BoundedParser parser(root, limits, input.size());
    if (Json::sax_parse(input.begin(), input.end(), &parser, format))
        return root;
    error = parser.error();
    if (isOverValueLimit != nullptr)
        *isOverValueLimit = parser.isOverValueLimit();
    return Json(Json::value_t::discarded);
}

// The value as an integer of type T; other systems may write it with a decimal point. Nothing when the value is no
// number or out of the range of T, for which the conversion of a floating-point number is undefined.
template <typename T> std::optional<T> readInteger(const Json &value)
{
    using Limits = std::numeric_limits<T>;
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        return number <= static_cast<std::uint64_t>(Limits::max()) ? std::optional(static_cast<T>(number))
                                                                   : std::nullopt;
    }
    if (value.is_number_integer()) { // negative
        const auto number = value.get<std::int64_t>();
        const bool isInRange = Limits::is_signed ? number >= static_cast<std::int64_t>(Limits::min()) : number >= 0;
        return isInRange ? std::optional(static_cast<T>(number)) : std::nullopt;
    }
    if (!value.is_number_float())
        return std::nullopt;
    const auto number = value.get<double>();
    const bool isInRange = number >= static_cast<double>(Limits::min()) && number < static_cast<double>(Limits::max());
    return isInRange ? std::optional(static_cast<T>(number)) : std::nullopt;
}

// Serialises a value as JSON text; invalid UTF-8 is replaced.
inline std::string writeJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace clementinelift::net
