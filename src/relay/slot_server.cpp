#include "relay/slot_server.hpp"

#include "logging/log.hpp"
#include "relay/slot_codec.hpp"
#include "slots/limit_share.hpp"
#include "slots/replica_pools.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Maximum delay of the refusal of a waiting request after its deadline.
constexpr duration tick_interval = std::chrono::milliseconds(20);
/// How often the state of the slots is logged and exported: on-call engineers
/// need it by the second, and one log line per second costs almost nothing.
constexpr duration metrics_interval = std::chrono::seconds(1);

} // namespace

slot_server::slot_server(const relay_context& node) : context(node)
{
    this->context.replicas.on_change([this] { this->update_replicas(); });
    this->context.group.on_change(
        [this]
        {
            this->selector.clear_choices();
            this->drop_requests_of_dead_nodes();
            this->update_replicas();
        });
    this->context.peers.on_call(
        wire::message_type::slot_request,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->handle_peer_request(exchange); });
    this->context.peers.on_call(
        wire::message_type::slot_report,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->handle_peer_report(exchange); });
    this->tick_timer =
        this->context.loop.call_every(tick_interval, [this] { this->tick(); });
    this->metrics_timer = this->context.loop.call_every(
        metrics_interval, [this] { this->export_metrics(); });
}

slots::slot_ticket slot_server::open(const slot_request& request,
                                     response_callback callback)
{
    const time_point now = net::event_loop::now();
    const slots::slot_ticket ticket(this->next_ticket++);
    slots::slot_broker& broker = this->broker_of(request.pool);
    this->update_doubts(broker);
    const slots::slot_request wanted = to_broker_request(request, now);
    open_request& state = this->requests[ticket];
    state = open_request{request, std::move(callback), false, false, {}};
    this->tickets[request.request] = ticket;
    if (!request.held_replica.empty())
    {
        state.granted = true;
        state.replica = request.held_replica;
        broker.adopt(ticket, wanted, request.held_replica, now);
    }
    else
    {
        broker.request(ticket, wanted, now);
    }
    // Deferred until the caller has received its ticket.
    this->context.loop.post(
        [this, pool = request.pool, ticket]
        {
            this->execute_commands(this->broker_of(pool));
            const auto found = this->requests.find(ticket);
            if (found != this->requests.end() && !found->second.granted)
            {
                slot_response queued;
                queued.spare =
                    this->broker_of(pool).spare(net::event_loop::now());
                found->second.callback(queued);
            }
        });
    return ticket;
}

void slot_server::close(slots::slot_ticket ticket)
{
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end())
    {
        return;
    }
    const open_request state = std::move(found->second);
    this->requests.erase(found);
    this->calls.erase(ticket);
    const auto found_ticket = this->tickets.find(state.request.request);
    if (found_ticket != this->tickets.end() && found_ticket->second == ticket)
    {
        this->tickets.erase(found_ticket);
    }
    slots::slot_broker& broker = this->broker_of(state.request.pool);
    if (state.granted && !state.failed)
    {
        broker.report_success(state.replica);
    }
    broker.release(ticket, net::event_loop::now());
    this->execute_commands(broker);
}

void slot_server::handle_report(const replica_report& report)
{
    const auto found_ticket = this->tickets.find(report.request);
    if (found_ticket != this->tickets.end())
    {
        this->requests.at(found_ticket->second).failed = true;
    }
    if (report.leaving)
    {
        this->context.replicas.mark_leaving(report.process, "another_node");
        return;
    }
    if (report.lost)
    {
        this->context.doubts.handle_lost(report.process);
    }
    if (report.limit)
    {
        this->context.replicas.observe_limit(
            report.limit->process, report.limit->observation, "another_node");
    }
    if (report.request.empty())
    {
        return;
    }
    const std::size_t replicas =
        this->context.replicas.registry().usable(report.service).size();
    const slot_pool pool{
        report.service,
        slots::pool_of(report.replica, slots::pool_count(replicas))};
    slots::slot_broker& broker = this->broker_of(pool);
    this->update_doubts(broker);
    broker.report_failure(report.replica, net::event_loop::now());
}

slots::slot_broker& slot_server::broker_of(const slot_pool& pool)
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

void slot_server::update_replicas()
{
    for (auto& [pool, broker] : this->brokers)
    {
        this->update_replicas(pool, broker);
    }
}

void slot_server::update_replicas(const slot_pool& pool,
                                  slots::slot_broker& broker)
{
    const auto replicas =
        this->context.replicas.registry().usable(pool.service);
    const int pools = slots::pool_count(replicas.size());
    std::vector<slots::slot_replica> usable;
    for (const routing::replica_entry* entry : replicas)
    {
        if (slots::pool_of(entry->id, pools) == pool.index)
        {
            usable.push_back(slots::slot_replica{
                entry->id, entry->availability_zone, entry->slots,
                this->limit_of(pool, *entry), entry->version});
        }
    }
    broker.set_replicas(usable, net::event_loop::now());
    this->execute_commands(broker);
}

void slot_server::update_doubts(slots::slot_broker& broker)
{
    const replica_doubts& doubts = this->context.doubts;
    broker.set_doubtful(doubts.has_any() ? doubts.doubtful(broker.replica_ids())
                                         : std::set<replica_id>());
}

std::optional<request_rate>
slot_server::limit_of(const slot_pool& pool,
                      const routing::replica_entry& replica)
{
    const auto named =
        this->context.replicas.limits().limit_of(routing::process_of(replica));
    if (!named)
    {
        return std::nullopt;
    }
    const peering::peer_group& group = this->context.group;
    const node_info& broker = this->selector.choose(
        pool.name(), group.own(), group.live_nodes(), net::event_loop::now());
    slots::group_view view;
    view.is_broker = broker.id == group.own().id;
    view.live_nodes = std::max<std::size_t>(1, group.live_nodes().size());
    view.lost_nodes = group.lost_nodes();
    return slots::limit_share(*named, view);
}

void slot_server::handle_peer_request(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto request = decode_slot_request(exchange->request());
    if (request.has_error())
    {
        log_event(log_level::warning, "slot_order_refused",
                  {{"reason", request.error().message}});
        exchange->fail(request.error());
        return;
    }
    const slots::slot_ticket ticket = this->open(
        request.value(), [exchange](const slot_response& response)
        { exchange->send_part(encode(response, net::event_loop::now())); });
    this->calls[ticket] = exchange;
    exchange->on_cancelled([this, ticket] { this->close(ticket); });
}

void slot_server::drop_requests_of_dead_nodes()
{
    // Nodes that have just started may not be known yet.
    std::set<node_id> dead;
    for (const node_info& node : this->context.group.all())
    {
        if (node.state == node_state::dead)
        {
            dead.insert(node.id);
        }
    }
    std::vector<slots::slot_ticket> dropped;
    for (const auto& [ticket, exchange] : this->calls)
    {
        if (dead.contains(this->requests.at(ticket).request.node))
        {
            dropped.push_back(ticket);
        }
    }
    for (const slots::slot_ticket ticket : dropped)
    {
        const auto found = this->calls.find(ticket);
        if (found == this->calls.end())
        {
            continue;
        }
        log_event(log_level::info, "slot_taken_from_dead_node",
                  {{"request", this->requests.at(ticket).request.request.str()},
                   {"holder", this->requests.at(ticket).request.node.str()}});
        // A node that was only frozen asks the next broker when it wakes.
        found->second->fail(error{error_code::peer_unreachable,
                                  "the node is considered dead",
                                  ran_state::no,
                                  {}});
        this->close(ticket);
    }
}

void slot_server::handle_peer_report(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto report =
        decode_replica_report(exchange->request(), net::event_loop::now());
    if (report.has_error())
    {
        log_event(log_level::warning, "replica_report_refused",
                  {{"reason", report.error().message}});
        exchange->fail(report.error());
        return;
    }
    this->handle_report(report.value());
    exchange->finish({});
}

void slot_server::tick()
{
    const time_point now = net::event_loop::now();
    for (auto& [pool, broker] : this->brokers)
    {
        if (broker.waiting_online() > 0 || broker.waiting_batch() > 0)
        {
            // A doubt ends by itself or by a new list; requests that wait must
            // not keep to what it was when they came.
            this->update_doubts(broker);
            broker.tick(now);
            this->execute_commands(broker);
        }
    }
}

void slot_server::execute_commands(slots::slot_broker& broker)
{
    for (const slots::slot_command& command : broker.take_commands())
    {
        const auto found = this->requests.find(command.ticket);
        if (found == this->requests.end())
        {
            continue;
        }
        open_request& state = found->second;
        slot_response response;
        response.replica = command.replica;
        response.retry_after = command.retry_after;
        response.spare = command.free_slots - command.waiting;
        switch (command.decision)
        {
        case slots::slot_decision::granted:
            response.status = slot_response::status_code::granted;
            response.limit = this->context.replicas.limit_of(command.replica);
            state.granted = true;
            state.replica = command.replica;
            break;
        case slots::slot_decision::refused:
            response.status = slot_response::status_code::refused;
            log_event(
                log_level::info, "slot_refused",
                {{"request", state.request.request.str()},
                 {"pool", state.request.pool.name()},
                 {"waiting", command.waiting},
                 {"used", broker.used_slots()},
                 {"slots", broker.total_slots()},
                 {"retry_after_ms", to_milliseconds(command.retry_after)}});
            break;
        case slots::slot_decision::reclaimed:
            response.status = slot_response::status_code::reclaimed;
            break;
        }
        // The callback may close this or other requests.
        const response_callback callback = state.callback;
        callback(response);
    }
}

} // namespace parsleytrack::relay
