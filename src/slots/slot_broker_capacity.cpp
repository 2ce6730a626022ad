// What the replicas of a broker can do now, and how long that makes requests
// wait.

#include "slots/slot_broker.hpp"

#include <algorithm>
#include <cmath>

namespace parsleytrack::slots
{

namespace
{

/// By how many standard deviations the grants may lag behind those expected
/// for a request to be accepted: grants come at random moments, and a request
/// that is accepted at the limit would be refused soon after.
constexpr double accepted_margin = 0.8;

} // namespace

std::vector<replica_id> slot_broker::replica_ids() const
{
    std::vector<replica_id> ids;
    for (const auto& [id, state] : this->replicas)
    {
        ids.push_back(id);
    }
    return ids;
}

int slot_broker::total_slots() const
{
    int total = 0;
    for (const auto& [id, state] : this->replicas)
    {
        total += state.replica.slots;
    }
    return total;
}

int slot_broker::free_slots(time_point now) const
{
    int total = 0;
    for (const auto& [id, state] : this->replicas)
    {
        if (state.health.usable(now))
        {
            total += std::max(0, state.free(now));
        }
    }
    return total;
}

int slot_broker::spare(time_point now) const
{
    return this->free_slots(now) -
           static_cast<int>(this->online.size() + this->batch.size());
}

duration slot_broker::longest_idle_wait(work_class kind, time_point now) const
{
    const bool is_online = kind == work_class::online;
    const time_point full_at =
        is_online ? this->online_full_at : this->batch_full_at;
    duration longest = duration::zero();
    for (const auto& [order, waiting] : is_online ? this->online : this->batch)
    {
        longest = std::max(longest, now - std::max(waiting.since, full_at));
    }
    return longest;
}

int slot_broker::limited_replicas() const
{
    return static_cast<int>(std::count_if(
        this->replicas.begin(), this->replicas.end(),
        [](const auto& entry) { return entry.second.pacer.has_value(); }));
}

int slot_broker::replica_state::free(time_point now) const
{
    return this->free_of(this->health.allowed_slots(this->replica.slots, now),
                         now);
}

int slot_broker::replica_state::free_if_included(time_point now) const
{
    return this->free_of(
        this->health.allowed_slots_if_included(this->replica.slots), now);
}

int slot_broker::replica_state::free_of(int allowed, time_point now) const
{
    const int slots = allowed - this->used;
    return this->pacer ? std::min(slots, this->pacer->available(now)) : slots;
}

bool slot_broker::ignores_exclusion(work_class kind, time_point now) const
{
    // With one replica, its own fault cannot be told from one of the pool.
    return kind == work_class::online && this->replicas.size() > 1 &&
           std::all_of(this->replicas.begin(), this->replicas.end(),
                       [now](const auto& entry)
                       {
                           const replica_health& health = entry.second.health;
                           return health.on_trial() || !health.usable(now);
                       });
}

bool slot_broker::replica_state::takes_requests(time_point now) const
{
    return !this->pacer || this->pacer->available(now) > 0;
}

void slot_broker::update_pacer(replica_state& state, time_point now)
{
    const auto& limit = state.replica.limit;
    if (!limit)
    {
        state.pacer.reset();
        return;
    }
    if (!state.pacer)
    {
        state.pacer.emplace(*limit, now);
        return;
    }
    state.pacer->set_rate(*limit, now);
}

slot_broker::capacity slot_broker::current_capacity(
    const std::optional<software_version>& version) const
{
    const double hold_s =
        std::chrono::duration<double>(this->mean_hold).count();
    capacity present;
    present.reclaimable = version ? 0 : this->batch_held;
    for (const auto& [id, state] : this->replicas)
    {
        if (version && *version != state.replica.version)
        {
            continue;
        }
        const auto slots = static_cast<double>(state.replica.slots);
        if (!state.pacer)
        {
            present.slots += slots;
            present.unlimited_slots += slots;
            present.reclaimable += version ? state.used_by_batch : 0;
            continue;
        }
        present.is_limited = true;
        present.slots +=
            std::min(slots, state.pacer->rate().per_second() * hold_s);
        // What is reclaimed there cannot be granted again before its time.
        present.reclaimable -= version ? 0 : state.used_by_batch;
    }
    return present;
}

slot_broker::capacity slot_broker::capacity::left_by(double share) const
{
    // What the turns of its priority leave at least.
    constexpr double least_part = 1.0 / sharing::priority_turns::interval;
    const double part = std::max(1.0 - share, least_part);
    capacity left = *this;
    left.slots *= part;
    left.unlimited_slots *= part;
    return left;
}

bool slot_broker::is_meetable(std::size_t ahead, const waiting_request& waiting,
                              const capacity& present, bool shared,
                              time_point now) const
{
    const slot_request& wanted = waiting.request;
    const time_point until =
        wanted.wait_when_late ? wanted.abandoned_at : wanted.useful_until;
    if (wanted.version && present.slots <= 0.0)
    {
        return false;
    }
    if (until == time_point::max())
    {
        return true;
    }
    const double spans = static_cast<double>((until - now).count()) /
                         static_cast<double>(this->mean_hold.count());
    double grants = present.unlimited_slots * spans;
    if (now + this->options.reclaim_time <= until)
    {
        grants += present.reclaimable;
    }
    if (present.is_limited)
    {
        grants = this->add_limited_grants(grants, wanted.version, until, now);
    }
    const double needed = static_cast<double>(ahead) + 1.0;
    const bool is_new = shared && !waiting.accepted;
    return needed + (is_new ? accepted_margin * std::sqrt(needed) : 0.0) <=
           grants;
}

double
slot_broker::add_limited_grants(double grants,
                                const std::optional<software_version>& version,
                                time_point until, time_point now) const
{
    const double spans = static_cast<double>((until - now).count()) /
                         static_cast<double>(this->mean_hold.count());
    for (const auto& [id, state] : this->replicas)
    {
        if (!state.pacer || (version && *version != state.replica.version))
        {
            continue;
        }
        // Limits let requests through one by one, which an average over all
        // replicas would hide.
        const int paced = state.pacer->available_until(
            std::max(now, until - this->options.grant_delay), now);
        const double by_slots =
            state.replica.slots * (1.0 + spans) - state.used;
        grants += std::clamp<double>(paced, 0.0, std::max(0.0, by_slots));
    }
    return grants;
}

duration slot_broker::predicted_wait(std::size_t ahead,
                                     const capacity& present) const
{
    if (present.slots <= 0.0)
    {
        return this->options.max_retry_after;
    }
    const std::int64_t beyond_reclaim =
        static_cast<std::int64_t>(ahead) + 1 - present.reclaimable;
    if (beyond_reclaim <= 0)
    {
        return this->options.reclaim_time;
    }
    const double wait = static_cast<double>(this->mean_hold.count()) *
                        static_cast<double>(beyond_reclaim) / present.slots;
    return duration(static_cast<std::int64_t>(wait));
}

} // namespace parsleytrack::slots
