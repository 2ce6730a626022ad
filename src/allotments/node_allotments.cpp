#include "allotments/node_allotments.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace parsleytrack::allotments
{

namespace
{

/// A gap this long between two calls means that the process was paused; ticks
/// come every 100 ms.
constexpr duration pause_threshold = std::chrono::milliseconds(700);
/// How long a process that has just started and has not seen all of its seeds
/// takes no node for an owner, not even itself.
constexpr duration join_time = std::chrono::seconds(1);
/// Retry time where this node does not know; nodes agree on an owner or notice
/// its loss within about a second.
constexpr duration unknown_retry = std::chrono::milliseconds(200);
/// Refused callers come back over at least this time.
constexpr duration min_jitter = std::chrono::milliseconds(50);
constexpr duration account_retention = std::chrono::minutes(1);
constexpr duration cleanup_interval = std::chrono::seconds(10);

} // namespace

node_allotments::node_allotments(const node_id& own,
                                 const settings::allotment_settings& settings,
                                 random_source& random_numbers, time_point now)
    : own_id(own), numbers(settings), random(random_numbers), started(now),
      last_time(now), next_cleanup(now + cleanup_interval), owners(own),
      share(now), book(this->numbers, random_numbers)
{
}

bool node_allotments::update_view(const std::vector<node_info>& live,
                                  std::size_t lost, time_point now)
{
    this->note_time(now);
    this->live_count = std::max<std::size_t>(1, live.size());
    this->lost_count = lost;
    this->share.update(this->live_count, lost, now);
    return this->owners.update(live, now);
}

void node_allotments::note_time(time_point now)
{
    if (now - this->last_time >= pause_threshold)
    {
        // Others may have owned this node's workspaces in the meantime. The
        // buckets start anew, with no more than they held.
        this->owners.restart_own(now);
        for (auto& [name, known] : this->accounts)
        {
            known.leases.clear();
        }
    }
    this->last_time = std::max(this->last_time, now);
}

bool node_allotments::is_settled(time_point now) const
{
    return this->lost_count == 0 || now - this->started >= join_time;
}

node_allotments::account&
node_allotments::account_of(const workspace_name& workspace,
                            const workspaces::allotment& limit,
                            configuration_version version, time_point now)
{
    const auto [found, is_new] = this->accounts.try_emplace(workspace);
    account& known = found->second;
    if (is_new)
    {
        known.name = workspace;
    }
    if (is_new || version >= known.version)
    {
        if (known.limit != limit)
        {
            known.empty_until = now;
        }
        known.limit = limit;
        known.version = version;
    }
    known.used = now;
    return known;
}

const workspace_owner* node_allotments::other_owner(const account& known)
{
    const workspace_owner* owner = this->owner_of(known);
    return owner != nullptr && owner->node.id != this->own_id ? owner : nullptr;
}

lease_order node_allotments::make_order(account& known, int needed, int wanted,
                                        time_point now) const
{
    lease_order order;
    order.workspace = known.name;
    order.limit = known.limit;
    order.version = known.version;
    order.needed = needed;
    order.wanted = wanted;
    order.term = known.leases.term();
    order.returned = known.leases.take_expired(now);
    return order;
}

void node_allotments::claim(claim_number number,
                            const workspace_name& workspace,
                            const workspaces::allotment& limit,
                            configuration_version version, time_point now)
{
    this->note_time(now);
    account& known = this->account_of(workspace, limit, version, now);
    this->claims[number].workspace = workspace;
    known.leases.record_demand(now);
    const workspace_owner* owner = this->owner_of(known);
    if (const auto lease = known.leases.take(now))
    {
        this->grant(known, number, lease);
        this->renew(known, now);
        return;
    }
    if (owner == nullptr)
    {
        this->refuse(number, false, unknown_retry);
        return;
    }
    if (owner->node.id == this->own_id)
    {
        this->claim_from_own(known, number, now);
        return;
    }
    if (now < known.empty_until)
    {
        this->refuse_over_limit(known, number, now);
        return;
    }
    if (this->outages.since(owner->node.id, workspace))
    {
        this->claim_alone(known, number, now);
        return;
    }
    this->claims[number].waits = true;
    known.waiting.push_back(number);
    this->renew(known, now);
}

void node_allotments::claim_from_own(account& known, claim_number number,
                                     time_point now)
{
    const lease_reply reply =
        this->handle_order(this->make_order(known, 1, 1, now), now);
    if (!reply.is_owner)
    {
        this->refuse(number, false, unknown_retry);
        return;
    }
    if (reply.granted > 0)
    {
        known.leases.add(reply.term, 0, now);
        this->grant(
            known, number,
            leased_request{reply.term, now + this->numbers.lease_validity});
        return;
    }
    known.refilled_at = now + reply.refilled_in;
    this->refuse_over_limit(known, number, now);
}

void node_allotments::grant(account& known, claim_number number,
                            const std::optional<leased_request>& lease)
{
    open_claim& state = this->claims[number];
    state.workspace = known.name;
    state.lease = lease;
    state.waits = false;
    ++this->counters.leased;
    this->commands.emplace_back(grant_command{number});
}

void node_allotments::refuse(claim_number number, bool over_limit,
                             duration retry_after)
{
    this->claims.erase(number);
    ++(over_limit ? this->counters.over_limit : this->counters.unknown);
    std::uniform_int_distribution<duration::rep> jitter(
        0, std::max(min_jitter, retry_after / 2).count());
    this->commands.emplace_back(refuse_command{
        number, allotment_refusal{
                    over_limit, retry_after + duration(jitter(this->random))}});
}

void node_allotments::refuse_over_limit(account& known, claim_number number,
                                        time_point now)
{
    this->refuse(number, true,
                 std::max(duration::zero(), known.refilled_at - now));
}

void node_allotments::claim_alone(account& known, claim_number number,
                                  time_point now)
{
    const workspace_owner* owner = this->owner_of(known);
    const auto since = this->outages.since(owner->node.id, known.name);
    this->outages.probe_with(owner->node.id, known.name);
    known.alone.start(owner->node.id, owner->node.process, since.value_or(now),
                      this->random);
    const std::size_t nodes = this->live_count + this->lost_count;
    if (!known.alone.take(known.limit.rate.per_second(), nodes, now))
    {
        this->refuse(number, false, unknown_retry);
        return;
    }
    this->grant(known, number, std::nullopt);
}

void node_allotments::end(claim_number number, bool used, time_point now)
{
    const auto found = this->claims.find(number);
    if (found == this->claims.end())
    {
        return;
    }
    const open_claim state = found->second;
    this->claims.erase(found);
    const auto known = this->accounts.find(state.workspace);
    if (known == this->accounts.end())
    {
        return;
    }
    if (state.waits)
    {
        std::erase(known->second.waiting, number);
    }
    if (state.lease && !used)
    {
        known->second.leases.put_back(*state.lease);
        known->second.used = now;
    }
}

lease_reply node_allotments::handle_order(const lease_order& order,
                                          time_point now)
{
    this->note_time(now);
    const workspace_owner* owner = this->owners.owner_of(order.workspace);
    if (owner == nullptr || !this->is_settled(now))
    {
        return {};
    }
    if (owner->node.id != this->own_id)
    {
        this->check_support(order, owner->node, now);
        return {};
    }
    return this->book.handle(order, owner->since, this->share, now);
}

void node_allotments::return_expired(account& known, time_point now)
{
    const bool expects_claims =
        known.leases.expected(this->numbers.lease_validity, now) >= 1.0;
    if (known.leases.expired(now) == 0 || expects_claims || known.call)
    {
        return;
    }
    const workspace_owner* owner = this->owner_of(known);
    if (owner != nullptr && owner->node.id == this->own_id)
    {
        this->handle_order(this->make_order(known, 0, 0, now), now);
        return;
    }
    this->call_owner(known, 0, 0, now);
}

void node_allotments::tick(time_point now)
{
    this->note_time(now);
    this->share.update(this->live_count, this->lost_count, now);
    for (const workspace_name& name : this->outages.take_due_probes(now))
    {
        const auto found = this->accounts.find(name);
        if (found != this->accounts.end())
        {
            this->call_owner(found->second, 0, 0, now);
        }
    }
    for (auto& [name, known] : this->accounts)
    {
        this->return_expired(known, now);
    }
    if (now >= this->next_cleanup)
    {
        this->next_cleanup = now + cleanup_interval;
        this->book.drop_unused(this->share, now);
        std::erase_if(this->accounts,
                      [now](const auto& entry)
                      {
                          const account& known = entry.second;
                          return !known.call && known.waiting.empty() &&
                                 now - known.used >= account_retention;
                      });
    }
}

std::vector<allotment_command> node_allotments::take_commands()
{
    return std::exchange(this->commands, {});
}

} // namespace parsleytrack::allotments
