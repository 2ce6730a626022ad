#pragma once

#include "key_value/record_follower.hpp"
#include "relay/relay_adapter.hpp"
#include "routing/route_table.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace parsleytrack::relay
{

/// Keeps the newest configuration from the platform's store. Its version never
/// decreases while the process runs.
class configuration_follower
{
public:
    configuration_follower(net::event_loop& event_loop,
                           key_value::record_client& client,
                           random_source& random_numbers,
                           const relay_adapter& protocol_adapter);

    void start() { this->follower.start(); }

    /// \returns The current routes; null before the first configuration.
    std::shared_ptr<const routing::route_table> current() const
    {
        return this->table;
    }

    /// \returns How long ago the store last confirmed the configuration.
    duration age() const;

    /// \param callback Called after each change.
    void on_change(std::function<void()> callback);

private:
    void apply_record(const key_value::stored_record& record);

    const relay_adapter& adapter;
    key_value::record_follower follower;
    std::shared_ptr<const routing::route_table> table;
    std::vector<std::function<void()>> change_callbacks;
};

} // namespace parsleytrack::relay
