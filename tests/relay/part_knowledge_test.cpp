#include "relay/part_knowledge.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(part_knowledge)
{
    const time_point senders_time{std::chrono::hours(5)};
    const time_point receivers_time{std::chrono::hours(2)};
    const prompt_part_id part{"a"};
};

TEST(part_knowledge, keeps_ages_between_nodes_with_different_clocks)
{
    part_knowledge sent;
    sent.asked = {this->part};
    sent.crashes.push_back(
        routing::crash_report{request_id("q"),
                              replica_process_id("r/1"),
                              {this->part, prompt_part_id("b")},
                              this->senders_time - std::chrono::seconds(3)});
    sent.survivals[this->part] = this->senders_time - std::chrono::seconds(7);
    routing::part_quarantine quarantine;
    sent.verdicts.push_back(quarantine.block(this->part, this->senders_time));
    const auto received = decode_part_knowledge(
        encode(sent, this->senders_time), this->receivers_time);
    CHECK(received.value().asked == sent.asked);
    const routing::crash_report& crash = received.value().crashes.at(0);
    CHECK(crash.at == this->receivers_time - std::chrono::seconds(3));
    CHECK(crash.parts == sent.crashes[0].parts);
    STRCMP_EQUAL("r/1", crash.replica_process.str().c_str());
    CHECK(received.value().survivals.at(this->part) ==
          this->receivers_time - std::chrono::seconds(7));
    const routing::part_verdict& verdict = received.value().verdicts.at(0);
    CHECK(verdict.blocked);
    LONGS_EQUAL(1, verdict.revision);
    CHECK(verdict.trial_at ==
          this->receivers_time + routing::part_quarantine::first_hold);
}

TEST(part_knowledge, bounds_the_times_of_a_strange_message)
{
    part_knowledge sent;
    sent.crashes.push_back(
        routing::crash_report{request_id("q"),
                              replica_process_id("r"),
                              {},
                              this->senders_time + std::chrono::hours(9)});
    routing::part_verdict strange;
    strange.part = this->part;
    strange.trial_at = this->senders_time + std::chrono::hours(900);
    sent.verdicts.push_back(strange);
    const auto received = decode_part_knowledge(
        encode(sent, this->senders_time), this->receivers_time);
    CHECK(received.value().crashes.at(0).at <= this->receivers_time);
    CHECK(received.value().verdicts.at(0).trial_at <=
          this->receivers_time + routing::part_quarantine::longest_hold);
}

TEST(part_knowledge, refuses_unreadable_bytes)
{
    CHECK(decode_part_knowledge("\x19\xff\xff", this->receivers_time)
              .has_error());
}
