#include "cli/token_stream_parser.hpp"

#include <nlohmann/json.hpp>

namespace parsleytrack::cli
{

void token_stream_parser::add(std::string_view piece, time_point now)
{
    this->buffer.append(piece);
    std::size_t start = 0;
    for (std::size_t end = this->buffer.find('\n'); end != std::string::npos;
         end = this->buffer.find('\n', start))
    {
        const std::string_view line(this->buffer);
        this->parse_line(line.substr(start, end - start), now);
        start = end + 1;
    }
    this->buffer.erase(0, start);
}

void token_stream_parser::parse_line(std::string_view line, time_point now)
{
    constexpr std::string_view prefix = "data: ";
    if (line.substr(0, prefix.size()) != prefix)
    {
        return;
    }
    const std::string_view data = line.substr(prefix.size());
    if (data.substr(0, 6) == "[DONE]")
    {
        this->complete = true;
        return;
    }
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices"))
    {
        return;
    }
    const auto& choice = event["choices"][0];
    const std::string text = choice.contains("delta")
                                 ? choice["delta"].value("content", "")
                                 : choice.value("text", "");
    if (!text.empty())
    {
        this->arrival_times.push_back(now);
    }
}

std::string refusal_reason(const std::string& body, int status)
{
    const auto response = nlohmann::json::parse(body, nullptr, false);
    if (response.is_object() && response.contains("error") &&
        response["error"].is_object())
    {
        return response["error"].value("reason",
                                       "status " + std::to_string(status));
    }
    return "status " + std::to_string(status);
}

} // namespace parsleytrack::cli
