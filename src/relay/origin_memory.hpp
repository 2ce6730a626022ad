#pragma once

#include "relay/stream_origin.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

/// Remembers what began recent streams, by the caller's attempt that brought
/// the first event.
class origin_memory
{
public:
    struct entry
    {
        request_id request;
        stream_origin origin;
        /// When the stream can no longer be taken up.
        time_point until;
    };

    /// \param max_streams The oldest entries beyond this number are forgotten.
    explicit origin_memory(std::size_t max_streams) : max_size(max_streams) {}

    /// Adds or replaces an entry.
    void record(const entry& added, time_point now);

    std::optional<stream_origin> find(const request_id& request,
                                      time_point now) const;

    /// \returns All entries that are still valid.
    std::vector<entry> all(time_point now) const;

    std::size_t size() const { return this->entries.size(); }

private:
    struct known_origin
    {
        stream_origin origin;
        time_point until;
    };

    std::size_t max_size;
    std::unordered_map<request_id, known_origin> entries;
    /// In the order of their recording, possibly replaced meanwhile.
    std::deque<std::pair<time_point, request_id>> order;
};

} // namespace parsleytrack::relay
