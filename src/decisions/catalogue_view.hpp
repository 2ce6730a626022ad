#pragma once

#include "decisions/catalogue.hpp"

#include <functional>
#include <vector>

namespace parsleytrack
{

/// The catalogue in force on this node; its version never goes down.
class catalogue_view
{
public:
    /// \returns The catalogue in force; version 0 and empty at first.
    const catalogue& current() const { return this->in_force; }

    /// Puts a catalogue in force if it is newer.
    ///
    /// \returns Whether it was newer.
    bool apply(catalogue newer);

    /// \param name A model or an adapter, as requests name it.
    /// \returns The service that serves it; empty when it is not in force.
    service_name service_of(const std::string& name) const;

    /// \param callback Called after each change.
    void subscribe(std::function<void()> callback);

private:
    catalogue in_force;
    std::vector<std::function<void()>> subscribers;
};

} // namespace parsleytrack
