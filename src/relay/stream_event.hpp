#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace parsleytrack::relay
{

/// One event of a streamed response.
struct stream_event
{
    /// As received, with the blank line that ends it.
    std::string raw;
    /// Its number within the stream, if it has one.
    std::optional<std::int64_t> number;
    /// Its data lines, joined by line feeds.
    std::string data;
    bool has_data = false;
    /// Whether it consists of fields and comments only.
    bool is_sound = true;
};

} // namespace parsleytrack::relay
