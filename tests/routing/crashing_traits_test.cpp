#include "routing/crashing_traits.hpp"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::routing;

namespace
{

const request_trait first("first");
const request_trait bad("bad");
const request_trait other("other");
const request_trait whole("request:1");

time_point at(int milliseconds)
{
    return time_point(std::chrono::milliseconds(1000 + milliseconds));
}

/// The reports of one day, and when traits were last survived.
struct evidence
{
    std::vector<crash_report> reports;
    std::map<request_trait, time_point> survivals;

    void add(const std::string& replica,
             const std::vector<request_trait>& traits, int milliseconds,
             bool after_output = false)
    {
        const std::string request = std::to_string(this->reports.size());
        this->reports.push_back(
            crash_report{request_id(request), replica_process_id(replica),
                         traits, at(milliseconds), after_output});
    }

    /// \returns The traits found, joined by commas.
    std::string find() const
    {
        std::string joined;
        for (const request_trait& trait :
             find_crashing_traits(this->reports, this->survivals))
        {
            joined += (joined.empty() ? "" : ",") + trait.str();
        }
        return joined;
    }
};

} // namespace

TEST_GROUP(crashing_traits){};

TEST(crashing_traits, three_replicas_that_end_under_an_unknown_part_suffice)
{
    evidence seen;
    seen.survivals[first] = at(400);
    seen.add("r1", {first, bad}, 0);
    seen.add("r2", {first, bad}, 100);
    STRCMP_EQUAL("", seen.find().c_str());
    seen.add("r3", {first, bad}, 200);
    STRCMP_EQUAL("bad", seen.find().c_str());
}

// Guards against a request that replicas begin to answer before they crash.
TEST(crashing_traits, a_request_that_crashes_replicas_in_its_output_is_found)
{
    evidence seen;
    seen.survivals[first] = at(2500);
    for (int crash = 0; crash < 3; ++crash)
    {
        STRCMP_EQUAL("", seen.find().c_str());
        seen.add("r" + std::to_string(crash), {first, whole}, 1000 * crash,
                 true);
    }
    STRCMP_EQUAL("request:1", seen.find().c_str());
}

// The same for a part of a prompt, beside sound requests that are lost with the
// replicas.
TEST(crashing_traits, so_is_a_part_of_a_prompt)
{
    evidence seen;
    seen.survivals[first] = at(-100);
    for (int crash = 0; crash < 5; ++crash)
    {
        STRCMP_EQUAL("", seen.find().c_str());
        const std::string name = "r" + std::to_string(crash);
        seen.add(name, {first, bad, request_trait("request:" + name)},
                 1000 * crash, true);
        seen.add(name, {first, other}, 1000 * crash, true);
        seen.survivals[first] = at(1000 * crash);
        seen.survivals[other] = at(1000 * crash + 500);
    }
    STRCMP_EQUAL("bad", seen.find().c_str());
}

// Guards against blocking a part that is in progress everywhere when replicas
// end together.
TEST(crashing_traits, replicas_that_end_together_in_their_output_prove_nothing)
{
    evidence seen;
    for (int replica = 0; replica < 59; ++replica)
    {
        seen.add("r" + std::to_string(replica), {first}, replica, true);
    }
    STRCMP_EQUAL("", seen.find().c_str());
}

TEST(crashing_traits, several_requests_on_one_replica_count_once)
{
    evidence seen;
    for (int count = 0; count < 10; ++count)
    {
        seen.add("r1", {bad}, count);
    }
    STRCMP_EQUAL("", seen.find().c_str());
}

TEST(crashing_traits, the_part_that_explains_all_crashes_is_blamed_alone)
{
    // Sound requests that share the first trait are lost with the replicas.
    evidence seen;
    for (int replica = 0; replica < 4; ++replica)
    {
        const std::string name = "r" + std::to_string(replica);
        seen.add(name, {first, bad}, replica * 100);
        seen.add(name, {first, request_trait(name)}, replica * 100);
    }
    seen.survivals[first] = at(-1000);
    STRCMP_EQUAL("bad", seen.find().c_str());
}

TEST(crashing_traits, of_two_unknown_parts_the_more_specific_one_is_blamed)
{
    evidence seen;
    for (int replica = 0; replica < 3; ++replica)
    {
        seen.add("r" + std::to_string(replica), {first, bad}, replica * 100);
    }
    STRCMP_EQUAL("bad", seen.find().c_str());
}

// Pattern: one request comes again and again, beside sound ones that share the
// parts of its prompt.
TEST(crashing_traits, a_request_that_comes_again_is_blamed_alone)
{
    evidence seen;
    seen.survivals[first] = at(250);
    for (int crash = 0; crash < 3; ++crash)
    {
        seen.add("r" + std::to_string(crash), {first, bad}, 100 * crash);
        seen.add("r" + std::to_string(crash),
                 {first, request_trait("in-progress" + std::to_string(crash))},
                 100 * crash);
    }
    STRCMP_EQUAL("bad", seen.find().c_str());
}

TEST(crashing_traits, two_bad_parts_are_both_found)
{
    evidence seen;
    for (int replica = 0; replica < 3; ++replica)
    {
        seen.add("a" + std::to_string(replica), {first, bad}, replica * 100);
        seen.add("b" + std::to_string(replica), {first, other}, replica * 100);
    }
    seen.survivals[first] = at(5000);
    STRCMP_EQUAL("bad,other", seen.find().c_str());
}

TEST(crashing_traits, a_part_that_was_survived_afterwards_is_sound)
{
    evidence seen;
    for (int replica = 0; replica < 9; ++replica)
    {
        seen.add("r" + std::to_string(replica), {bad}, replica * 1000);
    }
    seen.survivals[bad] = at(9000);
    STRCMP_EQUAL("", seen.find().c_str());
}

TEST(crashing_traits, replicas_that_end_together_prove_nothing_of_a_known_part)
{
    evidence seen;
    seen.survivals[first] = at(-100);
    for (int replica = 0; replica < 59; ++replica)
    {
        seen.add("r" + std::to_string(replica), {first}, replica);
    }
    STRCMP_EQUAL("", seen.find().c_str());
    // Unless replicas go on ending under it.
    seen.add("later", {first}, 2500);
    STRCMP_EQUAL("first", seen.find().c_str());
}

// Replicas crash at random while requests with popular and rare traits run; no
// trait may be blamed.
TEST(crashing_traits, random_crashes_among_popular_parts_blame_nothing)
{
    for (unsigned seed = 0; seed < 200; ++seed)
    {
        std::mt19937 random(seed);
        std::uniform_int_distribution<int> popular(0, 9);
        std::uniform_int_distribution<int> rare(0, 999);
        evidence seen;
        for (int crash = 0; crash < 12; ++crash)
        {
            const std::string replica = "r" + std::to_string(crash);
            for (int request = 0; request < 2; ++request)
            {
                const request_trait shared("p" +
                                           std::to_string(popular(random)));
                const request_trait session("s" + std::to_string(rare(random)));
                seen.add(replica, {shared, session}, crash * 300);
            }
        }
        // Popular traits are answered by other replicas meanwhile.
        for (int trait = 0; trait < 10; ++trait)
        {
            seen.survivals[request_trait("p" + std::to_string(trait))] =
                at(2800);
        }
        STRCMP_EQUAL("", seen.find().c_str());
    }
}
