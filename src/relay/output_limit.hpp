#pragma once

#include "jobs/job_page.hpp"
#include "units/numbers.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

namespace parsleytrack::relay
{

/// Bounds the output of an item, so that a replica that sends events without
/// end does not fill the memory.
class output_limit
{
public:
    /// Events of a response in addition to one for each token, such as those
    /// that begin and end it.
    static constexpr std::int64_t extra_events = 64;
    /// No page of results can contain a larger output.
    static constexpr std::size_t max_bytes = jobs::max_page_bytes;

    /// \param output_tokens Most tokens of the output; absent if not known.
    explicit output_limit(std::optional<token_count> output_tokens);

    /// \param events Number of events of the output.
    /// \param bytes Size of the output.
    /// \returns Whether this cannot be the output of the item.
    bool is_exceeded_by(std::int64_t events, std::size_t bytes) const
    {
        return events > this->max_events || bytes > max_bytes;
    }

private:
    std::int64_t max_events = std::numeric_limits<std::int64_t>::max();
};

} // namespace parsleytrack::relay
