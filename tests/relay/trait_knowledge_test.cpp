#include "relay/trait_knowledge.hpp"
#include "wire/codec.hpp"
#include "wire/generated/crash_traits_types.h"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(trait_knowledge)
{
    const time_point senders_time{std::chrono::hours(5)};
    const time_point receivers_time{std::chrono::hours(2)};
    const request_trait trait{"a"};
};

TEST(trait_knowledge, keeps_ages_between_nodes_with_different_clocks)
{
    trait_knowledge sent;
    sent.asked = {this->trait};
    sent.crashes.push_back(
        routing::crash_report{request_id("q"),
                              replica_process_id("r/1"),
                              {this->trait, request_trait("b")},
                              this->senders_time - std::chrono::seconds(3)});
    sent.crashes[0].after_output = true;
    sent.survivals[this->trait] = this->senders_time - std::chrono::seconds(7);
    routing::trait_quarantine quarantine;
    sent.verdicts.push_back(quarantine.block(this->trait, this->senders_time));
    const auto received = decode_trait_knowledge(
        encode(sent, this->senders_time), this->receivers_time);
    CHECK(received.value().asked == sent.asked);
    const routing::crash_report& crash = received.value().crashes.at(0);
    CHECK(crash.at == this->receivers_time - std::chrono::seconds(3));
    CHECK(crash.traits == sent.crashes[0].traits);
    CHECK(crash.after_output);
    STRCMP_EQUAL("r/1", crash.replica_process.str().c_str());
    CHECK(received.value().survivals.at(this->trait) ==
          this->receivers_time - std::chrono::seconds(7));
    const routing::trait_verdict& verdict = received.value().verdicts.at(0);
    CHECK(verdict.blocked);
    LONGS_EQUAL(1, verdict.revision);
    CHECK(verdict.trial_at ==
          this->receivers_time + routing::trait_quarantine::first_hold);
}

TEST(trait_knowledge, bounds_the_times_of_a_strange_message)
{
    trait_knowledge sent;
    sent.crashes.push_back(
        routing::crash_report{request_id("q"),
                              replica_process_id("r"),
                              {},
                              this->senders_time + std::chrono::hours(9)});
    routing::trait_verdict strange;
    strange.trait = this->trait;
    strange.trial_at = this->senders_time + std::chrono::hours(900);
    sent.verdicts.push_back(strange);
    const auto received = decode_trait_knowledge(
        encode(sent, this->senders_time), this->receivers_time);
    CHECK(received.value().crashes.at(0).at <= this->receivers_time);
    CHECK(received.value().verdicts.at(0).trial_at <=
          this->receivers_time + routing::trait_quarantine::longest_hold);
}

TEST(trait_knowledge, refuses_unreadable_bytes)
{
    CHECK(decode_trait_knowledge("\x19\xff\xff", this->receivers_time)
              .has_error());
}

// Guards against reports that nodes of an earlier version cannot read, or whose
// reports cannot be read: their messages lack the field.
TEST(trait_knowledge, a_crash_before_output_is_written_as_by_earlier_versions)
{
    wire::trait_knowledge earlier;
    wire::trait_crash& crash = earlier.crashes.emplace_back();
    crash.request = "q";
    crash.replica_process = "r/1";
    crash.traits = {"a"};
    crash.age_ms = 3000;
    const std::string bytes = wire::encode(earlier);
    const auto received = decode_trait_knowledge(bytes, this->receivers_time);
    CHECK_FALSE(received.value().crashes.at(0).after_output);
    trait_knowledge sent;
    sent.crashes = received.value().crashes;
    CHECK(bytes == encode(sent, this->receivers_time));
}
