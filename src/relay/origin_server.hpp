#pragma once

#include "relay/origin_memory.hpp"
#include "routing/version_history.hpp"
#include "wire/peer_network.hpp"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace parsleytrack::relay
{

/// Keeps what other nodes tell a storage node of the streams that they begin,
/// and answers which version began a stream.
class origin_server
{
public:
    /// \param network Outlives this object.
    explicit origin_server(wire::peer_network& network);

    /// Ends the wait for what was in use before this process started; inquiries
    /// are answered from then on.
    ///
    /// \param versions The versions; absent if they are not known.
    void restore(std::optional<routing::service_versions> versions);

    /// \returns The versions that were in use lately.
    routing::service_versions recent_versions() const;

    /// \param listed All replicas that are listed now.
    void observe(const std::map<replica_id, routing::replica_entry>& listed);

private:
    void handle_notice(const std::shared_ptr<wire::peer_exchange>& exchange);
    void handle_inquiry(const std::shared_ptr<wire::peer_exchange>& exchange);
    void answer(wire::peer_exchange& exchange);

    routing::version_history history;
    origin_memory memory;
    /// What was in use when this process started.
    std::optional<routing::service_versions> earlier;
    bool is_restored = false;
    time_point restored_at;
    /// Inquiries that wait for restore().
    std::vector<std::shared_ptr<wire::peer_exchange>> waiting;
};

} // namespace parsleytrack::relay
