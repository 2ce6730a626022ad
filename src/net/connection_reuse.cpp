#include "net/connection_reuse.hpp"

#include <strings.h>

#include <algorithm>
#include <string_view>

namespace parsleytrack::net::detail
{

namespace
{

/// \returns Whether a list of tokens contains one, whatever its case.
bool has_token(std::string_view list, std::string_view token)
{
    constexpr const char* separators = ", \t";
    std::size_t begin = list.find_first_not_of(separators);
    while (begin != std::string_view::npos)
    {
        const std::size_t end =
            std::min(list.find_first_of(separators, begin), list.size());
        if (end - begin == token.size() &&
            strncasecmp(list.data() + begin, token.data(), token.size()) == 0)
        {
            return true;
        }
        begin = list.find_first_not_of(separators, end);
    }
    return false;
}

bool connection_field_has(const http_header_list& headers,
                          std::string_view token)
{
    return std::any_of(headers.begin(), headers.end(),
                       [token](const auto& field)
                       {
                           return strcasecmp(field.first.c_str(),
                                             "Connection") == 0 &&
                                  has_token(field.second, token);
                       });
}

} // namespace

bool allows_reuse(int major, int minor, const http_header_list& headers)
{
    // Before HTTP/1.1 a connection ends with its response unless that says
    // otherwise.
    const bool is_older = major < 1 || (major == 1 && minor < 1);
    return !connection_field_has(headers, "close") &&
           (!is_older || connection_field_has(headers, "keep-alive"));
}

} // namespace parsleytrack::net::detail
