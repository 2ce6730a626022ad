#pragma once

#include "backends/backend_request.hpp"
#include "decisions/gate_work.hpp"
#include "units/result.hpp"

#include <functional>
#include <string_view>

namespace parsleytrack
{

/// A request or batch item that was given to a gate, with whom to tell.
struct replica_job
{
    /// Its id is set by the runner.
    gate_work work;
    /// Gives the request to send; called at each start, since a preempted
    /// item goes on after the text that it has.
    std::function<backends::backend_request()> make_request;
    std::function<void(int status, const net::http_header_list&)> on_head;
    std::function<void(std::string_view)> on_piece;
    /// The end of the job: true when its answer is whole, or why it is not.
    std::function<void(result<bool>)> on_end;
    /// Batch only: the item is handed back unfinished.
    std::function<void(bool preempted)> on_return;
    /// Batch only: whether all of the answer has come, although the request
    /// is being cancelled.
    std::function<bool()> is_whole;
};

} // namespace parsleytrack
