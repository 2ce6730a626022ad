#pragma once

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "process_support/child_process.hpp"
#include "process_support/temporary_folder.hpp"
#include "relay_support/fault_proxy.hpp"
#include "relay_support/relay_fleet_options.hpp"
#include "relay_support/replica_stand_in.hpp"
#include "relay_support/store_stand_in.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::relay_support
{

/// Runs relay nodes as processes; the stand-ins for the store and the replicas
/// run in this process.
class relay_fleet
{
public:
    /// \param node_count Number of nodes; other options have their defaults.
    explicit relay_fleet(int node_count);
    explicit relay_fleet(const relay_fleet_options& chosen);

    /// \param version Version number of the configuration.
    /// \param plain_prefix Path prefix of the route for plain requests.
    /// \returns A configuration document as operators write it, as JSON.
    static std::string configuration(int version,
                                     const std::string& plain_prefix);

    /// A response. The status is -1 while the call is pending, and 0 when the
    /// connection ended without a response.
    struct response
    {
        int status = 0;
        net::http_header_list headers;
        std::string body;
    };

    /// Sends a request and waits for its response.
    ///
    /// \param node Index of the node; -1 for the directory of the first node.
    response call(int node, const std::string& method, const std::string& path,
                  const std::string& id = "", const std::string& body = "");

    /// \returns The body of a node's metrics page.
    std::string metrics_text(int node);

    /// \returns A node's status document.
    nlohmann::json status(int node);

    /// Sends a request without waiting; the response is written to \p into.
    void start_call(int node, const std::string& method,
                    const std::string& path, const std::string& id,
                    const std::string& body, std::shared_ptr<response> into);

    /// Prompt parts of the requests sent from now on, as callers list them.
    std::string prompt_parts;

    /// Header fields of the requests sent from now on, in addition.
    net::http_header_list caller_headers;

    /// Header fields of the items submitted from now on, in addition.
    net::http_header_list item_headers;

    /// Submits a job with a number of items.
    response submit(int node, const std::string& job, int items);

    /// Reads the results page by page until all have arrived or the wait times
    /// out.
    nlohmann::json results(int node, const std::string& job);

    void run_for(duration span);

    /// Runs the loop until a condition holds.
    ///
    /// \returns Whether it held before the timeout.
    bool wait(const std::function<bool()>& condition);

    /// Waits until a node reports that it is ready; throws when it times out.
    void wait_ready(int node);

    /// Starts a node; the storage nodes follow the others.
    void start(int node);
    process_support::child_process& process(int node)
    {
        return *this->nodes.at(static_cast<std::size_t>(node)).process;
    }
    const endpoint& store_address(int node) const
    {
        return this->nodes.at(static_cast<std::size_t>(node)).store;
    }

    const endpoint& front_address(int node) const
    {
        return this->nodes.at(static_cast<std::size_t>(node)).front;
    }

    const endpoint& ready_address(int node) const
    {
        return this->nodes.at(static_cast<std::size_t>(node)).ready;
    }

    const endpoint& peer_address(int node) const
    {
        return this->nodes.at(static_cast<std::size_t>(node)).peer;
    }

    const endpoint& metrics_address(int node) const
    {
        return this->nodes.at(static_cast<std::size_t>(node)).metrics;
    }

    /// Idle timeout of callers' connections, as in the configuration.
    static constexpr duration idle_timeout = std::chrono::milliseconds(2000);

    /// Longest time of a wait and of a call.
    static constexpr duration wait_timeout = std::chrono::seconds(20);

    net::event_loop loop;
    store_stand_in store{this->loop};
    std::vector<std::unique_ptr<replica_stand_in>> engines;
    std::unique_ptr<replica_stand_in> web;
    /// One proxy per node and one per replica, that of the web replica last;
    /// empty unless relay_fleet_options::has_proxies is set.
    std::vector<std::unique_ptr<fault_proxy>> store_proxies;
    std::vector<std::unique_ptr<fault_proxy>> replica_proxies;

    /// Cuts a node off from all replicas, or ends that. All others still reach
    /// it.
    void set_replica_links(int node, fault_proxy::fault fault);

private:
    struct node
    {
        endpoint front;
        endpoint ready;
        endpoint directory;
        endpoint peer;
        endpoint metrics;
        endpoint store;
        std::string settings;
        std::unique_ptr<process_support::child_process> process;
    };

    void add_node_links();
    void write_settings(std::size_t number);
    std::string operator_page(int node, const std::string& target);

    net::http_client client{this->loop};
    /// One proxy per replica for each node, if has_node_links is set.
    std::vector<std::vector<std::unique_ptr<fault_proxy>>> node_links;
    process_support::temporary_folder folder;
    relay_fleet_options options;
    std::vector<node> nodes;
    std::map<std::uint64_t, std::unique_ptr<net::http_call>> calls;
    std::uint64_t next_call = 1;
};

} // namespace parsleytrack::relay_support
