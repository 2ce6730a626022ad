#pragma once

namespace parsleytrack::net
{

/// Enables TCP keepalive, so that the kernel resets the connection after the
/// peer has been unreachable for about three seconds.
///
/// \param descriptor A connected TCP socket.
void enable_tcp_keepalive(int descriptor);

} // namespace parsleytrack::net
