#pragma once

#include "net/event_loop.hpp"
#include "units/endpoint.hpp"

#include <string>

namespace parsleytrack::relay_support
{

/// A caller's connection over which arbitrary bytes can be sent.
class raw_caller
{
public:
    /// Connects. Fails the test if the node refuses.
    ///
    /// \param event_loop Outlives this object.
    raw_caller(net::event_loop& event_loop, const endpoint& node);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void send(const std::string& text) const;

    /// Reads until the node closes the connection. Fails the test if it resets
    /// the connection, or keeps it open for ten seconds.
    std::string read_to_end() const;

private:
    net::event_loop& loop;
    int descriptor;
};

} // namespace parsleytrack::relay_support
