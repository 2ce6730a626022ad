#include "relay/slot_request.hpp"

namespace parsleytrack::relay
{

slots::slot_request to_broker_request(const slot_request& request,
                                      time_point now)
{
    slots::slot_request wanted;
    wanted.kind = request.kind;
    wanted.priority = request.priority;
    wanted.useful_until = now + request.useful_for;
    wanted.wait_when_late = request.wait_when_late;
    if (request.abandoned_in)
    {
        wanted.abandoned_at = now + *request.abandoned_in;
    }
    wanted.workspace = request.workspace;
    wanted.availability_zone = request.availability_zone;
    wanted.excluded = request.excluded;
    wanted.version = request.version;
    if (request.any_version_in)
    {
        wanted.any_version_from = now + *request.any_version_in;
    }
    return wanted;
}

} // namespace parsleytrack::relay
