#pragma once

#include "units/ids.hpp"

#include <string>

namespace parsleytrack::relay
{

/// A part of a service's replicas, whose slots one broker gives out.
struct slot_pool
{
    service_name service;
    int index = 0;

    auto operator<=>(const slot_pool&) const = default;

    /// \returns Its name, by which nodes agree on the broker.
    std::string name() const
    {
        return this->service.str() + "/" + std::to_string(this->index);
    }
};

} // namespace parsleytrack::relay
