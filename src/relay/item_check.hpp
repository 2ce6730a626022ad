#pragma once

#include "jobs/job_item.hpp"
#include "net/http_header_list.hpp"
#include "relay/header_names.hpp"
#include "units/result.hpp"

#include <optional>
#include <vector>

namespace parsleytrack::relay
{

/// \returns Why an item cannot be sent to a replica as it was submitted; absent
/// if it can.
std::optional<error> check_item(const jobs::job_item& item,
                                const header_names& names);

/// \returns The first reason among the items; absent if all can be sent.
std::optional<error> check_items(const std::vector<jobs::job_item>& items,
                                 const header_names& names);

/// \returns The header fields of an item without those that the node sets.
net::http_header_list item_headers(const jobs::job_item& item,
                                   const header_names& names);

} // namespace parsleytrack::relay
