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
    time_point deadline;
    /// How long before this request the caller asked first; zero when this is
    /// its first.
    duration elapsed_before = duration::zero();
};

} // namespace parsleytrack::relay
