#pragma once

#include "net/body_budget.hpp"
#include "units/time.hpp"
#include "wire/peer_limits.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace parsleytrack::wire::detail
{

class peer_connection;

/// The connections that others have opened to this node, within limits. When
/// there are too many, one is closed that has never sent a whole message or,
/// for want of one, the longest unused connection. When too many bytes of
/// unfinished messages wait, the connection with the least progress is closed.
class incoming_connections
{
public:
    void set_limits(const peer_limits& chosen);

    /// \param address Address of the other end without the port.
    void add(const std::shared_ptr<peer_connection>& connection,
             const std::string& address, time_point now);
    void remove(const peer_connection& connection);

    /// Records the bytes that a connection has buffered of a message that has
    /// not arrived as a whole.
    ///
    /// \param received Bytes received since the last call.
    void record_unfinished(const peer_connection& connection,
                           std::size_t unfinished, std::size_t received,
                           time_point now);

    /// Records that a message has arrived.
    void record_message(const peer_connection& connection, time_point now);

private:
    struct entry
    {
        std::shared_ptr<peer_connection> connection;
        net::connection_number number;
        /// When it was accepted, or when its last message arrived.
        time_point used_at;
        bool has_sent_message = false;
    };

    void close_unused(const peer_connection& newest);

    std::map<const peer_connection*, entry> entries;
    std::map<net::connection_number, peer_connection*> numbers;
    net::connection_number last_number;
    net::body_budget budget;
    std::size_t max_connections = 0;
};

} // namespace parsleytrack::wire::detail
