#include "relay/item_run.hpp"

#include "logging/log.hpp"
#include "relay/caller_authorization.hpp"
#include "relay/item_check.hpp"
#include "relay/stream_head.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// A replica that sends nothing for this long is considered unresponsive.
/// Longer than for online requests, since no caller waits and prompts are
/// processed again after a preemption.
constexpr duration unresponsive_timeout = std::chrono::milliseconds(1500);
/// Interval of checks whether a blocked item may run, and the number of checks
/// after which other items of the job get their turn.
constexpr duration block_check_interval = std::chrono::seconds(1);
constexpr int max_block_checks = 5;
/// How long a request for a slot keeps to the replicas that it excludes; the
/// usable replicas may have changed after this.
constexpr duration exclusion_timeout = std::chrono::seconds(1);
/// About how long a replica takes for an event. An item waits for a replica of
/// the version that has begun it for no longer than starting anew would cost.
constexpr duration time_per_event = std::chrono::milliseconds(20);
constexpr int status_ok = 200;
/// The replica failed the item. Other errors, such as a timeout of the replica,
/// say nothing about the item.
constexpr int status_failed = 500;
constexpr int status_misdirected = 421;
constexpr int status_impossible = 422;

/// \returns How a run ended that is to be repeated.
item_run_result result_of(attempt_outcome outcome, int status)
{
    switch (outcome)
    {
    case attempt_outcome::answered:
        if (status == status_ok)
        {
            return item_run_result::lost;
        }
        return status == status_failed ? item_run_result::failed
                                       : item_run_result::rejected;
    case attempt_outcome::not_run:
        // The weights that the item asks for will take longer than a free slot.
        return status == status_misdirected ? item_run_result::rejected
                                            : item_run_result::refused;
    case attempt_outcome::wrong_replica:
    case attempt_outcome::expired:
        return item_run_result::interrupted;
    case attempt_outcome::not_sent:
    case attempt_outcome::may_have_run:
        return item_run_result::lost;
    }
    return item_run_result::interrupted;
}

} // namespace

item_run::item_run(const relay_context& node, slot_client& slot_source,
                   const jobs::job_item& run_item, std::string run_host,
                   workspace_name run_workspace,
                   jobs::item_progress& known_progress, callbacks run_listener)
    : context(node), slots(slot_source), item(run_item),
      host(std::move(run_host)), workspace(std::move(run_workspace)),
      progress(known_progress), listener(std::move(run_listener)),
      traits(node.adapter.parse_prompt_parts(run_item.headers)),
      sequence(event_numbering::consecutive, known_progress.last_event),
      limit(node.adapter.parse_output_tokens(run_item.headers))
{
}

void item_run::start(item_assignment given, duration due_in,
                     std::set<replica_id> avoided)
{
    this->assigned = std::move(given);
    this->started = net::event_loop::now();
    this->due = this->started + due_in;
    // Earlier versions accepted items that cannot be sent as they are.
    if (const auto problem =
            check_item(this->item, this->context.adapter.headers()))
    {
        this->block_timer = this->context.loop.call_after(
            duration::zero(), [this, reason = problem->message]
            { this->finish(item_run_result::impossible, reason); });
        return;
    }
    this->excluded = std::move(avoided);
    this->wait_until_allowed();
}

void item_run::wait_until_allowed()
{
    if (!this->context.crashes.rejection(request_id(this->item.id),
                                         this->traits))
    {
        this->request_slot();
        return;
    }
    const bool gives_way = ++this->block_checks > max_block_checks;
    this->block_timer = this->context.loop.call_after(
        block_check_interval,
        [this, gives_way]
        {
            if (gives_way)
            {
                this->finish(item_run_result::interrupted,
                             "replicas crash under a part of the prompt");
                return;
            }
            this->wait_until_allowed();
        });
}

void item_run::request_slot()
{
    slot_request order;
    order.request = request_id(this->item.id);
    order.pool.service = this->assigned.service;
    order.kind = work_class::batch;
    order.priority = this->assigned.priority;
    order.workspace = this->workspace;
    order.useful_for = this->due - net::event_loop::now();
    order.wait_when_late = true;
    order.excluded = this->excluded;
    if (this->progress.last_event > 0)
    {
        order.version = this->progress.version;
        order.any_version_in = this->progress.last_event * time_per_event;
    }
    order.availability_zone = this->context.settings.availability_zone;
    this->lease = this->slots.request_slot(
        order,
        {[this](const replica_id& granted) { this->handle_grant(granted); },
         [this](duration)
         { this->finish(item_run_result::interrupted, "no slot"); },
         [this]
         {
             this->finish(item_run_result::interrupted, "slot reclaimed");
         }});
    if (!this->excluded.empty())
    {
        this->exclusion_timer = this->context.loop.call_after(
            exclusion_timeout,
            [this] {
                this->finish(item_run_result::interrupted,
                             "no slot at another replica");
            });
    }
}

void item_run::handle_grant(const replica_id& granted)
{
    this->exclusion_timer.cancel();
    if (const auto send_by = this->listener.may_send())
    {
        this->send(granted, *send_by);
        return;
    }
    this->granted_replica = granted;
}

void item_run::handle_confirmation(std::optional<time_point> send_by)
{
    const replica_id granted =
        std::exchange(this->granted_replica, replica_id());
    if (granted.empty())
    {
        // The run that asked has ended, and this one has no slot yet.
        return;
    }
    if (!send_by)
    {
        this->finish(item_run_result::interrupted,
                     "the state of the job is not confirmed");
        return;
    }
    this->send(granted, *send_by);
}

void item_run::send(const replica_id& granted, time_point send_by)
{
    const time_point checked_at = net::event_loop::now();
    if (this->context.link.is_stranded())
    {
        this->finish(item_run_result::interrupted,
                     "this node reaches no replica");
        return;
    }
    const routing::replica_entry* entry =
        this->context.replicas.registry().find_usable(granted);
    if (entry == nullptr)
    {
        this->finish(item_run_result::interrupted, "the replica has left");
        return;
    }
    if (!this->listener.keeps_service())
    {
        this->finish(item_run_result::interrupted,
                     "the route has left the service");
        return;
    }
    if (this->context.crashes.rejection(request_id(this->item.id),
                                        this->traits))
    {
        this->finish(item_run_result::interrupted,
                     "replicas crash under a part of the prompt");
        return;
    }
    if (this->progress.last_event > 0 &&
        this->context.doubts.may_be_replaced(*entry))
    {
        this->finish(item_run_result::interrupted,
                     "the replica may run another version");
        return;
    }
    if (this->progress.last_event > 0 &&
        (this->progress.version != entry->version ||
         this->progress.service != entry->service))
    {
        log_event(log_level::info, "item_starts_anew",
                  {{"item", this->item.id},
                   {"version", this->progress.version.str()},
                   {"after_event", this->progress.last_event}});
        this->discard_progress();
    }
    this->replica = *entry;
    const header_names& names = this->context.adapter.headers();
    net::http_request request;
    request.method = "POST";
    request.target = this->item.target;
    request.headers = item_headers(this->item, names);
    if (!this->workspace.empty())
    {
        replace_key(request.headers, names, this->workspace);
    }
    request.headers.emplace_back("Host", this->host);
    request.headers.emplace_back(names.request_id, this->item.id);
    if (this->progress.last_event > 0)
    {
        request.headers.emplace_back(names.resume_after,
                                     std::to_string(this->progress.last_event));
    }
    request.body = this->item.body;
    request.send_by =
        std::min(send_by, checked_at + replica_exchange::send_timeout);
    request.head_timeout = unresponsive_timeout;
    request.idle_timeout = unresponsive_timeout;
    replica_exchange::callbacks hooks;
    hooks.on_leaving = [this]
    {
        this->slots.report_leaving(this->assigned.service, this->replica);
    };
    hooks.on_limit = [this](const routing::limit_observation& observation)
    {
        this->slots.report_limit(this->assigned.service, this->replica,
                                 observation);
    };
    hooks.on_head = [this](const net::http_response& head)
    {
        this->status = head.status;
        if (head.status == status_ok && this->sequence.has_events() &&
            !may_be_event_stream(head.headers))
        {
            this->attempt->abort("the response is no stream that goes on");
        }
    };
    hooks.on_chunk = [this](std::string_view chunk)
    {
        this->handle_chunk(chunk);
    };
    hooks.on_end = [this](attempt_outcome outcome,
                          const net::http_response& response,
                          const std::string& reason)
    {
        this->handle_end(outcome, response, reason);
    };
    this->first_event = this->progress.last_event;
    this->restart_stall_timer();
    this->attempt = std::make_unique<replica_exchange>(
        this->context.http, names, *entry, std::move(request),
        request_id(this->item.id), std::move(hooks));
    this->began = checked_at;
    this->connection = this->attempt->connection();
}

void item_run::handle_end(attempt_outcome outcome,
                          const net::http_response& response,
                          const std::string& reason)
{
    const bool answered = outcome == attempt_outcome::answered;
    if (answered && response.status == status_ok &&
        !this->splitter.has_partial_event() && this->progress.last_event > 0 &&
        (this->sequence.run_has_events() || has_marked_end(response.headers)))
    {
        this->context.crashes.handle_survival(this->traits);
        this->finish(item_run_result::completed, reason);
        return;
    }
    if (answered && response.status == status_impossible)
    {
        this->finish(item_run_result::impossible, reason);
        return;
    }
    const bool ended_early = answered && this->status == status_ok;
    if (ended_early || this->attempt->was_cut())
    {
        this->context.crashes.handle_lost_item(request_id(this->item.id));
    }
    this->slots.report_failure(request_id(this->item.id),
                               this->assigned.service, this->replica, outcome,
                               this->attempt->was_cut() ||
                                   outcome == attempt_outcome::not_sent);
    this->finish(result_of(outcome, response.status), reason);
}

void item_run::finish(item_run_result end, const std::string& reason)
{
    this->stall_timer.cancel();
    this->exclusion_timer.cancel();
    if (this->attempt)
    {
        this->attempt->cancel();
        // This may be called from a callback of the exchange.
        this->context.loop.free_later(std::move(this->attempt));
    }
    this->lease.reset();
    const auto callback = std::move(this->listener.on_end);
    callback(end, reason);
}

} // namespace parsleytrack::relay
