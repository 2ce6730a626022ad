#include "daemon/job_coordinator.hpp"

#include "daemon/job_codec.hpp"
#include "decisions/lot_assignment.hpp"
#include "logging/log.hpp"
#include "units/wall_clock.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(250);
/// New jobs are told of; the listing only finds those whose message was lost.
constexpr duration scan_interval = std::chrono::seconds(20);
constexpr duration scan_retry = std::chrono::seconds(2);
constexpr duration check_interval = std::chrono::seconds(15);
constexpr duration check_interval_unsettled = std::chrono::seconds(2);
/// Checks started with one tick, so that a part taken over does not flood the
/// store.
constexpr int checks_per_tick = 4;
constexpr std::size_t jobs_per_listing = 500;
constexpr std::int64_t abandoned_after_ms = 600'000;

} // namespace

job_coordinator::job_coordinator(node_context& node, job_store& job_records,
                                 owner_liveness& owners, assign_callback assign)
    : context(node), records(job_records), liveness(owners),
      assign_lots_to(std::move(assign))
{
    this->timer = node.loop.call_every(tick_interval, [this] { this->tick(); });
}

void job_coordinator::look_at(const job_id& job)
{
    this->jobs[job].next_check = net::event_loop::now();
}

void job_coordinator::lot_ended(const job_id& job, int lot)
{
    const auto found = this->jobs.find(job);
    if (found == this->jobs.end())
    {
        this->look_at(job);
        return;
    }
    open_job& entry = found->second;
    entry.ended.insert(lot);
    if (entry.lots == 0 || entry.ended.size() >= entry.lots)
    {
        entry.next_check = net::event_loop::now();
    }
}

void job_coordinator::tick()
{
    const time_point now = net::event_loop::now();
    const auto& nodes = this->context.fleet.nodes();
    for (int shard = 0; shard < job_shard_count; ++shard)
    {
        shard_state& state = this->shards[shard];
        const bool own =
            shard_coordinator(shard, nodes) == this->context.settings.id;
        if (own && !state.own)
        {
            // Spread over a second.
            state.next_scan =
                now + std::chrono::milliseconds(this->context.random() % 1000);
        }
        if (!own && state.own)
        {
            std::erase_if(this->jobs, [shard](const auto& entry)
                          { return job_shard(entry.first) == shard; });
        }
        state.own = own;
        if (own && !state.scanning && state.next_scan <= now)
        {
            state.scanning = true;
            this->scan(shard, "");
        }
    }
    std::vector<job_id> due;
    for (const auto& [job, entry] : this->jobs)
    {
        if (!entry.checking && entry.next_check <= now &&
            static_cast<int>(due.size()) < checks_per_tick)
        {
            due.push_back(job);
        }
    }
    for (const job_id& job : due)
    {
        this->check(job);
    }
}

void job_coordinator::scan(int shard, const std::string& after)
{
    const std::string prefix =
        open_job_prefix(this->context.settings.region, shard);
    this->context.store.list(
        prefix, after, jobs_per_listing,
        [this, shard,
         prefix](const result<std::vector<key_value::listed_value>>& answer)
        {
            shard_state& state = this->shards[shard];
            const time_point now = net::event_loop::now();
            if (answer.has_error())
            {
                state.scanning = false;
                state.next_scan = now + scan_retry;
                return;
            }
            for (const auto& [key, value] : answer.value())
            {
                this->jobs.try_emplace(job_id(key.substr(prefix.size())),
                                       open_job{now, false, 0, {}});
            }
            if (answer.value().size() == jobs_per_listing)
            {
                this->scan(shard, answer.value().back().first);
                return;
            }
            state.scanning = false;
            state.next_scan = now + scan_interval;
        });
}

void job_coordinator::check(const job_id& job)
{
    this->jobs[job].checking = true;
    this->records.read_job(
        job,
        [this, job](const result<std::optional<seen_job_record>>& answer)
        {
            if (answer.has_error())
            {
                this->check_again(job, check_interval_unsettled);
                return;
            }
            if (!answer.value())
            {
                this->erase_open_entry(job, true);
                return;
            }
            if (answer.value()->record.ended)
            {
                this->erase_open_entry(job, false);
                return;
            }
            this->check_lots(job, *answer.value());
        });
}

void job_coordinator::check_lots(const job_id& job, const seen_job_record& seen)
{
    this->records.read_lots(
        job, seen.record,
        [this, job, seen](const result<job_progress>& progress)
        { this->handle_progress(job, seen, progress); });
}

void job_coordinator::handle_progress(const job_id& job,
                                      const seen_job_record& seen,
                                      const result<job_progress>& progress)
{
    if (progress.has_error())
    {
        this->check_again(job, check_interval_unsettled);
        return;
    }
    open_job& entry = this->jobs[job];
    entry.lots = seen.record.lots.size();
    bool settled = true;
    for (const auto& [lot, record] : progress.value().lots)
    {
        if (record.complete())
        {
            entry.ended.insert(lot);
        }
        else
        {
            settled = settled && this->liveness.is_present(record.owner);
        }
    }
    if (progress.value().ended())
    {
        this->close(job, seen);
        return;
    }
    settled = settled && progress.value().lots.size() == entry.lots;
    const time_point now = net::event_loop::now();
    const auto assigned =
        assign_lots(job, progress.value(), this->context.fleet.nodes(),
                    [this, now](const node_id& node)
                    { return this->liveness.is_usable(now, node); });
    for (const auto& [node, lots] : assigned)
    {
        this->assign_lots_to(node, job, seen.record, lots);
    }
    this->check_again(job, settled ? check_interval : check_interval_unsettled);
}

void job_coordinator::close(const job_id& job, const seen_job_record& seen)
{
    job_record next = seen.record;
    next.ended = true;
    this->records.swap_job(
        job, seen.revision, next,
        [this, job](const result<std::optional<seen_job_record>>& answer)
        {
            const bool closed = answer.has_value() && answer.value() &&
                                answer.value()->record.ended;
            if (!closed)
            {
                this->check_again(job, check_interval_unsettled);
                return;
            }
            log_event(
                log_level::info, "batch_job_ended",
                {{"job", job.str()}, {"items", answer.value()->record.items}});
            this->context.metrics.count("parsleytrack_batch_jobs_ended_total",
                                        {});
            this->erase_open_entry(job, false);
        });
}

void job_coordinator::erase_open_entry(const job_id& job, bool only_if_old)
{
    this->context.store.get(
        open_job_key(this->context.settings.region, job),
        [this, job, only_if_old](
            const result<std::optional<key_value::versioned_value>>& answer)
        {
            if (answer.has_error())
            {
                this->check_again(job, check_interval);
                return;
            }
            if (!answer.value())
            {
                this->jobs.erase(job);
                return;
            }
            const std::int64_t created_ms =
                std::strtoll(answer.value()->value.c_str(), nullptr, 10);
            if (only_if_old &&
                wall_clock_ms() - created_ms < abandoned_after_ms)
            {
                this->check_again(job, check_interval);
                return;
            }
            this->context.store.erase(
                open_job_key(this->context.settings.region, job),
                answer.value()->revision,
                [this, job](const result<key_value::swap_outcome>& erased)
                {
                    if (erased.has_error())
                    {
                        this->check_again(job, check_interval);
                        return;
                    }
                    this->jobs.erase(job);
                });
        });
}

void job_coordinator::check_again(const job_id& job, duration wait)
{
    const auto found = this->jobs.find(job);
    if (found == this->jobs.end())
    {
        return;
    }
    found->second.checking = false;
    found->second.next_check = net::event_loop::now() + wait;
}

} // namespace parsleytrack
