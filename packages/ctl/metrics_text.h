// Reads samples of a page in the Prometheus text format, as the entry VMs on the platform serve them.
#pragma once

#include <cmath>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelift::ctl {

struct MetricSample
{
    std::string name;
    std::map<std::string, std::string, std::less<>> labels;
    double value = 0;
};

namespace detail {

// Removes a quoted text from the beginning of line; nothing if it is malformed.
inline std::optional<std::string> takeQuoted(std::string_view &line)
{
    if (line.empty() || line.front() != '"')
        return std::nullopt;
    std::string text;
    for (std::size_t i = 1; i < line.size(); ++i) {
        if (line[i] == '"') {
            line.remove_prefix(i + 1);
            return text;
        }
        if (line[i] == '\\' && i + 1 < line.size()) {
            ++i;
            text += line[i] == 'n' ? '\n' : line[i];
        } else {
            text += line[i];
        }
    }
    return std::nullopt;
}

inline std::optional<MetricSample> parseSample(std::string_view line)
{
    MetricSample sample;
    const std::size_t nameEnd = line.find_first_of("{ ");
    if (nameEnd == 0 || nameEnd == std::string_view::npos || line.front() == '#')
        return std::nullopt;
    sample.name = line.substr(0, nameEnd);
    line.remove_prefix(nameEnd);
    if (line.front() == '{') {
        line.remove_prefix(1);
        while (!line.empty() && line.front() != '}') {
            const std::size_t equals = line.find('=');
            if (equals == std::string_view::npos)
                return std::nullopt;
            const std::string label(line.substr(0, equals));
            line.remove_prefix(equals + 1);
            std::optional<std::string> value = takeQuoted(line);
            if (!value)
                return std::nullopt;
            sample.labels[label] = *std::move(value);
            if (!line.empty() && line.front() == ',')
                line.remove_prefix(1);
        }
        if (line.empty())
            return std::nullopt;
        line.remove_prefix(1);
    }
    const std::string number(line);
    char *end = nullptr;
    sample.value = std::strtod(number.c_str(), &end);
    if (end == number.c_str() || !std::isfinite(sample.value))
        return std::nullopt;
    return sample;
}

} // namespace detail

// Comments and lines that cannot be read are skipped, and so are values that are not finite.
inline std::vector<MetricSample> parseMetrics(std::string_view text)
{
    std::vector<MetricSample> samples;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        if (std::optional<MetricSample> sample = detail::parseSample(text.substr(0, end)))
            samples.push_back(*std::move(sample));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return samples;
}

} // namespace clementinelift::ctl
