#pragma once

namespace parsleytrack
{

/// Whether a failed request may have been executed.
enum class ran_state
{
    /// No byte of it has reached a backend server.
    no,
    /// It may have been executed, fully or in part.
    unknown
};

/// \returns The value of the field "ran" in an error response.
constexpr const char* to_string(ran_state state)
{
    return state == ran_state::no ? "no" : "unknown";
}

} // namespace parsleytrack
