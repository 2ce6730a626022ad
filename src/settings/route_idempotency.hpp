#pragma once

#include "settings/service_settings.hpp"

#include <string>

namespace parsleytrack::settings
{

/// \param service A plain service.
/// \param method The HTTP method, in upper case.
/// \param path The request path at the service.
/// \returns Whether the call may be sent again after a failure. Where no route
/// matches, only the safe methods GET, HEAD and OPTIONS may.
bool route_is_idempotent(const service_settings& service,
                         const std::string& method, const std::string& path);

} // namespace parsleytrack::settings
