#pragma once

#include "settings/allotment_settings.hpp"
#include "units/time.hpp"

namespace parsleytrack::allotments
{

/// The numbers that the bound on a workspace's requests is divided into. Of the
/// overage, leases take six tenths, since a lease may be granted in one window
/// and used in the next. The slack covers the buckets of several owners.
struct allotment_numbers
{
    explicit allotment_numbers(const settings::allotment_settings& settings);

    /// How long a leased request may be used.
    duration lease_validity;
    /// Requests that a bucket holds at the start of an ownership. A window may
    /// contain several: a cut, its end and the restart of a node.
    double initial_requests;
    /// Requests that a bucket holds beyond the burst.
    double extra_capacity;
    /// Divided among the parts of a cut group, so that each can serve
    /// workspaces of small bursts unless it is very small.
    double floor_capacity;
    /// The part of rate x window and of the burst that is added to it.
    double floor_overage;
    duration window;
};

} // namespace parsleytrack::allotments
