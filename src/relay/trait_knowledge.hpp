#pragma once

#include "routing/crash_history.hpp"
#include "routing/crash_report.hpp"
#include "routing/trait_quarantine.hpp"
#include "units/ids.hpp"
#include "units/result.hpp"
#include "units/time.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::relay
{

/// What a node knows of traits of prompts, as it tells other nodes.
struct trait_knowledge
{
    /// The traits that the other node is asked about.
    std::vector<request_trait> asked;
    std::vector<routing::crash_report> crashes;
    /// When a replica last survived a trait.
    std::map<request_trait, time_point> survivals;
    std::vector<routing::trait_verdict> verdicts;
};

/// \returns What a node replies to an inquiry about the traits.
trait_knowledge known_of(const routing::crash_history& history,
                         const routing::trait_quarantine& quarantine,
                         const std::vector<request_trait>& traits,
                         time_point now);

/// \param now The sender's time; a message contains ages, since nodes do not
/// share a clock.
std::string encode(const trait_knowledge& knowledge, time_point now);

/// \param now The receiver's time.
result<trait_knowledge> decode_trait_knowledge(std::string_view bytes,
                                               time_point now);

} // namespace parsleytrack::relay
