#pragma once

#include "net/http_header_list.hpp"
#include "units/numbers.hpp"
#include "units/time.hpp"

#include <optional>
#include <string>

namespace parsleytrack::net
{

/// A request for the HTTP client.
struct http_request
{
    /// One of GET, HEAD, POST, PUT, DELETE, PATCH and OPTIONS.
    std::string method = "GET";
    /// Path and query, percent-encoded.
    std::string target = "/";
    /// Fields other than Content-Length and Transfer-Encoding: the client
    /// states the length of the body.
    http_header_list headers;
    std::string body;
    /// Maximum time until the response is complete; zero means "no limit".
    duration total_timeout = duration::zero();
    /// Latest time at which the request may be written to its connection, new
    /// or idle; absent for no limit. Later it is not sent, even if this process
    /// stood still meanwhile.
    std::optional<time_point> send_by;
    /// Maximum time until the response head; zero means "no limit".
    duration head_timeout = duration::zero();
    /// Maximum time between two pieces of the response; zero means "no limit".
    duration idle_timeout = duration::zero();
    /// Maximum size of a collected response body; a larger one fails the
    /// request. Twice the store's largest response.
    byte_count max_collected_body{2 * 1024 * 1024};
    /// Whether to enable TCP keepalive, which detects an unreachable peer; for
    /// requests that wait long for data.
    bool tcp_keepalive = false;
    /// Whether an idle connection may be reused. A request that must not run
    /// twice uses a new connection, because a failed connect then proves that
    /// the request was not sent.
    bool allow_connection_reuse = true;
    /// What tells the response from those of other requests, such as an id that
    /// the server echoes. A request is not sent on a connection that has
    /// carried one with the same identity: a late second copy of that response
    /// could not be told from its own. Empty for no identity.
    std::string identity;
};

} // namespace parsleytrack::net
