#pragma once

#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/random_source.hpp"
#include "units/time.hpp"

#include <cstddef>

namespace parsleytrack::allotments
{

/// The requests of one workspace that a node may send while the owner does not
/// respond: the node's part of the rate, for a short time. The part is usually
/// below one request; a random offset makes it one on some of the nodes, so
/// that all nodes together send the rate.
class alone_limit
{
public:
    /// Starts anew, unless this is the same outage.
    ///
    /// \param since The start of the outage.
    void start(const node_id& owner, process_number process, time_point since,
               random_source& random);

    /// \param rate The workspace's requests per second.
    /// \param nodes All nodes that may be running.
    /// \returns Whether a request may be sent, which is then counted.
    bool take(double rate, std::size_t nodes, time_point now);

    /// \returns The requests sent in outages of this owner's process that it
    /// does not know of.
    int unreported(const node_id& owner, process_number process) const;

    /// Counts requests as reported to the owner's process. Does nothing if the
    /// last outage was of another one: its requests are not known any more.
    void report(const node_id& owner, process_number process, int count);

private:
    node_id owner_id;
    process_number owner_process;
    time_point start_time;
    double offset = 0.0;
    int sent = 0;
    int unreported_count = 0;
};

} // namespace parsleytrack::allotments
