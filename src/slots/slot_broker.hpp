#pragma once

#include "decisions/replica_health.hpp"
#include "slots/request_pacer.hpp"
#include "slots/slot_broker_options.hpp"
#include "slots/slot_command.hpp"
#include "slots/slot_replica.hpp"
#include "slots/slot_request.hpp"
#include "units/time.hpp"

#include <concepts>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleytrack::slots
{

/// Grants the slots of the replicas of one pool, so that the number of requests
/// at each replica is known before one is sent. Online requests have priority
/// over batch work, which fills the remaining slots and returns them when they
/// are reclaimed. Requests that cannot get a slot in time are refused at once.
class slot_broker
{
public:
    explicit slot_broker(const slot_broker_options& broker_options = {});

    /// Replaces the replicas whose slots are granted.
    void set_replicas(const std::vector<slot_replica>& usable, time_point now);

    /// Requests a slot; take_commands() returns the decisions on it.
    void request(slot_ticket ticket, const slot_request& wanted,
                 time_point now);

    /// Registers a slot in use that another broker granted.
    void adopt(slot_ticket ticket, const slot_request& wanted,
               const replica_id& replica, time_point now);

    /// Returns a granted slot, or withdraws a request that waits.
    void release(slot_ticket ticket, time_point now);

    /// Records the outcome of a request to the replica.
    void report_failure(const replica_id& replica, time_point now);
    void report_success(const replica_id& replica);

    /// Refuses requests past their deadline and grants slots that are free.
    void tick(time_point now);

    /// \returns The decisions since the last call, in order, for the holders
    /// of the tickets.
    std::vector<slot_command> take_commands();

    int total_slots() const;
    int used_slots() const { return static_cast<int>(this->held.size()); }
    int used_by_batch() const { return this->batch_held; }

    /// \returns Slots that can be granted now: those of usable replicas that
    /// are not held and that their limits allow.
    int free_slots(time_point now) const;

    /// \returns The number of replicas that name a limit.
    int limited_replicas() const;

    /// \returns How long online requests hold a slot on average.
    duration mean_online_hold() const { return this->mean_hold; }

    std::size_t waiting_online() const { return this->online.size(); }
    std::size_t waiting_batch() const { return this->batch.size(); }

    /// \returns Free slots minus the requests that wait; negative when there
    /// are too few slots.
    int spare(time_point now) const;

private:
    struct replica_state
    {
        slot_replica replica;
        replica_health health;
        int used = 0;
        int used_by_batch = 0;
        /// Set while the replica names a limit.
        std::optional<request_pacer> pacer;

        /// \returns Slots that can be granted now.
        int free(time_point now) const;
        /// \returns The same, also while the replica is excluded.
        int free_if_included(time_point now) const;
        /// \param allowed How many requests the replica may have.
        int free_of(int allowed, time_point now) const;
        /// \returns Whether a slot that is returned can be granted at once.
        bool takes_requests(time_point now) const;
    };
    struct held_slot
    {
        replica_id replica;
        slot_request request;
        time_point since;
        bool reclaimed = false;
    };
    struct waiting_request
    {
        slot_ticket ticket;
        slot_request request;
    };

    /// Order in which waiting requests are served.
    struct rank
    {
        bool late = false;
        int priority = 0;
        time_point useful_until;
        slot_ticket ticket;
        auto operator<=>(const rank&) const = default;
    };
    using queue = std::map<rank, waiting_request>;

    /// What the replicas can do for requests that wait.
    struct capacity
    {
        /// All slots; of a replica that names a limit, the slots that requests
        /// at this rate use.
        double slots = 0.0;
        /// Those of replicas that name no limit.
        double unlimited_slots = 0.0;
        /// Slots that batch work can give back for other requests.
        int reclaimable = 0;
    };

    static rank rank_of(const waiting_request& waiting, bool late);
    void serve(time_point now);
    void serve_online(time_point now);
    void serve_batch(time_point now);
    /// Grants slots to waiting requests, in their order.
    ///
    /// \param avoided Versions that are granted last.
    /// \param may_grant Asked before each grant.
    template <std::predicate Condition>
    void serve_queue(queue& waiting, const std::set<software_version>& avoided,
                     Condition may_grant, time_point now);
    /// \returns The versions that waiting online requests depend on.
    std::set<software_version> versions_waited_for() const;
    void reclaim_for_waiting(time_point now);
    /// \returns For each waiting online request that can still be on time, and
    /// for which no reclaimed slot is on its way, the version that it needs.
    std::vector<std::optional<software_version>> unmet_needs() const;
    /// \returns The version of the replica whose slot is held; absent when the
    /// replica is not listed any more.
    std::optional<software_version> version_of(const held_slot& slot) const;
    void refuse_unmeetable_deadlines(time_point now);
    void expire(time_point now);
    void add_held(slot_ticket ticket, held_slot slot);
    void grant(const waiting_request& waiting, replica_state& chosen,
               time_point now);
    void refuse(const waiting_request& waiting, duration wait);
    /// \returns Whether excluded replicas get work as well, one request at a
    /// time until one succeeds: where all replicas fail, the cause may be
    /// elsewhere. Batch work waits, since failures use up an item's attempts.
    bool ignores_exclusion(work_class kind, time_point now) const;
    replica_state* choose(const slot_request& wanted,
                          const std::set<software_version>& avoided,
                          time_point now);
    /// \param version Only replicas of this version count; all if absent.
    capacity current_capacity(
        const std::optional<software_version>& version = std::nullopt) const;
    /// \returns Whether a request that others precede in its queue is expected
    /// to get a slot by a time.
    bool is_meetable(std::size_t ahead, const waiting_request& waiting,
                     const capacity& present, time_point now) const;
    duration predicted_wait(std::size_t ahead, const capacity& present) const;
    static void update_pacer(replica_state& state, time_point now);

    slot_broker_options options;
    std::map<replica_id, replica_state> replicas;
    std::map<slot_ticket, held_slot> held;
    /// Slots held by batch work.
    int batch_held = 0;
    /// Reclaimed slots that have not been returned yet.
    int pending_reclaims = 0;
    queue online;
    queue batch;
    duration mean_hold;
    std::vector<slot_command> commands;
};

} // namespace parsleytrack::slots
