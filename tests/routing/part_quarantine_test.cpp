#include "routing/part_quarantine.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::routing;

TEST_GROUP(part_quarantine)
{
    part_quarantine quarantine;
    time_point now{std::chrono::hours(1)};
    const prompt_part_id part{"a"};

    bool is_blocked() const
    {
        return !this->quarantine
                    .blocked_among({prompt_part_id("x"), this->part})
                    .empty();
    }
};

TEST(part_quarantine, blocks_and_clears)
{
    CHECK_FALSE(this->is_blocked());
    this->quarantine.block(this->part, this->now);
    CHECK(this->is_blocked());
    CHECK(this->quarantine.clear(this->part) != nullptr);
    CHECK_FALSE(this->is_blocked());
    POINTERS_EQUAL(nullptr, this->quarantine.clear(this->part));
}

TEST(part_quarantine, each_failed_trial_doubles_the_block)
{
    duration expected = part_quarantine::first_hold;
    for (int trial = 0; trial < 10; ++trial)
    {
        const part_verdict& verdict =
            this->quarantine.block(this->part, this->now);
        CHECK(verdict.hold == expected);
        CHECK(verdict.trial_at == this->now + expected);
        expected = std::min(2 * expected, part_quarantine::longest_hold);
    }
}

TEST(part_quarantine, a_part_that_was_cleared_starts_anew)
{
    this->quarantine.block(this->part, this->now);
    this->quarantine.block(this->part, this->now);
    this->quarantine.clear(this->part);
    CHECK(this->quarantine.block(this->part, this->now).hold ==
          part_quarantine::first_hold);
}

// Guards against a block that comes back with a node that has missed its end.
TEST(part_quarantine, the_newest_verdict_of_all_nodes_holds)
{
    part_quarantine late;
    const part_verdict blocked = this->quarantine.block(this->part, this->now);
    CHECK(late.merge(blocked));
    CHECK_FALSE(late.merge(blocked));
    const part_verdict cleared = *this->quarantine.clear(this->part);
    CHECK(late.merge(cleared));
    CHECK_FALSE(this->quarantine.merge(blocked));
    CHECK_FALSE(this->is_blocked());
    CHECK(late.blocked_among({this->part}).empty());
}

TEST(part_quarantine, memory_is_bounded)
{
    for (std::size_t count = 0; count < 2 * part_quarantine::max_verdicts;
         ++count)
    {
        this->quarantine.block(prompt_part_id(std::to_string(count)),
                               this->now + std::chrono::seconds(count));
    }
    LONGS_EQUAL(part_quarantine::max_verdicts, this->quarantine.all().size());
    this->quarantine.block(this->part, this->now);
    CHECK(this->is_blocked());
}
