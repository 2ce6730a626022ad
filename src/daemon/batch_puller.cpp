#include "daemon/batch_puller.hpp"

#include "wire/codec.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr const char* gossip_topic = "batch";
constexpr duration pull_timeout = std::chrono::seconds(2);
constexpr duration repeat_interval = std::chrono::milliseconds(200);
/// Owners whose least slack differs by less are equally urgent.
constexpr std::int64_t slack_step_ms = 60'000;

bool is_avoided(const wire::batch_item& item, const replica_id& replica)
{
    return std::find(item.avoid_replicas.begin(), item.avoid_replicas.end(),
                     replica.str()) != item.avoid_replicas.end();
}

} // namespace

batch_puller::batch_puller(node_context& node) : context(node), reports(node)
{
    node.board.subscribe(gossip_topic,
                         [this](const node_id& owner, const std::string& value)
                         { this->handle_offers(owner, value); });
    node.peers.on_call(
        wire::message_type::batch_cancel,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->handle_cancel(exchange); });
}

bool batch_puller::has_offers(const service_name& service) const
{
    return std::any_of(this->offers.begin(), this->offers.end(),
                       [&service](const auto& entry)
                       {
                           return std::any_of(
                               entry.second.begin(), entry.second.end(),
                               [&service](const wire::batch_offer& offer) {
                                   return offer.service_name == service.str() &&
                                          offer.waiting_items > 0;
                               });
                       });
}

void batch_puller::on_offers(std::function<void()> callback)
{
    this->offers_callback = std::move(callback);
}

void batch_puller::pull(const replica_id& replica,
                        const settings::service_settings& service, int count,
                        submitter submit, pull_end done)
{
    const node_info* owner = this->choose_owner(service.name);
    if (owner == nullptr)
    {
        this->context.loop.post([done = std::move(done)]
                                { done(0, repeat_interval); });
        return;
    }
    wire::pull_request request;
    request.gate_node = this->context.settings.id.str();
    request.replica = replica.str();
    request.service_name = service.name.str();
    request.models = this->models_of(service.name);
    request.max_items = count;
    wire::peer_network::callbacks hooks;
    hooks.on_end = [this, owner_id = owner->id, replica, &service,
                    submit = std::move(submit),
                    done = std::move(done)](const result<std::string>& answer)
    {
        this->pulls.erase(replica);
        const auto reply = answer.has_value()
                               ? wire::decode<wire::pull_reply>(answer.value())
                               : result<wire::pull_reply>(answer.error());
        if (reply.has_error())
        {
            done(0, repeat_interval);
            return;
        }
        this->begin_items(owner_id, replica, service, reply.value(), submit);
        done(static_cast<int>(reply.value().items.size()),
             std::max<duration>(
                 repeat_interval,
                 std::chrono::milliseconds(reply.value().retry_after_ms)));
    };
    this->pulls[replica] = this->context.peers.call(
        owner->peer, wire::message_type::batch_pull, wire::encode(request),
        pull_timeout, std::move(hooks));
}

void batch_puller::handle_offers(const node_id& owner, const std::string& value)
{
    auto list = wire::decode<wire::batch_offer_list>(value);
    if (list.has_value())
    {
        this->offers[owner] = std::move(list.value().offers);
    }
    if (this->offers_callback)
    {
        this->offers_callback();
    }
}

void batch_puller::handle_cancel(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto list = wire::decode<wire::item_cancel_list>(exchange->request());
    if (list.has_error())
    {
        exchange->fail(list.error());
        return;
    }
    for (const wire::item_reference& item : list.value().items)
    {
        const auto found = this->runs.find({item.job, item.lot, item.index});
        if (found != this->runs.end())
        {
            const auto run = std::move(found->second);
            this->runs.erase(found);
            run->cancel();
        }
    }
    exchange->finish("");
}

const node_info* batch_puller::choose_owner(const service_name& service)
{
    const node_info* best = nullptr;
    std::pair<std::int64_t, std::uint64_t> best_rank;
    for (const auto& [owner, list] : this->offers)
    {
        const node_info* node = this->context.fleet.find_node(owner);
        if (node == nullptr || node->state == node_state::dead)
        {
            continue;
        }
        for (const wire::batch_offer& offer : list)
        {
            if (offer.service_name != service.str() || offer.waiting_items <= 0)
            {
                continue;
            }
            // Among owners that are equally urgent chance decides, so that not
            // all gates ask the same one.
            const std::pair rank(offer.least_time_left_ms / slack_step_ms,
                                 this->context.random());
            if (best == nullptr || rank < best_rank)
            {
                best = node;
                best_rank = rank;
            }
        }
    }
    return best;
}

std::vector<std::string>
batch_puller::models_of(const service_name& service) const
{
    std::vector<std::string> names;
    const catalogue& in_force = this->context.catalogue.current();
    for (const auto& [name, model] : in_force.models)
    {
        if (model.service == service)
        {
            names.push_back(name.str());
        }
    }
    for (const auto& [name, base] : in_force.adapters)
    {
        const auto model = in_force.models.find(base.first);
        if (model != in_force.models.end() && model->second.service == service)
        {
            names.push_back(name);
        }
    }
    return names;
}

void batch_puller::begin_items(const node_id& owner, const replica_id& replica,
                               const settings::service_settings& service,
                               const wire::pull_reply& reply,
                               const submitter& submit)
{
    for (const wire::batch_item& item : reply.items)
    {
        this->begin_item(owner, replica, service, item, submit);
    }
}

void batch_puller::begin_item(const node_id& owner, const replica_id& replica,
                              const settings::service_settings& service,
                              const wire::batch_item& item,
                              const submitter& submit)
{
    const item_key key{item.job, item.lot, item.index};
    const auto run = std::make_shared<batch_item_run>(
        item, replica, service, net::event_loop::now(),
        [this, owner, key](wire::item_report report)
        { this->finish_item(owner, key, std::move(report)); });
    if (is_avoided(item, replica))
    {
        this->reports.add(owner, run->not_run("an earlier attempt failed on "
                                              "this replica"));
        return;
    }
    if (this->runs.count(key) > 0)
    {
        // A later attempt at the item takes the place of the earlier one.
        this->runs.at(key)->cancel();
    }
    this->runs[key] = run;
    run->keep(submit(run->make_job()));
}

void batch_puller::finish_item(const node_id& owner, const item_key& key,
                               wire::item_report report)
{
    this->context.metrics.count("parsleytrack_batch_items_total",
                                {{"end", wire::to_string(report.how)}});
    const auto found = this->runs.find(key);
    if (found != this->runs.end())
    {
        // It is in one of its own callbacks, so it is freed afterwards.
        this->context.loop.post([run = std::move(found->second)] {});
        this->runs.erase(found);
    }
    this->reports.add(owner, std::move(report));
}

} // namespace parsleytrack
