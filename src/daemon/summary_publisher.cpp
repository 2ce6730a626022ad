#include "daemon/summary_publisher.hpp"

#include "daemon/forward_codec.hpp"

#include <utility>

namespace parsleytrack
{

namespace
{

constexpr const char* gossip_topic = "gate";
constexpr duration publish_interval = std::chrono::seconds(4);

/// \returns Whether a change is worth telling before the interval is over.
bool is_urgent(const replica_summary& before, const replica_summary& after)
{
    const bool was_full = before.online_running >= before.slots;
    const bool is_full = after.online_running >= after.slots;
    const bool much_slower =
        after.first_output_latency >
        before.first_output_latency * 2 + std::chrono::milliseconds(100);
    return before.usable != after.usable || was_full != is_full || much_slower;
}

} // namespace

replica_summary summarize(const gate_status& status)
{
    replica_summary brief;
    brief.slots = status.slots;
    brief.online_running = status.online_running;
    brief.batch_running = status.batch_running;
    brief.online_ahead = status.online_ahead;
    brief.predicted_first_output = status.predicted_first_output;
    brief.first_output_latency = status.first_output_latency;
    brief.usable = status.usable;
    return brief;
}

summary_publisher::summary_publisher(node_context& node) : context(node) {}

void summary_publisher::update(const std::map<replica_id, gate_status>& current,
                               time_point now)
{
    this->set_gauges(current);
    std::map<replica_id, replica_summary> summaries;
    bool urgent = false;
    for (const auto& [id, status] : current)
    {
        const replica_summary summary = summarize(status);
        const auto before = this->published.find(id);
        urgent = urgent || before == this->published.end() ||
                 is_urgent(before->second, summary);
        summaries[id] = summary;
    }
    const bool due = now >= this->published_at + publish_interval;
    if (summaries == this->published || (!urgent && !due))
    {
        return;
    }
    this->published = std::move(summaries);
    this->published_at = now;
    this->context.board.publish(gossip_topic,
                                encode_summaries(this->published));
}

void summary_publisher::set_gauges(
    const std::map<replica_id, gate_status>& current)
{
    auto& metrics = this->context.metrics;
    for (const auto& [id, status] : current)
    {
        const metrics::label_list labels{{"replica", id.str()}};
        metrics.set_gauge("parsleytrack_gate_slots", labels, status.slots);
        metrics.set_gauge("parsleytrack_gate_online_running", labels,
                          status.online_running);
        metrics.set_gauge("parsleytrack_gate_batch_running", labels,
                          status.batch_running);
        metrics.set_gauge("parsleytrack_gate_foreign_running", labels,
                          status.foreign_running);
        metrics.set_gauge("parsleytrack_gate_online_queued", labels,
                          status.online_queued);
        metrics.set_gauge("parsleytrack_gate_batch_queued", labels,
                          status.batch_queued);
    }
}

} // namespace parsleytrack
