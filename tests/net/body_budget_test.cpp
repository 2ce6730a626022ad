#include "net/body_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::net;

namespace
{

constexpr std::size_t mebibyte = 1024 * 1024;

connection_number number(int value)
{
    return connection_number(value);
}

} // namespace

TEST_GROUP(body_budget)
{
    body_budget budget;
    time_point now{std::chrono::seconds(1000)};

    void setup() override
    {
        // 16 MiB in total and 12 MiB for an address, of which 14 and 10.5 MiB
        // are open to large bodies.
        this->budget.set_limits(
            {byte_count(16 * mebibyte), byte_count(12 * mebibyte)});
    }

    /// Adds a connection that has just received a body.
    std::vector<connection_number> receive(int connection, std::size_t bytes,
                                           const std::string& address)
    {
        this->budget.add(number(connection), address);
        return this->budget.update(number(connection), {bytes, true}, bytes,
                                   this->now);
    }
};

TEST(body_budget, a_quarter_of_the_memory_and_one_body_at_least)
{
    const auto usual = body_budget::limits_for(byte_count(88 * mebibyte),
                                               byte_count(4 * mebibyte));
    CHECK_EQUAL(22 * mebibyte, usual.total.count());
    CHECK_EQUAL(22 * mebibyte / 4 * 3, usual.per_address.count());
    const auto small = body_budget::limits_for(byte_count(16 * mebibyte),
                                               byte_count(16 * mebibyte));
    this->budget.set_limits(small);
    CHECK(this->receive(1, 16 * mebibyte, "a").empty());
    CHECK_EQUAL(16 * mebibyte, this->budget.buffered_bytes());
}

// Guards against a budget that ordinary callers meet: the largest bodies of the
// deployments at the smallest node, all from one address and all waiting for
// their responses, and a hundred typical ones beside them.
TEST(body_budget, ordinary_callers_do_not_meet_it)
{
    constexpr std::size_t largest = 870'000;
    this->budget.set_limits(body_budget::limits_for(byte_count(88 * mebibyte),
                                                    byte_count(4 * mebibyte)));
    for (int caller = 0; caller < 17; ++caller)
    {
        CHECK(this->receive(caller, largest, "a").empty());
        CHECK(
            this->budget.update(number(caller), {largest, false}, 0, this->now)
                .empty());
    }
    for (int caller = 100; caller < 200; ++caller)
    {
        CHECK(this->receive(caller, 16 * 1024, "a").empty());
    }
}

// Guards against a stalled crowd that keeps the budget from those that send.
TEST(body_budget, the_body_with_the_least_progress_is_closed_first)
{
    CHECK(this->receive(1, 5 * mebibyte, "a").empty());
    CHECK(this->receive(2, 4 * mebibyte, "b").empty());
    this->now += 3 * body_budget::progress_window;
    CHECK(this->receive(3, 4 * mebibyte, "c").empty());
    const auto closed = this->receive(4, mebibyte * 3 / 2, "d");
    CHECK_EQUAL(1, closed.size());
    // Both have stalled; the larger one frees more.
    CHECK(number(1) == closed.front());
    CHECK_EQUAL(mebibyte * 19 / 2, this->budget.buffered_bytes());
}

TEST(body_budget, what_is_to_be_closed_no_longer_counts)
{
    this->receive(1, 10 * mebibyte, "a");
    this->now += 3 * body_budget::progress_window;
    CHECK_EQUAL(1, this->receive(2, 5 * mebibyte, "b").size());
    CHECK(this->budget
              .update(number(1), {12 * mebibyte, true}, mebibyte, this->now)
              .empty());
    CHECK_EQUAL(5 * mebibyte, this->budget.buffered_bytes());
    this->budget.remove(number(1));
    this->budget.remove(number(2));
    CHECK_EQUAL(0, this->budget.buffered_bytes());
}

// Guards against one address that takes the budget of all others.
TEST(body_budget, an_address_over_its_share_loses_its_own_bodies)
{
    this->receive(1, 2 * mebibyte, "other");
    this->now += 3 * body_budget::progress_window;
    CHECK(this->receive(2, 5 * mebibyte, "a").empty());
    CHECK(this->receive(3, 5 * mebibyte, "a").empty());
    const auto closed = this->receive(4, mebibyte, "a");
    CHECK_EQUAL(1, closed.size());
    CHECK(number(4) == closed.front());
}

// Guards against small requests that are refused while large ones compete.
TEST(body_budget, a_part_is_kept_for_small_bodies)
{
    CHECK(this->receive(1, 7 * mebibyte, "a").empty());
    CHECK(this->receive(2, 7 * mebibyte, "b").empty());
    for (int small = 0; small < 30; ++small)
    {
        CHECK(this->receive(100 + small, body_budget::small_bytes,
                            "c" + std::to_string(small))
                  .empty());
    }
    CHECK_EQUAL(1, this->receive(3, body_budget::small_bytes + 1, "d").size());
}

TEST(body_budget, many_small_bodies_stay_within_the_budget_as_well)
{
    for (int small = 0; small < 1000; ++small)
    {
        this->receive(small, body_budget::small_bytes,
                      std::to_string(small % 10));
        CHECK(this->budget.buffered_bytes() <= 16 * mebibyte);
    }
}

// Guards against closing a request that may run already: its response would be
// lost.
TEST(body_budget, a_request_that_may_run_is_not_closed)
{
    this->budget.add(number(1), "a");
    this->budget.update(number(1), {10 * mebibyte, false}, 0, this->now);
    this->now += 3 * body_budget::progress_window;
    const auto closed = this->receive(2, 5 * mebibyte, "b");
    CHECK_EQUAL(1, closed.size());
    CHECK(number(2) == closed.front());
    CHECK_EQUAL(10 * mebibyte, this->budget.buffered_bytes());
}

TEST(body_budget, without_limits_nothing_is_closed)
{
    this->budget.set_limits({});
    CHECK(this->receive(1, 1000 * mebibyte, "a").empty());
}
