#pragma once

#include "units/endpoint.hpp"
#include "units/ids.hpp"

namespace parsleytrack
{

/// A node through which others can join, as the platform's store lists it.
struct seed_entry
{
    node_id node;
    endpoint peer;

    bool operator==(const seed_entry&) const = default;
};

} // namespace parsleytrack
