#pragma once

#include "routing/replica_entry.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleytrack::routing
{

/// Registry of the known replicas, combining their entries in the store with
/// what requests have shown about them. Entries are kept while the store is
/// unreachable and for a grace period after its return, since replicas restore
/// entries that expired during the outage within that period.
class replica_registry
{
public:
    /// How long after the store's return a missing entry may still be restored.
    /// The platform announces two seconds; the rest is a margin for delays.
    static constexpr duration return_grace = std::chrono::milliseconds(2200);

    /// Replaces all entries by a full listing.
    ///
    /// \param after_outage Whether the store was unreachable before; if so, the
    /// grace period starts.
    void replace_all(const std::map<replica_id, replica_entry>& listed,
                     bool after_outage, time_point now);

    /// Adds or replaces one entry.
    void update(const replica_entry& entry);

    /// Removes an entry that was deleted or has become unreadable; during an
    /// outage or grace period it is kept until expire().
    void remove(const replica_id& id, time_point now);

    /// The store has stopped responding: later removals may only mean that
    /// leases expired.
    void mark_store_unreachable() { this->store_reachable = false; }

    /// Processes of replicas that are remembered as leaving; the oldest marks
    /// are dropped first. Several times the replicas that leave the largest
    /// fleet during a release.
    static constexpr std::size_t max_leaving_marks = 4000;

    /// Stops using a process of a replica that announced that it is shutting
    /// down, or whose address now belongs to another one. Holds whatever the
    /// store says of this process later, also when its entry is gone and comes
    /// back from an old listing.
    ///
    /// \returns Whether this was not known before.
    bool mark_leaving(const replica_process_id& process);

    /// Removes missing entries once the grace period has ended.
    ///
    /// \returns The removed replicas.
    std::vector<replica_id> expire(time_point now);

    /// \returns The replicas of a service that may get new requests.
    std::vector<const replica_entry*> usable(const service_name& name) const;

    /// \returns Whether a replica of the service may get new requests.
    bool has_usable(const service_name& name) const;

    /// \param excluded Replicas that do not count.
    /// \returns Whether a replica of the version may get new requests.
    bool has_usable(const service_name& name, const software_version& version,
                    const std::set<replica_id>& excluded) const;

    /// \returns The replica if it may get new requests, otherwise nullptr.
    const replica_entry* find_usable(const replica_id& id) const;

    /// \returns All entries, usable or not.
    const std::map<replica_id, replica_entry>& all() const
    {
        return this->entries;
    }

    /// \returns A counter that increases with every change of the entries.
    std::uint64_t generation() const { return this->change_count; }

private:
    bool is_usable(const replica_entry& entry) const;

    std::map<replica_id, replica_entry> entries;
    std::set<replica_process_id> leaving;
    std::deque<replica_process_id> leaving_order;
    /// Entries that went missing during or after an outage, and until when
    /// they may be restored.
    std::map<replica_id, time_point> missing_until;
    time_point grace_end = time_point::min();
    bool store_reachable = true;
    std::uint64_t change_count = 0;
};

} // namespace parsleytrack::routing
