#include "relay/status_report.hpp"
#include "routing/content_trait.hpp"

#include "logging/log.hpp"
#include "units/build_name.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

namespace parsleytrack::relay
{

namespace
{

using nlohmann::json;

json describe_configuration(const configuration_follower& configuration)
{
    const auto table = configuration.current();
    return {{"version", table ? table->contents().version.count() : 0},
            {"routes", table ? table->contents().routes.size() : 0},
            {"age_ms", to_milliseconds(configuration.age())}};
}

/// A counter of calls to the store.
struct call_count
{
    /// Its field name in the status document.
    const char* name;
    /// Its label value in the metrics.
    const char* kind;
    std::uint64_t key_value::call_counts::*value;
};

constexpr std::array call_kinds = {
    call_count{"reads", "read", &key_value::call_counts::reads},
    call_count{"stale_reads", "stale_read",
               &key_value::call_counts::stale_reads},
    call_count{"confirmations", "confirmation",
               &key_value::call_counts::confirmations},
    call_count{"watches", "watch", &key_value::call_counts::watches},
    call_count{"commits", "commit", &key_value::call_counts::commits},
    call_count{"failures", "failed", &key_value::call_counts::failures}};

json describe_store(const key_value::record_client& store)
{
    json document{{"reachable", store.is_reachable()}};
    for (const call_count& count : call_kinds)
    {
        document[count.name] = store.calls_made().*count.value;
    }
    return document;
}

json describe_replicas(const replica_follower& replicas)
{
    const routing::replica_registry& registry = replicas.registry();
    json list = json::array();
    for (const auto& [id, entry] : registry.all())
    {
        const bool usable = registry.find_usable(id) != nullptr;
        const char* unusable = entry.draining ? "draining" : "left_alone";
        json& described = list.emplace_back(
            json{{"id", id.str()},
                 {"service", entry.service.str()},
                 {"address", to_string(entry.address)},
                 {"availability_zone", entry.availability_zone.str()},
                 {"version", entry.version.str()},
                 {"slots", entry.slots},
                 {"state", usable ? "in_use" : unusable}});
        if (const auto limit =
                replicas.limits().limit_of(routing::process_of(entry)))
        {
            described["requests_per_s"] = limit->per_second();
        }
    }
    return list;
}

/// \param name The field name of a trait.
/// \param contents Whether contents of requests are listed, or else parts of
/// prompts.
json describe_verdicts(const crash_guard& crashes, const char* name,
                       bool contents)
{
    json list = json::array();
    for (const routing::trait_verdict& verdict : crashes.verdicts())
    {
        if (routing::is_content(verdict.trait) != contents)
        {
            continue;
        }
        list.push_back(
            {{name, verdict.trait.str()},
             {"blocked", verdict.blocked},
             {"trial_in_ms",
              to_milliseconds(verdict.trial_at - net::event_loop::now())}});
    }
    return list;
}

json describe_nodes(const peering::peer_group& group)
{
    json list = json::array();
    for (const node_info& node : group.all())
    {
        list.push_back({{"id", node.id.str()},
                        {"state", to_string(node.state)},
                        {"host", node.peer.host},
                        {"availability_zone", node.availability_zone.str()},
                        {"capacity", node.capacity},
                        {"reaches_replicas", node.reaches_replicas},
                        {"incarnation", node.incarnation.count()}});
    }
    return list;
}

json describe_jobs(const job_service& jobs)
{
    json list = json::array();
    for (const jobs::owned_job* job : jobs.owned_jobs())
    {
        const jobs::job_state& state = job->state();
        list.push_back({{"id", state.id.str()},
                        {"route", state.route_name},
                        {"items", state.item_count},
                        {"ended", state.outcomes.size()},
                        {"cancelled", state.cancelled},
                        {"submitted_at_ms", state.submitted_at_ms},
                        {"age_ms", to_milliseconds(jobs.age_of(state.id))}});
    }
    return list;
}

json describe_users(const std::vector<sharing::workspace_use>& users)
{
    json list = json::array();
    for (const sharing::workspace_use& user : users)
    {
        list.push_back({{"workspace", user.workspace.str()},
                        {"held", user.held},
                        {"recent", user.recent}});
    }
    return list;
}

json describe_pools(const slot_server& server)
{
    json list = json::array();
    for (const pool_state& pool : server.pools())
    {
        list.push_back(
            {{"pool", pool.name},
             {"slots", pool.slots},
             {"free", pool.free},
             {"online", pool.online},
             {"batch", pool.batch},
             {"limited_replicas", pool.limited_replicas},
             {"waiting_online", pool.waiting_online},
             {"waiting_batch", pool.waiting_batch},
             {"doubtful_replicas", pool.doubtful_replicas},
             {"online_idle_wait_ms", to_milliseconds(pool.online_idle_wait)},
             {"batch_idle_wait_ms", to_milliseconds(pool.batch_idle_wait)},
             {"mean_hold_ms", to_milliseconds(pool.mean_hold)},
             {"online_users", describe_users(pool.online_users)},
             {"batch_users", describe_users(pool.batch_users)}});
    }
    return list;
}

/// Most workspaces that the status document lists.
constexpr std::size_t max_listed_workspaces = 20;

/// \returns The workspaces with the most requests in the last window, then
/// those without any while there is room.
std::vector<workspaces::request_counts::workspace_totals>
select_workspaces(const workspaces::workspace_directory& directory,
                  const workspaces::request_counts& requests, time_point now)
{
    auto chosen = requests.busiest(max_listed_workspaces, now);
    // A workspace that the configuration names no longer may have requests.
    std::erase_if(chosen, [&directory](const auto& entry)
                  { return directory.find(entry.workspace) == nullptr; });
    for (const workspaces::workspace& entry : directory.all())
    {
        if (chosen.size() >= max_listed_workspaces)
        {
            break;
        }
        const bool is_listed =
            std::any_of(chosen.begin(), chosen.end(),
                        [&entry](const auto& other)
                        { return other.workspace == entry.name; });
        if (!is_listed)
        {
            chosen.push_back({entry.name, requests.of(entry.name, now)});
        }
    }
    return chosen;
}

json describe_workspaces(const configuration_follower& configuration,
                         const workspaces::request_counts& requests)
{
    json list = json::array();
    const auto table = configuration.current();
    if (!table)
    {
        return list;
    }
    const workspaces::workspace_directory& directory =
        table->contents().workspaces;
    for (const auto& entry :
         select_workspaces(directory, requests, net::event_loop::now()))
    {
        const workspaces::workspace* workspace =
            directory.find(entry.workspace);
        json& described = list.emplace_back(
            json{{"name", workspace->name.str()},
                 {"rate", workspace->limit.rate.per_second()},
                 {"burst", workspace->limit.burst},
                 {"keys", directory.key_count_of(workspace->name)},
                 {"granted", entry.requests.granted},
                 {"refused", entry.requests.refused}});
        described["priority"] =
            workspace->priority ? json(*workspace->priority) : json();
    }
    return list;
}

/// Describes the requests of all workspaces together, those that are not listed
/// included.
json describe_workspace_totals(const configuration_follower& configuration,
                               const workspaces::request_counts& requests)
{
    const auto table = configuration.current();
    const auto total = requests.total(net::event_loop::now());
    return {{"configured", table ? table->contents().workspaces.size() : 0},
            {"window_ms", to_milliseconds(workspaces::request_counts::window)},
            {"granted", total.granted},
            {"refused", total.refused}};
}

} // namespace

status_report::status_report(const relay_context& node,
                             const slot_server& local_server,
                             const job_service& local_jobs)
    : context(node), server(local_server), jobs(local_jobs)
{
}

std::string status_report::json(bool stopping) const
{
    const nlohmann::json document{
        {"node", this->context.settings.id.str()},
        {"build", build_name()},
        {"availability_zone", this->context.settings.availability_zone.str()},
        {"stopping", stopping},
        {"stranded", this->context.link.is_stranded()},
        {"configuration", describe_configuration(this->context.configuration)},
        {"store", describe_store(this->context.store)},
        {"replicas", describe_replicas(this->context.replicas)},
        {"replicas_age_ms", to_milliseconds(this->context.replicas.age())},
        {"prompt_parts",
         describe_verdicts(this->context.crashes, "part", false)},
        {"crashing_requests",
         describe_verdicts(this->context.crashes, "content", true)},
        {"nodes", describe_nodes(this->context.group)},
        {"jobs", describe_jobs(this->jobs)},
        {"workspaces", describe_workspaces(this->context.configuration,
                                           this->context.workspace_requests)},
        {"workspace_totals",
         describe_workspace_totals(this->context.configuration,
                                   this->context.workspace_requests)},
        {"pools", describe_pools(this->server)}};
    // Callers choose ids and parts of prompts, which need not be UTF-8. The
    // library throws at such bytes otherwise, which would end the process.
    using handler = nlohmann::json::error_handler_t;
    return document.dump(-1, ' ', false, handler::replace);
}

void status_report::update_gauges(std::size_t open_requests) const
{
    auto& metrics = this->context.metrics;
    const key_value::record_client& store = this->context.store;
    for (const call_count& count : call_kinds)
    {
        metrics.set_gauge("parsleytrack_store_calls", {{"kind", count.kind}},
                          static_cast<double>(store.calls_made().*count.value));
    }
    metrics.set_gauge("parsleytrack_build_info", {{"build", build_name()}},
                      1.0);
    const auto table = this->context.configuration.current();
    metrics.set_gauge("parsleytrack_store_reachable", {},
                      store.is_reachable() ? 1.0 : 0.0);
    metrics.set_gauge(
        "parsleytrack_configuration_version", {},
        table ? static_cast<double>(table->contents().version.count()) : 0.0);
    metrics.set_gauge(
        "parsleytrack_configuration_age_seconds", {},
        std::chrono::duration<double>(this->context.configuration.age())
            .count());
    metrics.set_gauge(
        "parsleytrack_replicas_age_seconds", {},
        std::chrono::duration<double>(this->context.replicas.age()).count());
    int blocked_parts = 0;
    int blocked_requests = 0;
    for (const routing::trait_verdict& verdict :
         this->context.crashes.verdicts())
    {
        int& count = routing::is_content(verdict.trait) ? blocked_requests
                                                        : blocked_parts;
        count += verdict.blocked ? 1 : 0;
    }
    metrics.set_gauge("parsleytrack_blocked_prompt_parts", {}, blocked_parts);
    metrics.set_gauge("parsleytrack_blocked_requests", {}, blocked_requests);
    metrics.set_gauge("parsleytrack_open_requests", {},
                      static_cast<double>(open_requests));
}

void status_report::log_store_calls() const
{
    const key_value::record_client& store = this->context.store;
    const key_value::call_counts& calls = store.calls_made();
    log_event(
        log_level::info, "store_calls",
        {{"reads", calls.reads},
         {"stale_reads", calls.stale_reads},
         {"confirmations", calls.confirmations},
         {"watches", calls.watches},
         {"commits", calls.commits},
         {"failures", calls.failures},
         {"reachable", store.is_reachable() ? "yes" : "no"},
         {"configuration_age_ms",
          to_milliseconds(this->context.configuration.age())},
         {"replicas_age_ms", to_milliseconds(this->context.replicas.age())}});
}

} // namespace parsleytrack::relay
