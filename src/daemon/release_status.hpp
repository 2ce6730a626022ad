#pragma once

#include "daemon/node_context.hpp"

#include <functional>
#include <memory>

namespace parsleytrack
{

namespace wire
{
class release_progress_reply;
}

/// Answers GET /v1/release/status by asking all nodes of the region.
class release_status
{
public:
    /// Gives this node's own part of the answer.
    using source = std::function<wire::release_progress_reply()>;

    release_status(node_context& node, source own_progress);

private:
    void answer(const std::shared_ptr<net::http_exchange>& exchange);

    node_context& context;
    source own;
};

} // namespace parsleytrack
