#include "relay/slot_codec.hpp"
#include "wire/codec.hpp"
#include "wire/generated/slots_types.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(slot_codec)
{
    const time_point sent{std::chrono::seconds(100)};
    const time_point received{std::chrono::seconds(7)};

    static replica_limit named(double rate, time_point at)
    {
        return replica_limit{replica_process_id("i-1/2"),
                             {request_rate(rate), at}};
    }
};

// Guards against clocks that differ between nodes: what counts is how long ago
// a limit was named.
TEST(slot_codec, a_limit_keeps_its_age)
{
    slot_response grant;
    grant.status = slot_response::status_code::granted;
    grant.limit = named(2.5, this->sent - std::chrono::seconds(3));
    const auto read =
        decode_slot_response(encode(grant, this->sent), this->received);
    CHECK(read.value().limit->process == grant.limit->process);
    CHECK(read.value().limit->observation.limit == request_rate(2.5));
    CHECK(read.value().limit->observation.at ==
          this->received - std::chrono::seconds(3));
}

TEST(slot_codec, a_report_may_say_that_a_limit_has_ended)
{
    replica_report report;
    report.limit = named(1, this->sent);
    report.limit->observation.limit.reset();
    const auto read =
        decode_replica_report(encode(report, this->sent), this->received);
    CHECK(read.value().limit.has_value());
    CHECK_FALSE(read.value().limit->observation.limit.has_value());
    report.limit.reset();
    CHECK_FALSE(
        decode_replica_report(encode(report, this->sent), this->received)
            .value()
            .limit.has_value());
}

TEST(slot_codec, a_limit_that_is_no_number_is_left_out)
{
    slot_response grant;
    for (const double rate : {std::numeric_limits<double>::quiet_NaN(), -1.0})
    {
        grant.limit = named(rate, this->sent);
        CHECK_FALSE(
            decode_slot_response(encode(grant, this->sent), this->received)
                .value()
                .limit.has_value());
    }
}

// Guards against a broker that grants a replica of any version to a stream that
// one version has begun.
TEST(slot_codec, a_request_may_depend_on_a_version)
{
    slot_request request;
    CHECK_FALSE(decode_slot_request(encode(request)).value().version);
    request.version = software_version("v1");
    CHECK(decode_slot_request(encode(request)).value().version ==
          request.version);
    request.any_version_in = std::chrono::seconds(3);
    CHECK(decode_slot_request(encode(request)).value().any_version_in ==
          request.any_version_in);
    // An entry without a version is a version of its own.
    request.version = software_version();
    CHECK(decode_slot_request(encode(request)).value().version ==
          request.version);
}

// Guards against nodes of an earlier version that cannot read a request, or
// whose requests cannot be read: their messages lack the workspace.
TEST(slot_codec,
     a_request_without_a_workspace_is_written_as_by_earlier_versions)
{
    wire::slot_order earlier;
    earlier.request = "q";
    earlier.service_name = "s";
    earlier.priority = 2;
    earlier.useful_for_ms = 225;
    const std::string bytes = wire::encode(earlier);
    slot_request request = decode_slot_request(bytes).value();
    CHECK(request.workspace.empty());
    CHECK(bytes == encode(request));
    request.workspace = workspace_name("w");
    const slot_request read = decode_slot_request(encode(request)).value();
    CHECK(read.workspace == request.workspace);
    CHECK(to_broker_request(read, this->received).workspace ==
          request.workspace);
}

// Guards against reports that nodes of an earlier version cannot read, or whose
// reports cannot be read: their messages lack the field.
TEST(slot_codec, a_report_without_a_loss_is_written_as_by_earlier_versions)
{
    wire::replica_report earlier;
    earlier.request = "q";
    earlier.service_name = "s";
    earlier.replica = "r";
    earlier.process = "r/1";
    const std::string bytes = wire::encode(earlier);
    replica_report report =
        decode_replica_report(bytes, this->received).value();
    CHECK_FALSE(report.lost);
    CHECK(bytes == encode(report, this->received));
    report.lost = true;
    CHECK(decode_replica_report(encode(report, this->sent), this->received)
              .value()
              .lost);
}
