#include "relay/job_placement.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(job_placement)
{
    node_info owner;
    jobs::job_state state;

    void setup() override
    {
        this->owner.id = node_id("a");
        this->owner.incarnation = incarnation_number(1000);
        this->owner.process = process_number(1000);
        this->state.owner = this->owner.id;
        this->state.owner_process = process_number(1000);
    }
};

TEST(job_placement, a_live_owner_keeps_its_job)
{
    CHECK_FALSE(is_owner_gone(this->owner, this->state));
    this->owner.state = node_state::suspect;
    CHECK_FALSE(is_owner_gone(this->owner, this->state));
}

TEST(job_placement, an_owner_that_refuted_a_suspicion_keeps_its_job)
{
    this->owner.incarnation = incarnation_number(1001);
    CHECK_FALSE(is_owner_gone(this->owner, this->state));
}

TEST(job_placement, a_restarted_owner_loses_its_job)
{
    this->owner.incarnation = incarnation_number(5000);
    this->owner.process = process_number(5000);
    CHECK(is_owner_gone(this->owner, this->state));
}

// The clock of the owner was set back before the restart.
TEST(job_placement, an_owner_restarted_with_a_lower_incarnation_loses_its_job)
{
    this->owner.incarnation = incarnation_number(10);
    this->owner.process = process_number(7);
    CHECK(is_owner_gone(this->owner, this->state));
}

TEST(job_placement, a_dead_or_leaving_owner_loses_its_job)
{
    CHECK(is_owner_gone(std::nullopt, this->state));
    this->owner.state = node_state::leaving;
    CHECK(is_owner_gone(this->owner, this->state));
}
