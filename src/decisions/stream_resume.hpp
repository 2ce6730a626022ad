#pragma once

#include "units/numbers.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace parsleytrack
{

/// Keeps a streamed answer whole over several attempts: each goes on where the
/// text that the caller has received ends, and only the attempt that owns the
/// answer adds to it.
class stream_resume
{
public:
    /// Gives the answer to the next attempt.
    ///
    /// \returns The attempt; 1 for the first.
    attempt_number begin_attempt();

    /// Ends the attempt that owns the answer; nothing more of it is taken.
    void end_attempt() { this->owner.reset(); }

    /// Adds text of an attempt.
    ///
    /// \param attempt Which attempt it came from.
    /// \param text What follows the text so far.
    /// \returns Whether the attempt owns the answer, so that the text is to be
    /// passed on.
    bool accept(attempt_number attempt, std::string_view text);

    /// Marks the answer as whole.
    ///
    /// \returns Whether the attempt owns the answer.
    bool complete(attempt_number attempt);

    /// \returns Whether an attempt owns the answer.
    bool owns(attempt_number attempt) const { return this->owner == attempt; }

    /// \returns What the next attempt is to go on after.
    const std::string& resume_text() const { return this->received; }

    bool is_complete() const { return this->whole; }
    attempt_number last_attempt() const { return this->newest; }

private:
    attempt_number newest;
    std::optional<attempt_number> owner;
    std::string received;
    bool whole = false;
};

} // namespace parsleytrack
