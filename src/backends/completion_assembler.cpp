#include "backends/completion_assembler.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace parsleytrack::backends
{

completion_assembler::completion_assembler(std::string generated_so_far,
                                           bool is_chat)
    : generated(std::move(generated_so_far)), chat(is_chat),
      reader([this](const stream_event& event) { this->take(event); })
{
}

void completion_assembler::begin_stream()
{
    this->reader = event_stream_reader([this](const stream_event& event)
                                       { this->take(event); });
}

bool completion_assembler::feed(std::string_view piece)
{
    return this->reader.feed(piece);
}

void completion_assembler::take(const stream_event& event)
{
    this->generated += event.text;
    if (!event.usage.empty())
    {
        this->usage = event.usage;
    }
    if (event.done && this->finish_reason.empty())
    {
        this->finish_reason = "stop";
    }
    if (!event.finish_reason.empty())
    {
        this->finish_reason = event.finish_reason;
    }
}

std::string completion_assembler::answer(const std::string& model) const
{
    using json = nlohmann::json;
    json choice{{"index", 0}, {"finish_reason", this->finish_reason}};
    if (this->chat)
    {
        choice["message"] = {{"role", "assistant"},
                             {"content", this->generated}};
    }
    else
    {
        choice["text"] = this->generated;
    }
    json document{
        {"object", this->chat ? "chat.completion" : "text_completion"},
        {"model", model},
        {"choices", json::array({choice})}};
    const json counted = json::parse(this->usage, nullptr, false);
    if (counted.is_object())
    {
        document["usage"] = counted;
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace parsleytrack::backends
