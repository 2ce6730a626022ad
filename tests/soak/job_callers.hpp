#pragma once

#include "net/http_client.hpp"
#include "relay_support/relay_fleet.hpp"
#include "soak/violations.hpp"
#include "soak/workspace_checks.hpp"
#include "units/random_source.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::soak
{

/// Callers with batch jobs: submit, read, end, and check what they are told.
class job_callers
{
public:
    /// \param test_fleet Outlives this object, as do the others.
    /// \param checks Gives the callers keys; null if there are no workspaces.
    job_callers(relay_support::relay_fleet& test_fleet, int node_count,
                random_source& random_numbers, violations& found,
                workspace_checks* checks);

    void start();
    void stop() { this->pace.cancel(); }

    /// Reads all accepted jobs until each is done.
    ///
    /// \returns Whether all are.
    bool read_all();

    std::size_t accepted() const;

private:
    struct job
    {
        workspace_checks::credentials owner;
        int items = 0;
        bool accepted = false;
        bool ended = false;
        /// Results by position, as they were first read.
        std::vector<nlohmann::json> results;
    };
    using answer_callback = std::function<void(int status, const std::string&)>;

    void step();
    void submit(const std::string& id);
    void read(const std::string& id, std::size_t after);
    void end(const std::string& id);
    /// Reads or cancels a job with a key of another workspace.
    void call_foreign(const std::string& id);
    void take_page(const std::string& id, std::size_t after, int status,
                   const std::string& body);
    /// Checks that replicas have failed an item that was given up.
    void check_failures(const job& known, const nlohmann::json& result);
    void send(const std::string& method, const std::string& target,
              const net::http_header_list& fields, const std::string& id,
              const std::string& body, answer_callback callback);

    relay_support::relay_fleet& fleet;
    int nodes;
    random_source& random;
    violations& problems;
    workspace_checks* workspaces;
    net::http_client client;
    net::timer pace;
    std::map<std::string, job> jobs;
    std::map<std::uint64_t, std::unique_ptr<net::http_call>> calls;
    std::uint64_t next_number = 1;
};

} // namespace parsleytrack::soak
