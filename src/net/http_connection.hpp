#pragma once

#include "net/http_call.hpp"
#include "units/endpoint.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

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

    /// Records a request that is about to be sent.
    ///
    /// \param identity Identity of the request, which may be empty.
    /// \returns The connection's number and the requests before this one.
    connection_use begin_request(const std::string& identity);

    /// \returns Whether a request may be sent after those sent before: not if
    /// one of them had the same identity, nor if there were too many to know.
    bool accepts(const std::string& identity) const;

    /// \returns Whether too many requests with an identity were sent on it for
    /// another one.
    bool is_used_up() const;

    /// \returns Whether bytes have arrived after the last response. They would
    /// be read as the response to the next request.
    bool has_unread_bytes() const;

    /// \returns Whether the server's side has received all that was written.
    /// It had done so before it responded if it has read the whole request.
    bool is_delivered() const;

    /// \returns Whether the connection has failed, such as by a reset that
    /// came after the end of the server's side.
    bool has_failed() const;

    /// \returns Whether the server has not closed it.
    bool is_open() const;

    time_point created_at() const { return this->created; }

private:
    evhttp_connection* connection;
    time_point created;
    connection_use next_use;
    /// Hashes of the identities carried. Equal hashes of two identities only
    /// cost another connection.
    std::vector<std::uint32_t> carried;
};

} // namespace parsleytrack::net::detail
