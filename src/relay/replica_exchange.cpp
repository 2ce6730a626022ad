#include "relay/replica_exchange.hpp"

#include "logging/log.hpp"
#include "net/event_loop.hpp"
#include "relay/limit_header.hpp"
#include "relay/refusal.hpp"

#include <strings.h>

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

constexpr int status_misdirected = 421;
constexpr const char* mismatch_reason =
    "the response does not belong to the request";

} // namespace

const char* to_string(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::wrong_replica:
        return "wrong_replica";
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::expired:
        return "expired";
    case attempt_outcome::may_have_run:
        return "may_have_run";
    }
    return "unknown";
}

replica_exchange::replica_exchange(net::http_client& client,
                                   const header_names& header_names_in_use,
                                   const routing::replica_entry& target,
                                   net::http_request request,
                                   request_id request_name, callbacks listener,
                                   exchange_peer target_kind)
    : names(header_names_in_use), replica(target.id),
      id(std::move(request_name)), hooks(std::move(listener)), peer(target_kind)
{
    if (this->peer == exchange_peer::replica)
    {
        request.headers.emplace_back(this->names.expected_replica,
                                     this->replica.str());
    }
    this->names_weights =
        net::find_header(request.headers,
                         this->names.expected_weights.c_str()) != nullptr;
    request.identity = this->id.str();
    net::http_client::callbacks client_hooks;
    client_hooks.on_head = [this](const net::http_response& response)
    {
        this->handle_head(response);
    };
    if (this->hooks.on_chunk)
    {
        client_hooks.on_piece = [this](std::string_view chunk)
        {
            if (!this->cancelled && this->kind == response_kind::matching)
            {
                this->hooks.on_chunk(chunk);
            }
        };
    }
    client_hooks.on_end = [this](result<net::http_response> response)
    {
        this->handle_end(std::move(response));
    };
    this->call = client.send(target.address, request, std::move(client_hooks));
    this->link = this->call->connection();
}

void replica_exchange::handle_head(const net::http_response& response)
{
    if (this->cancelled)
    {
        return;
    }
    this->head_seen = true;
    this->head = response;
    this->kind = this->classify(response);
    // A misdirected request was answered by another replica.
    if (this->kind != response_kind::wrong_replica && this->hooks.on_leaving &&
        this->says_leaving(response))
    {
        this->hooks.on_leaving();
    }
    const bool is_from_replica = this->kind == response_kind::matching ||
                                 this->kind == response_kind::not_run;
    if (is_from_replica && this->hooks.on_limit)
    {
        this->report_limit(response);
    }
    // What a response says of its replica may have ended this run.
    if (this->cancelled)
    {
        return;
    }
    if (this->kind == response_kind::mismatched)
    {
        this->log_mismatch(response);
        // Closes the connection, which ends the request's run. Its own response
        // would be taken for that of the next request.
        this->abort(mismatch_reason);
        return;
    }
    if (this->kind == response_kind::matching && this->hooks.on_head)
    {
        this->hooks.on_head(response);
    }
}

void replica_exchange::log_mismatch(const net::http_response& response) const
{
    const std::string* echoed =
        net::find_header(response.headers, this->names.request_id.c_str());
    log_event(log_level::warning, "response_mismatched",
              {{"request", this->id.str()},
               {"replica", this->replica.str()},
               {"connection", this->link.connection},
               {"earlier_requests", this->link.earlier_requests},
               {"status", response.status},
               {"response_id", echoed == nullptr ? "" : *echoed}});
}

bool replica_exchange::says_leaving(const net::http_response& response) const
{
    // Other values say nothing. Of repeated fields, one suffices: a replica
    // that is used too long costs more than one that is left too soon.
    return std::any_of(response.headers.begin(), response.headers.end(),
                       [this](const auto& field)
                       {
                           return field.second == "1" &&
                                  strcasecmp(field.first.c_str(),
                                             this->names.leaving.c_str()) == 0;
                       });
}

void replica_exchange::report_limit(const net::http_response& response) const
{
    const auto observation =
        read_limit(response.headers, this->names.limit, net::event_loop::now());
    if (!observation)
    {
        log_event(log_level::warning, "replica_limit_unreadable",
                  {{"request", this->id.str()}});
        return;
    }
    this->hooks.on_limit(*observation);
}

void replica_exchange::abort(const std::string& reason)
{
    this->call.reset();
    const auto callback = this->hooks.on_end;
    callback(attempt_outcome::may_have_run, this->head, reason);
}

replica_exchange::response_kind
replica_exchange::classify(const net::http_response& response) const
{
    const auto field = [&response](const std::string& name)
    {
        return net::find_header(response.headers, name.c_str());
    };
    const std::string* echoed = field(this->names.request_id);
    if (this->peer == exchange_peer::node && echoed == nullptr)
    {
        return response_kind::from_node;
    }
    // A replica that cannot read a request refuses it without an id. On a
    // connection in use again it may be an earlier request's refusal.
    const bool is_own = echoed == nullptr ? this->link.earlier_requests == 0
                                          : *echoed == this->id.str();
    if (!is_own)
    {
        return response_kind::mismatched;
    }
    if (response.status == status_misdirected)
    {
        // A caller's request for other weights gets the same status, which then
        // says nothing of the replica.
        return this->names_weights ? response_kind::not_run
                                   : response_kind::wrong_replica;
    }
    if (field(this->names.not_executed) != nullptr)
    {
        return response_kind::not_run;
    }
    const bool is_signed =
        echoed != nullptr && field(this->names.digest) != nullptr;
    return is_signed ? response_kind::matching : response_kind::mismatched;
}

void replica_exchange::handle_end(result<net::http_response> response)
{
    if (this->cancelled)
    {
        return;
    }
    // The callback may destroy this object.
    const auto callback = this->hooks.on_end;
    if (response.has_error())
    {
        const error& reason = response.error();
        this->cut = reason.ran == ran_state::unknown &&
                    (reason.code == error_code::connection_lost ||
                     reason.code == error_code::peer_unreachable);
        attempt_outcome outcome = attempt_outcome::may_have_run;
        if (reason.ran == ran_state::no)
        {
            outcome = reason.code == error_code::deadline_exceeded
                          ? attempt_outcome::expired
                          : attempt_outcome::not_sent;
        }
        if (this->kind == response_kind::not_run ||
            this->kind == response_kind::wrong_replica)
        {
            outcome = this->kind == response_kind::not_run
                          ? attempt_outcome::not_run
                          : attempt_outcome::wrong_replica;
        }
        callback(outcome, this->head, reason.message);
        return;
    }
    const std::string seen =
        "status " + std::to_string(response.value().status);
    switch (this->kind)
    {
    case response_kind::matching:
        callback(attempt_outcome::answered, std::move(response.value()), seen);
        return;
    case response_kind::not_run:
        callback(attempt_outcome::not_run, std::move(response.value()), seen);
        return;
    case response_kind::wrong_replica:
        callback(attempt_outcome::wrong_replica, std::move(response.value()),
                 seen);
        return;
    case response_kind::from_node:
        callback(promises_not_run(response.value().status)
                     ? attempt_outcome::not_run
                     : attempt_outcome::may_have_run,
                 std::move(response.value()), seen);
        return;
    case response_kind::none:
    case response_kind::mismatched:
        break;
    }
    callback(attempt_outcome::may_have_run, std::move(response.value()),
             mismatch_reason);
}

} // namespace parsleytrack::relay
