#pragma once

#include <cstdint>

namespace parsleytrack::wire
{

/// Type of a request between two nodes. Numbers are never reused.
enum class message_type : std::int32_t
{
    /// Membership: indirect probe, full view exchange.
    indirect_probe = 10,
    view_exchange = 11,
    /// Summaries of regions, between nodes of different regions.
    region_exchange = 12,
    /// Online requests: from entry node to gate.
    gate_forward = 20,
    /// Batch: between gate and owner of lots.
    batch_pull = 30,
    batch_report = 31,
    batch_cancel = 32,
    /// Bulk segments and record copies: to and between keepers.
    segment_put = 40,
    segment_get = 41,
    segment_list = 42,
    segment_erase = 43,
    record_put = 44,
    record_list = 45,
    /// Jobs: from any node to the owner of lots.
    job_status = 50,
    job_nudge = 51,
    /// Release: a node that missed a version fetches it from a peer.
    release_get = 60,
    release_progress = 61,
    /// Replica directory: likewise, for the list of backend servers.
    directory_get = 62,
    /// At-most-once calls.
    once_call = 70,
    once_state = 71,
    /// Relay: from any node to the broker of a service's slots.
    slot_request = 80,
    slot_report = 81,
    /// Relay: from any node to the owner of a batch job.
    node_job_read = 90,
    node_job_news = 91,
    node_job_handover = 92,
    /// Relay: from a node that follows the store through another node.
    replica_feed = 95,
    configuration_feed = 96,
    /// Relay: parts of prompts under which replicas crash.
    trait_inquiry = 97,
    trait_verdicts = 98,
    /// Relay: which software version began a stream, to storage nodes.
    stream_origin_notice = 100,
    stream_origin_inquiry = 101,
    /// Relay: the list of storage nodes, as for replica_feed.
    storage_feed = 102,
    /// Quotas of workspaces: from any node to the owner of a workspace.
    allotment_lease = 110
};

} // namespace parsleytrack::wire
