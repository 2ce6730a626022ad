#include "relay/storage_node.hpp"

#include "logging/log.hpp"
#include "relay/peer_protection.hpp"
#include "units/build_name.hpp"

#include <csignal>
#include <random>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

constexpr duration report_timeout = std::chrono::seconds(5);
constexpr duration report_retry_delay = std::chrono::milliseconds(500);
/// How soon after its time a version is taken out of the record, and how soon a
/// failed write is repeated.
constexpr duration record_check_interval = std::chrono::seconds(1);
/// As on the nodes that use the replicas.
constexpr duration change_batch_window = std::chrono::milliseconds(500);

} // namespace

storage_node::storage_node(settings::relay_settings node_settings,
                           const relay_adapter& protocol_adapter)
    : settings(std::move(node_settings)), adapter(protocol_adapter),
      random(std::random_device()()), http(this->loop),
      store(this->loop, this->http, this->settings.store,
            protocol_adapter.records(), this->random),
      follower(this->loop, this->store, this->random,
               protocol_adapter.keys().retirement_prefix +
                   this->settings.id.str(),
               duration::zero(),
               key_value::record_follower::each_record(
                   [this](const key_value::stored_record& record)
                   { this->handle_record(record); })),
      peers(this->loop), origins(this->peers), crashes(this->peers),
      replica_list(this->loop, this->store, this->random,
                   protocol_adapter.keys().replica_prefix, change_batch_window,
                   {[this](const key_value::record_listing& listing, bool)
                    { this->apply_listing(listing); },
                    [this](const std::vector<key_value::record_change>& changes)
                    {
                        for (const key_value::record_change& change : changes)
                        {
                            this->apply_change(change);
                        }
                        this->origins.observe(this->replicas);
                    },
                    {}})
{
}

result<bool> storage_node::start()
{
    this->peers.set_limits(peer_limits_for(this->settings.memory));
    const auto port = this->peers.listen(this->settings.peer);
    if (port.has_error())
    {
        return port.error();
    }
    this->follower.start();
    this->replica_list.start();
    this->read_own_record();
    return true;
}

std::string storage_node::own_key() const
{
    return storage_node_prefix + this->settings.id.str();
}

void storage_node::read_own_record()
{
    this->store.get(
        this->own_key(), key_value::read_freshness::latest,
        [this](const result<key_value::stored_record>& record)
        {
            if (record.has_error())
            {
                this->record_timer = this->loop.call_after(
                    report_retry_delay, [this] { this->read_own_record(); });
                return;
            }
            std::optional<routing::service_versions> versions;
            if (record.value().exists())
            {
                const auto read = decode_storage_record(record.value().value);
                if (read.has_value())
                {
                    versions = read.value().versions;
                }
            }
            this->origins.restore(std::move(versions));
            this->record_is_read = true;
            this->record_timer = this->loop.call_every(
                record_check_interval, [this] { this->update_record(); });
            this->update_record();
        });
}

void storage_node::update_record()
{
    const storage_record current{this->settings.peer,
                                 this->origins.recent_versions()};
    // Without the list of replicas the record from before still holds.
    if (this->is_writing || this->written == current ||
        !this->replica_list_known || !this->record_is_read || this->reporting)
    {
        return;
    }
    this->is_writing = true;
    key_value::record_transaction transaction;
    transaction.puts = {{this->own_key(), encode(current)}};
    this->store.commit(
        std::move(transaction), report_timeout,
        [this, current](const result<key_value::transaction_outcome>& outcome)
        {
            this->is_writing = false;
            if (outcome.has_value())
            {
                this->written = current;
                return;
            }
            log_event(log_level::info, "storage_record_not_written",
                      {{"reason", outcome.error().message}});
        });
}

void storage_node::apply_listing(const key_value::record_listing& listing)
{
    this->replicas.clear();
    for (const key_value::stored_record& record : listing.records)
    {
        this->apply_change(key_value::record_change{record, false});
    }
    this->origins.observe(this->replicas);
    this->replica_list_known = true;
    this->update_record();
}

void storage_node::apply_change(const key_value::record_change& change)
{
    const key_value::stored_record& record = change.record;
    const replica_id id(
        record.key.substr(this->adapter.keys().replica_prefix.size()));
    this->replicas.erase(id);
    if (change.deleted)
    {
        return;
    }
    // The nodes that use the replicas log entries that cannot be read.
    auto entry = this->adapter.parse_replica(record.key, record.value);
    if (entry.has_value())
    {
        this->replicas.emplace(id, std::move(entry.value()));
    }
}

void storage_node::run()
{
    const auto stop = [this]
    {
        this->loop.stop();
    };
    const net::timer on_term = this->loop.on_signal(SIGTERM, stop);
    const net::timer on_interrupt = this->loop.on_signal(SIGINT, stop);
    const net::timer on_reload = this->loop.on_signal(
        SIGHUP, [] { log_event(log_level::info, "reload_without_effect"); });
    log_event(log_level::info, "started",
              {{"build", build_name()},
               {"zone", this->settings.availability_zone.str()},
               {"store", to_string(this->settings.store)}});
    this->loop.run();
    log_event(log_level::info, "stopped");
}

void storage_node::handle_record(const key_value::stored_record& record)
{
    const std::string retirement_key =
        this->adapter.keys().retirement_prefix + this->settings.id.str();
    if (record.key != retirement_key || std::exchange(this->reporting, true))
    {
        return;
    }
    log_event(log_level::info, "retirement_asked",
              {{"revision", record.revision.count()}});
    this->report_retirement_completed();
}

void storage_node::report_retirement_completed()
{
    const std::string key =
        this->adapter.keys().retirement_state_prefix + this->settings.id.str();
    key_value::record_transaction transaction;
    transaction.puts = {{key, this->adapter.format_retirement_state(true)}};
    transaction.erased = {this->own_key()};
    this->store.commit(
        std::move(transaction), report_timeout,
        [this](const result<key_value::transaction_outcome>& outcome)
        {
            if (outcome.has_value())
            {
                log_event(log_level::info, "retirement_completed");
                return;
            }
            this->retry_timer =
                this->loop.call_after(report_retry_delay, [this]
                                      { this->report_retirement_completed(); });
        });
}

} // namespace parsleytrack::relay
