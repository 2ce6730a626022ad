#include "net/http_header_list.hpp"

#include <strings.h>

namespace parsleytrack::net
{

const std::string* find_header(const http_header_list& headers,
                               const char* name)
{
    for (const auto& [key, value] : headers)
    {
        if (strcasecmp(key.c_str(), name) == 0)
        {
            return &value;
        }
    }
    return nullptr;
}

} // namespace parsleytrack::net
