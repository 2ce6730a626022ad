#pragma once

#include "routing/route_table.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <memory>
#include <string>

namespace parsleytrack::relay
{

/// An online request as it was read.
struct online_request
{
    request_id id;
    /// Keeps the route alive, whatever configuration comes next.
    std::shared_ptr<const routing::route_table> table;
    const routing::route* route = nullptr;
    std::string body;
    time_point received;
    /// When the caller, or the route, allows no more time.
    time_point give_up_at;
    /// Whether the caller has asked before, going by its time left.
    bool is_repeated = false;
};

} // namespace parsleytrack::relay
