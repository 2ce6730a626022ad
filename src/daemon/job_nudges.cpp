#include "daemon/job_nudges.hpp"

#include "decisions/lot_assignment.hpp"
#include "wire/codec.hpp"

#include <memory>
#include <string>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration nudge_timeout = std::chrono::seconds(2);

wire::lot_reference reference_to(const job_id& job, int lot)
{
    wire::lot_reference reference;
    reference.job = job.str();
    reference.lot = lot;
    return reference;
}

wire::job_nudge make_nudge(wire::nudge_kind::type kind, const job_id& job,
                           int lot = 0)
{
    wire::job_nudge nudge;
    nudge.kind = kind;
    nudge.lots.push_back(reference_to(job, lot));
    return nudge;
}

} // namespace

job_nudges::job_nudges(node_context& node,
                       std::function<void(const wire::job_nudge&)> on_nudge)
    : context(node), receive(std::move(on_nudge)), calls(node)
{
    node.peers.on_call(
        wire::message_type::job_nudge,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        {
            const auto nudge =
                wire::decode<wire::job_nudge>(exchange->request());
            if (nudge.has_error())
            {
                exchange->fail(nudge.error());
                return;
            }
            this->receive(nudge.value());
            exchange->finish("");
        });
}

void job_nudges::tell_coordinator(wire::nudge_kind::type kind,
                                  const job_id& job, int lot)
{
    this->send(shard_coordinator(job_shard(job), this->context.fleet.nodes()),
               make_nudge(kind, job, lot));
}

void job_nudges::tell_all(wire::nudge_kind::type kind, const job_id& job)
{
    const wire::job_nudge nudge = make_nudge(kind, job);
    for (const auto& [id, node] : this->context.fleet.nodes())
    {
        this->send(id, nudge);
    }
}

void job_nudges::assign(const node_id& id, const job_id& job,
                        const job_record& record, const std::vector<int>& lots)
{
    wire::job_nudge nudge;
    nudge.kind = wire::nudge_kind::own_lots;
    for (const int lot : lots)
    {
        wire::lot_reference reference = reference_to(job, lot);
        reference.deadline_ms = record.deadline_ms;
        nudge.lots.push_back(std::move(reference));
    }
    this->send(id, nudge);
}

void job_nudges::send(const node_id& id, const wire::job_nudge& nudge)
{
    if (id == this->context.settings.id)
    {
        this->context.loop.post([this, nudge] { this->receive(nudge); });
        return;
    }
    const node_info* node = this->context.fleet.find_node(id);
    if (node == nullptr || node->state == node_state::dead)
    {
        return;
    }
    this->calls.call(
        node->peer, wire::message_type::job_nudge, wire::encode(nudge),
        nudge_timeout,
        [this](const result<std::string>& answer)
        {
            if (answer.has_error())
            {
                this->context.metrics.count(
                    "parsleytrack_job_messages_lost_total",
                    {{"reason", std::string(to_string(answer.error().code))}});
            }
        });
}

} // namespace parsleytrack
