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
    /// No slot is expected to be free in time.
    refused,
    /// The holder must return the slot at once.
    reclaimed
};

/// A decision of the broker for the holder of a ticket.
struct slot_command
{
    slot_ticket ticket;
    slot_decision decision = slot_decision::refused;
    /// Granted: the replica whose slot it is.
    replica_id replica;
    /// Refused: when a slot is expected to be free.
    duration retry_after = duration::zero();
    /// Slots and requests at the time of the decision.
    int free_slots = 0;
    int waiting = 0;
};

} // namespace parsleytrack::slots
