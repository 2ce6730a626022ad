#pragma once

#include "units/time.hpp"

namespace parsleytrack::allotments
{

/// Why a request of a limited workspace must not be sent.
struct allotment_refusal
{
    /// Whether the workspace has sent all requests of its limit (429);
    /// otherwise this node does not know (503).
    bool over_limit = false;
    /// When another attempt may succeed, with jitter.
    duration retry_after = duration::zero();
};

} // namespace parsleytrack::allotments
