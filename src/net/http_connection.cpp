#include "net/http_connection.hpp"

#include "net/event_loop.hpp"
#include "units/invariant.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>

namespace parsleytrack::net::detail
{

namespace
{

/// Upper bound set in libevent; the timeouts of a request are shorter.
constexpr int connection_timeout_s = 3600;
/// Largest response head, and largest trailer, that is accepted.
constexpr ev_ssize_t max_head_bytes = 64 * 1024;
/// Requests with an identity that one connection carries. Keeps the memory for
/// them at one kilobyte a connection.
constexpr std::size_t max_identities = 256;

std::uint32_t hash_of(const std::string& identity)
{
    return static_cast<std::uint32_t>(std::hash<std::string>()(identity));
}

} // namespace

http_connection::http_connection(event_base* base, const endpoint& target,
                                 std::uint64_t number)
    : connection(evhttp_connection_base_new(base, nullptr, target.host.c_str(),
                                            target.port)),
      created(event_loop::now()), next_use{number, 0, created}
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

connection_use http_connection::begin_request(const std::string& identity)
{
    const connection_use use = this->next_use;
    ++this->next_use.earlier_requests;
    if (!identity.empty())
    {
        this->carried.push_back(hash_of(identity));
    }
    return use;
}

bool http_connection::accepts(const std::string& identity) const
{
    return identity.empty() ||
           (!this->is_used_up() &&
            std::find(this->carried.begin(), this->carried.end(),
                      hash_of(identity)) == this->carried.end());
}

bool http_connection::is_used_up() const
{
    return this->carried.size() >= max_identities;
}

bool http_connection::is_delivered() const
{
    bufferevent* link = evhttp_connection_get_bufferevent(this->connection);
    if (evbuffer_get_length(bufferevent_get_output(link)) > 0)
    {
        return false;
    }
    // The kernel takes megabytes of which the server may never read any. Where
    // it does not tell, what the kernel has taken counts as delivered.
    int undelivered = 0;
    return ::ioctl(bufferevent_getfd(link), SIOCOUTQ, &undelivered) != 0 ||
           undelivered == 0;
}

bool http_connection::has_failed() const
{
    // After the end of the server's side, reading reports no reset any more.
    int failure = 0;
    socklen_t length = sizeof(failure);
    const int descriptor =
        bufferevent_getfd(evhttp_connection_get_bufferevent(this->connection));
    return ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &length) !=
               0 ||
           failure != 0;
}

bool http_connection::is_open() const
{
    return bufferevent_getfd(
               evhttp_connection_get_bufferevent(this->connection)) >= 0;
}

bool http_connection::has_unread_bytes() const
{
    bufferevent* link = evhttp_connection_get_bufferevent(this->connection);
    return evbuffer_get_length(bufferevent_get_input(link)) > 0;
}

} // namespace parsleytrack::net::detail
