#pragma once

#include "net/http_client.hpp"
#include "relay_support/relay_fleet.hpp"
#include "soak/fault_plan.hpp"
#include "soak/violations.hpp"
#include "soak/workspace_checks.hpp"
#include "units/random_source.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace parsleytrack::soak
{

/// Online callers: send requests to all nodes, keep their connections until
/// the process is gone, and check each answer.
class callers
{
public:
    /// \param test_fleet Outlives this object, as do the others.
    /// \param checks Gives the callers keys; null if there are no workspaces.
    callers(relay_support::relay_fleet& test_fleet, int node_count,
            const fault_plan& planned, random_source& random_numbers,
            violations& found, workspace_checks* checks);

    void start();
    void stop() { this->pace.cancel(); }

    /// Checks what can only be told at the end.
    void check_runs();

    std::size_t asked() const { return this->next_id; }
    std::size_t served() const { return this->served_count; }

private:
    enum class kind
    {
        plain,
        stream,
        once
    };
    struct call
    {
        kind what = kind::plain;
        std::string id;
        int node = 0;
        time_point sent;
        bool was_stopping = false;
        int status = 0;
        std::string body;
        std::unique_ptr<net::http_call> running;
    };

    void send();
    void take_end(std::uint64_t number, bool whole);
    void check_answer(const call& ended);
    int runs_of(const std::string& id) const;

    relay_support::relay_fleet& fleet;
    int nodes;
    const fault_plan& plan;
    random_source& random;
    violations& problems;
    workspace_checks* workspaces;
    net::http_client client;
    net::timer pace;
    std::uint64_t next_id = 0;
    std::size_t served_count = 0;
    std::map<std::uint64_t, call> calls;
    /// Requests that must not run twice, and those that must not have run.
    std::set<std::string> once_ids;
    std::set<std::string> refused_ids;
};

} // namespace parsleytrack::soak
