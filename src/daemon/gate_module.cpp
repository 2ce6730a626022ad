#include "daemon/gate_module.hpp"

#include "daemon/batch_puller.hpp"
#include "daemon/forward_codec.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration check_interval = std::chrono::milliseconds(500);
/// Bytes on their way to an entry node beyond which an answer is given up.
constexpr std::size_t max_pending_bytes = 8 * 1024 * 1024;

/// How long a node goes on as gate when another takes over, until the views
/// of all nodes agree on the other one.
constexpr duration handover_time = std::chrono::seconds(3);

const settings::service_settings*
find_service(const settings::node_settings& node, const service_name& name)
{
    const auto found = std::find_if(node.services.begin(), node.services.end(),
                                    [&name](const auto& service)
                                    { return service.name == name; });
    return found == node.services.end() ? nullptr : &*found;
}

error not_the_gate(const replica_id& replica)
{
    return error{error_code::no_replica,
                 "this node is not the gate of replica " + replica.str(),
                 ran_state::no,
                 {}};
}

backends::backend_request to_backend(const forward_request& request,
                                     const settings::service_settings& service,
                                     time_point deadline)
{
    backends::backend_request sent;
    sent.id = request.id;
    sent.method = request.method;
    sent.target = request.target;
    sent.headers = request.headers;
    sent.body = request.body;
    sent.send_once = request.send_once;
    const duration time_left = std::max<duration>(
        std::chrono::milliseconds(1), deadline - net::event_loop::now());
    if (!request.stream)
    {
        sent.total_timeout = time_left;
        return sent;
    }
    sent.head_timeout = std::min(time_left, service.first_byte_timeout);
    sent.idle_timeout = service.idle_timeout;
    return sent;
}

} // namespace

gate_module::gate_module(node_context& node)
    : context(node), puller(std::make_unique<batch_puller>(node)),
      publisher(node)
{
    this->puller->on_offers([this] { this->update_offers(); });
    node.fleet.subscribe([this] { this->update_runners(); });
    node.peers.on_call(
        wire::message_type::gate_forward,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->handle_call(exchange); });
    this->publish_timer = node.loop.call_every(check_interval,
                                               [this]
                                               {
                                                   this->update_runners();
                                                   this->remove_idle();
                                                   this->tell_others();
                                               });
    this->update_runners();
}

gate_module::~gate_module() = default;

std::unique_ptr<net::http_call>
gate_module::submit(const forward_request& request, forward_hooks hooks)
{
    const auto found = this->find_runner(request.replica);
    if (found == this->runners.end())
    {
        const auto still_wanted = std::make_shared<bool>(true);
        this->context.loop.post(
            [still_wanted, on_end = hooks.on_end, replica = request.replica]
            {
                if (*still_wanted)
                {
                    on_end(not_the_gate(replica));
                }
            });
        return std::make_unique<net::http_call>([still_wanted]
                                                { *still_wanted = false; });
    }
    replica_runner* runner = found->second.get();
    replica_job job;
    job.work.kind = work_class::online;
    job.work.workspace = request.workspace;
    job.work.may_pass_back = request.may_pass_back;
    job.work.deadline = net::event_loop::now() + request.time_left;
    job.make_request =
        [request, &service = runner->service(), deadline = job.work.deadline]
    {
        return to_backend(request, service, deadline);
    };
    job.on_head = [runner, on_head = std::move(hooks.on_head)](
                      int status, const net::http_header_list& headers)
    {
        on_head(forward_head{status, headers, runner->summary()});
    };
    job.on_piece = std::move(hooks.on_piece);
    job.on_end = std::move(hooks.on_end);
    return runner->submit(std::move(job));
}

void gate_module::handle_call(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto request = decode_forward_request(exchange->request());
    if (request.has_error())
    {
        exchange->fail(request.error());
        return;
    }
    // The exchange keeps the call, and the call's hooks keep the exchange
    // until either side ends.
    const auto call = std::make_shared<std::unique_ptr<net::http_call>>();
    forward_hooks hooks;
    hooks.on_head = [exchange](const forward_head& head)
    {
        exchange->send_part(encode_forward_head(head));
    };
    hooks.on_piece = [exchange, call](std::string_view piece)
    {
        exchange->send_part(piece);
        if (exchange->pending_output_bytes() > max_pending_bytes)
        {
            exchange->fail(error{error_code::connection_lost,
                                 "the entry node takes the answer too slowly",
                                 ran_state::unknown,
                                 {}});
            call->reset();
        }
    };
    hooks.on_end = [exchange, call](const result<bool>& outcome)
    {
        if (outcome.has_error())
        {
            exchange->fail(outcome.error());
        }
        else
        {
            exchange->finish("");
        }
    };
    exchange->on_cancelled([call] { call->reset(); });
    *call = this->submit(request.value(), std::move(hooks));
}

void gate_module::drain(std::function<void()> done)
{
    this->draining = true;
    this->drained = std::move(done);
    while (!this->runners.empty())
    {
        this->retire(this->runners.begin(), true);
    }
    this->remove_idle();
}

bool gate_module::is_own(const replica_info& replica) const
{
    return !this->draining && replica.state == replica_state::live &&
           this->context.fleet.gate_of(replica.id) == this->context.settings.id;
}

gate_module::runner_map::iterator gate_module::find_runner(const replica_id& id)
{
    const auto found = this->runners.find(id);
    const replica_info* known = this->context.fleet.find_replica(id);
    if (found != this->runners.end() || this->draining || known == nullptr ||
        known->state != replica_state::live)
    {
        return found;
    }
    // The sender's view differs for a moment. Refusing would have it try
    // again until the views agree, so this node acts as the gate.
    this->open(*known);
    this->context.metrics.count("parsleytrack_gate_disputes_total", {});
    this->update_runners();
    return this->runners.find(id);
}

bool gate_module::may_go_on(const replica_info& replica)
{
    if (this->is_own(replica))
    {
        this->acting_since.erase(replica.id);
        return true;
    }
    const time_point now = net::event_loop::now();
    const time_point since =
        this->acting_since.try_emplace(replica.id, now).first->second;
    return replica.state == replica_state::live && !this->draining &&
           now - since < handover_time;
}

void gate_module::update_runners()
{
    for (auto entry = this->runners.begin(); entry != this->runners.end();)
    {
        const auto current = entry++;
        const replica_info* known =
            this->context.fleet.find_replica(current->first);
        if (known == nullptr || !this->may_go_on(*known) ||
            known->address != current->second->replica().address)
        {
            this->acting_since.erase(current->first);
            this->retire(current, false);
        }
        else if (!this->is_own(*known))
        {
            current->second->offer_batch(false);
        }
    }
    for (const auto& [id, replica] : this->context.fleet.replicas())
    {
        if (this->is_own(replica) && this->runners.count(id) == 0)
        {
            this->open(replica);
        }
    }
}

void gate_module::open(const replica_info& replica)
{
    const settings::service_settings* service =
        find_service(this->context.settings, replica.service);
    if (service == nullptr)
    {
        return;
    }
    replica_runner::owner_hooks hooks;
    hooks.pull = [this, id = replica.id](int count)
    {
        this->pull_batch(id, count);
    };
    hooks.changed = [] {
    };
    hooks.leaving = [this, id = replica.id]
    {
        log_event(log_level::info, "replica_leaving", {{"replica", id.str()}});
        if (this->leaving_callback)
        {
            // Later, since it may close the runner that is calling.
            this->context.loop.post([this, id] { this->leaving_callback(id); });
        }
    };
    this->runners[replica.id] = std::make_unique<replica_runner>(
        this->context, replica, *service, std::move(hooks));
    this->runners[replica.id]->offer_batch(
        this->puller->has_offers(service->name));
    log_event(log_level::info, "gate_opened", {{"replica", replica.id.str()}});
}

void gate_module::pull_batch(const replica_id& replica, int count)
{
    // The replica may be given up, or given up and taken over again, before
    // the answer comes; the items are then handed back.
    replica_runner* runner = this->runners.at(replica).get();
    const auto current = [this, replica, runner]() -> replica_runner*
    {
        const auto found = this->runners.find(replica);
        const bool same =
            found != this->runners.end() && found->second.get() == runner;
        return same ? runner : nullptr;
    };
    this->puller->pull(
        replica, runner->service(), count,
        [this, current](replica_job job) -> std::unique_ptr<net::http_call>
        {
            if (replica_runner* open = current())
            {
                return open->submit(std::move(job));
            }
            this->context.loop.post([on_return = std::move(job.on_return)]
                                    { on_return(false); });
            return nullptr;
        },
        [current](int received, duration retry_after)
        {
            if (replica_runner* open = current())
            {
                open->pull_done(received, retry_after);
            }
        });
}

void gate_module::update_offers()
{
    for (const auto& [id, runner] : this->runners)
    {
        runner->offer_batch(this->acting_since.count(id) == 0 &&
                            this->puller->has_offers(runner->service().name));
    }
}

void gate_module::retire(runner_map::iterator found, bool stop_batch)
{
    log_event(log_level::info, "gate_closed",
              {{"replica", found->first.str()}});
    std::unique_ptr<replica_runner> runner = std::move(found->second);
    this->runners.erase(found);
    runner->close(stop_batch);
    this->retired.push_back(std::move(runner));
}

void gate_module::remove_idle()
{
    this->retired.erase(
        std::remove_if(this->retired.begin(), this->retired.end(),
                       [](const auto& runner) { return runner->idle(); }),
        this->retired.end());
    if (this->draining && this->retired.empty() && this->puller->idle() &&
        this->drained)
    {
        this->context.loop.post(std::exchange(this->drained, nullptr));
    }
}

void gate_module::tell_others()
{
    std::map<replica_id, gate_status> current;
    for (const auto& [id, runner] : this->runners)
    {
        if (this->acting_since.count(id) == 0)
        {
            current[id] = runner->status();
        }
    }
    this->publisher.update(current, net::event_loop::now());
}

} // namespace parsleytrack
