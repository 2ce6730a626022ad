#pragma once

#include "decisions/lot_owner.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

/// Several nodes that contend for one lot over a register with
/// compare-and-swap, in virtual time, with faults drawn from a seed.
class lot_fleet
{
public:
    static constexpr int node_count = 4;
    static constexpr int item_count = 40;
    static constexpr int killer_item = 3;
    static constexpr int broken_item = 5;

    explicit lot_fleet(std::uint64_t seed);

    /// Runs with faults, then without any until the lot is complete.
    ///
    /// \returns Whether it was complete in time.
    bool run();

    static bool is_idempotent(int index) { return index % 4 != 1; }

    std::map<int, parsleytrack::item_result> visible;
    std::map<int, int> executions;
    bool cancelled = false;
    int takeovers = 0;
    int lost_owners = 0;
    int broken_promises = 0;
    std::int64_t steps = 0;

private:
    using time_point = parsleytrack::time_point;
    using duration = parsleytrack::duration;

    static constexpr duration tick_length = std::chrono::milliseconds(20);

    struct node
    {
        bool paused = false;
        time_point thaw_at;
        std::unique_ptr<parsleytrack::lot_owner> owner;
        int serial = 0;
        std::vector<std::function<void()>> inbox;
    };

    struct execution
    {
        time_point end;
        int node = 0;
        parsleytrack::epoch_number epoch;
        parsleytrack::attempt_report report;
        int gate = 0;
    };

    bool chance(double probability);
    int draw(int limit);
    bool faults() const;
    void step();
    void step_node(int number);
    void start_owner(int number);
    void carry_out(int number, const parsleytrack::lot_action& action);
    void answer(int number, int serial, std::function<void()> callback);
    void swap(int number, int serial,
              const parsleytrack::swap_lot_record& action);
    parsleytrack::lot_swap_outcome
    apply(const parsleytrack::swap_lot_record& action);
    void observe();
    void pull(int number);
    void run_gates();
    void end_execution(execution& run);
    void break_something();
    void cancel_job();
    void later(duration delay, std::function<void()> callback);

    std::mt19937_64 random;
    time_point now;
    time_point faults_end;
    std::optional<time_point> cancel_at;
    std::optional<time_point> outage_until;
    std::optional<parsleytrack::seen_lot_record> stored;
    std::map<std::string, std::vector<parsleytrack::item_result>> segments;
    std::vector<node> nodes;
    std::vector<execution> running;
    std::multimap<time_point, std::function<void()>> calendar;
    std::size_t results_seen = 0;
};
