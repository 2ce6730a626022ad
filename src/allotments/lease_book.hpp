#pragma once

#include "allotments/allotment_numbers.hpp"
#include "allotments/group_share.hpp"
#include "allotments/lease_order.hpp"
#include "allotments/token_bucket.hpp"
#include "units/random_source.hpp"

#include <unordered_map>

namespace parsleytrack::allotments
{

/// The buckets of the workspaces that this node owns. A bucket is empty, apart
/// from a few requests, when the ownership starts: the owner before may have
/// granted all. It is created when it is needed, as if it had been there since.
class lease_book
{
public:
    /// \param random_numbers Outlives this object.
    lease_book(const allotment_numbers& parts, random_source& random_numbers);

    /// Grants requests of a workspace that this node owns. More than what is
    /// needed is granted only from half of what remains, so that nodes which
    /// expect requests do not take them from those that have some.
    ///
    /// \param owned_since The start of the ownership.
    /// \param share The share of the limits of this node's part of the group.
    lease_reply handle(const lease_order& order, time_point owned_since,
                       const group_share& share, time_point now);

    /// Drops the buckets that have not been used for a minute. One that is
    /// created again is not fuller than the one that was dropped.
    void drop_unused(const group_share& share, time_point now);

    std::size_t size() const { return this->buckets.size(); }

private:
    struct entry
    {
        token_bucket bucket;
        workspaces::allotment limit;
        configuration_version version;
        time_point owned_since;
        bucket_term term;
        time_point used;
        /// The start of the segment of the share that was regarded last.
        time_point share_since;
        /// Requests that were refused and may be tried again; decreases at the
        /// rate.
        double refused = 0.0;
    };

    entry& find(const lease_order& order, time_point owned_since,
                const group_share& share, time_point now);
    double capacity(const workspaces::allotment& limit, double share) const;
    /// Brings the bucket up to date, with the share that applied at each time.
    void fill(entry& known, const group_share& share, time_point now) const;
    void grant(entry& known, const lease_order& order,
               lease_reply& reply) const;
    duration refill_time(const entry& known, double share) const;

    allotment_numbers numbers;
    random_source& random;
    std::unordered_map<workspace_name, entry> buckets;
};

} // namespace parsleytrack::allotments
