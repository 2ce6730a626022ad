#include "daemon/membership_module.hpp"

#include "daemon/nodes_body.hpp"
#include "logging/log.hpp"
#include "peering/membership_conversion.hpp"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace parsleytrack
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration gauge_interval = std::chrono::seconds(1);
constexpr duration exchange_timeout = std::chrono::seconds(3);
constexpr std::size_t max_exchanges = 4;

/// Higher than that of any earlier process of the same node.
incarnation_number first_incarnation()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return incarnation_number(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
            .count());
}

node_info own_info(const settings::node_settings& settings)
{
    node_info own;
    own.id = settings.id;
    own.peer = settings.peer;
    own.http = settings.http;
    own.region = settings.region;
    own.availability_zone = settings.availability_zone;
    own.entry = settings.entry;
    own.keeper = settings.is_keeper();
    own.incarnation = first_incarnation();
    return own;
}

} // namespace

membership_module::membership_module(node_context& node,
                                     net::http_server& http_server)
    : context(node), server(http_server),
      members(own_info(node.settings), membership_options(), node.random,
              node.board),
      seeds(node, this->members), bridge(node, this->members)
{
    this->members.set_seeds(this->context.settings.seeds);
    this->context.board.set_sender(
        [this](const std::string& topic, std::uint64_t, const std::string&)
        { this->members.publish(topic); });
    this->context.peers.on_datagram(
        [this](const endpoint& from, std::string_view bytes)
        { this->receive(from, bytes); });
    this->context.peers.on_call(
        wire::message_type::view_exchange,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->answer_exchange(exchange); });
    this->context.router.add(
        "GET", "/v1/nodes",
        [this](const std::shared_ptr<net::http_exchange>& exchange)
        {
            exchange->respond_json(200, nodes_body(this->context.settings.id,
                                                   this->context.fleet,
                                                   this->bridge.regions(),
                                                   net::event_loop::now()));
        });
    this->tick_timer =
        this->context.loop.call_every(tick_interval, [this] { this->tick(); });
    this->gauge_timer = this->context.loop.call_every(
        gauge_interval, [this] { this->update_gauges(); });
    this->update_fleet();
}

void membership_module::drain(std::function<void()> done)
{
    this->members.announce_leaving();
    this->carry_out_commands();
    const auto& settings = this->context.settings;
    // Callers that keep a connection open learn from the last answers on it
    // that they have to ask for another address.
    this->close_timer =
        this->context.loop.call_after(settings.address_validity, [this]
                                      { this->server.close_after_answers(); });
    this->drain_timer = this->context.loop.call_after(
        settings.address_validity + settings.leave_margin, std::move(done));
}

void membership_module::leave()
{
    this->members.announce_gone();
    this->carry_out_commands();
}

void membership_module::tick()
{
    this->members.tick(net::event_loop::now());
    this->carry_out_commands();
}

void membership_module::receive(const endpoint& from, std::string_view bytes)
{
    const auto packet = decode_packet(bytes);
    if (packet.has_error())
    {
        this->context.metrics.count(
            "parsleytrack_membership_datagrams_refused_total",
            {{"reason", "corrupt_data"}});
        return;
    }
    this->members.receive(net::event_loop::now(), from, packet.value());
    this->carry_out_commands();
}

void membership_module::answer_exchange(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto request = decode_view(exchange->request());
    if (request.has_error())
    {
        exchange->fail(request.error());
        return;
    }
    const auto answer =
        this->members.answer_exchange(net::event_loop::now(), request.value());
    if (answer)
    {
        exchange->finish(encode_view(*answer));
    }
    else
    {
        exchange->fail(error{error_code::bad_request,
                             "this node belongs to region " +
                                 this->context.settings.region.str(),
                             ran_state::no,
                             {}});
    }
    this->carry_out_commands();
}

void membership_module::carry_out_commands()
{
    for (const membership_command& command : this->members.take_commands())
    {
        std::visit([this](const auto& specific) { this->carry_out(specific); },
                   command);
    }
}

void membership_module::carry_out(const send_packet_command& command)
{
    this->context.peers.send_datagram(command.target,
                                      encode_packet(command.packet));
}

void membership_module::carry_out(const exchange_views_command& command)
{
    if (this->exchanges.size() >= max_exchanges)
    {
        return;
    }
    const std::int64_t number = this->next_exchange++;
    this->exchanges[number] = this->context.peers.call(
        command.target, wire::message_type::view_exchange,
        encode_view(this->members.open_exchange()), exchange_timeout,
        {{},
         [this, number](const result<std::string>& outcome)
         {
             this->finish_exchange(number, outcome);
         }});
}

void membership_module::finish_exchange(std::int64_t call_number,
                                        const result<std::string>& outcome)
{
    this->exchanges.erase(call_number);
    if (outcome.has_error())
    {
        this->context.metrics.count(
            "parsleytrack_membership_exchanges_failed_total",
            {{"reason", std::string(to_string(outcome.error().code))}});
        return;
    }
    const auto answer = decode_view(outcome.value());
    if (answer.has_error())
    {
        return;
    }
    this->members.finish_exchange(net::event_loop::now(), answer.value());
    this->carry_out_commands();
}

void membership_module::carry_out(const view_changed_command&)
{
    this->update_fleet();
}

void membership_module::carry_out(const node_dead_command& command)
{
    log_event(log_level::warning, "node_dead",
              {{"peer_node", command.node.str()},
               {"address", to_string(command.peer)}});
    this->context.peers.drop_peer(command.peer);
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
