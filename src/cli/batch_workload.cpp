#include "cli/batch_workload.hpp"

#include "cli/token_stream_parser.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace parsleytrack::cli
{

namespace
{

using nlohmann::json;

constexpr duration poll_interval = std::chrono::milliseconds(500);
constexpr duration call_timeout = std::chrono::seconds(30);
constexpr int first_server_error_status = 500;

std::uint64_t completion_tokens(const json& result)
{
    const json response = result.value("response", json::object());
    const json body = response.is_object() && response.contains("body")
                          ? response["body"]
                          : response;
    const json usage =
        body.is_object() ? body.value("usage", json::object()) : json::object();
    return usage.value("completion_tokens", std::uint64_t{0});
}

} // namespace

batch_workload::batch_workload(net::event_loop& event_loop,
                               net::http_client& http_client,
                               address_cache& fleet_addresses,
                               const load_options& load, load_report& measured)
    : loop(event_loop), client(http_client), addresses(fleet_addresses),
      options(load), report(measured)
{
}

void batch_workload::start(request_generator& prompts, time_point run_start)
{
    this->start_time = run_start;
    for (int number = 0; number < this->options.batch_jobs; ++number)
    {
        this->jobs.push_back(std::make_unique<job>());
        this->jobs.back()->submission = prompts.batch_job_request(number);
    }
    this->poll_timer =
        this->loop.call_every(poll_interval, [this] { this->poll(); });
    this->poll();
}

bool batch_workload::is_done() const
{
    return std::all_of(this->jobs.begin(), this->jobs.end(),
                       [](const std::unique_ptr<job>& entry)
                       { return entry->stage == job_stage::done; });
}

void batch_workload::poll()
{
    for (const auto& entry : this->jobs)
    {
        if (!entry->call_pending)
        {
            this->advance(*entry);
        }
    }
}

void batch_workload::advance(job& entry)
{
    net::http_request request;
    switch (entry.stage)
    {
    case job_stage::submitting:
        if (entry.submitted == time_point())
        {
            entry.submitted = net::event_loop::now();
        }
        this->send(entry, entry.submission);
        return;
    case job_stage::running:
        request.target = "/v1/batches/" + entry.id;
        this->send(entry, request);
        return;
    case job_stage::fetching_results:
        request.target = "/v1/batches/" + entry.id + "/results";
        this->send(entry, request);
        return;
    case job_stage::done:
        return;
    }
}

void batch_workload::send(job& entry, const net::http_request& request)
{
    const auto target = this->addresses.pick();
    if (!target)
    {
        return;
    }
    net::http_request timed_request = request;
    timed_request.total_timeout = call_timeout;
    entry.call_pending = true;
    net::http_client::callbacks hooks;
    hooks.on_end = [this, &entry](const result<net::http_response>& response)
    {
        entry.call_pending = false;
        this->handle_response(entry, response);
    };
    entry.call = this->client.send(*target, timed_request, std::move(hooks));
}

void batch_workload::handle_response(job& entry,
                                     const result<net::http_response>& response)
{
    // After an error the next poll retries; the idempotency key keeps a job
    // from being submitted twice.
    if (response.has_error())
    {
        return;
    }
    switch (entry.stage)
    {
    case job_stage::submitting:
        this->handle_submission(entry, response.value());
        return;
    case job_stage::running:
        this->handle_status(entry, response.value());
        return;
    case job_stage::fetching_results:
        this->handle_results(entry, response.value());
        return;
    case job_stage::done:
        return;
    }
}

void batch_workload::handle_submission(job& entry,
                                       const net::http_response& response)
{
    if (response.status < 300)
    {
        this->report.jobs_accepted += 1;
        entry.id = json::parse(response.body).at("id");
        entry.stage = job_stage::running;
        return;
    }
    this->report.jobs_refused[refusal_reason(response.body, response.status)] +=
        1;
    if (response.status < first_server_error_status)
    {
        entry.stage = job_stage::done;
    }
}

void batch_workload::handle_status(job& entry,
                                   const net::http_response& response)
{
    if (response.status != 200)
    {
        return;
    }
    const json status = json::parse(response.body);
    const std::uint64_t ended_items =
        status.value("ended_items", entry.ended_items);
    const duration now = net::event_loop::now() - this->start_time;
    if (ended_items > entry.ended_items)
    {
        this->report.second_at(now).batch_items +=
            ended_items - entry.ended_items;
        entry.ended_items = ended_items;
    }
    const std::string text = status.value("status", "");
    if (text == "completed" || text == "cancelled" || text == "failed")
    {
        entry.stage = job_stage::fetching_results;
        this->report.jobs_complete += text == "completed" ? 1 : 0;
        const duration elapsed = net::event_loop::now() - entry.submitted;
        this->report.jobs_late +=
            elapsed > this->options.batch_deadline ? 1 : 0;
    }
}

void batch_workload::handle_results(job& entry,
                                    const net::http_response& response)
{
    if (response.status != 200)
    {
        return;
    }
    std::istringstream lines(response.body);
    for (std::string line; std::getline(lines, line);)
    {
        const json item = json::parse(line, nullptr, false);
        if (item.is_object() && item.value("status", "") == "completed")
        {
            this->report.batch_items_finished += 1;
            this->report.batch_tokens += completion_tokens(item);
        }
    }
    entry.stage = job_stage::done;
}

} // namespace parsleytrack::cli
