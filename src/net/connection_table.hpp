#pragma once

#include "net/body_budget.hpp"
#include "net/caller_refusal.hpp"
#include "net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::net::detail
{

class server_connection;

/// The connections of a server, what they have buffered, and which of them are
/// to be closed.
class connection_table
{
public:
    explicit connection_table(event_loop& event_loop);

    /// \param address Client address without the port.
    connection_number add(server_connection& connection,
                          const std::string& address);
    void remove(connection_number connection);

    std::size_t size() const { return this->connections.size(); }
    /// \returns All connections; the list stays valid when some are removed.
    std::vector<connection_number> numbers() const;
    /// \returns The connection; nullptr once it is removed.
    server_connection* find(connection_number number) const;

    /// Records what a connection has buffered, and closes the connections that
    /// the budget selects.
    void report(connection_number connection, const body_budget::usage& usage,
                std::size_t moved_bytes);

    /// Refuses a request after the current callback has returned, since a
    /// connection cannot be closed while its input is parsed.
    void refuse_later(connection_number connection, caller_refusal reason);

    /// Closes the connection that has waited longest for a request, or the
    /// given one if there is none.
    void make_room_for(connection_number newest);

    /// Counts a refusal, and logs at most one line a second.
    ///
    /// \param response The response to it; empty if there is none.
    void count_refusal(caller_refusal reason, std::string_view response,
                       duration waited);

    body_budget budget;
    /// Called with each refusal. Optional.
    std::function<void(caller_refusal)> on_refusal;

private:
    void refuse_selected();

    event_loop& loop;
    std::map<connection_number, server_connection*> connections;
    connection_number last_number;
    std::map<connection_number, caller_refusal> selected;
    timer refusal_timer;
    time_point last_line;
    std::size_t unlogged = 0;
};

} // namespace parsleytrack::net::detail
