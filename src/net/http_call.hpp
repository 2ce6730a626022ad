#pragma once

#include "units/time.hpp"

#include <cstdint>
#include <functional>

namespace parsleytrack::net
{

/// Which connection a request was sent on.
struct connection_use
{
    /// Number of the connection in this process; 0 if it is not known.
    std::uint64_t connection = 0;
    /// Number of requests that were sent on it before.
    std::uint64_t earlier_requests = 0;
    /// When the connection was opened.
    time_point opened_at = {};
};

/// A request in progress. Destroying it cancels the request: the connection is
/// closed and no further callback is called.
class http_call
{
public:
    /// \param on_cancel Called once when the call is destroyed.
    /// \param use The connection that carries the request, if it is known.
    explicit http_call(std::function<void()> on_cancel, connection_use use = {})
        : cancel_callback(std::move(on_cancel)), link(use)
    {
    }
    ~http_call() { this->cancel_callback(); }
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    connection_use connection() const { return this->link; }

private:
    std::function<void()> cancel_callback;
    connection_use link;
};

} // namespace parsleytrack::net
