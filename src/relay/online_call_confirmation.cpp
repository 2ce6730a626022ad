// How long the events of a stream that goes on wait until the list of replicas
// would show that another process, of another version, has sent them.

#include "logging/log.hpp"
#include "relay/online_call.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

time_point online_call::confirmed_at() const
{
    return this->last_connection.opened_at + replica_doubts::confirmation_delay;
}

bool online_call::awaits_confirmation() const
{
    if (!this->keeps_version || this->peer != exchange_peer::replica ||
        !this->is_resumable_stream() ||
        net::event_loop::now() >= this->confirmed_at())
    {
        return false;
    }
    const auto& listed = this->context.replicas.registry().all();
    return std::any_of(listed.begin(), listed.end(),
                       [this](const auto& entry)
                       {
                           return entry.second.service == this->service &&
                                  entry.second.version != *this->version;
                       });
}

bool online_call::hold(const std::string& events, const event_sequence& before)
{
    if (events.empty())
    {
        return this->held.has_value();
    }
    if (!this->held)
    {
        if (!this->awaits_confirmation())
        {
            return false;
        }
        this->held = held_events{{}, before, std::nullopt};
        this->confirmation_timer = this->context.loop.call_after(
            this->confirmed_at() - net::event_loop::now(),
            [this] { this->release_held(); });
    }
    this->held->bytes += events;
    this->restart_stall_timer();
    return true;
}

bool online_call::hold_end(attempt_outcome outcome,
                           const net::http_response& response,
                           const std::string& reason)
{
    if (!this->held || outcome != attempt_outcome::answered ||
        !this->completes_stream(response))
    {
        return false;
    }
    this->silence_timer.cancel();
    this->stall_timer.cancel();
    this->held->end = held_events::whole_response{response, reason};
    return true;
}

void online_call::release_held()
{
    if (!this->follow_replacement())
    {
        const char* reason = "the replica runs another software version";
        if (!this->held->end)
        {
            this->attempt->abort(reason);
            return;
        }
        ++this->runs;
        this->send_again(reason);
        return;
    }
    const auto released = std::exchange(this->held, std::nullopt);
    if (this->pass_on(released->bytes) && released->end)
    {
        this->handle_end(attempt_outcome::answered, released->end->response,
                         released->end->reason);
    }
}

void online_call::discard_held()
{
    this->confirmation_timer.cancel();
    if (const auto discarded = std::exchange(this->held, std::nullopt))
    {
        this->sequence = discarded->before;
    }
}

} // namespace parsleytrack::relay
