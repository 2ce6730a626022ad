#pragma once

#include "units/ids.hpp"

#include <cstddef>
#include <string>

namespace parsleytrack::relay
{

/// A caller's request about a job that was accepted before.
struct job_call
{
    enum class operation
    {
        read_results,
        read_item_body,
        cancel
    };

    operation requested = operation::read_results;
    job_id job;
    /// read_results: position of the first result to return.
    std::size_t after = 0;
    /// read_item_body: ID of the item.
    std::string item;
};

} // namespace parsleytrack::relay
