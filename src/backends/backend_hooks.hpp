#pragma once

#include "net/http_header_list.hpp"
#include "units/result.hpp"

#include <functional>
#include <string_view>

namespace parsleytrack::backends
{

/// What a gate wants to hear of a request to a backend server.
struct backend_hooks
{
    /// Status and fields of an answer that is to be passed on.
    std::function<void(int status, const net::http_header_list&)> on_head;
    /// Each piece of the answer's body.
    std::function<void(std::string_view)> on_piece;
    /// The end: true, or why there is no whole answer. ran_state::no only when
    /// the connection could not be opened.
    std::function<void(result<bool>)> on_end;
};

} // namespace parsleytrack::backends
