#pragma once

#include "daemon/gate_client.hpp"
#include "daemon/node_context.hpp"
#include "daemon/once_module.hpp"
#include "decisions/replica_picker.hpp"
#include "decisions/retry_policy.hpp"

namespace parsleytrack
{

/// What the online requests of a node share.
struct online_services
{
    node_context& context;
    gate_client& gates;
    once_module& once;
    replica_picker& picker;
    retry_policy& retries;
};

} // namespace parsleytrack
