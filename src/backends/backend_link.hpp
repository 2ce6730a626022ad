#pragma once

#include "backends/backend_hooks.hpp"
#include "backends/backend_request.hpp"
#include "backends/load_report.hpp"
#include "net/http_call.hpp"

#include <concepts>
#include <functional>
#include <memory>

namespace parsleytrack::backends
{

/// A way to one backend server. Sends a request, takes one back, and reads the
/// load. Calls of the hooks come after the function has returned.
template <class Link>
concept backend_link = requires(Link link, const backend_request& request,
                                backend_hooks hooks,
                                std::function<void()> stopped,
                                std::function<void(result<load_report>)> load)
{
    {
        link.send(request, hooks)
        } -> std::same_as<std::unique_ptr<net::http_call>>;
    {
        link.read_load(load)
        } -> std::same_as<std::unique_ptr<net::http_call>>;
    {
        link.stop(request.id, stopped)
        } -> std::same_as<std::unique_ptr<net::http_call>>;
    {
        Link::can_stop
        } -> std::convertible_to<bool>;
};

} // namespace parsleytrack::backends
