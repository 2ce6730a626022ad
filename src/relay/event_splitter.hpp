#pragma once

#include "relay/stream_event.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::relay
{

/// Cuts a streamed answer into whole events.
class event_splitter
{
public:
    /// Largest event that is taken; a longer one shows a faulty replica.
    static constexpr std::size_t max_event_bytes = 1024 * 1024;

    /// \param piece What follows what was fed before.
    /// \returns The events that are complete now.
    std::vector<stream_event> feed(std::string_view chunk);

    /// The same, without the events that came before.
    ///
    /// \param last_event Number of the last event that is known; goes up with
    /// those that are returned.
    std::vector<stream_event> feed_new(std::string_view chunk,
                                       std::int64_t& last_event);

    /// \returns Whether part of an event has been fed without its end.
    bool has_partial_event() const { return !this->pending.empty(); }

    /// \returns Whether the partial event has become too long.
    bool is_too_long() const { return this->pending.size() > max_event_bytes; }

private:
    std::string pending;
};

} // namespace parsleytrack::relay
