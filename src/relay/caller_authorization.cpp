#include "relay/caller_authorization.hpp"

#include "relay/refusal.hpp"
#include "workspaces/caller_access.hpp"

#include <strings.h>

namespace parsleytrack::relay
{

namespace
{

/// The store confirms the configuration about every second, to this node or to
/// a source; without it, this node soon asks the store itself.
constexpr duration outdated_after = std::chrono::seconds(3);
/// Other nodes may have the current configuration.
constexpr duration retry_after_unknown = std::chrono::milliseconds(100);

workspaces::configuration_state state_of(const relay_context& context)
{
    using workspaces::configuration_state;
    const duration age = context.configuration.age();
    const auto& limit = context.settings.key_confirmation;
    if (limit && age > *limit)
    {
        return configuration_state::expired;
    }
    return age > outdated_after ? configuration_state::outdated
                                : configuration_state::confirmed;
}

} // namespace

std::optional<const workspaces::workspace*>
authorize_caller(const relay_context& context, net::http_exchange& exchange,
                 const routing::route_table& table, bool is_public)
{
    using outcome = workspaces::caller_access::outcome;
    const workspaces::workspace_directory& directory =
        table.contents().workspaces;
    if (directory.empty())
    {
        return nullptr;
    }
    const workspaces::caller_access access = workspaces::check_access(
        directory, context.adapter.parse_key(exchange.head().headers),
        is_public, state_of(context));
    if (access.result == outcome::granted)
    {
        return access.owner;
    }
    const bool is_denied = access.result == outcome::denied;
    context.metrics.count(
        "parsleytrack_requests_total",
        {{"outcome", is_denied ? "denied" : "key_unknown"}, {"kind", "none"}});
    if (is_denied)
    {
        refuse(exchange,
               error{error_code::unauthorized,
                     "the request shows no key of a workspace, or several",
                     ran_state::no,
                     {}});
        return std::nullopt;
    }
    refuse(exchange, error{error_code::store_unavailable,
                           "this node does not know which keys are valid now",
                           ran_state::no, retry_after_unknown});
    return std::nullopt;
}

void replace_key(net::http_header_list& headers, const header_names& names,
                 const workspace_name& workspace)
{
    std::erase_if(headers,
                  [&names](const auto& field)
                  {
                      const char* name = field.first.c_str();
                      return strcasecmp(name, names.key.c_str()) == 0 ||
                             strcasecmp(name, names.workspace.c_str()) == 0;
                  });
    if (!workspace.empty())
    {
        headers.emplace_back(names.workspace, workspace.str());
    }
}

} // namespace parsleytrack::relay
