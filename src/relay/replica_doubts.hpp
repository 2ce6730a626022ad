#pragma once

#include "net/http_client.hpp"
#include "relay/replica_follower.hpp"
#include "routing/lost_processes.hpp"
#include "routing/replica_entry.hpp"
#include "units/time.hpp"

#include <optional>
#include <set>
#include <vector>

namespace parsleytrack::relay
{

/// Knows which listed replicas may have been started again, with another
/// software version: a stream must not go on there until the list shows it.
class replica_doubts
{
public:
    /// How long after a connection was opened the list of replicas names the
    /// process at its other end, where the store and this node work as usual: a
    /// silent replica is removed after 1.2 s, and changes take half a second to
    /// arrive.
    static constexpr duration confirmation_delay = std::chrono::seconds(2);

    /// \param client Sends requests to replicas; outlives this object, as does
    /// \p replica_list.
    replica_doubts(const net::http_client& client,
                   const replica_follower& replica_list)
        : http(client), replicas(replica_list)
    {
    }

    /// Handles the end of a connection to a replica, or one that did not open,
    /// here or at another node.
    void handle_lost(const replica_process_id& process);

    /// \returns Whether the replica may be another process than is listed.
    bool may_be_replaced(const routing::replica_entry& replica) const;

    /// \returns Whether any replica may be.
    bool has_any() const;

    /// \returns Those of the replicas that are usable and may be.
    std::set<replica_id>
    doubtful(const std::vector<replica_id>& listed_ids) const;

    /// \returns The listed replicas of a service that may be.
    std::set<replica_id> doubtful(const service_name& service) const;

    /// \param sent_at When a request was sent that gets its response now.
    /// \returns The process that responds, if the list has named the one before
    /// when the request was sent: the connection would have ended with that.
    /// Otherwise nullptr.
    const routing::replica_entry*
    replacement_of(const routing::replica_entry& used,
                   time_point sent_at) const;

private:
    /// \returns When a process was lost that may have been replaced since.
    std::optional<time_point> lost_at(const replica_process_id& process) const;

    const net::http_client& http;
    const replica_follower& replicas;
    routing::lost_processes lost;
};

} // namespace parsleytrack::relay
