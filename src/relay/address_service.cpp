#include "relay/address_service.hpp"

#include "logging/log.hpp"
#include "relay/refusal.hpp"

#include <algorithm>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

/// Most addresses that callers use from one response.
constexpr std::size_t max_addresses = 64;

} // namespace

address_service::address_service(const relay_context& node) : context(node) {}

void address_service::respond(
    const std::shared_ptr<net::http_exchange>& exchange,
    const address_request& request)
{
    std::vector<node_info> nodes = this->context.group.serving_nodes();
    std::erase_if(nodes, [](const node_info& node) { return !node.entry; });
    std::shuffle(nodes.begin(), nodes.end(), this->context.random);
    std::stable_partition(
        nodes.begin(), nodes.end(),
        [&request](const node_info& node)
        { return node.availability_zone == request.availability_zone; });
    nodes.resize(std::min(nodes.size(), max_addresses));
    if (nodes.empty())
    {
        refuse(*exchange,
               error{error_code::no_replica, "no node accepts callers",
                     ran_state::no, std::chrono::seconds(1)});
        return;
    }
    address_response response;
    response.validity = this->context.settings.address_validity;
    for (const node_info& node : nodes)
    {
        response.addresses.push_back(node.http);
    }
    log_event(log_level::debug, "addresses_given",
              {{"host", request.host},
               {"zone", request.availability_zone.str()},
               {"count", response.addresses.size()}});
    exchange->respond_json(
        200, this->context.adapter.format_address_response(response));
}

} // namespace parsleytrack::relay
