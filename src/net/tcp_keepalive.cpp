#include "net/tcp_keepalive.hpp"

#include "logging/log.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace parsleytrack::net
{

namespace
{

// Idle time before the first probe, time between probes, number of
// unacknowledged probes that end the connection, and how long sent data may
// stay unacknowledged.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probe_count = 2;
constexpr int unacknowledged_timeout_ms = 3000;

bool set_option(int descriptor, int level, int name, int value)
{
    return ::setsockopt(descriptor, level, name, &value, sizeof(value)) == 0;
}

} // namespace

void enable_tcp_keepalive(int descriptor)
{
    const bool enabled =
        set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1) &&
        set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s) &&
        set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
                   keepalive_interval_s) &&
        set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT,
                   keepalive_probe_count) &&
        set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   unacknowledged_timeout_ms);
    if (!enabled)
    {
        log_event(log_level::warning, "connection_not_probed",
                  {{"errno", errno}});
    }
}

} // namespace parsleytrack::net
