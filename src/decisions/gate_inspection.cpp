// What a gate tells of itself; its decisions are in gate.cpp.

#include "decisions/gate.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

std::optional<time_point> gate::wakeup(time_point now) const
{
    std::optional<time_point> next;
    const auto consider = [&next, now](time_point moment)
    {
        if (moment > now && (!next || moment < *next))
        {
            next = moment;
        }
    };
    consider(this->foreign.known_at());
    consider(this->health.retry_at());
    consider(this->batch_held_until);
    if (!this->running.empty())
    {
        consider(this->last_heard + this->options.silence_limit);
    }
    if (this->waiting_since)
    {
        consider(*this->waiting_since + this->trade.patience());
    }
    if (const auto deadline = this->online.earliest_deadline())
    {
        consider(*deadline);
    }
    if (const auto give_back = this->batch.earliest_give_back())
    {
        consider(*give_back);
    }
    if (this->batch_offered && !this->pull_pending)
    {
        consider(this->next_pull);
    }
    return next;
}

gate_status gate::status(time_point now) const
{
    gate_status now_status;
    now_status.slots = this->options.slots;
    now_status.online_running = this->running.count(work_class::online);
    now_status.batch_running = this->running.count(work_class::batch);
    now_status.foreign_running = this->foreign.count();
    now_status.online_queued = this->online.size();
    now_status.online_ahead = this->startable_online(now);
    now_status.batch_queued = this->batch.size();
    const int usable = std::max(1, this->options.slots - this->foreign.count());
    now_status.predicted_first_output = this->entry.predict(
        now_status.online_ahead, usable, usable - now_status.online_running);
    // Work without output yet shows that a replica has become slow before the
    // average does.
    now_status.first_output_latency =
        std::max(this->entry.first_output_latency(),
                 this->running.longest_without_output(now));
    const bool is_quiet = !this->running.empty() &&
                          now - this->last_heard >= this->options.probe_after;
    now_status.wants_probe = this->health.is_unresponsive() || is_quiet;
    now_status.usable = !this->closed && this->health.usable(now);
    return now_status;
}

bool gate::idle() const
{
    return this->running.empty() && this->online.empty() && this->batch.empty();
}

void gate::check(time_point now) const
{
    check_invariant(this->running.size() <= this->options.slots,
                    "a gate never sends more than its replica has slots");
    if (this->startable_online(now) > 0 &&
        this->trade.patience() == duration::zero())
    {
        check_invariant(this->running.stopping_count() > 0 ||
                            !this->running.choose_victim() ||
                            this->running.size() < this->options.slots,
                        "no online request waits behind batch work that could "
                        "be preempted");
    }
}

std::vector<gate_command> gate::take_commands()
{
    return std::exchange(this->commands, {});
}

} // namespace parsleytrack
