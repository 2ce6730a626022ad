#pragma once

#include "daemon/node_context.hpp"
#include "decisions/address_candidate.hpp"
#include "decisions/address_picker.hpp"
#include "net/http_server.hpp"
#include "net/timer.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace parsleytrack
{

/// Tells callers which nodes to connect to.
class address_module
{
public:
    /// \param node Outlives this object.
    /// \param http_server Tells this node's load; outlives this object.
    address_module(node_context& node, const net::http_server& http_server);

    /// Begins a planned stop.
    ///
    /// \param done Called once nothing is left to finish here.
    void drain(std::function<void()> done);

private:
    void answer(const std::shared_ptr<net::http_exchange>& exchange);
    bool knows_service(const std::string& name) const;
    std::vector<address_candidate> candidates() const;
    void publish_load();
    void refuse(const std::shared_ptr<net::http_exchange>& exchange,
                const error& reason);

    node_context& context;
    const net::http_server& server;
    address_picker picker;
    int published_load = 0;
    net::timer load_timer;
};

} // namespace parsleytrack
