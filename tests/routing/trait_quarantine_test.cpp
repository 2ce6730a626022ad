#include "routing/trait_quarantine.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::routing;

TEST_GROUP(trait_quarantine)
{
    trait_quarantine quarantine;
    time_point now{std::chrono::hours(1)};
    const request_trait trait{"a"};

    bool is_blocked() const
    {
        return !this->quarantine
                    .blocked_among({request_trait("x"), this->trait})
                    .empty();
    }
};

TEST(trait_quarantine, blocks_and_clears)
{
    CHECK_FALSE(this->is_blocked());
    this->quarantine.block(this->trait, this->now);
    CHECK(this->is_blocked());
    CHECK(this->quarantine.clear(this->trait) != nullptr);
    CHECK_FALSE(this->is_blocked());
    POINTERS_EQUAL(nullptr, this->quarantine.clear(this->trait));
}

TEST(trait_quarantine, each_failed_trial_doubles_the_block)
{
    duration expected = trait_quarantine::first_hold;
    for (int trial = 0; trial < trait_quarantine::max_failed_trials; ++trial)
    {
        const trait_verdict& verdict =
            this->quarantine.block(this->trait, this->now);
        CHECK(verdict.hold == expected);
        CHECK(verdict.trial_at == this->now + expected);
        expected *= 2;
    }
}

// Guards against trials without end, each of which costs a replica.
TEST(trait_quarantine, a_day_has_few_trials)
{
    constexpr int allowed_replicas = 3;
    const time_point end = this->now + std::chrono::hours(24);
    int failed_trials = 0;
    time_point trial_at =
        this->quarantine.block(this->trait, this->now).trial_at;
    while (trial_at < end)
    {
        ++failed_trials;
        trial_at = this->quarantine.block(this->trait, trial_at).trial_at;
    }
    CHECK_EQUAL(trait_quarantine::max_failed_trials, failed_trials);
    CHECK(failed_trials < allowed_replicas);
}

TEST(trait_quarantine, a_part_that_was_cleared_starts_anew)
{
    this->quarantine.block(this->trait, this->now);
    this->quarantine.block(this->trait, this->now);
    this->quarantine.clear(this->trait);
    CHECK(this->quarantine.block(this->trait, this->now).hold ==
          trait_quarantine::first_hold);
}

// Guards against a block that comes back with a node that has missed its end.
TEST(trait_quarantine, the_newest_verdict_of_all_nodes_holds)
{
    trait_quarantine late;
    const trait_verdict blocked =
        this->quarantine.block(this->trait, this->now);
    CHECK(late.merge(blocked));
    CHECK_FALSE(late.merge(blocked));
    const trait_verdict cleared = *this->quarantine.clear(this->trait);
    CHECK(late.merge(cleared));
    CHECK_FALSE(this->quarantine.merge(blocked));
    CHECK_FALSE(this->is_blocked());
    CHECK(late.blocked_among({this->trait}).empty());
}

TEST(trait_quarantine, memory_is_bounded)
{
    for (std::size_t count = 0; count < 2 * trait_quarantine::max_verdicts;
         ++count)
    {
        this->quarantine.block(request_trait(std::to_string(count)),
                               this->now + std::chrono::seconds(count));
    }
    LONGS_EQUAL(trait_quarantine::max_verdicts, this->quarantine.all().size());
    this->quarantine.block(this->trait, this->now);
    CHECK(this->is_blocked());
}
