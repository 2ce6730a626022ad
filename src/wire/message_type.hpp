#pragma once

#include <cstdint>

namespace parsleytrack::wire
{

/// Which request a frame between two nodes carries. Numbers are never reused.
enum class message_type : std::int32_t
{
    /// Membership: indirect probe, full exchange of views.
    indirect_probe = 10,
    view_exchange = 11,
    /// Summaries of regions, between nodes of different regions.
    region_exchange = 12,
    /// Online requests: entry node to gate.
    gate_forward = 20,
    /// Batch: gate to owner of lots, and back.
    batch_pull = 30,
    batch_report = 31,
    batch_cancel = 32,
    /// Bulk segments: to and between keepers.
    segment_put = 40,
    segment_get = 41,
    segment_list = 42,
    segment_erase = 43,
    record_put = 44,
    record_list = 45,
    /// Jobs: any node to the owner of lots.
    job_status = 50,
    job_nudge = 51,
    /// Release: a node that has missed a version asks a peer.
    release_get = 60,
    release_progress = 61,
    /// Replica directory: the same, for the list of backend servers.
    directory_get = 62,
    /// Calls that must not run twice.
    once_call = 70,
    once_state = 71,
    /// Relay: any node to the broker of a service's slots.
    slot_request = 80,
    slot_report = 81,
    /// Relay: any node to the owner of a batch job.
    node_job_read = 90,
    node_job_news = 91,
    node_job_handover = 92,
    /// Relay: a node that follows the store through another one.
    record_feed = 95
};

} // namespace parsleytrack::wire
