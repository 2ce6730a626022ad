#pragma once

#include "net/http_response.hpp"
#include "units/result.hpp"
#include "units/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::cli
{

/// Parses one streamed response and records when its tokens arrived.
class token_stream_parser
{
public:
    /// Parses the next piece of the body, which arrived at `now`.
    void add(std::string_view piece, time_point now);

    /// \returns The arrival time of each event with text, taken as one token.
    const std::vector<time_point>& token_times() const
    {
        return this->arrival_times;
    }

    /// \returns Whether the final event, "[DONE]", has arrived.
    bool is_complete() const { return this->complete; }

    /// \returns The body after its last line break: all of a refusal that is
    /// written on one line.
    const std::string& non_event_body() const { return this->buffer; }

private:
    void parse_line(std::string_view line, time_point now);

    std::string buffer;
    std::vector<time_point> arrival_times;
    bool complete = false;
};

/// \param body Response body of a refusal.
/// \param status Its HTTP status.
/// \returns The reason named in the body; "status N" when it names none.
std::string refusal_reason(const std::string& body, int status);

} // namespace parsleytrack::cli
