#pragma once

#include "relay/origin_memory.hpp"
#include "routing/version_history.hpp"
#include "wire/peer_network.hpp"

#include <map>
#include <memory>

namespace parsleytrack::relay
{

/// Keeps what other nodes tell a storage node of the streams that they begin,
/// and answers which version began a stream.
class origin_server
{
public:
    /// \param network Outlives this object.
    explicit origin_server(wire::peer_network& network);

    /// \param listed All replicas that are listed now.
    void observe(const std::map<replica_id, routing::replica_entry>& listed);

private:
    void handle_notice(const std::shared_ptr<wire::peer_exchange>& exchange);
    void handle_inquiry(const std::shared_ptr<wire::peer_exchange>& exchange);

    routing::version_history history;
    origin_memory memory;
};

} // namespace parsleytrack::relay
