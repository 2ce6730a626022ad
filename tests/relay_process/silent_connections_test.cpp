#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int node_count = 3;
/// The platform's bound for nodes whose connections were disturbed.
constexpr duration disturbance_bound = std::chrono::seconds(3);

/// A fleet whose nodes have several idle connections to the store.
class used_fleet
{
public:
    used_fleet()
    {
        for (int node = 0; node < node_count; ++node)
        {
            const std::string job = "job" + std::to_string(node);
            CHECK_EQUAL(202, this->fleet.submit(node, job, 4).status);
            CHECK_EQUAL(4, this->fleet.results(node, job).size());
        }
    }

    relay_fleet fleet{
        relay_fleet_options{.node_count = node_count, .has_proxies = true}};
};

} // namespace

TEST_GROUP(relay_silent_connections){};

// Guards against a node that keeps an old configuration because its watch waits
// on a connection that has gone silent, and its idle connections have, too.
TEST(relay_silent_connections, a_configuration_is_in_force_in_time)
{
    used_fleet used;
    relay_fleet& fleet = used.fleet;
    for (const auto& proxy : fleet.store_proxies)
    {
        proxy->silence_open_connections();
    }
    const time_point silent_since = net::event_loop::now();
    fleet.store.put("op/config", relay_fleet::configuration(10, "/changed/"));
    fleet.run_for(silent_since + disturbance_bound - net::event_loop::now());
    for (int node = 0; node < node_count; ++node)
    {
        const std::string id = std::to_string(node);
        CHECK_EQUAL(200,
                    fleet.call(node, "POST", "/changed/a", "a" + id).status);
        CHECK_EQUAL(404, fleet.call(node, "POST", "/plain/a", "b" + id).status);
    }
}

// The same for the list of replicas.
TEST(relay_silent_connections, a_draining_replica_is_left_in_time)
{
    used_fleet used;
    relay_fleet& fleet = used.fleet;
    for (const auto& proxy : fleet.store_proxies)
    {
        proxy->silence_open_connections();
    }
    const time_point silent_since = net::event_loop::now();
    fleet.store.put("servers/i-0", fleet.engines[0]->record("llm", "draining"));
    fleet.run_for(silent_since + disturbance_bound - net::event_loop::now());
    for (int count = 0; count < 24; ++count)
    {
        const std::string id = "id" + std::to_string(count);
        CHECK_EQUAL(
            200, fleet.call(count % node_count, "POST", "/once/a", id).status);
        CHECK_FALSE(fleet.engines[0]->runs.contains(id));
    }
}

// Guards against a watch that the store has forgotten while it rejected the
// node: the connection is alive, but no change ever arrives on it.
TEST(relay_silent_connections, a_forgotten_watch_is_renewed_after_an_outage)
{
    used_fleet used;
    relay_fleet& fleet = used.fleet;
    for (const auto& proxy : fleet.store_proxies)
    {
        proxy->set_fault(fault_proxy::fault::blocked);
    }
    fleet.run_for(std::chrono::seconds(5));
    fleet.store.forget_watches();
    for (const auto& proxy : fleet.store_proxies)
    {
        proxy->set_fault(fault_proxy::fault::none);
    }
    const time_point reachable_since = net::event_loop::now();
    fleet.store.put("op/config", relay_fleet::configuration(10, "/changed/"));
    fleet.run_for(reachable_since + disturbance_bound - net::event_loop::now());
    for (int node = 0; node < node_count; ++node)
    {
        const std::string id = std::to_string(node);
        CHECK_EQUAL(200,
                    fleet.call(node, "POST", "/changed/a", "a" + id).status);
    }
}
