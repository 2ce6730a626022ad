#include "relay/own_node_info.hpp"

#include "peering/first_incarnation.hpp"

namespace parsleytrack::relay
{

node_info own_node_info(const settings::relay_settings& settings,
                        random_source& random)
{
    node_info own;
    own.id = settings.id;
    own.peer = settings.peer;
    own.http = settings.front.value_or(settings.peer);
    own.region = settings.region;
    own.availability_zone = settings.availability_zone;
    own.entry = settings.front.has_value();
    own.capacity = settings.capacity_millicores;
    own.incarnation = peering::first_incarnation();
    own.process = peering::draw_process_number(random);
    return own;
}

} // namespace parsleytrack::relay
