#pragma once

#include "relay/stream_event.hpp"

#include <cstdint>
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

    /// Like feed(), but drops numbered events that were received before.
    ///
    /// \param last_event Number of the last event received; raised to the
    /// highest number returned.
    std::vector<stream_event> feed_new(std::string_view chunk,
                                       std::int64_t& last_event);

    /// \returns Whether an incomplete event is buffered.
    bool has_partial_event() const { return !this->pending.empty(); }

    /// \returns Whether the incomplete event exceeds max_event_bytes.
    bool is_too_long() const { return this->pending.size() > max_event_bytes; }

private:
    std::string pending;
};

} // namespace parsleytrack::relay
