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

/// The connections that others have opened to this node. While they have sent
/// too many bytes of unfinished messages, the one with the least progress is
/// closed.
class incoming_connections
{
public:
    void set_limits(const peer_limits& chosen);

    /// \param address Address of the other end without the port.
    void add(const std::shared_ptr<peer_connection>& connection,
             const std::string& address);
    void remove(const peer_connection& connection);

    /// Records the bytes that a connection has buffered of a message that has
    /// not arrived as a whole.
    ///
    /// \param received Bytes received since the last call.
    void record_unfinished(const peer_connection& connection,
                           std::size_t unfinished, std::size_t received,
                           time_point now);

private:
    struct entry
    {
        std::shared_ptr<peer_connection> connection;
        net::connection_number number;
    };

    std::map<const peer_connection*, entry> entries;
    std::map<net::connection_number, peer_connection*> numbers;
    net::connection_number last_number;
    net::body_budget budget;
};

} // namespace parsleytrack::wire::detail
