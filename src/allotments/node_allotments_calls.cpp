// What a node does with its calls to the owners of workspaces.

#include "allotments/node_allotments.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace parsleytrack::allotments
{

namespace
{

/// How long an owner's word that a bucket is empty is taken for later claims at
/// most. In a surge of a large workspace, all nodes ask its owner this often.
constexpr duration max_empty_time = std::chrono::milliseconds(200);

} // namespace

void node_allotments::renew(account& known, time_point now)
{
    const int needed = static_cast<int>(known.waiting.size());
    const workspace_owner* owner = this->other_owner(known);
    if (known.call || owner == nullptr)
    {
        return;
    }
    const double expected =
        known.leases.expected(this->numbers.lease_validity, now);
    // Small workspaces ask for each request.
    if (expected < 1.0)
    {
        if (needed > 0)
        {
            this->call_owner(known, needed, needed, now);
        }
        return;
    }
    const int held = known.leases.available(now + reply_timeout);
    if (needed == 0 && (held >= expected / 2 || now < known.empty_until ||
                        this->outages.since(owner->node.id, known.name)))
    {
        return;
    }
    const int extra = std::max(0, static_cast<int>(expected + 1.0) - held);
    this->call_owner(known, needed, needed + extra, now);
}

void node_allotments::call_owner(account& known, int needed, int wanted,
                                 time_point now)
{
    const workspace_owner* owner = this->other_owner(known);
    if (known.call || owner == nullptr)
    {
        return;
    }
    const lease_call_number number(this->next_call++);
    lease_order order = this->make_order(known, needed, wanted, now);
    order.sent_alone =
        known.alone.unreported(owner->node.id, owner->node.process);
    known.call = number;
    this->calls[number] = open_call{known.name, owner->node, order, now};
    this->commands.emplace_back(send_command{number, owner->node.peer, order});
}

node_allotments::account* node_allotments::end_call(lease_call_number call,
                                                    open_call& ended)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
    {
        return nullptr;
    }
    ended = found->second;
    this->calls.erase(found);
    const auto known = this->accounts.find(ended.workspace);
    if (known == this->accounts.end())
    {
        return nullptr;
    }
    known->second.call.reset();
    return &known->second;
}

void node_allotments::handle_reply(lease_call_number call,
                                   const lease_reply& reply, time_point now)
{
    this->note_time(now);
    open_call ended;
    account* known = this->end_call(call, ended);
    if (known == nullptr)
    {
        return;
    }
    this->owners.confirm(ended.owner);
    if (!reply.is_owner)
    {
        this->outages.mark_denied(ended.owner.id, known->name, now);
        this->handle_outage(*known, ended.owner, now);
        return;
    }
    this->outages.clear(ended.owner.id, known->name);
    known->alone.report(ended.owner.id, ended.owner.process,
                        ended.order.sent_alone);
    if (ended.order.wanted > 0)
    {
        ++this->counters.leases;
    }
    known->leases.add(reply.term, reply.granted,
                      ended.sent + this->numbers.lease_validity);
    const bool is_empty = reply.granted < ended.order.needed;
    if (is_empty)
    {
        known->refilled_at = now + reply.refilled_in;
        known->empty_until = now + this->empty_time(*known, reply);
    }
    this->serve_waiting(*known, now);
}

duration node_allotments::empty_time(const account& known,
                                     const lease_reply& reply) const
{
    // With a longer time few nodes could not use a small bucket at its rate,
    // since it would be full before they ask again.
    const double capacity = known.limit.burst + this->numbers.extra_capacity;
    const std::chrono::duration<double> quarter(capacity / 4.0 /
                                                known.limit.rate.per_second());
    const duration refilled = std::min(reply.refilled_in, max_empty_time);
    return quarter >= max_empty_time
               ? max_empty_time
               : std::max(refilled,
                          std::chrono::duration_cast<duration>(quarter));
}

void node_allotments::serve_waiting(account& known, time_point now)
{
    while (!known.waiting.empty())
    {
        const auto lease = known.leases.take(now);
        if (!lease && now >= known.empty_until)
        {
            // Came while the call was under way.
            this->renew(known, now);
            return;
        }
        const claim_number number = known.waiting.front();
        known.waiting.pop_front();
        if (lease)
        {
            this->grant(known, number, lease);
            continue;
        }
        this->refuse_over_limit(known, number, now);
    }
}

void node_allotments::handle_failure(lease_call_number call, time_point now)
{
    this->note_time(now);
    open_call ended;
    account* known = this->end_call(call, ended);
    if (known != nullptr)
    {
        this->outages.mark_silent(ended.owner.id, known->name, now);
        this->handle_outage(*known, ended.owner, now);
    }
}

void node_allotments::handle_unsupported(lease_call_number call, time_point now)
{
    this->note_time(now);
    open_call ended;
    account* known = this->end_call(call, ended);
    if (known != nullptr)
    {
        this->owners.exclude(ended.owner, now);
        this->handle_outage(*known, ended.owner, now);
    }
}

void node_allotments::check_support(const lease_order& order,
                                    const node_info& owner, time_point now)
{
    // The sender may have been told by the owner; then it takes this node for
    // the next one.
    if (!this->owners.is_confirmed(owner))
    {
        account& known =
            this->account_of(order.workspace, order.limit, order.version, now);
        this->call_owner(known, 0, 0, now);
    }
}

void node_allotments::handle_outage(account& known, const node_info& owner,
                                    time_point now)
{
    const workspace_owner* current = this->owner_of(known);
    const bool is_same = current != nullptr && current->node.id == owner.id;
    std::deque<claim_number> waiting = std::exchange(known.waiting, {});
    for (const claim_number number : waiting)
    {
        this->claims[number].waits = false;
        if (is_same)
        {
            this->claim_alone(known, number, now);
            continue;
        }
        // The owner has changed since; the caller may try again at once.
        this->refuse(number, false, duration::zero());
    }
}

} // namespace parsleytrack::allotments
