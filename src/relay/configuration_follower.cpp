#include "relay/configuration_follower.hpp"

#include "feeds/feed_sources.hpp"
#include "logging/log.hpp"

#include <utility>

namespace parsleytrack::relay
{

configuration_follower::configuration_follower(
    net::event_loop& event_loop, key_value::record_client& client,
    wire::peer_network& network, peering::peer_group& nodes,
    random_source& random_numbers, const relay_adapter& protocol_adapter,
    std::size_t max_direct_followers)
    : adapter(protocol_adapter),
      follower(event_loop, client, network, nodes, random_numbers,
               feeds::feed_options{wire::message_type::configuration_feed,
                                   protocol_adapter.keys().configuration,
                                   duration::zero(), max_direct_followers,
                                   feeds::sources_per_node},
               key_value::record_follower::each_record(
                   [this](const key_value::stored_record& record)
                   { this->apply_record(record); }))
{
}

duration configuration_follower::age() const
{
    return net::event_loop::now() - this->follower.confirmed_at();
}

void configuration_follower::on_change(std::function<void()> callback)
{
    this->change_callbacks.push_back(std::move(callback));
}

void configuration_follower::apply_record(
    const key_value::stored_record& record)
{
    if (record.key != this->adapter.keys().configuration)
    {
        return;
    }
    auto read = this->adapter.parse_configuration(record.value);
    if (read.has_error())
    {
        log_event(log_level::error, "configuration_refused",
                  {{"revision", record.revision.count()},
                   {"reason", read.error().message}});
        return;
    }
    const auto version = read.value().version;
    if (this->table && version <= this->table->contents().version)
    {
        return;
    }
    log_event(log_level::info, "configuration_in_force",
              {{"version", version.count()},
               {"previous",
                this->table ? this->table->contents().version.count() : 0},
               {"routes", read.value().routes.size()},
               {"workspaces", read.value().workspaces.size()},
               {"keys", read.value().workspaces.key_count()},
               {"revision", record.revision.count()},
               {"learned_from", this->follower.learned_from()},
               {"age_ms", to_milliseconds(this->age())}});
    for (const std::string& problem : read.value().workspaces.problems())
    {
        log_event(log_level::warning, "workspace_problem",
                  {{"version", version.count()}, {"problem", problem}});
    }
    this->table =
        std::make_shared<routing::route_table>(std::move(read.value()));
    for (const auto& callback : this->change_callbacks)
    {
        callback();
    }
}

} // namespace parsleytrack::relay
