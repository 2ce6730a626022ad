#pragma once

#include "cli/load_options.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace parsleytrack::cli
{

/// Asks the fleet which nodes to use and keeps the answer for its validity, as
/// callers do.
class address_cache
{
public:
    /// \param http_client Sends the questions.
    /// \param load Says which nodes to ask, and for which service.
    /// \param first_node Which of the nodes is asked first.
    address_cache(net::http_client& http_client, const load_options& load,
                  std::size_t first_node);

    /// \returns Where to send a request now. The answer in hand is used until
    /// a newer one has come.
    std::optional<endpoint> pick();

    /// Asks again when the answer in hand is running out. To be called often.
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
