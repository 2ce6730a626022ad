#include "cli/arrival_process.hpp"
#include "cli/latency_histogram.hpp"
#include "cli/node_list.hpp"
#include "cli/request_generator.hpp"
#include "cli/token_stream_parser.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::cli;

namespace
{

load_options some_load()
{
    load_options load;
    load.model = model_name("carnet-7b");
    load.rate = 100;
    load.burst_factor = 5;
    load.burst_interval = std::chrono::seconds(10);
    load.burst_length = std::chrono::seconds(2);
    return load;
}

} // namespace

TEST_GROUP(load){};

TEST(load, arrivals_follow_the_configured_rate_and_bursts)
{
    arrival_process arrivals(some_load());
    int in_bursts = 0;
    int outside = 0;
    for (duration time = arrivals.next(); time < std::chrono::seconds(1000);
         time = arrivals.next())
    {
        const bool burst =
            time >= std::chrono::seconds(10) &&
            time % std::chrono::seconds(10) < std::chrono::seconds(2);
        (burst ? in_bursts : outside) += 1;
    }
    // 99 bursts of 2 s at 500/s, and 802 s at 100/s, within five sigma.
    CHECK(in_bursts > 99'000 - 1'600 && in_bursts < 99'000 + 1'600);
    CHECK(outside > 80'200 - 1'450 && outside < 80'200 + 1'450);
}

TEST(load, the_same_seed_generates_the_same_arrivals_and_prompts)
{
    arrival_process first(some_load());
    arrival_process second(some_load());
    request_generator first_prompts(some_load());
    request_generator second_prompts(some_load());
    for (int step = 0; step < 100; ++step)
    {
        CHECK(first.next() == second.next());
        CHECK(first_prompts.online_request().body ==
              second_prompts.online_request().body);
    }
}

TEST(load, percentiles_are_within_three_percent)
{
    latency_histogram values;
    for (int number = 1; number <= 1000; ++number)
    {
        values.record(std::chrono::milliseconds(number));
    }
    DOUBLES_EQUAL(500, values.percentile_ms(0.5), 15);
    DOUBLES_EQUAL(950, values.percentile_ms(0.95), 29);
    DOUBLES_EQUAL(1000, values.percentile_ms(1), 0.001);
    DOUBLES_EQUAL(0, latency_histogram().percentile_ms(0.5), 0);
}

TEST(load, a_stream_is_parsed_when_events_are_split_across_pieces)
{
    token_stream_parser stream;
    const time_point start;
    const std::string events =
        R"(data: {"choices":[{"delta":{"content":"w1 "}}]})"
        "\n\n"
        R"(data: {"choices":[{"delta":{},"finish_reason":"length"}]})"
        "\n\ndata: [DONE]\n\n";
    for (const char byte : events)
    {
        stream.add(std::string_view(&byte, 1), start);
    }
    CHECK(stream.is_complete());
    LONGS_EQUAL(1, stream.token_times().size());
}

TEST(load, lists_of_nodes_are_parsed_and_empty_or_malformed_ones_rejected)
{
    CHECK(!parse_nodes("").has_value());
    CHECK(!parse_nodes("127.0.0.1").has_value());
    LONGS_EQUAL(2, parse_nodes("127.0.0.1:1,127.0.0.2:3")->size());
}

TEST(load, the_reason_of_a_refusal_is_parsed_or_falls_back_to_the_status)
{
    STRCMP_EQUAL(
        "overloaded",
        refusal_reason(R"({"error":{"reason":"overloaded"}})", 503).c_str());
    STRCMP_EQUAL("status 502", refusal_reason("<html>", 502).c_str());
}
