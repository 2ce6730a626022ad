#include "relay/origin_memory.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(origin_memory)
{
    static constexpr std::size_t max_streams = 3;
    origin_memory memory{max_streams};
    time_point now{std::chrono::seconds(100)};

    void record(const std::string& request, const std::string& version,
                duration keep = std::chrono::seconds(5))
    {
        this->memory.record({request_id(request),
                             {service_name("llm"), software_version(version)},
                             this->now + keep},
                            this->now);
    }

    /// \returns The version that began the stream; empty if it is not known.
    std::string version_of(const std::string& request) const
    {
        const auto known = this->memory.find(request_id(request), this->now);
        return known ? known->version.str() : "";
    }
};

// Guards against a stream that goes on where an attempt before its first event
// was sent.
TEST(origin_memory, the_last_replica_before_the_first_event_counts)
{
    this->record("a", "v1");
    this->record("a", "v2");
    STRCMP_EQUAL("v2", this->version_of("a").c_str());
    CHECK_EQUAL(1, this->memory.size());
}

TEST(origin_memory, entries_end_with_their_time)
{
    this->record("a", "v1");
    this->now += std::chrono::seconds(6);
    STRCMP_EQUAL("", this->version_of("a").c_str());
    this->record("b", "v1");
    CHECK_EQUAL(1, this->memory.size());
}

// Guards against forgetting a stream that was taken up, whose entry has been
// replaced by one that holds longer.
TEST(origin_memory, a_replaced_entry_holds_as_long_as_the_new_one)
{
    this->record("a", "v1", std::chrono::seconds(2));
    this->record("a", "v1", std::chrono::seconds(8));
    this->now += std::chrono::seconds(3);
    this->record("b", "v1");
    STRCMP_EQUAL("v1", this->version_of("a").c_str());
}

TEST(origin_memory, the_oldest_entries_are_forgotten_first)
{
    for (const char* request : {"a", "b", "c", "d"})
    {
        this->record(request, "v1");
    }
    STRCMP_EQUAL("", this->version_of("a").c_str());
    STRCMP_EQUAL("v1", this->version_of("d").c_str());
    CHECK_EQUAL(max_streams, this->memory.size());
}
