#pragma once

#include "jobs/item_progress.hpp"
#include "jobs/job_item.hpp"
#include "relay/event_sequence.hpp"
#include "relay/event_splitter.hpp"
#include "relay/output_limit.hpp"
#include "relay/relay_context.hpp"
#include "relay/replica_exchange.hpp"
#include "relay/slot_client.hpp"
#include "routing/replica_entry.hpp"
#include "routing/route.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// How a run of an item ended.
enum class item_run_result
{
    completed,
    /// The replica failed the item.
    failed,
    /// No replica can process the item.
    impossible,
    /// The replica answered with an error that says nothing about the item; to
    /// be resumed like an interrupted run.
    rejected,
    /// No complete answer came from the replica; to be resumed likewise.
    lost,
    /// The replica did not run the item; to be resumed likewise.
    refused,
    /// To be resumed from the saved progress.
    interrupted,
    /// This node has no memory for the output; to start anew.
    out_of_memory
};

/// What a run is given by the configuration.
struct item_assignment
{
    /// Service whose replicas may run the item.
    service_name service;
    /// Priority among all work of the service.
    int priority = 0;
    /// Time from the job's submission until the result is due.
    duration run_target = duration::zero();
    /// The configuration that these are from.
    configuration_version configuration;
};

/// One run of an item on one replica, from the slot request to the end of the
/// response. Destroying it aborts the run.
class item_run
{
public:
    using end_callback =
        std::function<void(item_run_result end, const std::string& reason)>;
    /// Asked at the last moment before the item is sent.
    ///
    /// \returns The latest time at which it may be sent. If absent,
    /// handle_confirmation() is called once that is known.
    using send_check = std::function<std::optional<time_point>()>;
    /// Asked at the same moment.
    ///
    /// \returns Whether the item may run at the service that it was given.
    using service_check = std::function<bool()>;
    /// Called when output has been received.
    ///
    /// \returns Whether the node has memory for it.
    using output_check = std::function<bool()>;

    struct callbacks
    {
        send_check may_send;
        service_check keeps_service;
        output_check may_hold_output;
        /// Called once, never from the constructor; may destroy the run.
        end_callback on_end;
    };

    /// \param node Outlives this object.
    /// \param slot_source Outlives this object.
    /// \param run_item The item to run; outlives this object.
    /// \param host Value of the request's Host header.
    /// \param workspace Whose item it is; empty if there are no workspaces.
    /// \param progress Progress to resume from, extended by this run; outlives
    /// this object.
    item_run(const relay_context& node, slot_client& slot_source,
             const jobs::job_item& run_item, std::string host,
             workspace_name workspace, jobs::item_progress& progress,
             callbacks listener);

    /// \param due_in Time until the result is due.
    /// \param avoided Replicas at which it must not run. If no other has a slot
    /// for a while, the run ends as interrupted, so that they may be chosen
    /// anew.
    void start(item_assignment assigned, duration due_in,
               std::set<replica_id> avoided);

    const item_assignment& assignment() const { return this->assigned; }

    /// \returns Whether the item has not been sent to a replica in this run.
    bool is_waiting() const { return !this->began; }

    /// \returns When this run was started.
    time_point started_at() const { return this->started; }

    /// Goes on after a send_check that could not be answered at once.
    ///
    /// \param send_by The latest time at which the item may be sent; absent if
    /// it must not be sent.
    void handle_confirmation(std::optional<time_point> send_by);

    /// \returns The replica of the last attempt; empty if there was none.
    const replica_id& last_replica() const { return this->replica.id; }
    const routing::replica_entry& last_entry() const { return this->replica; }

    /// \returns The software version of the replica of the last attempt.
    const software_version& last_version() const
    {
        return this->replica.version;
    }

    /// \returns Whether the replica of the last attempt has added output, and
    /// the list of replicas may still name the process before it.
    bool has_unconfirmed_output() const;

    /// \returns When the list names the process that the last attempt was at.
    time_point confirmed_at() const
    {
        return this->connection.opened_at + replica_doubts::confirmation_delay;
    }

    /// \returns The bytes of memory that an incomplete event takes.
    std::size_t buffered_bytes() const { return this->splitter.memory_bytes(); }

    /// \returns The connection of the last attempt.
    net::connection_use last_connection() const { return this->connection; }

    /// \returns When the last attempt began; absent if there was none.
    std::optional<time_point> sent_at() const { return this->began; }

private:
    void request_slot();
    /// Waits while a part of the prompt crashes replicas.
    void wait_until_allowed();
    void handle_grant(const replica_id& replica);
    void send(const replica_id& replica, time_point send_by);
    void handle_chunk(std::string_view chunk);
    /// Notes the version of the process that responds if the list of replicas
    /// has named the process before it until now.
    ///
    /// \returns Whether the output is of one version.
    bool follow_replacement();
    /// Discards the output so far; the next run of the item starts anew.
    void discard_progress();
    void restart_stall_timer();
    void handle_end(attempt_outcome outcome, const net::http_response& response,
                    const std::string& reason);
    void finish(item_run_result end, const std::string& reason);

    const relay_context& context;
    slot_client& slots;
    const jobs::job_item& item;
    std::string host;
    workspace_name workspace;
    jobs::item_progress& progress;
    callbacks listener;
    /// The parts of the prompt, which online requests may have shown to crash
    /// replicas. Losses under items show nothing: items never crash replicas by
    /// themselves.
    std::vector<request_trait> traits;
    /// The granted replica while the item must not be sent yet.
    replica_id granted_replica;
    item_assignment assigned;
    time_point started;
    time_point due;
    std::set<replica_id> excluded;
    /// The replica of the current attempt, or else of the last one.
    routing::replica_entry replica;
    std::optional<time_point> began;
    net::connection_use connection;
    int status = 0;
    /// Number of the event after which this run goes on; 0 from the start.
    std::int64_t first_event = 0;
    event_splitter splitter;
    event_sequence sequence;
    output_limit limit;
    std::unique_ptr<slot_lease> lease;
    std::unique_ptr<replica_exchange> attempt;
    net::timer stall_timer;
    net::timer block_timer;
    /// Runs while a request waits that excludes replicas.
    net::timer exclusion_timer;
    int block_checks = 0;
};

} // namespace parsleytrack::relay
