#pragma once

#include "units/ids.hpp"

namespace parsleytrack::relay
{

/// The service and the software version that began a stream. What two versions
/// write does not fit together, so only this version may go on with it.
struct stream_origin
{
    service_name service;
    software_version version;

    bool operator==(const stream_origin&) const = default;
};

} // namespace parsleytrack::relay
