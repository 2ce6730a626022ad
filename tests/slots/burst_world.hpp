#pragma once

#include "slots/pool_selector.hpp"
#include "slots/slot_broker.hpp"
#include "units/random_source.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace parsleytrack::slots
{

/// Simulates nodes that request slots of one service in virtual time: the real
/// brokers and pool selectors, with message delays, online requests in steps of
/// load, and batch work that fills the other slots and returns them on demand.
class burst_world
{
public:
    struct options
    {
        std::uint64_t seed = 1;
        int replicas = 59;
        int slots = 7;
        int nodes = 165;
        int pools = 1;
        /// Online requests per second in quiet times and in bursts.
        double quiet_rate = 119;
        double burst_rate = 581;
        duration mean_hold = std::chrono::milliseconds(650);
        /// Batch items per second.
        double item_rate = 38;
        /// Replicas that name a limit, and the limit in requests per second.
        int limited_replicas = 0;
        double limit = 0.0;
        /// The broker's process starts again after this time; zero for never.
        duration broker_lifetime = duration::zero();
    };

    struct outcome
    {
        int requests = 0;
        /// Granted within the time in which the response can be on time.
        int in_time = 0;
        int refused = 0;
        int reclaimed = 0;
        /// Batch items that were due during the run, and those done by then.
        int items_due = 0;
        int items_in_time = 0;
        /// The most requests that a limited replica got within four seconds.
        int most_at_limited = 0;
        /// The part of the slot time in use, by online and batch work.
        double used = 0.0;

        double share_in_time() const
        {
            return static_cast<double>(this->in_time) / this->requests;
        }
        double share_of_items_in_time() const
        {
            return static_cast<double>(this->items_in_time) / this->items_due;
        }
    };

    explicit burst_world(const options& chosen);

    /// Plays steps of quiet times and bursts.
    outcome run(duration span);

private:
    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(other.when, other.order) <
                   std::tie(this->when, this->order);
        }
    };
    struct open_request
    {
        int pool = 0;
        int node = 0;
        work_class kind = work_class::online;
        time_point requested;
        time_point granted;
        replica_id replica;
        /// Index of the item, for batch work.
        std::size_t item = 0;
    };
    struct item
    {
        time_point due;
        duration remaining;
        bool in_time = false;
    };

    void schedule(duration delay, std::function<void()> action);
    void schedule_arrival();
    void schedule_item();
    double rate() const;
    duration draw_hold();
    int draw_node();
    void request(const open_request& wanted);
    void handle_commands(int pool);
    void handle(const slot_command& command, open_request& state);
    void release(slot_ticket ticket, bool completed);
    void restart_brokers();
    int most_at_limited() const;

    options chosen;
    random_source random;
    time_point now;
    std::vector<std::vector<slot_replica>> replicas;
    std::vector<slot_broker> brokers;
    std::map<replica_id, std::vector<time_point>> sent;
    std::vector<pool_selector> selectors;
    std::map<slot_ticket, open_request> open;
    std::vector<item> items;
    std::priority_queue<event> events;
    std::uint64_t next_order = 0;
    std::int64_t next_ticket = 1;
    outcome counted;
};

} // namespace parsleytrack::slots
