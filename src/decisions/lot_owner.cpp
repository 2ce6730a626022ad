#include "decisions/lot_owner.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

/// Longer silence of the driver counts as a pause of the process.
constexpr duration longest_tick_gap = std::chrono::milliseconds(1000);
/// A cancel reaches owners by message; this is for messages that are lost.
constexpr duration job_read_interval = std::chrono::seconds(120);
constexpr duration first_back_off = std::chrono::milliseconds(250);
constexpr int max_back_off_doublings = 5;

} // namespace

lot_owner::lot_owner(node_id own, std::uint64_t claim,
                     const lot_limits& item_limits,
                     std::vector<lot_item> lot_items,
                     std::function<bool(const node_id&)> is_usable)
    : own_id(std::move(own)), own_claim(claim), limits(item_limits),
      item_list(std::move(lot_items)), usable(std::move(is_usable))
{
}

std::optional<lot_action> lot_owner::next_action(time_point now)
{
    if (this->action_under_way || this->is_over() || now < this->wait_until)
    {
        return std::nullopt;
    }
    std::optional<lot_action> action;
    if (this->phase == stage::reading || this->outcome_unknown)
    {
        action = read_lot_record();
    }
    else if (this->phase == stage::taking)
    {
        action = swap_lot_record{this->last ? this->last->revision
                                            : store_revision(),
                                 *this->pending};
        ++this->writes;
    }
    else if (!this->job_confirmed)
    {
        action = read_job_record();
    }
    else
    {
        action = this->next_commit(now);
    }
    this->action_under_way = action.has_value();
    return action;
}

std::optional<lot_action> lot_owner::next_commit(time_point now)
{
    if (this->pending)
    {
        ++this->writes;
        return swap_lot_record{this->last->revision, *this->pending};
    }
    if (!this->commit_started)
    {
        const bool due =
            this->items->commit_due(now, this->last->record.results.size());
        if (!due && !this->release_wanted)
        {
            return std::nullopt;
        }
        lot_commit next = this->items->begin_commit();
        this->commit_started = true;
        this->unwritten = std::move(next.results);
        this->intents = std::move(next.intents);
    }
    if (!this->unwritten.empty())
    {
        return write_result_segment{this->unwritten};
    }
    this->prepare_record(std::nullopt);
    ++this->writes;
    return swap_lot_record{this->last->revision, *this->pending};
}

void lot_owner::prepare_record(const std::optional<placement>& written)
{
    lot_record next = this->last->record;
    ++next.commit_number;
    if (written)
    {
        next.results.push_back(*written);
        for (const item_result& result : this->unwritten)
        {
            check_invariant(!next.ended[result.index],
                            "a committed result is never replaced");
            next.ended[result.index] = true;
        }
    }
    for (const int index : this->intents)
    {
        next.intended[index] = true;
    }
    if (this->release_wanted)
    {
        // This owner hands out nothing any more, so that what it has not begun
        // may run at the next one.
        next.owner = node_id();
        for (const int index : this->items->unstarted_intents())
        {
            next.intended[index] = false;
        }
    }
    this->pending = std::move(next);
}

void lot_owner::on_record(time_point now,
                          const result<std::optional<seen_lot_record>>& answer)
{
    this->action_under_way = false;
    if (answer.has_error())
    {
        this->back_off(now);
        return;
    }
    const std::optional<seen_lot_record>& current = answer.value();
    if (this->outcome_unknown)
    {
        this->settle(now, current);
        return;
    }
    if (current && current->record.complete())
    {
        this->last = current;
        this->phase = stage::complete;
        return;
    }
    if (current && current->record.owner != this->own_id &&
        !current->record.owner.empty() && this->usable(current->record.owner))
    {
        this->last = current;
        this->phase = stage::lost;
        return;
    }
    this->last = current;
    lot_record next;
    if (current)
    {
        next = current->record;
    }
    else
    {
        next.ended.assign(this->item_list.size(), false);
        next.intended.assign(this->item_list.size(), false);
    }
    next.owner = this->own_id;
    next.claim = this->own_claim;
    next.epoch = next.epoch.next();
    ++next.commit_number;
    this->pending = std::move(next);
    this->phase = stage::taking;
}

void lot_owner::settle(time_point now,
                       const std::optional<seen_lot_record>& current)
{
    this->outcome_unknown = false;
    const bool mine = current && current->record.claim == this->own_claim;
    if (mine && current->record.commit_number == this->pending->commit_number)
    {
        check_invariant(current->record == *this->pending,
                        "one commit number stands for one record");
        if (this->phase == stage::taking)
        {
            this->become_active(now, *current);
        }
        else
        {
            this->finish_commit(*current);
        }
        return;
    }
    const store_revision base =
        this->last ? this->last->revision : store_revision();
    const store_revision present =
        current ? current->revision : store_revision();
    if (present == base)
    {
        // Not written yet. The same record is tried again: should the earlier
        // write still arrive, the two are one.
        return;
    }
    if (this->phase == stage::taking)
    {
        this->pending.reset();
        this->phase = stage::reading;
        return;
    }
    this->last = current;
    this->phase = stage::lost;
}

void lot_owner::on_swap(time_point now, const result<lot_swap_outcome>& answer)
{
    this->action_under_way = false;
    if (answer.has_error())
    {
        this->outcome_unknown =
            answer.error().code == error_code::store_outcome_unknown;
        this->back_off(now);
        return;
    }
    this->failures = 0;
    if (!answer.value().applied)
    {
        this->settle(now, answer.value().current);
        return;
    }
    const seen_lot_record written{*this->pending,
                                  answer.value().current->revision};
    if (this->phase == stage::taking)
    {
        this->become_active(now, written);
    }
    else
    {
        this->finish_commit(written);
    }
}

void lot_owner::become_active(time_point now, const seen_lot_record& taken)
{
    this->last = taken;
    this->pending.reset();
    this->failures = 0;
    this->items.emplace(this->limits, this->item_list, taken.record, now);
    this->phase = stage::active;
    this->last_tick = now;
    this->job_confirmed = false;
}

void lot_owner::finish_commit(const seen_lot_record& written)
{
    this->last = written;
    this->pending.reset();
    this->failures = 0;
    this->unwritten.clear();
    this->intents.clear();
    this->commit_started = false;
    this->items->commit_applied();
    if (written.record.complete())
    {
        check_invariant(this->items->complete(),
                        "record and ledger agree on the end of a lot");
        this->phase = stage::complete;
    }
    else if (written.record.owner.empty())
    {
        this->phase = stage::released;
    }
}

void lot_owner::on_written(time_point now, const result<placement>& answer)
{
    this->action_under_way = false;
    if (answer.has_error())
    {
        this->back_off(now);
        return;
    }
    this->failures = 0;
    this->prepare_record(answer.value());
}

void lot_owner::on_job(time_point now, const result<job_state>& answer)
{
    this->action_under_way = false;
    if (answer.has_error())
    {
        this->back_off(now);
        return;
    }
    this->failures = 0;
    this->job_confirmed = true;
    this->job_read_at = now;
    if (answer.value() == job_state::open)
    {
        return;
    }
    for (auto& [gate, indices] : this->end_all(now, answer.value()))
    {
        auto& list = this->cancelled_items[gate];
        list.insert(list.end(), indices.begin(), indices.end());
    }
}

std::map<node_id, std::vector<int>> lot_owner::take_cancelled_items()
{
    return std::exchange(this->cancelled_items, {});
}

std::map<node_id, std::vector<int>> lot_owner::end_all(time_point now,
                                                       job_state why)
{
    if (!this->is_active())
    {
        // The job's record is read before anything is handed out.
        this->job_confirmed = false;
        return {};
    }
    const bool cancelled = why == job_state::cancelled;
    return this->items->end_all(
        now, cancelled ? item_status::cancelled : item_status::failed,
        cancelled ? error_code::cancelled : error_code::deadline_exceeded,
        cancelled ? "the job was cancelled" : "the job's deadline has passed");
}

void lot_owner::tick(time_point now)
{
    if (!this->is_active())
    {
        return;
    }
    if (now - this->last_tick > longest_tick_gap ||
        now - this->job_read_at > job_read_interval)
    {
        this->job_confirmed = false;
    }
    this->last_tick = now;
    this->items->expire(now);
}

std::vector<item_assignment> lot_owner::pull(time_point now,
                                             const item_pull& wanted)
{
    this->tick(now);
    if (!this->is_active() || !this->job_confirmed || this->release_wanted ||
        this->outcome_unknown)
    {
        return {};
    }
    return this->items->pull(now, wanted);
}

void lot_owner::report(time_point now, epoch_number epoch,
                       const attempt_report& ended)
{
    if (this->is_active() && epoch == this->epoch())
    {
        this->items->report(now, ended);
    }
}

void lot_owner::drop_gates(time_point now,
                           const std::function<bool(const node_id&)>& is_lost)
{
    if (this->is_active())
    {
        this->items->drop_gates(now, is_lost);
    }
}

void lot_owner::release()
{
    this->release_wanted = true;
    if (this->phase == stage::reading || this->phase == stage::taking)
    {
        this->phase = stage::released;
    }
}

void lot_owner::back_off(time_point now)
{
    const int doublings = std::min(this->failures++, max_back_off_doublings);
    this->wait_until = now + first_back_off * (1 << doublings);
}

} // namespace parsleytrack
