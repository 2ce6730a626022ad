#include "allotments/owner_outages.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::allotments;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(owner_outages)
{
    time_point now{hours(5)};
    const node_id owner{"owner"};
    const workspace_name first{"first"};
    const workspace_name second{"second"};
    owner_outages outages;
};

// Each workspace of a dead owner would otherwise wait for its own time-out.
TEST(owner_outages, a_silent_owner_is_silent_for_all_its_workspaces)
{
    this->outages.mark_silent(this->owner, this->first, this->now);
    this->outages.mark_silent(this->owner, this->second,
                              this->now + seconds(1));
    CHECK(this->outages.since(this->owner, this->second) == this->now);
    this->outages.clear(this->owner, this->first);
    CHECK_FALSE(this->outages.since(this->owner, this->second).has_value());
}

// A node that does not own one workspace may own the others.
TEST(owner_outages, a_denial_is_about_one_workspace)
{
    this->outages.mark_silent(this->owner, this->first, this->now);
    this->outages.mark_denied(this->owner, this->first, this->now);
    CHECK(this->outages.since(this->owner, this->first).has_value());
    CHECK_FALSE(this->outages.since(this->owner, this->second).has_value());
}

// The workspace that was asked for first may have got another owner; asking
// that one would not notice that the silent one is back.
TEST(owner_outages, is_probed_with_the_latest_workspace_at_intervals)
{
    this->outages.mark_silent(this->owner, this->first, this->now);
    CHECK(this->outages.take_due_probes(this->now).empty());
    this->outages.probe_with(this->owner, this->second);
    this->now += milliseconds(250);
    const auto due = this->outages.take_due_probes(this->now);
    CHECK_EQUAL(1, due.size());
    CHECK(due.front() == this->second);
    CHECK(this->outages.take_due_probes(this->now).empty());
}

// Owners that die are never asked again.
TEST(owner_outages, forgets_owners_after_a_minute)
{
    this->outages.mark_silent(this->owner, this->first, this->now);
    this->now += minutes(1);
    this->outages.take_due_probes(this->now);
    CHECK_FALSE(this->outages.since(this->owner, this->first).has_value());
}
