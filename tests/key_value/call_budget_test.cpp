#include "key_value/call_budget.hpp"

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

TEST_GROUP(call_budget){};

TEST(call_budget, any_window_stays_under_rate_and_burst)
{
    constexpr int rate = 20;
    random_source random(11);
    call_budget budget(rate, 40);
    time_point now;
    std::vector<time_point> starts;
    std::set<call_budget::ticket> waiting;
    for (call_budget::ticket id = 0; id < 50'000; ++id)
    {
        now += duration(random() % 60'000);
        while (const auto next = budget.next(now))
        {
            CHECK(waiting.erase(*next) == 1);
            starts.push_back(now);
        }
        const auto lane =
            random() % 5 == 0 ? call_lane::urgent : call_lane::normal;
        const auto verdict = budget.request(id, lane, now);
        if (verdict == call_budget::verdict::start)
        {
            starts.push_back(now);
        }
        if (verdict == call_budget::verdict::wait)
        {
            waiting.insert(id);
        }
        LONGS_EQUAL(waiting.size(), budget.waiting());
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

TEST(call_budget, a_full_queue_refuses_at_once)
{
    call_budget budget(1, 2);
    const time_point now;
    CHECK(budget.request(1, call_lane::normal, now) ==
          call_budget::verdict::start);
    CHECK(budget.request(2, call_lane::normal, now) ==
          call_budget::verdict::wait);
    CHECK(budget.request(3, call_lane::normal, now) ==
          call_budget::verdict::wait);
    CHECK(budget.request(4, call_lane::normal, now) ==
          call_budget::verdict::refuse);
    CHECK(budget.request(5, call_lane::urgent, now) ==
          call_budget::verdict::wait);
    CHECK(*budget.next(now + second) == 5);
    CHECK(!budget.next(now + second).has_value());
    CHECK(*budget.wait_time(now + second) == second);
}

TEST_GROUP(outage_detector){};

TEST(outage_detector, one_probe_at_a_time_with_growing_pauses)
{
    random_source random(3);
    outage_detector detector;
    time_point now;
    while (detector.is_reachable())
    {
        detector.call_failed(now, random);
    }
    int probes = 0;
    const time_point end = now + std::chrono::minutes(10);
    while (now < end)
    {
        now += std::chrono::milliseconds(10);
        if (detector.take_probe(now))
        {
            ++probes;
            CHECK(!detector.take_probe(now));
            detector.call_failed(now, random);
        }
    }
    CHECK(probes > 100);
    CHECK(probes < 300);
    CHECK(detector.call_answered());
    CHECK(detector.is_reachable());
}

TEST(outage_detector, nodes_that_fail_together_come_back_apart)
{
    std::set<duration> delays;
    for (std::uint64_t seed = 0; seed < 390; ++seed)
    {
        random_source random(seed);
        backoff pauses(second, 30 * second);
        pauses.next(random);
        delays.insert(pauses.next(random));
    }
    CHECK(delays.size() > 380);
    CHECK(*delays.rbegin() - *delays.begin() > second / 2);
}
