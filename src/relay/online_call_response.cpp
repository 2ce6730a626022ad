// How the response of a replica is passed on to the caller.

#include "relay/online_call.hpp"
#include "relay/stream_head.hpp"

#include <string>

namespace parsleytrack::relay
{

namespace
{

/// Most bytes of a stream that are buffered for a slow caller. A caller that
/// keeps up has a few events buffered; a node has memory for dozens of slow
/// callers.
constexpr std::size_t max_unread_bytes = 256 * 1024;
/// Longest body of an error response that is passed on to the caller.
constexpr std::size_t max_error_body_bytes = 1024 * 1024;

} // namespace

void online_call::handle_head(const net::http_response& head)
{
    this->collected_status = head.status;
    this->restart_silence_timer();
    if (this->peer == exchange_peer::node)
    {
        const std::string* version =
            net::find_header(head.headers, hop_fields::version);
        this->replica.version =
            software_version(version == nullptr ? "" : *version);
    }
    if (!this->is_stream())
    {
        // The idle timeout of the HTTP client applies to the body.
        this->silence_timer.cancel();
    }
    if (!net::is_success(head.status))
    {
        return;
    }
    // The first replica's head is passed on, so that the others must agree.
    if (this->response_started && (head.status != this->stream_status ||
                                   !may_be_event_stream(head.headers)))
    {
        this->attempt->abort("the response is no stream that goes on");
        return;
    }
    this->restart_stall_timer();
}

void online_call::handle_chunk(std::string_view chunk)
{
    this->restart_silence_timer();
    if (!net::is_success(this->collected_status))
    {
        this->collected_body += chunk;
        if (this->collected_body.size() > max_error_body_bytes)
        {
            this->attempt->abort("the body of the error response is too long");
        }
        return;
    }
    if (!this->follow_replacement())
    {
        this->attempt->abort("the replica runs another software version");
        return;
    }
    const event_sequence before = this->sequence;
    std::string ready;
    const char* problem = nullptr;
    for (const stream_event& event : this->splitter.feed(chunk))
    {
        problem = this->sequence.append(event);
        if (problem != nullptr)
        {
            break;
        }
        ready += event.raw;
        this->version = this->replica.version;
        ++this->attempt_events;
    }
    if (problem == nullptr && this->splitter.is_too_long())
    {
        problem = "an event exceeds the size limit";
    }
    if (problem == nullptr && this->held &&
        this->held->bytes.size() > max_unread_bytes)
    {
        problem = "too many events wait for the version to be confirmed";
    }
    if ((this->hold(ready, before) || this->pass_on(ready)) &&
        problem != nullptr)
    {
        this->attempt->abort(problem);
    }
}

bool online_call::pass_on(const std::string& events)
{
    if (events.empty())
    {
        return true;
    }
    this->restart_stall_timer();
    if (!this->response_started)
    {
        this->response_started = true;
        this->stream_status = this->collected_status;
        this->first_output_at = net::event_loop::now();
        this->exchange->start_stream(
            this->collected_status,
            this->response_headers(this->attempt->head_fields()));
    }
    this->exchange->write_chunk(events);
    if (this->exchange->pending_output_bytes() <= max_unread_bytes)
    {
        return true;
    }
    this->fail(error{error_code::deadline_exceeded,
                     "the caller does not read the response",
                     ran_state::unknown,
                     {}});
    return false;
}

} // namespace parsleytrack::relay
