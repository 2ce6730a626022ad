#pragma once

#include "cli/address_cache.hpp"
#include "cli/load_report.hpp"
#include "cli/request_generator.hpp"
#include "net/event_loop.hpp"

#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::cli
{

/// Submits batch jobs, polls them until they end and counts their results.
class batch_workload
{
public:
    batch_workload(net::event_loop& event_loop, net::http_client& http_client,
                   address_cache& fleet_addresses, const load_options& load,
                   load_report& measured);

    /// Submits all jobs.
    void start(request_generator& prompts, time_point start_time);

    /// \returns Whether every job was refused or has had its results fetched.
    bool is_done() const;

private:
    enum class job_stage
    {
        submitting,
        running,
        fetching_results,
        done
    };
    struct job
    {
        job_stage stage = job_stage::submitting;
        std::string id;
        net::http_request submission;
        time_point submitted;
        std::uint64_t ended_items = 0;
        std::unique_ptr<net::http_call> call;
        bool call_pending = false;
    };

    void poll();
    void advance(job& entry);
    void send(job& entry, const net::http_request& request);
    void handle_response(job& entry,
                         const result<net::http_response>& response);
    void handle_submission(job& entry, const net::http_response& response);
    void handle_status(job& entry, const net::http_response& response);
    void handle_results(job& entry, const net::http_response& response);

    net::event_loop& loop;
    net::http_client& client;
    address_cache& addresses;
    load_options options;
    load_report& report;
    std::vector<std::unique_ptr<job>> jobs;
    time_point start_time;
    net::timer poll_timer;
};

} // namespace parsleytrack::cli
