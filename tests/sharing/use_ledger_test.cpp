#include "sharing/use_ledger.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::sharing;

TEST_GROUP(use_ledger)
{
    const duration hold = std::chrono::milliseconds(500);
    use_ledger ledger{this->hold, 0.05};
    time_point now{std::chrono::seconds(100)};
    const workspace_name small{"small"};
    const workspace_name large{"large"};

    /// Holds some slots for a time, one after another.
    void use(const workspace_name& workspace, int slots, duration span)
    {
        for (int slot = 0; slot < slots; ++slot)
        {
            this->ledger.take(workspace, 0, this->now);
        }
        this->now += span;
        for (int slot = 0; slot < slots; ++slot)
        {
            this->ledger.end(workspace, span, this->now);
        }
    }
};

// Guards against a workspace that is granted many slots at once before any of
// them counts.
TEST(use_ledger, a_slot_counts_as_soon_as_it_is_taken)
{
    this->ledger.take(this->large, 0, this->now);
    DOUBLES_EQUAL(0.5, this->ledger.use_of(this->large, this->now), 1e-9);
    DOUBLES_EQUAL(0.0, this->ledger.use_of(this->small, this->now), 1e-9);
}

// Guards against counting requests in place of slot time: one long request
// takes as much as many short ones.
TEST(use_ledger, slot_time_counts_and_not_the_number_of_requests)
{
    this->ledger.take(this->large, 0, this->now);
    for (int count = 0; count < 10; ++count)
    {
        this->use(this->small, 1, std::chrono::milliseconds(100));
    }
    this->ledger.end(this->large, std::chrono::seconds(1), this->now);
    DOUBLES_EQUAL(this->ledger.use_of(this->large, this->now),
                  this->ledger.use_of(this->small, this->now), 1e-9);
}

TEST(use_ledger, use_approaches_the_slots_held_and_decays_within_seconds)
{
    this->use(this->large, 8, std::chrono::seconds(20));
    // Eight slots over two seconds.
    DOUBLES_EQUAL(16.0, this->ledger.use_of(this->large, this->now), 0.01);
    this->now += std::chrono::seconds(2);
    DOUBLES_EQUAL(5.886, this->ledger.use_of(this->large, this->now), 0.01);
    this->now += std::chrono::seconds(18);
    CHECK(this->ledger.use_of(this->large, this->now) < 0.01);
}

// Guards against memory that grows with each workspace ever seen.
TEST(use_ledger, idle_workspaces_are_forgotten)
{
    for (int number = 0; number < 500; ++number)
    {
        this->use(workspace_name("w" + std::to_string(number)), 1, this->hold);
    }
    this->ledger.take(this->large, 0, this->now);
    this->now += std::chrono::seconds(40);
    this->ledger.take(this->small, 0, this->now);
    CHECK_EQUAL(2, this->ledger.size());
}

// Guards against reports whose size grows with the number of workspaces.
TEST(use_ledger, only_the_largest_workspaces_are_listed)
{
    for (int number = 1; number <= 30; ++number)
    {
        for (int slot = 0; slot < number; ++slot)
        {
            this->ledger.take(workspace_name("w" + std::to_string(number)), 0,
                              this->now);
        }
    }
    this->now += std::chrono::seconds(1);
    const auto largest = this->ledger.largest(10, this->now);
    CHECK_EQUAL(10, largest.size());
    STRCMP_EQUAL("w30", largest.front().workspace.str().c_str());
    CHECK_EQUAL(30, largest.front().held);
    STRCMP_EQUAL("w21", largest.back().workspace.str().c_str());
}

TEST(use_ledger, without_names_nothing_is_listed)
{
    this->ledger.take(workspace_name(), 0, this->now);
    CHECK_FALSE(this->ledger.has_workspaces());
    CHECK(this->ledger.largest(10, this->now).empty());
    this->ledger.refuse(this->small, this->now);
    CHECK(this->ledger.has_workspaces());
}

// Guards against requests of a hot workspace that are accepted because the
// others' requests, which will go first, have not arrived yet.
TEST(use_ledger, workspaces_with_less_use_claim_the_slots_that_they_hold)
{
    const workspace_name urgent("urgent");
    for (int slot = 0; slot < 20; ++slot)
    {
        this->ledger.take(this->large, 1, this->now);
    }
    this->ledger.take(this->small, 1, this->now);
    this->ledger.take(urgent, 0, this->now);
    this->ledger.take(urgent, 0, this->now);
    this->now += std::chrono::seconds(20);
    this->ledger.refresh_claims(this->now);
    const double large_use = this->ledger.use_of(this->large, this->now);
    const double small_use = this->ledger.use_of(this->small, this->now);
    // The urgent workspace's two slots; of the small one's only what it may
    // still get before both uses are equal.
    DOUBLES_EQUAL(2.0 + 1.0 - small_use / large_use,
                  this->ledger.claimed_before(1, large_use), 0.01);
    DOUBLES_EQUAL(2.0, this->ledger.claimed_before(1, small_use), 0.01);
    DOUBLES_EQUAL(0.0, this->ledger.claimed_before(0, 0.0), 0.01);
    CHECK(this->ledger.has_more_urgent(1));
    CHECK_FALSE(this->ledger.has_more_urgent(0));
}

TEST(use_ledger, refused_callers_count_until_they_have_returned)
{
    for (int count = 0; count < 100; ++count)
    {
        this->ledger.refuse(this->large, this->now);
    }
    DOUBLES_EQUAL(100.0, this->ledger.returning(this->large, this->now), 1e-9);
    DOUBLES_EQUAL(0.0, this->ledger.returning(this->small, this->now), 1e-9);
    this->now += std::chrono::seconds(3);
    CHECK(this->ledger.returning(this->large, this->now) < 6.0);
}
