#include "relay_support/caller_crowd.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr std::size_t mebibyte = 1024 * 1024;
/// Limits of the node under test: the body limit is a quarter of the
/// deployments', so that a small crowd is enough.
constexpr int memory_mb = 64;
constexpr std::size_t max_body = mebibyte;
/// The crowd: its bodies together are larger than the node's memory.
constexpr std::size_t caller_count = 100;
constexpr std::size_t complete_count = 5;
/// What is missing of the bodies that stop short.
constexpr std::size_t missing_bytes = 100;
constexpr std::size_t whole = 64 * mebibyte;
constexpr std::size_t piece = 4096;
constexpr std::size_t over_limit = 8 * mebibyte;
/// A tiny chunk per byte: "1", the byte, and two line ends.
constexpr std::size_t small_chunk_count = 20'000;
/// Descriptors of a node without callers are below 60.
constexpr std::size_t max_descriptors = 60 + 2 * caller_count;

std::string head(const std::string& path, const std::string& framing,
                 const std::string& id = "crowd")
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: h\r\nParsleytrack-Deadline-Ms: 5000\r\n"
           "Parsleytrack-Request-Id: " +
           id + "\r\n" + framing + "\r\n\r\n";
}

std::string declared(const std::string& path, std::size_t bytes,
                     const std::string& id = "crowd")
{
    return head(path, "Content-Length: " + std::to_string(bytes), id);
}

/// \returns A job of one item whose document has almost a size.
std::string submission(std::size_t bytes)
{
    const std::string start = R"({"items":[{"id":"i","path":"/batch/x",)"
                              R"("headers":{},"tokens":1,"body":")";
    const std::string end = "\"}]}";
    constexpr std::size_t base64_group = 4;
    const std::size_t room = bytes - start.size() - end.size();
    return start + std::string(room / base64_group * base64_group, 'A') + end;
}

/// \returns A request in chunks, without the last one.
std::string chunks(const std::string& path, std::size_t chunk_bytes,
                   std::size_t count)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
    std::string text = head(path, "Transfer-Encoding: chunked");
    const std::string chunk =
        size.data() + std::string(chunk_bytes, 'x') + "\r\n";
    for (std::size_t number = 0; number < count; ++number)
    {
        text += chunk;
    }
    return text;
}

/// A node, a crowd that sends to it, and what must hold afterwards.
class crowded_node
{
public:
    explicit crowded_node(std::size_t piece_bytes, bool has_proxies = false)
        : fleet(
              relay_fleet_options{.has_proxies = has_proxies,
                                  .memory_mb = memory_mb,
                                  .max_body_bytes = static_cast<int>(max_body),
                                  .idle_timeout_ms = 30'000}),
          crowd(this->fleet.loop, this->fleet.front_address(0), piece_bytes)
    {
    }

    /// Makes the store read nothing and answer nothing.
    void silence_store()
    {
        for (const auto& proxy : this->fleet.store_proxies)
        {
            proxy->set_fault(fault_proxy::fault::blocked);
        }
    }

    void add(std::size_t count, std::string text)
    {
        this->crowd.add(count,
                        std::make_shared<const std::string>(std::move(text)));
    }

    /// Sends everything, and checks that the node survives it within its
    /// limits and answers another caller while the crowd stays.
    void check()
    {
        this->crowd.send_all();
        process_support::child_process& node = this->fleet.process(0);
        const bool answered = this->fleet.wait(
            [this]
            {
                return this->fleet.call(0, "POST", "/plain/a", "after", "body")
                           .status == 200;
            });
        std::printf("[crowd] peak %zu KiB, descriptors %zu, answered %d\n",
                    node.peak_memory_bytes() / 1024, node.open_descriptors(),
                    answered ? 1 : 0);
        CHECK_FALSE(node.has_ended());
        CHECK(node.peak_memory_bytes() < memory_mb * mebibyte);
        CHECK(node.open_descriptors() < max_descriptors);
        CHECK(answered);
    }

private:
    relay_fleet fleet;
    caller_crowd crowd;
};

void check_short_bodies(const std::string& path, std::size_t piece_bytes)
{
    crowded_node node(piece_bytes);
    const std::size_t bytes = max_body - missing_bytes;
    const std::string text = declared(path, bytes) + std::string(bytes, 'x');
    node.add(caller_count - complete_count,
             text.substr(0, text.size() - missing_bytes));
    node.add(complete_count, text);
    node.check();
}

void add_jobs(crowded_node& node)
{
    const std::string job = submission(max_body - missing_bytes);
    for (std::size_t number = 0; number < caller_count; ++number)
    {
        node.add(1, declared("/batch/a", job.size(),
                             "job" + std::to_string(number)) +
                        job);
    }
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
    node.add(caller_count, declared("/plain/a", 900 * mebibyte) +
                               std::string(max_body - missing_bytes, 'x'));
    node.check();
}

TEST(relay_caller_crowd, bodies_sent_over_the_limit)
{
    crowded_node node(whole);
    node.add(caller_count, declared("/plain/a", over_limit) +
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
             declared("/plain/a", bytes) + std::string(bytes, 'x'));
    node.check();
}

TEST(relay_caller_crowd, complete_jobs_at_once)
{
    crowded_node node(whole);
    add_jobs(node);
    node.check();
}

// The same while the store answers nothing, so that all jobs wait for it.
TEST(relay_caller_crowd, complete_jobs_with_a_silent_store)
{
    crowded_node node(whole, true);
    node.silence_store();
    add_jobs(node);
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
    node.add(8, declared("/batch/a", job.size()) + job);
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
    const std::string body = submission(4 * mebibyte - missing_bytes);
    CHECK_EQUAL(202,
                fleet.call(0, "POST", "/batch/jobs", "large-job", body).status);
    CHECK(fleet.process(0).peak_memory_bytes() < 88 * mebibyte);
}
