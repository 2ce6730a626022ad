#pragma once

#include "units/endpoint.hpp"
#include "units/ids.hpp"

namespace parsleytrack::settings
{

/// A backend server given in the settings, known before the platform's list
/// has been read.
struct replica_settings
{
    replica_id id;
    endpoint address;
    availability_zone_name availability_zone;
};

} // namespace parsleytrack::settings
