// How a node handles the requests of callers and operators.

#include "logging/log.hpp"
#include "relay/caller_authorization.hpp"
#include "relay/refusal.hpp"
#include "relay/relay_node_state.hpp"

namespace parsleytrack::relay
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr duration retry_after_start = std::chrono::milliseconds(300);

} // namespace

void relay_node::state::handle_request(
    const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto table = this->configuration.current();
    if (!table)
    {
        refuse(*exchange, error{error_code::shutting_down,
                                "this node has no configuration yet",
                                ran_state::no, retry_after_start});
        return;
    }
    if (this->stop && !this->stop->accepts_requests(net::event_loop::now()))
    {
        refuse(*exchange,
               error{error_code::shutting_down, "this node is stopping",
                     ran_state::no, stop_schedule::retry_after});
        return;
    }
    const net::http_request_head& head = exchange->head();
    if (const auto call = this->adapter.parse_job_call(head))
    {
        if (const auto workspace =
                authorize_caller(this->context, *exchange, *table, false))
        {
            this->jobs.handle_call(exchange, *workspace, *call);
        }
        return;
    }
    const std::string* host = net::find_header(head.headers, "Host");
    const routing::route* route =
        host == nullptr ? nullptr : table->find(*host, head.path);
    if (route == nullptr)
    {
        log_event(log_level::info, "request_without_route",
                  {{"host", host == nullptr ? "" : *host},
                   {"path", head.path},
                   {"configuration", table->contents().version.count()},
                   {"age_ms", to_milliseconds(this->configuration.age())}});
        this->metrics.count("parsleytrack_requests_total",
                            {{"outcome", "no_route"}, {"kind", "none"}});
        refuse(*exchange, error{error_code::not_found,
                                "no route matches " + head.path,
                                ran_state::no,
                                {}});
        return;
    }
    // Jobs belong to a workspace, so that a public route needs a key for them.
    const auto workspace = authorize_caller(
        this->context, *exchange, *table,
        route->is_public && route->kind != routing::request_kind::batch);
    if (!workspace)
    {
        return;
    }
    if (route->kind == routing::request_kind::batch)
    {
        this->jobs.submit(exchange, table, *route, *workspace);
        return;
    }
    this->online.handle_request(
        exchange, table, *route, *workspace,
        this->stop ? std::optional(this->stop->closes_at()) : std::nullopt);
}

void relay_node::state::handle_readiness(
    const std::shared_ptr<net::http_exchange>& exchange)
{
    const bool is_ready = !this->stop && this->configuration.current() &&
                          this->replicas.is_known();
    exchange->respond(is_ready ? status_ok : status_unavailable, {}, {});
}

void relay_node::state::handle_address_request(
    const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto request = this->adapter.parse_address_request(exchange->head());
    if (!request)
    {
        refuse(*exchange, error{error_code::not_found,
                                "unknown resource " + exchange->head().path,
                                ran_state::no,
                                {}});
        return;
    }
    this->addresses.respond(exchange, *request);
}

void relay_node::state::handle_metrics(
    const std::shared_ptr<net::http_exchange>& exchange)
{
    if (exchange->head().path == "/status")
    {
        exchange->respond_json(status_ok,
                               this->status.json(this->stop.has_value()));
        return;
    }
    this->status.update_gauges(this->online.open_calls());
    this->protection.update_gauges();
    exchange->respond(status_ok,
                      {{"Content-Type", "text/plain; version=0.0.4"}},
                      this->metrics.prometheus_text());
}

} // namespace parsleytrack::relay
