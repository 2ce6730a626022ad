#pragma once

#include "net/http_client.hpp"
#include "net/http_header_list.hpp"
#include "net/http_request.hpp"
#include "relay/header_names.hpp"
#include "routing/limit_observation.hpp"
#include "routing/replica_entry.hpp"
#include "units/ids.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace parsleytrack::relay
{

/// Outcome of sending one request to one replica.
enum class attempt_outcome
{
    /// The complete response was received.
    answered,
    /// The replica did not run the request.
    not_run,
    /// The replica is not the one addressed; it did not run the request.
    wrong_replica,
    /// The connection could not be opened.
    not_sent,
    /// This process was too late to send it; the replica is not to blame.
    expired,
    /// No response that belongs to the request, or only part of one, was
    /// received; the request may have run.
    may_have_run
};

/// What a request is sent to.
enum class exchange_peer
{
    replica,
    /// Another node, which sends the request to a replica. It refuses requests
    /// without their ids.
    node
};

/// \returns The name used in logs and metric labels.
const char* to_string(attempt_outcome outcome);

/// Sends one request to one replica and checks that the response belongs to it.
/// Destroying it closes the connection, which makes the replica stop work on
/// the request.
class replica_exchange
{
public:
    /// Time from the checks that allow a request until it must be sent. A
    /// connection within a region opens in a few milliseconds; this allows for
    /// one lost packet, which is resent after 200 ms.
    static constexpr duration send_timeout = std::chrono::milliseconds(300);

    struct callbacks
    {
        /// Gets status and header fields of a response that belongs to the
        /// request. Optional.
        std::function<void(const net::http_response&)> on_head;
        /// Gets its body in chunks. If not set, the body is collected.
        std::function<void(std::string_view)> on_chunk;
        /// Called when the head of a response says that the replica is leaving,
        /// whatever the response is. Optional.
        std::function<void()> on_leaving;
        /// Called with what the head of a response says of the replica's limit,
        /// if the replica has answered the request or rejected it. Optional.
        std::function<void(const routing::limit_observation&)> on_limit;
        /// Called at the end. The response is complete for answered, and may
        /// have a status and header fields for not_run; reason says what was
        /// observed.
        std::function<void(attempt_outcome, net::http_response,
                           const std::string& reason)>
            on_end;
    };

    /// \param client Sends the request; outlives this object.
    /// \param names Names of header fields.
    /// \param replica Where to send it.
    /// \param request What to send; the header field with the expected
    /// replica's id is added.
    /// \param id The request's id, which the response must carry.
    /// \param hooks Never called before the constructor returns.
    /// \param target What the request is sent to.
    replica_exchange(net::http_client& client, const header_names& names,
                     const routing::replica_entry& replica,
                     net::http_request request, request_id id, callbacks hooks,
                     exchange_peer target = exchange_peer::replica);

    /// Calls no callback any more. The connection is closed when this object is
    /// destroyed, which may be in a later turn of the loop than the events that
    /// wait now.
    void cancel() { this->cancelled = true; }

    /// Ends the exchange because the response is unusable; the replica may have
    /// run the request. Calls on_end, which may destroy this object.
    void abort(const std::string& reason);

    /// \returns Whether the head of the response was received.
    bool has_head() const { return this->head_seen; }

    /// \returns Whether the connection was lost after the request was sent and
    /// before the end of the response, as when the replica crashes.
    bool was_cut() const { return this->cut; }

    /// \returns The connection that carries the request.
    net::connection_use connection() const { return this->link; }

    /// \returns The header fields of the response.
    const net::http_header_list& head_fields() const
    {
        return this->head.headers;
    }

private:
    enum class response_kind
    {
        none,
        matching,
        mismatched,
        not_run,
        wrong_replica,
        /// A response of a node itself.
        from_node
    };

    void handle_head(const net::http_response& response);
    void log_mismatch(const net::http_response& response) const;
    bool says_leaving(const net::http_response& response) const;
    void report_limit(const net::http_response& response) const;
    response_kind classify(const net::http_response& response) const;
    void handle_end(result<net::http_response> response);

    const header_names& names;
    replica_id replica;
    request_id id;
    callbacks hooks;
    exchange_peer peer;
    /// Whether the caller asks for a version of the model's weights.
    bool names_weights = false;
    response_kind kind = response_kind::none;
    bool cancelled = false;
    bool head_seen = false;
    bool cut = false;
    /// Status and header fields, for responses whose body is passed on in
    /// chunks.
    net::http_response head;
    net::connection_use link;
    std::unique_ptr<net::http_call> call;
};

} // namespace parsleytrack::relay
