#pragma once

#include "units/time.hpp"

#include <cstddef>

namespace parsleytrack
{

/// Times and bounds of the membership.
struct membership_options
{
    duration probe_interval = std::chrono::milliseconds(500);
    /// Without an acknowledgement others are asked to probe.
    duration indirect_probe_delay = std::chrono::milliseconds(300);
    /// Without an acknowledgement the node is suspected.
    duration suspect_delay = std::chrono::seconds(1);
    int indirect_probes = 3;
    /// A suspect that does not refute for this long is dead.
    duration suspicion_timeout = std::chrono::seconds(4);
    /// How often each node asks all suspects, and one node that is held dead.
    duration confirm_interval = std::chrono::seconds(1);
    duration gossip_interval = std::chrono::milliseconds(200);
    int gossip_fanout = 2;
    /// Most bytes a second that changes of members may take in datagrams.
    double update_bytes_per_s = 6000;
    /// Most bytes a second that values of the board may take in datagrams.
    double board_bytes_per_s = 6000;
    /// How much unused allowance for the board is saved up.
    duration board_burst = std::chrono::seconds(3);
    /// Full exchanges; stretched in proportion above a hundred nodes.
    duration exchange_interval = std::chrono::seconds(10);
    /// One exchange in so many goes to a node that is held dead, or to a seed.
    int exchanges_per_repair = 3;
    /// How often a node that knows no other, or has just started, tries a seed
    /// that it does not know yet.
    duration join_interval = std::chrono::seconds(1);
    /// How long after its start a node goes on trying its seeds. Nodes that
    /// start together find one seed each and would stay apart; processes that
    /// are restarted together are back within seconds of each other.
    duration join_period = std::chrono::seconds(10);
    /// Dead nodes are remembered for this long.
    duration dead_retention = std::chrono::hours(1);
    /// A later tick than this shows that the process itself stood still.
    duration stall_threshold = std::chrono::milliseconds(700);
    std::size_t packet_bytes = 1400;
};

} // namespace parsleytrack
