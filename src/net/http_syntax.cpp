#include "net/http_syntax.hpp"

#include "net/http_request.hpp"

#include <strings.h>

#include <algorithm>
#include <array>

namespace parsleytrack::net
{

namespace
{

constexpr unsigned char blank = 0x20;
constexpr unsigned char erase = 0x7f;

unsigned char code_of(char letter)
{
    return static_cast<unsigned char>(letter);
}

bool is_visible(char letter)
{
    return code_of(letter) > blank && code_of(letter) < erase;
}

} // namespace

bool is_request_target(std::string_view text)
{
    return text.starts_with('/') &&
           std::all_of(text.begin(), text.end(),
                       [](char letter) {
                           return code_of(letter) > blank &&
                                  code_of(letter) != erase;
                       });
}

bool is_field_name(std::string_view text)
{
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    return !text.empty() && std::all_of(text.begin(), text.end(),
                                        [separators](char letter)
                                        {
                                            return is_visible(letter) &&
                                                   separators.find(letter) ==
                                                       std::string_view::npos;
                                        });
}

bool is_field_value(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char letter)
                       {
                           return letter == '\t' || (code_of(letter) >= blank &&
                                                     code_of(letter) != erase);
                       });
}

bool is_framing_field(const std::string& name)
{
    return strcasecmp(name.c_str(), "Content-Length") == 0 ||
           strcasecmp(name.c_str(), "Transfer-Encoding") == 0;
}

bool is_supported_method(std::string_view method)
{
    constexpr std::array<std::string_view, 7> methods = {
        "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

const char* find_syntax_error(const http_request& request)
{
    if (!is_supported_method(request.method))
    {
        return "the method is not supported";
    }
    if (!is_request_target(request.target))
    {
        return "the path contains characters that a request line cannot have";
    }
    for (const auto& [name, value] : request.headers)
    {
        if (!is_field_name(name) || !is_field_value(value))
        {
            return "a header field contains characters that it cannot have";
        }
        if (is_framing_field(name))
        {
            return "a header field states the length of the body, which the "
                   "client does";
        }
    }
    return nullptr;
}

} // namespace parsleytrack::net
