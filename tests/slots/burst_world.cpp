#include "slots/burst_world.hpp"

#include "slots/replica_pools.hpp"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace parsleytrack::slots
{

namespace
{

constexpr duration message_delay = std::chrono::microseconds(700);
constexpr duration quiet_time = std::chrono::milliseconds(3800);
constexpr duration burst_time = std::chrono::milliseconds(2800);
/// Time in which a grant leaves enough of a target latency of 300 ms.
constexpr duration useful_time = std::chrono::milliseconds(225);
constexpr duration shortest_item = std::chrono::milliseconds(3500);
constexpr duration longest_item = std::chrono::milliseconds(6500);
constexpr duration item_due = std::chrono::seconds(18);
/// Closing a connection and telling the broker.
constexpr duration reclaim_time = std::chrono::milliseconds(12);
constexpr duration tick_interval = std::chrono::milliseconds(50);

} // namespace

burst_world::burst_world(const options& chosen_options)
    : chosen(chosen_options), random(chosen_options.seed),
      brokers(static_cast<std::size_t>(chosen_options.pools)),
      selectors(static_cast<std::size_t>(chosen_options.nodes))
{
    this->replicas.resize(this->brokers.size());
    for (int number = 0; number < this->chosen.replicas; ++number)
    {
        const replica_id id("replica-" + std::to_string(number));
        const int pool = pool_of(id, this->chosen.pools);
        slot_replica& replica =
            this->replicas.at(static_cast<std::size_t>(pool)).emplace_back();
        replica.id = id;
        replica.slots = this->chosen.slots;
        if (number < this->chosen.limited_replicas)
        {
            replica.limit = request_rate(this->chosen.limit);
            this->sent[id];
        }
    }
    for (std::size_t pool = 0; pool < this->brokers.size(); ++pool)
    {
        this->brokers[pool].set_replicas(this->replicas[pool], this->now);
    }
    for (pool_selector& selector : this->selectors)
    {
        selector.set_pool_count(this->chosen.pools);
    }
}

void burst_world::schedule(duration delay, std::function<void()> action)
{
    this->events.push(
        event{this->now + delay, this->next_order++, std::move(action)});
}

double burst_world::rate() const
{
    const duration at =
        this->now.time_since_epoch() % (quiet_time + burst_time);
    return at < quiet_time ? this->chosen.quiet_rate : this->chosen.burst_rate;
}

void burst_world::schedule_arrival()
{
    std::exponential_distribution<double> gap(this->rate());
    const auto delay = static_cast<std::int64_t>(gap(this->random) * 1e6);
    this->schedule(
        duration(delay),
        [this]
        {
            ++this->counted.requests;
            open_request wanted;
            wanted.node = this->draw_node();
            wanted.pool =
                this->selectors[static_cast<std::size_t>(wanted.node)].choose(
                    this->random);
            this->request(wanted);
            this->schedule_arrival();
        });
}

void burst_world::schedule_item()
{
    std::exponential_distribution<double> gap(this->chosen.item_rate);
    const auto delay = static_cast<std::int64_t>(gap(this->random) * 1e6);
    this->schedule(duration(delay),
                   [this]
                   {
                       std::uniform_int_distribution<duration::rep> draw(
                           shortest_item.count(), longest_item.count());
                       this->items.push_back(item{
                           this->now + item_due, duration(draw(this->random))});
                       open_request wanted;
                       wanted.kind = work_class::batch;
                       wanted.item = this->items.size() - 1;
                       wanted.node = this->draw_node();
                       wanted.pool =
                           static_cast<int>(wanted.item) % this->chosen.pools;
                       this->request(wanted);
                       this->schedule_item();
                   });
}

int burst_world::draw_node()
{
    std::uniform_int_distribution<int> draw(0, this->chosen.nodes - 1);
    return draw(this->random);
}

duration burst_world::draw_hold()
{
    std::exponential_distribution<double> draw(
        1.0 / static_cast<double>(this->chosen.mean_hold.count()));
    return this->chosen.mean_hold / 2 +
           duration(static_cast<std::int64_t>(draw(this->random) / 2));
}

void burst_world::request(const open_request& wanted)
{
    const slot_ticket ticket(this->next_ticket++);
    open_request& state = this->open[ticket];
    state = wanted;
    state.requested = this->now;
    this->schedule(
        message_delay,
        [this, ticket, wanted]
        {
            slot_request order;
            order.kind = wanted.kind;
            order.useful_until = this->now + useful_time;
            if (wanted.kind == work_class::batch)
            {
                order.useful_until = this->items[wanted.item].due;
                order.wait_when_late = true;
            }
            this->brokers[static_cast<std::size_t>(wanted.pool)].request(
                ticket, order, this->now);
            this->handle_commands(wanted.pool);
        });
}

void burst_world::handle_commands(int pool)
{
    slot_broker& broker = this->brokers[static_cast<std::size_t>(pool)];
    for (const slot_command& command : broker.take_commands())
    {
        this->schedule(message_delay,
                       [this, command]
                       {
                           const auto found = this->open.find(command.ticket);
                           if (found != this->open.end())
                           {
                               this->handle(command, found->second);
                           }
                       });
    }
}

void burst_world::handle(const slot_command& command, open_request& state)
{
    const slot_ticket ticket = command.ticket;
    this->selectors[static_cast<std::size_t>(state.node)].record_spare(
        state.pool, command.free_slots - command.waiting);
    const bool online = state.kind == work_class::online;
    if (command.decision == slot_decision::granted)
    {
        this->counted.in_time +=
            online && this->now - state.requested <= useful_time ? 1 : 0;
        state.granted = this->now;
        state.replica = command.replica;
        const auto limited = this->sent.find(command.replica);
        if (limited != this->sent.end())
        {
            limited->second.push_back(this->now);
        }
        this->schedule(online ? this->draw_hold()
                              : this->items[state.item].remaining,
                       [this, ticket] { this->release(ticket, true); });
        return;
    }
    if (command.decision == slot_decision::refused)
    {
        this->counted.refused += online ? 1 : 0;
        this->open.erase(ticket);
        return;
    }
    ++this->counted.reclaimed;
    this->schedule(reclaim_time,
                   [this, ticket] { this->release(ticket, false); });
}

void burst_world::release(slot_ticket ticket, bool completed)
{
    const auto found = this->open.find(ticket);
    if (found == this->open.end())
    {
        return;
    }
    const open_request state = found->second;
    this->open.erase(found);
    this->brokers[static_cast<std::size_t>(state.pool)].release(ticket,
                                                                this->now);
    this->handle_commands(state.pool);
    if (state.kind == work_class::online)
    {
        return;
    }
    item& worked_on = this->items[state.item];
    worked_on.remaining -= this->now - state.granted;
    if (!completed)
    {
        this->request(state);
        return;
    }
    worked_on.in_time = this->now <= worked_on.due;
}

void burst_world::restart_brokers()
{
    for (std::size_t pool = 0; pool < this->brokers.size(); ++pool)
    {
        this->brokers[pool] = slot_broker();
        this->brokers[pool].set_replicas(this->replicas[pool], this->now);
    }
    for (const auto& [ticket, state] : this->open)
    {
        slot_broker& broker =
            this->brokers[static_cast<std::size_t>(state.pool)];
        slot_request order;
        order.kind = state.kind;
        order.useful_until = state.kind == work_class::batch
                                 ? this->items[state.item].due
                                 : state.requested + useful_time;
        order.wait_when_late = state.kind == work_class::batch;
        if (!state.replica.empty())
        {
            broker.adopt(ticket, order, state.replica, this->now);
        }
        else
        {
            broker.request(ticket, order, this->now);
        }
    }
}

int burst_world::most_at_limited() const
{
    constexpr duration window = std::chrono::seconds(4);
    int most = 0;
    for (const auto& [replica, times] : this->sent)
    {
        for (auto first = times.begin(); first != times.end(); ++first)
        {
            const auto last =
                std::lower_bound(first, times.end(), *first + window);
            most = std::max(most, static_cast<int>(last - first));
        }
    }
    return most;
}

burst_world::outcome burst_world::run(duration span)
{
    const time_point end = this->now + span;
    this->schedule_arrival();
    this->schedule_item();
    double used = 0.0;
    int samples = 0;
    std::function<void()> tick = [this, &used, &samples, &tick]
    {
        for (int pool = 0; pool < this->chosen.pools; ++pool)
        {
            slot_broker& broker = this->brokers[static_cast<std::size_t>(pool)];
            broker.tick(this->now);
            used += broker.used_slots();
            this->handle_commands(pool);
        }
        ++samples;
        this->schedule(tick_interval, tick);
    };
    this->schedule(tick_interval, tick);
    std::function<void()> restart = [this, &restart]
    {
        this->restart_brokers();
        this->schedule(this->chosen.broker_lifetime, restart);
    };
    if (this->chosen.broker_lifetime > duration::zero())
    {
        this->schedule(this->chosen.broker_lifetime, restart);
    }
    while (!this->events.empty() && this->events.top().when <= end)
    {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.when;
        next.action();
    }
    for (const item& entry : this->items)
    {
        const bool due = entry.due <= end;
        this->counted.items_due += due ? 1 : 0;
        this->counted.items_in_time += due && entry.in_time ? 1 : 0;
    }
    this->counted.most_at_limited = this->most_at_limited();
    this->counted.used =
        used / samples / (this->chosen.replicas * this->chosen.slots);
    return this->counted;
}

} // namespace parsleytrack::slots
