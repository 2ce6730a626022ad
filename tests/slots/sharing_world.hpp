#pragma once

#include "slots/slot_broker.hpp"
#include "units/random_source.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace parsleytrack::slots
{

/// Simulates callers in workspaces that share the slots of a service, in
/// virtual time and without a network. Refused callers return when the broker
/// says, for as long as they have time.
class sharing_world
{
public:
    /// What one workspace sends.
    struct load
    {
        std::string workspace;
        /// Requests per second, and their multiple during the surge.
        double rate = 0.0;
        double surge_factor = 1.0;
        int priority = 0;
        duration mean_hold = std::chrono::milliseconds(500);
        work_class kind = work_class::online;
    };

    struct options
    {
        std::uint64_t seed = 1;
        int replicas = 8;
        int slots = 8;
        std::vector<load> loads;
        duration run_time = std::chrono::seconds(20);
        duration surge_start = std::chrono::seconds(5);
        duration surge_end = std::chrono::seconds(15);
        /// Whether requests name their workspaces.
        bool named = true;
        /// Each has the slots of its own half of the replicas; callers choose
        /// one at random.
        int brokers = 1;
        /// Part of the requests whose node chooses a replica on its own and
        /// registers the slot.
        double chosen_alone = 0.0;
        /// When a new broker takes over; zero for never.
        duration broker_change = duration::zero();
        /// No replica can be used between these.
        duration outage_start = duration::zero();
        duration outage_end = duration::zero();
    };

    /// The fate of a workspace's requests that were sent in the surge.
    struct outcome
    {
        int requests = 0;
        /// Granted at the first attempt, in time.
        int at_once = 0;
        /// Granted in time at any attempt.
        int served = 0;
        /// Attempts that were refused on arrival, and later.
        int refused_at_once = 0;
        int refused_after_wait = 0;
        /// Attempts that were granted too late.
        int late = 0;
        /// Attempts that were granted, and their waits in seconds together.
        int granted = 0;
        double waited = 0.0;

        double mean_wait() const { return this->waited / this->granted; }
        double share_at_once() const
        {
            return static_cast<double>(this->at_once) / this->requests;
        }
    };

    explicit sharing_world(const options& chosen);

    /// \returns The outcomes by workspace.
    std::map<std::string, outcome> run();

    /// \returns The most attempts within 100 ms from a time on.
    int most_attempts(duration from) const;

    /// \returns The slot time that a workspace got between two times, in
    /// seconds.
    double slot_time(const std::string& workspace, duration from,
                     duration until) const;

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
    struct caller
    {
        const load* from = nullptr;
        std::size_t broker = 0;
        time_point gives_up;
        time_point attempt_start;
        bool counted = false;
        bool first_attempt = true;
        replica_id replica;
    };
    struct held_span
    {
        std::string workspace;
        time_point from;
        time_point until;
    };

    void schedule(duration delay, std::function<void()> action);
    void schedule_arrivals(const load& from);
    void arrive(const load& from);
    void attempt(caller who);
    void handle_commands(std::size_t broker);
    void handle_refusal(const caller& who, const slot_command& command);
    void start(slot_ticket ticket, caller& who);
    void finish(slot_ticket ticket);
    void set_replicas(bool usable);
    void change_broker();
    void tick();
    bool is_in_surge() const;
    slot_request request_of(const caller& who) const;
    time_point at(duration since_start) const;

    options chosen;
    random_source random;
    time_point now{std::chrono::seconds(100)};
    std::vector<slot_broker> brokers;
    std::priority_queue<event> events;
    std::uint64_t next_order = 0;
    std::int64_t next_ticket = 1;
    std::map<slot_ticket, caller> open;
    std::map<std::string, outcome> counted;
    std::vector<held_span> spans;
    std::vector<time_point> attempts;
};

} // namespace parsleytrack::slots
