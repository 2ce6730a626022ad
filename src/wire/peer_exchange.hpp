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

/// The answering side of one call from another node. Kept alive by whoever is
/// going to answer; all calls are harmless once the caller has gone away.
class peer_exchange
{
public:
    peer_exchange(std::weak_ptr<detail::peer_connection> link, std::int64_t id,
                  std::string request_payload);

    /// \returns The request's bytes.
    const std::string& request() const { return this->payload; }

    /// Sends one piece of the answer.
    void send_part(std::string_view part);

    /// Sends the last piece of the answer.
    void finish(std::string_view last);

    /// Answers with an error.
    void fail(const error& reason);

    /// \returns Whether the caller still waits.
    bool is_open() const { return !this->ended; }

    /// \returns Bytes on the way to the caller that it has not taken yet.
    std::size_t pending_output_bytes() const;

    /// \param callback Called once when the caller cancels or goes away.
    void on_cancelled(std::function<void()> callback);

    /// Called by the connection only.
    void handle_cancel();

private:
    std::weak_ptr<detail::peer_connection> connection;
    std::int64_t call_id;
    std::string payload;
    std::function<void()> cancel_callback;
    bool ended = false;
};

} // namespace parsleytrack::wire
