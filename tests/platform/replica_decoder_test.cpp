#include "platform/replica_decoder.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace parsleytrack;
using namespace parsleytrack::platform;

namespace
{

const std::string good =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","coldLeftMs":0,"seq":4,"born":1700000000123})";

} // namespace

TEST_GROUP(replica_decoder){static bool is_valid(const std::string& text){
    return decode_replica(replica_id("i"), text).has_value();
}

/// \returns The good entry with `from` replaced.
static std::string with(const std::string& from, const std::string& to)
{
    std::string text = good;
    return text.replace(text.find(from), from.size(), to);
}
}
;

TEST(replica_decoder, decodes_an_entry)
{
    const auto read = decode_replica(replica_id("i"), good);
    CHECK(read.has_value());
    STRCMP_EQUAL("10.128.0.9:8080", to_string(read.value().address).c_str());
    CHECK_EQUAL(8, read.value().slots);
    CHECK_FALSE(read.value().draining);
    CHECK(read.value().started_at_ms == 1'700'000'000'123);
    STRCMP_EQUAL("v1", read.value().version.str().c_str());
    CHECK(decode_replica(replica_id("i"), with("ready", "draining"))
              .value()
              .draining);
}

TEST(replica_decoder, rejects_invalid_entries)
{
    CHECK_FALSE(is_valid(""));
    CHECK_FALSE(is_valid("\xff\xfe"));
    CHECK_FALSE(is_valid("null"));
    CHECK_FALSE(is_valid("[]"));
    CHECK_FALSE(is_valid(with("\"ready\"", "\"resting\"")));
    CHECK_FALSE(is_valid(with("\"ready\"", "3")));
    CHECK_FALSE(is_valid(with("8,", "\"8\",")));
    CHECK_FALSE(is_valid(with("8,", "0,")));
    CHECK_FALSE(is_valid(with("8,", "8.5,")));
    CHECK_FALSE(is_valid(with("10.128.0.9:8080", "host:8080")));
    CHECK_FALSE(is_valid(with("\"service\":\"s\"", "\"other\":1")));
    CHECK_FALSE(decode_replica(replica_id(), good).has_value());
}

TEST(replica_decoder, survives_random_bytes)
{
    std::mt19937 random(11);
    for (int round = 0; round < 20'000; ++round)
    {
        std::string text = good;
        for (unsigned count = random() % 4 + 1; count > 0; --count)
        {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        text.resize(text.size() - random() % 3);
        (void)decode_replica(replica_id("i"), text);
    }
}
