#pragma once

#include "routing/crash_report.hpp"
#include "routing/part_quarantine.hpp"
#include "units/ids.hpp"
#include "units/result.hpp"
#include "units/time.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::relay
{

/// What a node knows of parts of prompts, as it tells other nodes.
struct part_knowledge
{
    /// The parts that the other node is asked about.
    std::vector<prompt_part_id> asked;
    std::vector<routing::crash_report> crashes;
    /// When a replica last survived a part.
    std::map<prompt_part_id, time_point> survivals;
    std::vector<routing::part_verdict> verdicts;
};

/// \param now The sender's time; a message contains ages, since nodes do not
/// share a clock.
std::string encode(const part_knowledge& knowledge, time_point now);

/// \param now The receiver's time.
result<part_knowledge> decode_part_knowledge(std::string_view bytes,
                                             time_point now);

} // namespace parsleytrack::relay
