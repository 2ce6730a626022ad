#pragma once

#include "units/time.hpp"

#include <cstddef>

namespace parsleytrack::relay
{

/// When a node that is told to stop lets go of what: it serves on while
/// callers may still use its address, then takes nothing new, and ends once
/// everything is answered.
class stop_schedule
{
public:
    /// What is kept at the end for requests that were taken last: most take
    /// about a second, streams in a busy fleet up to two.
    static constexpr duration completion_reserve =
        std::chrono::milliseconds(2500);
    /// Before the end, so that the node itself closes the last connections.
    static constexpr duration close_margin = std::chrono::milliseconds(400);
    /// Callers keep an address answer up to three times its validity.
    static constexpr int address_retention_factor = 3;

    /// \param begin When the node was told to stop.
    /// \param address_validity How long its address answers are valid.
    /// \param limit How long the stop may take.
    stop_schedule(time_point begin, duration address_validity, duration limit);

    /// \returns Whether a request that arrives now is still taken.
    bool accepts_requests(time_point now) const
    {
        return now < this->accept_until;
    }

    /// \returns Whether the process is to end.
    bool is_over(time_point now, std::size_t open_requests) const;

private:
    time_point accept_until;
    time_point end;
};

} // namespace parsleytrack::relay
