#pragma once

#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// A caller's request for the addresses of a host name.
struct address_request
{
    std::string host;
    region_name region;
    availability_zone_name availability_zone;
};

/// The response to an address_request.
struct address_response
{
    std::vector<endpoint> addresses;
    /// How long the caller may cache the addresses.
    duration validity = duration::zero();
};

} // namespace parsleytrack::relay
