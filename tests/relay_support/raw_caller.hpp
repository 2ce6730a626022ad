#pragma once

#include "net/event_loop.hpp"
#include "units/endpoint.hpp"

#include <optional>
#include <string>

namespace parsleytrack::relay_support
{

/// A caller's connection over which arbitrary bytes can be sent.
class raw_caller
{
public:
    /// Throws if the connection cannot be opened.
    raw_caller(net::event_loop& event_loop, const endpoint& node);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void send(const std::string& text) const;

    /// Reads until the node closes the connection; throws if it does not, or
    /// resets the connection.
    std::string read_to_end();

    /// The same, but the node may also reset the connection, as it may when it
    /// breaks a response off while the caller sends.
    std::string read_until_lost();

    /// Reads until the bytes received so far contain a text.
    ///
    /// \returns Whether they do before the connection ends or the wait times
    /// out.
    bool read_until(const std::string& wanted);

private:
    enum class read_result
    {
        nothing,
        bytes,
        end,
        reset
    };

    read_result read();
    /// \returns Whether the connection has ended in order or by a reset.
    read_result read_all();

    net::event_loop& loop;
    int descriptor;
    std::string received;
};

} // namespace parsleytrack::relay_support
