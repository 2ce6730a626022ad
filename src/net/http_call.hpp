#pragma once

#include <functional>

namespace parsleytrack::net
{

/// A request in progress. Destroying it cancels the request: the connection is
/// closed and no further callback is called.
class http_call
{
public:
    /// \param on_cancel Called once when the call is destroyed.
    explicit http_call(std::function<void()> on_cancel)
        : cancel_callback(std::move(on_cancel))
    {
    }
    ~http_call() { this->cancel_callback(); }
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

private:
    std::function<void()> cancel_callback;
};

} // namespace parsleytrack::net
