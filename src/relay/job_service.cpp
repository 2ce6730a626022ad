#include "relay/job_service.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/item_check.hpp"
#include "relay/job_keys.hpp"
#include "relay/job_placement.hpp"
#include "relay/refusal.hpp"
#include "units/utf8.hpp"
#include "units/wall_clock.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

constexpr int status_accepted = 202;
/// A submission does not state the caller's timeout; the caller retries after a
/// few seconds.
constexpr duration accept_timeout = std::chrono::milliseconds(3500);
/// For retrying commits, checking deadlines and evicting finished jobs.
constexpr duration periodic_interval = std::chrono::milliseconds(500);
/// How long the results of a finished job are served from memory.
constexpr duration memory_retention = std::chrono::seconds(15);
/// How long the age of a job is remembered after the job was last seen in the
/// store, which may be unreachable meanwhile.
constexpr duration unobserved_age_retention = std::chrono::minutes(10);

/// One part of the memory in this many is for submissions in progress. Those
/// that arrive within the time until a submission is given up fit in, at five
/// of 870 kB a second and 120 MB.
constexpr std::int64_t submission_memory_parts = 8;
constexpr duration retry_after_submissions = std::chrono::milliseconds(500);

/// One part of the memory in this many is for outputs of items; a commit takes
/// several times the memory of the outputs that it writes.
constexpr std::int64_t output_memory_parts = 8;

/// One part of the memory in this many is for the jobs that this node runs.
constexpr std::int64_t job_memory_parts = 4;
/// Largest input of a job, which is one record of the store.
constexpr std::size_t max_input_bytes = 1'000'000;

std::string describe(const result<accepted_job>& accepted)
{
    if (accepted.has_error())
    {
        return "refused_" + std::string(to_string(accepted.error().code));
    }
    return accepted.value().already_accepted ? "known" : "accepted";
}

} // namespace

job_service::job_service(const relay_context& node, slot_client& slot_source)
    : context(node), slots(slot_source),
      submissions(
          byte_count(node.settings.memory.count() / submission_memory_parts)),
      outputs(byte_count(node.settings.memory.count() / output_memory_parts)),
      acceptor(node, this->usages), admission(node.loop, node.settings.memory),
      reader(node, this->admission), reads(node.loop, node.metrics),
      cancellation(node, this->usages), cleaner(node, this->ages),
      takeover(node, this->ages,
               {[this](const job_id& job) { return this->owned.contains(job); },
                [this](std::size_t loading)
                {
                    const bool is_possible =
                        this->has_room((loading + 1) * max_input_bytes);
                    this->has_postponed = this->has_postponed || !is_possible;
                    return is_possible;
                },
                [this](jobs::owned_job job, jobs::job_progress progress)
                { this->start_job(std::move(job), std::move(progress)); },
                [this](const jobs::job_state& state, store_revision revision)
                { this->cleaner.erase_if_expired(state, revision); },
                [this](const key_value::stored_record& record)
                {
                    const job_id job(
                        record.key.substr(job_state_prefix.size()));
                    this->owned.at(job)->apply_record(record);
                },
                [this](const node_info& target, const job_id& job,
                       store_revision revision)
                {
                    this->peers.notify(target, job, revision);
                }}),
      peers(node, {[this](const job_id& job)
                   {
                       const auto found = this->owned.find(job);
                       return found == this->owned.end() ? nullptr
                                                         : found->second.get();
                   },
                   [this] { return !this->stopped; },
                   [this](jobs::owned_job job)
                   { this->start_job(std::move(job), {}); },
                   [this](const job_id& job) { this->refresh(job); },
                   [this](const job_id& job, store_revision revision)
                   {
                       this->takeover.look_up(job, revision);
                   }})
{
    this->periodic_timer = this->context.loop.call_every(
        periodic_interval, [this] { this->run_periodic_tasks(); });
    this->context.link.on_change(
        [this](bool reaches_replicas)
        { this->handle_link_change(reaches_replicas); });
    this->context.configuration.on_change([this] { this->schedule_review(); });
    this->context.replicas.on_change([this] { this->schedule_review(); });
}

void job_service::submit(
    const std::shared_ptr<net::http_exchange>& exchange,
    const std::shared_ptr<const routing::route_table>& table,
    const routing::route& route, const workspaces::workspace* workspace)
{
    const std::string& id_header = this->context.adapter.headers().request_id;
    const auto& headers = exchange->head().headers;
    const std::string* id = net::find_header(headers, id_header.c_str());
    const std::string* host = net::find_header(headers, "Host");
    if (id == nullptr || host == nullptr)
    {
        refuse(*exchange,
               error{error_code::bad_request,
                     (id == nullptr ? id_header : std::string("Host")) +
                         " header is missing",
                     ran_state::no,
                     {}});
        return;
    }
    // The id becomes a part of keys, which the store's documents contain.
    if (!is_utf8(*id))
    {
        refuse(*exchange, error{error_code::bad_request,
                                id_header + " header is not UTF-8",
                                ran_state::no,
                                {}});
        return;
    }
    jobs::job_input input;
    input.workspace = workspace == nullptr ? workspace_name() : workspace->name;
    input.id = stored_job_id(input.workspace, job_id(*id));
    input.route_name = route.name;
    input.host = *host;
    input.accepted_by = table->contents().version;
    const std::size_t limit =
        static_cast<std::size_t>(table->contents().limits.body.count());
    exchange->on_body(
        limit,
        [this, exchange, table, &route,
         input = std::move(input)](const std::string& body) mutable
        {
            // A submission exists about six times while it is accepted.
            auto room = this->submissions.take(body.size());
            if (!room)
            {
                refuse(*exchange,
                       error{error_code::store_unavailable,
                             "too many submissions wait for the store",
                             ran_state::no, retry_after_submissions});
                this->context.metrics.count("parsleytrack_bodies_refused_total",
                                            {{"reason", "submissions"}});
                return;
            }
            auto items = this->context.adapter.parse_submission(body);
            const std::optional<error> problem =
                items.has_error()
                    ? std::optional(items.error())
                    : check_items(items.value(),
                                  this->context.adapter.headers());
            if (problem)
            {
                log_event(
                    log_level::info, "job_refused",
                    {{"job", input.id.str()}, {"reason", problem->message}});
                refuse(*exchange, *problem);
                return;
            }
            input.items = std::move(items.value());
            input.submitted_at_ms = wall_clock_ms();
            this->handle_submission(exchange, std::move(input), route,
                                    std::move(room));
        });
}

void job_service::handle_submission(
    const std::shared_ptr<net::http_exchange>& exchange, jobs::job_input input,
    const routing::route& route, std::shared_ptr<const void> room)
{
    if (this->owned.contains(input.id))
    {
        exchange->respond_json(status_accepted, "{}");
        return;
    }
    if (this->stopped)
    {
        refuse(*exchange,
               error{error_code::shutting_down, "this node is stopping",
                     ran_state::no, std::chrono::milliseconds(100)});
        return;
    }
    const auto kept = std::make_shared<const jobs::job_input>(std::move(input));
    this->acceptor.accept(
        kept, preferred_owner(this->context.group, kept->id),
        route.waiting_tokens_limit, accept_timeout,
        [this, exchange, kept, room = std::move(room),
         received =
             net::event_loop::now()](const result<accepted_job>& accepted)
        { this->handle_acceptance(exchange, kept, received, accepted); });
}

void job_service::handle_acceptance(
    const std::shared_ptr<net::http_exchange>& exchange,
    std::shared_ptr<const jobs::job_input> input, time_point received,
    const result<accepted_job>& accepted)
{
    int status = status_accepted;
    if (accepted.has_error())
    {
        status = refuse(*exchange, accepted.error());
    }
    else
    {
        exchange->respond_json(status_accepted, "{}");
    }
    const std::string outcome = describe(accepted);
    log_event(
        log_level::info, "job_submitted",
        {{"job", input->id.str()},
         {"outcome", outcome},
         {"status", status},
         {"items", input->items.size()},
         {"route", input->route_name},
         {"reason", accepted.has_error() ? accepted.error().message : "none"},
         {"total_ms", to_milliseconds(net::event_loop::now() - received)}});
    this->context.metrics.count("parsleytrack_jobs_total",
                                {{"outcome", outcome}});
    if (accepted.has_error())
    {
        return;
    }
    const jobs::job_state& state = accepted.value().state;
    if (!state.outcomes.empty() || state.cancelled)
    {
        return;
    }
    const node_info& own = this->context.group.own();
    if (state.owner == own.id && state.owner_process == own.process)
    {
        this->start_job(
            jobs::owned_job(*input, state, accepted.value().revision), {});
    }
    else if (!accepted.value().already_accepted)
    {
        this->peers.hand_over(*input, accepted.value());
    }
}

void job_service::refresh(const job_id& job)
{
    this->context.store.get(
        job_state_key(job), key_value::read_freshness::latest,
        [this, job](const result<key_value::stored_record>& record)
        {
            const auto found = this->owned.find(job);
            if (found == this->owned.end())
            {
                return;
            }
            if (record.has_error() || !record.value().exists())
            {
                log_event(
                    log_level::warning, "job_refresh_failed",
                    {{"job", job.str()},
                     {"reason", record.has_error() ? record.error().message
                                                   : "the record is missing"}});
                return;
            }
            found->second->apply_record(record.value());
        });
}

void job_service::start_job(jobs::owned_job job, jobs::job_progress progress)
{
    const job_id id = job.input().id;
    if (this->stopped || this->owned.contains(id))
    {
        return;
    }
    // Whatever the size of a job that was loaded, it must not be loaded in vain
    // again and again.
    if (!this->has_room(0))
    {
        this->has_postponed = true;
        log_event(log_level::info, "job_postponed",
                  {{"job", id.str()},
                   {"bytes", job.bytes()},
                   {"jobs", this->owned.size()}});
        return;
    }
    this->ages.observe(id, job.state().age, net::event_loop::now());
    auto owner = std::make_unique<job_owner>(
        this->context, this->slots, this->usages, this->ages, this->outputs,
        std::move(job), std::move(progress),
        [this, id]
        { this->context.loop.post([this, id] { this->owned.erase(id); }); });
    job_owner& started = *owner;
    this->owned[id] = std::move(owner);
    started.start_items();
}

bool job_service::has_room(std::size_t bytes) const
{
    if (this->owned.empty())
    {
        return true;
    }
    std::size_t sum = bytes;
    for (const auto& [id, owner] : this->owned)
    {
        sum += owner->job().bytes();
    }
    return sum <= static_cast<std::size_t>(
                      this->context.settings.memory.count() / job_memory_parts);
}

void job_service::resume_postponed_jobs()
{
    if (!this->has_postponed)
    {
        return;
    }
    // The results of finished jobs are in the store, too.
    for (const auto& [id, when] : std::exchange(this->evict_at, {}))
    {
        this->owned.erase(id);
    }
    if (this->has_room(max_input_bytes))
    {
        this->has_postponed = false;
        this->takeover.scan_soon();
    }
}

std::vector<const jobs::owned_job*> job_service::owned_jobs() const
{
    std::vector<const jobs::owned_job*> list;
    for (const auto& [id, owner] : this->owned)
    {
        list.push_back(&owner->job());
    }
    return list;
}

void job_service::run_periodic_tasks()
{
    this->export_metrics();
    const time_point now = net::event_loop::now();
    this->ages.forget_before(now - unobserved_age_retention);
    for (const auto& [id, owner] : this->owned)
    {
        this->ages.observe(id, duration::zero(), now);
        owner->start_items();
        if (owner->job().state().is_finished())
        {
            this->evict_at.emplace(
                id, now + std::min(memory_retention,
                                   this->context.settings.result_retention));
        }
    }
    this->resume_postponed_jobs();
    std::erase_if(this->evict_at,
                  [this, now](const auto& entry)
                  {
                      if (now < entry.second)
                      {
                          return false;
                      }
                      this->owned.erase(entry.first);
                      return true;
                  });
}

} // namespace parsleytrack::relay
