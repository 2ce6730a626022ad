#pragma once

#include "net/http_header_list.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleytrack
{

/// One attempt at an online request, on its way from the entry node to the
/// gate of a replica.
struct forward_request
{
    /// Names the attempt at the backend server.
    request_id id;
    service_name service;
    replica_id replica;
    workspace_name workspace;
    std::string method;
    /// Path and query at the backend server.
    std::string target;
    net::http_header_list headers;
    std::string body;
    duration time_left = duration::zero();
    attempt_number attempt{1};
    /// A failed connect must prove that nothing was sent.
    bool send_once = false;
    /// Whether the answer comes piece by piece. Its first piece is due within
    /// time_left, a whole answer its end.
    bool stream = false;
    /// To be refused rather than queued: another replica may be free.
    bool may_pass_back = false;
    std::vector<std::uint64_t> prefix_hashes;
};

} // namespace parsleytrack
