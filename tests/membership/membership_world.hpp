#pragma once

#include "decisions/gossip_board.hpp"
#include "decisions/membership.hpp"
#include "units/random_source.hpp"
#include "units/time.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Simulates the membership of many nodes of one region in virtual time, over a
/// network with packet loss, delays and partitions.
class membership_world
{
public:
    struct traffic
    {
        std::uint64_t datagrams = 0;
        std::uint64_t datagram_bytes = 0;
        std::uint64_t exchanges = 0;
        std::uint64_t exchange_bytes = 0;
    };

    membership_world(std::uint64_t seed, membership_options options);

    /// Starts a node, or starts it again with a higher incarnation.
    ///
    /// \param port Its port, which represents its address; 0 keeps the current
    /// one.
    void start(int node, std::uint16_t port = 0);
    void kill(int node);
    void freeze(int node);
    void thaw(int node);
    void leave(int node);

    /// Partitions the network: messages between different groups are lost.
    void partition(std::function<int(int)> grouping)
    {
        this->group_of = grouping;
    }
    void heal() { this->group_of = nullptr; }

    void run_for(duration span);
    void publish(int node, const std::string& topic, std::size_t size);

    bool is_running(int node) const;
    /// \returns The node's own view; nullptr while the node is down or frozen.
    const membership* view_of(int node) const;
    /// \returns The state in which one node sees another; dead if unknown.
    node_state belief(int observer, int subject) const;
    /// \returns For how many pairs of a running observer and another node the
    /// observer believes a wrong state, or takes an earlier process of the node
    /// for the running one.
    int wrong_beliefs() const;
    /// \returns The age of the oldest value of a topic that running nodes hold
    /// of each other; the maximum duration if a value is missing.
    duration oldest_value_age(const std::string& topic) const;

    /// \returns When the publisher published the value that the observer holds.
    time_point publish_time_of(int observer, int publisher,
                               const std::string& topic) const;

    int count() const { return static_cast<int>(this->nodes.size()); }
    time_point now() const { return this->time; }
    random_source& random_numbers() { return this->random; }

    double loss = 0;
    /// Offset of the wall clock of nodes that are started from now on.
    duration clock_error = duration::zero();
    duration delay = std::chrono::milliseconds(1);
    duration jitter = std::chrono::milliseconds(1);
    traffic totals;
    /// Real time spent in calls to the state machines.
    std::chrono::nanoseconds call_time = std::chrono::nanoseconds::zero();
    /// Number of calls to the state machines.
    std::uint64_t calls = 0;
    /// How often a node declared a running node dead.
    int false_deaths = 0;
    /// How often a node began to suspect a running node.
    int false_suspicions = 0;

private:
    struct process
    {
        process(const node_info& own, const membership_options& options,
                random_source& random, std::uint64_t first_version)
            : board(own.id, first_version),
              members(own, options, random, this->board)
        {
        }

        gossip_board board;
        membership members;
        std::map<node_id, node_info> seen;
        std::map<node_id, std::uint64_t> newest_values;
    };
    struct node_slot
    {
        std::uint16_t port = 0;
        std::unique_ptr<process> running;
        bool frozen = false;
        bool leaving = false;
        std::int64_t generation = 0;
        std::vector<std::function<void()>> deferred;
    };
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

    static node_id name_of(int node);
    /// \returns Whether the observer sees the process that the subject runs.
    bool sees_running_process(int observer, int subject) const;
    void schedule(duration delay, std::function<void()> action);
    void tick(int node, std::int64_t generation);
    /// Runs an action on a node, deferred until the thaw if it is frozen.
    void run_on_node(int node, std::int64_t generation,
                     std::function<void()> action);
    void transmit(int from, const endpoint& target, double chance_of_loss,
                  std::function<void(int)> action);
    void run_measured(const std::function<void()>& action);
    void execute_commands(int node);
    void exchange(int node, const endpoint& target);
    void check_view(int node);
    duration draw_delay();

    membership_options options;
    random_source random;
    time_point time;
    std::vector<node_slot> nodes;
    std::map<std::uint16_t, int> node_by_port;
    std::priority_queue<event> events;
    std::uint64_t next_order = 0;
    std::int64_t processes_started = 0;
    std::function<int(int)> group_of;
    std::map<std::pair<int, std::string>, std::map<std::uint64_t, time_point>>
        published;
};

} // namespace parsleytrack
