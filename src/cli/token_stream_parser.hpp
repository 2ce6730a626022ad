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

/// Reads one streamed answer and measures it.
class token_stream_parser
{
public:
    /// Takes a piece of the body.
    void add(std::string_view piece, time_point now);

    /// \returns When each token came.
    const std::vector<time_point>& token_times() const
    {
        return this->arrival_times;
    }

    /// \returns Whether the answer's last event has come.
    bool is_complete() const { return this->complete; }

    /// \returns The pieces that were no events: the body of a refusal.
    const std::string& non_event_body() const { return this->buffer; }

private:
    void parse_line(std::string_view line, time_point now);

    std::string buffer;
    std::vector<time_point> arrival_times;
    bool complete = false;
};

/// \param body Body of a refusal.
/// \param status Its HTTP status.
/// \returns The reason that it gives.
std::string refusal_reason(const std::string& body, int status);

} // namespace parsleytrack::cli
