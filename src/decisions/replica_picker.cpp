#include "decisions/replica_picker.hpp"

#include "decisions/rendezvous.hpp"

#include <algorithm>
#include <iterator>

namespace parsleytrack
{

replica_picker::replica_picker(const picker_options& picker_options)
    : options(picker_options)
{
}

void replica_picker::update(const replica_id& replica,
                            const replica_summary& summary)
{
    entry& known = this->find(replica);
    known.summary = summary;
    known.known = true;
    known.own_at_summary = known.own;
}

void replica_picker::forget(const replica_id& replica)
{
    this->entries.erase(replica);
}

std::optional<replica_id>
replica_picker::pick(const std::vector<replica_id>& candidates,
                     const std::vector<std::uint64_t>& hashes,
                     const std::set<replica_id>& avoid, time_point now,
                     random_source& random)
{
    const std::vector<replica_id> usable =
        this->eligible(candidates, avoid, now);
    std::optional<replica_id> best;
    duration best_cost = duration::max();
    for (const replica_id& candidate : this->draw(usable, hashes, random))
    {
        const duration candidate_cost =
            this->cost(this->find(candidate), hashes);
        if (candidate_cost < best_cost)
        {
            best = candidate;
            best_cost = candidate_cost;
        }
    }
    return best;
}

void replica_picker::sent(const replica_id& replica,
                          const std::vector<std::uint64_t>& hashes)
{
    entry& known = this->find(replica);
    known.own += 1;
    known.prefixes.sent(hashes);
}

void replica_picker::ended(const replica_id& replica)
{
    entry& known = this->find(replica);
    known.own = std::max(0, known.own - 1);
}

void replica_picker::passed_back(const replica_id& replica)
{
    entry& known = this->find(replica);
    known.summary.online_running =
        std::max(known.summary.online_running, known.summary.slots);
    known.own_at_summary = known.own;
}

bool replica_picker::has_free_slot(const std::vector<replica_id>& candidates,
                                   const std::set<replica_id>& avoid) const
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [this, &avoid](const replica_id& candidate)
                       {
                           if (avoid.count(candidate) > 0)
                           {
                               return false;
                           }
                           const auto found = this->entries.find(candidate);
                           return found == this->entries.end() ||
                                  (found->second.summary.usable &&
                                   present(found->second) <
                                       found->second.summary.slots);
                       });
}

void replica_picker::failed(const replica_id& replica, time_point now)
{
    this->find(replica).avoid_until = now + this->options.avoid_time;
}

duration
replica_picker::least_expected(const std::vector<replica_id>& candidates) const
{
    duration least = duration::max();
    for (const replica_id& candidate : candidates)
    {
        const auto found = this->entries.find(candidate);
        least = std::min(least, found == this->entries.end()
                                    ? duration::zero()
                                    : this->cost(found->second, {}));
    }
    return least;
}

replica_picker::entry& replica_picker::find(const replica_id& replica)
{
    return this->entries.try_emplace(replica, this->options.cache_blocks)
        .first->second;
}

std::vector<replica_id>
replica_picker::eligible(const std::vector<replica_id>& candidates,
                         const std::set<replica_id>& avoid, time_point now)
{
    const duration typical = this->typical_latency(candidates);
    std::vector<replica_id> good;
    std::vector<replica_id> untried;
    for (const replica_id& candidate : candidates)
    {
        entry& known = this->find(candidate);
        if (avoid.count(candidate) > 0)
        {
            continue;
        }
        untried.push_back(candidate);
        if (known.avoid_until > now || !known.summary.usable)
        {
            continue;
        }
        if (this->is_slow(known, typical))
        {
            if (known.next_trial > now)
            {
                continue;
            }
            // One request now and then shows whether it is still slow.
            known.next_trial = now + this->options.avoid_time;
            if (known.own > 0)
            {
                continue;
            }
        }
        good.push_back(candidate);
    }
    if (!good.empty())
    {
        return good;
    }
    return untried.empty() ? candidates : untried;
}

duration
replica_picker::typical_latency(const std::vector<replica_id>& candidates) const
{
    std::vector<duration> latencies;
    for (const replica_id& candidate : candidates)
    {
        const auto found = this->entries.find(candidate);
        if (found != this->entries.end() && found->second.known)
        {
            latencies.push_back(found->second.summary.first_output_latency);
        }
    }
    if (latencies.empty())
    {
        return duration::zero();
    }
    const auto middle =
        latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

bool replica_picker::is_slow(const entry& known, duration typical) const
{
    const duration latency = known.summary.first_output_latency;
    return latency > this->options.slow_floor &&
           static_cast<double>(latency.count()) >
               this->options.slow_factor * static_cast<double>(typical.count());
}

std::vector<replica_id>
replica_picker::draw(const std::vector<replica_id>& from,
                     const std::vector<std::uint64_t>& hashes,
                     random_source& random) const
{
    std::vector<replica_id> drawn;
    std::sample(from.begin(), from.end(), std::back_inserter(drawn),
                this->options.random_choices, random);
    std::shuffle(drawn.begin(), drawn.end(), random);
    if (hashes.empty())
    {
        return drawn;
    }
    std::vector<std::string> names;
    names.reserve(from.size());
    for (const replica_id& candidate : from)
    {
        names.push_back(candidate.str());
    }
    const auto homes =
        rendezvous_rank(names, std::to_string(hashes.front()),
                        static_cast<std::size_t>(this->options.home_choices));
    for (const std::size_t home : homes)
    {
        drawn.push_back(from[home]);
    }
    return drawn;
}

int replica_picker::present(const entry& known)
{
    const int reported =
        known.summary.online_running + known.summary.online_ahead;
    return std::max(known.own, reported + known.own - known.own_at_summary);
}

duration replica_picker::cost(const entry& known,
                              const std::vector<std::uint64_t>& hashes) const
{
    const replica_summary& summary = known.summary;
    const int slots = std::max(1, summary.slots);
    const int excess = std::max(0, present(known) + 1 - slots);
    const auto uncached = static_cast<duration::rep>(
        hashes.size() - known.prefixes.cached_blocks(hashes));
    return summary.predicted_first_output +
           this->options.block_cost * uncached +
           this->options.crowd_cost * present(known) / slots +
           this->options.queue_cost * excess;
}

} // namespace parsleytrack
