#include "relay/replica_exchange.hpp"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

constexpr int status_misdirected = 421;

} // namespace

const char* to_string(replica_verdict verdict)
{
    switch (verdict)
    {
    case replica_verdict::answered:
        return "answered";
    case replica_verdict::not_run:
        return "not_run";
    case replica_verdict::wrong_replica:
        return "wrong_replica";
    case replica_verdict::not_sent:
        return "not_sent";
    case replica_verdict::may_have_run:
        return "may_have_run";
    }
    return "unknown";
}

replica_exchange::replica_exchange(net::http_client& client,
                                   const header_names& header_names_in_use,
                                   const routing::replica_entry& replica,
                                   net::http_request request,
                                   request_id request_name, callbacks listener)
    : names(header_names_in_use), id(std::move(request_name)),
      hooks(std::move(listener))
{
    request.headers.emplace_back(this->names.expected_replica,
                                 replica.id.str());
    net::http_client::callbacks client_hooks;
    client_hooks.on_head = [this](const net::http_response& response)
    {
        this->take_head(response);
    };
    if (this->hooks.on_piece)
    {
        client_hooks.on_piece = [this](std::string_view piece)
        {
            if (this->kind == answer_kind::own)
            {
                this->hooks.on_piece(piece);
            }
        };
    }
    client_hooks.on_end = [this](result<net::http_response> outcome)
    {
        this->end(std::move(outcome));
    };
    this->call = client.send(replica.address, request, std::move(client_hooks));
}

void replica_exchange::take_head(const net::http_response& response)
{
    this->head_seen = true;
    this->head = response;
    this->kind = this->classify(response);
    if (this->kind == answer_kind::own && this->hooks.on_head)
    {
        this->hooks.on_head(response);
    }
}

void replica_exchange::give_up(const std::string& reason)
{
    this->call.reset();
    const auto callback = this->hooks.on_end;
    callback(replica_verdict::may_have_run, this->head, reason);
}

replica_exchange::answer_kind
replica_exchange::classify(const net::http_response& response) const
{
    const auto field = [&response](const std::string& name)
    {
        return net::find_header(response.headers, name.c_str());
    };
    const std::string* echoed = field(this->names.request_id);
    if (echoed != nullptr && *echoed != this->id.str())
    {
        return answer_kind::foreign;
    }
    if (response.status == status_misdirected)
    {
        return answer_kind::wrong_replica;
    }
    if (field(this->names.not_executed) != nullptr)
    {
        return answer_kind::not_run;
    }
    const bool is_signed =
        echoed != nullptr && field(this->names.digest) != nullptr;
    return is_signed ? answer_kind::own : answer_kind::foreign;
}

void replica_exchange::end(result<net::http_response> outcome)
{
    // The callback may destroy this object.
    const auto callback = this->hooks.on_end;
    if (outcome.has_error())
    {
        const error& reason = outcome.error();
        replica_verdict verdict = reason.ran == ran_state::no
                                      ? replica_verdict::not_sent
                                      : replica_verdict::may_have_run;
        if (this->kind == answer_kind::not_run ||
            this->kind == answer_kind::wrong_replica)
        {
            verdict = this->kind == answer_kind::not_run
                          ? replica_verdict::not_run
                          : replica_verdict::wrong_replica;
        }
        callback(verdict, this->head, reason.message);
        return;
    }
    const std::string seen = "status " + std::to_string(outcome.value().status);
    switch (this->kind)
    {
    case answer_kind::own:
        callback(replica_verdict::answered, std::move(outcome.value()), seen);
        return;
    case answer_kind::not_run:
        callback(replica_verdict::not_run, std::move(outcome.value()), seen);
        return;
    case answer_kind::wrong_replica:
        callback(replica_verdict::wrong_replica, std::move(outcome.value()),
                 seen);
        return;
    case answer_kind::none:
    case answer_kind::foreign:
        break;
    }
    callback(replica_verdict::may_have_run, std::move(outcome.value()),
             "the answer does not belong to the request");
}

} // namespace parsleytrack::relay
