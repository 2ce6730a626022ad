#include "daemon/replica_runner.hpp"

#include "daemon/summary_publisher.hpp"
#include "logging/log.hpp"

#include <type_traits>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration load_interval = std::chrono::milliseconds(200);

gate_options options_for(const settings::node_settings& node,
                         const settings::service_settings& service)
{
    gate_options options;
    options.slots = service.slots;
    options.online_reserve = service.online_reserve;
    options.queued_per_slot = node.limits.queued_per_slot;
    options.batch_weight = node.batch_weight;
    return options;
}

std::variant<backends::engine_link, backends::service_link>
make_link(net::http_client& client, const replica_info& replica,
          settings::service_kind kind)
{
    if (kind == settings::service_kind::engine)
    {
        return backends::engine_link(client, replica.address);
    }
    return backends::service_link(client, replica.address);
}

} // namespace

replica_runner::replica_runner(node_context& node, const replica_info& replica,
                               const settings::service_settings& service,
                               owner_hooks callbacks)
    : context(node), info(replica), settings(service),
      hooks(std::move(callbacks)),
      link(make_link(node.http, replica, service.kind)),
      decisions(options_for(node.settings, service), net::event_loop::now()),
      created(net::event_loop::now())
{
    this->poll_load();
    this->load_timer =
        node.loop.call_every(load_interval, [this] { this->poll_load(); });
    this->set_timer();
}

replica_runner::~replica_runner()
{
    *this->alive = false;
}

std::unique_ptr<net::http_call> replica_runner::submit(replica_job job)
{
    const work_id id = this->next_id;
    this->next_id = id.next();
    job.work.id = id;
    if (!std::visit([](const auto& way) { return way.can_stop; }, this->link))
    {
        job.work.preemptible = false;
    }
    const gate_work work = job.work;
    entry& added = this->jobs[id];
    added.job = std::move(job);
    added.submitted = net::event_loop::now();
    this->context.loop.post(
        [this, work, alive = this->alive]
        {
            if (*alive && this->jobs.count(work.id) > 0)
            {
                this->decisions.submit(work, net::event_loop::now());
                this->run_commands();
            }
        });
    return std::make_unique<net::http_call>(
        [this, id, alive = this->alive]
        {
            if (*alive)
            {
                this->cancel(id);
            }
        });
}

void replica_runner::pull_done(int received, duration retry_after)
{
    this->decisions.pull_done(received, retry_after, net::event_loop::now());
    this->run_commands();
}

void replica_runner::offer_batch(bool available)
{
    this->decisions.offer_batch(available, net::event_loop::now());
    this->run_commands();
}

void replica_runner::close(bool stop_batch)
{
    this->decisions.close(stop_batch, net::event_loop::now());
    this->run_commands();
}

replica_summary replica_runner::summary() const
{
    return summarize(this->status());
}

gate_status replica_runner::status() const
{
    return this->decisions.status(net::event_loop::now());
}

void replica_runner::run_commands()
{
    if (this->running_commands)
    {
        return;
    }
    this->running_commands = true;
    for (auto commands = this->decisions.take_commands(); !commands.empty();
         commands = this->decisions.take_commands())
    {
        for (const gate_command& command : commands)
        {
            std::visit([this](const auto& typed) { this->carry_out(typed); },
                       command);
        }
    }
    this->running_commands = false;
    this->set_timer();
    this->hooks.changed();
}

void replica_runner::carry_out(const start_work& command)
{
    const work_id id = command.id;
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
    {
        // Cancelled by a callback after the command was given; a stop follows.
        return;
    }
    entry& started = found->second;
    backends::backend_request request = started.job.make_request();
    started.sent_as = request.id;
    started.starts += 1;
    started.stopping = false;
    started.has_output = false;
    const backends::backend_hooks link_hooks =
        this->make_hooks(id, started.starts);
    started.call = std::visit(
        [&](auto& way) { return way.send(request, link_hooks); }, this->link);
    this->context.metrics.count("parsleytrack_gate_started_total",
                                {{"service", this->settings.name.str()},
                                 {"class", to_string(started.job.work.kind)}});
}

backends::backend_hooks replica_runner::make_hooks(work_id id, int start)
{
    backends::backend_hooks link_hooks;
    link_hooks.on_head =
        [this, id, start](int status, const net::http_header_list& headers)
    {
        const entry* job = this->find(id, start);
        if (job != nullptr && job->wanted && job->job.on_head)
        {
            // A copy, since the callback may cancel the job.
            const auto callback = job->job.on_head;
            callback(status, headers);
        }
    };
    link_hooks.on_piece = [this, id, start](std::string_view piece)
    {
        if (entry* job = this->find(id, start))
        {
            this->handle_piece(id, *job, piece);
        }
    };
    link_hooks.on_end = [this, id, start](result<bool> outcome)
    {
        if (this->find(id, start) != nullptr)
        {
            this->handle_end(id, std::move(outcome));
        }
    };
    return link_hooks;
}

replica_runner::entry* replica_runner::find(work_id id, int start)
{
    const auto found = this->jobs.find(id);
    const bool current = found != this->jobs.end() &&
                         found->second.starts == start &&
                         found->second.call != nullptr;
    return current ? &found->second : nullptr;
}

void replica_runner::carry_out(const stop_work& command)
{
    const work_id id = command.id;
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end() || found->second.call == nullptr)
    {
        // It was never sent, so its slot is free at once.
        this->decisions.finish(id, work_end::cancelled, net::event_loop::now());
        return;
    }
    entry& stopped = found->second;
    stopped.stopping = true;
    stopped.stop_call = std::visit(
        [&](auto& way) {
            return way.stop(stopped.sent_as,
                            [this, id] { this->handle_stopped(id); });
        },
        this->link);
    if (stopped.wanted)
    {
        this->context.metrics.count("parsleytrack_preemptions_total",
                                    {{"service", this->settings.name.str()}});
    }
}

void replica_runner::carry_out(const refuse_work& command)
{
    const auto found = this->jobs.find(command.id);
    if (found == this->jobs.end())
    {
        return;
    }
    const replica_job job = std::move(found->second.job);
    this->jobs.erase(found);
    this->context.metrics.count(
        "parsleytrack_gate_refusals_total",
        {{"service", this->settings.name.str()},
         {"reason", std::string(to_string(command.reason))}});
    job.on_end(error{command.reason,
                     "the request was refused at the gate of replica " +
                         this->info.id.str(),
                     ran_state::no, command.retry_after});
}

void replica_runner::carry_out(const return_work& command)
{
    const auto found = this->jobs.find(command.id);
    if (found == this->jobs.end())
    {
        return;
    }
    const replica_job job = std::move(found->second.job);
    this->jobs.erase(found);
    if (job.on_return)
    {
        job.on_return(command.preempted);
    }
}

void replica_runner::carry_out(const pull_work& command)
{
    this->hooks.pull(command.count);
}

void replica_runner::cancel(work_id id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
    {
        return;
    }
    entry& cancelled = found->second;
    cancelled.wanted = false;
    const bool is_sent = cancelled.call != nullptr;
    const bool can_stop =
        std::visit([](const auto& way) { return way.can_stop; }, this->link);
    if (is_sent && !can_stop)
    {
        // The call runs to its end, and its slot is taken until then.
        return;
    }
    if (!is_sent)
    {
        this->jobs.erase(found);
    }
    this->decisions.cancel(id, net::event_loop::now());
    this->run_commands();
}

void replica_runner::poll_load()
{
    const time_point now = net::event_loop::now();
    const bool is_fresh = now - this->created < gate_options().takeover_window;
    const gate_status known = this->status();
    const bool is_wanted =
        is_fresh || known.foreign_running > 0 || known.wants_probe;
    if (this->load_call || !is_wanted)
    {
        return;
    }
    const auto handle = [this](const result<backends::load_report>& report)
    {
        this->load_call.reset();
        if (report.has_value())
        {
            this->decisions.report_load(report.value().running +
                                            report.value().waiting,
                                        net::event_loop::now());
            this->run_commands();
        }
    };
    this->load_call = std::visit(
        [&](auto& way) { return way.read_load(handle); }, this->link);
}

void replica_runner::set_timer()
{
    const time_point now = net::event_loop::now();
    const auto next = this->decisions.wakeup(now);
    if (!next)
    {
        this->wakeup.cancel();
        return;
    }
    this->wakeup = this->context.loop.call_after(
        *next - now,
        [this]
        {
            this->decisions.tick(net::event_loop::now());
            this->run_commands();
        });
}

} // namespace parsleytrack
