#pragma once

#include "net/event_loop.hpp"
#include "net/http_call.hpp"
#include "net/http_request.hpp"
#include "net/http_response.hpp"
#include "units/endpoint.hpp"
#include "units/result.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace parsleytrack::net
{

namespace detail
{
class http_connection;
class http_transfer;
} // namespace detail

/// An HTTP/1.1 client on the event loop. It never retries a request.
class http_client
{
public:
    /// Callbacks for one request.
    struct callbacks
    {
        /// Called with status and header fields, before the first piece of the
        /// body. Optional.
        std::function<void(const http_response&)> on_head;
        /// Called with each piece of the body. If not set, the body is
        /// collected in the response.
        std::function<void(std::string_view)> on_piece;
        /// Called once at the end with the response or an error. The `ran` of
        /// an error is ran_state::no only if the connection could not be
        /// opened.
        std::function<void(result<http_response>)> on_end;
    };

    explicit http_client(event_loop& event_loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request. No callback is called before send() has returned.
    ///
    /// \param target The server's address.
    /// \returns The call; destroying it cancels the request.
    [[nodiscard]] std::unique_ptr<http_call>
    send(const endpoint& target, const http_request& request, callbacks hooks);

    /// \returns Whether an idle connection to the server is open that was
    /// opened before \p when.
    bool has_idle_connection(const endpoint& target, time_point when) const;

    /// For transfers only. Keeps an idle connection for reuse.
    void return_connection(const endpoint& target,
                           std::unique_ptr<detail::http_connection> connection);
    /// For transfers only. Closes all idle connections to a server that did not
    /// respond to a request: what made that connection silent, such as a
    /// restarted device on the path, affects the others as well.
    void close_idle_connections(const endpoint& target);
    event_loop& loop() { return this->loop_handle; }

private:
    std::unique_ptr<detail::http_connection>
    acquire_connection(const endpoint& target, const http_request& request);

    event_loop& loop_handle;
    std::uint64_t next_connection = 1;
    std::map<endpoint, std::vector<std::unique_ptr<detail::http_connection>>>
        idle;
};

} // namespace parsleytrack::net
