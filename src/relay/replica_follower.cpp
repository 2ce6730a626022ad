#include "relay/replica_follower.hpp"

#include "logging/log.hpp"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Replicas change together in a release, so changes are applied in batches. A
/// leaving replica may get requests for two seconds after announcing it, four
/// times this.
constexpr duration change_batch_window = std::chrono::milliseconds(500);
constexpr duration expiry_interval = std::chrono::milliseconds(250);

} // namespace

replica_follower::replica_follower(net::event_loop& event_loop,
                                   key_value::record_client& client,
                                   wire::peer_network& network,
                                   peering::peer_group& nodes,
                                   random_source& random_numbers,
                                   const relay_adapter& protocol_adapter,
                                   std::size_t max_direct_followers)
    : loop(event_loop), adapter(protocol_adapter),
      follower(event_loop, client, network, nodes, random_numbers,
               feeds::feed_options{wire::message_type::replica_feed,
                                   protocol_adapter.keys().replica_prefix,
                                   change_batch_window, max_direct_followers},
               {[this](const key_value::record_listing& listing, bool failed)
                { this->apply_listing(listing, failed); },
                [this](const std::vector<key_value::record_change>& changes)
                {
                    for (const key_value::record_change& change : changes)
                    {
                        this->apply_change(change);
                    }
                    this->notify_if_changed();
                },
                [this](const error&)
                {
                    this->replicas.mark_store_unreachable();
                }})
{
    this->expiry_timer =
        this->loop.call_every(expiry_interval, [this] { this->expire(); });
}

bool replica_follower::mark_leaving(const replica_process_id& process,
                                    const char* reason)
{
    if (!this->replicas.mark_leaving(process))
    {
        return false;
    }
    log_event(log_level::info, "replica_leaving",
              {{"replica", process.str()},
               {"learned_from", reason},
               {"list_age_ms", to_milliseconds(this->age())}});
    this->notify_if_changed();
    return true;
}

bool replica_follower::observe_limit(
    const replica_process_id& process,
    const routing::limit_observation& observation, const char* learned_from)
{
    if (!this->named_limits.observe(process, observation))
    {
        return false;
    }
    const auto& limit = observation.limit;
    log_event(log_level::info,
              limit ? "replica_limit_named" : "replica_limit_ended",
              {{"replica", process.str()},
               {"requests_per_s", limit ? limit->per_second() : 0.0},
               {"learned_from", learned_from}});
    for (const auto& callback : this->change_callbacks)
    {
        callback();
    }
    return true;
}

std::optional<replica_limit>
replica_follower::limit_of(const replica_id& replica) const
{
    const auto entry = this->replicas.all().find(replica);
    if (entry == this->replicas.all().end())
    {
        return std::nullopt;
    }
    const replica_process_id process = routing::process_of(entry->second);
    const routing::limit_observation* known = this->named_limits.find(process);
    return known == nullptr ? std::nullopt
                            : std::optional(replica_limit{process, *known});
}

duration replica_follower::age() const
{
    return net::event_loop::now() - this->follower.confirmed_at();
}

void replica_follower::on_change(std::function<void()> callback)
{
    this->change_callbacks.push_back(std::move(callback));
}

void replica_follower::apply_listing(const key_value::record_listing& listing,
                                     bool after_failure)
{
    std::map<replica_id, routing::replica_entry> entries;
    for (const key_value::stored_record& record : listing.records)
    {
        auto entry = this->adapter.parse_replica(record.key, record.value);
        if (entry.has_error())
        {
            log_event(log_level::warning, "replica_entry_skipped",
                      {{"key", record.key}, {"reason", entry.error().message}});
            continue;
        }
        const replica_id id = entry.value().id;
        entries.emplace(id, std::move(entry.value()));
    }
    log_event(log_level::info, "replicas_listed",
              {{"count", entries.size()},
               {"after_failure", after_failure ? "yes" : "no"},
               {"revision", listing.read_revision.count()}});
    this->replicas.replace_all(entries, after_failure, net::event_loop::now());
    this->notify_if_changed();
}

void replica_follower::apply_change(const key_value::record_change& change)
{
    const std::string& key = change.record.key;
    const std::size_t prefix = this->adapter.keys().replica_prefix.size();
    const replica_id id(key.size() > prefix ? key.substr(prefix) : key);
    if (change.deleted)
    {
        log_event(log_level::info, "replica_removed",
                  {{"replica", id.str()},
                   {"revision", change.record.revision.count()}});
        this->replicas.remove(id, net::event_loop::now());
        return;
    }
    auto entry = this->adapter.parse_replica(key, change.record.value);
    if (entry.has_error())
    {
        log_event(log_level::warning, "replica_entry_skipped",
                  {{"key", key}, {"reason", entry.error().message}});
        this->replicas.remove(id, net::event_loop::now());
    }
    else
    {
        log_event(log_level::info, "replica_changed",
                  {{"replica", id.str()},
                   {"service", entry.value().service.str()},
                   {"version", entry.value().version.str()},
                   {"address", to_string(entry.value().address)},
                   {"draining", entry.value().draining ? "yes" : "no"},
                   {"revision", change.record.revision.count()}});
        this->replicas.update(entry.value());
    }
}

void replica_follower::expire()
{
    for (const replica_id& id : this->replicas.expire(net::event_loop::now()))
    {
        log_event(log_level::info, "replica_missing_after_outage",
                  {{"replica", id.str()}});
    }
    this->notify_if_changed();
}

void replica_follower::notify_if_changed()
{
    if (std::exchange(this->notified_generation, this->replicas.generation()) ==
        this->replicas.generation())
    {
        return;
    }
    for (const auto& callback : this->change_callbacks)
    {
        callback();
    }
}

} // namespace parsleytrack::relay
