#include "relay/online_call.hpp"

#include "relay/caller_authorization.hpp"
#include "relay/replica_request.hpp"
#include "relay/request_content.hpp"
#include "routing/service_choice.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// The target latency divided by this is reserved for the replica's own work
/// when judging whether a response can still be on time.
constexpr int replica_time_divisor = 4;
/// A caller that leaves after this time without a response head shows that the
/// replica is unresponsive.
constexpr duration unresponsive_timeout = std::chrono::milliseconds(600);

} // namespace

online_call::online_call(const relay_context& node, slot_client& slot_source,
                         std::shared_ptr<net::http_exchange> caller,
                         online_request incoming, std::function<void()> on_end)
    : context(node), slots(slot_source), exchange(std::move(caller)),
      request(std::move(incoming)), ended_callback(std::move(on_end))
{
}

void online_call::start()
{
    const net::http_request_head& head = this->exchange->head();
    this->traits = this->context.adapter.parse_prompt_parts(head.headers);
    this->traits.push_back(content_trait(head, this->request.body));
    this->service = routing::draw_service(*this->request.route,
                                          this->context.replicas.registry(),
                                          this->context.random);
    this->exchange->on_closed(
        [this]
        {
            if (this->attempt && !this->attempt->has_head() &&
                !this->silence_is_reported &&
                this->peer == exchange_peer::replica &&
                net::event_loop::now() - this->sent_at > unresponsive_timeout)
            {
                this->slots.report_failure(
                    this->request.id, this->service, this->replica,
                    attempt_outcome::may_have_run, false);
            }
            this->finish("caller_left", 0);
        });
    this->deadline_timer = this->context.loop.call_after(
        this->remaining(), [this] { this->expire(); });
    if (this->request.hop)
    {
        this->runs = this->request.hop->runs;
        if (const auto& origin = this->request.hop->origin)
        {
            if (!this->accept_service(*origin))
            {
                return;
            }
            this->version = origin->version;
        }
    }
    if (!this->version && this->takes_up_stream())
    {
        this->find_origin();
        return;
    }
    this->request_slot();
}

bool online_call::reject_if_blocked()
{
    const auto retry_after =
        this->context.crashes.rejection(this->request.id, this->traits);
    if (!retry_after)
    {
        return false;
    }
    this->fail(error{error_code::no_replica,
                     "replicas crash under this request", ran_state::no,
                     *retry_after});
    return true;
}

void online_call::request_slot()
{
    if (this->reject_if_blocked() || !this->follow_route())
    {
        return;
    }
    if (this->context.link.is_stranded())
    {
        this->relay();
        return;
    }
    if (!this->claim_allotment())
    {
        return;
    }
    const std::set<replica_id> avoided = this->replicas_to_avoid();
    if (this->version && !this->context.replicas.registry().has_usable(
                             this->service, *this->version, avoided))
    {
        this->fail(error{error_code::no_replica,
                         "no replica of the stream's software version " +
                             this->version->str() + " is left",
                         ran_state::no,
                         {}});
        return;
    }
    if (this->sends > 0 && this->refusals == this->sends &&
        this->is_excluded_everywhere())
    {
        this->fail(error{error_code::no_replica,
                         "every replica has refused the request", ran_state::no,
                         retry_after_refused});
        return;
    }
    slot_request wanted;
    wanted.request = this->request.id;
    wanted.pool.service = this->service;
    wanted.priority = this->request.priority();
    wanted.workspace = this->request.workspace_id();
    wanted.useful_for = this->useful_time();
    wanted.wait_when_late = this->request.elapsed_before > duration::zero() ||
                            this->version || this->sends > 0;
    wanted.abandoned_in = this->time_to_abandonment();
    wanted.excluded = avoided;
    wanted.version = this->version;
    wanted.availability_zone = this->context.settings.availability_zone;
    this->lease = this->slots.request_slot(
        wanted,
        {[this](const replica_id& granted) { this->send(granted); },
         [this](duration retry_after)
         {
             this->fail(error{error_code::shutting_down,
                              "no replica will have a free slot in time",
                              ran_state::no, retry_after});
         },
         {}});
    this->watch_avoided(avoided);
}

duration online_call::useful_time() const
{
    const duration target = this->request.route->target_latency;
    if (this->version)
    {
        // The caller has the first event and waits for the next one.
        return std::max(target, this->request.route->longest_pause);
    }
    const time_point useful_until = this->request.received -
                                    this->request.elapsed_before + target -
                                    target / replica_time_divisor;
    return std::max(duration::zero(), useful_until - net::event_loop::now());
}

duration online_call::time_to_abandonment() const
{
    const routing::route& route = *this->request.route;
    duration left = this->remaining();
    // A caller who has received events waits for the next one from now on.
    if (route.caller_patience > duration::zero() && !this->response_started)
    {
        const time_point leaves =
            this->request.received + route.caller_patience;
        left = std::min(left, leaves - net::event_loop::now());
    }
    return std::max(duration::zero(),
                    left - route.target_latency / replica_time_divisor);
}

void online_call::send(const replica_id& granted)
{
    this->avoidance_timer.cancel();
    const time_point send_by =
        net::event_loop::now() + replica_exchange::send_timeout;
    // The part may have been blocked while the request waited for the slot.
    if (this->reject_if_blocked())
    {
        return;
    }
    if (this->context.link.is_stranded())
    {
        this->lease.reset();
        this->relay();
        return;
    }
    const service_name granted_service = this->service;
    if (!this->follow_route())
    {
        return;
    }
    if (this->service != granted_service)
    {
        this->lease.reset();
        this->request_slot();
        return;
    }
    const routing::replica_entry* entry =
        this->context.replicas.registry().find_usable(granted);
    const bool fits = entry != nullptr &&
                      (!this->version || *this->version == entry->version);
    if (!fits)
    {
        this->excluded[granted] = entry == nullptr
                                      ? replica_process_id()
                                      : routing::process_of(*entry);
    }
    if (!fits ||
        (this->version && this->context.doubts.may_be_replaced(*entry)))
    {
        this->send_again("the replica can no longer be used");
        return;
    }
    this->begin_attempt(*entry, exchange_peer::replica, send_by);
}

void online_call::begin_attempt(const routing::replica_entry& target,
                                exchange_peer kind, time_point send_by)
{
    this->replica = target;
    this->peer = kind;
    this->sent_at = net::event_loop::now();
    if (this->sends == 0)
    {
        this->context.metrics.observe(
            "parsleytrack_slot_wait_seconds",
            {{"kind", to_string(this->request.route->kind)}},
            this->sent_at - this->request.received);
    }
    ++this->sends;
    this->keeps_version = this->version.has_value();
    if (kind == exchange_peer::replica)
    {
        this->record_origin(target);
        if (this->claim)
        {
            this->claim->use();
        }
    }
    this->splitter = event_splitter();
    this->sequence.begin_run();
    this->attempt_events = 0;
    this->collected_body.clear();
    replica_exchange::callbacks hooks;
    if (kind == exchange_peer::replica)
    {
        hooks.on_leaving = [this]
        {
            this->slots.report_leaving(this->service, this->replica);
        };
        hooks.on_limit = [this](const routing::limit_observation& observation)
        {
            this->slots.report_limit(this->service, this->replica, observation);
        };
    }
    hooks.on_head = [this](const net::http_response& head)
    {
        this->handle_head(head);
    };
    if (this->is_stream())
    {
        hooks.on_chunk = [this](std::string_view chunk)
        {
            this->handle_chunk(chunk);
        };
    }
    hooks.on_end = [this](attempt_outcome outcome, net::http_response response,
                          const std::string& reason)
    {
        this->handle_end(outcome, std::move(response), reason);
    };
    this->attempt = std::make_unique<replica_exchange>(
        this->context.http, this->context.adapter.headers(), target,
        this->make_request(send_by), this->request.id, std::move(hooks), kind);
    this->last_connection = this->attempt->connection();
    this->restart_silence_timer();
}

net::http_request online_call::make_request(time_point send_by) const
{
    net::http_request sent =
        replica_request(this->exchange->head(), this->context.adapter.headers(),
                        this->remaining(), this->sequence.last_number());
    sent.body = this->request.body;
    const bool repeatable = this->request.route->is_repeatable();
    sent.send_by = send_by;
    const bool may_repeat = this->may_repeat();
    // On a connection of its own, the last repeat cannot be lost to another
    // request's late response.
    sent.allow_connection_reuse = repeatable && (this->runs == 0 || may_repeat);
    if (this->peer == exchange_peer::node)
    {
        relay_hop hop{this->runs, std::nullopt};
        if (this->version)
        {
            hop.origin = stream_origin{this->service, *this->version};
        }
        const net::http_header_list fields = to_headers(hop);
        sent.headers.insert(sent.headers.end(), fields.begin(), fields.end());
        // The other node knows whether a replica is silent.
        sent.tcp_keepalive = true;
        return sent;
    }
    if (!this->request.table->contents().workspaces.empty())
    {
        replace_key(sent.headers, this->context.adapter.headers(),
                    this->request.workspace_id());
    }
    if (may_repeat && !this->is_stream())
    {
        sent.idle_timeout = longest_body_pause();
    }
    return sent;
}

bool online_call::may_repeat() const
{
    const routing::route& route = *this->request.route;
    return route.is_repeatable() && this->runs + 1 < route.max_attempts;
}

duration online_call::remaining() const
{
    return this->request.deadline - net::event_loop::now();
}

} // namespace parsleytrack::relay
