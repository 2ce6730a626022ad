#include "daemon/address_module.hpp"

#include "net/error_response.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <string>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr const char* load_topic = "load";
constexpr duration load_interval = std::chrono::seconds(1);
/// A smaller change of the load is not worth telling.
constexpr int least_load_change = 4;
constexpr duration retry_interval = std::chrono::seconds(1);

int parse_load(const std::string& text)
{
    int load = 0;
    std::from_chars(text.data(), text.data() + text.size(), load);
    return std::max(0, load);
}

std::string query_field(const net::http_request_head& head, const char* name)
{
    const auto found = head.query.find(name);
    return found == head.query.end() ? std::string() : found->second;
}

std::string addresses_body(const std::vector<node_info>& nodes,
                           duration validity)
{
    nlohmann::json list = nlohmann::json::array();
    for (const node_info& node : nodes)
    {
        list.push_back({{"host", node.http.host},
                        {"port", node.http.port},
                        {"availability_zone", node.availability_zone.str()}});
    }
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(validity).count();
    return nlohmann::json{{"addresses", list}, {"valid_for_s", seconds}}.dump();
}

} // namespace

address_module::address_module(node_context& node,
                               const net::http_server& http_server)
    : context(node), server(http_server)
{
    this->context.router.add(
        "GET", "/v1/addresses",
        [this](const std::shared_ptr<net::http_exchange>& exchange)
        { this->answer(exchange); });
    this->load_timer = this->context.loop.call_every(load_interval, [this]
                                                     { this->publish_load(); });
}

void address_module::drain(std::function<void()> done)
{
    this->context.loop.post(std::move(done));
}

void address_module::answer(const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto& settings = this->context.settings;
    const std::string service = query_field(exchange->head(), "service");
    if (service.empty())
    {
        this->refuse(exchange, error{error_code::bad_request,
                                     "the query must name a service",
                                     ran_state::no,
                                     {}});
        return;
    }
    if (!this->knows_service(service))
    {
        this->refuse(exchange, error{error_code::unknown_service,
                                     "there is no service \"" + service + "\"",
                                     ran_state::no,
                                     {}});
        return;
    }
    availability_zone_name zone(
        query_field(exchange->head(), "availability_zone"));
    if (zone.empty())
    {
        zone = settings.availability_zone;
    }
    const auto nodes =
        this->picker.pick(this->candidates(), zone, this->context.random);
    if (nodes.empty())
    {
        this->refuse(exchange, error{error_code::peer_unreachable,
                                     "no entry node is known to be alive",
                                     ran_state::no, retry_interval});
        return;
    }
    this->context.metrics.count("parsleytrack_address_answers_total", {});
    exchange->respond_json(200,
                           addresses_body(nodes, settings.address_validity));
}

bool address_module::knows_service(const std::string& name) const
{
    const auto& services = this->context.settings.services;
    return std::any_of(services.begin(), services.end(),
                       [&name](const auto& service)
                       { return service.name.str() == name; });
}

std::vector<address_candidate> address_module::candidates() const
{
    const auto& loads = this->context.board.latest(load_topic);
    std::vector<address_candidate> list;
    for (const auto& [id, node] : this->context.fleet.nodes())
    {
        address_candidate candidate;
        candidate.node = node;
        const auto load = loads.find(id);
        if (load != loads.end())
        {
            candidate.load = parse_load(load->second.value);
        }
        list.push_back(std::move(candidate));
    }
    return list;
}

void address_module::publish_load()
{
    const int load = static_cast<int>(this->server.open_requests());
    const int change = std::abs(load - this->published_load);
    if (change < least_load_change || 4 * change < this->published_load)
    {
        return;
    }
    this->published_load = load;
    this->context.board.publish(load_topic, std::to_string(load));
}

void address_module::refuse(const std::shared_ptr<net::http_exchange>& exchange,
                            const error& reason)
{
    this->context.metrics.count(
        "parsleytrack_address_refusals_total",
        {{"reason", std::string(to_string(reason.code))}});
    respond_error(*exchange, reason);
}

} // namespace parsleytrack
