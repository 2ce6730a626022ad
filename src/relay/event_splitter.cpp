#include "relay/event_splitter.hpp"

#include <algorithm>
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

stream_event parse_event(std::string raw)
{
    stream_event event;
    bool has_data = false;
    std::string_view rest = raw;
    while (!rest.empty())
    {
        const std::size_t end = rest.find('\n');
        const std::string_view line = rest.substr(0, end);
        rest.remove_prefix(end == std::string_view::npos ? rest.size()
                                                         : end + 1);
        if (const auto data = field_value(line, "data"))
        {
            event.data += has_data ? "\n" : "";
            event.data += *data;
            has_data = true;
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

std::vector<stream_event> event_splitter::feed_new(std::string_view chunk,
                                                   std::int64_t& last_event)
{
    std::vector<stream_event> events = this->feed(chunk);
    std::erase_if(events,
                  [&last_event](const stream_event& event)
                  {
                      if (!event.number)
                      {
                          return false;
                      }
                      const bool is_duplicate = *event.number <= last_event;
                      last_event = std::max(last_event, *event.number);
                      return is_duplicate;
                  });
    return events;
}

} // namespace parsleytrack::relay
