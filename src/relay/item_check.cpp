#include "relay/item_check.hpp"

#include "net/http_syntax.hpp"
#include "relay/hop_headers.hpp"

#include <strings.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace parsleytrack::relay
{

namespace
{

bool is_same_name(const std::string& left, const std::string& right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

/// \returns Whether the node sets this field of an item's request.
bool is_set_by_node(const std::string& field, const header_names& names)
{
    const std::array<std::string, 4> fields = {
        "Host", names.request_id, names.resume_after, names.expected_replica};
    return std::any_of(fields.begin(), fields.end(),
                       [&field](const std::string& name)
                       { return is_same_name(name, field); });
}

/// \returns Whether a replica receives the id as it is.
bool is_id(const std::string& text)
{
    constexpr std::string_view blanks = " \t";
    return !text.empty() && net::is_field_value(text) &&
           blanks.find(text.front()) == std::string_view::npos &&
           blanks.find(text.back()) == std::string_view::npos;
}

error refusal(const std::string& message)
{
    return error{error_code::bad_request, message, ran_state::no, {}};
}

} // namespace

std::optional<error> check_item(const jobs::job_item& item,
                                const header_names& names)
{
    if (!is_id(item.id))
    {
        return refusal("the id of an item is empty, has blanks around it or "
                       "contains characters that a header field cannot have");
    }
    if (!net::is_request_target(item.target))
    {
        return refusal("the path of item " + item.id +
                       " does not begin with a slash or contains characters "
                       "that a request line cannot have");
    }
    for (const auto& [name, value] : item.headers)
    {
        if (!net::is_field_name(name) || !net::is_field_value(value))
        {
            return refusal("a header field of item " + item.id +
                           " contains characters that it cannot have");
        }
        const bool repeats_id =
            is_same_name(name, names.request_id) && value == item.id;
        if (is_set_by_node(name, names) && !repeats_id)
        {
            return refusal("item " + item.id + " must not name the field " +
                           name);
        }
    }
    return std::nullopt;
}

std::optional<error> check_items(const std::vector<jobs::job_item>& items,
                                 const header_names& names)
{
    for (const jobs::job_item& item : items)
    {
        if (auto problem = check_item(item, names))
        {
            return problem;
        }
    }
    return std::nullopt;
}

net::http_header_list item_headers(const jobs::job_item& item,
                                   const header_names& names)
{
    net::http_header_list kept = end_to_end_headers(item.headers);
    std::erase_if(kept, [&names](const auto& field)
                  { return is_set_by_node(field.first, names); });
    return kept;
}

} // namespace parsleytrack::relay
