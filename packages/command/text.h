// Text concatenation for log lines, and maps with string keys that can be searched by std::string_view.
//
// Debian builds Abseil with its own string_view, so absl::StrCat() and absl::Hash do not accept std::string_view.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <xxhash.h>

#include <functional>
#include <string>
#include <string_view>
#include <type_traits>

namespace clementinelift::command {

namespace detail {

template <typename T> void appendText(std::string &text, const T &value)
{
    if constexpr (std::is_arithmetic_v<T>)
        text += std::to_string(value);
    else
        text += std::string_view(value);
}

struct TextHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming): looked up by the container
    std::size_t operator()(std::string_view text) const { return XXH3_64bits(text.data(), text.size()); }
};

} // namespace detail

// concat("a", 1, "b") is "a1b".
template <typename... Parts> std::string concat(const Parts &...parts)
{
    std::string text;
    (detail::appendText(text, parts), ...);
    return text;
}

template <typename T> using TextMap = absl::flat_hash_map<std::string, T, detail::TextHash, std::equal_to<>>;

} // namespace clementinelift::command
