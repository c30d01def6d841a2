// Collects metric families and writes them in the Prometheus text format.
#pragma once

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace clementinelift::dispatcher {

using prometheus::MetricType;

// Keeps the families in the order of the calls.
class Families
{
public:
    // Adds a family with one sample without labels.
    void add(MetricType type, std::string name, std::string help, double value)
    {
        begin(type, std::move(name), std::move(help));
        addSample({}, value);
    }
    void begin(MetricType type, std::string name, std::string help)
    {
        prometheus::MetricFamily family;
        family.name = "clementinelift_" + std::move(name);
        family.help = std::move(help);
        family.type = type;
        m_families.push_back(std::move(family));
    }
    // Adds a sample to the last family.
    void addSample(std::vector<prometheus::ClientMetric::Label> labels, double value)
    {
        prometheus::ClientMetric metric;
        metric.label = std::move(labels);
        if (m_families.back().type == MetricType::Counter)
            metric.counter.value = value;
        else
            metric.gauge.value = value;
        m_families.back().metric.push_back(std::move(metric));
    }
    // Adds a family with one histogram.
    void addHistogram(std::string name, std::string help, prometheus::ClientMetric::Histogram histogram)
    {
        begin(MetricType::Histogram, std::move(name), std::move(help));
        prometheus::ClientMetric metric;
        metric.histogram = std::move(histogram);
        m_families.back().metric.push_back(std::move(metric));
    }
    std::string write() const
    {
        std::ostringstream text;
        prometheus::TextSerializer().Serialize(text, m_families);
        return text.str();
    }

private:
    std::vector<prometheus::MetricFamily> m_families;
};

} // namespace clementinelift::dispatcher
