#pragma once

#include "net/timer.hpp"
#include "relay_support/relay_fleet.hpp"
#include "soak/fault_kinds.hpp"
#include "soak/violations.hpp"
#include "units/random_source.hpp"

#include <cstddef>
#include <functional>
#include <iosfwd>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::soak
{

/// Draws faults and applies them from outside, in series and overlapping. All
/// that it does is undone by heal().
class fault_plan
{
public:
    /// \param test_fleet Outlives this object, as do the others.
    /// \param log Gets a line for each fault.
    fault_plan(relay_support::relay_fleet& test_fleet, int node_count,
               fault_kinds chosen_kinds, random_source& random_numbers,
               violations& found, std::ostream& log);

    /// Makes change_configuration() write what a function returns for a
    /// version.
    void set_configuration_source(std::function<std::string(int)> source)
    {
        this->make_configuration = std::move(source);
    }

    /// Writes a newer configuration to the store.
    void change_configuration();

    /// Begins to apply faults.
    void start();

    /// Ends all faults and starts all nodes that do not run.
    void heal();

    /// \returns Whether a node is expected to run and to answer.
    bool is_up(int node) const;

    /// \returns When the last fault but planned work began or ended.
    time_point last_impairment() const { return this->impaired_at; }

    /// \returns Whether a node has been told to stop and still runs.
    bool is_stopping(int node) const;

private:
    enum class node_mode
    {
        up,
        frozen,
        /// Told to stop before its program ran, which could not defer that.
        stopped_early,
        stopping,
        down
    };

    void schedule();
    void strike();
    void strike_node(int node);
    void strike_links(int node);
    void strike_store();
    void strike_replica();
    /// Ends a replica's process, whose next one has the same id and another
    /// version.
    void crash_replica(std::size_t chosen);
    void kill(int node);
    void freeze(int node);
    void stop(int node);
    void after(duration span, std::function<void()> action);
    void watch_processes();
    /// \returns Whether a process may end in this way.
    static bool may_end(node_mode mode, int exit_code);
    void note(const std::string& what, bool planned = false);
    std::size_t draw(std::size_t count);
    duration draw_span(std::int64_t least_ms, std::int64_t most_ms);

    bool strands_nodes() const
    {
        return this->kinds == fault_kinds::with_stranded_nodes;
    }
    bool has_announcements() const { return this->kinds != fault_kinds::basic; }

    /// Faults of connections that may come between a node and the store.
    static constexpr std::size_t store_link_faults = 5;

    /// \returns The same for replicas, which may repeat responses as well.
    std::size_t replica_link_faults() const
    {
        return this->kinds >= fault_kinds::with_repeated_responses
                   ? store_link_faults + 1
                   : store_link_faults;
    }

    relay_support::relay_fleet& fleet;
    fault_kinds kinds;
    random_source& random;
    violations& problems;
    std::ostream& out;
    std::vector<node_mode> modes;
    std::map<std::uint64_t, net::timer> timers;
    std::uint64_t next_timer = 1;
    net::timer strike_timer;
    net::timer watch_timer;
    time_point began;
    time_point impaired_at;
    int version = 3;
    std::function<std::string(int)> make_configuration = [](int number)
    {
        return relay_support::relay_fleet::configuration(number, "/plain/");
    };
    bool active = false;
};

} // namespace parsleytrack::soak
