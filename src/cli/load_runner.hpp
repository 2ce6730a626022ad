#pragma once

#include "cli/address_cache.hpp"
#include "cli/arrival_process.hpp"
#include "cli/batch_workload.hpp"
#include "cli/load_options.hpp"
#include "cli/load_report.hpp"
#include "cli/request_generator.hpp"
#include "cli/token_stream_parser.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace parsleytrack::cli
{

/// Generates load on a fleet and measures the responses. Arrivals are
/// open-loop: they do not wait for responses.
class load_runner
{
public:
    explicit load_runner(const load_options& load);

    /// Runs until all requests and jobs have ended.
    ///
    /// \returns False when a caller received no address within 10 s; no load
    /// has been generated then.
    bool run();

    const load_report& report() const { return this->measured; }

private:
    struct online_request
    {
        token_stream_parser stream;
        time_point sent;
        duration arrival = duration::zero();
        int status = 0;
        std::unique_ptr<net::http_call> call;
    };

    bool wait_for_addresses();
    bool all_have_addresses();
    void schedule_next();
    void send_online(duration arrival);
    void handle_online_end(std::uint64_t number,
                           const result<net::http_response>& response);
    void record_response(const online_request& request);
    void record_refusal(const online_request& request,
                        const std::string& reason);
    bool is_done() const;

    load_options options;
    net::event_loop loop;
    net::http_client client{this->loop};
    std::vector<std::unique_ptr<address_cache>> callers;
    arrival_process arrivals;
    request_generator prompts;
    load_report measured;
    batch_workload batch;
    std::map<std::uint64_t, std::unique_ptr<online_request>> requests;
    std::uint64_t next_number = 0;
    time_point start_time;
    net::timer arrival_timer;
    net::timer refresh_timer;
    bool sending = true;
};

} // namespace parsleytrack::cli
