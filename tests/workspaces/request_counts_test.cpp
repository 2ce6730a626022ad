#include "workspaces/request_counts.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::workspaces;

namespace
{

const workspace_name north("north");
const workspace_name south("south");

time_point at_ms(int milliseconds)
{
    return time_point(std::chrono::hours(1)) +
           std::chrono::milliseconds(milliseconds);
}

} // namespace

TEST_GROUP(request_counts){};

TEST(request_counts, counts_of_the_last_window_are_kept_by_workspace)
{
    request_counts counts;
    counts.count_granted(north, at_ms(0));
    counts.count_granted(north, at_ms(2000));
    counts.count_refused(north, at_ms(2000));
    counts.count_granted(south, at_ms(4000));
    CHECK(counts.of(north, at_ms(4400)) == request_counts::totals({2, 1}));
    CHECK(counts.of(south, at_ms(4400)) == request_counts::totals({1, 0}));
    CHECK(counts.total(at_ms(4400)) == request_counts::totals({3, 1}));
}

// Guards against old requests that are shown as current ones, also those of a
// workspace that has sent nothing since.
TEST(request_counts, requests_leave_with_the_window)
{
    request_counts counts;
    counts.count_granted(north, at_ms(0));
    counts.count_granted(north, at_ms(3000));
    CHECK(counts.of(north, at_ms(4900)) == request_counts::totals({2, 0}));
    CHECK(counts.of(north, at_ms(5500)) == request_counts::totals({1, 0}));
    CHECK(counts.of(north, at_ms(9000)) == request_counts::totals({}));
    CHECK(counts.total(at_ms(9000)) == request_counts::totals({}));
    counts.count_granted(north, at_ms(60000));
    CHECK(counts.of(north, at_ms(60000)) == request_counts::totals({1, 0}));
}

TEST(request_counts, the_busiest_come_first_and_idle_ones_are_left_out)
{
    request_counts counts;
    counts.count_granted(workspace_name("idle"), at_ms(0));
    counts.count_granted(workspace_name("c"), at_ms(7000));
    counts.count_granted(workspace_name("b"), at_ms(7000));
    counts.count_refused(workspace_name("a"), at_ms(7000));
    counts.count_refused(workspace_name("c"), at_ms(7000));
    const auto found = counts.busiest(2, at_ms(7000));
    CHECK_EQUAL(2, found.size());
    CHECK(found[0].workspace == workspace_name("c"));
    CHECK(found[1].workspace == workspace_name("a"));
    CHECK_EQUAL(3, counts.busiest(20, at_ms(7000)).size());
}

// Guards against memory that grows with each workspace that has ever sent a
// request.
TEST(request_counts, the_number_of_workspaces_is_bounded)
{
    request_counts counts;
    const auto count_many = [&counts](const std::string& prefix, int time_ms)
    {
        for (std::size_t number = 0;
             number < request_counts::max_workspaces + 10; ++number)
        {
            counts.count_granted(
                workspace_name(prefix + std::to_string(number)),
                at_ms(time_ms));
        }
    };
    count_many("a", 0);
    CHECK_EQUAL(request_counts::max_workspaces, counts.size());
    CHECK(counts.total(at_ms(0)) ==
          request_counts::totals({request_counts::max_workspaces + 10, 0}));
    counts.count_granted(north, at_ms(6000));
    CHECK_EQUAL(1, counts.size());
    CHECK(counts.of(north, at_ms(6000)) == request_counts::totals({1, 0}));
}
