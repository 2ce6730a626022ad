#pragma once

#include "metrics/registry.hpp"
#include "net/event_loop.hpp"
#include "peering/peer_group.hpp"
#include "relay/storage_directory.hpp"
#include "relay/trait_knowledge.hpp"
#include "routing/crash_history.hpp"
#include "routing/trait_quarantine.hpp"
#include "units/ids.hpp"
#include "wire/peer_network.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

/// Holds back requests with a trait under which each replica crashes before the
/// end of its response. Nodes that lose replicas compare the requests, and all
/// nodes block the trait that explains the losses.
class crash_guard
{
public:
    /// Output events after which a crash counts as one after output. Only the
    /// end of a response shows that its replica has survived the request.
    static constexpr int output_events = 2;

    /// \param event_loop Outlives this object, as do the other references.
    crash_guard(net::event_loop& event_loop, wire::peer_network& network,
                peering::peer_group& nodes, storage_directory& storage_nodes,
                metrics::registry& counters);

    /// To be asked before a slot is requested, and again before the request is
    /// sent.
    ///
    /// \param traits The traits of the request, the more specific ones last.
    /// \returns Absent when the request may be sent; otherwise the time until
    /// the block is tried.
    std::optional<duration> rejection(const request_id& request,
                                      const std::vector<request_trait>& traits);

    /// Records that a replica has survived a request: its response is complete.
    void handle_survival(const std::vector<request_trait>& traits);

    /// Handles the loss of a replica's connection before the end of a response.
    ///
    /// \param request The request that was running on the replica.
    /// \param traits The traits of the request, the more specific ones last.
    /// \param replica_process The process that is lost.
    /// \param events Number of events of the response that had arrived.
    void handle_lost_replica(const request_id& request,
                             const std::vector<request_trait>& traits,
                             const replica_process_id& replica_process,
                             int events);

    /// Handles the same loss under an item of a job. It is no evidence, unless
    /// the item was the one that was tried.
    void handle_lost_item(const request_id& request);

    /// \returns All verdicts, including those on traits no longer blocked.
    std::vector<routing::trait_verdict> verdicts() const
    {
        return this->quarantine.all();
    }

private:
    /// The one request that may be sent although its trait is blocked.
    struct trial
    {
        request_id request;
        request_trait trait;
        time_point started;
    };

    /// Extends the block if the request was the one that was tried.
    ///
    /// \returns Whether it was.
    bool fail_trial(const request_id& request);
    void start_inquiry();
    void handle_reply(const result<std::string>& reply);
    void end_inquiry();
    void handle_inquiry(const std::shared_ptr<wire::peer_exchange>& exchange);
    void handle_verdicts(const std::shared_ptr<wire::peer_exchange>& exchange);
    void apply(const std::vector<routing::trait_verdict>& received);
    /// \returns The nodes that collect the reports about the traits; the
    /// storage nodes always do.
    std::set<endpoint>
    collecting_nodes(const std::vector<request_trait>& traits) const;
    void notify_all(const routing::trait_verdict& verdict);
    void notify(const endpoint& node, const std::string& message, int attempts);
    void greet_new_nodes();
    /// Learns the verdicts that a storage node remembers, and tells it those
    /// that it may have missed.
    void exchange_verdicts(const endpoint& storage_node);
    std::vector<std::string> live_names() const;
    void log_verdict(const routing::trait_verdict& verdict,
                     const char* learned_from) const;

    net::event_loop& loop;
    wire::peer_network& peers;
    peering::peer_group& group;
    storage_directory& storage;
    metrics::registry& metrics;
    routing::crash_history history;
    routing::trait_quarantine quarantine;
    std::optional<trial> current_trial;
    /// Parts of the requests that have lost replicas since the last inquiry
    /// began.
    std::set<request_trait> suspects;
    /// What the current inquiry has gathered.
    std::optional<trait_knowledge> gathered;
    std::size_t awaited_replies = 0;
    std::set<std::pair<node_id, process_number>> known_processes;
    std::map<std::uint64_t, std::unique_ptr<wire::peer_call>> calls;
    std::map<std::uint64_t, net::timer> retries;
    std::uint64_t next_number = 1;
};

} // namespace parsleytrack::relay
