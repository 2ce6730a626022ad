#pragma once

#include "allotments/allotment_refusal.hpp"
#include "allotments/lease_order.hpp"
#include "units/endpoint.hpp"
#include "units/strong_number.hpp"

#include <variant>

namespace parsleytrack::allotments
{

/// Identifies a claim within its node.
using claim_number = strong_number<struct claim_number_tag>;
/// Identifies a call to an owner within its node.
using lease_call_number = strong_number<struct lease_call_number_tag>;

/// The claim's request may be sent.
struct grant_command
{
    claim_number claim;
};

/// The claim's request must not be sent. The claim has ended.
struct refuse_command
{
    claim_number claim;
    allotment_refusal refusal;
};

/// To be sent to the owner; its reply or failure to be handed back.
struct send_command
{
    lease_call_number call;
    endpoint owner;
    lease_order order;
};

using allotment_command =
    std::variant<grant_command, refuse_command, send_command>;

} // namespace parsleytrack::allotments
