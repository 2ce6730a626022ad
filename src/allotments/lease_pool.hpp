#pragma once

#include "allotments/lease_order.hpp"
#include "units/time.hpp"

#include <deque>
#include <optional>

namespace parsleytrack::allotments
{

/// One leased request.
struct leased_request
{
    bucket_term term;
    time_point expires;
};

/// The leased requests of one workspace on one node, and the node's recent
/// demand.
class lease_pool
{
public:
    /// Counts a request for the demand.
    void record_demand(time_point now);

    /// \returns How many requests are expected within the given time.
    double expected(duration span, time_point now) const;

    /// Adds the requests of a lease.
    void add(bucket_term term, int count, time_point expires);

    /// \returns A leased request, the one that expires first; absent if there
    /// is none.
    std::optional<leased_request> take(time_point now);

    /// Takes a request back that was not sent.
    void put_back(const leased_request& request);

    /// \returns The leased requests that are valid beyond the given time.
    int available(time_point beyond) const;

    /// \returns The number of expired requests.
    int expired(time_point now) const;

    /// Removes the expired requests of the latest bucket, to be returned, and
    /// drops those of earlier ones, which nobody takes back.
    int take_expired(time_point now);

    /// \returns The bucket of the latest lease.
    bucket_term term() const { return this->latest_term; }

    /// Drops all leased requests.
    void clear() { this->leases.clear(); }

private:
    struct lease
    {
        bucket_term term;
        int count = 0;
        time_point expires;
    };

    double decayed_demand(time_point now) const;

    std::deque<lease> leases;
    bucket_term latest_term;
    /// Requests per second, averaged over about half a second.
    double demand = 0.0;
    time_point demand_time;
};

} // namespace parsleytrack::allotments
