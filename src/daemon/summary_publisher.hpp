#pragma once

#include "daemon/node_context.hpp"
#include "decisions/gate_status.hpp"
#include "decisions/replica_summary.hpp"

#include <map>

namespace parsleytrack
{

/// \param status What a gate knows of its replica.
/// \returns What others are told of it.
replica_summary summarize(const gate_status& status);

/// Tells the other nodes, and the metrics, of this node's gates. Summaries
/// also come back with each answer, so gossip may be slow.
class summary_publisher
{
public:
    explicit summary_publisher(node_context& node);

    /// Publishes what is worth it. To be called about twice a second.
    ///
    /// \param current The replicas that this node is the gate of.
    /// \param now The time.
    void update(const std::map<replica_id, gate_status>& current,
                time_point now);

private:
    void set_gauges(const std::map<replica_id, gate_status>& current);

    node_context& context;
    std::map<replica_id, replica_summary> published;
    time_point published_at = time_point::min();
};

} // namespace parsleytrack
