#pragma once

#include "relay/pool_state.hpp"
#include "relay/relay_context.hpp"
#include "relay/replica_report.hpp"
#include "relay/slot_request.hpp"
#include "relay/slot_response.hpp"
#include "slots/broker_selector.hpp"
#include "slots/slot_broker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// Runs the slot brokers of the pools for which this node receives requests,
/// from itself and from other nodes.
class slot_server
{
public:
    using response_callback = std::function<void(const slot_response&)>;

    /// \param node Outlives this object.
    explicit slot_server(const relay_context& node);

    /// Opens a slot request.
    ///
    /// \param callback Receives the responses; never called before open() has
    /// returned.
    /// \returns The request's ticket, for close().
    slots::slot_ticket open(const slot_request& request,
                            response_callback callback);

    /// Returns a granted slot, or withdraws a request that waits.
    void close(slots::slot_ticket ticket);

    /// Handles the report that a request has failed on its replica.
    void handle_report(const replica_report& report);

    /// \returns The pools for which this node has received requests.
    std::vector<pool_state> pools() const;

private:
    struct open_request
    {
        slot_request request;
        response_callback callback;
        bool failed = false;
        bool granted = false;
        replica_id replica;
    };

    slots::slot_broker& broker_of(const slot_pool& pool);
    void
    handle_peer_request(const std::shared_ptr<wire::peer_exchange>& exchange);
    void
    handle_peer_report(const std::shared_ptr<wire::peer_exchange>& exchange);
    /// Withdraws the requests and slots of dead nodes. The connections of a
    /// frozen node stay open, so they do not show that it is dead.
    void drop_requests_of_dead_nodes();
    void update_replicas();
    void update_replicas(const slot_pool& pool, slots::slot_broker& broker);
    /// Tells the broker which replicas may run another version than is listed.
    void update_doubts(slots::slot_broker& broker);
    /// \returns What this node may grant of a replica's limit; absent when the
    /// replica names none.
    std::optional<request_rate> limit_of(const slot_pool& pool,
                                         const routing::replica_entry& replica);
    void tick();
    void export_metrics() const;
    void export_pool_metrics(const pool_state& pool) const;
    void export_users(const std::string& pool, const char* kind,
                      const std::vector<sharing::workspace_use>& users) const;
    void execute_commands(slots::slot_broker& broker);

    const relay_context& context;
    std::map<slot_pool, slots::slot_broker> brokers;
    /// The broker of each pool according to this node's view of the group.
    slots::broker_selector selector{duration::zero()};
    std::map<slots::slot_ticket, open_request> requests;
    std::map<request_id, slots::slot_ticket> tickets;
    /// The calls of other nodes.
    std::map<slots::slot_ticket, std::shared_ptr<wire::peer_exchange>> calls;
    std::int64_t next_ticket = 1;
    net::timer tick_timer;
    net::timer metrics_timer;
};

} // namespace parsleytrack::relay
