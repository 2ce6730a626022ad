#pragma once

#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// A caller's question which addresses to use.
struct address_request
{
    std::string host;
    region_name region;
    availability_zone_name availability_zone;
};

/// The answer to it.
struct address_response
{
    std::vector<endpoint> addresses;
    /// How long the caller may keep the answer.
    duration validity = duration::zero();
};

} // namespace parsleytrack::relay
