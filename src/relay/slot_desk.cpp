#include "relay/slot_desk.hpp"

#include "logging/log.hpp"
#include "relay/slot_codec.hpp"
#include "slots/replica_pools.hpp"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// How late a waiting request may learn that it will not be served in time.
constexpr duration tick_interval = std::chrono::milliseconds(20);
/// How often the state of the slots is logged: on-call engineers read it by the
/// second, and a line a second costs next to nothing.
constexpr duration show_interval = std::chrono::seconds(1);

} // namespace

slot_desk::slot_desk(const relay_context& node) : context(node)
{
    this->context.replicas.on_change([this] { this->update_replicas(); });
    this->context.peers.on_call(
        wire::message_type::slot_request,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->answer_peer(exchange); });
    this->context.peers.on_call(
        wire::message_type::slot_report,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->take_peer_report(exchange); });
    this->tick_timer =
        this->context.loop.call_every(tick_interval, [this] { this->tick(); });
    this->show_timer = this->context.loop.call_every(show_interval, [this]
                                                     { this->show_state(); });
}

slots::slot_ticket slot_desk::open(const slot_order& order,
                                   answer_callback callback)
{
    const time_point now = net::event_loop::now();
    const slots::slot_ticket ticket(this->next_ticket++);
    slots::slot_broker& broker = this->broker_of(order.pool);
    slots::slot_request wanted;
    wanted.kind = order.kind;
    wanted.priority = order.priority;
    wanted.useful_until = now + order.useful_for;
    wanted.wait_when_late = order.wait_when_late;
    wanted.availability_zone = order.availability_zone;
    wanted.excluded = order.excluded;
    order_state& state = this->orders[ticket];
    state = order_state{order, std::move(callback), false, false, {}};
    this->tickets[order.request] = ticket;
    if (!order.held.empty())
    {
        state.granted = true;
        state.replica = order.held;
        broker.adopt(ticket, wanted, order.held, now);
    }
    else
    {
        broker.request(ticket, wanted, now);
    }
    // Not before the caller knows its ticket.
    this->context.loop.post(
        [this, pool = order.pool, ticket]
        {
            this->carry_out(this->broker_of(pool));
            const auto found = this->orders.find(ticket);
            if (found != this->orders.end() && !found->second.granted)
            {
                slot_answer queued;
                queued.spare =
                    this->broker_of(pool).spare(net::event_loop::now());
                found->second.callback(queued);
            }
        });
    return ticket;
}

void slot_desk::close(slots::slot_ticket ticket)
{
    const auto found = this->orders.find(ticket);
    if (found == this->orders.end())
    {
        return;
    }
    const order_state state = std::move(found->second);
    this->orders.erase(found);
    const auto named = this->tickets.find(state.order.request);
    if (named != this->tickets.end() && named->second == ticket)
    {
        this->tickets.erase(named);
    }
    slots::slot_broker& broker = this->broker_of(state.order.pool);
    if (state.granted && !state.failed)
    {
        broker.report_success(state.replica);
    }
    broker.end(ticket, net::event_loop::now());
    this->carry_out(broker);
}

void slot_desk::take_report(const replica_report& report)
{
    const auto named = this->tickets.find(report.request);
    if (named != this->tickets.end())
    {
        this->orders.at(named->second).failed = true;
    }
    if (report.leaving)
    {
        this->context.replicas.mark_leaving(report.replica, "another_node");
        return;
    }
    const std::size_t replicas =
        this->context.replicas.book().usable(report.service).size();
    const slot_pool pool{
        report.service,
        slots::pool_of(report.replica, slots::pool_count(replicas))};
    this->broker_of(pool).report_failure(report.replica,
                                         net::event_loop::now());
}

slots::slot_broker& slot_desk::broker_of(const slot_pool& pool)
{
    const auto known = this->brokers.find(pool);
    if (known != this->brokers.end())
    {
        return known->second;
    }
    slots::slot_broker& broker = this->brokers[pool];
    this->update_replicas(pool, broker);
    return broker;
}

void slot_desk::update_replicas()
{
    for (auto& [pool, broker] : this->brokers)
    {
        this->update_replicas(pool, broker);
    }
}

void slot_desk::update_replicas(const slot_pool& pool,
                                slots::slot_broker& broker)
{
    const auto replicas = this->context.replicas.book().usable(pool.service);
    const int pools = slots::pool_count(replicas.size());
    std::vector<slots::slot_replica> usable;
    for (const routing::replica_entry* entry : replicas)
    {
        if (slots::pool_of(entry->id, pools) == pool.index)
        {
            usable.push_back(slots::slot_replica{
                entry->id, entry->availability_zone, entry->slots});
        }
    }
    broker.set_replicas(usable, net::event_loop::now());
    this->carry_out(broker);
}

void slot_desk::answer_peer(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto order = decode_slot_order(exchange->request());
    if (order.has_error())
    {
        log_event(log_level::warning, "slot_order_refused",
                  {{"reason", order.error().message}});
        exchange->fail(order.error());
        return;
    }
    const slots::slot_ticket ticket =
        this->open(order.value(), [exchange](const slot_answer& answer)
                   { exchange->send_part(encode(answer)); });
    exchange->on_cancelled([this, ticket] { this->close(ticket); });
}

void slot_desk::take_peer_report(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto report = decode_replica_report(exchange->request());
    if (report.has_error())
    {
        log_event(log_level::warning, "replica_report_refused",
                  {{"reason", report.error().message}});
        exchange->fail(report.error());
        return;
    }
    this->take_report(report.value());
    exchange->finish({});
}

void slot_desk::tick()
{
    const time_point now = net::event_loop::now();
    for (auto& [pool, broker] : this->brokers)
    {
        if (broker.waiting_online() > 0 || broker.waiting_batch() > 0)
        {
            broker.tick(now);
            this->carry_out(broker);
        }
    }
}

std::vector<pool_state> slot_desk::pools() const
{
    const time_point now = net::event_loop::now();
    std::vector<pool_state> list;
    for (const auto& [pool, broker] : this->brokers)
    {
        pool_state& state = list.emplace_back();
        state.name = pool.name();
        state.slots = broker.total_slots();
        state.free = broker.free_slots(now);
        state.online = broker.used_slots() - broker.used_by_batch();
        state.batch = broker.used_by_batch();
        state.waiting_online = static_cast<int>(broker.waiting_online());
        state.waiting_batch = static_cast<int>(broker.waiting_batch());
        state.mean_hold = broker.mean_online_hold();
    }
    return list;
}

void slot_desk::show_state() const
{
    for (const pool_state& pool : this->pools())
    {
        this->show_pool(pool);
    }
}

void slot_desk::show_pool(const pool_state& pool) const
{
    const auto gauge = [this, &pool](const char* use, int value)
    {
        this->context.metrics.set_gauge(
            "parsleytrack_slots", {{"pool", pool.name}, {"use", use}}, value);
    };
    gauge("all", pool.slots);
    gauge("free", pool.free);
    gauge("online", pool.online);
    gauge("batch", pool.batch);
    gauge("waiting_online", pool.waiting_online);
    gauge("waiting_batch", pool.waiting_batch);
    if (!pool.is_busy())
    {
        return;
    }
    log_event(
        log_level::info, "slots",
        {{"pool", pool.name},
         {"slots", pool.slots},
         {"free", pool.free},
         {"online", pool.online},
         {"batch", pool.batch},
         {"waiting_online", pool.waiting_online},
         {"waiting_batch", pool.waiting_batch},
         {"mean_hold_ms", to_milliseconds(pool.mean_hold)},
         {"replicas_age_ms", to_milliseconds(this->context.replicas.age())}});
}

void slot_desk::carry_out(slots::slot_broker& broker)
{
    for (const slots::slot_command& command : broker.take_commands())
    {
        const auto found = this->orders.find(command.ticket);
        if (found == this->orders.end())
        {
            continue;
        }
        order_state& state = found->second;
        slot_answer answer;
        answer.replica = command.replica;
        answer.retry_after = command.retry_after;
        answer.spare = command.free_slots - command.waiting;
        switch (command.verdict)
        {
        case slots::slot_verdict::granted:
            answer.what = slot_answer::verdict::granted;
            state.granted = true;
            state.replica = command.replica;
            break;
        case slots::slot_verdict::refused:
            answer.what = slot_answer::verdict::refused;
            log_event(
                log_level::info, "slot_refused",
                {{"request", state.order.request.str()},
                 {"pool", state.order.pool.name()},
                 {"waiting", command.waiting},
                 {"used", broker.used_slots()},
                 {"slots", broker.total_slots()},
                 {"retry_after_ms", to_milliseconds(command.retry_after)}});
            break;
        case slots::slot_verdict::reclaimed:
            answer.what = slot_answer::verdict::reclaimed;
            break;
        }
        // The callback may close this or other orders.
        const answer_callback callback = state.callback;
        callback(answer);
    }
}

} // namespace parsleytrack::relay
