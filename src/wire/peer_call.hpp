#pragma once

#include <functional>
#include <utility>

namespace parsleytrack::wire
{

/// A call to another node in progress. Destroying it cancels the call; no
/// further callback is called.
class peer_call
{
public:
    /// \param on_cancel Called once when the call is destroyed.
    explicit peer_call(std::function<void()> on_cancel)
        : cancel_callback(std::move(on_cancel))
    {
    }
    ~peer_call() { this->cancel_callback(); }
    peer_call(const peer_call&) = delete;
    peer_call& operator=(const peer_call&) = delete;

private:
    std::function<void()> cancel_callback;
};

} // namespace parsleytrack::wire
