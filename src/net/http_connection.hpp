#pragma once

#include "net/http_call.hpp"
#include "units/endpoint.hpp"

#include <cstdint>

struct event_base;
struct evhttp_connection;

namespace parsleytrack::net::detail
{

/// One connection of the HTTP client.
class http_connection
{
public:
    /// \param number Number of the connection in this process.
    http_connection(event_base* base, const endpoint& target,
                    std::uint64_t number);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// \returns The libevent handle; stays owned by this object.
    evhttp_connection* handle() { return this->connection; }

    /// Counts a request that is about to be sent.
    ///
    /// \returns The connection's number and the requests before this one.
    connection_use begin_request();

private:
    evhttp_connection* connection;
    connection_use next_use;
};

} // namespace parsleytrack::net::detail
