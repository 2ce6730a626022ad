#include "relay_support/crowded_node.hpp"
#include "relay_support/raw_request.hpp"
#include "relay_support/scripted_replica.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr std::size_t mebibyte = crowd_limits::mebibyte;
constexpr std::size_t whole = crowd_limits::whole;
constexpr std::size_t caller_count = crowd_limits::caller_count;
constexpr std::size_t client_addresses = 8;
/// Below the largest response that a node collects.
constexpr std::size_t answer_bytes = 3 * mebibyte / 2;
const std::string large_path = "/plain/large";

std::string large_answer(const std::string& request)
{
    const bool is_large = request.find(large_path) != std::string::npos;
    const std::size_t bytes = is_large ? answer_bytes : 4;
    return "HTTP/1.1 200 OK\r\nParsleytrack-Request-Id: " +
           header_field(request, "Parsleytrack-Request-Id") +
           "\r\nParsleytrack-Response-Seal: s\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'a');
}

/// Makes a replica that gives large answers the only one for plain requests.
void use_alone(relay_fleet& fleet, const scripted_replica& replica)
{
    fleet.store.erase("servers/i-web");
    fleet.store.put("servers/i-large", replica.record("web"));
    CHECK(fleet.wait(
        [&]
        {
            return fleet.call(0, "POST", "/plain/a", "first").status == 200 &&
                   replica.started() > 0;
        }));
}

} // namespace

// Guards against a node that runs out of memory because of the answers to
// requests, or at another node, through which requests pass.
TEST_GROUP(relay_crowd_answers){};

TEST(relay_crowd_answers, large_answers_that_nobody_reads)
{
    crowded_node node(whole);
    node.address_count = client_addresses;
    const scripted_replica replica(
        node.fleet().loop,
        [](const std::string& request)
        {
            scripted_replica::script script;
            script.steps.push_back({{}, large_answer(request)});
            return script;
        });
    use_alone(node.fleet(), replica);
    node.add(caller_count, declared_head(large_path, 0));
    // Gives the answers time to arrive at the node.
    node.check([&node] { node.fleet().run_for(std::chrono::seconds(3)); });
}

TEST(relay_crowd_answers, bodies_that_pass_through_another_node)
{
    constexpr std::size_t body_bytes =
        crowd_limits::max_body - crowd_limits::missing_bytes;
    relay_fleet_options options = crowded_node::limited(false);
    options.node_count = 2;
    options.has_node_links = true;
    crowded_node node(whole, options);
    node.address_count = client_addresses;
    relay_fleet& fleet = node.fleet();
    fleet.set_replica_links(0, fault_proxy::fault::reset);
    int number = 0;
    CHECK(fleet.wait(
        [&]
        {
            fleet.call(0, "POST", "/stream/a",
                       "cut" + std::to_string(++number));
            return fleet.metrics_text(0).find("\nparsleytrack_stranded 1") !=
                   std::string::npos;
        }));
    node.add(caller_count, declared_head("/plain/a", body_bytes) +
                               std::string(body_bytes, 'x'));
    node.check();
    CHECK_FALSE(fleet.process(1).has_ended());
    CHECK(fleet.process(1).peak_memory_bytes() <
          crowd_limits::memory_mb * mebibyte);
}
