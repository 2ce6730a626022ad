#pragma once

#include "daemon/node_context.hpp"

#include <functional>
#include <memory>
#include <string>

namespace parsleytrack
{

/// Asks other nodes for something that a node has missed, one at a time.
class peer_fetch
{
public:
    using callback = std::function<void(result<std::string>)>;

    /// \param node What the modules share.
    /// \param type The request.
    peer_fetch(node_context& node, wire::message_type type);

    /// \returns Whether an answer is awaited.
    bool is_busy() const { return this->call != nullptr; }

    /// Asks a node, unless an answer is awaited already.
    ///
    /// \param target A known node, but not this one.
    /// \param payload The request's bytes.
    /// \param on_end Gets the answer.
    /// \returns Whether the node is asked now.
    bool ask(const node_id& target, const std::string& payload,
             callback on_end);

    /// \returns Any other node that is alive; empty when there is none.
    node_id any_peer() const;

private:
    node_context& context;
    wire::message_type message;
    std::unique_ptr<wire::peer_call> call;
};

} // namespace parsleytrack
