#include "relay/caller_protection.hpp"

#include "units/descriptor_limit.hpp"

#include <algorithm>
#include <cstddef>
#include <string>

namespace parsleytrack::relay
{

namespace
{

/// Callers' part of the descriptors; the others serve replicas, nodes and the
/// store.
constexpr std::size_t front_parts = 2;
constexpr std::size_t small_parts = 16;
constexpr std::size_t min_connections = 16;
/// Bodies of readiness, address and metrics requests are empty.
constexpr byte_count max_small_body{64 * 1024};

std::size_t connections_for(std::size_t parts)
{
    return std::max(min_connections, descriptor_limit() / parts);
}

} // namespace

caller_protection::caller_protection(
    byte_count memory, net::http_server& front_server,
    const std::vector<net::http_server*>& small_servers,
    metrics::registry& node_metrics)
    : memory_limit(memory), front(front_server), metrics(node_metrics)
{
    this->front.on_refusal(
        [this](net::caller_refusal reason)
        {
            this->metrics.count("parsleytrack_bodies_refused_total",
                                {{"reason", std::string(to_string(reason))}});
        });
    // Until the first configuration, every request is refused.
    net::connection_limits initial = this->front.limits();
    initial.max_connections = connections_for(front_parts);
    this->front.set_limits(initial);
    for (net::http_server* const server : small_servers)
    {
        net::connection_limits limits = server->limits();
        limits.max_body = max_small_body;
        limits.max_connections = connections_for(small_parts);
        server->set_limits(limits);
    }
}

void caller_protection::apply(const routing::caller_limits& limits)
{
    this->front.set_limits(net::connection_limits{
        limits.header, limits.header_timeout, limits.idle_timeout, limits.body,
        connections_for(front_parts)});
    this->budget =
        net::body_budget::limits_for(this->memory_limit, limits.body);
    this->front.set_body_budget(this->budget);
}

void caller_protection::update_gauges() const
{
    const auto set = [this](const char* state, double bytes)
    {
        this->metrics.set_gauge("parsleytrack_body_budget_bytes",
                                {{"state", state}}, bytes);
    };
    set("limit", static_cast<double>(this->budget.total.count()));
    set("used", static_cast<double>(this->front.buffered_bytes()));
}

} // namespace parsleytrack::relay
