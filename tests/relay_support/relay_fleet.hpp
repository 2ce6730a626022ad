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

/// Relay nodes as processes, with the store and the replicas in this process.
class relay_fleet
{
public:
    /// \param node_count How many nodes; all else as usual.
    explicit relay_fleet(int node_count);
    explicit relay_fleet(const relay_fleet_options& chosen);

    /// \param version The version.
    /// \param plain_prefix Prefix of the route of plain requests.
    /// \returns What operators write.
    static std::string configuration(int version,
                                     const std::string& plain_prefix);

    /// An answer, or status 0 when the connection ended without one.
    struct response
    {
        int status = 0;
        net::http_header_list headers;
        std::string body;
    };

    /// Sends a request and waits for its answer.
    response call(int node, const std::string& method, const std::string& path,
                  const std::string& id = "", const std::string& body = "");

    /// \returns The text of a node's metrics.
    std::string metrics_text(int node);

    /// Starts a request; the answer is put where the pointer points.
    void start_call(int node, const std::string& method,
                    const std::string& path, const std::string& id,
                    const std::string& body, std::shared_ptr<response> into);

    /// Submits a job of some items.
    response submit(int node, const std::string& job, int items);

    /// Reads results until all are there or the time is over.
    nlohmann::json results(int node, const std::string& job);

    /// Runs the loop for a time.
    void run_for(duration span);

    /// Runs the loop until a condition holds.
    ///
    /// \returns Whether it came to hold within the patience.
    bool wait(const std::function<bool()>& condition);

    /// Waits until a node takes requests.
    void wait_ready(int node);

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

    const endpoint& metrics_address(int node) const
    {
        return this->nodes.at(static_cast<std::size_t>(node)).metrics;
    }

    /// How long callers' connections may be idle, by the configuration.
    static constexpr duration idle_timeout = std::chrono::milliseconds(2000);

    net::event_loop loop;
    store_stand_in store{this->loop};
    std::vector<std::unique_ptr<replica_stand_in>> engines;
    std::unique_ptr<replica_stand_in> web;
    /// One for each node, and one for each replica, the web replica last; none
    /// unless the options ask for them.
    std::vector<std::unique_ptr<fault_proxy>> store_proxies;
    std::vector<std::unique_ptr<fault_proxy>> replica_proxies;

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

    void write_settings(std::size_t number);

    net::http_client client{this->loop};
    process_support::temporary_folder folder;
    relay_fleet_options options;
    std::vector<node> nodes;
    std::map<std::uint64_t, std::unique_ptr<net::http_call>> calls;
    std::uint64_t next_call = 1;
};

} // namespace parsleytrack::relay_support
