#include "daemon/online_request_parser.hpp"

#include "backends/completion_request.hpp"
#include "settings/route_idempotency.hpp"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr std::string_view services_prefix = "/services/";
constexpr const char* default_workspace = "default";
constexpr std::int64_t longest_deadline_ms = 24LL * 3600 * 1000;

/// Fields that belong to one connection, or to this system.
constexpr std::array<const char*, 13> not_passed_on{
    "Connection",     "Keep-Alive",    "Transfer-Encoding",
    "Content-Length", "Host",          "TE",
    "Trailer",        "Upgrade",       "Proxy-Connection",
    "Expect",         "X-Deadline-Ms", "X-Non-Idempotent",
    "X-Request-Id"};

error refusal(error_code code, const std::string& message)
{
    return error{code, message, ran_state::no, {}};
}

bool is_passed_on(const std::string& name)
{
    return std::none_of(not_passed_on.begin(), not_passed_on.end(),
                        [&name](const char* other)
                        { return strcasecmp(name.c_str(), other) == 0; });
}

const settings::service_settings*
find_service(const settings::node_settings& node, const service_name& name,
             settings::service_kind kind)
{
    for (const settings::service_settings& service : node.services)
    {
        if (service.name == name && service.kind == kind)
        {
            return &service;
        }
    }
    return nullptr;
}

result<duration> read_deadline(const net::http_request_head& head,
                               duration fallback)
{
    const std::string* field = net::find_header(head.headers, "X-Deadline-Ms");
    if (field == nullptr)
    {
        return fallback;
    }
    std::int64_t milliseconds = 0;
    const char* end = field->data() + field->size();
    const auto parsed = std::from_chars(field->data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds < 0 ||
        milliseconds > longest_deadline_ms)
    {
        return refusal(error_code::bad_request,
                       "X-Deadline-Ms is not a number of milliseconds");
    }
    return duration(std::chrono::milliseconds(milliseconds));
}

/// Reads what both kinds of request have in common.
result<bool> read_common(const net::http_request_head& head,
                         online_request& request, time_point now)
{
    const auto left = read_deadline(head, request.service->online_deadline);
    if (left.has_error())
    {
        return left.error();
    }
    if (left.value() <= duration::zero())
    {
        return refusal(error_code::deadline_exceeded,
                       "the deadline has already passed");
    }
    request.deadline = now + left.value();
    const auto text = [&head](const char* name)
    {
        const std::string* field = net::find_header(head.headers, name);
        return field == nullptr ? std::string() : *field;
    };
    const std::string workspace = text("X-Workspace");
    request.workspace =
        workspace_name(workspace.empty() ? default_workspace : workspace);
    request.key = idempotency_key(text("Idempotency-Key"));
    if (text("X-Non-Idempotent") == "true")
    {
        request.idempotent = false;
    }
    for (const auto& [name, value] : head.headers)
    {
        if (is_passed_on(name))
        {
            request.headers.emplace_back(name, value);
        }
    }
    request.method = head.method;
    return true;
}

} // namespace

result<online_request>
parse_completion_call(const net::http_request_head& head, std::string body,
                      const settings::node_settings& node,
                      const catalogue_view& catalogue, time_point now)
{
    const auto parsed = backends::parse_completion(body);
    if (parsed.has_error())
    {
        return parsed.error();
    }
    const std::string& model = parsed.value().model;
    const service_name name = catalogue.service_of(model);
    if (name.empty())
    {
        return refusal(error_code::unknown_model,
                       "no model or adapter \"" + model + "\" is in force");
    }
    online_request request;
    request.service = find_service(node, name, settings::service_kind::engine);
    if (request.service == nullptr)
    {
        return refusal(error_code::unknown_service,
                       "service \"" + name.str() + "\" of model \"" + model +
                           "\" is not in the settings");
    }
    const auto common = read_common(head, request, now);
    if (common.has_error())
    {
        return common.error();
    }
    request.target = head.path;
    request.body = std::move(body);
    request.stream = parsed.value().stream;
    request.prefix_hashes = parsed.value().prefix_hashes;
    return request;
}

result<online_request> parse_service_call(const net::http_request_head& head,
                                          std::string body,
                                          const settings::node_settings& node,
                                          time_point now)
{
    const std::string rest = head.path.substr(services_prefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const service_name name(rest.substr(0, slash));
    online_request request;
    request.service = find_service(node, name, settings::service_kind::plain);
    if (request.service == nullptr)
    {
        return refusal(error_code::unknown_service,
                       "there is no plain service \"" + name.str() + "\"");
    }
    const auto common = read_common(head, request, now);
    if (common.has_error())
    {
        return common.error();
    }
    const std::string path = slash < rest.size() ? rest.substr(slash) : "/";
    request.target = head.has_query ? path + "?" + head.raw_query : path;
    request.body = std::move(body);
    request.idempotent =
        request.idempotent &&
        settings::route_is_idempotent(*request.service, head.method, path);
    return request;
}

} // namespace parsleytrack
