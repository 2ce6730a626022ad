#include "relay/slot_client.hpp"

#include "logging/log.hpp"
#include "relay/slot_codec.hpp"
#include "slots/replica_pools.hpp"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

/// A broker answers each order at once; several times the slowest way there
/// and back between availability zones, beside other work on both nodes.
constexpr duration broker_patience = std::chrono::milliseconds(80);
/// How long a broker that did not answer is not asked.
constexpr duration silence_pause = std::chrono::seconds(1);
/// How long an order waits in one pool before another one is looked at.
constexpr duration rebalance_interval = std::chrono::milliseconds(300);
constexpr duration report_timeout = std::chrono::milliseconds(500);
constexpr duration retry_after_without_replica = std::chrono::seconds(1);

} // namespace

slot_lease::~slot_lease()
{
    this->client.give_back(this->number);
}

slot_client::slot_client(const relay_context& node, slot_desk& local_desk)
    : context(node), desk(local_desk), brokers(silence_pause)
{
    this->context.group.on_change(
        [this]
        {
            this->brokers.forget();
            this->move_orders();
        });
    this->rebalance_timer = this->context.loop.call_every(
        rebalance_interval, [this] { this->rebalance(); });
}

std::unique_ptr<slot_lease> slot_client::order(const slot_order& wanted,
                                               callbacks hooks)
{
    const std::uint64_t number = this->next_number++;
    order_state& state = this->orders[number];
    state.order = wanted;
    state.order.pool.index =
        this->pools_of(wanted.pool.service).choice.choose(this->context.random);
    state.hooks = std::move(hooks);
    state.opened = net::event_loop::now();
    this->open(number);
    return std::make_unique<slot_lease>(*this, number);
}

void slot_client::report(const replica_report& report)
{
    const slot_pool pool{
        report.service,
        slots::pool_of(report.replica, this->pools_of(report.service).count)};
    const node_info broker = this->broker_of(pool);
    if (broker.id == this->context.group.own().id)
    {
        this->desk.take_report(report);
        return;
    }
    const std::uint64_t number = this->next_number++;
    this->reports[number] = this->context.peers.call(
        broker.peer, wire::message_type::slot_report, encode(report),
        report_timeout,
        {{},
         [this, number, replica = report.replica](result<std::string> outcome)
         {
             if (outcome.has_error())
             {
                 log_event(log_level::info, "replica_report_lost",
                           {{"replica", replica.str()},
                            {"reason", outcome.error().message}});
             }
             this->reports.erase(number);
         }});
}

void slot_client::report_end(const request_id& request,
                             const service_name& service,
                             const replica_id& replica, replica_verdict verdict)
{
    if (verdict == replica_verdict::not_run)
    {
        return;
    }
    const bool leaving = verdict == replica_verdict::wrong_replica;
    if (leaving)
    {
        this->context.replicas.mark_leaving(replica, "refused_request");
    }
    this->report(replica_report{request, service, replica, leaving});
}

void slot_client::give_back(std::uint64_t number)
{
    const auto found = this->orders.find(number);
    if (found == this->orders.end())
    {
        return;
    }
    order_state state = std::move(found->second);
    this->orders.erase(found);
    if (state.granted && --this->in_flight[state.order.held] <= 0)
    {
        this->in_flight.erase(state.order.held);
    }
    if (state.ticket)
    {
        this->desk.close(*state.ticket);
    }
}

slot_client::service_pools& slot_client::pools_of(const service_name& service)
{
    const routing::replica_book& book = this->context.replicas.book();
    service_pools& known = this->pools[service];
    if (known.generation != book.generation())
    {
        known.generation = book.generation();
        known.count = slots::pool_count(book.usable(service).size());
        known.choice.set_count(known.count);
    }
    return known;
}

const node_info& slot_client::broker_of(const slot_pool& pool)
{
    return this->brokers.choose(pool.name(), this->context.group.own(),
                                this->context.group.live_nodes(),
                                net::event_loop::now());
}

void slot_client::open(std::uint64_t number)
{
    order_state& state = this->orders.at(number);
    const node_info broker = this->broker_of(state.order.pool);
    const node_id& own = this->context.group.own().id;
    state.broker = broker.id;
    if (state.broker == own)
    {
        state.ticket = this->desk.open(state.order,
                                       [this, number](const slot_answer& answer)
                                       { this->take_answer(number, answer); });
        return;
    }
    state.call = this->context.peers.call(
        broker.peer, wire::message_type::slot_request, encode(state.order),
        duration::zero(),
        {[this, number](const std::string& bytes)
         {
             const auto answer = decode_slot_answer(bytes);
             if (answer.has_error())
             {
                 this->lose_broker(number, "unreadable_answer");
                 return;
             }
             this->take_answer(number, answer.value());
         },
         [this, number](const result<std::string>&)
         {
             this->lose_broker(number, "connection_lost");
         }});
    if (!state.granted)
    {
        state.patience = this->context.loop.call_after(
            broker_patience,
            [this, number] { this->lose_broker(number, "silent"); });
    }
}

void slot_client::take_answer(std::uint64_t number, const slot_answer& answer)
{
    const auto found = this->orders.find(number);
    if (found == this->orders.end())
    {
        return;
    }
    order_state& state = found->second;
    state.patience.cancel();
    this->pools_of(state.order.pool.service)
        .choice.note(state.order.pool.index, answer.spare);
    // Callbacks may destroy the lease and with it this order.
    const callbacks hooks = state.hooks;
    switch (answer.what)
    {
    case slot_answer::verdict::queued:
        return;
    case slot_answer::verdict::granted:
        if (state.granted)
        {
            return;
        }
        state.granted = true;
        state.order.held = answer.replica;
        ++this->in_flight[answer.replica];
        hooks.on_granted(answer.replica);
        return;
    case slot_answer::verdict::refused:
        hooks.on_refused(answer.retry_after);
        return;
    case slot_answer::verdict::reclaimed:
        if (hooks.on_reclaimed)
        {
            hooks.on_reclaimed();
        }
        return;
    }
}

void slot_client::lose_broker(std::uint64_t number, const char* reason)
{
    const auto found = this->orders.find(number);
    if (found == this->orders.end())
    {
        return;
    }
    order_state& state = found->second;
    if (this->brokers.note_silent(state.broker, net::event_loop::now()))
    {
        log_event(log_level::warning, "slot_broker_lost",
                  {{"broker", state.broker.str()},
                   {"pool", state.order.pool.name()},
                   {"reason", reason},
                   {"request", state.order.request.str()}});
    }
    // The call may be the one whose callback runs.
    this->context.loop.free_later(std::move(state.call));
    state.patience.cancel();
    if (state.granted)
    {
        // The next broker learns of the slot in use.
        this->open(number);
        return;
    }
    this->choose_alone(number);
}

void slot_client::choose_alone(std::uint64_t number)
{
    order_state& state = this->orders.at(number);
    const routing::replica_entry* best = nullptr;
    double best_load = 0.0;
    for (const auto* entry :
         this->context.replicas.book().usable(state.order.pool.service))
    {
        if (state.order.excluded.contains(entry->id))
        {
            continue;
        }
        // Some jitter, so that nodes without a broker do not all choose alike.
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        const auto known = this->in_flight.find(entry->id);
        const int used = known == this->in_flight.end() ? 0 : known->second;
        const double load =
            (used + jitter(this->context.random)) / std::max(1, entry->slots);
        if (best == nullptr || load < best_load)
        {
            best = entry;
            best_load = load;
        }
    }
    const callbacks hooks = state.hooks;
    if (best == nullptr)
    {
        hooks.on_refused(retry_after_without_replica);
        return;
    }
    log_event(
        log_level::info, "slot_chosen_alone",
        {{"request", state.order.request.str()}, {"replica", best->id.str()}});
    state.granted = true;
    state.order.held = best->id;
    ++this->in_flight[best->id];
    const replica_id chosen = best->id;
    this->open(number);
    hooks.on_granted(chosen);
}

void slot_client::move_orders()
{
    std::vector<std::uint64_t> moved;
    for (const auto& [number, state] : this->orders)
    {
        if (this->broker_of(state.order.pool).id != state.broker)
        {
            moved.push_back(number);
        }
    }
    for (const std::uint64_t number : moved)
    {
        this->reopen(number);
    }
}

void slot_client::rebalance()
{
    // A broker that is no longer left out learns of the slots in use.
    this->move_orders();
    std::vector<std::pair<std::uint64_t, int>> moved;
    const time_point now = net::event_loop::now();
    for (const auto& [number, state] : this->orders)
    {
        if (state.granted || now - state.opened < rebalance_interval)
        {
            continue;
        }
        service_pools& pools = this->pools_of(state.order.pool.service);
        if (const auto better =
                pools.choice.better_than(state.order.pool.index))
        {
            pools.choice.note(*better, pools.choice.spare_of(*better) - 1);
            moved.emplace_back(number, *better);
        }
    }
    for (const auto& [number, pool] : moved)
    {
        const auto found = this->orders.find(number);
        if (found != this->orders.end())
        {
            found->second.order.pool.index = pool;
            this->reopen(number);
        }
    }
}

void slot_client::reopen(std::uint64_t number)
{
    const auto found = this->orders.find(number);
    if (found == this->orders.end())
    {
        return;
    }
    order_state& state = found->second;
    state.call.reset();
    if (state.ticket)
    {
        this->desk.close(*state.ticket);
        state.ticket.reset();
    }
    this->open(number);
}

} // namespace parsleytrack::relay
