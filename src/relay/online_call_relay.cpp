// How a request reaches a replica through another node.

#include "logging/log.hpp"
#include "relay/hop_headers.hpp"
#include "relay/online_call.hpp"
#include "relay/refusal.hpp"

#include <random>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

/// Another node may reach replicas again by then.
constexpr duration retry_after_stranded = std::chrono::milliseconds(300);
constexpr int status_unavailable = 503;
constexpr int first_error_status = 500;

} // namespace

void online_call::relay()
{
    if (this->request.hop)
    {
        this->refuse_hop();
        return;
    }
    const auto node = this->choose_node();
    if (!node)
    {
        this->fail(error{error_code::no_replica, "no node reaches a replica",
                         ran_state::no, retry_after_stranded});
        return;
    }
    routing::replica_entry target;
    target.id = replica_id(node->id.str());
    target.address = node->http;
    target.availability_zone = node->availability_zone;
    this->context.metrics.count("parsleytrack_requests_relayed_total", {});
    this->begin_attempt(target, exchange_peer::node,
                        net::event_loop::now() +
                            replica_exchange::send_timeout);
}

std::optional<node_info> online_call::choose_node() const
{
    std::vector<node_info> near;
    std::vector<node_info> far;
    const node_info& own = this->context.group.own();
    for (const node_info& node : this->context.group.serving_nodes())
    {
        if (!node.entry || node.id == own.id || !node.reaches_replicas ||
            this->failed_nodes.contains(node.id))
        {
            continue;
        }
        // Bytes between availability zones cost more.
        (node.availability_zone == own.availability_zone ? near : far)
            .push_back(node);
    }
    const std::vector<node_info>& choices = near.empty() ? far : near;
    if (choices.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, choices.size() - 1);
    return choices[draw(this->context.random)];
}

void online_call::refuse_hop()
{
    if (this->runs > this->request.hop->runs || this->response_started)
    {
        this->fail(error{error_code::backend_failed,
                         "this node has lost its links to the replicas",
                         ran_state::unknown,
                         {}});
        return;
    }
    this->exchange->respond(status_unavailable, {{hop_fields::stranded, "1"}},
                            "");
    this->finish("refused_stranded", status_unavailable);
}

void online_call::handle_node_end(attempt_outcome outcome,
                                  const net::http_response& response,
                                  const std::string& reason)
{
    const bool has_response =
        response.status != 0 &&
        net::find_header(response.headers, hop_fields::stranded) == nullptr;
    const bool is_refusal = outcome == attempt_outcome::not_run && has_response;
    const bool is_error = outcome == attempt_outcome::may_have_run &&
                          has_response && response.status >= first_error_status;
    if ((is_refusal || is_error) && !this->response_started &&
        (is_error || this->runs == 0))
    {
        // The other node has done what can be done for the request.
        this->exchange->respond(response.status,
                                this->response_headers(response.headers),
                                response.body);
        this->finish(is_refusal ? "refused_by_node" : "failed_at_node",
                     response.status);
        return;
    }
    this->leave_node(reason);
}

void online_call::leave_node(const std::string& reason)
{
    this->failed_nodes.insert(node_id(this->replica.id.str()));
    this->send_again(reason);
}

net::http_header_list
online_call::response_headers(const net::http_header_list& received) const
{
    net::http_header_list headers = end_to_end_headers(received);
    erase_hop_fields(headers);
    if (this->request.hop)
    {
        headers.emplace_back(hop_fields::version, this->replica.version.str());
    }
    return headers;
}

} // namespace parsleytrack::relay
