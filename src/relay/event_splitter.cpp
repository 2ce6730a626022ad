#include "relay/event_splitter.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

constexpr std::string_view event_end = "\n\n";

/// \returns The value after "name:" and an optional space, if the line is such
/// a field.
std::optional<std::string_view> field_value(std::string_view line,
                                            std::string_view name)
{
    if (line.size() <= name.size() || line.substr(0, name.size()) != name ||
        line[name.size()] != ':')
    {
        return std::nullopt;
    }
    line.remove_prefix(name.size() + 1);
    if (!line.empty() && line.front() == ' ')
    {
        line.remove_prefix(1);
    }
    return line;
}

/// \returns Whether event streams define a field of this name.
bool is_event_field(std::string_view name)
{
    constexpr std::array<std::string_view, 4> names = {"data", "event", "id",
                                                       "retry"};
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// \returns Whether the line may stand in an event: a comment or a field, whose
/// name has only characters of fields and of lowercase header names.
bool is_field(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos)
    {
        return is_event_field(name);
    }
    return std::all_of(name.begin(), name.end(),
                       [](char letter)
                       {
                           return (letter >= 'a' && letter <= 'z') ||
                                  (letter >= '0' && letter <= '9') ||
                                  letter == '-';
                       });
}

stream_event parse_event(std::string raw)
{
    stream_event event;
    bool has_field = false;
    bool is_comment = true;
    std::string_view rest = raw;
    while (!rest.empty())
    {
        const std::size_t end = rest.find('\n');
        const std::string_view line = rest.substr(0, end);
        rest.remove_prefix(end == std::string_view::npos ? rest.size()
                                                         : end + 1);
        event.is_sound = event.is_sound && (line.empty() || is_field(line));
        is_comment = is_comment && (line.empty() || line.front() == ':');
        has_field = has_field || is_event_field(line.substr(0, line.find(':')));
        if (const auto data = field_value(line, "data"))
        {
            event.data += event.has_data ? "\n" : "";
            event.data += *data;
            event.has_data = true;
        }
        else if (const auto id = field_value(line, "id"))
        {
            std::int64_t number = 0;
            const auto parsed =
                std::from_chars(id->data(), id->data() + id->size(), number);
            if (parsed.ec == std::errc())
            {
                event.number = number;
            }
        }
    }
    event.is_sound = event.is_sound && (has_field || is_comment);
    event.raw = std::move(raw);
    return event;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view chunk)
{
    // The blank line that ends an event may be split between two chunks.
    const std::size_t search_from =
        this->pending.empty() ? 0 : this->pending.size() - 1;
    this->pending += chunk;
    std::vector<stream_event> events;
    std::size_t begin = 0;
    std::size_t end = this->pending.find(event_end, search_from);
    while (end != std::string::npos)
    {
        end += event_end.size();
        events.push_back(parse_event(this->pending.substr(begin, end - begin)));
        begin = end;
        end = this->pending.find(event_end, begin);
    }
    this->pending.erase(0, begin);
    return events;
}

} // namespace parsleytrack::relay
