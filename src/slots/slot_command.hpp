#pragma once

#include "slots/slot_ticket.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

namespace parsleytrack::slots
{

enum class slot_decision
{
    /// The slot may be used.
    granted,
    /// There will be none in time.
    refused,
    /// The holder is to give the slot back at once.
    reclaimed
};

/// What the broker tells the holder of a ticket.
struct slot_command
{
    slot_ticket ticket;
    slot_decision decision = slot_decision::refused;
    /// Granted: where to.
    replica_id replica;
    /// Refused: when a slot is expected to be free.
    duration retry_after = duration::zero();
    /// What the decision rests on, for the log.
    int free_slots = 0;
    int waiting = 0;
};

} // namespace parsleytrack::slots
