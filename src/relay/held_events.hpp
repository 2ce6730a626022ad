#pragma once

#include "net/http_client.hpp"
#include "relay/event_sequence.hpp"

#include <optional>
#include <string>

namespace parsleytrack::relay
{

/// Events of an attempt that the caller does not get before it is certain that
/// they are of the version that began the stream.
struct held_events
{
    /// A response that has ended as a whole.
    struct whole_response
    {
        net::http_response response;
        std::string reason;
    };

    std::string bytes;
    /// The sequence without these events.
    event_sequence before;
    std::optional<whole_response> end;
};

} // namespace parsleytrack::relay
