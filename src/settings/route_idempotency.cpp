#include "settings/route_idempotency.hpp"

namespace parsleytrack::settings
{

bool route_is_idempotent(const service_settings& service,
                         const std::string& method, const std::string& path)
{
    const route_settings* best = nullptr;
    for (const route_settings& route : service.routes)
    {
        const bool matches =
            (route.method.empty() || route.method == method) &&
            path.compare(0, route.path_prefix.size(), route.path_prefix) == 0;
        if (matches && (best == nullptr ||
                        route.path_prefix.size() > best->path_prefix.size()))
        {
            best = &route;
        }
    }
    return best != nullptr
               ? best->idempotent
               : method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace parsleytrack::settings
