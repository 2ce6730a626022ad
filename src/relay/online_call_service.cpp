// Which service a request is sent to while its route changes.

#include "logging/log.hpp"
#include "relay/online_call.hpp"
#include "routing/service_choice.hpp"

#include <string>

namespace parsleytrack::relay
{

const routing::route* online_call::current_route() const
{
    const auto table = this->context.configuration.current();
    if (table == this->request.table)
    {
        return this->request.route;
    }
    const net::http_request_head& head = this->exchange->head();
    const std::string* host = net::find_header(head.headers, "Host");
    const routing::route* route =
        host == nullptr ? nullptr : table->find(*host, head.path);
    const bool fits =
        route != nullptr && route->kind == this->request.route->kind;
    return fits ? route : nullptr;
}

bool online_call::follow_route()
{
    const routing::route* route = this->current_route();
    const routing::replica_registry& replicas =
        this->context.replicas.registry();
    if (this->version)
    {
        // No other service may go on with a stream.
        if (route != nullptr &&
            routing::includes_service(*route, this->service))
        {
            return true;
        }
    }
    else if (route != nullptr)
    {
        if (!routing::keeps_service(*route, this->service, replicas))
        {
            const service_name before = this->service;
            this->service =
                routing::draw_service(*route, replicas, this->context.random);
            log_event(log_level::info, "request_assigned_anew",
                      {{"request", this->request.id.str()},
                       {"service", this->service.str()},
                       {"before", before.str()}});
        }
        return true;
    }
    if (replicas.has_usable(this->service))
    {
        return true;
    }
    this->fail(
        error{route == nullptr ? error_code::not_found : error_code::no_replica,
              "the route has left service " + this->service.str() +
                  ", which has no replica",
              ran_state::no,
              {}});
    return false;
}

void online_call::review_service()
{
    if (this->ended || this->attempt || !this->lease)
    {
        return;
    }
    const service_name before = this->service;
    if (this->follow_route() && this->service != before)
    {
        this->lease.reset();
        this->request_slot();
    }
}

} // namespace parsleytrack::relay
