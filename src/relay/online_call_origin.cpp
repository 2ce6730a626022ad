// How a stream keeps to the software version that began it.

#include "logging/log.hpp"
#include "relay/online_call.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

namespace
{

/// How long a caller may take a stream up after its deadline; covers the delays
/// between nodes.
constexpr duration keep_margin = std::chrono::seconds(2);
/// Longest time since the first event where a route names no timeout.
constexpr duration default_lifetime = std::chrono::seconds(30);
/// How often a request that waits for a slot looks at the replicas that it
/// avoids: the list of replicas changes every half second at most.
constexpr duration avoidance_check_interval = std::chrono::milliseconds(250);
/// Another node may reach a storage node that this one does not reach.
constexpr duration retry_after_unknown = std::chrono::milliseconds(300);

} // namespace

bool online_call::takes_up_stream() const
{
    const routing::route& route = *this->request.route;
    const std::string* last =
        net::find_header(this->exchange->head().headers,
                         this->context.adapter.headers().resume_after.c_str());
    return route.kind == routing::request_kind::streaming && route.resumable &&
           last != nullptr && *last != "0";
}

request_id online_call::first_attempt() const
{
    if (!this->takes_up_stream())
    {
        return this->request.id;
    }
    const std::string* named = net::find_header(
        this->exchange->head().headers,
        this->context.adapter.headers().resumed_request.c_str());
    return named == nullptr ? request_id() : request_id(*named);
}

void online_call::find_origin()
{
    const routing::route& route = *this->request.route;
    origin_inquiry inquiry;
    inquiry.request = this->first_attempt();
    for (const routing::weighted_service& choice : route.services)
    {
        inquiry.services.push_back(choice.service);
    }
    inquiry.within =
        keep_margin +
        (route.timeout > duration::zero() ? route.timeout : default_lifetime);
    this->search = std::make_unique<origin_search>(
        this->context.loop, this->context.origins, std::move(inquiry),
        [this](const std::optional<stream_origin>& origin)
        { this->handle_origin(origin); });
}

void online_call::handle_origin(const std::optional<stream_origin>& origin)
{
    // This is a callback of the search.
    this->context.loop.free_later(std::move(this->search));
    log_event(log_level::info, "stream_taken_up",
              {{"request", this->request.id.str()},
               {"resumes", this->first_attempt().str()},
               {"service", origin ? origin->service.str() : ""},
               {"version", origin ? origin->version.str() : "unknown"}});
    this->context.metrics.count("parsleytrack_streams_taken_up_total",
                                {{"version", origin ? "known" : "unknown"}});
    if (!origin)
    {
        this->fail(error{error_code::no_replica,
                         "the software version that began the stream cannot be "
                         "found out",
                         ran_state::no, retry_after_unknown});
        return;
    }
    if (!this->accept_service(*origin))
    {
        return;
    }
    this->version = origin->version;
    this->request_slot();
}

bool online_call::accept_service(const stream_origin& origin)
{
    const auto& choices = this->request.route->services;
    const bool is_served =
        std::any_of(choices.begin(), choices.end(),
                    [&origin](const routing::weighted_service& choice)
                    { return choice.service == origin.service; });
    if (!is_served)
    {
        this->fail(error{error_code::no_replica,
                         "the route no longer names the service that began the "
                         "stream",
                         ran_state::no,
                         {}});
        return false;
    }
    this->service = origin.service;
    return true;
}

bool online_call::is_resumable_stream() const
{
    return this->is_stream() && this->request.route->resumable;
}

std::set<replica_id> online_call::replicas_to_avoid() const
{
    const std::set<replica_id> unusable = this->excluded_replicas();
    std::set<replica_id> avoided = unusable;
    if (!this->version && !this->is_resumable_stream())
    {
        return avoided;
    }
    avoided.merge(this->context.doubts.doubtful(this->service));
    if (this->version)
    {
        return avoided;
    }
    // A new stream may begin anywhere, but its version would not be known.
    const auto usable = this->context.replicas.registry().usable(this->service);
    const bool has_other =
        std::any_of(usable.begin(), usable.end(),
                    [&avoided](const routing::replica_entry* entry)
                    { return !avoided.contains(entry->id); });
    return has_other ? avoided : unusable;
}

bool online_call::is_excluded_everywhere() const
{
    const auto usable = this->context.replicas.registry().usable(this->service);
    const std::set<replica_id> tried = this->excluded_replicas();
    return !usable.empty() &&
           std::all_of(usable.begin(), usable.end(),
                       [&tried](const routing::replica_entry* entry)
                       { return tried.contains(entry->id); });
}

std::set<replica_id> online_call::excluded_replicas() const
{
    const routing::replica_registry& registry =
        this->context.replicas.registry();
    std::set<replica_id> found;
    for (const auto& [id, process] : this->excluded)
    {
        const routing::replica_entry* listed = registry.find_usable(id);
        if (listed == nullptr || routing::process_of(*listed) == process)
        {
            found.insert(id);
        }
    }
    return found;
}

void online_call::watch_avoided(const std::set<replica_id>& avoided)
{
    if (avoided.empty() || this->ended)
    {
        return;
    }
    this->avoidance_timer = this->context.loop.call_after(
        avoidance_check_interval,
        [this, avoided]
        {
            const std::set<replica_id> current = this->replicas_to_avoid();
            const bool still_avoids_all = std::includes(
                current.begin(), current.end(), avoided.begin(), avoided.end());
            const bool has_usable =
                !this->version || this->context.replicas.registry().has_usable(
                                      this->service, *this->version, current);
            if (still_avoids_all || !has_usable)
            {
                this->watch_avoided(avoided);
                return;
            }
            this->lease.reset();
            this->request_slot();
        });
}

bool online_call::follow_replacement()
{
    if (this->peer != exchange_peer::replica || !this->is_resumable_stream())
    {
        return true;
    }
    const routing::replica_entry* replacement =
        this->context.doubts.replacement_of(this->replica, this->sent_at);
    if (replacement == nullptr)
    {
        return true;
    }
    const bool changes_version = replacement->version != this->replica.version;
    this->replica = *replacement;
    if (!changes_version)
    {
        return true;
    }
    log_event(log_level::info, "stream_at_another_version",
              {{"request", this->request.id.str()},
               {"replica", this->replica.id.str()},
               {"version", this->replica.version.str()},
               {"earlier_attempts", this->sends - 1}});
    if (this->keeps_version)
    {
        return false;
    }
    this->version = this->replica.version;
    this->record_origin(this->replica);
    return true;
}

void online_call::record_origin(const routing::replica_entry& target)
{
    const routing::route& route = *this->request.route;
    const request_id first = this->first_attempt();
    if (route.kind != routing::request_kind::streaming || !route.resumable ||
        first.empty())
    {
        return;
    }
    this->context.origins.record(
        first, stream_origin{this->service, target.version},
        this->remaining() + keep_margin, route.services.size() > 1);
}

} // namespace parsleytrack::relay
