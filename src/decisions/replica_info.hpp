#pragma once

#include "decisions/replica_state.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"

namespace parsleytrack
{

/// A backend server.
struct replica_info
{
    replica_id id;
    service_name service;
    endpoint address;
    availability_zone_name availability_zone;
    replica_state state = replica_state::live;

    bool operator==(const replica_info&) const = default;
};

} // namespace parsleytrack
