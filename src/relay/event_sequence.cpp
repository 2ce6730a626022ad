#include "relay/event_sequence.hpp"

namespace parsleytrack::relay
{

event_sequence::event_sequence(event_numbering guaranteed,
                               std::int64_t last_received)
    : numbering(guaranteed), last(last_received),
      is_numbered(last_received > 0), any_received(last_received > 0)
{
}

void event_sequence::begin_run()
{
    this->run_is_numbered = false;
    this->run_received = false;
}

const char* event_sequence::append(const stream_event& event)
{
    if (!event.is_sound)
    {
        return "the stream contains bytes that are no event";
    }
    if (!event.number && !event.has_data)
    {
        return nullptr;
    }
    if (event.number)
    {
        if (const char* problem = this->check_number(*event.number))
        {
            return problem;
        }
        this->is_gapless =
            this->is_gapless &&
            (!this->is_numbered || *event.number == this->last + 1);
        this->last = *event.number;
        this->is_numbered = true;
        this->run_is_numbered = true;
    }
    else if (this->numbering == event_numbering::consecutive ||
             (this->is_numbered && !this->run_is_numbered))
    {
        return "the place of an event without a number is not known";
    }
    this->any_received = true;
    this->run_received = true;
    return nullptr;
}

const char* event_sequence::check_number(std::int64_t number) const
{
    if (this->is_numbered && number <= this->last)
    {
        return "the stream does not go on after the last event";
    }
    const bool must_be_next =
        this->numbering == event_numbering::consecutive ||
        (this->is_numbered && !this->run_is_numbered && this->is_gapless);
    return must_be_next && number != this->last + 1
               ? "an event of the stream is missing"
               : nullptr;
}

} // namespace parsleytrack::relay
