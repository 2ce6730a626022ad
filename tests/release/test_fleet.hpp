#pragma once

#include "daemon/directory_module.hpp"
#include "daemon/node_context.hpp"
#include "daemon/order_module.hpp"
#include "daemon/release_module.hpp"
#include "fake_store/fake_store_server.hpp"
#include "net/http_server.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack
{

/// One node of a test: all that modules share, on a loop that several nodes
/// use.
struct test_node
{
    test_node(net::event_loop& event_loop, const std::string& name,
              const endpoint& store_address, std::uint64_t seed);

    settings::node_settings settings;
    net::event_loop& loop;
    net::http_client http;
    net::http_server server;
    wire::peer_network peers;
    store_client store;
    metrics::registry metrics;
    http_router router;
    fleet_view fleet;
    gossip_board board;
    catalogue_view catalogue;
    random_source random;
    node_context context;
    std::unique_ptr<release_module> releases;
    std::unique_ptr<directory_module> directory;
    std::unique_ptr<order_module> orders;

    node_info info() const;
};

/// Nodes that know each other and gossip at once, before one store.
class test_fleet
{
public:
    /// \param node_count Nodes to begin with.
    /// \param checks_fencing What the settings say of the engines.
    explicit test_fleet(int node_count, bool checks_fencing = true);

    /// Adds a node that the others know at once.
    test_node& add_node();

    /// Calls run() until a condition holds.
    ///
    /// \returns Whether it came to hold.
    bool run_until(duration limit, const std::function<bool()>& condition);

    /// \returns Status and body of a call to a node's HTTP interface; status 0
    /// when there was no answer.
    net::http_response call(test_node& node, const std::string& method,
                            const std::string& target,
                            const std::string& body = std::string());

    net::event_loop loop;
    key_value::fake_store_server store{this->loop};
    std::vector<std::unique_ptr<test_node>> nodes;
    net::http_client client{this->loop};

    /// Tells all nodes of all nodes, without those that are named.
    void introduce(const std::vector<std::size_t>& dead = {});

private:
    bool engines_check;
};

} // namespace parsleytrack
