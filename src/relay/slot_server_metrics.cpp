// What a node reports of the pools for which it receives requests.

#include "relay/slot_server.hpp"

#include "logging/log.hpp"

namespace parsleytrack::relay
{

namespace
{

/// Workspaces of a pool that are reported; there may be thousands.
constexpr std::size_t reported_workspaces = 10;
constexpr const char* workspace_slots_metric = "parsleytrack_workspace_slots";

} // namespace

std::vector<pool_state> slot_server::pools() const
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
        state.limited_replicas = broker.limited_replicas();
        state.doubtful_replicas = static_cast<int>(
            this->context.doubts.doubtful(broker.replica_ids()).size());
        state.waiting_online = static_cast<int>(broker.waiting_online());
        state.waiting_batch = static_cast<int>(broker.waiting_batch());
        state.online_idle_wait =
            broker.longest_idle_wait(work_class::online, now);
        state.batch_idle_wait =
            broker.longest_idle_wait(work_class::batch, now);
        state.mean_hold = broker.mean_online_hold();
        state.online_users =
            broker.largest_users(work_class::online, reported_workspaces, now);
        state.batch_users =
            broker.largest_users(work_class::batch, reported_workspaces, now);
    }
    return list;
}

void slot_server::export_metrics() const
{
    // Workspaces that are no longer among the largest are dropped.
    this->context.metrics.clear_gauge(workspace_slots_metric);
    for (const pool_state& pool : this->pools())
    {
        this->export_pool_metrics(pool);
    }
}

void slot_server::export_pool_metrics(const pool_state& pool) const
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
    gauge("limited_replicas", pool.limited_replicas);
    gauge("doubtful_replicas", pool.doubtful_replicas);
    gauge("waiting_online", pool.waiting_online);
    gauge("waiting_batch", pool.waiting_batch);
    const auto idle_wait = [this, &pool](const char* kind, duration wait)
    {
        this->context.metrics.set_gauge(
            "parsleytrack_slot_idle_wait_seconds",
            {{"pool", pool.name}, {"kind", kind}},
            std::chrono::duration<double>(wait).count());
    };
    idle_wait("online", pool.online_idle_wait);
    idle_wait("batch", pool.batch_idle_wait);
    this->export_users(pool.name, "online", pool.online_users);
    this->export_users(pool.name, "batch", pool.batch_users);
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
         {"limited_replicas", pool.limited_replicas},
         {"doubtful_replicas", pool.doubtful_replicas},
         {"waiting_online", pool.waiting_online},
         {"waiting_batch", pool.waiting_batch},
         {"online_idle_wait_ms", to_milliseconds(pool.online_idle_wait)},
         {"batch_idle_wait_ms", to_milliseconds(pool.batch_idle_wait)},
         {"mean_hold_ms", to_milliseconds(pool.mean_hold)},
         {"replicas_age_ms", to_milliseconds(this->context.replicas.age())}});
}

void slot_server::export_users(
    const std::string& pool, const char* kind,
    const std::vector<sharing::workspace_use>& users) const
{
    for (const sharing::workspace_use& user : users)
    {
        this->context.metrics.set_gauge(workspace_slots_metric,
                                        {{"pool", pool},
                                         {"kind", kind},
                                         {"workspace", user.workspace.str()}},
                                        user.recent);
    }
}

} // namespace parsleytrack::relay
