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

/// A slot request, and the slot once it is granted. The destructor withdraws
/// the request or returns the slot.
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

/// Obtains slots for the requests of this node from the brokers of each
/// service, which run on some of the live nodes. When a broker does not
/// respond, a replica is chosen from this node's own data.
class slot_client
{
public:
    struct callbacks
    {
        /// The slot may be used.
        std::function<void(const replica_id& replica)> on_granted;
        /// No slot is expected to be free in time.
        std::function<void(duration retry_after)> on_refused;
        /// The slot must be returned at once. Optional.
        std::function<void()> on_reclaimed;
    };

    /// \param node Outlives this object.
    /// \param local_server Serves requests for which this node is the broker.
    slot_client(const relay_context& node, slot_server& local_server);

    /// Requests a slot. No callback is called before request_slot() returns.
    [[nodiscard]] std::unique_ptr<slot_lease>
    request_slot(const slot_request& wanted, callbacks handlers);

    /// Handles a request that ended without a usable response: reports it to
    /// the broker, and marks the replica as leaving if it was the wrong one.
    /// Does nothing for attempt_outcome::not_run and expired.
    ///
    /// \param outcome The outcome of the request at the replica.
    /// \param lost Whether its connection has ended or did not open.
    void report_failure(const request_id& request, const service_name& service,
                        const routing::replica_entry& replica,
                        attempt_outcome outcome, bool lost);

    /// Handles a replica's announcement that it is leaving: marks it here and
    /// tells the broker, which stops granting its slots to all nodes.
    void report_leaving(const service_name& service,
                        const routing::replica_entry& replica);

    /// Handles what a response of a replica says of its limit: keeps it and
    /// tells the broker what is new.
    void report_limit(const service_name& service,
                      const routing::replica_entry& replica,
                      const routing::limit_observation& observation);

    /// Withdraws a request or returns its slot; called by leases only.
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
        /// Ends the wait for the first response of the broker.
        net::timer response_timer;
        bool granted = false;
        /// Whether a grant was returned because the broker did not know of the
        /// replica's limit.
        bool was_returned = false;
        time_point opened;
    };

    struct service_pools
    {
        /// Generation of the replica registry for which the count is valid.
        std::uint64_t generation = 0;
        int count = 1;
        slots::pool_selector selector;
    };

    /// Notifies the broker that a request has failed on its replica, and the
    /// node that is the next broker of a process that may have ended.
    void report(const replica_report& report);
    void send_report(const node_info& receiver, const replica_report& report);
    service_pools& pools_of(const service_name& service);
    /// \returns The pool in which a new request waits.
    int choose_pool(const slot_request& wanted);
    const node_info& broker_of(const slot_pool& pool);
    void open(std::uint64_t number);
    void handle_response(std::uint64_t number, const slot_response& response);
    /// \returns The limit that the granted replica has named to this node and
    /// that the broker has not regarded.
    std::optional<replica_limit>
    disregarded_limit(const slot_response& grant) const;
    /// Returns a grant that disregards a limit, and asks again.
    void return_grant(std::uint64_t number, const slot_response& grant,
                      const replica_limit& limit);
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
