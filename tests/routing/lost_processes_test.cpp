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
    static constexpr std::size_t listed = 8;

    std::optional<time_point> lost_at(const replica_process_id& lost_process,
                                      time_point when) const
    {
        return this->lost.lost_at(lost_process, when, listed);
    }
};

TEST(lost_processes, a_process_is_doubted_while_the_list_may_be_behind)
{
    CHECK_FALSE(this->lost_at(this->process, this->now).has_value());
    this->lost.record(this->process, this->now);
    const time_point later =
        this->now + lost_processes::list_delay - std::chrono::seconds(1);
    CHECK(this->lost_at(this->process, later) == this->now);
    CHECK_FALSE(
        this->lost_at(this->process, this->now + lost_processes::list_delay)
            .has_value());
}

// Another process under the same id is another matter.
TEST(lost_processes, the_next_process_is_not_doubted)
{
    this->lost.record(this->process, this->now);
    CHECK_FALSE(
        this->lost_at(replica_process_id("i-1/6"), this->now).has_value());
}

// Guards against streams that cannot go on anywhere because all connections
// have been reset, and against streams that go on at another version after a
// few replicas have crashed together.
TEST(lost_processes, only_some_of_the_processes_are_doubted_together)
{
    for (std::size_t count = 1; count <= listed / 2; ++count)
    {
        this->lost.record(replica_process_id(std::to_string(count)),
                          this->now + std::chrono::milliseconds(count));
        const bool is_doubted =
            this->lost_at(replica_process_id("1"), this->now).has_value();
        CHECK_EQUAL(count < listed / 2, is_doubted);
    }
}

// Guards against taking one or two lost processes of a few for a reset.
TEST(lost_processes, fewer_than_a_burst_are_doubted_whatever_is_listed)
{
    for (std::size_t count = 1; count <= lost_processes::min_burst_size;
         ++count)
    {
        this->lost.record(replica_process_id(std::to_string(count)), this->now);
        const bool is_doubted =
            this->lost.lost_at(replica_process_id("1"), this->now, 2)
                .has_value();
        CHECK_EQUAL(count < lost_processes::min_burst_size, is_doubted);
    }
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
