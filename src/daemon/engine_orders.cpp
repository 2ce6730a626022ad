#include "daemon/engine_orders.hpp"

#include "logging/log.hpp"

#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration lease_lifetime = std::chrono::seconds(8);
constexpr duration renew_interval = std::chrono::seconds(2);
constexpr duration shortest_lease_retry = std::chrono::milliseconds(700);
constexpr duration longest_lease_retry = std::chrono::milliseconds(1500);

} // namespace

engine_orders::engine_orders(node_context& node, directory_module& directory,
                             load_slots& slots, replica_info replica,
                             bool checks_fencing)
    : context(node), replicas(directory), weight_slots(slots),
      engine(std::move(replica)),
      client(node.http, this->engine.address, engine_reconciler::order_timeout),
      reconciler(this->engine.service, checks_fencing),
      lease(node, "parsleytrack/order_leases/" + this->engine.id.str(),
            lease_lifetime)
{
}

engine_orders::~engine_orders()
{
    if (this->reconciler.is_loading())
    {
        this->weight_slots.budget().abandon(this->engine.id);
    }
}

void engine_orders::tick(bool is_gate)
{
    const time_point now = net::event_loop::now();
    engine_reconciler::holdings held;
    held.is_gate = is_gate;
    held.lease_until = this->lease.valid_until();
    held.lease_since = this->lease.held_since();
    held.slot_free = this->weight_slots.budget().can_start(now);
    const order_step step =
        this->reconciler.next(this->context.catalogue.current(), held, now);
    this->update_lease(step.needs_lease && is_gate);
    this->note_wait(step.waits_for);
    if (step.read_state)
    {
        this->read_state();
    }
    if (step.send)
    {
        if (!step.send->load.empty())
        {
            this->weight_slots.budget().start(this->engine.id, now);
        }
        this->send(*step.send);
    }
}

void engine_orders::read_state()
{
    this->state_call = this->client.read_state(
        [this,
         asked_at = net::event_loop::now()](const result<engine_state>& end)
        {
            const auto ended = std::move(this->state_call);
            this->handle_state(end, asked_at);
        });
}

void engine_orders::handle_state(const result<engine_state>& end,
                                 time_point asked_at)
{
    const time_point now = net::event_loop::now();
    if (end.has_error())
    {
        this->context.metrics.count(
            "parsleytrack_engine_state_failures_total",
            {{"reason", std::string(to_string(end.error().code))}});
        if (this->reconciler.state_failed(now))
        {
            this->weight_slots.budget().finish(this->engine.id);
        }
        return;
    }
    if (this->reconciler.take_state(end.value(), now))
    {
        this->weight_slots.budget().finish(this->engine.id);
    }
    if (end.value().leaving)
    {
        this->replicas.report_leaving(this->engine.id);
        return;
    }
    this->replicas.report_live(this->engine.id, asked_at);
}

void engine_orders::send(const engine_order& order)
{
    log_event(log_level::info, "order_sent",
              {{"replica", this->engine.id.str()},
               {"fencing_number", order.number.count()},
               {"load", order.load.empty() ? std::string()
                                           : to_string(order.load.front())},
               {"unload", order.unload.size()}});
    this->order_call =
        this->client.send(order,
                          [this](const result<backends::order_answer>& end)
                          {
                              const auto ended = std::move(this->order_call);
                              this->handle_answer(end);
                          });
}

void engine_orders::handle_answer(const result<backends::order_answer>& end)
{
    const time_point now = net::event_loop::now();
    if (end.has_error())
    {
        this->count_order("lost");
        log_event(log_level::warning, "order_answer_lost",
                  {{"replica", this->engine.id.str()},
                   {"reason", to_string(end.error().code)}});
        this->reconciler.order_lost(now);
        return;
    }
    if (end.value().accepted)
    {
        this->count_order("accepted");
        this->reconciler.order_accepted(now);
        return;
    }
    this->count_order("refused");
    log_event(log_level::warning, "order_refused",
              {{"replica", this->engine.id.str()},
               {"highest_fencing_number", end.value().highest.count()}});
    if (this->reconciler.order_refused(now))
    {
        this->weight_slots.budget().finish(this->engine.id);
    }
}

void engine_orders::update_lease(bool needed)
{
    if (!needed)
    {
        this->lease.release();
        return;
    }
    const time_point now = net::event_loop::now();
    if (this->lease.current_phase() == leased_key::phase::held)
    {
        if (now - this->lease.renewed_at() >= renew_interval)
        {
            this->lease.renew();
        }
        return;
    }
    if (now < this->next_lease_try)
    {
        return;
    }
    std::uniform_int_distribution<duration::rep> wait(
        shortest_lease_retry.count(), longest_lease_retry.count());
    this->next_lease_try = now + duration(wait(this->context.random));
    this->lease.take();
}

void engine_orders::note_wait(std::string_view reason)
{
    if (reason == this->last_wait)
    {
        return;
    }
    this->last_wait = reason;
    if (!reason.empty())
    {
        this->context.metrics.count("parsleytrack_order_waits_total",
                                    {{"reason", std::string(reason)}});
    }
}

void engine_orders::count_order(const char* outcome)
{
    this->context.metrics.count("parsleytrack_orders_total",
                                {{"outcome", outcome}});
}

} // namespace parsleytrack
