#include "slots/sharing_world.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::slots
{

namespace
{

constexpr time_point start_time{std::chrono::seconds(100)};
constexpr duration tick_interval = std::chrono::milliseconds(20);
/// Time in which a grant leaves enough of a target latency of 300 ms.
constexpr duration useful_time = std::chrono::milliseconds(225);
/// Callers wait for at most a third of their remaining time.
constexpr duration patience = std::chrono::seconds(6);
constexpr duration item_due = std::chrono::seconds(18);

} // namespace

sharing_world::sharing_world(const options& chosen_options)
    : chosen(chosen_options), random(chosen_options.seed),
      brokers(static_cast<std::size_t>(chosen_options.brokers))
{
}

std::map<std::string, sharing_world::outcome> sharing_world::run()
{
    this->set_replicas(true);
    for (const load& from : this->chosen.loads)
    {
        this->schedule_arrivals(from);
    }
    this->schedule(tick_interval, [this] { this->tick(); });
    if (this->chosen.broker_change > duration::zero())
    {
        this->schedule(this->chosen.broker_change,
                       [this] { this->change_broker(); });
    }
    if (this->chosen.outage_end > duration::zero())
    {
        this->schedule(this->chosen.outage_start,
                       [this] { this->set_replicas(false); });
        this->schedule(this->chosen.outage_end,
                       [this] { this->set_replicas(true); });
    }
    const time_point end = this->at(this->chosen.run_time);
    while (!this->events.empty() && this->events.top().when <= end)
    {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.when;
        next.action();
    }
    return this->counted;
}

int sharing_world::most_attempts(duration from) const
{
    constexpr duration window = std::chrono::milliseconds(100);
    int most = 0;
    auto first = std::lower_bound(this->attempts.begin(), this->attempts.end(),
                                  this->at(from));
    for (; first != this->attempts.end(); ++first)
    {
        const auto last =
            std::lower_bound(first, this->attempts.end(), *first + window);
        most = std::max(most, static_cast<int>(last - first));
    }
    return most;
}

double sharing_world::slot_time(const std::string& workspace, duration from,
                                duration until) const
{
    duration total = duration::zero();
    for (const held_span& span : this->spans)
    {
        const time_point begin = std::max(span.from, this->at(from));
        const time_point end = std::min(span.until, this->at(until));
        if (span.workspace == workspace && begin < end)
        {
            total += end - begin;
        }
    }
    return std::chrono::duration<double>(total).count();
}

void sharing_world::schedule(duration delay, std::function<void()> action)
{
    this->events.push(
        event{this->now + delay, this->next_order++, std::move(action)});
}

void sharing_world::schedule_arrivals(const load& from)
{
    const double rate =
        from.rate * (this->is_in_surge() ? from.surge_factor : 1.0);
    std::exponential_distribution<double> gap(rate);
    // The rate may change meanwhile, so long gaps are drawn again.
    constexpr duration longest = std::chrono::milliseconds(100);
    const duration delay(static_cast<std::int64_t>(gap(this->random) * 1e6));
    const bool arrives = delay <= longest;
    this->schedule(std::min(delay, longest),
                   [this, &from, arrives]
                   {
                       if (arrives)
                       {
                           this->arrive(from);
                       }
                       this->schedule_arrivals(from);
                   });
}

void sharing_world::arrive(const load& from)
{
    caller who;
    who.from = &from;
    who.gives_up = this->now + patience;
    who.counted = this->is_in_surge();
    this->counted[from.workspace].requests += who.counted ? 1 : 0;
    this->attempt(who);
}

void sharing_world::attempt(caller who)
{
    std::uniform_int_distribution<std::size_t> draw_broker(
        0, this->brokers.size() - 1);
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    who.broker = draw_broker(this->random);
    who.attempt_start = this->now;
    this->attempts.push_back(this->now);
    const slot_ticket ticket(this->next_ticket++);
    caller& added = this->open[ticket] = who;
    slot_broker& broker = this->brokers[who.broker];
    if (draw(this->random) < this->chosen.chosen_alone)
    {
        std::uniform_int_distribution<int> replica(0,
                                                   this->chosen.replicas - 1);
        added.replica = replica_id("r" + std::to_string(replica(this->random)));
        broker.adopt(ticket, this->request_of(added), added.replica, this->now);
        this->start(ticket, added);
        return;
    }
    broker.request(ticket, this->request_of(added), this->now);
    this->handle_commands(who.broker);
}

void sharing_world::handle_commands(std::size_t broker)
{
    for (const slot_command& command : this->brokers[broker].take_commands())
    {
        const auto found = this->open.find(command.ticket);
        if (found == this->open.end())
        {
            continue;
        }
        if (command.decision == slot_decision::granted)
        {
            found->second.replica = command.replica;
            this->start(command.ticket, found->second);
        }
        if (command.decision == slot_decision::refused)
        {
            const caller refused = found->second;
            this->open.erase(found);
            this->handle_refusal(refused, command);
        }
    }
}

void sharing_world::handle_refusal(const caller& who,
                                   const slot_command& command)
{
    if (who.counted)
    {
        outcome& fate = this->counted[who.from->workspace];
        ++(this->now == who.attempt_start ? fate.refused_at_once
                                          : fate.refused_after_wait);
    }
    constexpr duration least_remaining = std::chrono::milliseconds(300);
    const duration remaining = who.gives_up - this->now;
    if (remaining < least_remaining)
    {
        return;
    }
    caller again = who;
    again.first_attempt = false;
    this->schedule(std::min(command.retry_after, remaining / 3),
                   [this, again] { this->attempt(again); });
}

void sharing_world::start(slot_ticket ticket, caller& who)
{
    std::exponential_distribution<double> draw(
        1.0 / static_cast<double>(who.from->mean_hold.count()));
    const duration hold =
        who.from->mean_hold / 2 +
        duration(static_cast<std::int64_t>(draw(this->random) / 2));
    this->spans.push_back({who.from->workspace, this->now, this->now + hold});
    this->schedule(hold, [this, ticket] { this->finish(ticket); });
    if (!who.counted)
    {
        return;
    }
    outcome& fate = this->counted[who.from->workspace];
    const bool batch = who.from->kind == work_class::batch;
    const bool in_time =
        this->now <= who.attempt_start + (batch ? item_due : useful_time);
    fate.served += in_time ? 1 : 0;
    fate.at_once += in_time && who.first_attempt ? 1 : 0;
    fate.late += in_time ? 0 : 1;
    ++fate.granted;
    fate.waited +=
        std::chrono::duration<double>(this->now - who.attempt_start).count();
}

void sharing_world::finish(slot_ticket ticket)
{
    const auto found = this->open.find(ticket);
    const std::size_t broker = found->second.broker;
    this->open.erase(found);
    this->brokers[broker].release(ticket, this->now);
    this->handle_commands(broker);
}

void sharing_world::set_replicas(bool usable)
{
    for (std::size_t broker = 0; broker < this->brokers.size(); ++broker)
    {
        std::vector<slot_replica> list;
        for (int number = 0; usable && number < this->chosen.replicas; ++number)
        {
            if (static_cast<std::size_t>(number) % this->brokers.size() ==
                broker)
            {
                slot_replica& replica = list.emplace_back();
                replica.id = replica_id("r" + std::to_string(number));
                replica.slots = this->chosen.slots;
            }
        }
        this->brokers[broker].set_replicas(list, this->now);
        this->handle_commands(broker);
    }
}

void sharing_world::change_broker()
{
    for (slot_broker& broker : this->brokers)
    {
        broker = slot_broker();
    }
    this->set_replicas(true);
    const std::map<slot_ticket, caller> registered = this->open;
    for (const auto& [ticket, who] : registered)
    {
        slot_broker& broker = this->brokers[who.broker];
        if (!who.replica.empty())
        {
            broker.adopt(ticket, this->request_of(who), who.replica, this->now);
        }
        else
        {
            broker.request(ticket, this->request_of(who), this->now);
        }
        this->handle_commands(who.broker);
    }
}

void sharing_world::tick()
{
    for (std::size_t broker = 0; broker < this->brokers.size(); ++broker)
    {
        this->brokers[broker].tick(this->now);
        this->handle_commands(broker);
    }
    this->schedule(tick_interval, [this] { this->tick(); });
}

bool sharing_world::is_in_surge() const
{
    return this->now >= this->at(this->chosen.surge_start) &&
           this->now < this->at(this->chosen.surge_end);
}

slot_request sharing_world::request_of(const caller& who) const
{
    slot_request wanted;
    wanted.kind = who.from->kind;
    wanted.priority = who.from->priority;
    const bool batch = wanted.kind == work_class::batch;
    wanted.useful_until = who.attempt_start + (batch ? item_due : useful_time);
    wanted.wait_when_late = batch;
    if (this->chosen.named)
    {
        wanted.workspace = workspace_name(who.from->workspace);
    }
    return wanted;
}

time_point sharing_world::at(duration since_start) const
{
    return start_time + since_start;
}

} // namespace parsleytrack::slots
