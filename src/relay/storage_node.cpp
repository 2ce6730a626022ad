#include "relay/storage_node.hpp"

#include "logging/log.hpp"

#include <csignal>
#include <random>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

constexpr duration report_timeout = std::chrono::seconds(5);
constexpr duration report_retry_delay = std::chrono::milliseconds(500);

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
                   { this->handle_record(record); }))
{
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
    this->follower.start();
    log_event(log_level::info, "started",
              {{"zone", this->settings.availability_zone.str()},
               {"store", to_string(this->settings.store)}});
    this->loop.run();
    log_event(log_level::info, "stopped");
}

void storage_node::handle_record(const key_value::stored_record& record)
{
    const std::string own_key =
        this->adapter.keys().retirement_prefix + this->settings.id.str();
    if (record.key != own_key || std::exchange(this->reporting, true))
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
