#pragma once

#include "units/time.hpp"

#include <cstddef>

namespace parsleytrack::relay
{

/// Phases of a planned stop: the node keeps serving while callers may still use
/// its address, then accepts no new requests, and exits once all open requests
/// have ended.
class stop_schedule
{
public:
    /// Time reserved at the end for the requests accepted last: most take about
    /// a second, streams in a busy fleet up to two.
    static constexpr duration completion_reserve =
        std::chrono::milliseconds(2500);
    /// The node exits this long before the limit, so that it closes the last
    /// connections itself.
    static constexpr duration close_margin = std::chrono::milliseconds(400);
    /// A refused caller can send the request to another node at once.
    static constexpr duration retry_after = std::chrono::milliseconds(10);
    /// Callers use an address response for up to three times its validity.
    static constexpr int address_retention_factor = 3;

    /// \param begin When the stop was requested.
    /// \param address_validity How long the node's address responses are valid.
    /// \param limit How long the stop may take.
    stop_schedule(time_point begin, duration address_validity, duration limit);

    /// \returns Whether a request that arrives now is still accepted.
    bool accepts_requests(time_point now) const
    {
        return now < this->accept_until;
    }

    /// \returns When the connections that are still open are closed.
    time_point closes_at() const { return this->end; }

    /// \returns Whether the process should exit.
    bool is_over(time_point now, std::size_t open_requests) const;

private:
    time_point accept_until;
    time_point end;
};

} // namespace parsleytrack::relay
