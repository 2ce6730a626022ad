#include "net/server_request_head.hpp"

#include <event2/http.h>
#include <evhtp.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

namespace parsleytrack::net::detail
{

namespace
{

constexpr std::string_view length_field = "content-length:";

bool starts_with_field(std::string_view line, std::string_view field)
{
    return line.size() >= field.size() &&
           std::equal(field.begin(), field.end(), line.begin(),
                      [](char lower, char letter)
                      {
                          return lower == letter ||
                                 (letter >= 'A' && letter <= 'Z' &&
                                  lower == letter - 'A' + 'a');
                      });
}

std::uint64_t parse_length(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
    std::uint64_t length = 0;
    const auto outcome =
        std::from_chars(text.data(), text.data() + text.size(), length);
    return outcome.ec == std::errc::result_out_of_range
               ? std::numeric_limits<std::uint64_t>::max()
               : length;
}

int copy_header(evhtp_kv_t* field, void* argument)
{
    auto* headers = static_cast<http_header_list*>(argument);
    headers->emplace_back(std::string(field->key, field->klen),
                          std::string(field->val, field->vlen));
    return 0;
}

int copy_query_field(evhtp_kv_t* field, void* argument)
{
    auto* query = static_cast<std::map<std::string, std::string>*>(argument);
    const char* text = field->val == nullptr ? "" : field->val;
    std::size_t length = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded(
        evhttp_uridecode(text, 1, &length), &std::free);
    std::string value(decoded ? decoded.get() : "", decoded ? length : 0);
    (*query)[std::string(field->key, field->klen)] = std::move(value);
    return 0;
}

const char* method_name(htp_method method)
{
    switch (method)
    {
    case htp_method_GET:
        return "GET";
    case htp_method_HEAD:
        return "HEAD";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    case htp_method_PATCH:
        return "PATCH";
    case htp_method_OPTIONS:
        return "OPTIONS";
    default:
        return "OTHER";
    }
}

} // namespace

http_request_head read_head(evhtp_request* request, std::string_view target)
{
    http_request_head head;
    head.method = method_name(request->method);
    const evhtp_uri_t* uri = request->uri;
    if (uri != nullptr && uri->path != nullptr && uri->path->full != nullptr)
    {
        head.path = uri->path->full;
    }
    if (uri != nullptr && uri->query_raw != nullptr)
    {
        head.raw_query = reinterpret_cast<const char*>(uri->query_raw);
    }
    // libevhtp does not report a query without any character.
    head.has_query = !head.raw_query.empty() || target == head.path + "?";
    if (uri != nullptr && uri->query != nullptr)
    {
        evhtp_kvs_for_each(uri->query, copy_query_field, &head.query);
    }
    evhtp_kvs_for_each(request->headers_in, copy_header, &head.headers);
    return head;
}

std::uint64_t declared_body_bytes(std::string_view text)
{
    std::uint64_t largest = 0;
    while (!text.empty())
    {
        const std::string_view line = text.substr(0, text.find('\n'));
        if (starts_with_field(line, length_field))
        {
            largest = std::max(largest,
                               parse_length(line.substr(length_field.size())));
        }
        text.remove_prefix(std::min(line.size() + 1, text.size()));
    }
    return largest;
}

} // namespace parsleytrack::net::detail
