#include "net/http_connection.hpp"

#include "units/invariant.hpp"

#include <event2/http.h>

namespace parsleytrack::net::detail
{

namespace
{

/// Upper bound set in libevent; the timeouts of a request are shorter.
constexpr int connection_timeout_s = 3600;
/// Largest response head, and largest trailer, that is accepted.
constexpr ev_ssize_t max_head_bytes = 64 * 1024;

} // namespace

http_connection::http_connection(event_base* base, const endpoint& target,
                                 std::uint64_t number)
    : connection(evhttp_connection_base_new(base, nullptr, target.host.c_str(),
                                            target.port)),
      next_use{number, 0}
{
    check_invariant(this->connection != nullptr,
                    "evhttp_connection_base_new() must succeed");
    evhttp_connection_set_timeout(this->connection, connection_timeout_s);
    evhttp_connection_set_retries(this->connection, 0);
    evhttp_connection_set_max_headers_size(this->connection, max_head_bytes);
}

http_connection::~http_connection()
{
    evhttp_connection_free(this->connection);
}

connection_use http_connection::begin_request()
{
    connection_use use = this->next_use;
    ++this->next_use.earlier_requests;
    return use;
}

} // namespace parsleytrack::net::detail
