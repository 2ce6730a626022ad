#include "slots/slot_broker.hpp"

#include "sharing/retry_delay.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::slots
{

slot_broker::slot_broker(const slot_broker_options& broker_options)
    : options(broker_options), online_sharing(broker_options),
      batch_sharing(broker_options),
      mean_hold(broker_options.initial_hold_estimate)
{
}

void slot_broker::set_replicas(const std::vector<slot_replica>& usable,
                               time_point now)
{
    std::map<replica_id, replica_state> next;
    for (const slot_replica& replica : usable)
    {
        const auto known = this->replicas.find(replica.id);
        if (known != this->replicas.end())
        {
            known->second.replica = replica;
            update_pacer(known->second, now);
            next.emplace(replica.id, std::move(known->second));
            continue;
        }
        replica_state state{replica,
                            replica_health(this->options.failure_limit,
                                           this->options.initial_backoff,
                                           this->options.max_backoff),
                            0, 0, std::nullopt};
        update_pacer(state, now);
        for (const auto& [ticket, slot] : this->held)
        {
            if (slot.replica == replica.id)
            {
                ++state.used;
                state.used_by_batch +=
                    slot.request.kind == work_class::batch ? 1 : 0;
            }
        }
        next.emplace(replica.id, std::move(state));
    }
    this->replicas = std::move(next);
    this->serve(now);
}

void slot_broker::request(slot_ticket ticket, const slot_request& wanted,
                          time_point now)
{
    const waiting_request waiting{ticket, wanted, now, false};
    this->queue_of(wanted.kind)
        .emplace(rank_of(waiting, now >= wanted.useful_until), waiting);
    this->serve(now);
}

void slot_broker::adopt(slot_ticket ticket, const slot_request& wanted,
                        const replica_id& replica, time_point now)
{
    this->add_held(ticket, held_slot{replica, wanted, now, false});
    const auto found = this->replicas.find(replica);
    if (found != this->replicas.end())
    {
        ++found->second.used;
        found->second.used_by_batch += wanted.kind == work_class::batch ? 1 : 0;
    }
}

void slot_broker::release(slot_ticket ticket, time_point now)
{
    const auto found = this->held.find(ticket);
    if (found == this->held.end())
    {
        const auto is_ticket = [ticket](const auto& entry)
        {
            return entry.second.ticket == ticket;
        };
        std::erase_if(this->online, is_ticket);
        std::erase_if(this->batch, is_ticket);
        return;
    }
    const held_slot slot = found->second;
    this->held.erase(found);
    this->sharing_of(slot.request.kind)
        .use.end(slot.request.workspace, now - slot.since, now);
    this->batch_held -= slot.request.kind == work_class::batch ? 1 : 0;
    this->pending_reclaims -= slot.reclaimed ? 1 : 0;
    const auto replica = this->replicas.find(slot.replica);
    if (replica != this->replicas.end())
    {
        --replica->second.used;
        replica->second.used_by_batch -=
            slot.request.kind == work_class::batch ? 1 : 0;
    }
    if (slot.request.kind == work_class::online)
    {
        const double weight = this->options.hold_weight;
        const double mean =
            static_cast<double>(this->mean_hold.count()) * (1.0 - weight) +
            static_cast<double>((now - slot.since).count()) * weight;
        this->mean_hold = duration(static_cast<std::int64_t>(mean));
    }
    this->serve(now);
}

void slot_broker::report_failure(const replica_id& replica, time_point now)
{
    const auto found = this->replicas.find(replica);
    if (found != this->replicas.end())
    {
        found->second.health.record_failure(now);
    }
}

void slot_broker::report_success(const replica_id& replica)
{
    const auto found = this->replicas.find(replica);
    if (found != this->replicas.end())
    {
        found->second.health.record_success();
    }
}

void slot_broker::tick(time_point now)
{
    this->expire(now);
    this->serve(now);
}

std::vector<slot_command> slot_broker::take_commands()
{
    return std::exchange(this->commands, {});
}

void slot_broker::add_held(slot_ticket ticket, held_slot slot)
{
    this->batch_held += slot.request.kind == work_class::batch ? 1 : 0;
    this->sharing_of(slot.request.kind)
        .use.take(slot.request.workspace, slot.request.priority, slot.since);
    this->held.insert_or_assign(ticket, std::move(slot));
}

void slot_broker::grant(const waiting_request& waiting, replica_state& chosen,
                        time_point now)
{
    ++chosen.used;
    chosen.used_by_batch += waiting.request.kind == work_class::batch ? 1 : 0;
    if (chosen.pacer)
    {
        chosen.pacer->take(now);
    }
    this->add_held(waiting.ticket,
                   held_slot{chosen.replica.id, waiting.request, now, false});
    this->commands.push_back(slot_command{
        waiting.ticket,
        slot_decision::granted,
        chosen.replica.id,
        {},
        this->free_slots(now),
        static_cast<int>(this->online.size() + this->batch.size())});
}

void slot_broker::refuse(const waiting_request& waiting, std::size_t ahead,
                         const capacity& present, time_point now)
{
    sharing_state& state = this->sharing_of(waiting.request.kind);
    const workspace_name& workspace = waiting.request.workspace;
    const bool shared = shares(state, waiting);
    if (shared)
    {
        // Callers refused before return first.
        ahead += static_cast<std::size_t>(state.use.returning(workspace, now));
        state.use.refuse(workspace, now);
    }
    const duration wait = std::clamp(this->predicted_wait(ahead, present),
                                     this->options.min_retry_after,
                                     this->options.max_retry_after);
    this->commands.push_back(slot_command{
        waiting.ticket,
        slot_decision::refused,
        {},
        shared ? sharing::spread_retry(wait, waiting.ticket.count()) : wait,
        0,
        static_cast<int>(this->online.size())});
}

} // namespace parsleytrack::slots
