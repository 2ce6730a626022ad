#include "net/connection_probe.hpp"

#include "logging/log.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace parsleytrack::net
{

namespace
{

// Seconds of silence before the first probe, seconds between probes, and
// probes without an answer that end the connection.
constexpr int idle_s = 1;
constexpr int interval_s = 1;
constexpr int probes = 2;
constexpr int unacknowledged_ms = 3000;

bool set_option(int descriptor, int level, int name, int value)
{
    return ::setsockopt(descriptor, level, name, &value, sizeof(value)) == 0;
}

} // namespace

void probe_connection(int descriptor)
{
    const bool done =
        set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1) &&
        set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, idle_s) &&
        set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, interval_s) &&
        set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes) &&
        set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   unacknowledged_ms);
    if (!done)
    {
        log_event(log_level::warning, "connection_not_probed",
                  {{"errno", errno}});
    }
}

} // namespace parsleytrack::net
