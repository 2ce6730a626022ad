#include "decisions/engine_reconciler.hpp"

#include "decisions/load_budget.hpp"
#include "decisions/order_fencing.hpp"
#include "units/invariant.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

// How often a state is read while there is something to do, and otherwise.
constexpr duration busy_interval = std::chrono::milliseconds(300);
constexpr duration idle_interval = std::chrono::seconds(2);
// An order is decided on a report that is not older than this.
constexpr duration freshness = std::chrono::seconds(1);
constexpr duration pause_after_failure = std::chrono::seconds(1);
// An order whose answer was lost may begin a load this much later.
constexpr duration late_load_start = std::chrono::seconds(5);
// Pauses before a part is loaded again whose load has come to nothing.
constexpr duration first_load_pause = std::chrono::seconds(2);
constexpr duration longest_load_pause = std::chrono::minutes(2);
constexpr int most_load_pause_steps = 6;
// A replaced version serves until the new one is loaded, but not longer.
constexpr duration longest_replacement = std::chrono::seconds(30);

bool contains_version(const std::set<engine_part>& parts,
                      const engine_part& wanted)
{
    return std::any_of(parts.begin(), parts.end(),
                       [&wanted](const engine_part& part)
                       {
                           return part.what == wanted.what &&
                                  part.name == wanted.name &&
                                  part.version == wanted.version;
                       });
}

} // namespace

engine_reconciler::engine_reconciler(service_name name, bool checks)
    : service(std::move(name)), checks_fencing(checks)
{
}

order_step engine_reconciler::next(const catalogue& release,
                                   const holdings& held, time_point now)
{
    order_step step;
    const bool paused = this->pause_until && now < *this->pause_until;
    if (this->reading || this->ordering || paused)
    {
        step.needs_lease = !this->plan.empty();
        return step;
    }
    if (this->must_read(release, held, now))
    {
        this->reading = true;
        this->asked_at = now;
        step.read_state = true;
        step.needs_lease = !this->plan.empty();
        return step;
    }
    if (!this->seen || now - this->asked_at > freshness)
    {
        step.needs_lease = !this->plan.empty();
        return step;
    }
    this->waiting_for = {};
    const bool may_order = held.is_gate && release.version > release_version();
    this->plan = may_order
                     ? make_engine_plan(desired_parts(release, this->service),
                                        *this->seen)
                     : engine_plan();
    this->planned_for = release.version;
    if (this->plan.empty())
    {
        return step;
    }
    if (const auto reason = this->obstacle(release))
    {
        step.waits_for = this->waiting_for = *reason;
        return step;
    }
    step.needs_lease = !this->is_fenced();
    if (const auto reason = this->lease_obstacle(held, now))
    {
        step.waits_for = this->waiting_for = *reason;
        return step;
    }
    engine_order order;
    order.unload = this->unloads_due(now);
    const engine_part* part = this->next_load(now);
    if (part != nullptr && held.slot_free)
    {
        order.load.push_back(*part);
    }
    else if (part != nullptr)
    {
        step.needs_slot = true;
        step.waits_for = this->waiting_for = "load_slot";
    }
    else if (!this->loading && !this->plan.load.empty())
    {
        step.waits_for = this->waiting_for = "load_failed";
    }
    if (order.load.empty() && order.unload.empty())
    {
        return step;
    }
    order.number = this->next_number(release);
    this->ordering = true;
    this->load_in_order = !order.load.empty();
    if (this->load_in_order)
    {
        this->loading = own_load{order.load.front(), now};
    }
    step.send = std::move(order);
    return step;
}

bool engine_reconciler::must_read(const catalogue& release,
                                  const holdings& held, time_point now) const
{
    if (!held.is_gate && !this->loading)
    {
        return false;
    }
    if (!this->seen)
    {
        return true;
    }
    if (this->order_ended_at && this->asked_at <= *this->order_ended_at)
    {
        return true;
    }
    const bool busy = !this->plan.empty() || this->loading.has_value() ||
                      !this->has_looked_at(release);
    return now - this->asked_at >= (busy ? busy_interval : idle_interval);
}

std::optional<std::string_view>
engine_reconciler::obstacle(const catalogue& release) const
{
    if (release_of(this->seen->highest_fencing) > release.version)
    {
        // Another gate has a newer release; this node will hear of it.
        return "newer_release";
    }
    if (this->seen->leaving)
    {
        return "engine_leaving";
    }
    return std::nullopt;
}

bool engine_reconciler::is_fenced() const
{
    return this->checks_fencing && this->seen->checks_fencing;
}

std::optional<std::string_view>
engine_reconciler::lease_obstacle(const holdings& held, time_point now) const
{
    if (this->is_fenced())
    {
        return std::nullopt;
    }
    // An order that the last holder sent just before its lease ended may still
    // be on its way.
    const bool settled =
        held.lease_until && now - held.lease_since >= order_timeout;
    const bool long_enough =
        held.lease_until && *held.lease_until - now >= order_timeout;
    if (!settled || !long_enough)
    {
        return "order_lease";
    }
    return std::nullopt;
}

std::vector<engine_part> engine_reconciler::unloads_due(time_point now)
{
    std::vector<engine_part> due;
    std::map<engine_part, time_point> waiting;
    for (const engine_part& part : this->plan.unload)
    {
        if (!this->is_replaced(part))
        {
            due.push_back(part);
            continue;
        }
        const auto known = this->replaced_since.find(part);
        const time_point since =
            known == this->replaced_since.end() ? now : known->second;
        waiting[part] = since;
        if (now - since >= longest_replacement)
        {
            due.push_back(part);
        }
    }
    this->replaced_since = std::move(waiting);
    return due;
}

bool engine_reconciler::is_replaced(const engine_part& part) const
{
    const bool is_loaded = this->seen->loaded.contains(part);
    const auto replaces = [&part](const engine_part& other)
    {
        return other.what == part.what && other.name == part.name &&
               other.version != part.version;
    };
    const bool pending =
        std::any_of(this->plan.load.begin(), this->plan.load.end(), replaces) ||
        std::any_of(this->seen->loading.begin(), this->seen->loading.end(),
                    replaces);
    return is_loaded && pending;
}

const engine_part* engine_reconciler::next_load(time_point now) const
{
    if (this->loading)
    {
        return nullptr;
    }
    for (const engine_part& part : this->plan.load)
    {
        const auto failed = this->failures.find(part);
        if (failed == this->failures.end() || failed->second.retry_at <= now)
        {
            return &part;
        }
    }
    return nullptr;
}

void engine_reconciler::note_load_end(const engine_part& part, bool loaded,
                                      time_point now)
{
    if (loaded)
    {
        this->failures.erase(part);
        return;
    }
    failure& failed = this->failures[part];
    const duration pause =
        std::min(longest_load_pause, first_load_pause * (1 << failed.count));
    failed.retry_at = now + pause;
    failed.count = std::min(failed.count + 1, most_load_pause_steps);
}

fencing_number engine_reconciler::next_number(const catalogue& release)
{
    const fencing_number highest = this->seen->highest_fencing;
    if (this->epoch_release != release.version)
    {
        this->epoch_release = release.version;
        this->epoch = epoch_number(1);
        if (release_of(highest) == release.version)
        {
            this->epoch = epoch_of(highest).next();
        }
    }
    // A restarted engine has forgotten the numbers that it has seen.
    const fencing_number number = std::max(
        make_fencing_number(release.version, this->epoch), this->last_number);
    check_invariant(release_of(number) == release.version,
                    "an order carries the number of its own release");
    this->last_number = number;
    return number;
}

bool engine_reconciler::take_state(engine_state state, time_point now)
{
    this->reading = false;
    this->pause_until.reset();
    this->seen = std::move(state);
    return this->end_load_if_over(now);
}

bool engine_reconciler::state_failed(time_point now)
{
    this->reading = false;
    this->seen.reset();
    this->waiting_for = "engine_unreachable";
    this->pause_until = now + pause_after_failure;
    const bool over = this->loading &&
                      now - this->loading->since >= load_budget::longest_load;
    if (over)
    {
        this->loading.reset();
    }
    return over;
}

void engine_reconciler::order_accepted(time_point now)
{
    this->end_order(now);
}

bool engine_reconciler::order_refused(time_point now)
{
    this->end_order(now);
    // The next number is built on what the engine then reports.
    this->epoch_release = release_version();
    this->pause_until = now + pause_after_failure;
    this->waiting_for = "fencing";
    const bool had_load = std::exchange(this->load_in_order, false);
    if (had_load)
    {
        this->loading.reset();
    }
    return had_load;
}

void engine_reconciler::order_lost(time_point now)
{
    this->end_order(now);
    this->pause_until = now + pause_after_failure;
}

void engine_reconciler::end_order(time_point now)
{
    this->ordering = false;
    this->order_ended_at = now;
}

bool engine_reconciler::end_load_if_over(time_point now)
{
    if (!this->loading || this->ordering)
    {
        return false;
    }
    const engine_part& part = this->loading->part;
    const duration passed = now - this->loading->since;
    const bool runs = contains_version(this->seen->loading, part);
    const bool may_begin =
        now - this->order_ended_at.value_or(now) < late_load_start;
    const bool may_run = runs || may_begin;
    const bool loaded = contains_version(this->seen->loaded, part);
    if (!loaded && may_run && passed < load_budget::longest_load)
    {
        return false;
    }
    this->note_load_end(part, loaded, now);
    this->loading.reset();
    return true;
}

} // namespace parsleytrack
