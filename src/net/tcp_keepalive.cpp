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

// Idle time before the first probe, and time between probes.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;

bool set_option(int descriptor, int level, int name, int value)
{
    return ::setsockopt(descriptor, level, name, &value, sizeof(value)) == 0;
}

} // namespace

void enable_tcp_keepalive(int descriptor, std::chrono::seconds limit)
{
    const int probe_count =
        (static_cast<int>(limit.count()) - keepalive_idle_s) /
        keepalive_interval_s;
    const int unacknowledged_timeout_ms =
        static_cast<int>(std::chrono::milliseconds(limit).count());
    const bool enabled =
        set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1) &&
        set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s) &&
        set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
                   keepalive_interval_s) &&
        set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probe_count) &&
        set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   unacknowledged_timeout_ms);
    if (!enabled)
    {
        log_event(log_level::warning, "connection_not_probed",
                  {{"errno", errno}});
    }
}

} // namespace parsleytrack::net
