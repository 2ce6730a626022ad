#pragma once

#include "daemon/gate_client.hpp"
#include "daemon/gate_module.hpp"
#include "daemon/node_context.hpp"
#include "daemon/once_module.hpp"
#include "daemon/online_call.hpp"
#include "daemon/online_services.hpp"
#include "decisions/replica_picker.hpp"
#include "decisions/retry_policy.hpp"

#include <functional>
#include <memory>
#include <set>

namespace parsleytrack
{

/// Answers online requests and plain-service calls.
class online_module
{
public:
    online_module(node_context& node, gate_module& gates, once_module& once);

    /// Begins a planned stop.
    ///
    /// \param done Called once nothing is left to finish here.
    void drain(std::function<void()> done);

private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    void add_routes();
    void begin(const exchange_pointer& exchange,
               result<online_request> request);
    void handle_gossip(const std::string& value);
    void forget_lost_replicas();
    void finish_drain();

    node_context& context;
    gate_client client;
    replica_picker picker;
    retry_policy retries;
    online_services shared;
    std::set<std::shared_ptr<online_call>> calls;
    std::map<std::int32_t, replica_id> replicas_by_hash;
    std::function<void()> drained;
};

} // namespace parsleytrack
