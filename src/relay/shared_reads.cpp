#include "relay/shared_reads.hpp"

#include "relay/refusal.hpp"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// A caller must get nothing older than its request by more than this.
constexpr duration join_time = std::chrono::milliseconds(100);
/// Largest sum of the responses that are added to connections in one turn of
/// the loop, unless a single one is larger.
constexpr std::size_t bytes_per_turn = std::size_t{1024} * 1024;

} // namespace

shared_reads::shared_reads(net::event_loop& event_loop,
                           metrics::registry& node_metrics)
    : loop(event_loop), metrics(node_metrics)
{
}

void shared_reads::join(const std::string& key,
                        const std::shared_ptr<net::http_exchange>& caller,
                        const std::function<void(end_callback)>& begin)
{
    const time_point now = net::event_loop::now();
    this->forget_older_reads(now);
    const auto found = this->joinable.find(key);
    const bool is_joined = found != this->joinable.end();
    this->metrics.count("parsleytrack_job_reads_total",
                        {{"kind", is_joined ? "joined" : "begun"}});
    if (is_joined)
    {
        found->second->callers.push_back(caller);
        return;
    }
    const auto read = std::make_shared<shared_read>();
    read->began = now;
    read->callers.push_back(caller);
    this->joinable[key] = read;
    begin([this, key, read](const result<response_pointer>& end)
          { this->finish(key, read, end); });
}

void shared_reads::forget_older_reads(time_point now)
{
    std::erase_if(this->joinable, [now](const auto& entry)
                  { return now - entry.second->began > join_time; });
}

void shared_reads::finish(const std::string& key,
                          const std::shared_ptr<shared_read>& read,
                          const result<response_pointer>& end)
{
    const auto found = this->joinable.find(key);
    if (found != this->joinable.end() && found->second == read)
    {
        this->joinable.erase(found);
    }
    for (const auto& caller : std::exchange(read->callers, {}))
    {
        if (end.has_error())
        {
            refuse(*caller, end.error());
            continue;
        }
        this->unsent.push_back(unsent_response{caller, end.value()});
    }
    if (!std::exchange(this->is_sending, true))
    {
        this->send_responses();
    }
}

void shared_reads::send_responses()
{
    std::size_t sent = 0;
    while (!this->unsent.empty())
    {
        const unsent_response& next = this->unsent.front();
        if (next.caller->is_open())
        {
            const std::size_t size = next.response->body.size();
            if (sent > 0 && sent + size > bytes_per_turn)
            {
                break;
            }
            sent += size;
            next.caller->respond(next.response->status, next.response->headers,
                                 next.response->body);
        }
        this->unsent.pop_front();
    }
    this->is_sending = !this->unsent.empty();
    if (this->is_sending)
    {
        this->send_timer = this->loop.call_after(duration::zero(), [this]
                                                 { this->send_responses(); });
    }
}

} // namespace parsleytrack::relay
