#pragma once

#include "relay_support/relay_fleet.hpp"
#include "relay_support/replica_stand_in.hpp"
#include "units/random_source.hpp"

#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::soak
{

/// Replicas of a second service, and configurations that move the routes of
/// streams and jobs from one service to the other, or split them.
class moving_routes
{
public:
    using replicas =
        std::vector<std::unique_ptr<relay_support::replica_stand_in>>;

    /// \param fleet Outlives this object, as does the other.
    moving_routes(relay_support::relay_fleet& fleet,
                  random_source& random_numbers);

    /// \returns The next configuration.
    std::string configuration(int version);

    const replicas& others() const { return this->other_replicas; }

private:
    random_source& random;
    replicas other_replicas;
};

} // namespace parsleytrack::soak
