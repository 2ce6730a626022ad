#pragma once

#include "units/numbers.hpp"
#include "units/strong_number.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace parsleytrack::net
{

/// Identifies a connection of a server within this process.
using connection_number = strong_number<struct connection_number_tag>;

/// Decides which connections are closed so that the request bodies, unread
/// input and unsent output that a process buffers stay within a budget.
///
/// While the budget is exceeded, the connection that has made the least
/// progress recently is closed first; among equal ones, that with the most
/// bytes. The last part of the budget is kept for small bodies, so that small
/// requests are served while large ones compete.
class body_budget
{
public:
    /// Upper bounds in bytes; zero means "no limit".
    struct limits
    {
        /// Sum over all connections.
        byte_count total;
        /// Sum over the connections of one client address.
        byte_count per_address;
    };

    /// What a connection has buffered.
    struct usage
    {
        std::size_t bytes = 0;
        /// Whether the connection may be closed without losing the response to
        /// a request that may run.
        bool closable = true;
    };

    /// Time over which progress is compared.
    static constexpr duration progress_window = std::chrono::seconds(1);
    /// Largest size that is small. Four times a typical request.
    static constexpr std::size_t small_bytes = std::size_t{64} * 1024;

    /// \param memory Memory limit of the process.
    /// \param max_body Maximum size of a body, which is always admitted.
    /// \returns A quarter of the memory, since up to three copies of a body
    /// exist while it is sent to a replica, and three quarters of that per
    /// address.
    static limits limits_for(byte_count memory, byte_count max_body);

    void set_limits(const limits& chosen) { this->bounds = chosen; }
    const limits& current_limits() const { return this->bounds; }

    /// \param address Client address without the port.
    void add(connection_number connection, const std::string& address);
    void remove(connection_number connection);

    /// Records what a connection has buffered.
    ///
    /// \param moved_bytes Bytes received or sent since the last call.
    /// \returns The connections to close, in this order. They no longer count,
    /// whatever is recorded for them later.
    std::vector<connection_number> update(connection_number connection,
                                          const usage& current,
                                          std::size_t moved_bytes,
                                          time_point now);

    /// \returns Buffered bytes of all connections that are not to be closed.
    std::size_t buffered_bytes() const { return this->buffered; }

private:
    struct entry
    {
        std::string address;
        usage current;
        bool closing = false;
        /// Bytes moved in the current and in the previous window.
        time_point window_start;
        std::size_t moved = 0;
        std::size_t moved_before = 0;
    };
    using entry_map = std::map<connection_number, entry>;

    static void advance(entry& changed, time_point now);
    static std::size_t progress(const entry& asked, time_point now);
    void set_bytes(entry& changed, std::size_t bytes);
    /// \returns The next connection to close after one has grown, or end().
    entry_map::iterator select(const entry& grown, time_point now);
    /// Prefers connections with more than small bodies.
    ///
    /// \param address Only connections of this address; empty for all.
    entry_map::iterator least_progress(const std::string& address,
                                       time_point now);
    entry_map::iterator least_progress(const std::string& address,
                                       std::size_t more_than, time_point now);

    limits bounds;
    entry_map entries;
    std::map<std::string, std::size_t> bytes_by_address;
    std::size_t buffered = 0;
};

} // namespace parsleytrack::net
