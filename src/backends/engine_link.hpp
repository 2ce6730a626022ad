#pragma once

#include "backends/backend_link.hpp"
#include "backends/http_backend.hpp"

namespace parsleytrack::backends
{

/// The way to one model engine.
class engine_link
{
public:
    /// Running requests can be taken back.
    static constexpr bool can_stop = true;

    engine_link(net::http_client& client, endpoint address);

    /// Sends a request. A model that is not loaded ends as
    /// error_code::unknown_model, an engine that is leaving as
    /// error_code::no_replica, any other 5xx as error_code::backend_failed.
    [[nodiscard]] std::unique_ptr<net::http_call>
    send(const backend_request& request, backend_hooks hooks);

    [[nodiscard]] std::unique_ptr<net::http_call>
    read_load(std::function<void(result<load_report>)> callback);

    /// Has the engine drop a request.
    ///
    /// \param id The request's id.
    /// \param stopped Called once its slot is free, or when the engine has not
    /// answered in time.
    [[nodiscard]] std::unique_ptr<net::http_call>
    stop(const request_id& id, std::function<void()> stopped);

private:
    http_backend backend;
};

static_assert(backend_link<engine_link>);

} // namespace parsleytrack::backends
