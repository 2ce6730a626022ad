#include "relay/state_confirmation.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(state_confirmation)
{
    static constexpr duration send_timeout = std::chrono::milliseconds(300);
    state_confirmation confirmation;
    time_point now{std::chrono::hours(1)};

    bool allows_start(time_point at) const
    {
        return this->confirmation.start_limit(at, send_timeout).has_value();
    }
};

TEST(state_confirmation, an_unconfirmed_state_allows_no_start)
{
    CHECK_FALSE(this->allows_start(this->now));
}

TEST(state_confirmation, the_age_counts_from_when_the_call_was_sent)
{
    // The response took most of the allowed time.
    this->confirmation.confirm(this->now);
    const time_point received = this->now + std::chrono::milliseconds(900);
    CHECK(this->allows_start(received));
    CHECK_FALSE(this->allows_start(received + std::chrono::milliseconds(101)));
}

TEST(state_confirmation, a_call_that_was_overtaken_changes_nothing)
{
    this->confirmation.confirm(this->now);
    this->confirmation.confirm(this->now - std::chrono::seconds(5));
    CHECK(this->confirmation.age(this->now) == duration::zero());
}

// A process that was stopped must not go by what it knew before.
TEST(state_confirmation, a_freeze_makes_the_knowledge_too_old)
{
    this->confirmation.confirm(this->now);
    this->now += std::chrono::seconds(4);
    CHECK_FALSE(this->allows_start(this->now));
    this->confirmation.confirm(this->now);
    CHECK(this->allows_start(this->now));
}

TEST(state_confirmation, work_goes_on_during_an_outage_of_the_store)
{
    this->confirmation.confirm(this->now);
    this->now += std::chrono::minutes(1);
    CHECK_FALSE(this->allows_start(this->now));
    this->confirmation.record_outage(this->now - std::chrono::seconds(1));
    CHECK(this->allows_start(this->now));
}

// An outage may have ended, and the job may have been cancelled, while the
// process was stopped.
TEST(state_confirmation, an_outage_before_a_freeze_allows_no_start_after_it)
{
    this->confirmation.record_outage(this->now);
    this->now += std::chrono::seconds(3);
    CHECK_FALSE(this->allows_start(this->now));
}

TEST(state_confirmation, an_outage_ends_with_a_later_confirmation)
{
    this->confirmation.record_outage(this->now);
    this->confirmation.confirm(this->now + std::chrono::milliseconds(100));
    this->now += std::chrono::milliseconds(1200);
    CHECK_FALSE(this->allows_start(this->now));
}

// Guards against sending on a check that was made before the process stood
// still: the limit does not move with the time of the check.
TEST(state_confirmation, the_limit_counts_from_the_confirmation)
{
    this->confirmation.confirm(this->now);
    const time_point known_until = this->now + state_confirmation::max_age;
    const time_point limit = known_until + send_timeout;
    CHECK(this->confirmation.start_limit(this->now, send_timeout) == limit);
    CHECK(this->confirmation.start_limit(known_until, send_timeout) == limit);
    this->confirmation.record_outage(this->now);
    CHECK(this->confirmation.start_limit(known_until, send_timeout) ==
          this->now + state_confirmation::max_outage_age + send_timeout);
}

// Guards against suspecting a sound replica because its connection does not
// open in the little time that is left.
TEST(state_confirmation, a_start_always_has_the_whole_time_to_send)
{
    this->confirmation.confirm(this->now);
    const time_point latest_check = this->now + state_confirmation::max_age;
    CHECK(*this->confirmation.start_limit(latest_check, send_timeout) >=
          latest_check + send_timeout);
}
