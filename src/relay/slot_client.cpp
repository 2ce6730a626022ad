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

/// A broker responds to each request at once. This is several times the slowest
/// round trip between availability zones, as both nodes do other work as well.
constexpr duration broker_response_timeout = std::chrono::milliseconds(80);
/// How long a broker that did not respond is excluded.
constexpr duration unresponsive_broker_exclusion = std::chrono::seconds(1);
/// How long a request waits in one pool before others are considered.
constexpr duration rebalance_interval = std::chrono::milliseconds(300);
constexpr duration retry_after_without_replica = std::chrono::seconds(1);

} // namespace

slot_lease::~slot_lease()
{
    this->client.release(this->number);
}

slot_client::slot_client(const relay_context& node, slot_server& local_server)
    : context(node), server(local_server),
      brokers(unresponsive_broker_exclusion)
{
    this->context.group.on_change(
        [this]
        {
            this->brokers.clear_choices();
            this->move_requests();
        });
    this->rebalance_timer = this->context.loop.call_every(
        rebalance_interval, [this] { this->rebalance(); });
}

std::unique_ptr<slot_lease>
slot_client::request_slot(const slot_request& wanted, callbacks handlers)
{
    const std::uint64_t number = this->next_number++;
    open_request& state = this->requests[number];
    state.request = wanted;
    state.request.node = this->context.group.own().id;
    state.request.pool.index = this->choose_pool(wanted);
    state.handlers = std::move(handlers);
    state.opened = net::event_loop::now();
    this->open(number);
    return std::make_unique<slot_lease>(*this, number);
}

void slot_client::release(std::uint64_t number)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end())
    {
        return;
    }
    open_request state = std::move(found->second);
    this->requests.erase(found);
    if (state.granted && --this->in_flight[state.request.held_replica] <= 0)
    {
        this->in_flight.erase(state.request.held_replica);
    }
    if (state.ticket)
    {
        this->server.close(*state.ticket);
    }
}

slot_client::service_pools& slot_client::pools_of(const service_name& service)
{
    const routing::replica_registry& registry =
        this->context.replicas.registry();
    service_pools& known = this->pools[service];
    if (known.generation != registry.generation())
    {
        known.generation = registry.generation();
        known.count = slots::pool_count(registry.usable(service).size());
        known.selector.set_pool_count(known.count);
    }
    return known;
}

int slot_client::choose_pool(const slot_request& wanted)
{
    service_pools& known = this->pools_of(wanted.pool.service);
    std::vector<int> pools;
    if (wanted.version && known.count > 1)
    {
        // Not every pool has replicas of the version.
        for (const auto* entry :
             this->context.replicas.registry().usable(wanted.pool.service))
        {
            if (entry->version == *wanted.version)
            {
                pools.push_back(slots::pool_of(entry->id, known.count));
            }
        }
    }
    if (pools.empty())
    {
        return known.selector.choose(this->context.random);
    }
    std::uniform_int_distribution<std::size_t> draw(0, pools.size() - 1);
    return pools[draw(this->context.random)];
}

const node_info& slot_client::broker_of(const slot_pool& pool)
{
    return this->brokers.choose(pool.name(), this->context.group.own(),
                                this->context.group.live_nodes(),
                                net::event_loop::now());
}

void slot_client::open(std::uint64_t number)
{
    open_request& state = this->requests.at(number);
    const node_info broker = this->broker_of(state.request.pool);
    const node_id& own = this->context.group.own().id;
    state.broker = broker.id;
    if (state.broker == own)
    {
        state.ticket = this->server.open(
            state.request, [this, number](const slot_response& response)
            { this->handle_response(number, response); });
        return;
    }
    state.call = this->context.peers.call(
        broker.peer, wire::message_type::slot_request, encode(state.request),
        duration::zero(),
        {[this, number](const std::string& bytes)
         {
             const auto response =
                 decode_slot_response(bytes, net::event_loop::now());
             if (response.has_error())
             {
                 this->handle_broker_loss(number, "unreadable_answer");
                 return;
             }
             this->handle_response(number, response.value());
         },
         [this, number](const result<std::string>&)
         {
             this->handle_broker_loss(number, "connection_lost");
         }});
    if (!state.granted)
    {
        state.response_timer = this->context.loop.call_after(
            broker_response_timeout,
            [this, number] { this->handle_broker_loss(number, "silent"); });
    }
}

void slot_client::handle_response(std::uint64_t number,
                                  const slot_response& response)
{
    if (response.limit)
    {
        // May grant slots of this node's own broker to other requests.
        this->context.replicas.observe_limit(
            response.limit->process, response.limit->observation, "broker");
    }
    const auto found = this->requests.find(number);
    if (found == this->requests.end())
    {
        return;
    }
    open_request& state = found->second;
    state.response_timer.cancel();
    this->pools_of(state.request.pool.service)
        .selector.record_spare(state.request.pool.index, response.spare);
    // Callbacks may destroy the lease and with it this request.
    const callbacks handlers = state.handlers;
    switch (response.status)
    {
    case slot_response::status_code::queued:
        return;
    case slot_response::status_code::granted:
        if (state.granted)
        {
            return;
        }
        if (const auto limit = this->disregarded_limit(response))
        {
            this->return_grant(number, response, *limit);
            return;
        }
        state.granted = true;
        state.request.held_replica = response.replica;
        ++this->in_flight[response.replica];
        handlers.on_granted(response.replica);
        return;
    case slot_response::status_code::refused:
        handlers.on_refused(response.retry_after);
        return;
    case slot_response::status_code::reclaimed:
        if (handlers.on_reclaimed)
        {
            handlers.on_reclaimed();
        }
        return;
    }
}

void slot_client::handle_broker_loss(std::uint64_t number, const char* reason)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end())
    {
        return;
    }
    open_request& state = found->second;
    if (this->brokers.mark_unresponsive(state.broker, net::event_loop::now()))
    {
        log_event(log_level::warning, "slot_broker_lost",
                  {{"broker", state.broker.str()},
                   {"pool", state.request.pool.name()},
                   {"reason", reason},
                   {"request", state.request.request.str()}});
    }
    // This may run in a callback of the call, so destroy the call later.
    this->context.loop.free_later(std::move(state.call));
    state.response_timer.cancel();
    if (state.granted)
    {
        // Register the slot in use with the next broker.
        this->open(number);
        return;
    }
    this->choose_replica_locally(number);
}

void slot_client::choose_replica_locally(std::uint64_t number)
{
    open_request& state = this->requests.at(number);
    const routing::replica_entry* best = nullptr;
    double best_load = 0.0;
    bool has_limited = false;
    for (const auto* entry :
         this->context.replicas.registry().usable(state.request.pool.service))
    {
        const auto& version = state.request.version;
        if (state.request.excluded.contains(entry->id) ||
            (version && *version != entry->version))
        {
            continue;
        }
        // Only the broker knows what other nodes send to it.
        const auto limit = this->context.replicas.limit_of(entry->id);
        if (limit && limit->observation.limit)
        {
            has_limited = true;
            continue;
        }
        // Jitter keeps nodes without a broker from all choosing the same
        // replica.
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
    const callbacks handlers = state.handlers;
    // The next broker knows which processes may have been replaced.
    const bool needs_broker =
        state.request.version && state.broker != this->context.group.own().id;
    if (needs_broker || (best == nullptr && has_limited))
    {
        // Asks the next broker; the one that was lost is excluded.
        this->open(number);
        return;
    }
    if (best == nullptr)
    {
        handlers.on_refused(retry_after_without_replica);
        return;
    }
    log_event(log_level::info, "slot_chosen_alone",
              {{"request", state.request.request.str()},
               {"replica", best->id.str()}});
    state.granted = true;
    state.request.held_replica = best->id;
    slot_pool& pool = state.request.pool;
    pool.index = slots::pool_of(best->id, this->pools_of(pool.service).count);
    ++this->in_flight[best->id];
    const replica_id chosen = best->id;
    this->open(number);
    handlers.on_granted(chosen);
}

void slot_client::move_requests()
{
    std::vector<std::uint64_t> moved;
    for (auto& [number, state] : this->requests)
    {
        slot_pool& pool = state.request.pool;
        const int index =
            slots::pool_after_change(state.request.held_replica, pool.index,
                                     this->pools_of(pool.service).count);
        const bool pool_changed = std::exchange(pool.index, index) != index;
        if (pool_changed || this->broker_of(pool).id != state.broker)
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
    // Register the slots in use with a broker that is no longer excluded.
    this->move_requests();
    std::vector<std::pair<std::uint64_t, int>> moved;
    const time_point now = net::event_loop::now();
    for (const auto& [number, state] : this->requests)
    {
        if (state.granted || state.request.version ||
            now - state.opened < rebalance_interval)
        {
            continue;
        }
        service_pools& pools = this->pools_of(state.request.pool.service);
        if (const auto better =
                pools.selector.find_better_pool(state.request.pool.index))
        {
            pools.selector.record_spare(
                *better, pools.selector.known_spare(*better) - 1);
            moved.emplace_back(number, *better);
        }
    }
    for (const auto& [number, pool] : moved)
    {
        const auto found = this->requests.find(number);
        if (found != this->requests.end())
        {
            found->second.request.pool.index = pool;
            this->reopen(number);
        }
    }
}

void slot_client::reopen(std::uint64_t number)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end())
    {
        return;
    }
    open_request& state = found->second;
    state.call.reset();
    if (state.ticket)
    {
        this->server.close(*state.ticket);
        state.ticket.reset();
    }
    this->open(number);
}

} // namespace parsleytrack::relay
