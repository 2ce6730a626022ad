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

// The library throws at a key that is not UTF-8, which ends the process.
TEST(odd_documents, a_transaction_with_a_key_that_is_no_text_can_be_encoded)
{
    key_value::record_transaction transaction;
    transaction.puts = {{"key\xff", "value"}};
    CHECK_FALSE(kv_adapter().commit_request(transaction).body.empty());
}
