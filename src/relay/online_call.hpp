#pragma once

#include "net/connection_check.hpp"
#include "net/http_exchange.hpp"
#include "relay/event_sequence.hpp"
#include "relay/event_splitter.hpp"
#include "relay/held_events.hpp"
#include "relay/online_request.hpp"
#include "relay/origin_search.hpp"
#include "relay/relay_context.hpp"
#include "relay/relay_hop.hpp"
#include "relay/replica_exchange.hpp"
#include "relay/slot_client.hpp"
#include "routing/replica_entry.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// Handles one online request from its arrival to the end of its response:
/// acquires a slot, sends the request to a replica, passes the response on, and
/// retries where that is allowed.
class online_call
{
public:
    /// \param node Outlives this object.
    /// \param slot_source Outlives this object.
    /// \param caller The exchange with the caller.
    /// \param request The caller's request, with its body.
    /// \param on_end Called once, at the end; must not destroy this object
    /// before it returns.
    online_call(const relay_context& node, slot_client& slot_source,
                std::shared_ptr<net::http_exchange> caller,
                online_request request, std::function<void()> on_end);
    ~online_call() = default;
    online_call(const online_call&) = delete;
    online_call& operator=(const online_call&) = delete;

    void start();

    /// Applies a change of the configuration or of the list of replicas: a
    /// request that waits for a slot of a service that its route has left waits
    /// for one of another service, or ends if no replica will serve it.
    void review_service();

private:
    /// A replica that was full may have a free slot again by then.
    static constexpr duration retry_after_refused =
        std::chrono::milliseconds(300);

    /// Gives the request another service if its route has left the one that it
    /// has, unless that has begun the stream.
    ///
    /// \returns Whether the call goes on.
    bool follow_route();
    /// \returns The route that the current configuration has for the request;
    /// null if there is none of its kind.
    const routing::route* current_route() const;
    /// Rejects the request if replicas crash under it or a part of its prompt.
    ///
    /// \returns Whether it was rejected.
    bool reject_if_blocked();
    /// \returns Whether the caller has events of the stream from an earlier
    /// attempt.
    bool takes_up_stream() const;
    /// Finds out which version began the stream before a slot is requested.
    void find_origin();
    void handle_origin(const std::optional<stream_origin>& origin);
    /// Gives the request the service that began its stream, or rejects it if
    /// its route does not name that. Callers may send the fields of nodes, too.
    ///
    /// \returns Whether the call goes on.
    bool accept_service(const stream_origin& origin);
    /// \returns Whether a stream that breaks off may go on elsewhere.
    bool is_resumable_stream() const;
    /// \returns Replicas that the request must not be sent to.
    std::set<replica_id> replicas_to_avoid() const;
    /// \returns Whether the request was at all usable replicas of its service.
    bool is_excluded_everywhere() const;
    /// \returns The excluded replicas that are not another process by now.
    std::set<replica_id> excluded_replicas() const;
    /// Requests the slot anew once one of the avoided replicas may be used.
    void watch_avoided(const std::set<replica_id>& avoided);
    /// Notes the version of the process that responds if the list of replicas
    /// has named the process before it until now.
    ///
    /// \returns Whether the stream keeps to one version.
    bool follow_replacement();
    /// \returns When the list names the process of the current attempt.
    time_point confirmed_at() const;
    /// \returns Whether events of the current attempt may be of another
    /// version than the stream, as the list may name the process before.
    bool awaits_confirmation() const;
    /// Holds events back until then.
    ///
    /// \param before The sequence without these events.
    /// \returns Whether they are held.
    bool hold(const std::string& events, const event_sequence& before);
    /// \returns Whether the end of the response waits for held events.
    bool hold_end(attempt_outcome outcome, const net::http_response& response,
                  const std::string& reason);
    /// Passes held events on, or leaves the replica if it is another process.
    void release_held();
    void discard_held();
    /// Records that the stream is sent to a replica of this version.
    void record_origin(const routing::replica_entry& target);
    /// \returns The attempt that brought the first event: the one that the
    /// caller names, or this one. Empty if the caller does not name it.
    request_id first_attempt() const;
    /// Claims a request of the workspace's allotment before the first slot is
    /// requested.
    ///
    /// \returns Whether a slot may be requested now; otherwise the call goes on
    /// or ends with the outcome of the claim.
    bool claim_allotment();
    /// Records that the workspace may send this request, once for a request.
    void count_granted();
    void request_slot();
    duration useful_time() const;
    /// \returns How much longer a slot is of use to a caller who accepts that
    /// the response is late.
    duration time_to_abandonment() const;
    void send(const replica_id& replica);
    /// Sends the request to a replica, or to a node that sends it to one.
    void begin_attempt(const routing::replica_entry& target, exchange_peer kind,
                       time_point send_by);
    /// Sends the request to a node that reaches replicas.
    void relay();
    /// \returns The node to send the request to; absent if there is none.
    std::optional<node_info> choose_node() const;
    /// Refuses another node's request, since this one reaches no replica
    /// either.
    void refuse_hop();
    /// Handles the end of an attempt at another node that did not bring a
    /// replica's answer.
    void handle_node_end(attempt_outcome outcome,
                         const net::http_response& response,
                         const std::string& reason);
    /// Sends the request again, to another node.
    void leave_node(const std::string& reason);
    /// \returns The header fields for the caller, or for the node that has sent
    /// the request.
    net::http_header_list
    response_headers(const net::http_header_list& received) const;
    net::http_request make_request(time_point send_by) const;
    /// \returns Whether another attempt may follow the current one if that has
    /// run.
    bool may_repeat() const;
    /// \returns Whether the current attempt is at a replica that may be left
    /// for another one.
    bool is_watched() const;
    bool is_stream() const;
    /// Watches how long the replica sends nothing, from now on.
    void restart_silence_timer();
    /// Leaves the silent replica if it cannot be reached or has been silent for
    /// longer than a sound one is. Waits on while no other could take over.
    void handle_silence();
    /// \returns Whether another replica may get the request.
    bool can_be_taken_over() const;
    /// \returns How long a body that is not streamed may pause.
    static duration longest_body_pause();
    void handle_head(const net::http_response& head);
    void handle_chunk(std::string_view chunk);
    /// Ends the attempt if no event is completed for some time and another one
    /// may follow.
    void restart_stall_timer();
    /// Passes events on to the caller.
    ///
    /// \returns Whether the call goes on.
    bool pass_on(const std::string& events);
    void handle_end(attempt_outcome outcome, net::http_response response,
                    const std::string& reason);
    bool handle_response(net::http_response response);
    /// \returns Whether the end of the response is the end of the stream.
    bool completes_stream(const net::http_response& response) const;
    /// Reports an attempt that ended as if its replica had crashed.
    void report_crash(attempt_outcome outcome);
    bool may_send_again() const;
    void send_again(const std::string& reason);
    /// Requests the next slot; after several failures once it is known whether
    /// they are due to the node's own links.
    void request_slot_when_checked();
    /// Ends the current attempt without any further callback of it.
    void release_attempt();
    void fail(error reason);
    void expire();
    /// Reports a replica whose answer, once begun, has not ended in time.
    void report_unended_body();
    void finish(const char* outcome, int status);
    void report_end(const char* outcome, int status) const;
    duration remaining() const;

    const relay_context& context;
    slot_client& slots;
    std::shared_ptr<net::http_exchange> exchange;
    online_request request;
    std::function<void()> ended_callback;
    service_name service;
    /// What the request may have in common with others that crash replicas.
    std::vector<request_trait> traits;

    std::unique_ptr<origin_search> search;
    std::unique_ptr<allotments::allotment_claim> claim;
    bool is_claimed = false;
    std::unique_ptr<slot_lease> lease;
    std::unique_ptr<replica_exchange> attempt;
    /// The replica of the current attempt, or else of the last one; describes a
    /// node if the request is sent to one.
    routing::replica_entry replica;
    exchange_peer peer = exchange_peer::replica;
    std::set<node_id> failed_nodes;
    /// Replicas that this request is not sent to again, with the processes that
    /// they were.
    std::map<replica_id, replica_process_id> excluded;
    /// The version whose replicas may go on with the stream; absent until it
    /// has begun.
    std::optional<software_version> version;
    /// Whether the stream had a version when the current attempt began.
    bool keeps_version = false;
    net::connection_use last_connection;
    net::timer deadline_timer;
    net::timer silence_timer;
    net::timer stall_timer;
    net::timer check_timer;
    net::timer avoidance_timer;
    time_point sent_at;
    std::optional<time_point> first_output_at;

    /// When the replica of the current attempt has last sent something.
    time_point last_sign;
    /// Shows whether the machine of a silent replica is reached.
    std::unique_ptr<net::connection_check> reach_check;
    bool is_reachable = false;
    bool silence_is_reported = false;

    /// How often the request was sent, and how often it may have been run.
    int sends = 0;
    int runs = 0;
    /// How often a replica did not run it, such as a full one.
    int refusals = 0;
    bool response_started = false;
    /// Status of the stream that the caller receives.
    int stream_status = 0;
    /// Status of the response, and its body unless it is streamed to the
    /// caller.
    int collected_status = 0;
    std::string collected_body;
    event_splitter splitter;
    event_sequence sequence{event_numbering::increasing};
    /// Absent unless events are held back.
    std::optional<held_events> held;
    net::timer confirmation_timer;
    /// Events that the current attempt has delivered.
    int attempt_events = 0;
    bool ended = false;
};

} // namespace parsleytrack::relay
