#pragma once

#include <string>

namespace parsleytrack::settings
{

/// How calls under a path prefix of a plain service are handled.
struct route_settings
{
    /// HTTP method in upper case; empty matches every method.
    std::string method;
    /// Start of the path; the longest matching prefix applies.
    std::string path_prefix;
    /// Whether a call may be sent again after a failure.
    bool idempotent = false;
};

} // namespace parsleytrack::settings
