#include "relay/part_knowledge.hpp"

#include "wire/codec.hpp"
#include "wire/generated/prompt_parts_types.h"

#include <algorithm>
#include <cstdint>

namespace parsleytrack::relay
{

namespace
{

std::vector<std::string> to_text(const std::vector<prompt_part_id>& parts)
{
    std::vector<std::string> list;
    for (const prompt_part_id& part : parts)
    {
        list.push_back(part.str());
    }
    return list;
}

std::vector<prompt_part_id> to_parts(const std::vector<std::string>& list)
{
    std::vector<prompt_part_id> parts;
    for (const std::string& text : list)
    {
        parts.emplace_back(text);
    }
    return parts;
}

/// \param age_ms An age as received; a negative one counts as zero.
time_point time_of(std::int64_t age_ms, time_point now)
{
    return now - std::chrono::milliseconds(std::max<std::int64_t>(0, age_ms));
}

} // namespace

std::string encode(const part_knowledge& knowledge, time_point now)
{
    wire::part_knowledge message;
    message.parts = to_text(knowledge.asked);
    for (const routing::crash_report& report : knowledge.crashes)
    {
        wire::part_crash& crash = message.crashes.emplace_back();
        crash.request = report.request.str();
        crash.replica_process = report.replica_process.str();
        crash.parts = to_text(report.parts);
        crash.age_ms = to_milliseconds(now - report.at);
    }
    for (const auto& [part, when] : knowledge.survivals)
    {
        wire::part_survival& survival = message.survivals.emplace_back();
        survival.part = part.str();
        survival.age_ms = to_milliseconds(now - when);
    }
    for (const routing::part_verdict& known : knowledge.verdicts)
    {
        wire::part_verdict& verdict = message.verdicts.emplace_back();
        verdict.part = known.part.str();
        verdict.blocked = known.blocked;
        verdict.revision = known.revision;
        verdict.trial_in_ms = to_milliseconds(known.trial_at - now);
        verdict.hold_ms = to_milliseconds(known.hold);
    }
    return wire::encode(message);
}

result<part_knowledge> decode_part_knowledge(std::string_view bytes,
                                             time_point now)
{
    const auto message = wire::decode<wire::part_knowledge>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    part_knowledge knowledge;
    knowledge.asked = to_parts(message.value().parts);
    for (const wire::part_crash& crash : message.value().crashes)
    {
        knowledge.crashes.push_back(routing::crash_report{
            request_id(crash.request),
            replica_process_id(crash.replica_process), to_parts(crash.parts),
            time_of(crash.age_ms, now)});
    }
    for (const wire::part_survival& survival : message.value().survivals)
    {
        knowledge.survivals[prompt_part_id(survival.part)] =
            time_of(survival.age_ms, now);
    }
    for (const wire::part_verdict& received : message.value().verdicts)
    {
        routing::part_verdict& verdict = knowledge.verdicts.emplace_back();
        verdict.part = prompt_part_id(received.part);
        verdict.blocked = received.blocked;
        verdict.revision = received.revision;
        verdict.hold =
            std::clamp<duration>(std::chrono::milliseconds(received.hold_ms),
                                 routing::part_quarantine::first_hold,
                                 routing::part_quarantine::longest_hold);
        verdict.trial_at =
            now + std::clamp<duration>(
                      std::chrono::milliseconds(received.trial_in_ms),
                      duration::zero(), routing::part_quarantine::longest_hold);
    }
    return knowledge;
}

} // namespace parsleytrack::relay
