#include "relay/output_limit.hpp"

namespace parsleytrack::relay
{

output_limit::output_limit(std::optional<token_count> output_tokens)
{
    // An event holds at least one token.
    if (output_tokens &&
        output_tokens->count() < this->max_events - extra_events)
    {
        this->max_events = output_tokens->count() + extra_events;
    }
}

} // namespace parsleytrack::relay
