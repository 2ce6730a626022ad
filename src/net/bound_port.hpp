#pragma once

#include <cstdint>

namespace parsleytrack::net
{

/// \param descriptor A bound IPv4 socket.
/// \returns The port that the socket is bound to.
std::uint16_t bound_port(int descriptor);

} // namespace parsleytrack::net
