#pragma once

#include "metrics/registry.hpp"
#include "net/connection_check.hpp"
#include "net/event_loop.hpp"
#include "relay/replica_follower.hpp"
#include "units/endpoint.hpp"
#include "units/random_source.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace parsleytrack::relay
{

/// Tells failures of replicas from the loss of this node's own links: when a
/// request has failed, it checks whether connections to other replicas open. If
/// none does, the node is stranded until one does.
class link_monitor
{
public:
    /// \param reaches_replicas False when the node is stranded.
    using callback = std::function<void(bool reaches_replicas)>;

    /// \param event_loop Outlives this object, as do the other references.
    link_monitor(net::event_loop& event_loop, replica_follower& replica_list,
                 random_source& random_numbers, metrics::registry& counters);

    /// \returns Whether this node reaches no replica.
    bool is_stranded() const { return this->stranded; }

    /// \returns Whether a request that has failed may say nothing of its
    /// replica: this node is stranded, or the first connection to another
    /// replica has not opened either.
    bool is_suspect() const
    {
        return this->stranded || (this->in_round && this->stage > 1);
    }

    /// \returns Whether the links are about to be checked.
    bool is_checking() const
    {
        return !this->stranded &&
               (this->in_round || this->round_timer.is_set());
    }

    /// Checks the links after a request to a replica has failed.
    void handle_failure();

    /// \param listener Called when the node is stranded, and when it no longer
    /// is.
    void on_change(callback listener);

private:
    void start_round();
    void open_next();
    void handle_check(bool opened);
    void finish_round(bool reaches_replicas);
    /// \returns The addresses of listed replicas, in random order.
    std::vector<endpoint> shuffled_replicas();

    net::event_loop& loop;
    replica_follower& replicas;
    random_source& random;
    metrics::registry& metrics;
    bool stranded = false;
    bool in_round = false;
    time_point round_end;
    std::vector<callback> change_callbacks;
    /// Replicas that this round has not tried yet.
    std::vector<endpoint> untried;
    std::vector<std::unique_ptr<net::connection_check>> checks;
    std::size_t stage = 0;
    std::size_t failed = 0;
    net::timer stage_timer;
    net::timer round_timer;
};

} // namespace parsleytrack::relay
