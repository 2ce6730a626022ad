#include "daemon/load_slots.hpp"

#include <string>
#include <utility>
#include <vector>

namespace parsleytrack
{

namespace
{

// Well under the difference of a slot's lifetime and the longest load, so that
// a load can start at any time.
constexpr duration renew_interval = std::chrono::seconds(10);
constexpr duration first_pause = std::chrono::milliseconds(400);
constexpr duration longest_pause = std::chrono::seconds(3);
constexpr std::size_t most_slots = 1000;

} // namespace

load_slots::load_slots(node_context& node)
    : context(node), pauses(first_pause, longest_pause)
{
}

void load_slots::tick(bool needed)
{
    const time_point now = net::event_loop::now();
    this->slots.note_store(this->context.store.is_reachable(),
                           this->own_home_slots(), now);
    this->follow_keys(now);
    for (const int slot : this->slots.unregistered())
    {
        if (this->context.store.is_reachable())
        {
            this->key_of(slot).take();
        }
    }
    if (needed)
    {
        this->take_some(now);
        return;
    }
    this->release_unused(now);
}

leased_key& load_slots::key_of(int slot)
{
    auto& key = this->keys[slot];
    if (!key)
    {
        key = std::make_unique<leased_key>(
            this->context, this->prefix() + std::to_string(slot),
            load_budget::slot_lifetime);
    }
    return *key;
}

std::set<int> load_slots::own_home_slots() const
{
    std::vector<std::string> nodes;
    for (const auto& [id, node] : this->context.fleet.nodes())
    {
        nodes.push_back(id.str());
    }
    return home_slots(this->context.settings.limits.weight_loads, nodes,
                      this->context.settings.id.str());
}

void load_slots::follow_keys(time_point now)
{
    for (const auto& [slot, key] : this->keys)
    {
        if (key->current_phase() == leased_key::phase::held)
        {
            this->slots.hold(slot, *key->valid_until());
            if (now - key->renewed_at() >= renew_interval)
            {
                key->renew();
            }
        }
        else if (key->current_phase() == leased_key::phase::idle)
        {
            this->slots.drop(slot);
        }
    }
}

void load_slots::release_unused(time_point now)
{
    for (const int slot : this->slots.unused(now))
    {
        this->key_of(slot).release();
        this->slots.drop(slot);
    }
}

void load_slots::take_some(time_point now)
{
    if (this->slots.can_start(now) || !this->slots.may_take(now) ||
        now < this->next_try || this->listing)
    {
        return;
    }
    this->next_try = now + this->pauses.next_delay(this->context.random);
    this->listing = true;
    this->context.store.list(
        this->prefix(), std::string(), most_slots,
        [this, observed = std::weak_ptr<bool>(this->alive)](
            const result<std::vector<key_value::listed_value>>& end)
        {
            if (!observed.lock())
            {
                return;
            }
            this->listing = false;
            if (end.has_value())
            {
                this->take_free(end.value());
            }
        });
}

void load_slots::take_free(const std::vector<key_value::listed_value>& taken)
{
    std::set<std::string> names;
    for (const auto& [key, value] : taken)
    {
        names.insert(key.substr(this->prefix().size()));
    }
    std::vector<int> free;
    for (int slot = 0; slot < this->context.settings.limits.weight_loads;
         ++slot)
    {
        if (!names.contains(std::to_string(slot)))
        {
            free.push_back(slot);
        }
    }
    if (free.empty())
    {
        return;
    }
    this->pauses.reset();
    this->key_of(free[this->context.random() % free.size()]).take_absent();
}

std::string load_slots::prefix() const
{
    return "parsleytrack/weight_slots/" + this->context.settings.region.str() +
           "/";
}

} // namespace parsleytrack
