#pragma once

#include "daemon/node_context.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace parsleytrack
{

/// The calls to other nodes that one module has under way. Destroying the set
/// cancels them.
class call_set
{
public:
    using end_callback = std::function<void(result<std::string>)>;

    explicit call_set(node_context& node) : context(node) {}

    /// Calls another node.
    ///
    /// \param target The node's peer address.
    /// \param type Which request it is.
    /// \param payload The request's bytes.
    /// \param timeout Longest time to wait for the answer.
    /// \param on_end Gets the answer; never called before call() has returned.
    void call(const endpoint& target, wire::message_type type,
              std::string_view payload, duration timeout, end_callback on_end);

private:
    node_context& context;
    std::map<std::uint64_t, std::unique_ptr<wire::peer_call>> pending;
    std::uint64_t next_number = 0;
};

} // namespace parsleytrack
