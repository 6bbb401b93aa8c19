#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace mulberrywall::support
{

struct MetricLabel
{
    std::string_view name;
    std::string_view value;
};

using MetricLabels = std::initializer_list<MetricLabel>;

/// Stores the counters, gauges and summaries of a process and renders them in the Prometheus text format. Thread-safe.
///
/// Last in the lock order: no other mutex is locked while its mutex is held.
class MetricsRegistry
{
public:
    void increment(std::string_view name, MetricLabels labels = {}, std::uint64_t by = 1);
    void setGauge(std::string_view name, double value, MetricLabels labels = {});
    /// Adds a sample to a summary, which has the median and the 95th and 99th percentiles.
    void observe(std::string_view name, double value, MetricLabels labels = {});

    [[nodiscard]] std::string renderPrometheus() const;
    /// Returns the value of a counter, or 0 if it was never incremented.
    [[nodiscard]] std::uint64_t counter(std::string_view name, MetricLabels labels = {}) const;

private:
    struct Summary
    {
        using Quantile = boost::accumulators::accumulator_set<double,
            boost::accumulators::stats<boost::accumulators::tag::p_square_quantile, boost::accumulators::tag::count, boost::accumulators::tag::sum>>;
        Quantile median {boost::accumulators::quantile_probability = 0.5};
        Quantile p95 {boost::accumulators::quantile_probability = 0.95};
        Quantile p99 {boost::accumulators::quantile_probability = 0.99};
    };
    /// All series of each metric name, keyed by their rendered labels. The key of a series without labels is "".
    template <typename Value>
    using Family = std::map<std::string, std::map<std::string, Value>, std::less<>>;

    mutable std::mutex mutex_;
    Family<std::uint64_t> counters_;
    Family<double> gauges_;
    Family<Summary> summaries_;
};

} // namespace mulberrywall::support
