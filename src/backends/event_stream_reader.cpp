#include "backends/event_stream_reader.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace parsleytrack::backends
{

namespace
{

constexpr std::size_t max_event_bytes = 1024 * 1024;
constexpr std::string_view data_field = "data:";
constexpr std::string_view done_mark = "[DONE]";
using json = nlohmann::json;

std::string_view data_of(std::string_view raw)
{
    const std::size_t start = raw.find(data_field);
    if (start == std::string_view::npos)
    {
        return {};
    }
    std::string_view data = raw.substr(start + data_field.size());
    data = data.substr(0, data.find_first_of("\r\n"));
    while (!data.empty() && data.front() == ' ')
    {
        data.remove_prefix(1);
    }
    return data;
}

std::string string_field(const json& object, const char* name)
{
    const auto field = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && field != object.end() && field->is_string()
               ? field->get<std::string>()
               : "";
}

void read_choice(const json& choice, stream_event& event)
{
    if (!choice.is_object())
    {
        return;
    }
    event.finish_reason = string_field(choice, "finish_reason");
    event.text = string_field(choice, "text");
    const auto delta = choice.find("delta");
    if (delta != choice.end())
    {
        event.text += string_field(*delta, "content");
    }
}

stream_event parse_event(std::string raw)
{
    stream_event event;
    event.raw = std::move(raw);
    const std::string_view data = data_of(event.raw);
    if (data == done_mark)
    {
        event.done = true;
        return event;
    }
    const json document = json::parse(data, nullptr, false);
    if (!document.is_object())
    {
        return event;
    }
    const auto usage = document.find("usage");
    if (usage != document.end() && usage->is_object())
    {
        event.usage = usage->dump();
    }
    const auto choices = document.find("choices");
    if (choices != document.end() && choices->is_array() && !choices->empty())
    {
        read_choice(choices->front(), event);
    }
    return event;
}

} // namespace

event_stream_reader::event_stream_reader(
    std::function<void(const stream_event&)> callback)
    : on_event(std::move(callback))
{
}

bool event_stream_reader::feed(std::string_view piece)
{
    this->pending.append(piece);
    for (;;)
    {
        std::size_t separator_bytes = 2;
        std::size_t end = this->pending.find("\n\n");
        const std::size_t crlf_end = this->pending.find("\r\n\r\n");
        if (crlf_end < end)
        {
            end = crlf_end;
            separator_bytes = 4;
        }
        if (end == std::string::npos)
        {
            return this->pending.size() <= max_event_bytes;
        }
        const stream_event event =
            parse_event(this->pending.substr(0, end + separator_bytes));
        this->pending.erase(0, end + separator_bytes);
        this->on_event(event);
    }
}

} // namespace parsleytrack::backends
