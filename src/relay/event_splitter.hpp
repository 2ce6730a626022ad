#pragma once

#include "relay/stream_event.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::relay
{

/// Splits a streamed response into complete events.
class event_splitter
{
public:
    /// Largest event that is accepted; a longer one indicates a faulty replica.
    static constexpr std::size_t max_event_bytes = 1024 * 1024;

    /// \param chunk The next bytes of the stream.
    /// \returns The events that this chunk completes.
    std::vector<stream_event> feed(std::string_view chunk);

    /// \returns Whether an incomplete event is buffered.
    bool has_partial_event() const { return !this->pending.empty(); }

    /// \returns The bytes of memory that the incomplete event takes.
    std::size_t memory_bytes() const { return this->pending.capacity(); }

    /// \returns Whether the incomplete event exceeds max_event_bytes.
    bool is_too_long() const { return this->pending.size() > max_event_bytes; }

private:
    std::string pending;
};

} // namespace parsleytrack::relay
