#include "relay_support/crowded_node.hpp"

#include <CppUTest/TestHarness.h>
#include <sys/resource.h>

#include <cstddef>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr std::size_t mebibyte = crowd_limits::mebibyte;
constexpr std::size_t whole = crowd_limits::whole;
constexpr std::size_t caller_count = crowd_limits::caller_count;

/// \returns The start of a message between nodes: the length of a frame of 16
/// MiB, and a part of it.
std::string unfinished_frame(std::size_t bytes)
{
    const std::string length("\x01\x00\x00\x00", 4);
    return length + std::string(bytes, '\0');
}

/// Lowers the number of descriptors that processes started meanwhile may open.
class descriptor_limit
{
public:
    explicit descriptor_limit(rlim_t count)
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        const rlimit lowered{count, this->before.rlim_max};
        CHECK_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &lowered));
    }
    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &this->before); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit before{};
};

constexpr rlim_t few_descriptors = 256;
/// Connections of the tests in which descriptors count.
constexpr std::size_t connection_count = 300;

void restart_with_few_descriptors(relay_fleet& fleet)
{
    fleet.process(0).kill();
    {
        const descriptor_limit lowered(few_descriptors);
        fleet.start(0);
    }
    fleet.wait_ready(0);
}

relay_fleet_options with_storage_node()
{
    relay_fleet_options options = crowded_node::limited(false);
    options.storage_count = 1;
    return options;
}

} // namespace

// Guards against a node that runs out of memory or descriptors because of bytes
// sent to an address that is not meant for callers' requests.
TEST_GROUP(relay_crowd_ports){};

TEST(relay_crowd_ports, unfinished_frames_at_the_address_for_nodes)
{
    crowded_node node(whole);
    node.aim_at(node.fleet().peer_address(0));
    node.add(caller_count, unfinished_frame(4 * mebibyte));
    node.check();
}

TEST(relay_crowd_ports, unfinished_frames_at_a_storage_node)
{
    crowded_node node(whole, with_storage_node());
    node.aim_at(node.fleet().peer_address(1), 1);
    node.add(caller_count, unfinished_frame(4 * mebibyte));
    node.check();
}

TEST(relay_crowd_ports, bodies_at_the_address_for_readiness)
{
    crowded_node node(whole);
    node.aim_at(node.fleet().ready_address(0));
    node.add(caller_count,
             declared_head("/", 8 * mebibyte) + std::string(mebibyte, 'x'));
    node.add(caller_count, crowd_head("/", "Transfer-Encoding: chunked") +
                               "800000\r\n" + std::string(mebibyte, 'x'));
    node.check();
}

TEST(relay_crowd_ports, metrics_that_nobody_reads)
{
    crowded_node node(whole);
    node.aim_at(node.fleet().metrics_address(0));
    std::string requests;
    for (int count = 0; count < 1000; ++count)
    {
        requests += "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
                    "GET /status HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    node.add(caller_count, requests);
    node.check();
}

// Connections that say nothing, and ones whose heads are not complete.
TEST(relay_crowd_ports, more_connections_than_descriptors)
{
    crowded_node node(whole);
    restart_with_few_descriptors(node.fleet());
    node.add(connection_count / 2, "P");
    node.add(connection_count / 2, "POST /plain/a HTTP/1.1\r\nHost: h\r\n");
    node.check();
    CHECK(node.fleet().process(0).open_descriptors() < few_descriptors);
}

TEST(relay_crowd_ports, more_connections_than_descriptors_of_nodes)
{
    crowded_node node(whole);
    restart_with_few_descriptors(node.fleet());
    node.aim_at(node.fleet().peer_address(0));
    node.add(connection_count, std::string("\x01", 1));
    node.check();
    CHECK(node.fleet().process(0).open_descriptors() < few_descriptors);
}
