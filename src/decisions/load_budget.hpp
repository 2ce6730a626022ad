#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleytrack
{

/// This node's part of the budget for the weight store. Every load uses one
/// slot. A slot is a key with a lease in the platform's store, which outlasts
/// any load that is started under it, even when its holder dies. While the
/// store is out of reach, each slot belongs to one node, its home, which may
/// use it once all loads from before the outage have ended.
class load_budget
{
public:
    /// Time to live of a slot's lease.
    static constexpr duration slot_lifetime = std::chrono::seconds(150);
    /// The longest load; a load starts only if its slot is held that long.
    static constexpr duration longest_load = std::chrono::seconds(120);
    /// After an outage, other nodes first register the slots that they use.
    static constexpr duration grace_after_outage = std::chrono::seconds(12);

    /// The store was out of reach or within reach just now.
    ///
    /// \param home_slots The slots whose home this node is.
    void note_store(bool reachable, const std::set<int>& home_slots,
                    time_point now);

    /// A slot was taken or renewed.
    ///
    /// \param valid_until End of its lease, counted from before the call.
    void hold(int slot, time_point valid_until);

    /// A slot's lease is lost or given back.
    void drop(int slot);

    /// \returns Whether a load could start now.
    bool can_start(time_point now) const;

    /// Starts a load.
    ///
    /// \returns Whether there was a slot for it.
    bool start(const replica_id& replica, time_point now);

    /// A load has ended.
    void finish(const replica_id& replica);

    /// This node will not learn of the load's end; its slot is used until the
    /// lease ends.
    void abandon(const replica_id& replica);

    /// \returns Whether it makes sense to take another slot in the store.
    bool may_take(time_point now) const;

    /// \returns Held slots that no load uses and that can be given back.
    std::vector<int> unused(time_point now) const;

    /// \returns Home slots that are in use without a lease in the store.
    std::vector<int> unregistered() const;

    /// \returns Loads that use a slot now.
    std::size_t active(time_point now) const;

    /// \returns Slots with a lease, to be renewed.
    std::vector<int> held() const;

private:
    struct slot_state
    {
        /// Absent for a home slot without a lease in the store.
        std::optional<time_point> valid_until;
        std::optional<replica_id> user;
        std::optional<time_point> used_until;
    };

    std::optional<int> startable(time_point now) const;
    bool home_slots_usable(time_point now) const;
    static bool is_free(const slot_state& slot, time_point now);

    std::map<int, slot_state> slots;
    std::set<int> home;
    bool reachable = false;
    bool ever_reached = false;
    time_point changed_at;
    bool had_outage = false;
};

/// \param slot_count All slots of the region.
/// \param nodes The region's nodes.
/// \param own This node.
/// \returns The slots whose home this node is.
std::set<int> home_slots(int slot_count, const std::vector<std::string>& nodes,
                         const std::string& own);

} // namespace parsleytrack
