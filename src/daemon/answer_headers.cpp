#include "daemon/answer_headers.hpp"

#include <strings.h>

#include <algorithm>
#include <iterator>

namespace parsleytrack
{

namespace
{

bool is_passed_back(const std::string& name)
{
    for (const char* other :
         {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"})
    {
        if (strcasecmp(name.c_str(), other) == 0)
        {
            return false;
        }
    }
    return true;
}

} // namespace

net::http_header_list passed_back(const net::http_header_list& headers)
{
    net::http_header_list kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                 [](const auto& field) { return is_passed_back(field.first); });
    return kept;
}

std::string content_type_of(const net::http_header_list& headers)
{
    const std::string* field = net::find_header(headers, "Content-Type");
    return field == nullptr ? "application/octet-stream" : *field;
}

} // namespace parsleytrack
