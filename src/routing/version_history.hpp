#pragma once

#include "routing/replica_entry.hpp"
#include "units/time.hpp"

#include <map>
#include <optional>
#include <set>

namespace parsleytrack::routing
{

/// Software versions by service.
using service_versions = std::map<service_name, std::set<software_version>>;

/// Records which software versions of each service are listed, and until when
/// earlier ones were.
class version_history
{
public:
    /// How long a version counts as in use after its last replica has left.
    /// Longer than any stream lasts.
    static constexpr duration overlap = std::chrono::seconds(30);

    /// \param listed All replicas that are listed now.
    void observe(const std::map<replica_id, replica_entry>& listed,
                 time_point now);

    /// \returns The versions of a service that were listed at some time since
    /// \p since, as far as that was observed.
    std::set<software_version> versions_since(const service_name& service,
                                              time_point since) const;

    /// \returns The versions of all services that were listed at some time
    /// since \p since.
    service_versions all_since(time_point since) const;

    /// \returns Whether the list has been observed all the time since \p since.
    bool covers(time_point since) const
    {
        return this->observed_since && *this->observed_since <= since;
    }

private:
    /// When each version was last listed; time_point::max() while it is.
    std::map<service_name, std::map<software_version, time_point>> last_listed;
    std::optional<time_point> observed_since;
};

} // namespace parsleytrack::routing
