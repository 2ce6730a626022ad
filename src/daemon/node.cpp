#include "daemon/node.hpp"

#include "daemon/address_module.hpp"
#include "daemon/batch_module.hpp"
#include "daemon/directory_module.hpp"
#include "daemon/drain_sequence.hpp"
#include "daemon/gate_module.hpp"
#include "daemon/membership_module.hpp"
#include "daemon/node_context.hpp"
#include "daemon/once_module.hpp"
#include "daemon/online_module.hpp"
#include "daemon/order_module.hpp"
#include "daemon/release_module.hpp"
#include "daemon/storage_module.hpp"
#include "logging/log.hpp"
#include "net/http_server.hpp"
#include "units/wall_clock.hpp"

#include <chrono>
#include <csignal>
#include <functional>
#include <random>
#include <utility>

namespace parsleytrack
{

namespace
{

/// A caller that reads its answer slower than this holds up a stop no longer.
constexpr duration longest_open_request = std::chrono::seconds(60);
constexpr duration request_poll_interval = std::chrono::milliseconds(20);

} // namespace

struct node::state
{
    explicit state(settings::node_settings node_settings)
        : settings(std::move(node_settings)), random(random_seed()),
          server(this->loop), http(this->loop), peers(this->loop),
          store(this->loop, this->http, this->settings.store,
                this->settings.store_calls_per_s, this->random()),
          board(this->settings.id, static_cast<std::uint64_t>(wall_clock_us()))
    {
    }

    settings::node_settings settings;
    random_source random;
    net::event_loop loop;
    net::http_server server;
    net::http_client http;
    wire::peer_network peers;
    store_client store;
    metrics::registry metrics;
    http_router router;
    fleet_view fleet;
    gossip_board board;
    catalogue_view catalogue;
    node_context context{this->settings,  this->loop,  this->http,
                         this->peers,     this->store, this->metrics,
                         this->router,    this->fleet, this->board,
                         this->catalogue, this->random};
    std::unique_ptr<membership_module> membership;
    std::unique_ptr<directory_module> directory;
    std::unique_ptr<address_module> addresses;
    std::unique_ptr<release_module> releases;
    std::unique_ptr<order_module> orders;
    std::unique_ptr<storage_module> storage;
    std::unique_ptr<batch_module> batches;
    std::unique_ptr<once_module> once;
    std::unique_ptr<gate_module> gates;
    std::unique_ptr<online_module> online;
    std::vector<net::timer> signals;
    drain_sequence drain;
    net::timer request_poll;
};

node::node(settings::node_settings node_settings)
    : contents(std::make_unique<state>(std::move(node_settings)))
{
}

node::~node() = default;

result<bool> node::start()
{
    state& self = *this->contents;
    const auto peer_port = self.peers.listen(self.settings.peer);
    if (peer_port.has_error())
    {
        return peer_port.error();
    }
    const auto http_port = self.server.listen(self.settings.http);
    if (http_port.has_error())
    {
        return http_port.error();
    }
    self.settings.peer.port = peer_port.value();
    self.settings.http.port = http_port.value();
    self.membership =
        std::make_unique<membership_module>(self.context, self.server);
    self.directory = std::make_unique<directory_module>(self.context);
    self.addresses =
        std::make_unique<address_module>(self.context, self.server);
    self.releases = std::make_unique<release_module>(self.context);
    self.orders = std::make_unique<order_module>(self.context, *self.directory);
    self.storage = std::make_unique<storage_module>(self.context);
    const result<bool> storage_started = self.storage->start();
    if (storage_started.has_error())
    {
        return storage_started.error();
    }
    self.gates = std::make_unique<gate_module>(self.context);
    self.gates->on_leaving([&self](const replica_id& replica)
                           { self.directory->report_leaving(replica); });
    self.batches = std::make_unique<batch_module>(self.context, *self.storage);
    self.once = std::make_unique<once_module>(self.context, self.storage.get());
    self.online =
        std::make_unique<online_module>(self.context, *self.gates, *self.once);
    self.router.add("GET", "/healthz",
                    [](const std::shared_ptr<net::http_exchange>& exchange)
                    { exchange->respond_json(200, R"({"status":"ok"})"); });
    self.router.add(
        "GET", "/metrics",
        [&self](const std::shared_ptr<net::http_exchange>& exchange)
        {
            self.metrics.set_gauge(
                "parsleytrack_store_calls", {},
                static_cast<double>(self.store.calls_made()));
            self.metrics.set_gauge("parsleytrack_store_reachable", {},
                                   self.store.is_reachable() ? 1.0 : 0.0);
            exchange->respond(200,
                              {{"Content-Type", "text/plain; version=0.0.4"}},
                              self.metrics.prometheus_text());
        });
    self.server.set_handler(
        [&self](const std::shared_ptr<net::http_exchange>& exchange)
        { self.router.dispatch(exchange); });
    log_event(log_level::info, "started",
              {{"http", to_string(self.settings.http)},
               {"peer", to_string(self.settings.peer)},
               {"zone", self.settings.availability_zone.str()}});
    return true;
}

void node::run()
{
    state& self = *this->contents;
    this->plan_drain();
    const auto begin_drain = [&self]
    {
        self.drain.start();
    };
    self.signals.push_back(self.loop.on_signal(SIGTERM, begin_drain));
    self.signals.push_back(self.loop.on_signal(SIGINT, begin_drain));
    self.loop.run();
    log_event(log_level::info, "stopped");
}

void node::plan_drain()
{
    state& self = *this->contents;
    using done_callback = std::function<void()>;
    // The node serves as ever until callers have let go of its address.
    self.drain.add("announce", [&self](done_callback done)
                   { self.membership->drain(std::move(done)); });
    self.drain.add("stop_accepting",
                   [&self](done_callback done)
                   {
                       self.server.stop_accepting();
                       self.loop.post(std::move(done));
                   });
    self.drain.add("online", [&self](done_callback done)
                   { self.online->drain(std::move(done)); });
    self.drain.add("once", [&self](done_callback done)
                   { self.once->drain(std::move(done)); });
    self.drain.add("gates", [&self](done_callback done)
                   { self.gates->drain(std::move(done)); });
    self.drain.add("batches", [&self](done_callback done)
                   { self.batches->drain(std::move(done)); });
    self.drain.add("storage", [&self](done_callback done)
                   { self.storage->drain(std::move(done)); });
    // Uploads, results and read-back that none of the modules waits for.
    self.drain.add("open_requests", [this](done_callback done)
                   { this->await_open_requests(std::move(done)); });
    self.drain.add("leave",
                   [&self](done_callback)
                   {
                       self.membership->leave();
                       self.loop.stop();
                   });
}

void node::await_open_requests(std::function<void()> done)
{
    state& self = *this->contents;
    const time_point limit = net::event_loop::now() + longest_open_request;
    self.request_poll = self.loop.call_every(
        request_poll_interval,
        [&self, limit, done = std::move(done)]
        {
            const std::size_t open = self.server.open_requests();
            if (open > 0 && net::event_loop::now() < limit)
            {
                return;
            }
            if (open > 0)
            {
                log_event(log_level::warning, "requests_cut",
                          {{"count", open}});
            }
            const auto finished = done;
            self.request_poll.cancel();
            finished();
        });
}

} // namespace parsleytrack
