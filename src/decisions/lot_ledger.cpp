#include "decisions/lot_ledger.hpp"

#include "units/invariant.hpp"

#include <algorithm>

namespace parsleytrack
{

namespace
{

/// Items looked at for one pull, so that a pull costs the same however many
/// items wait for their next attempt.
constexpr int max_looked_at = 64;
constexpr int max_wait_doublings = 6;

item_result failure(int index, item_status status, error_code reason,
                    std::string message)
{
    item_result result;
    result.index = index;
    result.status = status;
    result.reason = reason;
    result.message = std::move(message);
    return result;
}

item_result unknown_run(int index)
{
    return failure(index, item_status::may_have_run, error_code::may_have_run,
                   "the item must not run twice and may have run");
}

} // namespace

lot_ledger::lot_ledger(const lot_limits& item_limits,
                       const std::vector<lot_item>& lot_items,
                       const lot_record& taken, time_point now)
    : limits(item_limits), entries(lot_items.size())
{
    check_invariant(taken.ended.size() == lot_items.size(),
                    "a lot's record and its input have as many items");
    for (int index = 0; index < this->item_count(); ++index)
    {
        const lot_item& item = lot_items[index];
        entry& added = this->entries[index];
        const auto kind =
            this->waiting_items.try_emplace({item.service, item.model}).first;
        added.kind = &kind->first;
        added.idempotent = item.idempotent;
        if (taken.ended[index])
        {
            added.state = phase::committed;
            ++this->committed_items;
            ++this->ended_items;
        }
        else if (taken.intended[index])
        {
            this->end(now, unknown_run(index));
        }
        else
        {
            kind->second.insert(kind->second.end(), index);
        }
    }
    this->check();
}

std::vector<item_assignment> lot_ledger::pull(time_point now,
                                              const item_pull& wanted)
{
    std::vector<item_assignment> handed_out;
    if (this->result_bytes > this->limits.uncommitted_limit.count())
    {
        return handed_out;
    }
    int left = std::max(0, wanted.max_items);
    for (auto& [kind, indices] : this->waiting_items)
    {
        if (kind.first != wanted.service ||
            (!kind.second.empty() && wanted.models.count(kind.second) == 0))
        {
            continue;
        }
        std::vector<int> chosen;
        int looked_at = 0;
        for (const int index : indices)
        {
            if (left == 0 || looked_at++ == max_looked_at)
            {
                break;
            }
            if (this->may_hand_out(now, this->entries[index], wanted))
            {
                chosen.push_back(index);
                --left;
            }
        }
        for (const int index : chosen)
        {
            indices.erase(index);
            entry& item = this->entries[index];
            if (!item.idempotent && !item.intent_committed)
            {
                item.state = phase::intending;
                this->wanted_intents.insert(index);
                continue;
            }
            handed_out.push_back(this->start(now, index, wanted.gate));
        }
    }
    this->check();
    return handed_out;
}

bool lot_ledger::may_hand_out(time_point now, entry& item,
                              const item_pull& wanted)
{
    if (item.ready_at > now)
    {
        return false;
    }
    if (item.avoid.size() >= wanted.replicas_in_use ||
        now - item.ready_at > this->limits.avoid_time)
    {
        // It has failed everywhere, or the others do not ask for work; a second
        // attempt there is better than none.
        item.avoid.clear();
    }
    return std::find(item.avoid.begin(), item.avoid.end(), wanted.replica) ==
           item.avoid.end();
}

item_assignment lot_ledger::start(time_point now, int index,
                                  const node_id& gate)
{
    entry& item = this->entries[index];
    item.state = phase::running;
    ++item.attempt;
    this->running_items[index] = running_item{gate, now};
    item_assignment assignment;
    assignment.index = index;
    assignment.attempt = item.attempt;
    assignment.run_alone = item.deaths >= this->limits.deaths_before_alone;
    assignment.avoid = item.avoid;
    assignment.generated_so_far = item.generated;
    return assignment;
}

void lot_ledger::report(time_point now, const attempt_report& ended)
{
    if (ended.index < 0 || ended.index >= this->item_count())
    {
        return;
    }
    entry& item = this->entries[ended.index];
    if (item.state == phase::ended || item.state == phase::committed ||
        ended.attempt < 1 || ended.attempt > item.attempt)
    {
        return;
    }
    if (ended.how == attempt_end::completed ||
        ended.how == attempt_end::rejected)
    {
        // Also from an earlier attempt that was given up on.
        item_result result;
        result.index = ended.index;
        result.status = ended.how == attempt_end::completed
                            ? item_status::completed
                            : item_status::failed;
        result.reason = error_code::backend_failed;
        result.http_status = ended.http_status;
        result.body = ended.body;
        result.message = ended.message;
        this->end(now, std::move(result));
        return;
    }
    if (item.state != phase::running || ended.attempt != item.attempt)
    {
        return;
    }
    switch (ended.how)
    {
    case attempt_end::not_run:
        item.ready_at = now + this->limits.retry_wait;
        this->wait_again(ended.index);
        break;
    case attempt_end::preempted:
        if (!item.idempotent)
        {
            this->end(now, unknown_run(ended.index));
            break;
        }
        if (ended.generated_so_far.size() > item.generated.size())
        {
            item.generated = ended.generated_so_far;
        }
        this->wait_again(ended.index);
        break;
    default:
        this->count_failure(now, ended.index, ended);
        break;
    }
    this->check();
}

void lot_ledger::count_failure(time_point now, int index,
                               const attempt_report& ended)
{
    entry& item = this->entries[index];
    if (!item.idempotent)
    {
        this->end(now, unknown_run(index));
        return;
    }
    ++item.failures;
    const bool died = ended.how == attempt_end::replica_lost;
    item.deaths += died ? 1 : 0;
    if (item.deaths > this->limits.deaths_before_alone)
    {
        this->end(now, failure(index, item_status::failed,
                               error_code::backend_failed,
                               std::to_string(item.deaths) +
                                   " replicas died while they ran this item, "
                                   "the last one ran it alone"));
        return;
    }
    const bool is_isolated = item.deaths == this->limits.deaths_before_alone;
    if (item.failures >= this->limits.attempts && !(died && is_isolated))
    {
        this->end(now, failure(index, item_status::failed,
                               error_code::backend_failed,
                               std::to_string(item.failures) +
                                   " attempts failed, the last one with: " +
                                   ended.message));
        return;
    }
    if (!ended.replica.empty() &&
        std::find(item.avoid.begin(), item.avoid.end(), ended.replica) ==
            item.avoid.end())
    {
        item.avoid.push_back(ended.replica);
    }
    const int doublings = std::min<int>(item.failures - 1, max_wait_doublings);
    item.ready_at = now + this->limits.retry_wait * (1 << doublings);
    this->wait_again(index);
}

void lot_ledger::drop_gates(time_point now,
                            const std::function<bool(const node_id&)>& is_lost)
{
    std::vector<int> lost;
    for (const auto& [index, place] : this->running_items)
    {
        if (is_lost(place.gate))
        {
            lost.push_back(index);
        }
    }
    for (const int index : lost)
    {
        this->take_back(now, index, false, "the gate died");
    }
}

void lot_ledger::expire(time_point now)
{
    std::vector<int> late;
    for (const auto& [index, place] : this->running_items)
    {
        const duration limit = this->entries[index].idempotent
                                   ? this->limits.attempt_timeout
                                   : this->limits.non_idempotent_timeout;
        if (now - place.since >= limit)
        {
            late.push_back(index);
        }
    }
    for (const int index : late)
    {
        this->take_back(now, index, true, "no report came in time");
    }
}

void lot_ledger::take_back(time_point now, int index, bool counts_as_failure,
                           const std::string& message)
{
    if (!this->entries[index].idempotent)
    {
        this->end(now, unknown_run(index));
    }
    else if (counts_as_failure)
    {
        attempt_report ended;
        ended.index = index;
        ended.message = message;
        this->count_failure(now, index, ended);
    }
    else
    {
        this->wait_again(index);
    }
    this->check();
}

std::map<node_id, std::vector<int>>
lot_ledger::end_all(time_point now, item_status status, error_code reason,
                    const std::string& message)
{
    std::map<node_id, std::vector<int>> running;
    for (const auto& [index, place] : this->running_items)
    {
        running[place.gate].push_back(index);
    }
    for (int index = 0; index < this->item_count(); ++index)
    {
        const entry& item = this->entries[index];
        if (item.state == phase::ended || item.state == phase::committed)
        {
            continue;
        }
        const bool may_run = item.state == phase::running && !item.idempotent;
        this->end(now, may_run ? unknown_run(index)
                               : failure(index, status, reason, message));
    }
    this->check();
    return running;
}

void lot_ledger::wait_again(int index)
{
    entry& item = this->entries[index];
    this->running_items.erase(index);
    item.state = phase::waiting;
    this->waiting_items[*item.kind].insert(index);
}

void lot_ledger::end(time_point now, item_result result)
{
    entry& item = this->entries[result.index];
    check_invariant(item.state != phase::ended &&
                        item.state != phase::committed,
                    "an item ends once");
    this->waiting_items[*item.kind].erase(result.index);
    this->running_items.erase(result.index);
    this->wanted_intents.erase(result.index);
    item.state = phase::ended;
    item.generated = std::string();
    item.avoid = std::vector<replica_id>();
    ++this->ended_items;
    this->result_bytes += static_cast<std::int64_t>(result.body.size());
    if (!this->oldest_result)
    {
        this->oldest_result = now;
    }
    this->results.push_back(std::move(result));
}

} // namespace parsleytrack
