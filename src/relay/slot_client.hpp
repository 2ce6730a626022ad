#pragma once

#include "relay/relay_context.hpp"
#include "relay/replica_exchange.hpp"
#include "relay/replica_report.hpp"
#include "relay/slot_request.hpp"
#include "relay/slot_server.hpp"
#include "slots/broker_selector.hpp"
#include "slots/pool_selector.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace parsleytrack::relay
{

class slot_client;

/// An order for a slot, and the slot once it is granted. Destroying it gives
/// the slot back.
class slot_lease
{
public:
    slot_lease(slot_client& owner, std::uint64_t request_number)
        : client(owner), number(request_number)
    {
    }
    ~slot_lease();
    slot_lease(const slot_lease&) = delete;
    slot_lease& operator=(const slot_lease&) = delete;

private:
    slot_client& client;
    std::uint64_t number;
};

/// Gets slots for the requests of this node from the brokers of each service,
/// which are some of the living nodes. When the broker does not answer, a
/// replica is chosen from what this node knows itself.
class slot_client
{
public:
    struct callbacks
    {
        /// The slot may be used.
        std::function<void(const replica_id& replica)> on_granted;
        /// There will be none in time.
        std::function<void(duration retry_after)> on_refused;
        /// The slot is to be given back at once. Optional.
        std::function<void()> on_reclaimed;
    };

    /// \param node Outlives this object.
    /// \param local_server Serves orders for which this node is the broker.
    slot_client(const relay_context& node, slot_server& local_server);

    /// Orders a slot. No callback is called before request_slot() has returned.
    [[nodiscard]] std::unique_ptr<slot_lease>
    request_slot(const slot_request& wanted, callbacks handlers);

    /// Draws the conclusions of a request that ended without a usable answer:
    /// tells the broker, and holds the replica to leave if it said so.
    ///
    /// \param verdict What became of the request at the replica.
    void report_failure(const request_id& request, const service_name& service,
                        const replica_id& replica, attempt_outcome verdict);

    /// Called by leases only.
    void release(std::uint64_t number);

private:
    struct open_request
    {
        slot_request request;
        callbacks handlers;
        node_id broker;
        /// Set when this node is the broker.
        std::optional<slots::slot_ticket> ticket;
        std::unique_ptr<wire::peer_call> call;
        /// Ends the wait for a sign of life of the broker.
        net::timer response_timer;
        bool granted = false;
        time_point opened;
    };

    struct service_pools
    {
        /// The state of the list of replicas for which the count holds.
        std::uint64_t generation = 0;
        int count = 1;
        slots::pool_selector selector;
    };

    /// Tells the broker that a request has failed at its replica.
    void report(const replica_report& report);
    service_pools& pools_of(const service_name& service);
    const node_info& broker_of(const slot_pool& pool);
    void open(std::uint64_t number);
    void handle_response(std::uint64_t number, const slot_response& response);
    void handle_broker_loss(std::uint64_t number, const char* reason);
    void choose_replica_locally(std::uint64_t number);
    void move_requests();
    void rebalance();
    void reopen(std::uint64_t number);

    const relay_context& context;
    slot_server& server;
    std::map<std::uint64_t, open_request> requests;
    std::map<replica_id, int> in_flight;
    slots::broker_selector brokers;
    std::map<service_name, service_pools> pools;
    net::timer rebalance_timer;
    std::map<std::uint64_t, std::unique_ptr<wire::peer_call>> reports;
    std::uint64_t next_number = 1;
};

} // namespace parsleytrack::relay
