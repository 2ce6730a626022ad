#include "cli/load_runner.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::cli
{

namespace
{

constexpr duration refresh_interval = std::chrono::milliseconds(100);
constexpr duration address_timeout = std::chrono::seconds(10);
constexpr duration loop_interval = std::chrono::milliseconds(100);
/// How long after its deadline a response is still accepted; late responses
/// are measured too.
constexpr duration response_margin = std::chrono::seconds(10);
constexpr double microseconds_per_second = 1e6;

double to_seconds(duration span)
{
    return static_cast<double>(span.count()) / microseconds_per_second;
}

std::vector<std::unique_ptr<address_cache>>
make_callers(net::http_client& client, const load_options& load)
{
    std::vector<std::unique_ptr<address_cache>> callers;
    for (int number = 0; number < load.callers; ++number)
    {
        callers.push_back(std::make_unique<address_cache>(
            client, load, static_cast<std::size_t>(number)));
    }
    return callers;
}

} // namespace

load_runner::load_runner(const load_options& load)
    : options(load), callers(make_callers(this->client, load)), arrivals(load),
      prompts(load), batch(this->loop, this->client, *this->callers.front(),
                           load, this->measured)
{
}

bool load_runner::run()
{
    this->refresh_timer =
        this->loop.call_every(refresh_interval,
                              [this]
                              {
                                  for (const auto& caller : this->callers)
                                  {
                                      caller->refresh();
                                  }
                              });
    if (!this->wait_for_addresses())
    {
        return false;
    }
    this->start_time = net::event_loop::now();
    this->batch.start(this->prompts, this->start_time);
    this->schedule_next();
    while (!this->is_done())
    {
        this->loop.run_for(loop_interval);
    }
    this->measured.sending_s = to_seconds(this->options.sending_time);
    this->measured.elapsed_s =
        to_seconds(net::event_loop::now() - this->start_time);
    // Ended calls must be freed before the client.
    this->loop.run_for(duration::zero());
    return true;
}

bool load_runner::wait_for_addresses()
{
    const time_point end = net::event_loop::now() + address_timeout;
    while (!this->all_have_addresses() && net::event_loop::now() < end)
    {
        this->loop.run_for(loop_interval);
    }
    return this->all_have_addresses();
}

bool load_runner::all_have_addresses()
{
    return std::all_of(this->callers.begin(), this->callers.end(),
                       [](const std::unique_ptr<address_cache>& caller)
                       { return caller->pick().has_value(); });
}

void load_runner::schedule_next()
{
    if (this->options.rate <= 0)
    {
        this->sending = false;
        return;
    }
    const duration arrival = this->arrivals.next();
    if (arrival >= this->options.sending_time)
    {
        this->sending = false;
        return;
    }
    const duration passed = net::event_loop::now() - this->start_time;
    this->arrival_timer = this->loop.call_after(arrival - passed,
                                                [this, arrival]
                                                {
                                                    this->send_online(arrival);
                                                    this->schedule_next();
                                                });
}

void load_runner::send_online(duration arrival)
{
    const net::http_request generated = this->prompts.online_request();
    this->measured.sent += 1;
    this->measured.second_at(arrival).sent += 1;
    auto request = std::make_unique<online_request>();
    // Latency is measured from the scheduled arrival, so that a delay of this
    // program counts as well.
    request->sent = this->start_time + arrival;
    request->arrival = arrival;
    const std::uint64_t number = this->next_number++;
    const auto target = this->callers[number % this->callers.size()]->pick();
    if (!target)
    {
        this->record_refusal(*request, "no address");
        return;
    }
    net::http_request timed_request = generated;
    timed_request.total_timeout = this->options.deadline + response_margin;
    online_request& entry = *request;
    net::http_client::callbacks hooks;
    hooks.on_head = [&entry](const net::http_response& head)
    {
        entry.status = head.status;
    };
    hooks.on_piece = [&entry](std::string_view piece)
    {
        entry.stream.add(piece, net::event_loop::now());
    };
    hooks.on_end = [this, number](const result<net::http_response>& response)
    {
        this->handle_online_end(number, response);
    };
    this->requests[number] = std::move(request);
    entry.call = this->client.send(*target, timed_request, std::move(hooks));
}

void load_runner::handle_online_end(std::uint64_t number,
                                    const result<net::http_response>& response)
{
    auto found = this->requests.find(number);
    const std::shared_ptr<online_request> request = std::move(found->second);
    this->requests.erase(found);
    if (response.has_error())
    {
        const bool has_tokens = !request->stream.token_times().empty();
        this->measured.interrupted += has_tokens ? 1 : 0;
        this->record_refusal(
            *request,
            has_tokens ? "cut" : std::string(to_string(response.error().code)));
    }
    else if (request->status != 200)
    {
        this->record_refusal(
            *request,
            refusal_reason(request->stream.non_event_body(), request->status));
    }
    else if (!request->stream.is_complete())
    {
        this->measured.interrupted += 1;
        this->record_refusal(*request, "cut");
    }
    else
    {
        this->record_response(*request);
    }
    // This is a callback of the call, so the request that owns the call is
    // freed from the event loop.
    this->loop.post([request] {});
}

void load_runner::record_response(const online_request& request)
{
    const auto& tokens = request.stream.token_times();
    const duration response_time = net::event_loop::now() - request.sent;
    this->measured.completed += 1;
    this->measured.on_time += response_time <= this->options.deadline ? 1 : 0;
    this->measured.online_tokens += tokens.size();
    this->measured.response_time.record(response_time);
    if (tokens.empty())
    {
        return;
    }
    const duration first = tokens.front() - request.sent;
    this->measured.first_token.record(first);
    this->measured.second_at(request.arrival).first_token.record(first);
    for (std::size_t index = 1; index < tokens.size(); ++index)
    {
        this->measured.between_tokens.record(tokens[index] - tokens[index - 1]);
    }
}

void load_runner::record_refusal(const online_request& request,
                                 const std::string& reason)
{
    this->measured.refused[reason] += 1;
    this->measured.second_at(request.arrival).refused += 1;
}

bool load_runner::is_done() const
{
    return !this->sending && this->requests.empty() && this->batch.is_done();
}

} // namespace parsleytrack::cli
