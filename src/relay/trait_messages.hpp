#pragma once

#include "relay/trait_knowledge.hpp"
#include "routing/crash_history.hpp"
#include "wire/peer_exchange.hpp"

#include <optional>

namespace parsleytrack::relay
{

/// Reads a message of another node; one that cannot be read is refused.
///
/// \param event Name of the log event of a refusal.
/// \returns The message; absent if it was refused.
std::optional<trait_knowledge> read_message(wire::peer_exchange& exchange,
                                            const char* event, time_point now);

/// Handles an inquiry: adds what it says of crashes and survivals, and replies
/// with what is known of the traits that it asks about.
void answer_inquiry(wire::peer_exchange& exchange,
                    routing::crash_history& history,
                    const routing::trait_quarantine& quarantine);

} // namespace parsleytrack::relay
