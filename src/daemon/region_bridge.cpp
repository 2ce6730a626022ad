#include "daemon/region_bridge.hpp"

#include "daemon/region_conversion.hpp"
#include "daemon/seed_conversion.hpp"
#include "decisions/seed_list.hpp"
#include "units/wall_clock.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration exchange_interval = std::chrono::seconds(5);
constexpr duration call_timeout = std::chrono::seconds(3);
constexpr std::size_t bridges = 2;
constexpr std::size_t regions_per_round = 3;
constexpr std::size_t max_calls = 32;
constexpr std::size_t max_contacts = 4;
/// Rounds between two looks at the seeds of all regions in the store.
constexpr int rounds_per_listing = 12;
constexpr std::size_t max_listed_regions = 64;
constexpr const char* list_prefix = "parsleytrack/nodes/";
constexpr const char* topic = "regions";

} // namespace

region_bridge::region_bridge(node_context& node,
                             const membership& membership_view)
    : context(node), members(membership_view)
{
    this->context.board.subscribe(
        topic,
        [this](const node_id& from, const std::string& value)
        {
            if (from != this->context.settings.id)
            {
                this->merge(value);
            }
        });
    this->context.peers.on_call(
        wire::message_type::region_exchange,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        {
            this->merge(exchange->request());
            this->summarise_own_region();
            exchange->finish(encode_regions(this->table.summaries()));
        });
    this->timer = this->context.loop.call_every(exchange_interval,
                                                [this] { this->run(); });
}

void region_bridge::run()
{
    if (!has_duty(this->members.nodes(), this->context.settings.id, "bridge",
                  bridges))
    {
        this->rounds = 0;
        return;
    }
    this->summarise_own_region();
    if (this->rounds++ % rounds_per_listing == 0)
    {
        this->find_contacts();
    }
    this->exchange_with_others();
    this->tell_own_region();
}

void region_bridge::tell_own_region()
{
    std::vector<region_summary> facts = this->table.summaries();
    for (region_summary& summary : facts)
    {
        summary.version = 0;
    }
    const bool due = this->rounds % rounds_per_listing == 1;
    if (facts.size() > 1 && (due || facts != this->told))
    {
        this->told = std::move(facts);
        this->context.board.publish(topic,
                                    encode_regions(this->table.summaries()));
    }
}

void region_bridge::merge(std::string_view bytes)
{
    const auto summaries = decode_regions(bytes);
    if (summaries.has_error())
    {
        return;
    }
    for (const region_summary& summary : summaries.value())
    {
        this->table.merge(summary, net::event_loop::now());
    }
}

void region_bridge::summarise_own_region()
{
    region_summary own;
    own.region = this->context.settings.region;
    own.version = wall_clock_us();
    own.release = this->context.catalogue.current().version;
    // Taken from the view in order, so that all bridges write the same.
    for (const node_info& node : this->members.nodes())
    {
        const bool alive = node.state == node_state::alive;
        own.nodes += alive ? 1 : 0;
        if (alive && own.contacts.size() < max_contacts)
        {
            own.contacts.push_back(node.peer);
        }
    }
    this->table.merge(own, net::event_loop::now());
}

void region_bridge::exchange_with_others()
{
    std::map<region_name, std::vector<endpoint>> contacts =
        this->listed_contacts;
    for (const auto& [region, known] : this->table.all())
    {
        auto& addresses = contacts[region];
        addresses.insert(addresses.end(), known.summary.contacts.begin(),
                         known.summary.contacts.end());
    }
    contacts.erase(this->context.settings.region);
    // A seed in the settings may belong to another region.
    if (!this->context.settings.seeds.empty() && contacts.empty())
    {
        contacts[region_name()] = this->context.settings.seeds;
    }
    // Each exchange carries what is known of all regions, so that a few in
    // each round are enough.
    std::vector<const std::vector<endpoint>*> chosen;
    for (const auto& [region, addresses] : contacts)
    {
        if (!addresses.empty())
        {
            chosen.push_back(&addresses);
        }
    }
    std::shuffle(chosen.begin(), chosen.end(), this->context.random);
    chosen.resize(std::min(chosen.size(), regions_per_round));
    for (const auto* addresses : chosen)
    {
        if (this->calls.size() < max_calls)
        {
            this->exchange(
                (*addresses)[this->context.random() % addresses->size()]);
        }
    }
}

void region_bridge::exchange(const endpoint& target)
{
    const std::int64_t number = this->next_call++;
    this->calls[number] = this->context.peers.call(
        target, wire::message_type::region_exchange,
        encode_regions(this->table.summaries()), call_timeout,
        {{},
         [this, number](const result<std::string>& outcome)
         {
             this->calls.erase(number);
             if (outcome.has_value())
             {
                 this->merge(outcome.value());
                 return;
             }
             this->context.metrics.count(
                 "parsleytrack_region_exchanges_failed_total",
                 {{"reason", std::string(to_string(outcome.error().code))}});
         }});
}

void region_bridge::find_contacts()
{
    if (this->context.settings.store.empty())
    {
        return;
    }
    const std::weak_ptr<bool> observed = this->lifetime;
    this->context.store.list(
        list_prefix, "", max_listed_regions,
        [this,
         observed](const result<std::vector<key_value::listed_value>>& found)
        {
            if (observed.expired() || found.has_error())
            {
                return;
            }
            for (const auto& [key, value] : found.value())
            {
                const std::size_t start = std::string_view(list_prefix).size();
                const std::size_t end = key.find('/', start);
                auto& addresses = this->listed_contacts[region_name(
                    key.substr(start, end - start))];
                addresses.clear();
                for (const seed_entry& entry : decode_seeds(value.value))
                {
                    addresses.push_back(entry.peer);
                }
            }
        });
}

} // namespace parsleytrack
