#pragma once

#include "net/http_header_list.hpp"
#include "units/numbers.hpp"
#include "units/time.hpp"

#include <string>

namespace parsleytrack::net
{

/// A request that the client is to send.
struct http_request
{
    /// One of GET, HEAD, POST, PUT, DELETE, PATCH and OPTIONS.
    std::string method = "GET";
    /// Path and query, percent-encoded.
    std::string target = "/";
    http_header_list headers;
    std::string body;
    /// Longest time until the answer is complete; zero means "no limit".
    duration total_timeout = duration::zero();
    /// Longest time until a new connection is open; zero means "no limit". A
    /// request whose connection does not open in time was not sent.
    duration connect_timeout = duration::zero();
    /// Longest time until the head of the answer; zero means "no limit".
    duration head_timeout = duration::zero();
    /// Longest time between two pieces of the answer; zero means "no limit".
    duration idle_timeout = duration::zero();
    /// Longest body that is collected; an answer with more is broken off. Twice
    /// what the store returns at most.
    byte_count max_collected_body{2 * 1024 * 1024};
    /// Whether the connection is probed while nothing comes, so that one that
    /// has gone silent is noticed; for requests that wait long.
    bool tcp_keepalive = false;
    /// Whether an idle connection may carry it. A call that must not run twice
    /// takes a new connection, since then a failed connect is a proof that it
    /// was not sent.
    bool allow_connection_reuse = true;
};

} // namespace parsleytrack::net
