#include "cli/address_cache.hpp"

#include <nlohmann/json.hpp>

namespace parsleytrack::cli
{

namespace
{

constexpr duration request_timeout = std::chrono::seconds(2);
constexpr duration retry_interval = std::chrono::milliseconds(200);
constexpr double microseconds_per_second = 1e6;

} // namespace

address_cache::address_cache(net::http_client& http_client,
                             const load_options& load, std::size_t first_node)
    : client(http_client), nodes(load.nodes),
      target("/v1/addresses?service=" + load.service.str()),
      next_node(first_node)
{
}

std::optional<endpoint> address_cache::pick()
{
    if (this->addresses.empty() || net::event_loop::now() >= this->valid_until)
    {
        return std::nullopt;
    }
    return this->addresses.front();
}

void address_cache::refresh()
{
    const time_point now = net::event_loop::now();
    if (now < this->next_refresh_at)
    {
        return;
    }
    this->next_refresh_at = now + request_timeout + retry_interval;
    net::http_request request;
    request.target = this->target;
    request.total_timeout = request_timeout;
    net::http_client::callbacks hooks;
    hooks.on_end = [this](const result<net::http_response>& response)
    {
        this->handle_response(response);
    };
    const endpoint& node = this->nodes[this->next_node++ % this->nodes.size()];
    this->pending_call = this->client.send(node, request, std::move(hooks));
}

void address_cache::handle_response(const result<net::http_response>& response)
{
    const time_point now = net::event_loop::now();
    this->next_refresh_at = now + retry_interval;
    if (response.has_error() || response.value().status != 200)
    {
        return;
    }
    const auto body =
        nlohmann::json::parse(response.value().body, nullptr, false);
    if (!body.is_object() || !body.contains("addresses"))
    {
        return;
    }
    std::vector<endpoint> received;
    for (const auto& entry : body["addresses"])
    {
        received.push_back(endpoint{entry.value("host", ""),
                                    entry.value("port", std::uint16_t{0})});
    }
    if (received.empty())
    {
        return;
    }
    const duration validity(static_cast<std::int64_t>(
        body.value("valid_for_s", 1.0) * microseconds_per_second));
    this->addresses = std::move(received);
    this->valid_until = now + validity;
    // Refreshed early, so that sending does not have to wait for the response.
    this->next_refresh_at = now + validity * 3 / 4;
}

} // namespace parsleytrack::cli
