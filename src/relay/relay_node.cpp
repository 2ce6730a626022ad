#include "relay/relay_node.hpp"

#include "logging/log.hpp"
#include "logging/log_findings.hpp"
#include "relay/peer_protection.hpp"
#include "relay/relay_node_state.hpp"
#include "settings/relay_settings_loader.hpp"
#include "units/build_name.hpp"

#include <csignal>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

/// The store limits calls per second over all nodes; logging every ten seconds
/// shows a trend at little cost.
constexpr duration store_calls_interval = std::chrono::seconds(10);
constexpr duration stop_poll_interval = std::chrono::milliseconds(50);

} // namespace

result<bool> relay_node::state::listen()
{
    this->peers.set_limits(peer_limits_for(this->settings.memory));
    const auto peer_port = this->peers.listen(this->settings.peer);
    if (peer_port.has_error())
    {
        return peer_port.error();
    }
    using request_handler =
        void (state::*)(const std::shared_ptr<net::http_exchange>&);
    struct listener
    {
        net::http_server& server;
        const std::optional<endpoint>& address;
        request_handler handler;
    };
    const std::vector<listener> listeners = {
        {this->front, this->settings.front, &state::handle_request},
        {this->ready, this->settings.ready, &state::handle_readiness},
        {this->directory, this->settings.directory,
         &state::handle_address_request},
        {this->metrics_server, this->settings.metrics, &state::handle_metrics}};
    for (const listener& entry : listeners)
    {
        if (!entry.address)
        {
            continue;
        }
        entry.server.set_handler(
            [this, handler = entry.handler](
                const std::shared_ptr<net::http_exchange>& exchange)
            { (this->*handler)(exchange); });
        const auto port = entry.server.listen(*entry.address);
        if (port.has_error())
        {
            return port.error();
        }
    }
    return true;
}

void relay_node::state::reload()
{
    const auto outcome = settings::load_relay_settings(this->settings_path);
    if (const auto* problems = std::get_if<findings>(&outcome))
    {
        log_findings("reload_refused", *problems);
        return;
    }
    const auto& fresh = std::get<settings::relay_settings>(outcome);
    this->settings.address_validity = fresh.address_validity;
    this->settings.stop_timeout = fresh.stop_timeout;
    this->settings.level = fresh.level;
    configure_logging(fresh.level, this->settings.id.str());
    log_event(log_level::info, "reloaded", {{"path", this->settings_path}});
}

void relay_node::state::begin_stop()
{
    if (this->stop)
    {
        return;
    }
    log_event(log_level::info, "stopping",
              {{"open_requests", this->front.open_requests()}});
    this->stop.emplace(net::event_loop::now(), this->settings.address_validity,
                       this->settings.stop_timeout);
    this->group.announce_leaving();
    this->front.close_after_responses();
    this->jobs.stop();
    this->stop_timer = this->loop.call_every(stop_poll_interval,
                                             [this] { this->advance_stop(); });
}

void relay_node::state::advance_stop()
{
    const time_point now = net::event_loop::now();
    if (this->stop->accepts_requests(now))
    {
        return;
    }
    // After a pause of the process, timers run before its sockets are read. So
    // each step leaves the loop the time to accept the connections that wait,
    // and to read the requests on them.
    if (!std::exchange(this->acceptance_ended, true))
    {
        return;
    }
    if (this->front.is_accepting())
    {
        this->front.stop_accepting();
        return;
    }
    const std::size_t open =
        this->front.open_requests() + this->front.partial_heads();
    if (!this->stop->is_over(now, open))
    {
        return;
    }
    if (open > 0)
    {
        log_event(log_level::warning, "requests_cut", {{"count", open}});
    }
    this->group.announce_gone();
    this->loop.stop();
}

relay_node::relay_node(settings::relay_settings node_settings,
                       std::string settings_path, const relay_adapter& adapter)
    : contents(std::make_unique<state>(std::move(node_settings),
                                       std::move(settings_path), adapter))
{
}

relay_node::~relay_node() = default;

result<bool> relay_node::start()
{
    state& self = *this->contents;
    const result<bool> listening = self.listen();
    if (listening.has_error())
    {
        return listening;
    }
    self.configuration.on_change(
        [&self] {
            self.protection.apply(
                self.configuration.current()->contents().limits);
        });
    self.configuration.start();
    self.link.on_change(
        [&self](bool reaches_replicas)
        { self.group.announce_reachability(reaches_replicas); });
    self.replicas.start();
    self.storage_nodes.start();
    self.store_calls_timer = self.loop.call_every(
        store_calls_interval, [&self] { self.status.log_store_calls(); });
    log_event(log_level::info, "started",
              {{"build", build_name()},
               {"peer", to_string(self.settings.peer)},
               {"zone", self.settings.availability_zone.str()},
               {"store", to_string(self.settings.store)},
               {"seeds", self.settings.seeds.size()}});
    return true;
}

void relay_node::run()
{
    state& self = *this->contents;
    const auto stop = [&self]
    {
        self.begin_stop();
    };
    self.signals.push_back(self.loop.on_signal(SIGTERM, stop));
    self.signals.push_back(self.loop.on_signal(SIGINT, stop));
    self.signals.push_back(
        self.loop.on_signal(SIGHUP, [&self] { self.reload(); }));
    self.loop.run();
    log_event(log_level::info, "stopped");
}

} // namespace parsleytrack::relay
