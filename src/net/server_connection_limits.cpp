// The limits of a connection, and how it ends when one is exceeded.

#include "net/body_framing.hpp"
#include "net/connection_table.hpp"
#include "net/http_server.hpp"
#include "net/server_connection.hpp"
#include "net/server_request_head.hpp"

#include <event2/buffer.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace parsleytrack::net::detail
{

namespace
{

constexpr std::string_view head_end = "\r\n\r\n";
/// How long the connection of a refused request stays open, so that the caller
/// can read the response before a reset. Several round trips.
constexpr timeval refused_connection_timeout{1, 0};
/// The same for a caller that goes on sending.
constexpr duration max_discard_time = std::chrono::seconds(3);
/// Most bytes of a refused request that are read and discarded, as a multiple
/// of the largest body, so that a caller that sends a body a little over the
/// limit gets the response.
constexpr std::size_t max_discarded_bodies = 2;
/// Unread input beyond the largest head: four reads.
constexpr std::size_t input_margin = std::size_t{64} * 1024;
/// Waiting output from which a connection may be closed although its request
/// may have run: the caller does not keep up.
constexpr std::size_t large_output_bytes = std::size_t{16} * 1024;
/// How long a caller may read nothing of its response; longer than it waits for
/// the response itself.
constexpr duration max_unread_time = std::chrono::seconds(60);

} // namespace

void server_connection::limit_input()
{
    const auto head =
        static_cast<std::size_t>(this->owner.limits().max_head.count());
    bufferevent_setwatermark(this->link, EV_READ, 0, head + input_margin);
}

bool server_connection::may_read_head(evbuffer* input)
{
    const auto limit =
        static_cast<std::size_t>(this->owner.limits().max_head.count());
    const evbuffer_ptr end =
        evbuffer_search(input, head_end.data(), head_end.size(), nullptr);
    const std::size_t length = end.pos >= 0 ? static_cast<std::size_t>(end.pos)
                                            : evbuffer_get_length(input);
    if (length > limit)
    {
        this->refuse(caller_refusal::head_too_large);
        return false;
    }
    if (end.pos < 0)
    {
        this->report_buffers(0);
        return false;
    }
    const auto* text = reinterpret_cast<const char*>(
        evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
    const std::string_view head(text, text == nullptr ? 0 : length);
    if (this->is_over_body_limit(declared_body_bytes(head)))
    {
        this->refuse(caller_refusal::body_too_large);
        return false;
    }
    if (!is_framing_clear(head))
    {
        this->refuse(caller_refusal::ambiguous_length);
        return false;
    }
    this->read_target(input);
    return true;
}

bool server_connection::is_over_body_limit(std::uint64_t bytes) const
{
    const std::int64_t limit = this->owner.limits().max_body.count();
    return limit > 0 && bytes > static_cast<std::uint64_t>(limit);
}

void server_connection::discard(evbuffer* input)
{
    const std::size_t length = evbuffer_get_length(input);
    evbuffer_drain(input, length);
    this->discarded_bytes += length;
    if (this->is_over_body_limit(this->discarded_bytes / max_discarded_bodies))
    {
        this->close();
    }
}

void server_connection::refuse(caller_refusal reason)
{
    if (this->refused)
    {
        return;
    }
    const time_point now = event_loop::now();
    // While the request may run, the end of the connection is the only answer
    // that promises nothing.
    const bool has_answer = !this->is_idle() && !this->may_run();
    const std::string response =
        has_answer ? refusal_response(
                         reason, static_cast<std::size_t>(this->number.count()))
                   : std::string();
    this->owner.connections().count_refusal(reason, response,
                                            now - this->waiting_since);
    if (response.empty())
    {
        this->close();
        return;
    }
    this->refused = true;
    this->refused_at = now;
    this->end_exchange();
    evbuffer* input = bufferevent_get_input(this->link);
    evbuffer_drain(input, evbuffer_get_length(input));
    bufferevent_enable(this->link, EV_READ);
    bufferevent_write(this->link, response.data(), response.size());
    bufferevent_set_timeouts(this->link, &refused_connection_timeout,
                             &refused_connection_timeout);
    this->report_buffers(0);
}

bool server_connection::reads_too_little() const
{
    return evbuffer_get_length(bufferevent_get_output(this->link)) >
           large_output_bytes;
}

void server_connection::report_buffers(std::size_t received)
{
    const bool holds_body = this->current && this->current->is_open();
    const std::size_t held = holds_body ? this->body_bytes : 0;
    const std::size_t input =
        evbuffer_get_length(bufferevent_get_input(this->link));
    const std::size_t output =
        evbuffer_get_length(bufferevent_get_output(this->link));
    const std::size_t sent =
        this->last_output - std::min(this->last_output, output);
    if (output == 0 || sent > 0)
    {
        this->output_moved_at = event_loop::now();
    }
    this->last_output = output;
    this->owner.connections().report(
        this->number,
        {held + input + output,
         !this->may_run() || output > large_output_bytes},
        received + sent);
}

void server_connection::enforce_timeouts(time_point now)
{
    this->report_buffers(0);
    if (this->refused && now - this->refused_at > max_discard_time)
    {
        this->close();
        return;
    }
    if (this->last_output > 0 && now - this->output_moved_at > max_unread_time)
    {
        this->refuse(caller_refusal::reads_nothing);
        return;
    }
    if (this->refused || this->may_run())
    {
        return;
    }
    const connection_limits& limits = this->owner.limits();
    const bool reads_head = !this->has_request && this->has_partial_head;
    const duration limit =
        reads_head ? limits.head_timeout : limits.idle_timeout;
    if (limit <= duration::zero() || now - this->waiting_since <= limit)
    {
        return;
    }
    if (this->has_request || reads_head)
    {
        this->refuse(caller_refusal::too_slow);
        return;
    }
    this->close();
}

} // namespace parsleytrack::net::detail
