#pragma once

#include "backends/backend_link.hpp"
#include "backends/http_backend.hpp"

namespace parsleytrack::backends
{

/// The way to one replica of a plain service.
class service_link
{
public:
    /// A call that was sent runs to its end.
    static constexpr bool can_stop = false;

    service_link(net::http_client& client, endpoint address);

    /// Sends a call. Any status is passed on as it is, but that of a server
    /// that is leaving, which ends as error_code::no_replica.
    [[nodiscard]] std::unique_ptr<net::http_call>
    send(const backend_request& request, backend_hooks hooks);

    [[nodiscard]] std::unique_ptr<net::http_call>
    read_load(std::function<void(result<load_report>)> callback);

    /// Does nothing, since a call cannot be taken back.
    [[nodiscard]] std::unique_ptr<net::http_call>
    stop(const request_id& id, std::function<void()> stopped);

private:
    http_backend backend;
};

static_assert(backend_link<service_link>);

} // namespace parsleytrack::backends
