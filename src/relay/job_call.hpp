#pragma once

#include "units/ids.hpp"

#include <cstddef>
#include <string>

namespace parsleytrack::relay
{

/// A caller's call about a job that was accepted before.
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
    /// read_results: the first position that is wanted.
    std::size_t after = 0;
    /// read_item_body: which item.
    std::string item;
};

} // namespace parsleytrack::relay
