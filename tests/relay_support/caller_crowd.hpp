#pragma once

#include "net/event_loop.hpp"
#include "units/endpoint.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::relay_support
{

/// Callers' connections that send their bytes side by side, read and discard
/// what the node answers, and stay open when everything is sent.
class caller_crowd
{
public:
    /// \param piece_bytes Most bytes that a caller sends before the others send
    /// theirs.
    caller_crowd(net::event_loop& event_loop, endpoint node,
                 std::size_t piece_bytes);
    ~caller_crowd();
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;

    /// Makes the callers added from now on connect from several client
    /// addresses by turns; from one if this is not called.
    void use_addresses(std::size_t count) { this->address_count = count; }

    /// Opens connections; throws if one cannot be opened.
    ///
    /// \param text What each of them sends, from the start of the request.
    void add(std::size_t count, std::shared_ptr<const std::string> text);

    /// Sends until the node has read all bytes or closed their connections, or
    /// for 20 seconds.
    void send_all();

private:
    struct caller
    {
        int descriptor = -1;
        std::shared_ptr<const std::string> text;
        std::size_t sent = 0;
    };

    /// \returns Whether bytes are left to send.
    bool send_piece(caller& member) const;
    /// \returns Bytes that the system holds for the node, sent or not.
    std::size_t unread_bytes() const;
    static bool reads_end(const caller& member);
    void bind_address(int descriptor) const;

    net::event_loop& loop;
    endpoint node;
    std::size_t piece;
    std::size_t address_count = 1;
    std::vector<caller> callers;
};

} // namespace parsleytrack::relay_support
