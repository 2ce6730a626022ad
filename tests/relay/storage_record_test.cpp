#include "relay/storage_record.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(storage_record){};

TEST(storage_record, decoding_returns_the_encoded_record)
{
    storage_record record;
    record.address = endpoint{"10.0.0.1", 7000};
    record.versions[service_name("llm")] = {software_version("v1"),
                                            software_version("v2")};
    CHECK(decode_storage_record(encode(record)).value() == record);
}

TEST(storage_record, damaged_records_are_rejected)
{
    CHECK(decode_storage_record("").has_error());
    CHECK(decode_storage_record("10.0.0.1:7000").has_error());
    CHECK(decode_storage_record(encode(storage_record())).has_error());
}
