#include "decisions/gate.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration closed_retry_after = std::chrono::milliseconds(100);

} // namespace

gate::gate(const gate_options& gate_options, time_point now)
    : options(gate_options),
      entry(gate_options.slots * gate_options.queued_per_slot),
      health(gate_options.failure_limit, gate_options.first_pause,
             gate_options.longest_pause),
      foreign(now, gate_options.takeover_wait, gate_options.takeover_window),
      trade(gate_options.batch_weight)
{
}

void gate::submit(const gate_work& work, time_point now)
{
    check_invariant(this->running.find(work.id) == nullptr,
                    "work is given to a gate only once");
    if (work.kind == work_class::online)
    {
        this->submit_online(work, now);
    }
    else
    {
        this->submit_batch(work);
    }
    this->pump(now);
}

void gate::submit_online(const gate_work& work, time_point now)
{
    if (this->closed)
    {
        this->commands.push_back(refuse_work{work.id, error_code::shutting_down,
                                             closed_retry_after});
        return;
    }
    if (!this->health.usable(now))
    {
        this->commands.push_back(refuse_work{work.id, error_code::no_replica,
                                             this->health.retry_at() - now});
        return;
    }
    const int usable = std::max(1, this->options.slots - this->foreign.count());
    const int obtainable = usable - this->running.count(work_class::online);
    if (this->startable_online(now) >= obtainable &&
        !this->usage.over_share(work.workspace, now))
    {
        this->slot_contention.found_none(work.may_pass_back, now);
    }
    const bool over_share = this->exceeds_share(work.workspace, now);
    const int room = obtainable - (over_share ? this->share_reserve() : 0);
    if (work.may_pass_back && this->startable_online(now) >= room)
    {
        this->commands.push_back(
            refuse_work{work.id, error_code::passed_back, duration::zero()});
        return;
    }
    this->usage.asked(work.workspace, now);
    const auto refusal =
        this->entry.refuse(work, this->online, usable, obtainable, now);
    if (refusal)
    {
        this->commands.push_back(
            refuse_work{work.id, refusal->reason, refusal->retry_after});
        return;
    }
    if (this->entry.full(this->online))
    {
        const auto displaced = this->online.take_from_longest();
        this->commands.push_back(
            refuse_work{displaced->id, error_code::workspace_limit,
                        this->entry.drain_interval(usable)});
    }
    this->online.push(work);
}

void gate::submit_batch(const gate_work& work)
{
    if (this->closed)
    {
        this->commands.push_back(return_work{work.id, work.preempted});
        return;
    }
    this->batch.push(work, std::nullopt);
}

void gate::output(work_id id, time_point now)
{
    running_set::entry* giving = this->running.find(id);
    if (giving == nullptr)
    {
        return;
    }
    giving->work.outputs += 1;
    this->hear(now);
    if (giving->has_output)
    {
        return;
    }
    giving->has_output = true;
    if (giving->work.kind == work_class::online)
    {
        this->entry.first_output(now - giving->started);
    }
    this->pump(now);
}

void gate::finish(work_id id, work_end how, time_point now)
{
    const running_set::entry ended = this->running.remove(id);
    if (how == work_end::completed)
    {
        this->health.record_success();
        this->hear(now);
        if (ended.work.kind == work_class::online)
        {
            this->entry.occupied(now - ended.started);
        }
    }
    if (how == work_end::timed_out)
    {
        this->health.mark_unresponsive(now);
    }
    if (how == work_end::failed || how == work_end::timed_out)
    {
        this->health.record_failure(now);
        if (ended.work.kind == work_class::batch)
        {
            this->batch_held_until = now + this->options.batch_failure_hold;
        }
    }
    if (ended.requeue && how == work_end::cancelled)
    {
        if (this->closed)
        {
            this->commands.push_back(return_work{id, true});
        }
        else
        {
            gate_work waiting = ended.work;
            waiting.preempted = true;
            this->batch.push(waiting, now + this->options.preempted_hold);
        }
    }
    this->pump(now);
}

void gate::cancel(work_id id, time_point now)
{
    if (running_set::entry* found = this->running.find(id))
    {
        found->requeue = false;
        if (!found->stopping)
        {
            this->stop(*found);
        }
        return;
    }
    if (!this->online.remove(id))
    {
        this->batch.remove(id);
    }
    this->pump(now);
}

void gate::report_load(int reported, time_point now)
{
    this->hear(now);
    this->foreign.report(reported, this->running.size(), now);
    this->pump(now);
}

void gate::pull_done(int received, duration retry_after, time_point now)
{
    this->pull_pending = false;
    this->next_pull = received > 0 ? now : now + retry_after;
    this->pump(now);
}

void gate::offer_batch(bool available, time_point now)
{
    this->batch_offered = available;
    this->pump(now);
}

void gate::close(bool stop_batch, time_point now)
{
    this->closed = true;
    this->refuse_all(error_code::shutting_down, now);
    this->return_batch();
    if (!stop_batch)
    {
        return;
    }
    while (const auto id = this->running.choose_victim())
    {
        running_set::entry& work = *this->running.find(*id);
        work.requeue = true;
        this->stop(work);
    }
}

void gate::hear(time_point now)
{
    this->last_heard = now;
    this->health.mark_responsive();
}

void gate::tick(time_point now)
{
    if (!this->running.empty() &&
        now - this->last_heard >= this->options.silence_limit)
    {
        this->health.mark_unresponsive(now);
    }
    this->pump(now);
}

void gate::pump(time_point now)
{
    this->expire(now);
    if (this->closed || this->foreign.unknown(now))
    {
        return;
    }
    if (!this->health.usable(now))
    {
        this->refuse_all(error_code::no_replica, now);
        this->return_batch();
        return;
    }
    this->start_online(now);
    this->note_waiting(now);
    this->preempt(now);
    this->start_batch(now);
    this->pull(now);
    this->check(now);
}

void gate::expire(time_point now)
{
    for (const gate_work& work : this->online.take_expired(now))
    {
        this->commands.push_back(
            refuse_work{work.id, error_code::deadline_exceeded, std::nullopt});
    }
    for (const gate_work& work : this->batch.take_overdue(now))
    {
        this->commands.push_back(return_work{work.id, true});
    }
}

void gate::start_online(time_point now)
{
    while (!this->online.empty() && this->free_slots(now) > 0)
    {
        const bool may_exceed_share =
            this->free_for_online(now) > this->share_reserve();
        const auto next = this->online.pop_if(
            [&](const workspace_name& workspace) {
                return may_exceed_share || !this->exceeds_share(workspace, now);
            });
        if (!next)
        {
            return;
        }
        this->start(*next, now);
        this->preempt_unstarted();
    }
}

void gate::preempt_unstarted()
{
    if (!this->trade.keeps_prompts_apart())
    {
        return;
    }
    while (const auto id = this->running.choose_without_output())
    {
        running_set::entry& work = *this->running.find(*id);
        work.requeue = true;
        this->stop(work);
    }
}

void gate::preempt(time_point now)
{
    if (this->waiting_since &&
        now < *this->waiting_since + this->trade.patience())
    {
        return;
    }
    if (this->health.allowed_slots(this->options.slots, now) <
        this->options.slots)
    {
        return;
    }
    int wanted = this->startable_online(now) - this->running.stopping_count();
    while (wanted > 0)
    {
        const auto victim = this->running.choose_victim();
        if (!victim)
        {
            return;
        }
        running_set::entry& work = *this->running.find(*victim);
        work.requeue = true;
        this->stop(work);
        wanted -= 1;
    }
}

void gate::start_batch(time_point now)
{
    while (this->batch_room(now) > 0 && !this->running.runs_alone() &&
           !this->running.awaits_output())
    {
        const bool no_other = this->running.count(work_class::batch) == 0;
        const auto next = this->batch.pop(no_other);
        if (!next)
        {
            return;
        }
        this->start(*next, now);
    }
}

void gate::pull(time_point now)
{
    if (!this->batch_offered || this->pull_pending || now < this->next_pull)
    {
        return;
    }
    const int room = std::max(0, this->batch_room(now));
    const int wanted = room + this->options.batch_prefetch - this->batch.size();
    if (wanted <= 0 || !this->online.empty())
    {
        return;
    }
    this->pull_pending = true;
    this->commands.push_back(pull_work{wanted});
}

void gate::start(const gate_work& work, time_point now)
{
    if (this->running.empty())
    {
        // Silence while there was nothing to answer does not count.
        this->last_heard = now;
    }
    this->running.add(work, now);
    this->commands.push_back(start_work{work.id});
}

void gate::stop(running_set::entry& work)
{
    work.stopping = true;
    this->commands.push_back(stop_work{work.work.id});
}

void gate::return_batch()
{
    for (const gate_work& work : this->batch.take_all())
    {
        this->commands.push_back(return_work{work.id, work.preempted});
    }
}

void gate::refuse_all(error_code reason, time_point now)
{
    const duration wait =
        std::max(closed_retry_after, this->health.usable(now)
                                         ? duration::zero()
                                         : this->health.retry_at() - now);
    for (const gate_work& work : this->online.take_all())
    {
        this->commands.push_back(refuse_work{work.id, reason, wait});
    }
}

} // namespace parsleytrack
