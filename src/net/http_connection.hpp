#pragma once

#include "units/endpoint.hpp"

struct event_base;
struct evhttp_connection;

namespace parsleytrack::net::detail
{

/// One connection of the HTTP client.
class http_connection
{
public:
    http_connection(event_base* base, const endpoint& target);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// \returns The libevent handle; stays owned by this object.
    evhttp_connection* handle() { return this->connection; }

private:
    evhttp_connection* connection;
};

} // namespace parsleytrack::net::detail
