#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace parsleytrack::routing
{

/// Remembers which processes of replicas seem to have ended. Another process,
/// of another software version, may already respond at the address of such a
/// replica, while the list of replicas still names the one before.
class lost_processes
{
public:
    /// How long the list may name a process that has ended. Covers the pings
    /// after which a silent replica is removed, the first ping of the next
    /// process and the delay of the list.
    static constexpr duration list_delay = std::chrono::seconds(6);
    /// If half of the listed processes, and so many, are lost within this time,
    /// their connections were reset and they have not ended.
    static constexpr duration burst_window = std::chrono::milliseconds(200);
    static constexpr std::size_t min_burst_size = 3;
    static constexpr std::size_t max_entries = 256;

    /// \returns The number of processes that are remembered.
    std::size_t size() const { return this->entries.size(); }

    /// \returns Whether any process was lost so lately that it may count.
    bool has_recent(time_point now) const;

    /// Records that a connection to a process has ended.
    void record(const replica_process_id& process, time_point now);

    /// \param listed Number of listed processes.
    /// \returns When the process was last lost, if another one may have taken
    /// its place since and may not be listed yet.
    std::optional<time_point> lost_at(const replica_process_id& process,
                                      time_point now, std::size_t listed) const;

private:
    struct entry
    {
        replica_process_id process;
        time_point at;
    };

    bool is_in_burst(time_point at, std::size_t listed) const;

    /// The oldest first.
    std::deque<entry> entries;
};

} // namespace parsleytrack::routing
