#pragma once

#include "units/time.hpp"

#include <cstddef>

namespace parsleytrack
{

/// Timeouts, intervals and limits of the membership protocol.
struct membership_options
{
    duration probe_interval = std::chrono::milliseconds(500);
    /// After this time without an acknowledgement other nodes are asked to
    /// probe the target as well.
    duration indirect_probe_delay = std::chrono::milliseconds(300);
    /// After this time without an acknowledgement the target is suspected.
    duration suspect_delay = std::chrono::seconds(1);
    int indirect_probes = 3;
    /// A node that does not refute a suspicion within this time is declared
    /// dead.
    duration suspicion_timeout = std::chrono::seconds(4);
    /// How often each node probes all suspects and one dead node.
    duration confirm_interval = std::chrono::seconds(1);
    duration gossip_interval = std::chrono::milliseconds(200);
    int gossip_fanout = 2;
    /// Limit on the datagram bytes per second spent on member changes.
    double update_bytes_per_s = 6000;
    /// Limit on the datagram bytes per second spent on board values.
    double board_bytes_per_s = 6000;
    /// Unused allowance for board values accumulates up to this much time.
    duration board_burst = std::chrono::seconds(3);
    /// Interval of full exchanges; grows in proportion to the number of nodes
    /// above 100.
    duration exchange_interval = std::chrono::seconds(10);
    /// One in this many exchanges goes to a dead node or an unknown seed.
    int exchanges_per_repair = 3;
    /// How often a node that has just started, or knows no live node, contacts
    /// a seed that is not in its view.
    duration join_interval = std::chrono::seconds(1);
    /// How long after its start a node keeps contacting its seeds. Without it,
    /// nodes that start together could reach one seed each and form separate
    /// groups; processes restarted together are back within seconds of each
    /// other.
    duration join_period = std::chrono::seconds(10);
    /// Dead nodes are evicted after this time.
    duration dead_retention = std::chrono::hours(1);
    /// A gap this long between two ticks means that this process was stalled.
    duration stall_threshold = std::chrono::milliseconds(700);
    std::size_t packet_bytes = 1400;
};

} // namespace parsleytrack
