#include "allotments/lease_codec.hpp"

#include "wire/codec.hpp"
#include "wire/generated/allotments_types.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace parsleytrack;
using namespace parsleytrack::allotments;

TEST_GROUP(lease_codec){};

// A field that is not converted would be zero at the other node.
TEST(lease_codec, all_fields_arrive)
{
    lease_order order;
    order.workspace = workspace_name("w");
    order.limit = {request_rate(2.5), 7.5};
    order.version = configuration_version(3);
    order.needed = 4;
    order.wanted = 9;
    order.returned = 2;
    order.term = bucket_term(-5);
    order.sent_alone = 6;
    const auto read = decode_lease_order(encode(order)).value();
    CHECK(read.workspace == order.workspace);
    CHECK(read.limit == order.limit);
    CHECK(read.version == order.version);
    CHECK_EQUAL(4, read.needed);
    CHECK_EQUAL(9, read.wanted);
    CHECK_EQUAL(2, read.returned);
    CHECK(read.term == order.term);
    CHECK_EQUAL(6, read.sent_alone);
    const lease_reply reply{true, 8, bucket_term(12), duration(1500)};
    const auto answer = decode_lease_reply(encode(reply)).value();
    CHECK(answer.is_owner);
    CHECK_EQUAL(8, answer.granted);
    CHECK(answer.term == reply.term);
    CHECK(answer.refilled_in == reply.refilled_in);
}

// Numbers that are not finite or negative would spoil a bucket for good.
TEST(lease_codec, numbers_out_of_range_are_refused)
{
    wire::allotment_order order;
    order.requests_per_s = 1.0;
    CHECK(decode_lease_order(wire::encode(order)).has_value());
    order.returned = -1;
    CHECK(decode_lease_order(wire::encode(order)).has_error());
    order.returned = 0;
    order.burst = std::numeric_limits<double>::quiet_NaN();
    CHECK(decode_lease_order(wire::encode(order)).has_error());
    order.burst = 0.0;
    order.requests_per_s = 0.0;
    CHECK(decode_lease_order(wire::encode(order)).has_error());
    wire::allotment_answer answer;
    answer.granted = -1;
    CHECK(decode_lease_reply(wire::encode(answer)).has_error());
    CHECK(decode_lease_reply("?").has_error());
}
