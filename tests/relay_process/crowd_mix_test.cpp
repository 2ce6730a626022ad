#include "relay_support/crowded_node.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr std::size_t mebibyte = crowd_limits::mebibyte;
constexpr std::size_t whole = crowd_limits::whole;
constexpr std::size_t caller_count = crowd_limits::caller_count;
constexpr std::size_t body_bytes =
    crowd_limits::max_body - crowd_limits::missing_bytes;

std::string complete_body(const std::string& path)
{
    return declared_head(path, body_bytes) + std::string(body_bytes, 'x');
}

/// The crowd comes from several client addresses, so that the share of one
/// address is not what bounds it.
constexpr std::size_t client_addresses = 8;

std::string short_body(const std::string& path)
{
    const std::string text = complete_body(path);
    return text.substr(0, text.size() - crowd_limits::missing_bytes);
}

} // namespace

// Guards against a node that runs out of memory because the limits for single
// kinds of callers add up, or because what it holds of complete requests is not
// bounded.
TEST_GROUP(relay_crowd_mixes){};

// Complete bodies wait in the output to replicas that do not read them.
TEST(relay_crowd_mixes, bodies_for_replicas_that_read_nothing)
{
    crowded_node node(whole, true);
    node.address_count = client_addresses;
    node.set_replicas_silent(true);
    node.add(caller_count, complete_body("/plain/a"));
    node.check([&node] { node.set_replicas_silent(false); });
}

TEST(relay_crowd_mixes, bodies_of_streams_for_replicas_that_read_nothing)
{
    crowded_node node(whole, true);
    node.address_count = client_addresses;
    node.set_replicas_silent(true);
    node.add(caller_count, complete_body("/stream/a"));
    node.check([&node] { node.set_replicas_silent(false); });
}

// Complete bodies wait for a slot.
TEST(relay_crowd_mixes, bodies_of_streams_without_a_free_slot)
{
    crowded_node node(whole);
    node.address_count = client_addresses;
    for (auto& engine : node.fleet().engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    node.add(caller_count, complete_body("/once/a"));
    node.check();
}

// Online bodies and jobs have limits of their own, which add up.
TEST(relay_crowd_mixes, bodies_and_jobs_at_once)
{
    crowded_node node(whole, true);
    node.address_count = client_addresses;
    node.set_replicas_silent(true);
    node.set_store_silent(true);
    node.add_jobs(caller_count / 2);
    node.add(caller_count / 2, complete_body("/plain/a"));
    node.check(
        [&node]
        {
            node.set_replicas_silent(false);
            node.set_store_silent(false);
        });
}

TEST(relay_crowd_mixes, complete_and_unfinished_bodies_at_once)
{
    crowded_node node(whole, true);
    node.address_count = client_addresses;
    node.set_replicas_silent(true);
    node.set_store_silent(true);
    node.add_jobs(caller_count / 4);
    node.add(caller_count / 4, complete_body("/plain/a"));
    node.add(caller_count / 4, complete_body("/stream/a"));
    node.add(caller_count / 4, short_body("/plain/a"));
    node.check(
        [&node]
        {
            node.set_replicas_silent(false);
            node.set_store_silent(false);
        });
}

// Memory that the first crowd has left must not add to that of the second.
TEST(relay_crowd_mixes, a_second_crowd_after_the_first)
{
    crowded_node node(whole);
    node.address_count = client_addresses;
    node.add(caller_count, complete_body("/plain/a"));
    node.check();
    node.disperse();
    node.add_jobs(caller_count);
    node.check();
    node.disperse();
    node.add(caller_count, short_body("/plain/a"));
    node.check();
}

// A node that has just started has no configuration, which holds the limits.
TEST(relay_crowd_mixes, bodies_before_the_first_configuration)
{
    crowded_node node(whole, true);
    node.address_count = client_addresses;
    node.fleet().process(0).kill();
    node.set_store_silent(true);
    node.fleet().start(0);
    CHECK(node.fleet().wait(
        [&node] { return node.fleet().call(0, "GET", "/x").status == 503; }));
    constexpr std::size_t bytes = 8 * mebibyte;
    const std::string body(bytes - crowd_limits::missing_bytes, 'x');
    node.add(caller_count / 2, declared_head("/plain/a", bytes) + body);
    node.add(caller_count / 2,
             crowd_head("/plain/a", "Transfer-Encoding: chunked") +
                 "800000\r\n" + body);
    node.check([&node] { node.set_store_silent(false); });
}

TEST(relay_crowd_mixes, chunk_extensions_without_end)
{
    crowded_node node(whole);
    node.address_count = client_addresses;
    node.add(caller_count,
             crowd_head("/plain/a", "Transfer-Encoding: chunked") + "1;" +
                 std::string(8 * mebibyte, 'e'));
    node.check();
}

TEST(relay_crowd_mixes, trailers_without_end)
{
    crowded_node node(whole);
    node.address_count = client_addresses;
    std::string trailers;
    while (trailers.size() < 4 * mebibyte)
    {
        trailers += "T" + std::to_string(trailers.size()) + ": value\r\n";
    }
    node.add(caller_count,
             crowd_head("/plain/a", "Transfer-Encoding: chunked") +
                 "1\r\nx\r\n0\r\n" + trailers);
    node.check();
}

TEST(relay_crowd_mixes, heads_without_end)
{
    crowded_node node(whole);
    node.address_count = client_addresses;
    std::string head = "POST /plain/a HTTP/1.1\r\nHost: h\r\n";
    while (head.size() < 4 * mebibyte)
    {
        head += "F" + std::to_string(head.size()) + ": value\r\n";
    }
    node.add(caller_count, head);
    node.check();
}

// Requests one after the other on connections whose answers nobody reads.
TEST(relay_crowd_mixes, answers_that_nobody_reads)
{
    crowded_node node(whole);
    node.address_count = client_addresses;
    std::string requests;
    while (requests.size() < 2 * mebibyte)
    {
        requests += "GET /none/a HTTP/1.1\r\nHost: h\r\n"
                    "Parsleytrack-Request-Id: crowd\r\n\r\n";
    }
    node.add(caller_count, requests);
    node.check();
}
