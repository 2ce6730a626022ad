#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace parsleytrack::backends
{

/// One server-sent event of an engine's answer.
struct stream_event
{
    /// The event as received, with the blank line that ends it.
    std::string raw;
    /// The text that it adds to the answer.
    std::string text;
    /// Why generation has ended; empty before its end.
    std::string finish_reason;
    /// The "usage" object as JSON; empty when the event has none.
    std::string usage;
    /// Whether it is `data: [DONE]`, the end of a whole answer.
    bool done = false;
};

/// Cuts an engine's streamed answer into events.
class event_stream_reader
{
public:
    /// \param callback Gets each whole event.
    explicit event_stream_reader(
        std::function<void(const stream_event&)> callback);

    /// Takes in a piece of the answer.
    ///
    /// \returns Whether the answer is still within the bound on one event.
    bool feed(std::string_view piece);

private:
    std::function<void(const stream_event&)> on_event;
    std::string pending;
};

} // namespace parsleytrack::backends
