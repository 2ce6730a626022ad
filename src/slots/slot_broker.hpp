#pragma once

#include "decisions/replica_health.hpp"
#include "sharing/priority_turns.hpp"
#include "sharing/service_order.hpp"
#include "sharing/use_ledger.hpp"
#include "sharing/workspace_use.hpp"
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
#include <utility>
#include <vector>

namespace parsleytrack::slots
{

/// Grants the slots of the replicas of one pool, so that the number of requests
/// at each replica is known before one is sent. Online requests have priority
/// over batch work, which fills the remaining slots and returns them when they
/// are reclaimed. Among requests of equal priority, the workspace that uses the
/// least slot time is served first. Requests that cannot get a slot in time are
/// refused at once.
class slot_broker
{
public:
    explicit slot_broker(const slot_broker_options& broker_options = {});

    /// Replaces the replicas whose slots are granted.
    void set_replicas(const std::vector<slot_replica>& usable, time_point now);

    /// Replaces the replicas that may run another version than is listed.
    /// Requests that name a version get none of their slots from the next
    /// decision on, until the replicas are no longer among these.
    void set_doubtful(std::set<replica_id> doubtful)
    {
        this->doubtful_replicas = std::move(doubtful);
    }

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

    /// \returns The replicas whose slots are granted.
    std::vector<replica_id> replica_ids() const;

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

    /// \returns The workspaces that use the most slots for one kind of work, in
    /// descending order; empty while no request names a workspace.
    std::vector<sharing::workspace_use>
    largest_users(work_class kind, std::size_t count, time_point now) const;

    std::size_t waiting_online() const { return this->online.size(); }
    std::size_t waiting_batch() const { return this->batch.size(); }

    /// \returns The longest time for which a request has waited although slots
    /// for its kind of work were free all the time; zero if none has.
    duration longest_idle_wait(work_class kind, time_point now) const;

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
        time_point since;
        /// Whether it was found to be on time once.
        bool accepted = false;
    };

    /// Order of waiting requests. Those of equal lateness, priority and
    /// workspace are a lane, which is served in this order.
    struct rank
    {
        bool late = false;
        int priority = 0;
        workspace_name workspace;
        time_point useful_until;
        slot_ticket ticket;
        auto operator<=>(const rank&) const = default;

        bool is_same_lane(const rank& other) const;
    };
    using queue = std::map<rank, waiting_request>;

    /// What decides which workspace is next for one kind of work.
    struct sharing_state
    {
        sharing::use_ledger use;
        sharing::priority_turns turns;

        explicit sharing_state(const slot_broker_options& options)
            : use(options.initial_hold_estimate, options.hold_weight)
        {
        }
    };

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
        /// Whether any replica names a limit.
        bool is_limited = false;

        /// \param share The part of all slots that other workspaces take
        /// first.
        /// \returns What is left of it.
        capacity left_by(double share) const;
    };

    /// Visits the waiting requests of a queue in the order of service.
    class service_pass
    {
    public:
        service_pass(queue& visited, const sharing_state& state,
                     time_point now);

        /// \returns The next request; the queue's end when none is left.
        queue::iterator next();

        /// Goes on to the request after the one found by next(), which gets a
        /// slot.
        ///
        /// \param remove Whether to remove it from the queue.
        void grant(bool remove);

        /// Goes on to the request after the one found by next(), which cannot
        /// be served.
        void skip(bool remove);

        /// \returns The part of all slots that other workspaces are expected to
        /// take before the request found by next().
        double claimed_share(const capacity& all);

        /// \returns How many grants precede the one that the request found by
        /// next() gets by a turn of its priority; nothing if there are no
        /// turns because no priority is more urgent.
        std::optional<std::size_t> place_by_turn() const;

        /// \returns Whether workspaces share the slots.
        bool is_shared() const { return this->shared; }

        const sharing::priority_turns& turns() const
        {
            return this->order->turns();
        }

    private:
        /// Finds the lanes, in order of rank.
        std::vector<sharing::lane> find_lanes(time_point now);
        /// Finds for each lane of late requests the one that precedes it.
        void link_late_lanes(std::vector<sharing::lane>& found) const;
        /// \returns Whether the lane has another request.
        bool advance(bool remove);

        struct lane_state
        {
            /// The next request of the lane.
            queue::iterator next;
            int priority = 0;
            double use = 0.0;
            /// The part of all slots that others take first.
            std::optional<double> claimed = std::nullopt;
        };

        queue& requests;
        const sharing_state& state;
        bool shared;
        std::vector<lane_state> lanes;
        std::optional<sharing::service_order> order;
        std::size_t current = 0;
        /// Requests that were found to get a slot, by priority.
        std::map<int, std::size_t> passed;
    };

    static rank rank_of(const waiting_request& waiting, bool late);
    void serve(time_point now);
    void serve_online(time_point now);
    void serve_batch(time_point now);
    /// \returns The free slots that are kept for online requests.
    int batch_reserve() const;
    /// Records which kinds of work have no free slot.
    void record_full(time_point now);
    /// Grants slots to waiting requests, in the order of service.
    ///
    /// \param avoided Versions that are granted last.
    /// \param may_grant Asked before each grant.
    template <std::predicate Condition>
    void serve_queue(work_class kind, const std::set<software_version>& avoided,
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
    /// Refuses a request that others precede.
    void refuse(const waiting_request& waiting, std::size_t ahead,
                const capacity& present, time_point now);
    /// \returns Whether workspaces share the slots.
    static bool shares(const sharing_state& state,
                       const waiting_request& waiting);
    queue& queue_of(work_class kind);
    sharing_state& sharing_of(work_class kind);
    /// \returns Whether excluded replicas get work as well, one request at a
    /// time until one succeeds: where all replicas fail, the cause may be
    /// elsewhere. Batch work waits, since failures use up an item's attempts.
    bool ignores_exclusion(work_class kind, time_point now) const;
    /// \returns Whether some replicas cannot be chosen for the request.
    bool is_restricted(const slot_request& wanted, time_point now) const;
    replica_state* choose(const slot_request& wanted,
                          const std::set<software_version>& avoided,
                          time_point now);
    /// \param version Only replicas of this version count; all if absent.
    capacity current_capacity(
        const std::optional<software_version>& version = std::nullopt) const;
    /// \returns Whether a request that others precede in its queue is expected
    /// to get a slot by a time.
    ///
    /// \param shared Whether workspaces share the slots. New requests then need
    /// a margin.
    bool is_meetable(std::size_t ahead, const waiting_request& waiting,
                     const capacity& present, bool shared,
                     time_point now) const;
    /// \returns The grants of other replicas plus those that replicas with a
    /// limit allow until a time.
    double add_limited_grants(double grants,
                              const std::optional<software_version>& version,
                              time_point until, time_point now) const;
    duration predicted_wait(std::size_t ahead, const capacity& present) const;
    static void update_pacer(replica_state& state, time_point now);

    slot_broker_options options;
    std::map<replica_id, replica_state> replicas;
    std::set<replica_id> doubtful_replicas;
    std::map<slot_ticket, held_slot> held;
    /// Slots held by batch work.
    int batch_held = 0;
    /// Reclaimed slots that have not been returned yet.
    int pending_reclaims = 0;
    queue online;
    queue batch;
    /// When each kind of work last had no free slot while requests waited.
    time_point online_full_at;
    time_point batch_full_at;
    sharing_state online_sharing;
    sharing_state batch_sharing;
    duration mean_hold;
    std::vector<slot_command> commands;
};

} // namespace parsleytrack::slots
