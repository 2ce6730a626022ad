#pragma once

#include "daemon/forward_hooks.hpp"
#include "daemon/forward_request.hpp"
#include "daemon/gate_module.hpp"
#include "daemon/node_context.hpp"

#include <memory>

namespace parsleytrack
{

/// Passes attempts to the gate of their replica, on this node or another.
class gate_client
{
public:
    gate_client(node_context& node, gate_module& own_gates);

    /// Passes an attempt on.
    ///
    /// \param request The attempt.
    /// \param hooks Whom to tell; not called before send() has returned.
    /// \returns The attempt; destroying it cancels it.
    [[nodiscard]] std::unique_ptr<net::http_call>
    send(const forward_request& request, forward_hooks hooks);

private:
    std::unique_ptr<net::http_call> send_to_peer(const endpoint& gate,
                                                 const forward_request& request,
                                                 forward_hooks hooks);

    node_context& context;
    gate_module& gates;
};

} // namespace parsleytrack
