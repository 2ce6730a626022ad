#include "daemon/membership_module.hpp"

#include "daemon/nodes_body.hpp"
#include "peering/first_incarnation.hpp"

#include <chrono>
#include <string>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration gauge_interval = std::chrono::seconds(1);
constexpr duration exchange_timeout = std::chrono::seconds(3);

node_info own_info(const settings::node_settings& settings,
                   random_source& random)
{
    node_info own;
    own.id = settings.id;
    own.peer = settings.peer;
    own.http = settings.http;
    own.region = settings.region;
    own.availability_zone = settings.availability_zone;
    own.entry = settings.entry;
    own.keeper = settings.is_keeper();
    own.incarnation = peering::first_incarnation();
    own.process = peering::draw_process_number(random);
    return own;
}

} // namespace

membership_module::membership_module(node_context& node,
                                     net::http_server& http_server)
    : context(node), server(http_server),
      members(own_info(node.settings, node.random), membership_options(),
              node.random, node.board),
      seeds(node, this->members), bridge(node, this->members),
      driver(node.loop, node.peers, this->members, exchange_timeout,
             {[this] { this->update_fleet(); },
              [this](const endpoint&, const error&)
              {
                  this->context.metrics.count(
                      "parsleytrack_membership_datagrams_refused_total",
                      {{"reason", "corrupt_data"}});
              },
              [this](const error& reason)
              {
                  this->context.metrics.count(
                      "parsleytrack_membership_exchanges_failed_total",
                      {{"reason", std::string(to_string(reason.code))}});
              },
              {}})
{
    this->members.set_seeds(this->context.settings.seeds);
    this->context.board.set_sender(
        [this](const std::string& topic, std::uint64_t, const std::string&)
        { this->members.publish(topic); });
    this->context.router.add(
        "GET", "/v1/nodes",
        [this](const std::shared_ptr<net::http_exchange>& exchange)
        {
            exchange->respond_json(200, nodes_body(this->context.settings.id,
                                                   this->context.fleet,
                                                   this->bridge.regions(),
                                                   net::event_loop::now()));
        });
    this->gauge_timer = this->context.loop.call_every(
        gauge_interval, [this] { this->update_gauges(); });
    this->update_fleet();
}

void membership_module::drain(std::function<void()> done)
{
    this->members.announce_leaving();
    this->driver.execute_commands();
    const auto& settings = this->context.settings;
    // Callers that keep a connection open learn from the last answers on it
    // that they have to ask for another address.
    this->close_timer = this->context.loop.call_after(
        settings.address_validity,
        [this] { this->server.close_after_responses(); });
    this->drain_timer = this->context.loop.call_after(
        settings.address_validity + settings.leave_margin, std::move(done));
}

void membership_module::leave()
{
    this->members.announce_gone();
    this->driver.execute_commands();
}

void membership_module::update_fleet()
{
    this->context.fleet.set_nodes(this->members.nodes());
}

void membership_module::update_gauges()
{
    std::map<node_state, int> counts{{node_state::alive, 0},
                                     {node_state::suspect, 0},
                                     {node_state::leaving, 0},
                                     {node_state::dead, 0}};
    for (const auto& [id, node] : this->context.fleet.nodes())
    {
        ++counts[node.state];
    }
    auto& metrics = this->context.metrics;
    for (const auto& [state, count] : counts)
    {
        metrics.set_gauge("parsleytrack_nodes",
                          {{"state", std::string(to_string(state))}}, count);
    }
    const auto& traffic = this->context.peers.counters();
    const auto report = [&metrics](const char* transport, const char* direction,
                                   std::uint64_t bytes)
    {
        metrics.set_gauge("parsleytrack_peer_bytes",
                          {{"transport", transport}, {"direction", direction}},
                          static_cast<double>(bytes));
    };
    report("udp", "sent", traffic.datagram_bytes_sent);
    report("udp", "received", traffic.datagram_bytes_received);
    report("tcp", "sent", traffic.frame_bytes_sent);
    report("tcp", "received", traffic.frame_bytes_received);
}

} // namespace parsleytrack
