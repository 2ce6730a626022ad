#pragma once

#include "daemon/node_context.hpp"
#include "storage/segment_store.hpp"

namespace parsleytrack
{

/// Answers other nodes' requests for the segments and records of this keeper.
class keeper_service
{
public:
    /// Registers the handlers; both parameters must outlive them.
    ///
    /// \param node What the modules share.
    /// \param store This node's segments.
    keeper_service(node_context& node, storage::segment_store& store);
};

} // namespace parsleytrack
