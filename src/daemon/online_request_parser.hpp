#pragma once

#include "daemon/online_request.hpp"
#include "decisions/catalogue_view.hpp"
#include "net/http_request_head.hpp"
#include "settings/node_settings.hpp"
#include "units/result.hpp"

namespace parsleytrack
{

/// Reads a request in the OpenAI shape.
///
/// \param head What came before the body.
/// \param body The JSON body.
/// \param node The settings.
/// \param catalogue Names the service of each model.
/// \param now The time.
/// \returns The request without an id, or why it is refused.
result<online_request>
parse_completion_call(const net::http_request_head& head, std::string body,
                      const settings::node_settings& node,
                      const catalogue_view& catalogue, time_point now);

/// Reads a call to a plain service, `/services/S/PATH`.
///
/// \returns The request without an id, or why it is refused.
result<online_request> parse_service_call(const net::http_request_head& head,
                                          std::string body,
                                          const settings::node_settings& node,
                                          time_point now);

} // namespace parsleytrack
