#include "relay_support/crowded_node.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr std::size_t mebibyte = crowd_limits::mebibyte;
constexpr std::size_t max_body = crowd_limits::max_body;
constexpr std::size_t caller_count = crowd_limits::caller_count;
constexpr std::size_t missing_bytes = crowd_limits::missing_bytes;
constexpr std::size_t whole = crowd_limits::whole;
constexpr std::size_t complete_count = 5;
constexpr std::size_t piece = 4096;
constexpr std::size_t over_limit = 8 * mebibyte;
/// A tiny chunk per byte: "1", the byte, and two line ends.
constexpr std::size_t small_chunk_count = 20'000;

/// \returns A request in chunks, without the last one.
std::string chunks(const std::string& path, std::size_t chunk_bytes,
                   std::size_t count)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
    std::string text = crowd_head(path, "Transfer-Encoding: chunked");
    const std::string chunk =
        size.data() + std::string(chunk_bytes, 'x') + "\r\n";
    for (std::size_t number = 0; number < count; ++number)
    {
        text += chunk;
    }
    return text;
}

void check_short_bodies(const std::string& path, std::size_t piece_bytes)
{
    crowded_node node(piece_bytes);
    const std::size_t bytes = max_body - missing_bytes;
    const std::string text =
        declared_head(path, bytes) + std::string(bytes, 'x');
    node.add(caller_count - complete_count,
             text.substr(0, text.size() - missing_bytes));
    node.add(complete_count, text);
    node.check();
}

void check_large_chunks(const std::string& path)
{
    constexpr std::size_t chunk_bytes = 64 * 1024;
    constexpr std::size_t chunk_count = max_body / chunk_bytes - 1;
    crowded_node node(whole);
    const std::string text = chunks(path, chunk_bytes, chunk_count);
    node.add(caller_count - complete_count, text);
    node.add(complete_count, text + "0\r\n\r\n");
    node.check();
}

} // namespace

// Guards against a node that runs out of memory because callers that it does
// not control send more than it can buffer: bodies that are allowed each but
// never end, and bodies that are too large. No test depends on the share of
// callers that get a response.
TEST_GROUP(relay_caller_crowd){};

TEST(relay_caller_crowd, whole_bodies_that_stop_short)
{
    check_short_bodies("/plain/a", whole);
}

TEST(relay_caller_crowd, bodies_in_pieces_that_stop_short)
{
    check_short_bodies("/plain/a", piece);
}

TEST(relay_caller_crowd, large_chunks_that_stop_short)
{
    check_large_chunks("/plain/a");
}

TEST(relay_caller_crowd, small_chunks_that_stop_short)
{
    crowded_node node(whole);
    node.add(caller_count, chunks("/plain/a", 1, small_chunk_count));
    node.check();
}

TEST(relay_caller_crowd, bodies_declared_over_the_limit)
{
    crowded_node node(whole);
    node.add(caller_count, declared_head("/plain/a", 900 * mebibyte) +
                               std::string(max_body - missing_bytes, 'x'));
    node.check();
}

TEST(relay_caller_crowd, bodies_sent_over_the_limit)
{
    crowded_node node(whole);
    node.add(caller_count, declared_head("/plain/a", over_limit) +
                               std::string(over_limit - missing_bytes, 'x'));
    node.check();
}

TEST(relay_caller_crowd, chunks_sent_over_the_limit)
{
    crowded_node node(whole);
    constexpr std::size_t chunk_bytes = 64 * 1024;
    node.add(caller_count,
             chunks("/plain/a", chunk_bytes, over_limit / chunk_bytes));
    node.check();
}

TEST(relay_caller_crowd, batch_bodies_that_stop_short)
{
    check_short_bodies("/batch/a", whole);
}

TEST(relay_caller_crowd, batch_chunks_that_stop_short)
{
    check_large_chunks("/batch/a");
}

// Guards against the copies of complete bodies, which are made on the way to a
// replica and to the store, and of which the budget counts only one.
TEST(relay_caller_crowd, complete_bodies_at_once)
{
    crowded_node node(whole);
    const std::size_t bytes = max_body - missing_bytes;
    node.add(caller_count,
             declared_head("/plain/a", bytes) + std::string(bytes, 'x'));
    node.check();
}

TEST(relay_caller_crowd, complete_jobs_at_once)
{
    crowded_node node(whole);
    node.add_jobs(caller_count);
    node.check();
}

// The same while the store answers nothing, so that all jobs wait for it.
TEST(relay_caller_crowd, complete_jobs_with_a_silent_store)
{
    crowded_node node(whole, true);
    node.set_store_silent(true);
    node.add_jobs(caller_count);
    node.check();
}

// Guards against a document whose values take far more memory than their text.
TEST(relay_caller_crowd, jobs_of_many_tiny_values)
{
    crowded_node node(whole);
    std::string job = R"({"items":[)";
    while (job.size() < max_body - missing_bytes)
    {
        job += "{},";
    }
    job += "{}]}";
    node.add(8, declared_head("/batch/a", job.size()) + job);
    node.check();
}

// Guards against a limit that a single caller within the configured ones meets:
// the smallest instance of the deployments has 88 MB, their body limit is 4
// MiB.
TEST(relay_caller_crowd, a_body_of_almost_the_limit_is_served)
{
    relay_fleet fleet(
        relay_fleet_options{.memory_mb = 88, .max_body_bytes = 4 * mebibyte});
    const std::string body(4 * mebibyte - missing_bytes, 'x');
    CHECK_EQUAL(200, fleet.call(0, "POST", "/plain/a", "large", body).status);
    CHECK(fleet.process(0).peak_memory_bytes() < 88 * mebibyte);
}

TEST(relay_caller_crowd, a_job_of_almost_the_limit_is_accepted)
{
    relay_fleet fleet(
        relay_fleet_options{.memory_mb = 88, .max_body_bytes = 4 * mebibyte});
    const std::string body = large_submission(4 * mebibyte - missing_bytes);
    CHECK_EQUAL(202,
                fleet.call(0, "POST", "/batch/jobs", "large-job", body).status);
    CHECK(fleet.process(0).peak_memory_bytes() < 88 * mebibyte);
}
