#pragma once

#include "cli/load_options.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace parsleytrack::cli
{

/// Requests the addresses of a service from the fleet and caches them while
/// they are valid, as real callers do.
class address_cache
{
public:
    /// \param http_client Sends the requests.
    /// \param load Names the nodes and the service.
    /// \param first_node Index of the node to try first, modulo their number.
    address_cache(net::http_client& http_client, const load_options& load,
                  std::size_t first_node);

    /// \returns The address to send a request to now; nullopt without a valid
    /// address list.
    std::optional<endpoint> pick();

    /// Requests a new address list when a quarter of the validity remains.
    /// Must be called periodically.
    void refresh();

private:
    void handle_response(const result<net::http_response>& response);

    net::http_client& client;
    std::vector<endpoint> nodes;
    std::string target;
    std::vector<endpoint> addresses;
    time_point valid_until;
    time_point next_refresh_at;
    std::size_t next_node;
    std::unique_ptr<net::http_call> pending_call;
};

} // namespace parsleytrack::cli
