#pragma once

#include "units/ids.hpp"

#include <string>

namespace parsleytrack::relay
{

/// A subset of a service's replicas whose slots one broker grants.
struct slot_pool
{
    service_name service;
    int index = 0;

    auto operator<=>(const slot_pool&) const = default;

    /// \returns The pool's name, from which nodes derive its broker.
    std::string name() const
    {
        return this->service.str() + "/" + std::to_string(this->index);
    }
};

} // namespace parsleytrack::relay
