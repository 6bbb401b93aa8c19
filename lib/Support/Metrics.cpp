#include "mulberrywall/Support/Metrics.h"

#include <sstream>

namespace mulberrywall::support
{

namespace
{

void appendEscaped(std::string &text, std::string_view value)
{
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            text += '\\';
        }
        text += character == '\n' ? ' ' : character;
    }
}

std::string renderLabels(MetricLabels labels)
{
    std::string text;
    for (const MetricLabel &label : labels) {
        if (!text.empty()) {
            text += ',';
        }
        text += label.name;
        text += "=\"";
        appendEscaped(text, label.value);
        text += '"';
    }
    return text;
}

std::string renderLabelBlock(std::string_view labels)
{
    return labels.empty() ? std::string() : "{" + std::string(labels) + "}";
}

std::string withQuantile(std::string_view labels, std::string_view quantile)
{
    std::string text(labels);
    if (!text.empty()) {
        text += ',';
    }
    return text + "quantile=\"" + std::string(quantile) + "\"";
}

template <typename Family>
auto &series(Family &family, std::string_view name, MetricLabels labels)
{
    auto found = family.find(name);
    if (found == family.end()) {
        found = family.try_emplace(std::string(name)).first;
    }
    return found->second[renderLabels(labels)];
}

} // namespace

void MetricsRegistry::increment(std::string_view name, MetricLabels labels, std::uint64_t by)
{
    const std::scoped_lock lock(mutex_);
    series(counters_, name, labels) += by;
}

void MetricsRegistry::setGauge(std::string_view name, double value, MetricLabels labels)
{
    const std::scoped_lock lock(mutex_);
    series(gauges_, name, labels) = value;
}

void MetricsRegistry::observe(std::string_view name, double value, MetricLabels labels)
{
    const std::scoped_lock lock(mutex_);
    Summary &summary = series(summaries_, name, labels);
    summary.median(value);
    summary.p95(value);
    summary.p99(value);
}

std::string MetricsRegistry::renderPrometheus() const
{
    namespace acc = boost::accumulators;
    std::ostringstream out;
    const std::scoped_lock lock(mutex_);
    for (const auto &[name, family] : counters_) {
        out << "# TYPE " << name << " counter\n";
        for (const auto &[labels, value] : family) {
            out << name << renderLabelBlock(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, family] : gauges_) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto &[labels, value] : family) {
            out << name << renderLabelBlock(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, family] : summaries_) {
        out << "# TYPE " << name << " summary\n";
        for (const auto &[labels, summary] : family) {
            out << name << renderLabelBlock(withQuantile(labels, "0.5")) << ' ' << acc::p_square_quantile(summary.median) << '\n';
            out << name << renderLabelBlock(withQuantile(labels, "0.95")) << ' ' << acc::p_square_quantile(summary.p95) << '\n';
            out << name << renderLabelBlock(withQuantile(labels, "0.99")) << ' ' << acc::p_square_quantile(summary.p99) << '\n';
            out << name << "_sum" << renderLabelBlock(labels) << ' ' << acc::sum(summary.median) << '\n';
            out << name << "_count" << renderLabelBlock(labels) << ' ' << acc::count(summary.median) << '\n';
        }
    }
    return out.str();
}

std::uint64_t MetricsRegistry::counter(std::string_view name, MetricLabels labels) const
{
    const std::scoped_lock lock(mutex_);
    const auto family = counters_.find(name);
    if (family == counters_.end()) {
        return 0;
    }
    const auto found = family->second.find(renderLabels(labels));
    return found == family->second.end() ? 0 : found->second;
}

} // namespace mulberrywall::support
