#include "daemon/online_module.hpp"

#include "daemon/forward_codec.hpp"
#include "daemon/online_request_parser.hpp"
#include "net/error_response.hpp"

#include <fmt/format.h>

#include <utility>

namespace parsleytrack
{

namespace
{

constexpr const char* gossip_topic = "gate";

} // namespace

online_module::online_module(node_context& node, gate_module& gates,
                             once_module& once)
    : context(node), client(node, gates), picker(picker_options()),
      retries(node.settings.limits.retry_budget,
              node.settings.limits.online_attempts),
      shared{node, this->client, once, this->picker, this->retries}
{
    this->add_routes();
    node.fleet.subscribe([this] { this->forget_lost_replicas(); });
    node.board.subscribe(gossip_topic,
                         [this](const node_id&, const std::string& value)
                         { this->handle_gossip(value); });
    this->forget_lost_replicas();
}

void online_module::add_routes()
{
    const auto limit = static_cast<std::size_t>(
        this->context.settings.limits.online_body.count());
    const auto complete = [this, limit](const exchange_pointer& exchange)
    {
        exchange->on_body(limit,
                          [this, exchange](std::string body)
                          {
                              this->begin(exchange,
                                          parse_completion_call(
                                              exchange->head(), std::move(body),
                                              this->context.settings,
                                              this->context.catalogue,
                                              net::event_loop::now()));
                          });
    };
    this->context.router.add("POST", "/v1/chat/completions", complete);
    this->context.router.add("POST", "/v1/completions", complete);
    this->context.router.add(
        "", "/services/",
        [this, limit](const exchange_pointer& exchange)
        {
            exchange->on_body(
                limit,
                [this, exchange](std::string body)
                {
                    this->begin(exchange, parse_service_call(
                                              exchange->head(), std::move(body),
                                              this->context.settings,
                                              net::event_loop::now()));
                });
        });
}

void online_module::begin(const exchange_pointer& exchange,
                          result<online_request> request)
{
    if (request.has_error())
    {
        this->context.metrics.count(
            "parsleytrack_refusals_total",
            {{"service", ""},
             {"reason", std::string(to_string(request.error().code))},
             {"ran", "no"}});
        respond_error(*exchange, request.error());
        return;
    }
    online_request checked = std::move(request.value());
    checked.id = request_id(fmt::format(
        "{:016x}{:016x}", this->context.random(), this->context.random()));
    this->context.metrics.count("parsleytrack_requests_total",
                                {{"service", checked.service->name.str()}});
    const auto holder = std::make_shared<std::weak_ptr<online_call>>();
    const auto call = std::make_shared<online_call>(
        this->shared, std::move(checked), exchange,
        [this, holder]
        {
            this->calls.erase(holder->lock());
            this->finish_drain();
        });
    *holder = call;
    this->calls.insert(call);
    call->start();
}

void online_module::drain(std::function<void()> done)
{
    this->drained = std::move(done);
    this->finish_drain();
}

void online_module::finish_drain()
{
    if (this->calls.empty() && this->drained)
    {
        this->context.loop.post(std::exchange(this->drained, nullptr));
    }
}

void online_module::handle_gossip(const std::string& value)
{
    for (const auto& [hash, summary] : decode_summaries(value))
    {
        const auto found = this->replicas_by_hash.find(hash);
        if (found != this->replicas_by_hash.end())
        {
            this->picker.update(found->second, summary);
        }
    }
}

void online_module::forget_lost_replicas()
{
    std::map<std::int32_t, replica_id> current;
    for (const auto& [id, replica] : this->context.fleet.replicas())
    {
        current[replica_hash(id)] = id;
    }
    for (const auto& [hash, id] : this->replicas_by_hash)
    {
        if (current.count(hash) == 0)
        {
            this->picker.forget(id);
        }
    }
    this->replicas_by_hash = std::move(current);
}

} // namespace parsleytrack
