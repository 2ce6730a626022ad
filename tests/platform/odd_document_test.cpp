// Documents that another writer has left in the store.

#include "platform/configuration_decoder.hpp"
#include "platform/job_translation.hpp"
#include "platform/kv_adapter.hpp"
#include "platform/platform_adapter.hpp"
#include "platform/replica_decoder.hpp"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace parsleytrack;
using namespace parsleytrack::platform;

namespace
{

constexpr int deep = 200'000;

std::string repeated(const std::string& part, int count)
{
    std::string text;
    for (int number = 0; number < count; ++number)
    {
        text += part;
    }
    return text;
}

std::string nested_arrays()
{
    return repeated("[", deep) + repeated("]", deep);
}

std::string nested_objects()
{
    return repeated("{\"a\":", deep) + "1" + repeated("}", deep);
}

/// \returns An entry of a replica; a field that is added replaces none.
std::string replica(const std::string& address, const std::string& slots,
                    const std::string& more = "")
{
    return R"({"service":"s","address":")" + address +
           R"(","zone":"z","slots":)" + slots + R"(,"state":"ready")" + more +
           "}";
}

bool names_replica(const std::string& text, const std::string& id = "i")
{
    return decode_replica(replica_id(id), text).has_value();
}

std::string configuration(const std::string& route_fields,
                          const std::string& limits = "{}")
{
    return R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/",)"
           R"("kind":"streaming","service":"s")" +
           route_fields + R"(}],"services":[],"limits":)" + limits + "}";
}

bool is_configuration(const std::string& text)
{
    return decode_configuration(text).has_value();
}

net::http_response response(std::string body)
{
    net::http_response made;
    made.status = 200;
    made.body = std::move(body);
    return made;
}

} // namespace

TEST_GROUP(odd_documents){};

// A document is copied or freed level by level on the stack, which then
// overflows and ends the process.
TEST(odd_documents, a_deeply_nested_entry_does_no_harm)
{
    CHECK_FALSE(names_replica(nested_arrays()));
    CHECK_FALSE(names_replica(nested_objects()));
    CHECK_FALSE(names_replica(repeated("[", deep)));
    CHECK_FALSE(names_replica(repeated("{\"a\":", deep)));
    CHECK(names_replica(replica("10.0.0.1:80", "8")));
    CHECK_FALSE(names_replica(replica("10.0.0.1:80", nested_arrays())));
    // An unknown field may have any type.
    CHECK(names_replica(
        replica("10.0.0.1:80", "8", ",\"more\":" + nested_objects())));
}

// As above, for the documents of operators and callers and for the store's
// responses.
TEST(odd_documents, other_deeply_nested_documents_do_no_harm)
{
    const std::string nested = nested_objects();
    CHECK(is_configuration(configuration(",\"more\":" + nested)));
    CHECK(is_configuration(configuration("", nested)));
    CHECK(is_configuration(
        configuration("", "{\"more\":" + nested_arrays() + "}")));
    CHECK_FALSE(decode_submission("{\"items\":[" + nested + "]}").has_value());
    const kv_adapter kv;
    const auto listing = kv.parse_list_response(
        response("{\"items\":[" + nested +
                 ",{\"key\":\"k\",\"revision\":1,\"more\":" + nested + "}]}"));
    CHECK_EQUAL(1, listing.value().records.size());
}

// A number of slots that does not fit wraps around to one that does.
TEST(odd_documents, numbers_out_of_range_name_no_replica)
{
    for (const char* slots :
         {"1e400", "-1e400", "1e300", "8.0", "-1", "0", "100001",
          "9223372036854775808", "18446744073709551615", "18446744073709551624",
          "-9223372036854775809", "4294967304", "99999999999999999999999999"})
    {
        CHECK_FALSE(names_replica(replica("10.0.0.1:80", slots)));
    }
}

// A start that does not fit into 64 bits becomes a negative time.
TEST(odd_documents, a_start_out_of_range_is_none)
{
    const auto entry = decode_replica(
        replica_id("i"),
        replica("10.0.0.1:80", "8", ",\"born\":18446744073709551615"));
    CHECK(entry.has_value());
    CHECK_FALSE(entry.value().started_at_ms.has_value());
}

// An address that names none must not reach the code that connects.
TEST(odd_documents, odd_addresses_name_no_replica)
{
    for (const char* address : {"10.0.0.1:0",
                                "10.0.0.1:65536",
                                "10.0.0.1:99999999999",
                                "10.0.0.1:+80",
                                "10.0.0.1: 80",
                                "10.0.0.1:80 ",
                                "10.0.0.1:-1",
                                "10.0.0.1:8e1",
                                "10.0.0.1:",
                                "10.0.0.1",
                                ":80",
                                "",
                                "host:80",
                                "[::1]:80",
                                "::1:80",
                                " 10.0.0.1:80",
                                "10.0.0.256:80",
                                "10.0.1:80",
                                "10.0.0.1\\u0000:80",
                                "10.0.0.1:80\\u0000",
                                "10.0.0.1\\n:80"})
    {
        CHECK_FALSE(names_replica(replica(address, "8")));
    }
}

// The id is sent in a header field, which such characters would end.
TEST(odd_documents, an_id_that_fits_no_header_field_names_no_replica)
{
    const std::string good = replica("10.0.0.1:80", "8");
    using namespace std::string_literals;
    for (const std::string& id : {""s, "a\nb"s, "a\r\nb: c"s, "a\0b"s, "a b"s,
                                  " a"s, "a\x7f"s, "a\tb"s})
    {
        CHECK_FALSE(names_replica(good, id));
    }
    CHECK(names_replica(good, "i-0/a.b_c:d"));
    CHECK(names_replica(good, std::string(200, 'i')));
}

// A key that is shorter than the prefix throws when the prefix is cut off.
TEST(odd_documents, a_key_without_an_id_names_no_replica)
{
    const platform_adapter adapter;
    const std::string good = replica("10.0.0.1:80", "8");
    CHECK(adapter.parse_replica("servers/i", good).has_value());
    for (const char* key : {"", "s", "servers", "servers/"})
    {
        CHECK_FALSE(adapter.parse_replica(key, good).has_value());
    }
}

// A value of megabytes in the reason would be logged at each change.
TEST(odd_documents, the_reason_does_not_contain_the_entry)
{
    const std::string state(1'000'000, 'x');
    const auto refused = decode_replica(
        replica_id("i"),
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,)"
        R"("state":")" +
            state + "\"}");
    CHECK(refused.has_error());
    CHECK(refused.error().message.size() < 200);
}

// Converting a number that does not fit is undefined: a huge time becomes the
// largest or a negative one, and overflows when it is added to another.
TEST(odd_documents, huge_times_of_a_route_stay_positive_and_can_be_added)
{
    const auto read = decode_configuration(configuration(
        R"(,"timeoutMs":1e300,"targetLatencyMs":1e18,"gapAimMs":1e25,)"
        R"("retentionS":9223372036854775807,"runTargetMs":-1e300)"));
    CHECK(read.has_value());
    const routing::route& route = read.value().routes.front();
    constexpr duration year = std::chrono::hours(24 * 365);
    for (const duration time : {route.timeout, route.target_latency,
                                route.caller_patience, route.retention})
    {
        CHECK(time >= year);
        CHECK(time < duration::max() / 4);
    }
    CHECK(route.run_target == duration::zero());
}

// A number that is cut to 32 bits becomes a small or a negative one.
TEST(odd_documents, huge_numbers_of_a_route_do_not_wrap_around)
{
    const auto read = decode_configuration(
        R"({"version":7,"routes":[{"host":"h","prefix":"/","kind":"safe",)"
        R"("trafficSplit":[{"service":"a","weight":4294967296},)"
        R"({"service":"b","weight":18446744073709551615},)"
        R"({"service":"c","weight":5}],"maxAttempts":4294967297,)"
        R"("priority":-9223372036854775808}],"services":[{"name":"a",)"
        R"("maxConns":4294967295,"engine":{"slots":2147483648}}]})");
    CHECK(read.has_value());
    constexpr int most = std::numeric_limits<int>::max();
    const routing::route& route = read.value().routes.front();
    CHECK_EQUAL(2, route.services.size());
    CHECK(route.services.front().weight > 5);
    CHECK(route.max_attempts > 1);
    CHECK(route.priority < 0);
    const routing::service& service = read.value().services.front();
    CHECK_EQUAL(most, service.max_connections);
    CHECK_EQUAL(most, service.slots);
}

// The library throws at a key that is not UTF-8, which ends the process.
TEST(odd_documents, a_transaction_with_a_key_that_is_no_text_can_be_encoded)
{
    key_value::record_transaction transaction;
    transaction.puts = {{"key\xff", "value"}};
    CHECK_FALSE(kv_adapter().commit_request(transaction).body.empty());
}

// A caller's number of tokens is added to those of others.
TEST(odd_documents, huge_and_negative_numbers_of_tokens_are_limited)
{
    for (const char* tokens : {"9223372036854775807", "-5"})
    {
        const auto items = decode_submission(
            R"({"items":[{"id":"a","path":"/","body":"","tokens":)" +
            std::string(tokens) + "}]}");
        CHECK(items.has_value());
        const std::int64_t count = items.value().front().tokens.count();
        CHECK(count >= 0);
        CHECK(count <= 1'000'000'000'000);
    }
}

// A version that does not fit into 64 bits became a negative one.
TEST(odd_documents, a_configuration_with_a_version_out_of_range_is_refused)
{
    CHECK_FALSE(
        is_configuration(R"({"version":18446744073709551615,"routes":[]})"));
}
