#include "relay/relay_node.hpp"

#include "logging/log.hpp"
#include "logging/log_findings.hpp"
#include "metrics/registry.hpp"
#include "net/http_server.hpp"
#include "relay/address_service.hpp"
#include "relay/caller_authorization.hpp"
#include "relay/caller_protection.hpp"
#include "relay/job_service.hpp"
#include "relay/online_service.hpp"
#include "relay/own_node_info.hpp"
#include "relay/refusal.hpp"
#include "relay/relay_context.hpp"
#include "relay/slot_client.hpp"
#include "relay/slot_server.hpp"
#include "relay/status_report.hpp"
#include "relay/stop_schedule.hpp"
#include "settings/relay_settings_loader.hpp"
#include "units/build_name.hpp"

#include <algorithm>
#include <csignal>
#include <optional>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr duration retry_after_start = std::chrono::milliseconds(300);
/// The store limits calls per second over all nodes; logging every ten seconds
/// shows a trend at little cost.
constexpr duration store_calls_interval = std::chrono::seconds(10);
constexpr duration stop_poll_interval = std::chrono::milliseconds(50);

} // namespace

struct relay_node::state
{
    state(settings::relay_settings node_settings, std::string path,
          const relay_adapter& protocol_adapter)
        : settings(std::move(node_settings)), settings_path(std::move(path)),
          adapter(protocol_adapter), random(random_seed()), front(this->loop),
          ready(this->loop), directory(this->loop), metrics_server(this->loop),
          replica_client(this->loop), store_client(this->loop),
          peers(this->loop),
          store(this->loop, this->store_client, this->settings.store,
                protocol_adapter.records(), this->random),
          group(this->loop, this->peers, this->random,
                own_node_info(this->settings, this->random),
                this->settings.seeds),
          configuration(
              this->loop, this->store, this->peers, this->group, this->random,
              protocol_adapter,
              static_cast<std::size_t>(this->settings.max_direct_followers)),
          replicas(
              this->loop, this->store, this->peers, this->group, this->random,
              protocol_adapter,
              static_cast<std::size_t>(this->settings.max_direct_followers))
    {
    }

    settings::relay_settings settings;
    std::string settings_path;
    const relay_adapter& adapter;
    random_source random;
    net::event_loop loop;
    net::http_server front;
    net::http_server ready;
    net::http_server directory;
    net::http_server metrics_server;
    net::http_client replica_client;
    net::http_client store_client;
    wire::peer_network peers;
    key_value::record_client store;
    peering::peer_group group;
    configuration_follower configuration;
    replica_follower replicas;
    metrics::registry metrics;
    caller_protection protection{
        this->settings.memory,
        this->front,
        {&this->ready, &this->directory, &this->metrics_server},
        this->metrics};
    link_monitor link{this->loop, this->replicas, this->random, this->metrics};
    replica_doubts doubts{this->replica_client, this->replicas};
    storage_directory storage_nodes{
        this->loop,
        this->store,
        this->peers,
        this->group,
        this->random,
        static_cast<std::size_t>(this->settings.max_direct_followers)};
    crash_guard crashes{this->loop, this->peers, this->group,
                        this->storage_nodes, this->metrics};
    stream_origins origins{this->loop,    this->peers,    this->store,
                           this->adapter, this->replicas, this->storage_nodes};
    allotments::allotment_client allotments{allotments::allotment_services{
        this->settings.allotments, this->loop, this->peers, this->group,
        this->metrics, this->random}};
    workspaces::request_counts workspace_requests;
    relay_context context{this->settings,
                          this->adapter,
                          this->loop,
                          this->replica_client,
                          this->peers,
                          this->group,
                          this->store,
                          this->configuration,
                          this->replicas,
                          this->link,
                          this->crashes,
                          this->allotments,
                          this->workspace_requests,
                          this->doubts,
                          this->origins,
                          this->metrics,
                          this->random};
    slot_server slots_server{this->context};
    slot_client slots{this->context, this->slots_server};
    online_service online{this->context, this->slots};
    job_service jobs{this->context, this->slots};
    address_service addresses{this->context};
    status_report status{this->context, this->slots_server, this->jobs};
    std::vector<net::timer> signals;
    net::timer stop_timer;
    net::timer store_calls_timer;
    std::optional<stop_schedule> stop;
    bool acceptance_ended = false;

    result<bool> listen();
    void handle_request(const std::shared_ptr<net::http_exchange>& exchange);
    void handle_readiness(const std::shared_ptr<net::http_exchange>& exchange);
    void
    handle_address_request(const std::shared_ptr<net::http_exchange>& exchange);
    void handle_metrics(const std::shared_ptr<net::http_exchange>& exchange);
    void log_store_calls() const;
    void reload();
    void begin_stop();
    void advance_stop();
};

result<bool> relay_node::state::listen()
{
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

void relay_node::state::handle_request(
    const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto table = this->configuration.current();
    if (!table)
    {
        refuse(*exchange, error{error_code::shutting_down,
                                "this node has no configuration yet",
                                ran_state::no, retry_after_start});
        return;
    }
    if (this->stop && !this->stop->accepts_requests(net::event_loop::now()))
    {
        refuse(*exchange,
               error{error_code::shutting_down, "this node is stopping",
                     ran_state::no, stop_schedule::retry_after});
        return;
    }
    const net::http_request_head& head = exchange->head();
    if (const auto call = this->adapter.parse_job_call(head))
    {
        if (const auto workspace =
                authorize_caller(this->context, *exchange, *table, false))
        {
            this->jobs.handle_call(exchange, *workspace, *call);
        }
        return;
    }
    const std::string* host = net::find_header(head.headers, "Host");
    const routing::route* route =
        host == nullptr ? nullptr : table->find(*host, head.path);
    if (route == nullptr)
    {
        log_event(log_level::info, "request_without_route",
                  {{"host", host == nullptr ? "" : *host},
                   {"path", head.path},
                   {"configuration", table->contents().version.count()},
                   {"age_ms", to_milliseconds(this->configuration.age())}});
        this->metrics.count("parsleytrack_requests_total",
                            {{"outcome", "no_route"}, {"kind", "none"}});
        refuse(*exchange, error{error_code::not_found,
                                "no route matches " + head.path,
                                ran_state::no,
                                {}});
        return;
    }
    // Jobs belong to a workspace, so that a public route needs a key for them.
    const auto workspace = authorize_caller(
        this->context, *exchange, *table,
        route->is_public && route->kind != routing::request_kind::batch);
    if (!workspace)
    {
        return;
    }
    if (route->kind == routing::request_kind::batch)
    {
        this->jobs.submit(exchange, table, *route, *workspace);
        return;
    }
    this->online.handle_request(
        exchange, table, *route, *workspace,
        this->stop ? std::optional(this->stop->closes_at()) : std::nullopt);
}

void relay_node::state::handle_readiness(
    const std::shared_ptr<net::http_exchange>& exchange)
{
    const bool is_ready = !this->stop && this->configuration.current() &&
                          this->replicas.is_known();
    exchange->respond(is_ready ? status_ok : status_unavailable, {}, {});
}

void relay_node::state::handle_address_request(
    const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto request = this->adapter.parse_address_request(exchange->head());
    if (!request)
    {
        refuse(*exchange, error{error_code::not_found,
                                "unknown resource " + exchange->head().path,
                                ran_state::no,
                                {}});
        return;
    }
    this->addresses.respond(exchange, *request);
}

void relay_node::state::handle_metrics(
    const std::shared_ptr<net::http_exchange>& exchange)
{
    if (exchange->head().path == "/status")
    {
        exchange->respond_json(status_ok,
                               this->status.json(this->stop.has_value()));
        return;
    }
    this->status.update_gauges(this->online.open_calls());
    this->protection.update_gauges();
    exchange->respond(status_ok,
                      {{"Content-Type", "text/plain; version=0.0.4"}},
                      this->metrics.prometheus_text());
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
