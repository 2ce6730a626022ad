#pragma once

#include <string>
#include <string_view>

namespace parsleytrack::net
{

/// Why a server ends a connection that it does not serve.
enum class caller_refusal
{
    head_too_large,
    too_slow,
    body_too_large,
    /// The end of the body can be read in several ways.
    ambiguous_length,
    /// The body budget is used up.
    over_budget,
    /// The caller does not read its response.
    reads_nothing,
    /// As many connections are open as the server accepts.
    too_many_connections
};

/// \returns The value of the label "reason".
std::string_view to_string(caller_refusal reason);

/// \param spread Spreads the retries of refused callers; any number.
/// \returns The complete response; empty if there is none.
std::string refusal_response(caller_refusal reason, std::size_t spread);

} // namespace parsleytrack::net
