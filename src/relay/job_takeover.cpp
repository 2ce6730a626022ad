#include "relay/job_takeover.hpp"

#include "decisions/rendezvous.hpp"
#include "feeds/feed_sources.hpp"
#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"
#include "relay/job_placement.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

/// How long a job may lack an owner, in addition to the time for detecting that
/// the owner is gone. The scans allow stale reads, which cost the store little.
constexpr duration scan_interval = std::chrono::seconds(2);
/// Scan interval of the nodes that rely on the scanners of a large group, in
/// case the store rejects all of those.
constexpr duration fallback_scan_interval = std::chrono::seconds(15);
/// Scan interval while a job lacks an owner; the node that has to take it over
/// may not have known yet that the owner is gone.
constexpr duration orphan_scan_interval = std::chrono::milliseconds(500);
/// All scanners may notify this node of the same job.
constexpr duration min_look_up_interval = std::chrono::milliseconds(400);
/// How long a job is remembered that no scan has found.
constexpr duration notice_retention = std::chrono::minutes(1);
/// Delay after a change in the group; several nodes may change at once.
constexpr duration change_scan_delay = std::chrono::milliseconds(150);
/// A node that has just started does not know yet which nodes are live.
constexpr duration startup_delay = std::chrono::seconds(2);
/// Jobs whose records are read at the same time. Each record may have a
/// megabyte.
constexpr std::size_t max_loads = 16;
/// When a node that has just started looks for the jobs of its last process.
constexpr duration own_jobs_delay = std::chrono::milliseconds(100);

} // namespace

job_takeover::job_takeover(const relay_context& node,
                           jobs::job_ages& ages_of_jobs, callbacks listener)
    : context(node), ages(ages_of_jobs), hooks(std::move(listener)),
      started(net::event_loop::now())
{
    this->context.group.on_change(
        [this]
        {
            this->scanners = feeds::feed_sources(
                this->context.group.live_nodes(), job_state_prefix,
                static_cast<std::size_t>(
                    this->context.settings.max_direct_followers));
            if (this->is_scanner())
            {
                this->schedule(change_scan_delay);
            }
        });
    this->schedule(own_jobs_delay);
}

void job_takeover::stop()
{
    this->stopped = true;
    this->scan_timer.cancel();
}

void job_takeover::schedule(duration delay)
{
    const time_point when = net::event_loop::now() + delay;
    // A stream of changes in the group must not postpone a scan for ever.
    if (this->stopped || this->scanning ||
        (this->next_scan && *this->next_scan <= when))
    {
        return;
    }
    this->next_scan = when;
    this->scan_timer =
        this->context.loop.call_after(delay, [this] { this->scan(); });
}

void job_takeover::scan_soon()
{
    this->schedule(orphan_scan_interval);
}

void job_takeover::scan()
{
    this->next_scan.reset();
    this->scanning = true;
    this->context.store.list(
        job_state_prefix, key_value::read_freshness::may_be_stale,
        [this](const result<key_value::record_listing>& listing)
        {
            this->scanning = false;
            bool orphans = false;
            if (listing.has_value() && !this->stopped)
            {
                orphans = this->handle_listing(listing.value());
            }
            this->schedule(this->next_scan_delay(orphans));
        });
}

bool job_takeover::is_scanner() const
{
    return this->scanners.empty() ||
           std::any_of(this->scanners.begin(), this->scanners.end(),
                       [this](const node_info& node)
                       { return node.id == this->context.group.own().id; });
}

bool job_takeover::is_starting() const
{
    return net::event_loop::now() - this->started < startup_delay;
}

duration job_takeover::next_scan_delay(bool orphans) const
{
    if (this->is_starting())
    {
        return startup_delay;
    }
    if (!this->is_scanner())
    {
        return fallback_scan_interval;
    }
    return orphans ? orphan_scan_interval : scan_interval;
}

bool job_takeover::handle_listing(const key_value::record_listing& listing)
{
    bool orphans = false;
    for (const auto& record : listing.records)
    {
        this->examine(record);
        if (!this->is_starting() && !this->scanners.empty() &&
            this->is_scanner())
        {
            orphans = this->notify(record) || orphans;
        }
    }
    const time_point now = net::event_loop::now();
    this->notices.forget_before(now - notice_retention);
    std::erase_if(this->looked_up_at, [now](const auto& entry)
                  { return now - entry.second >= min_look_up_interval; });
    return orphans;
}

void job_takeover::look_up(const job_id& job, store_revision revision)
{
    const time_point now = net::event_loop::now();
    const auto [found, inserted] = this->looked_up_at.emplace(job, now);
    // A change whose revision is not known, such as a cancellation, is news.
    const bool is_repeated = !inserted && revision > store_revision() &&
                             now - found->second < min_look_up_interval;
    if (this->stopped || is_repeated)
    {
        return;
    }
    found->second = now;
    this->context.store.get(
        job_state_key(job), key_value::read_freshness::latest,
        [this](const result<key_value::stored_record>& record)
        {
            if (!this->stopped && record.has_value() && record.value().exists())
            {
                this->examine(record.value());
            }
        });
}

bool job_takeover::notify(const key_value::stored_record& record)
{
    const auto read = jobs::decode_state(record.value);
    if (read.has_error() || this->hooks.is_owned(read.value().id))
    {
        return false;
    }
    const jobs::job_state& state = read.value();
    const auto owner = this->context.group.find(state.owner);
    const bool orphaned = !state.is_finished() && is_owner_gone(owner, state);
    const bool owner_is_due =
        !orphaned && owner &&
        this->notices.is_due(state, record.revision, net::event_loop::now());
    if (!orphaned && !owner_is_due)
    {
        return false;
    }
    const node_info& target =
        orphaned ? preferred_owner(this->context.group, state.id) : *owner;
    if (target.id != this->context.group.own().id)
    {
        this->hooks.on_notice_due(target, state.id, record.revision);
    }
    return orphaned;
}

bool job_takeover::is_responsible_for_erasure(const job_id& job) const
{
    const node_id& own = this->context.group.own().id;
    if (this->scanners.empty())
    {
        return preferred_owner(this->context.group, job).id == own;
    }
    std::vector<std::string> names;
    for (const node_info& node : this->scanners)
    {
        names.push_back(node.id.str());
    }
    return names.at(rendezvous_rank(names, job.str(), 1).front()) == own.str();
}

void job_takeover::examine(const key_value::stored_record& record)
{
    auto state = jobs::decode_state(record.value);
    if (state.has_error())
    {
        log_event(log_level::error, "job_record_damaged",
                  {{"key", record.key}, {"reason", state.error().message}});
        return;
    }
    const job_id job = state.value().id;
    this->ages.observe(job, state.value().age, net::event_loop::now());
    if (this->hooks.is_owned(job))
    {
        this->hooks.on_own_record(record);
        return;
    }
    const node_info& own = this->context.group.own();
    const bool owned_here = state.value().owner == own.id;
    if (this->is_starting() && !owned_here)
    {
        return;
    }
    if (state.value().is_finished())
    {
        if (this->claims_in_progress.contains(job))
        {
            this->finished_while_loading.insert(job);
        }
        if (this->is_responsible_for_erasure(job))
        {
            this->hooks.on_finished(state.value(), record.revision);
        }
        return;
    }
    if (this->claims_in_progress.contains(job))
    {
        return;
    }
    if (owned_here && state.value().owner_process == own.process)
    {
        // This node wrote the record but lost the response, had no room for the
        // job, or could not finish a takeover.
        if (!this->may_load(record))
        {
            return;
        }
        this->claims_in_progress.insert(job);
        this->load(state.value(), record.revision);
        return;
    }
    // A job of this node's last process needs no view of the other nodes.
    if ((!owned_here && !this->should_claim(state.value())) ||
        !this->may_load(record))
    {
        return;
    }
    this->claim(std::move(state.value()), record.revision);
}

bool job_takeover::may_load(const key_value::stored_record& record)
{
    if (this->claims_in_progress.size() >= max_loads)
    {
        this->waiting_records[record.key] = record;
        return false;
    }
    return this->hooks.has_room(this->claims_in_progress.size());
}

void job_takeover::end_load(const job_id& job)
{
    this->claims_in_progress.erase(job);
    if (this->waiting_records.empty())
    {
        return;
    }
    const auto next = this->waiting_records.begin();
    this->context.loop.post(
        [this, record = next->second]
        {
            if (!this->stopped)
            {
                this->examine(record);
            }
        });
    this->waiting_records.erase(next);
}

bool job_takeover::should_claim(const jobs::job_state& state) const
{
    if (!is_owner_gone(this->context.group.find(state.owner), state))
    {
        return false;
    }
    return preferred_owner(this->context.group, state.id).id ==
           this->context.group.own().id;
}

} // namespace parsleytrack::relay
