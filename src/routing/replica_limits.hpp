#pragma once

#include "routing/limit_observation.hpp"
#include "units/ids.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace parsleytrack::routing
{

/// The limits that processes of replicas have named, and until when: a response
/// without a limit ends it. The latest observation of a process holds.
class replica_limits
{
public:
    /// Processes that are remembered; the one observed longest ago is dropped
    /// first.
    static constexpr std::size_t max_processes = 4000;

    /// \returns Whether the limit that holds for the process has changed.
    bool observe(const replica_process_id& process,
                 const limit_observation& observation);

    /// \returns The latest observation; nullptr when the process has never
    /// named a limit.
    const limit_observation* find(const replica_process_id& process) const;

    /// \returns The limit that holds for the process.
    std::optional<request_rate>
    limit_of(const replica_process_id& process) const;

private:
    void drop_oldest();

    std::map<replica_process_id, limit_observation> observations;
};

} // namespace parsleytrack::routing
