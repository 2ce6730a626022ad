#pragma once

#include "net/http_client.hpp"
#include "net/http_header_list.hpp"
#include "net/http_request.hpp"
#include "relay/header_names.hpp"
#include "routing/replica_entry.hpp"
#include "units/ids.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace parsleytrack::relay
{

/// What became of one request at one replica.
enum class attempt_outcome
{
    /// The whole answer has come.
    answered,
    /// The replica has not run the request.
    not_run,
    /// The replica is not the one that was meant; it has not run the request.
    wrong_replica,
    /// The connection did not open.
    not_sent,
    /// Nothing, or only part of an answer, has come; it may have run.
    may_have_run
};

/// \param outcome Any verdict.
/// \returns Its name for logs and metric labels.
const char* to_string(attempt_outcome outcome);

/// Sends one request to one replica and makes sure that the answer belongs to
/// it. Destroying it closes the connection, at which the replica stops work.
class replica_exchange
{
public:
    /// A connection within a region opens in a few milliseconds; one packet may
    /// be lost and is sent again after 200 ms.
    static constexpr duration connect_timeout = std::chrono::milliseconds(300);

    struct callbacks
    {
        /// Status and fields of an answer that the replica stands for.
        /// Optional.
        std::function<void(const net::http_response&)> on_head;
        /// Pieces of its body. Without it the body is collected.
        std::function<void(std::string_view)> on_chunk;
        /// The end. The response is complete with answered, and may have a
        /// status and fields with not_run; the text says what was seen.
        std::function<void(attempt_outcome, net::http_response,
                           const std::string& reason)>
            on_end;
    };

    /// \param client Sends the request; outlives this object.
    /// \param names Names of header fields.
    /// \param replica Where to send it.
    /// \param request What to send; it gets the expected replica's name.
    /// \param id The request's id, which the answer has to carry.
    /// \param hooks Whom to tell; never called before the constructor returns.
    replica_exchange(net::http_client& client, const header_names& names,
                     const routing::replica_entry& replica,
                     net::http_request request, request_id id, callbacks hooks);

    /// Ends the exchange because the answer is of no use; the replica may have
    /// run the request. Calls on_end, which may destroy this object.
    void abort(const std::string& reason);

    /// \returns Whether the head of the answer has come.
    bool has_head() const { return this->head_seen; }

    /// \returns The fields of the answer's head.
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
        wrong_replica
    };

    void handle_head(const net::http_response& response);
    response_kind classify(const net::http_response& response) const;
    void handle_end(result<net::http_response> response);

    const header_names& names;
    request_id id;
    callbacks hooks;
    response_kind kind = response_kind::none;
    bool head_seen = false;
    /// Status and fields, for answers whose body is passed on piece by piece.
    net::http_response head;
    std::unique_ptr<net::http_call> call;
};

} // namespace parsleytrack::relay
