#include "allotments/lease_book.hpp"

#include <algorithm>
#include <chrono>

namespace parsleytrack::allotments
{

namespace
{

/// When a node joins, the owner before goes on until it knows of it. Nothing
/// refills in this time.
constexpr duration handover_time = std::chrono::milliseconds(500);
/// Within this time all nodes on the other side of a cut are noticed as lost.
constexpr duration takeover_time = std::chrono::seconds(3);
constexpr duration unused_time = std::chrono::minutes(1);
/// What refused requests add to the time that later ones are told.
constexpr double max_refused_s = 1.0;

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

lease_book::lease_book(const allotment_numbers& parts,
                       random_source& random_numbers)
    : numbers(parts), random(random_numbers)
{
}

lease_reply lease_book::handle(const lease_order& order, time_point owned_since,
                               const group_share& share, time_point now)
{
    lease_reply reply;
    entry& known = this->find(order, owned_since, share, now);
    if (order.version >= known.version)
    {
        known.limit = order.limit;
        known.version = order.version;
    }
    this->fill(known, share, now);
    const double capacity = this->capacity(known.limit, share.current());
    if (capacity < 1.0)
    {
        // This part of a cut group is too small for the workspace.
        return reply;
    }
    if (order.term == known.term)
    {
        known.bucket.put_back(order.returned, capacity);
    }
    known.bucket.charge(order.sent_alone);
    known.bucket.limit_debt(known.limit.rate.per_second() *
                            to_seconds(this->numbers.window));
    reply.is_owner = true;
    reply.term = known.term;
    this->grant(known, order, reply);
    if (reply.granted < order.needed)
    {
        reply.refilled_in = this->refill_time(known, share.current());
        known.refused = std::min(known.refused + order.needed - reply.granted,
                                 max_refused_s * known.limit.rate.per_second() *
                                     share.current());
    }
    return reply;
}

lease_book::entry& lease_book::find(const lease_order& order,
                                    time_point owned_since,
                                    const group_share& share, time_point now)
{
    const auto found = this->buckets.find(order.workspace);
    if (found != this->buckets.end() &&
        found->second.owned_since == owned_since)
    {
        found->second.used = now;
        return found->second;
    }
    double initial = this->numbers.initial_requests * share.current();
    if (found != this->buckets.end())
    {
        // Ownerships that restart again and again must not add up.
        this->fill(found->second, share, owned_since);
        initial =
            std::min(initial, std::max(0.0, found->second.bucket.level()));
    }
    entry created{token_bucket(initial, owned_since),
                  order.limit,
                  order.version,
                  owned_since,
                  bucket_term(static_cast<std::int64_t>(this->random())),
                  now,
                  owned_since};
    if (found != this->buckets.end() && found->second.version > order.version)
    {
        created.limit = found->second.limit;
        created.version = found->second.version;
    }
    return this->buckets.insert_or_assign(order.workspace, created)
        .first->second;
}

double lease_book::capacity(const workspaces::allotment& limit,
                            double share) const
{
    const double window_requests =
        limit.rate.per_second() * to_seconds(this->numbers.window);
    const double usual = share * (limit.burst + this->numbers.extra_capacity);
    // All parts of a group together have floor_capacity and floor_overage more
    // than the whole group, at most.
    const double floor =
        share * (this->numbers.floor_capacity +
                 this->numbers.floor_overage * (window_requests + limit.burst));
    return std::max(usual, std::min(1.0, floor));
}

void lease_book::fill(entry& known, const group_share& share,
                      time_point now) const
{
    const double rate = known.limit.rate.per_second();
    const time_point start = known.owned_since + handover_time;
    double current = share.segments().front().share;
    const auto advance = [&](time_point until)
    {
        const double capacity = this->capacity(known.limit, current);
        // Nothing refills before the start.
        known.bucket.fill(0.0, capacity, std::min(until, start));
        known.bucket.fill(rate * current, capacity, until);
    };
    for (const group_share::segment& segment : share.segments())
    {
        if (segment.from <= known.share_since)
        {
            current = segment.share;
            continue;
        }
        advance(segment.from);
        known.share_since = segment.from;
        current = segment.share;
        known.bucket.fill(0.0, this->capacity(known.limit, current),
                          segment.from);
        // The loss that made this node the owner is not noticed at one moment,
        // and what was sent alone before is not charged to it.
        const bool is_earlier_owner =
            segment.from - known.owned_since >= takeover_time;
        known.bucket.charge(is_earlier_owner ? segment.charge_s * rate : 0.0);
    }
    const double elapsed = to_seconds(now - known.bucket.time());
    known.refused = std::max(0.0, known.refused - rate * current * elapsed);
    advance(now);
}

void lease_book::grant(entry& known, const lease_order& order,
                       lease_reply& reply) const
{
    const int available = known.bucket.available();
    const int needed = std::min(order.needed, available);
    const int expected =
        std::min(order.wanted - order.needed, (available - needed) / 2);
    reply.granted = needed + std::max(0, expected);
    known.bucket.take(reply.granted);
}

duration lease_book::refill_time(const entry& known, double share) const
{
    return known.bucket.time_until(1.0 + known.refused,
                                   known.limit.rate.per_second() * share);
}

void lease_book::drop_unused(const group_share& share, time_point now)
{
    for (auto found = this->buckets.begin(); found != this->buckets.end();)
    {
        entry& known = found->second;
        this->fill(known, share, now);
        const bool is_full =
            known.bucket.level() >=
            this->capacity(known.limit, share.current()) - 1e-6;
        found = is_full && now - known.used >= unused_time
                    ? this->buckets.erase(found)
                    : std::next(found);
    }
}

} // namespace parsleytrack::allotments
