#pragma once

#include "daemon/forward_hooks.hpp"
#include "daemon/forward_request.hpp"
#include "daemon/node_context.hpp"
#include "daemon/replica_runner.hpp"
#include "daemon/summary_publisher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace parsleytrack
{

class batch_puller;

/// Sends work to the backend servers that this node is the gate of.
class gate_module
{
public:
    explicit gate_module(node_context& node);
    ~gate_module();
    gate_module(const gate_module&) = delete;
    gate_module& operator=(const gate_module&) = delete;

    /// \param callback Called with a replica that has refused work since it is
    /// leaving.
    void on_leaving(std::function<void(const replica_id&)> callback)
    {
        this->leaving_callback = std::move(callback);
    }

    /// Passes an attempt to one of this node's replicas.
    ///
    /// \param request The attempt.
    /// \param hooks Whom to tell; not called before submit() has returned.
    /// \returns The attempt; destroying it cancels it.
    [[nodiscard]] std::unique_ptr<net::http_call>
    submit(const forward_request& request, forward_hooks hooks);

    /// Begins a planned stop.
    ///
    /// \param done Called once nothing is left to finish here.
    void drain(std::function<void()> done);

private:
    using runner_map = std::map<replica_id, std::unique_ptr<replica_runner>>;

    void update_runners();
    void pull_batch(const replica_id& replica, int count);
    void update_offers();
    void open(const replica_info& replica);
    void retire(runner_map::iterator found, bool stop_batch);
    void remove_idle();
    bool is_own(const replica_info& replica) const;
    runner_map::iterator find_runner(const replica_id& id);
    bool may_go_on(const replica_info& replica);
    void handle_call(const std::shared_ptr<wire::peer_exchange>& exchange);
    void tell_others();

    node_context& context;
    std::function<void(const replica_id&)> leaving_callback;
    std::unique_ptr<batch_puller> puller;
    runner_map runners;
    /// Runners of replicas whose gate is another node, by when that was seen.
    std::map<replica_id, time_point> acting_since;
    /// Given up, but with work still running.
    std::vector<std::unique_ptr<replica_runner>> retired;
    summary_publisher publisher;
    net::timer publish_timer;
    std::function<void()> drained;
    bool draining = false;
};

} // namespace parsleytrack
