#pragma once

#include "daemon/leased_key.hpp"
#include "daemon/node_context.hpp"
#include "decisions/load_budget.hpp"
#include "key_value/backoff.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Holds this node's slots of the load budget in the store.
class load_slots
{
public:
    explicit load_slots(node_context& node);

    load_budget& budget() { return this->slots; }

    /// Renews what is held, gives back what is not needed, and tries to take
    /// a slot.
    ///
    /// \param needed Whether a load waits for a slot.
    void tick(bool needed);

private:
    leased_key& key_of(int slot);
    std::set<int> own_home_slots() const;
    void follow_keys(time_point now);
    void release_unused(time_point now);
    void take_some(time_point now);
    void take_free(const std::vector<key_value::listed_value>& taken);
    std::string prefix() const;

    node_context& context;
    load_budget slots;
    std::map<int, std::unique_ptr<leased_key>> keys;
    time_point next_try;
    key_value::backoff pauses;
    bool listing = false;
    /// Freed with this object, so that late answers find nobody.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace parsleytrack
