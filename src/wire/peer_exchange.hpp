#pragma once

#include "units/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace parsleytrack::wire
{

namespace detail
{
class peer_connection;
}

/// The server side of one call from another node. The handler keeps it alive
/// until it has responded; all calls are no-ops once the caller is gone.
class peer_exchange
{
public:
    peer_exchange(std::weak_ptr<detail::peer_connection> link, std::int64_t id,
                  std::string request_payload);

    /// \returns The request's payload.
    const std::string& request() const { return this->payload; }

    /// Sends one part of the response.
    void send_part(std::string_view part);

    /// Sends the last part of the response.
    void finish(std::string_view last);

    /// Ends the response with an error.
    void fail(const error& reason);

    /// \returns Whether the caller still awaits the response.
    bool is_open() const { return !this->ended; }

    /// \returns Bytes buffered on the caller's connection and not yet sent.
    std::size_t pending_output_bytes() const;

    /// \param callback Called once if the caller cancels or disconnects.
    void on_cancelled(std::function<void()> callback);

    /// For the connection only.
    void handle_cancel();

private:
    std::weak_ptr<detail::peer_connection> connection;
    std::int64_t call_id;
    std::string payload;
    std::function<void()> cancel_callback;
    bool ended = false;
};

} // namespace parsleytrack::wire
