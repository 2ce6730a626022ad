#pragma once

#include "decisions/item_result.hpp"

#include <vector>

namespace parsleytrack
{

/// What the owner of a lot wants to have agreed next.
struct lot_commit
{
    std::vector<item_result> results;
    /// Items that must not run twice and are to be handed out next.
    std::vector<int> intents;
};

} // namespace parsleytrack
