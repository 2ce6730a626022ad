#include "backends/completion_request.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace parsleytrack::backends
{

namespace
{

constexpr std::size_t block_bytes = 64;
using json = nlohmann::json;

error bad_request(const std::string& message)
{
    return error{error_code::bad_request, message, ran_state::no, {}};
}

std::string text_of(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// \returns The prompt; empty when there is none.
std::string prompt_of(const json& document)
{
    std::string prompt;
    const auto messages = document.find("messages");
    if (messages == document.end())
    {
        const auto text = document.find("prompt");
        return text == document.end() ? prompt : text_of(*text);
    }
    for (const json& message : *messages)
    {
        prompt += text_of(message.value("role", json("user"))) + ":" +
                  text_of(message.value("content", json(""))) + "\n";
    }
    return prompt;
}

/// \returns What is wrong with the messages; empty when nothing is.
std::string check_prompt(const json& document)
{
    const auto messages = document.find("messages");
    if (messages == document.end())
    {
        return document.contains("prompt")
                   ? ""
                   : "the body has neither \"messages\" nor \"prompt\"";
    }
    if (!messages->is_array() || messages->empty())
    {
        return "\"messages\" is not a list with at least one message";
    }
    for (const json& message : *messages)
    {
        if (!message.is_object())
        {
            return "a message in \"messages\" is not an object";
        }
    }
    return "";
}

} // namespace

result<completion_request> parse_completion(std::string_view body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        return bad_request("the body is not a JSON object");
    }
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string())
    {
        return bad_request("\"model\" is missing or not a string");
    }
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean())
    {
        return bad_request("\"stream\" is neither true nor false");
    }
    const std::string problem = check_prompt(document);
    if (!problem.empty())
    {
        return bad_request(problem);
    }
    completion_request request;
    request.model = model->get<std::string>();
    request.stream = stream != document.end() && stream->get<bool>();
    request.prefix_hashes = prefix_hashes_of(prompt_of(document));
    return request;
}

std::string with_resume(std::string_view body, const std::string& resume_text)
{
    json document = json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        return std::string(body);
    }
    document["stream"] = true;
    if (!resume_text.empty())
    {
        document["resume_text"] = resume_text;
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<std::uint64_t> prefix_hashes_of(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t start = 0; start + block_bytes <= prompt.size();
         start += block_bytes)
    {
        previous = XXH64(prompt.data() + start, block_bytes, previous);
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace parsleytrack::backends
