#pragma once

#include "units/endpoint.hpp"

namespace parsleytrack::relay_support
{

/// Keeps a port from other processes while connections to it are refused.
class held_port
{
public:
    /// \param address An address on which nobody listens now. Throws
    /// std::runtime_error if it is in use.
    explicit held_port(const endpoint& address);
    ~held_port();
    held_port(const held_port&) = delete;
    held_port& operator=(const held_port&) = delete;

private:
    int descriptor;
};

} // namespace parsleytrack::relay_support
