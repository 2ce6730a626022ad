#pragma once

#include "cli/node_response.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "units/endpoint.hpp"
#include "units/result.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::cli
{

/// Sends requests to the nodes of a fleet, trying them in order until one can
/// be reached.
class node_client
{
public:
    /// \param nodes The HTTP addresses to try, in order.
    /// \param timeout Longest wait for the head of a response, and between
    /// pieces of its body.
    node_client(std::vector<endpoint> nodes, duration timeout);

    /// Sends a request and waits for the complete response.
    ///
    /// \returns The response, or error_code::peer_unreachable when no node
    /// could be reached. A request that may have been executed before its
    /// connection was lost is sent to the next node only when it is a GET or
    /// carries an idempotency key.
    result<node_response> send_request(const net::http_request& request);

    /// Sends a request to a given node, at the port of the first address.
    ///
    /// \param host The node's IP address.
    /// \returns The response, or the error that prevented one.
    result<node_response> send_to_host(const std::string& host,
                                       const net::http_request& request);

    /// Sends a GET and passes on the body of a successful response in pieces.
    /// After the first piece no other node is tried.
    ///
    /// \param target Path and query.
    /// \param on_piece Called with each piece.
    /// \returns As send_request(); the body is empty on success.
    result<node_response>
    download(const std::string& target,
             const std::function<void(std::string_view)>& on_piece);

private:
    using piece_callback = std::function<void(std::string_view)>;

    result<node_response> send_to_node(const endpoint& node,
                                       const net::http_request& request,
                                       const piece_callback& on_piece);

    net::event_loop loop;
    net::http_client client{this->loop};
    std::vector<endpoint> addresses;
    duration response_timeout;
};

} // namespace parsleytrack::cli
