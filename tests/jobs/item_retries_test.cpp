#include "jobs/item_retries.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace parsleytrack;
using namespace parsleytrack::jobs;

namespace
{

const replica_id a("a");
const replica_id b("b");
const replica_id c("c");

} // namespace

TEST_GROUP(item_retries)
{
    item_retries retries;
    std::set<replica_id> usable{a, b, c};
    time_point now{std::chrono::seconds(100)};

    std::set<replica_id> avoided(std::size_t item = 0) const
    {
        return this->retries.avoided(item, this->usable, this->now);
    }
};

// Guards against runs of an item in quick succession at replicas that fail
// fast.
TEST(item_retries, the_pause_doubles_with_each_error_up_to_a_limit)
{
    duration expected = item_retries::first_pause;
    for (int error = 0; error < 10; ++error)
    {
        this->retries.record_error(0, a, this->now);
        CHECK(this->retries.next_start(this->now) == this->now + expected);
        CHECK_FALSE(this->retries.may_start(
            0, this->now + expected - std::chrono::microseconds(1)));
        this->now += expected;
        CHECK(this->retries.may_start(0, this->now));
        expected = std::min(expected * 2, item_retries::longest_pause);
    }
    CHECK(expected == item_retries::longest_pause);
}

// Guards against an item whose pause ends with that of another.
TEST(item_retries, each_item_has_its_own_earliest_start)
{
    this->retries.record_error(0, a, this->now);
    this->retries.record_interruption(1, this->now);
    CHECK(this->retries.may_start(2, this->now));
    CHECK(this->retries.next_start(this->now) ==
          this->now + item_retries::interruption_pause);
    this->now += item_retries::interruption_pause;
    CHECK(this->retries.may_start(1, this->now));
    CHECK_FALSE(this->retries.may_start(0, this->now));
    this->retries.erase(0);
    CHECK_FALSE(this->retries.next_start(this->now).has_value());
    CHECK(this->retries.may_start(0, this->now));
}

// Guards against an item that is given up for the failures of one replica.
TEST(item_retries, an_item_avoids_the_replicas_that_failed_or_were_lost)
{
    this->retries.record_error(0, a, this->now);
    CHECK(this->avoided() == std::set<replica_id>{a});
    this->retries.record_loss(0, b, this->now);
    CHECK(this->avoided() == (std::set<replica_id>{a, b}));
    CHECK(this->avoided(1).empty());
}

// Guards against replicas that are avoided for reasons that lie elsewhere, such
// as a slot that was reclaimed.
TEST(item_retries, an_interruption_makes_an_item_avoid_nothing)
{
    this->retries.record_interruption(0, this->now);
    CHECK(this->avoided().empty());
}

// Guards against an item that waits for ever as no other replica is there.
TEST(item_retries, an_item_goes_back_when_no_other_replica_is_usable)
{
    this->usable = {a};
    this->retries.record_error(0, a, this->now);
    CHECK(this->avoided().empty());
    this->usable = {a, b};
    CHECK(this->avoided() == std::set<replica_id>{a});
    this->retries.record_loss(0, b, this->now);
    CHECK(this->avoided().empty());
}

// Guards against an item that waits for ever as no other replica gets a slot.
TEST(item_retries, an_item_goes_back_after_waiting_long_for_others)
{
    this->retries.record_error(0, a, this->now);
    this->now += item_retries::avoidance_time - std::chrono::microseconds(1);
    this->retries.record_interruption(0, this->now);
    CHECK(this->avoided() == std::set<replica_id>{a});
    this->now += std::chrono::microseconds(1);
    CHECK(this->avoided().empty());
}

// Guards against an item that starts before the time for which it is held,
// because a run that ended in the meantime has set a shorter pause.
TEST(item_retries, an_item_that_is_held_waits_for_at_least_that_long)
{
    const time_point until = this->now + std::chrono::seconds(1);
    this->retries.hold(0, until);
    this->retries.record_interruption(0, this->now);
    CHECK_FALSE(
        this->retries.may_start(0, until - std::chrono::microseconds(1)));
    CHECK(this->retries.may_start(0, until));
    CHECK(this->retries.may_start(1, this->now));
}

// Guards against an item that waits as long for others when its replica was
// only full.
TEST(item_retries, a_replica_that_refused_is_avoided_for_a_shorter_time)
{
    this->retries.record_refusal(0, a, this->now);
    CHECK(this->avoided() == std::set<replica_id>{a});
    this->now += item_retries::refusal_time;
    CHECK(this->avoided().empty());
    this->retries.record_loss(0, b, this->now);
    this->retries.record_refusal(0, a, this->now);
    this->now += item_retries::refusal_time;
    CHECK(this->avoided() == (std::set<replica_id>{a, b}));
}
