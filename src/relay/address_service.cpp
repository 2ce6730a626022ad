#include "relay/address_service.hpp"

#include "logging/log.hpp"
#include "relay/refusal.hpp"

#include <algorithm>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

/// Most addresses that callers take from one answer.
constexpr std::size_t max_addresses = 64;

} // namespace

address_service::address_service(const relay_context& node) : context(node) {}

void address_service::answer(
    const std::shared_ptr<net::http_exchange>& exchange,
    const address_question& question)
{
    std::vector<node_info> nodes = this->context.group.live_nodes();
    std::erase_if(nodes, [](const node_info& node) { return !node.entry; });
    std::shuffle(nodes.begin(), nodes.end(), this->context.random);
    std::stable_partition(
        nodes.begin(), nodes.end(),
        [&question](const node_info& node)
        { return node.availability_zone == question.availability_zone; });
    nodes.resize(std::min(nodes.size(), max_addresses));
    if (nodes.empty())
    {
        refuse(*exchange, error{error_code::no_replica, "no node takes callers",
                                ran_state::no, std::chrono::seconds(1)});
        return;
    }
    address_answer answer;
    answer.validity = this->context.settings.address_validity;
    for (const node_info& node : nodes)
    {
        answer.addresses.push_back(node.http);
    }
    log_event(log_level::debug, "addresses_given",
              {{"host", question.host},
               {"zone", question.availability_zone.str()},
               {"count", answer.addresses.size()}});
    exchange->respond_json(
        200, this->context.adapter.format_address_response(answer));
}

} // namespace parsleytrack::relay
