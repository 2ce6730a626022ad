#pragma once

#include "decisions/membership_packet.hpp"
#include "units/endpoint.hpp"

#include <variant>

namespace parsleytrack
{

/// Send a datagram.
struct send_packet_command
{
    endpoint target;
    membership_packet packet;
};

/// Start a full exchange of views with the node at this address.
struct exchange_views_command
{
    endpoint target;
};

/// Notify observers that the view of the region has changed.
struct view_changed_command
{
};

/// The node is dead: requests to its address will not be answered any more.
struct node_dead_command
{
    node_id node;
    endpoint peer;
};

/// An action that the caller of the membership executes.
using membership_command =
    std::variant<send_packet_command, exchange_views_command,
                 view_changed_command, node_dead_command>;

} // namespace parsleytrack
