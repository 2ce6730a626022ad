#pragma once

#include "daemon/online_attempt.hpp"
#include "daemon/online_request.hpp"
#include "daemon/online_services.hpp"
#include "decisions/stream_resume.hpp"
#include "net/http_exchange.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace parsleytrack
{

/// One online request from its arrival to its answer, over all its attempts.
class online_call : public std::enable_shared_from_this<online_call>
{
public:
    online_call(online_services& shared, online_request checked,
                std::shared_ptr<net::http_exchange> caller,
                std::function<void()> at_end);

    /// Sends the request.
    void start();

private:
    void acquire_grant();
    void begin_attempt();
    forward_request make_forward(attempt_number number,
                                 const replica_id& replica) const;
    forward_hooks make_hooks(attempt_number number);
    void handle_head(const forward_head& head);
    void handle_piece(std::string_view piece);
    void handle_event(const backends::stream_event& event);
    void handle_end(const result<bool>& outcome);
    void restart_idle_timer();
    void retry_or_fail(const error& reason);
    void finish_attempt();
    void answer_whole();
    void respond(int status, const net::http_header_list& headers,
                 const std::string& body);
    void fail(error reason);
    void caller_left();
    void end();
    bool is_event_stream() const;
    duration time_left() const;
    std::vector<replica_id> live_replicas() const;

    online_services& shared;
    online_request request;
    std::shared_ptr<net::http_exchange> exchange;
    std::function<void()> ended_callback;
    stream_resume progress;
    std::optional<online_attempt> attempt;
    std::set<replica_id> tried;
    /// Attempts that a gate has passed back.
    int passes = 0;
    net::timer backoff;
    bool any_may_have_run = false;
    bool stream_started = false;
    bool ended = false;
};

} // namespace parsleytrack
