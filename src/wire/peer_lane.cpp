#include "wire/peer_lane.hpp"

namespace parsleytrack::wire
{

peer_lane lane_of(message_type type)
{
    switch (type)
    {
    case message_type::batch_pull:
    case message_type::batch_report:
    case message_type::batch_cancel:
    case message_type::segment_put:
    case message_type::segment_get:
    case message_type::segment_list:
    case message_type::segment_erase:
    case message_type::record_put:
    case message_type::record_list:
    case message_type::job_status:
    case message_type::job_nudge:
        return peer_lane::bulk;
    default:
        return peer_lane::interactive;
    }
}

} // namespace parsleytrack::wire
