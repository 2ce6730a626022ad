#include "platform/configuration_decoder.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::platform;

namespace
{

const char* const full = R"({"version":7,"routes":[
 {"name":"r1","host":"h","prefix":"/a/","kind":"streaming","timeoutMs":5000,
  "targetLatencyMs":300,"priority":2,"service":"s1","maxAttempts":2,
  "resumable":true,"gapAimMs":250,"unknown":{}},
 {"name":"r2","host":"h","prefix":"/b/","kind":"unsafe","timeoutMs":1000.5,
  "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
  "maxAttempts":1},
 {"name":"r3","host":"h","prefix":"/c/","kind":"batch","service":"s1",
  "maxCount":3100000,"runTargetMs":18000,"retentionS":60,"maxAttempts":3}],
 "services":[{"name":"s1","healthPath":"/health","maxConns":290,
  "engine":{"slots":8}},{"name":"s2","healthPath":"/health","maxConns":96}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

} // namespace

TEST_GROUP(configuration_decoder){};

TEST(configuration_decoder, parses_all_fields)
{
    const auto read = decode_configuration(full);
    CHECK(read.has_value());
    const routing::configuration& contents = read.value();
    CHECK_EQUAL(7, contents.version.count());
    CHECK_EQUAL(3, contents.routes.size());
    const routing::route& stream = contents.routes[0];
    CHECK(stream.kind == routing::request_kind::streaming);
    CHECK(stream.resumable);
    CHECK_EQUAL(2, stream.max_attempts);
    CHECK(stream.target_latency == std::chrono::milliseconds(300));
    CHECK(stream.longest_pause == std::chrono::milliseconds(250));
    CHECK(stream.caller_patience == std::chrono::seconds(2));
    const routing::route& split = contents.routes[1];
    CHECK(split.kind == routing::request_kind::at_most_once);
    CHECK_EQUAL(2, split.services.size());
    CHECK_EQUAL(10, split.services[1].weight);
    CHECK(split.timeout == std::chrono::microseconds(1'000'500));
    const routing::route& batch = contents.routes[2];
    CHECK_EQUAL(3'100'000, batch.waiting_tokens_limit.count());
    CHECK(batch.retention == std::chrono::seconds(60));
    CHECK(contents.services[0].is_engine);
    CHECK_EQUAL(8, contents.services[0].slots);
    CHECK_EQUAL(4'194'304, contents.limits.body.count());
}

TEST(configuration_decoder, an_unknown_kind_is_not_repeatable)
{
    const auto read = decode_configuration(
        R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"new",
            "service":"s"}]})");
    CHECK_FALSE(read.value().routes[0].is_repeatable());
}

TEST(configuration_decoder, rejects_invalid_documents)
{
    for (
        const char* text :
        {"", "[]", "{", "{}", R"({"version":"7","routes":[]})",
         R"({"version":7,"routes":{}})",
         R"({"version":7,"routes":[{"host":"h","prefix":"/"}]})",
         R"({"version":7,"routes":[{"host":"h","prefix":"/","kind":"safe"}]})"})
    {
        CHECK(decode_configuration(text).has_error());
    }
}
