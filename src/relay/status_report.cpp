#include "relay/status_report.hpp"

#include "units/wall_clock.hpp"

#include <nlohmann/json.hpp>

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

json describe_store(const key_value::record_client& store)
{
    const key_value::call_counts& calls = store.calls_made();
    return {{"reachable", store.is_reachable()}, {"reads", calls.reads},
            {"stale_reads", calls.stale_reads},  {"watches", calls.watches},
            {"commits", calls.commits},          {"failures", calls.failures}};
}

json describe_replicas(const routing::replica_book& book)
{
    json list = json::array();
    for (const auto& [id, entry] : book.all())
    {
        const bool usable = book.find_usable(id) != nullptr;
        const char* unusable = entry.draining ? "draining" : "left_alone";
        list.push_back({{"id", id.str()},
                        {"service", entry.service.str()},
                        {"address", to_string(entry.address)},
                        {"availability_zone", entry.availability_zone.str()},
                        {"slots", entry.slots},
                        {"state", usable ? "in_use" : unusable}});
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
                        {"age_ms", wall_clock_ms() - state.submitted_at_ms}});
    }
    return list;
}

json describe_pools(const slot_desk& desk)
{
    json list = json::array();
    for (const pool_state& pool : desk.pools())
    {
        list.push_back({{"pool", pool.name},
                        {"slots", pool.slots},
                        {"free", pool.free},
                        {"online", pool.online},
                        {"batch", pool.batch},
                        {"waiting_online", pool.waiting_online},
                        {"waiting_batch", pool.waiting_batch},
                        {"mean_hold_ms", to_milliseconds(pool.mean_hold)}});
    }
    return list;
}

} // namespace

status_report::status_report(const relay_context& node,
                             const slot_desk& local_desk,
                             const job_service& local_jobs)
    : context(node), desk(local_desk), jobs(local_jobs)
{
}

std::string status_report::json(bool stopping) const
{
    const nlohmann::json document{
        {"node", this->context.settings.id.str()},
        {"availability_zone", this->context.settings.availability_zone.str()},
        {"stopping", stopping},
        {"configuration", describe_configuration(this->context.configuration)},
        {"store", describe_store(this->context.store)},
        {"replicas", describe_replicas(this->context.replicas.book())},
        {"replicas_age_ms", to_milliseconds(this->context.replicas.age())},
        {"nodes", describe_nodes(this->context.group)},
        {"jobs", describe_jobs(this->jobs)},
        {"pools", describe_pools(this->desk)}};
    return document.dump();
}

} // namespace parsleytrack::relay
