#pragma once

#include "sharing/workspace_use.hpp"
#include "units/time.hpp"

#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// Slot usage of one pool, as known to its broker.
struct pool_state
{
    std::string name;
    /// All slots, and those of usable replicas that are not held.
    int slots = 0;
    int free = 0;
    /// Slots held by online requests and by batch work.
    int online = 0;
    int batch = 0;
    /// Replicas that name a limit.
    int limited_replicas = 0;
    /// Replicas that may run another version than is listed; requests that
    /// depend on a version do not get their slots.
    int doubtful_replicas = 0;
    /// Requests that wait for a slot.
    int waiting_online = 0;
    int waiting_batch = 0;
    /// The longest time for which such a request has waited although slots were
    /// free all the time.
    duration online_idle_wait = duration::zero();
    duration batch_idle_wait = duration::zero();
    /// How long online requests hold a slot on average.
    duration mean_hold = duration::zero();
    /// The workspaces that use the most slots, for online requests and for
    /// batch work; empty while no request names one.
    std::vector<sharing::workspace_use> online_users = {};
    std::vector<sharing::workspace_use> batch_users = {};

    /// \returns Whether the pool is in use.
    bool is_busy() const
    {
        return this->online + this->batch + this->waiting_online +
                   this->waiting_batch >
               0;
    }
};

} // namespace parsleytrack::relay
