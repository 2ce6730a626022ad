#include "allotments/allotment_client.hpp"

#include "allotments/lease_codec.hpp"
#include "logging/log.hpp"
#include "wire/message_type.hpp"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace parsleytrack::allotments
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(100);

} // namespace

allotment_claim::~allotment_claim()
{
    if (this->number != 0)
    {
        this->client.end(this->number, false);
    }
}

void allotment_claim::use()
{
    if (this->number != 0)
    {
        this->client.end(std::exchange(this->number, 0), true);
    }
}

allotment_client::allotment_client(const allotment_services& node)
    : services(node), decisions(node.group.own().id, node.settings, node.random,
                                net::event_loop::now())
{
    this->services.group.on_change([this] { this->update_view(); });
    this->update_view();
    this->services.peers.on_call(
        wire::message_type::allotment_lease,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->handle_peer_request(exchange); });
    this->tick_timer =
        this->services.loop.call_every(tick_interval, [this] { this->tick(); });
}

void allotment_client::update_view()
{
    const peering::peer_group& group = this->services.group;
    const bool is_changed = this->decisions.update_view(
        group.live_nodes(), group.lost_nodes(), net::event_loop::now());
    if (is_changed)
    {
        // One line for all workspaces; there may be thousands.
        log_event(log_level::debug, "allotment_owner_changed",
                  {{"living", group.live_nodes().size()},
                   {"lost", this->lost_nodes}});
    }
    this->run_commands();
}

std::unique_ptr<allotment_claim> allotment_client::claim(
    const workspace_name& workspace, const workspaces::allotment& limit,
    configuration_version version, std::function<void()> on_granted,
    std::function<void(allotment_refusal)> on_refused)
{
    const std::uint64_t number = this->next_number++;
    auto claimed = std::make_unique<allotment_claim>(*this, number);
    if (!limit.is_limited())
    {
        on_granted();
        return claimed;
    }
    this->waiting[number] =
        callbacks{std::move(on_granted), std::move(on_refused)};
    this->decisions.claim(claim_number(static_cast<std::int64_t>(number)),
                          workspace, limit, version, net::event_loop::now());
    this->run_commands();
    return claimed;
}

void allotment_client::end(std::uint64_t number, bool used)
{
    this->waiting.erase(number);
    this->decisions.end(claim_number(static_cast<std::int64_t>(number)), used,
                        net::event_loop::now());
}

void allotment_client::run_commands()
{
    for (const allotment_command& command : this->decisions.take_commands())
    {
        std::visit([this](const auto& typed) { this->run(typed); }, command);
    }
}

void allotment_client::run(const grant_command& command)
{
    const auto found =
        this->waiting.find(static_cast<std::uint64_t>(command.claim.count()));
    if (found != this->waiting.end())
    {
        const callbacks handlers = std::move(found->second);
        this->waiting.erase(found);
        handlers.on_granted();
    }
}

void allotment_client::run(const refuse_command& command)
{
    const auto found =
        this->waiting.find(static_cast<std::uint64_t>(command.claim.count()));
    if (found != this->waiting.end())
    {
        const callbacks handlers = std::move(found->second);
        this->waiting.erase(found);
        handlers.on_refused(command.refusal);
    }
}

void allotment_client::run(const send_command& command)
{
    const lease_call_number number = command.call;
    this->calls[number] = this->services.peers.call(
        command.owner, wire::message_type::allotment_lease,
        encode(command.order), node_allotments::reply_timeout,
        {{},
         [this, number](const result<std::string>& outcome)
         {
             this->handle_outcome(number, outcome);
         }});
}

void allotment_client::handle_outcome(lease_call_number number,
                                      const result<std::string>& outcome)
{
    // This runs in a callback of the call.
    const auto found = this->calls.find(number);
    if (found != this->calls.end())
    {
        this->services.loop.free_later(std::move(found->second));
        this->calls.erase(found);
    }
    const time_point now = net::event_loop::now();
    const result<lease_reply> reply = outcome.has_error()
                                          ? result<lease_reply>(outcome.error())
                                          : decode_lease_reply(outcome.value());
    if (reply.has_error() && reply.error().code == error_code::bad_request)
    {
        this->decisions.handle_unsupported(number, now);
    }
    else if (reply.has_error())
    {
        log_event(log_level::debug, "allotment_owner_silent",
                  {{"reason", reply.error().message}});
        this->decisions.handle_failure(number, now);
    }
    else
    {
        this->decisions.handle_reply(number, reply.value(), now);
    }
    this->run_commands();
}

void allotment_client::handle_peer_request(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto order = decode_lease_order(exchange->request());
    if (order.has_error())
    {
        log_event(log_level::debug, "allotment_order_refused",
                  {{"reason", order.error().message}});
        exchange->fail(order.error());
        return;
    }
    exchange->finish(encode(
        this->decisions.handle_order(order.value(), net::event_loop::now())));
    this->run_commands();
}

void allotment_client::tick()
{
    // A dead node is forgotten after some time, which is no change of the view.
    if (this->services.group.lost_nodes() != this->lost_nodes)
    {
        this->update_view();
    }
    this->decisions.tick(net::event_loop::now());
    this->run_commands();
    this->export_counts();
}

void allotment_client::export_counts()
{
    const auto add = [this](const char* name, const metrics::label_list& labels,
                            std::uint64_t total, std::uint64_t& exported)
    {
        if (total > exported)
        {
            this->services.metrics.count(name, labels, total - exported);
            exported = total;
        }
    };
    constexpr const char* requests = "parsleytrack_allotment_requests_total";
    const node_allotments::counts& totals = this->decisions.totals();
    add(requests, {{"outcome", "leased"}}, totals.leased,
        this->exported.leased);
    add(requests, {{"outcome", "over_limit"}}, totals.over_limit,
        this->exported.over_limit);
    add(requests, {{"outcome", "unknown"}}, totals.unknown,
        this->exported.unknown);
    add("parsleytrack_allotment_leases_total", {}, totals.leases,
        this->exported.leases);
}

} // namespace parsleytrack::allotments
