#pragma once

#include "net/http_exchange.hpp"
#include "relay/relay_context.hpp"
#include "routing/route_table.hpp"
#include "workspaces/workspace.hpp"

#include <optional>

namespace parsleytrack::relay
{

/// Checks the key of a caller's request, and refuses the request if the key is
/// not valid.
///
/// \param is_public Whether the request's route needs no key.
/// \returns The caller's workspace, which the table keeps, or null if the
/// request has none; absent when the request has been refused.
std::optional<const workspaces::workspace*>
authorize_caller(const relay_context& context, net::http_exchange& exchange,
                 const routing::route_table& table, bool is_public);

/// Replaces the caller's key, and whatever the caller says of its workspace, by
/// the name of the workspace.
///
/// \param headers The header fields of a request to a replica.
/// \param workspace The caller's workspace; empty if it has none.
void replace_key(net::http_header_list& headers, const header_names& names,
                 const workspace_name& workspace);

} // namespace parsleytrack::relay
