#pragma once

#include "units/ids.hpp"

#include <string>

namespace parsleytrack
{

/// What the owner of a lot needs to know to hand an item out.
struct lot_item
{
    service_name service;
    /// Model or adapter; empty for a plain service.
    std::string model;
    /// Whether the item may run more than once.
    bool idempotent = true;
};

} // namespace parsleytrack
