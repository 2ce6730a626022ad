#pragma once

#include "relay/stream_event.hpp"

#include <cstdint>

namespace parsleytrack::relay
{

/// How the events of a response are numbered.
enum class event_numbering
{
    /// Each number is higher than the one before.
    increasing,
    /// From 1, without gaps.
    consecutive
};

/// Checks that the events of a response follow each other, also when several
/// runs have sent them.
class event_sequence
{
public:
    /// \param numbering What replicas guarantee of the numbers.
    /// \param last Number of the last event received; 0 before the first.
    explicit event_sequence(event_numbering numbering, std::int64_t last = 0);

    /// From now on, events are those of a further run.
    void begin_run();

    /// Takes the next event, unless it cannot follow those before.
    ///
    /// \returns Why it cannot; nullptr if it was taken.
    const char* append(const stream_event& event);

    /// \returns Number of the last event received; 0 before the first.
    std::int64_t last_number() const { return this->last; }

    /// \returns Whether any run has sent an event; comments are none.
    bool has_events() const { return this->any_received; }

    /// \returns Whether the current run has sent an event.
    bool run_has_events() const { return this->run_received; }

private:
    const char* check_number(std::int64_t number) const;

    event_numbering numbering;
    std::int64_t last;
    /// Whether there was a numbered event, in any run and in the current one.
    bool is_numbered;
    bool run_is_numbered = false;
    bool any_received;
    bool run_received = false;
    /// Whether no number was left out so far.
    bool is_gapless = true;
};

} // namespace parsleytrack::relay
