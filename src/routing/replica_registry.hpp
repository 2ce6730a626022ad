#pragma once

#include "routing/replica_entry.hpp"
#include "units/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleytrack::routing
{

/// The replicas that may be used, joined from their entries in the store and
/// from what requests to them have shown. Entries stay while the store is out
/// of reach, and for a grace period after its return, since entries that
/// lapsed in the outage come back within it.
class replica_registry
{
public:
    /// How long after the store's return a missing entry may still come back.
    /// Covers the announced two seconds and a margin for delays.
    static constexpr duration return_grace = std::chrono::milliseconds(2200);

    /// Replaces all entries by a full listing.
    ///
    /// \param after_outage Whether the store was out of reach before.
    void replace_all(const std::map<replica_id, replica_entry>& listed,
                     bool after_outage, time_point now);

    /// Takes in one changed entry.
    void update(const replica_entry& entry);

    /// Takes in that an entry was removed, or cannot be read any more.
    void remove(const replica_id& id, time_point now);

    /// The store has stopped answering: later removals may only mean that
    /// leases lapsed.
    void mark_store_unreachable() { this->store_reachable = false; }

    /// A replica has said itself that it is leaving, or that another one has
    /// its address. Holds for this life of the replica.
    void mark_leaving(const replica_id& id);

    /// Drops entries whose grace period has ended.
    ///
    /// \returns The replicas that are gone.
    std::vector<replica_id> expire(time_point now);

    /// \returns Replicas of a service that may get new requests.
    std::vector<const replica_entry*> usable(const service_name& name) const;

    /// \returns The replica if it may get new requests, otherwise null.
    const replica_entry* find_usable(const replica_id& id) const;

    /// \returns All entries, usable or not.
    const std::map<replica_id, replica_entry>& all() const
    {
        return this->entries;
    }

    /// \returns Changes with every change of the entries.
    std::uint64_t generation() const { return this->change_count; }

private:
    bool is_usable(const replica_entry& entry) const;

    std::map<replica_id, replica_entry> entries;
    std::set<replica_id> leaving;
    /// Entries that are missing after an outage, and until when they may
    /// come back.
    std::map<replica_id, time_point> missing_until;
    time_point grace_end = time_point::min();
    bool store_reachable = true;
    std::uint64_t change_count = 0;
};

} // namespace parsleytrack::routing
