#include "slots/slot_broker.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace parsleytrack::slots
{

slot_broker::slot_broker(const slot_broker_options& broker_options)
    : options(broker_options), mean_hold(broker_options.initial_hold_estimate)
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
    const waiting_request waiting{ticket, wanted};
    queue& waiting_queue =
        wanted.kind == work_class::online ? this->online : this->batch;
    waiting_queue.emplace(rank_of(waiting, now >= wanted.useful_until),
                          waiting);
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

slot_broker::rank slot_broker::rank_of(const waiting_request& waiting,
                                       bool late)
{
    return rank{late, waiting.request.priority, waiting.request.useful_until,
                waiting.ticket};
}

void slot_broker::serve(time_point now)
{
    this->serve_online(now);
    this->refuse_unmeetable_deadlines(now);
    this->serve_batch(now);
    this->reclaim_for_waiting(now);
}

template <std::predicate Condition>
void slot_broker::serve_queue(queue& waiting,
                              const std::set<software_version>& avoided,
                              Condition may_grant, time_point now)
{
    std::set<software_version> exhausted;
    auto entry = waiting.begin();
    while (entry != waiting.end() && may_grant())
    {
        const slot_request& wanted = entry->second.request;
        const bool depends = wanted.depends_on_version(now);
        if (depends && exhausted.contains(*wanted.version))
        {
            ++entry;
            continue;
        }
        replica_state* chosen = this->choose(wanted, avoided, now);
        if (chosen != nullptr)
        {
            this->grant(entry->second, *chosen, now);
            entry = waiting.erase(entry);
            continue;
        }
        if (!wanted.is_restricted(now))
        {
            return;
        }
        if (depends && wanted.excluded.empty())
        {
            exhausted.insert(*wanted.version);
        }
        ++entry;
    }
}

void slot_broker::serve_online(time_point now)
{
    this->serve_queue(
        this->online, this->versions_waited_for(), [] { return true; }, now);
}

void slot_broker::serve_batch(time_point now)
{
    // An online request that depends on a version leaves no slot unused that it
    // could have.
    const bool online_waits = std::any_of(
        this->online.begin(), this->online.end(),
        [](const auto& entry) { return !entry.second.request.version; });
    if (online_waits)
    {
        return;
    }
    const int reserve = static_cast<int>(this->current_capacity().slots *
                                         this->options.online_reserve);
    this->serve_queue(
        this->batch, {},
        [this, reserve, now] { return this->free_slots(now) > reserve; }, now);
}

std::set<software_version> slot_broker::versions_waited_for() const
{
    std::set<software_version> versions;
    for (const auto& [order, waiting] : this->online)
    {
        if (waiting.request.version)
        {
            versions.insert(*waiting.request.version);
        }
    }
    return versions;
}

void slot_broker::refuse_unmeetable_deadlines(time_point now)
{
    std::size_t ahead = 0;
    std::map<software_version, std::size_t> ahead_at_version;
    const capacity all = this->current_capacity();
    for (auto entry = this->online.begin(); entry != this->online.end();)
    {
        const waiting_request& waiting = entry->second;
        const auto& version = waiting.request.version;
        const capacity present =
            version ? this->current_capacity(version) : all;
        std::size_t& before = version ? ahead_at_version[*version] : ahead;
        // Without any replica nothing is known of when one will be there.
        const bool keeps_waiting =
            waiting.request.wait_when_late && all.slots <= 0.0;
        if (keeps_waiting || this->is_meetable(before, waiting, present, now))
        {
            ++before;
            ahead += version ? 1 : 0;
            ++entry;
            continue;
        }
        this->refuse(waiting, this->predicted_wait(before, present));
        entry = this->online.erase(entry);
    }
}

void slot_broker::expire(time_point now)
{
    std::vector<waiting_request> late;
    for (auto entry = this->online.begin(); entry != this->online.end();)
    {
        if (entry->first.late || now <= entry->second.request.useful_until)
        {
            ++entry;
            continue;
        }
        late.push_back(entry->second);
        entry = this->online.erase(entry);
    }
    for (const waiting_request& waiting : late)
    {
        if (waiting.request.wait_when_late)
        {
            this->online.emplace(rank_of(waiting, true), waiting);
            continue;
        }
        this->refuse(waiting, this->predicted_wait(this->online.size(),
                                                   this->current_capacity()));
    }
}

void slot_broker::add_held(slot_ticket ticket, held_slot slot)
{
    this->batch_held += slot.request.kind == work_class::batch ? 1 : 0;
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

void slot_broker::refuse(const waiting_request& waiting, duration wait)
{
    this->commands.push_back(
        slot_command{waiting.ticket,
                     slot_decision::refused,
                     {},
                     std::clamp(wait, this->options.min_retry_after,
                                this->options.max_retry_after),
                     0,
                     static_cast<int>(this->online.size())});
}

slot_broker::replica_state*
slot_broker::choose(const slot_request& wanted,
                    const std::set<software_version>& avoided, time_point now)
{
    replica_state* best = nullptr;
    const bool ignores_exclusion = this->ignores_exclusion(wanted.kind, now);
    // Same zone first, then the most free slots. Only the response to a request
    // shows that a limit has ended.
    std::tuple<bool, bool, bool, bool, int> best_score{};
    for (auto& [id, state] : this->replicas)
    {
        const software_version& version = state.replica.version;
        const bool fits = !wanted.version || *wanted.version == version;
        if (wanted.excluded.contains(id) ||
            (!fits && wanted.depends_on_version(now)))
        {
            continue;
        }
        const int free =
            ignores_exclusion ? state.free_if_included(now) : state.free(now);
        const std::tuple<bool, bool, bool, bool, int> score{
            fits, !avoided.contains(version),
            state.pacer && now - state.pacer->last_taken() >=
                               this->options.limit_check_interval,
            state.replica.availability_zone == wanted.availability_zone, free};
        if (free > 0 && (best == nullptr || score > best_score))
        {
            best = &state;
            best_score = score;
        }
    }
    return best;
}

} // namespace parsleytrack::slots
