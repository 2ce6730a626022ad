#pragma once

#include "backends/event_stream_reader.hpp"
#include "net/http_call.hpp"
#include "net/http_header_list.hpp"
#include "net/timer.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"

#include <memory>
#include <string>

namespace parsleytrack
{

/// What has come of an attempt at an online request so far.
struct online_attempt
{
    attempt_number number;
    replica_id replica;
    std::unique_ptr<net::http_call> call;
    /// Set while the answer is read as server-sent events.
    std::unique_ptr<backends::event_stream_reader> reader;
    net::timer idle_timer;
    int status = 0;
    net::http_header_list headers;
    /// An answer that is kept whole.
    std::string body;
    bool has_head = false;
    bool has_finish_reason = false;
    bool too_large = false;
};

} // namespace parsleytrack
