#include "daemon/order_module.hpp"

#include "wire/generated/release_types.h"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(200);

const settings::service_settings*
find_service(const settings::node_settings& settings, const service_name& name)
{
    const auto found = std::find_if(
        settings.services.begin(), settings.services.end(),
        [&name](const auto& service) { return service.name == name; });
    return found == settings.services.end() ? nullptr : &*found;
}

std::vector<std::string> describe(const std::vector<engine_part>& parts)
{
    std::vector<std::string> texts;
    for (const engine_part& part : parts)
    {
        texts.push_back(to_string(part));
    }
    return texts;
}

} // namespace

order_module::order_module(node_context& node, directory_module& directory)
    : context(node), replicas(directory), slots(node),
      status(node, [this] { return this->progress(); })
{
    this->tick_timer =
        this->context.loop.call_every(tick_interval, [this] { this->tick(); });
}

order_module::~order_module() = default;

void order_module::drain(std::function<void()> done)
{
    this->context.loop.post(std::move(done));
}

void order_module::tick()
{
    this->add_engines();
    this->remove_engines();
    bool needs_slot = false;
    int out_of_line = 0;
    for (const auto& [id, engine] : this->engines)
    {
        engine->tick(this->is_gate_of(id));
        const engine_reconciler& decisions = engine->decisions();
        needs_slot = needs_slot || decisions.waits_for() == "load_slot";
        out_of_line += decisions.remaining().empty() ? 0 : 1;
    }
    this->slots.tick(needs_slot);
    this->context.metrics.set_gauge("parsleytrack_engines_out_of_line", {},
                                    out_of_line);
}

bool order_module::is_gate_of(const replica_id& replica) const
{
    return this->context.fleet.gate_of(replica) == this->context.settings.id;
}

void order_module::add_engines()
{
    for (const auto& [id, replica] : this->context.fleet.replicas())
    {
        const auto* service =
            find_service(this->context.settings, replica.service);
        const bool is_engine = service != nullptr &&
                               service->kind == settings::service_kind::engine;
        if (!is_engine || !this->is_gate_of(id))
        {
            continue;
        }
        auto& engine = this->engines[id];
        if (!engine || engine->replica().address != replica.address)
        {
            engine = std::make_unique<engine_orders>(
                this->context, this->replicas, this->slots, replica,
                service->checks_fencing);
        }
    }
}

void order_module::remove_engines()
{
    std::erase_if(this->engines,
                  [this](const auto& entry)
                  {
                      const bool known = this->context.fleet.find_replica(
                                             entry.first) != nullptr;
                      const bool follows_load =
                          known && entry.second->decisions().is_loading();
                      return !follows_load && !this->is_gate_of(entry.first);
                  });
}

wire::release_progress_reply order_module::progress() const
{
    wire::release_progress_reply reply;
    reply.node = this->context.settings.id.str();
    reply.version = this->context.catalogue.current().version.count();
    for (const auto& [id, engine] : this->engines)
    {
        const engine_reconciler& decisions = engine->decisions();
        const bool unreachable = decisions.waits_for() == "engine_unreachable";
        const bool is_known =
            decisions.has_looked_at(this->context.catalogue.current()) &&
            !unreachable;
        const bool is_in_line =
            decisions.remaining().empty() && !decisions.is_loading();
        if (!this->is_gate_of(id) || (is_known && is_in_line))
        {
            continue;
        }
        wire::engine_progress progress;
        progress.replica = id.str();
        progress.to_load = describe(decisions.remaining().load);
        progress.to_unload = describe(decisions.remaining().unload);
        progress.waits_for = std::string(
            is_known || unreachable ? decisions.waits_for() : "state_not_read");
        reply.engines.push_back(std::move(progress));
    }
    return reply;
}

} // namespace parsleytrack
