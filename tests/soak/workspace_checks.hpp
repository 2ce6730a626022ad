#pragma once

#include "net/http_header_list.hpp"
#include "relay_support/relay_fleet.hpp"
#include "soak/violations.hpp"
#include "units/random_source.hpp"

#include <sys/types.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::soak
{

/// Gives callers keys of workspaces and checks what replicas and callers see of
/// them: who runs, under which name, and how many requests of a workspace with
/// a limit.
class workspace_checks
{
public:
    /// How a caller identifies itself.
    struct credentials
    {
        net::http_header_list headers;
        /// Empty if no configuration holds the key.
        std::string workspace;
    };

    /// \param test_fleet Outlives this object, as do the others.
    workspace_checks(relay_support::relay_fleet& test_fleet, int node_count,
                     random_source& random_numbers, violations& found);
    ~workspace_checks();
    workspace_checks(const workspace_checks&) = delete;
    workspace_checks& operator=(const workspace_checks&) = delete;

    /// \returns A configuration with the workspaces and their present keys.
    std::string configuration(int version) const;

    /// Waits until all nodes ask for keys, and begins to check replicas.
    void start();

    /// Makes configuration() leave one key out and contain another one.
    void change_keys() { this->are_keys_changed = true; }

    /// Chooses a caller of an online request and notes whom the request belongs
    /// to.
    ///
    /// \returns The header fields of the request.
    net::http_header_list begin_request(const std::string& id, int node);

    /// Checks the response to a request.
    ///
    /// \param status 0 if there was no complete response.
    void end_request(const std::string& id, int status);

    /// \returns The owner of a job, with a key that stays.
    credentials begin_job(const std::string& id);

    /// \returns Header fields that give no access to a job of a workspace.
    net::http_header_list foreign_headers(const std::string& workspace);

    /// Checks the response to a call for a job with foreign_headers().
    void end_foreign_call(const std::string& job, int status);

    /// Makes the fleet's own calls, with ids that start with \p prefix and the
    /// node's number, use the key that change_keys() has added.
    void use_added_key(const std::string& prefix);

    /// Notes that the changed keys are in force at all nodes, without faults.
    void set_in_force() { this->is_in_force = true; }

    /// Checks what can only be told at the end.
    void check_runs();

    /// \returns What check_runs() has counted, so that a run shows whether the
    /// limit and the change of the keys have mattered.
    const std::string& summary() const { return this->counted; }

private:
    struct request
    {
        std::size_t caller = 0;
        int node = 0;
        /// The node's process when the request was sent.
        ::pid_t process = 0;
        /// Whether the key had been taken away at that process.
        bool is_taken = false;
        bool has_ended = false;
        int runs = 0;
    };

    void take_run(const std::string& id, const net::http_header_list& headers);
    void check_windows();

    relay_support::relay_fleet& fleet;
    int nodes;
    random_source& random;
    violations& problems;
    bool are_keys_changed = false;
    bool is_in_force = false;
    std::map<std::string, request> requests;
    /// Workspaces of jobs and of the fleet's own calls, by the part of the
    /// request id before the dash.
    std::map<std::string, std::string> owners;
    /// Processes that have accepted the added key, by node.
    std::map<int, ::pid_t> changed_processes;
    /// Runs of online requests of the workspace with a limit.
    std::vector<std::pair<time_point, std::string>> limited_runs;
    std::string counted;
};

} // namespace parsleytrack::soak
