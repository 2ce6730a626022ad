#include "metrics/registry.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::metrics;

TEST_GROUP(registry)
{
    registry metrics;
};

TEST(registry, counts_by_label)
{
    this->metrics.count("refusals_total", {{"reason", "overloaded"}});
    this->metrics.count("refusals_total", {{"reason", "overloaded"}}, 2);
    this->metrics.count("refusals_total", {{"reason", "a\"b"}});
    LONGS_EQUAL(3, this->metrics.counter_value("refusals_total",
                                               {{"reason", "overloaded"}}));
    const std::string text = this->metrics.prometheus_text();
    STRCMP_CONTAINS("# TYPE refusals_total counter\n", text.c_str());
    STRCMP_CONTAINS("refusals_total{reason=\"overloaded\"} 3\n", text.c_str());
    STRCMP_CONTAINS("reason=\"a\\\"b\"", text.c_str());
}

// Guards against reports of workspaces that are long gone, whose number grows
// without bound.
TEST(registry, a_cleared_gauge_has_only_the_values_set_since)
{
    this->metrics.set_gauge("slots", {{"workspace", "gone"}}, 1.0);
    this->metrics.set_gauge("other", {}, 1.0);
    this->metrics.clear_gauge("slots");
    this->metrics.clear_gauge("unknown");
    this->metrics.set_gauge("slots", {{"workspace", "present"}}, 2.0);
    const std::string text = this->metrics.prometheus_text();
    CHECK(text.find("gone") == std::string::npos);
    STRCMP_CONTAINS("slots{workspace=\"present\"} 2\n", text.c_str());
    STRCMP_CONTAINS("other 1\n", text.c_str());
}

TEST(registry, buckets_are_cumulative)
{
    this->metrics.observe("first_token_seconds", {},
                          std::chrono::milliseconds(40));
    this->metrics.observe("first_token_seconds", {},
                          std::chrono::milliseconds(599));
    this->metrics.observe("first_token_seconds", {}, std::chrono::hours(1));
    const std::string text = this->metrics.prometheus_text();
    STRCMP_CONTAINS("first_token_seconds_bucket{le=\"0.03\"} 0\n",
                    text.c_str());
    STRCMP_CONTAINS("first_token_seconds_bucket{le=\"0.045\"} 1\n",
                    text.c_str());
    STRCMP_CONTAINS("first_token_seconds_bucket{le=\"0.6\"} 2\n", text.c_str());
    STRCMP_CONTAINS("first_token_seconds_bucket{le=\"+Inf\"} 3\n",
                    text.c_str());
}
