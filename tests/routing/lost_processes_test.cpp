#include "routing/lost_processes.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::routing;

TEST_GROUP(lost_processes)
{
    lost_processes lost;
    time_point now{std::chrono::hours(1)};
    const replica_process_id process{"i-1/5"};
};

TEST(lost_processes, a_process_is_doubted_while_the_list_may_be_behind)
{
    CHECK_FALSE(this->lost.lost_at(this->process, this->now).has_value());
    this->lost.record(this->process, this->now);
    const time_point later =
        this->now + lost_processes::list_delay - std::chrono::seconds(1);
    CHECK(this->lost.lost_at(this->process, later) == this->now);
    CHECK_FALSE(
        this->lost
            .lost_at(this->process, this->now + lost_processes::list_delay)
            .has_value());
}

// Another process under the same id is another matter.
TEST(lost_processes, the_next_process_is_not_doubted)
{
    this->lost.record(this->process, this->now);
    CHECK_FALSE(
        this->lost.lost_at(replica_process_id("i-1/6"), this->now).has_value());
}

// Guards against streams that cannot go on anywhere because a link of the node
// has reset its connections.
TEST(lost_processes, processes_that_are_lost_together_are_not_doubted)
{
    for (std::size_t count = 0; count < lost_processes::burst_size; ++count)
    {
        this->lost.record(replica_process_id(std::to_string(count)),
                          this->now + std::chrono::milliseconds(count));
    }
    CHECK_FALSE(
        this->lost.lost_at(replica_process_id("0"), this->now).has_value());
}

TEST(lost_processes, its_memory_is_bounded)
{
    for (std::size_t count = 0; count < 2 * lost_processes::max_entries;
         ++count)
    {
        this->now += std::chrono::milliseconds(1);
        this->lost.record(replica_process_id(std::to_string(count)), this->now);
    }
    LONGS_EQUAL(lost_processes::max_entries, this->lost.size());
}

TEST(lost_processes, old_entries_are_forgotten)
{
    this->lost.record(this->process, this->now);
    this->lost.record(this->process, this->now);
    LONGS_EQUAL(1, this->lost.size());
    this->lost.record(replica_process_id("i-2/5"),
                      this->now + lost_processes::list_delay);
    LONGS_EQUAL(1, this->lost.size());
}

TEST(lost_processes, only_the_last_losses_are_recent)
{
    CHECK_FALSE(this->lost.has_recent(this->now));
    this->lost.record(this->process, this->now);
    CHECK(this->lost.has_recent(this->now));
    CHECK_FALSE(this->lost.has_recent(this->now + lost_processes::list_delay));
}
