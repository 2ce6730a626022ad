#pragma once

namespace parsleytrack::net
{

/// Has the kernel probe a connection while nothing comes, and give it up after
/// about three seconds of silence.
///
/// \param descriptor A connected TCP socket.
void enable_tcp_keepalive(int descriptor);

} // namespace parsleytrack::net
