#include "key_value/call_rate_limiter.hpp"

#include "key_value/backoff.hpp"
#include "key_value/outage_detector.hpp"

#include <CppUTest/TestHarness.h>

#include <set>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::key_value;

namespace
{

constexpr duration second = std::chrono::seconds(1);

} // namespace

TEST_GROUP(call_rate_limiter){};

TEST(call_rate_limiter, calls_in_any_second_stay_within_rate_plus_burst)
{
    constexpr int rate = 20;
    random_source random(11);
    call_rate_limiter limiter(rate, 40);
    time_point now;
    std::vector<time_point> starts;
    std::set<call_rate_limiter::ticket> waiting;
    for (call_rate_limiter::ticket id = 0; id < 50'000; ++id)
    {
        now += duration(random() % 60'000);
        while (const auto next = limiter.next_ready(now))
        {
            CHECK(waiting.erase(*next) == 1);
            starts.push_back(now);
        }
        const auto priority =
            random() % 5 == 0 ? call_priority::urgent : call_priority::normal;
        const auto decision = limiter.request(id, priority, now);
        if (decision == call_rate_limiter::decision::start)
        {
            starts.push_back(now);
        }
        if (decision == call_rate_limiter::decision::wait)
        {
            waiting.insert(id);
        }
        LONGS_EQUAL(waiting.size(), limiter.waiting());
        CHECK(waiting.size() <= 80);
    }
    std::size_t first = 0;
    for (std::size_t last = 0; last < starts.size(); ++last)
    {
        while (starts[last] - starts[first] > second)
        {
            ++first;
        }
        CHECK(last - first + 1 <= 2 * rate);
    }
}

TEST(call_rate_limiter, a_queue_full_for_normal_calls_accepts_urgent_ones)
{
    call_rate_limiter limiter(1, 2);
    const time_point now;
    CHECK(limiter.request(1, call_priority::normal, now) ==
          call_rate_limiter::decision::start);
    CHECK(limiter.request(2, call_priority::normal, now) ==
          call_rate_limiter::decision::wait);
    CHECK(limiter.request(3, call_priority::normal, now) ==
          call_rate_limiter::decision::wait);
    CHECK(limiter.request(4, call_priority::normal, now) ==
          call_rate_limiter::decision::reject);
    CHECK(limiter.request(5, call_priority::urgent, now) ==
          call_rate_limiter::decision::wait);
    CHECK(*limiter.next_ready(now + second) == 5);
    CHECK(!limiter.next_ready(now + second).has_value());
    CHECK(*limiter.wait_time(now + second) == second);
}

TEST_GROUP(outage_detector){};

TEST(outage_detector, sends_one_probe_at_a_time_with_increasing_delays)
{
    random_source random(3);
    outage_detector detector;
    time_point now;
    while (detector.is_reachable())
    {
        detector.record_failure(now, random);
    }
    int probes = 0;
    const time_point end = now + std::chrono::minutes(10);
    while (now < end)
    {
        now += std::chrono::milliseconds(10);
        if (detector.try_start_probe(now))
        {
            ++probes;
            CHECK(!detector.try_start_probe(now));
            detector.record_failure(now, random);
        }
    }
    CHECK(probes > 100);
    CHECK(probes < 300);
    CHECK(detector.record_response());
    CHECK(detector.is_reachable());
}

TEST(outage_detector, nodes_that_fail_together_retry_at_different_times)
{
    std::set<duration> delays;
    for (std::uint64_t seed = 0; seed < 390; ++seed)
    {
        random_source random(seed);
        backoff delays_of_node(second, 30 * second);
        delays_of_node.next_delay(random);
        delays.insert(delays_of_node.next_delay(random));
    }
    CHECK(delays.size() > 380);
    CHECK(*delays.rbegin() - *delays.begin() > second / 2);
}
