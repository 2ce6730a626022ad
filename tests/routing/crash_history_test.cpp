#include "routing/crash_history.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::routing;

namespace
{

crash_report report(int number, const char* trait, time_point when)
{
    return crash_report{request_id(std::to_string(number)),
                        replica_process_id("r" + std::to_string(number)),
                        {request_trait(trait)},
                        when};
}

} // namespace

TEST_GROUP(crash_history)
{
    crash_history history;
    time_point now{std::chrono::hours(1)};
};

TEST(crash_history, a_report_from_several_nodes_counts_once)
{
    this->history.add_report(report(1, "a", this->now));
    this->history.add_report(report(1, "a", this->now));
    LONGS_EQUAL(
        1, this->history.reports_with({request_trait("a")}, this->now).size());
}

TEST(crash_history, returns_reports_on_the_parts_asked_for)
{
    this->history.add_report(report(1, "a", this->now));
    this->history.add_report(report(2, "b", this->now));
    const auto found = this->history.reports_with(
        {request_trait("b"), request_trait("c")}, this->now);
    LONGS_EQUAL(1, found.size());
    STRCMP_EQUAL("2", found.front().request.str().c_str());
}

TEST(crash_history, old_reports_are_forgotten)
{
    this->history.add_report(report(1, "a", this->now));
    const time_point later = this->now + crash_history::report_lifetime;
    CHECK(this->history.reports_with({request_trait("a")}, later).empty());
}

TEST(crash_history, memory_is_bounded)
{
    for (std::size_t count = 0; count < 3 * crash_history::max_reports; ++count)
    {
        this->history.add_report(
            report(static_cast<int>(count), "a", this->now));
    }
    LONGS_EQUAL(
        crash_history::max_reports,
        this->history.reports_with({request_trait("a")}, this->now).size());
    const request_trait popular("popular");
    for (std::size_t count = 0; count < 2 * crash_history::max_survived_traits;
         ++count)
    {
        this->history.record_survival(
            {popular, request_trait("s" + std::to_string(count))}, this->now);
    }
    CHECK(this->history.last_survival(popular).has_value());
    CHECK_FALSE(this->history.last_survival(request_trait("s0")).has_value());
}

TEST(crash_history, an_older_survival_does_not_replace_a_newer_one)
{
    const request_trait trait("a");
    this->history.record_survival({trait}, this->now);
    this->history.record_survival({trait}, this->now - std::chrono::seconds(5));
    CHECK(*this->history.last_survival(trait) == this->now);
}
