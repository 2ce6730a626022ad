#pragma once

#include "decisions/replica_summary.hpp"
#include "net/http_header_list.hpp"
#include "units/result.hpp"

#include <functional>
#include <string_view>

namespace parsleytrack
{

/// The head of an answer that a gate passes back.
struct forward_head
{
    int status = 0;
    net::http_header_list headers;
    /// The replica's state when the answer began.
    replica_summary summary;
};

/// What the entry node wants to hear of an attempt.
struct forward_hooks
{
    std::function<void(const forward_head&)> on_head;
    std::function<void(std::string_view)> on_piece;
    /// The end: true when the answer is whole, or why it is not.
    std::function<void(result<bool>)> on_end;
};

} // namespace parsleytrack
