#include "relay/origin_messages.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(origin_messages)
{
    const time_point sent{std::chrono::seconds(100)};
    const time_point received{std::chrono::seconds(7)};
    const stream_origin origin{service_name("llm"), software_version("v1")};
};

// Guards against clocks that differ between nodes.
TEST(origin_messages, a_notice_says_how_long_a_stream_is_kept)
{
    const std::vector<origin_memory::entry> notice{
        {request_id("a"), this->origin, this->sent + std::chrono::seconds(3)}};
    const auto read =
        decode_origin_notice(encode(notice, this->sent), this->received);
    CHECK_EQUAL(1, read.value().size());
    CHECK(read.value().front().request == request_id("a"));
    CHECK(read.value().front().origin == this->origin);
    CHECK(read.value().front().until ==
          this->received + std::chrono::seconds(3));
}

TEST(origin_messages, an_inquiry_names_stream_and_services)
{
    const origin_inquiry inquiry{request_id("a"),
                                 {service_name("llm"), service_name("web")},
                                 std::chrono::seconds(7)};
    const auto read = decode_origin_inquiry(encode(inquiry));
    CHECK(read.value().request == inquiry.request);
    CHECK(read.value().services == inquiry.services);
    CHECK(read.value().within == inquiry.within);
}

TEST(origin_messages, a_reply_may_know_the_origin_or_what_it_may_be)
{
    origin_reply reply;
    reply.has_observed = true;
    reply.candidates = {this->origin};
    reply.remembers = true;
    auto read = decode_origin_reply(encode(reply));
    CHECK_FALSE(read.value().origin.has_value());
    CHECK(read.value().has_observed);
    CHECK(read.value().remembers);
    CHECK(read.value().candidates == reply.candidates);
    reply.origin = this->origin;
    read = decode_origin_reply(encode(reply));
    CHECK(read.value().origin == this->origin);
}

TEST(origin_messages, malformed_bytes_are_refused)
{
    CHECK(decode_origin_notice("x", this->received).has_error());
    CHECK(decode_origin_inquiry("x").has_error());
    CHECK(decode_origin_reply("x").has_error());
}
