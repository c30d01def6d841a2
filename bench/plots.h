// Plots as SVG text.
//
// Contents
//   Series     named values
//   barChart   groups of bars on a logarithmic or linear scale
//   lineChart  lines over time
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

namespace clementinelift::bench {

struct Series
{
    std::string name;
    std::vector<double> values;
};

namespace detail {

constexpr double plotWidth = 900;
constexpr double plotHeight = 360;
constexpr double leftMargin = 60;
constexpr double topMargin = 60;
constexpr double bottomMargin = 60;
constexpr std::array<const char *, 6> colours = {"#7f7f7f", "#1f77b4", "#d62728", "#ff7f0e", "#9467bd", "#2ca02c"};

inline std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", std::round(value * 100) / 100);
    return text;
}

inline std::string text(double x, double y, const std::string &content, const char *anchor = "middle")
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" text-anchor=\"" + anchor + "\">" + content
            + "</text>\n";
}

inline std::string line(double x1, double y1, double x2, double y2, const char *colour)
{
    return "<line x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2) + "\" y2=\"" + number(y2)
            + "\" stroke=\"" + colour + "\"/>\n";
}

// Maps values to heights above the base line and draws the scale.
struct Scale
{
    double least = 0;
    double most = 1;
    bool logarithmic = false;

    double height() const { return plotHeight - topMargin - bottomMargin; }
    double y(double value) const
    {
        const double clamped = std::clamp(value, least, most);
        const double share =
                logarithmic ? std::log(clamped / least) / std::log(most / least) : (clamped - least) / (most - least);
        return plotHeight - bottomMargin - share * height();
    }
    std::string draw() const
    {
        std::vector<double> ticks;
        if (logarithmic) {
            for (double tick = least; tick <= most * 1.001; tick *= 2)
                ticks.push_back(tick);
        } else {
            constexpr int steps = 5;
            for (int i = 0; i <= steps; ++i)
                ticks.push_back(least + (most - least) * i / steps);
        }
        std::string svg;
        for (const double tick : ticks)
            svg += line(leftMargin, y(tick), plotWidth, y(tick), "#dddddd")
                    + text(leftMargin - 6, y(tick) + 4, number(tick), "end");
        return svg;
    }
};

inline std::string begin(const std::string &title, const std::vector<Series> &series)
{
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + number(plotWidth + 20) + "\" height=\""
            + number(plotHeight) + "\" font-family=\"sans-serif\" font-size=\"11\">\n"
            + "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n" + text(plotWidth / 2, 18, title);
    for (std::size_t i = 0; i < series.size(); ++i) {
        const double x = leftMargin + 140 * static_cast<double>(i);
        svg += "<rect x=\"" + number(x) + "\" y=\"30\" width=\"10\" height=\"10\" fill=\"" + colours[i % colours.size()]
                + "\"/>\n" + text(x + 14, 39, series[i].name, "start");
    }
    return svg;
}

} // namespace detail

// One group of bars for each label; series[i].values[j] belongs to labels[j].
inline std::string barChart(const std::string &title, const std::vector<std::string> &labels,
                            const std::vector<Series> &series, bool logarithmic)
{
    using namespace detail;
    double most = 0;
    for (const Series &one : series)
        most = std::max(most, *std::max_element(one.values.begin(), one.values.end()));
    const Scale scale{logarithmic ? 1.0 : 0.0,
                      logarithmic ? std::exp2(std::ceil(std::log2(std::max(most, 2.0)))) : most, logarithmic};
    std::string svg = begin(title, series) + scale.draw();
    const double groupWidth = (plotWidth - leftMargin) / static_cast<double>(labels.size());
    const double barWidth = groupWidth * 0.8 / static_cast<double>(series.size());
    for (std::size_t j = 0; j < labels.size(); ++j) {
        const double left = leftMargin + groupWidth * (static_cast<double>(j) + 0.1);
        for (std::size_t i = 0; i < series.size(); ++i) {
            const double y = scale.y(series[i].values[j]);
            svg += "<rect x=\"" + number(left + barWidth * static_cast<double>(i)) + "\" y=\"" + number(y)
                    + "\" width=\"" + number(barWidth * 0.9) + "\" height=\"" + number(plotHeight - bottomMargin - y)
                    + "\" fill=\"" + colours[i % colours.size()] + "\"/>\n";
        }
        // Long labels alternate between two rows.
        svg += text(left + groupWidth * 0.4, plotHeight - bottomMargin + 16 + (j % 2 == 1 ? 16 : 0), labels[j]);
    }
    return svg + "</svg>\n";
}

// One line for each series; values are one second apart and start at second from.
inline std::string lineChart(const std::string &title, std::size_t from, const std::vector<Series> &series)
{
    using namespace detail;
    double most = 0;
    std::size_t count = 2;
    for (const Series &one : series) {
        most = std::max(most, *std::max_element(one.values.begin(), one.values.end()));
        count = std::max(count, one.values.size());
    }
    const Scale scale{0, most, false};
    const auto x = [&](std::size_t i) {
        return leftMargin + (plotWidth - leftMargin) * static_cast<double>(i) / static_cast<double>(count - 1);
    };
    std::string svg = begin(title, series) + scale.draw();
    for (std::size_t i = 0; i < count; i += 5)
        svg += text(x(i), plotHeight - bottomMargin + 16, std::to_string(from + i) + " s");
    for (std::size_t i = 0; i < series.size(); ++i) {
        svg += std::string("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"") + colours[i % colours.size()]
                + "\" points=\"";
        for (std::size_t j = 0; j < series[i].values.size(); ++j)
            svg += number(x(j)) + "," + number(scale.y(series[i].values[j])) + " ";
        svg += "\"/>\n";
    }
    return svg + "</svg>\n";
}

} // namespace clementinelift::bench
