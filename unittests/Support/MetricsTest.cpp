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

// Guards against mixing up series of one family.
TEST(MetricsTest, KeepsSeriesApart)
{
    MetricsRegistry registry;
    registry.increment("requests_total", {{"class", "a"}}, 2);
    registry.increment("requests_total", {{"class", "b"}}, 3);
    EXPECT_EQ(registry.counter("requests_total", {{"class", "a"}}), 2U);
    EXPECT_EQ(registry.counter("requests_total", {{"class", "b"}}), 3U);
    EXPECT_EQ(registry.counter("requests_total", {{"class", "c"}}), 0U);
}
