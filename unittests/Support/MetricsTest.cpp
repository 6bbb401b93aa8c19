#include "mulberrywall/Support/Metrics.h"

#include <gtest/gtest.h>

using mulberrywall::support::MetricsRegistry;

// Guards against label values that break the Prometheus text format.
TEST(MetricsTest, EscapesLabelValues)
{
    MetricsRegistry registry;
    registry.increment("requests_total", {{"class", "a\"b\\c"}});
    EXPECT_NE(registry.renderPrometheus().find(R"(requests_total{class="a\"b\\c"} 1)"), std::string::npos);
}

// Guards against counting in the wrong series of a metric.
TEST(MetricsTest, CountsEachSeriesSeparately)
{
    MetricsRegistry registry;
    registry.increment("requests_total", {{"class", "a"}}, 2);
    registry.increment("requests_total", {{"class", "b"}}, 3);
    EXPECT_EQ(registry.counter("requests_total", {{"class", "a"}}), 2U);
    EXPECT_EQ(registry.counter("requests_total", {{"class", "b"}}), 3U);
    EXPECT_EQ(registry.counter("requests_total", {{"class", "c"}}), 0U);
}
