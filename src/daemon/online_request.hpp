#pragma once

#include "net/http_header_list.hpp"
#include "settings/service_settings.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleytrack
{

/// A caller's request, checked and ready to be sent.
struct online_request
{
    request_id id;
    workspace_name workspace;
    const settings::service_settings* service = nullptr;
    std::string method;
    /// Path and query at the backend server.
    std::string target;
    /// Fields that are passed on.
    net::http_header_list headers;
    std::string body;
    time_point deadline;
    /// Whether the caller wants server-sent events.
    bool stream = false;
    /// Whether it may be executed more than once.
    bool idempotent = true;
    /// Names a call that must not run twice; empty where the caller gave none.
    idempotency_key key;
    std::vector<std::uint64_t> prefix_hashes;
};

} // namespace parsleytrack
