// When a replica that is silent is left for another one.

#include "relay/online_call.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

namespace
{

/// A sound replica may be silent for about a second and go on. If the request
/// moved on sooner, two replicas would work on it.
constexpr duration longest_sound_silence = std::chrono::milliseconds(1500);
/// How long a new connection to a replica may take to open before its machine
/// counts as unreachable. A connection within a region opens in a few
/// milliseconds.
constexpr duration reach_timeout = std::chrono::milliseconds(200);
/// Interval of checks whether another replica may take the request over.
constexpr duration takeover_check_interval = std::chrono::milliseconds(200);
/// A replica that sends nothing for this long is checked. Twice the usual
/// longest pause between events that still counts as on time.
constexpr duration suspicious_silence = std::chrono::milliseconds(600);
/// The same as a multiple of the longest pause that a route names.
constexpr int suspicious_pauses = 2;
/// A replica that completes no event for this many times as long is stalled,
/// also if it sends a byte now and then.
constexpr int stalled_silences = 2;

} // namespace

bool online_call::is_watched() const
{
    return this->peer == exchange_peer::replica && this->may_repeat();
}

bool online_call::is_stream() const
{
    return this->request.route->kind == routing::request_kind::streaming;
}

void online_call::restart_silence_timer()
{
    this->silence_is_reported = false;
    if (!this->is_watched())
    {
        return;
    }
    this->last_sign = net::event_loop::now();
    this->reach_check.reset();
    this->is_reachable = false;
    duration limit = suspicious_silence;
    if (this->attempt && this->attempt->has_head())
    {
        limit = std::max(limit, suspicious_pauses *
                                    this->request.route->longest_pause);
    }
    this->silence_timer = this->context.loop.call_after(
        limit, [this] { this->handle_silence(); });
}

void online_call::handle_silence()
{
    const auto wait = [this](duration time)
    {
        this->silence_timer = this->context.loop.call_after(
            time, [this] { this->handle_silence(); });
    };
    if (!this->can_be_taken_over())
    {
        wait(takeover_check_interval);
        return;
    }
    if (!this->is_stream())
    {
        this->attempt->abort("the replica is silent");
        return;
    }
    if (!std::exchange(this->silence_is_reported, true))
    {
        // Keeps further requests away from the replica.
        this->slots.report_failure(this->request.id, this->service,
                                   this->replica, attempt_outcome::may_have_run,
                                   false);
    }
    const duration silent_for = net::event_loop::now() - this->last_sign;
    if (silent_for >= longest_sound_silence)
    {
        this->attempt->abort("the replica is silent");
        return;
    }
    if (!this->reach_check)
    {
        // Whatever answers shows that the machine is up and reached.
        this->reach_check = std::make_unique<net::connection_check>(
            this->context.loop, this->replica.address,
            [this](bool) { this->is_reachable = true; });
        wait(std::min(reach_timeout, longest_sound_silence - silent_for));
        return;
    }
    if (!this->is_reachable)
    {
        this->attempt->abort("the replica is silent and cannot be reached");
        return;
    }
    wait(longest_sound_silence - silent_for);
}

bool online_call::can_be_taken_over() const
{
    std::set<replica_id> others = this->excluded_replicas();
    others.insert(this->replica.id);
    const routing::replica_registry& registry =
        this->context.replicas.registry();
    if (this->version)
    {
        return registry.has_usable(this->service, *this->version, others);
    }
    const auto usable = registry.usable(this->service);
    return std::any_of(usable.begin(), usable.end(),
                       [&others](const routing::replica_entry* entry)
                       { return !others.contains(entry->id); });
}

void online_call::restart_stall_timer()
{
    if (!this->is_stream() || !this->is_watched())
    {
        return;
    }
    const duration limit =
        std::max({longest_sound_silence, stalled_silences * suspicious_silence,
                  stalled_silences * suspicious_pauses *
                      this->request.route->longest_pause});
    this->stall_timer = this->context.loop.call_after(
        limit,
        [this]
        {
            if (!this->can_be_taken_over())
            {
                this->restart_stall_timer();
                return;
            }
            this->attempt->abort("the replica completes no event");
        });
}

duration online_call::longest_body_pause()
{
    return longest_sound_silence;
}

} // namespace parsleytrack::relay
