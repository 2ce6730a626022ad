#pragma once

#include "net/http_header_list.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <string>

namespace parsleytrack::backends
{

/// One request to a backend server.
struct backend_request
{
    /// Names the attempt, so that it can be cancelled.
    request_id id;
    std::string method = "POST";
    /// Path and query, percent-encoded.
    std::string target;
    net::http_header_list headers;
    std::string body;
    /// Longest time until the answer is complete.
    duration total_timeout = duration::zero();
    /// Longest time until the head of the answer; zero means "no limit".
    duration head_timeout = duration::zero();
    /// Longest time between two pieces of the answer; zero means "no limit".
    duration idle_timeout = duration::zero();
    /// A failed connect must prove that nothing was sent.
    bool send_once = false;
};

} // namespace parsleytrack::backends
