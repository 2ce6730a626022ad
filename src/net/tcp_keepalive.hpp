#pragma once

#include "units/time.hpp"

namespace parsleytrack::net
{

/// Enables TCP keepalive, so that the kernel resets a connection whose peer has
/// become unreachable.
///
/// \param descriptor A connected TCP socket.
/// \param limit How long the peer may be unreachable; two seconds or more, in
/// whole seconds.
void enable_tcp_keepalive(int descriptor, std::chrono::seconds limit);

} // namespace parsleytrack::net
