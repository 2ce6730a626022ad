#pragma once

#include "jobs/job_input.hpp"
#include "jobs/owned_job.hpp"
#include "relay/job_acceptor.hpp"
#include "relay/job_owner.hpp"
#include "relay/relay_context.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace parsleytrack::relay
{

/// Calls between nodes about batch jobs: hands a job over to its owner,
/// notifies the owner of changes, and handles the same calls from other nodes.
class job_peers
{
public:
    struct callbacks
    {
        /// \returns The owner of a job that this node runs, otherwise null.
        std::function<job_owner*(const job_id&)> find;
        /// \returns Whether this node accepts jobs from other nodes.
        std::function<bool()> accepts_jobs;
        /// A job was handed to this node.
        std::function<void(jobs::owned_job)> on_handed_over;
        /// The record of a job that this node runs has changed.
        std::function<void(const job_id&)> on_changed;
        /// This node may have to take over a job that it does not run.
        std::function<void(const job_id&, store_revision)> on_unowned;
    };

    /// \param node Outlives this object.
    job_peers(const relay_context& node, callbacks listener);

    /// Hands a job over to the owner named in its state.
    void hand_over(const jobs::job_input& input, const accepted_job& accepted);

    /// Notifies a node that it should look at a job's record.
    ///
    /// \param revision Revision of the record; 0 if it is not known.
    void notify(const node_info& node, const job_id& job,
                store_revision revision);

private:
    void call(const node_info& owner, wire::message_type type,
              const std::string& message, const char* failure_event,
              const job_id& job);
    void handle_handover(const std::shared_ptr<wire::peer_exchange>& exchange);
    void handle_read(const std::shared_ptr<wire::peer_exchange>& exchange);
    void
    handle_change_notice(const std::shared_ptr<wire::peer_exchange>& exchange);

    const relay_context& context;
    callbacks hooks;
    std::map<std::uint64_t, std::unique_ptr<wire::peer_call>> calls;
    std::uint64_t next_number = 1;
};

} // namespace parsleytrack::relay
