#include "daemon/lot_runner.hpp"

#include "decisions/lot_limits.hpp"
#include "logging/log.hpp"
#include "units/wall_clock.hpp"
#include "wire/codec.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace parsleytrack
{

namespace
{

constexpr duration cancel_timeout = std::chrono::seconds(2);

lot_limits make_limits(const settings::node_settings& node)
{
    lot_limits limits;
    limits.attempts = node.limits.batch_attempts;
    limits.commit_interval = node.batch.commit_interval;
    return limits;
}

std::vector<lot_item> make_items(const std::vector<wire::stored_item>& stored)
{
    std::vector<lot_item> items;
    items.reserve(stored.size());
    for (const wire::stored_item& one : stored)
    {
        items.push_back(
            {service_name(one.service_name), one.model, !one.non_idempotent});
    }
    return items;
}

attempt_end end_from_wire(wire::item_end::type how)
{
    switch (how)
    {
    case wire::item_end::completed:
        return attempt_end::completed;
    case wire::item_end::rejected:
        return attempt_end::rejected;
    case wire::item_end::not_run:
        return attempt_end::not_run;
    case wire::item_end::preempted:
        return attempt_end::preempted;
    case wire::item_end::replica_lost:
        return attempt_end::replica_lost;
    case wire::item_end::failed:
        break;
    }
    return attempt_end::failed;
}

} // namespace

lot_runner::lot_runner(node_context& node, storage_module& segments,
                       job_store& jobs, call_set& calls, job_id own_job,
                       int lot, job_record own_record,
                       std::vector<wire::stored_item> input,
                       std::function<bool(const node_id&)> is_usable)
    : context(node), storage(segments), records(jobs), gates(calls),
      job_name(std::move(own_job)), lot_number(lot),
      record(std::move(own_record)), items(std::move(input)),
      owner(node.settings.id, node.random(), make_limits(node.settings),
            make_items(this->items), std::move(is_usable))
{
}

void lot_runner::step(time_point now)
{
    this->owner.tick(now);
    if (!this->expired && wall_clock_ms() >= this->record.deadline_ms &&
        this->owner.is_active())
    {
        this->expired = true;
        this->end_all(now, job_state::expired);
    }
    this->cancel_at_gates(this->owner.take_cancelled_items());
    const auto action = this->owner.next_action(now);
    if (action)
    {
        std::visit([this](const auto& wanted) { this->carry_out(wanted); },
                   *action);
    }
}

void lot_runner::carry_out(const read_lot_record&)
{
    this->records.read_lot(
        this->job_name, this->lot_number,
        [self = this->shared_from_this()](
            const result<std::optional<seen_lot_record>>& answer)
        { self->owner.on_record(net::event_loop::now(), answer); });
}

void lot_runner::carry_out(const read_job_record&)
{
    this->records.read_job(
        this->job_name,
        [self = this->shared_from_this()](
            const result<std::optional<seen_job_record>>& answer)
        {
            const time_point now = net::event_loop::now();
            if (answer.has_error())
            {
                self->owner.on_job(now, answer.error());
                return;
            }
            if (!answer.value())
            {
                self->owner.on_job(now, error{error_code::not_found,
                                              "the job has no record",
                                              ran_state::no,
                                              {}});
                return;
            }
            const job_record& seen = answer.value()->record;
            self->owner.on_job(now, seen.cancelled ? job_state::cancelled
                                    : wall_clock_ms() >= seen.deadline_ms
                                        ? job_state::expired
                                        : job_state::open);
        });
}

void lot_runner::carry_out(const write_result_segment& action)
{
    wire::stored_result_list list;
    for (const item_result& one : action.results)
    {
        wire::stored_result stored;
        stored.index = one.index;
        stored.custom_id = this->items[one.index].custom_id;
        stored.status = static_cast<std::int32_t>(one.status);
        stored.http_status = one.http_status;
        stored.body = one.body;
        stored.reason = std::string(to_string(one.reason));
        stored.message = one.message;
        list.results.push_back(std::move(stored));
        this->context.metrics.count("parsleytrack_batch_results_total",
                                    {{"status", to_string(one.status)}});
    }
    this->storage.put_everywhere(
        wire::encode(list),
        [self = this->shared_from_this()](const result<placement>& where)
        { self->owner.on_written(net::event_loop::now(), where); });
}

void lot_runner::carry_out(const swap_lot_record& action)
{
    this->context.metrics.count("parsleytrack_lot_writes_total", {});
    this->records.swap_lot(
        this->job_name, this->lot_number, action.expected, action.next,
        [self =
             this->shared_from_this()](const result<lot_swap_outcome>& outcome)
        {
            if (outcome.has_error())
            {
                self->context.metrics.count(
                    "parsleytrack_lot_write_retries_total",
                    {{"reason", std::string(to_string(outcome.error().code))}});
            }
            self->owner.on_swap(net::event_loop::now(), outcome);
        });
}

std::vector<wire::batch_item> lot_runner::pull(time_point now,
                                               const item_pull& wanted)
{
    std::vector<wire::batch_item> handed_out;
    if (wall_clock_ms() >= this->record.deadline_ms)
    {
        return handed_out;
    }
    for (const item_assignment& assignment : this->owner.pull(now, wanted))
    {
        handed_out.push_back(this->make_item(assignment));
    }
    return handed_out;
}

wire::batch_item lot_runner::make_item(const item_assignment& assignment) const
{
    const wire::stored_item& stored = this->items[assignment.index];
    wire::batch_item item;
    item.job = this->job_name.str();
    item.lot = this->lot_number;
    item.index = assignment.index;
    item.workspace = this->record.workspace.str();
    item.service_name = stored.service_name;
    item.url = stored.url;
    item.body = stored.body;
    item.time_left_ms = this->record.deadline_ms - wall_clock_ms();
    item.attempt = assignment.attempt;
    item.run_alone = assignment.run_alone;
    item.owner_epoch = this->owner.epoch().count();
    item.non_idempotent = stored.non_idempotent;
    item.idempotency_key = item.job + "-" + std::to_string(item.lot) + "-" +
                           std::to_string(item.index);
    for (const replica_id& replica : assignment.avoid)
    {
        item.avoid_replicas.push_back(replica.str());
    }
    item.generated_so_far = assignment.generated_so_far;
    return item;
}

void lot_runner::report(time_point now, const wire::item_report& ended)
{
    attempt_report read;
    read.index = ended.index;
    read.attempt = ended.attempt;
    read.how = end_from_wire(ended.how);
    read.replica = replica_id(ended.replica);
    read.http_status = ended.status;
    read.body = ended.body;
    read.message = ended.message;
    read.generated_so_far = ended.generated_so_far;
    if (read.how != attempt_end::completed)
    {
        this->context.metrics.count("parsleytrack_batch_retries_total",
                                    {{"reason", wire::to_string(ended.how)}});
        log_event(log_level::info, "batch_attempt_ended",
                  {{"job", ended.job},
                   {"lot", ended.lot},
                   {"index", ended.index},
                   {"attempt", ended.attempt},
                   {"end", wire::to_string(ended.how)},
                   {"replica", ended.replica},
                   {"message", ended.message}});
    }
    this->owner.report(now, epoch_number(ended.owner_epoch), read);
}

void lot_runner::end_all(time_point now, job_state why)
{
    this->cancel_at_gates(this->owner.end_all(now, why));
}

void lot_runner::cancel_at_gates(
    const std::map<node_id, std::vector<int>>& running)
{
    for (const auto& [gate, indices] : running)
    {
        const node_info* node = this->context.fleet.find_node(gate);
        if (node == nullptr)
        {
            continue;
        }
        wire::item_cancel_list list;
        for (const int index : indices)
        {
            wire::item_reference item;
            item.job = this->job_name.str();
            item.lot = this->lot_number;
            item.index = index;
            list.items.push_back(std::move(item));
        }
        this->gates.call(node->peer, wire::message_type::batch_cancel,
                         wire::encode(list), cancel_timeout,
                         [this, kept = this->shared_from_this(),
                          gate = gate](const result<std::string>& answer)
                         {
                             if (answer.has_error())
                             {
                                 log_event(log_level::warning,
                                           "batch_cancel_failed",
                                           {{"gate", gate.str()},
                                            {"job", this->job_name.str()}});
                             }
                         });
    }
}

} // namespace parsleytrack
