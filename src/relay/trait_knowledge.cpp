#include "relay/trait_knowledge.hpp"

#include "wire/codec.hpp"
#include "wire/generated/crash_traits_types.h"

#include <algorithm>
#include <cstdint>

namespace parsleytrack::relay
{

namespace
{

std::vector<std::string> to_text(const std::vector<request_trait>& traits)
{
    std::vector<std::string> list;
    for (const request_trait& trait : traits)
    {
        list.push_back(trait.str());
    }
    return list;
}

std::vector<request_trait> to_traits(const std::vector<std::string>& list)
{
    std::vector<request_trait> traits;
    for (const std::string& text : list)
    {
        traits.emplace_back(text);
    }
    return traits;
}

/// \param age_ms An age as received; a negative one counts as zero.
time_point time_of(std::int64_t age_ms, time_point now)
{
    return now - std::chrono::milliseconds(std::max<std::int64_t>(0, age_ms));
}

} // namespace

trait_knowledge known_of(const routing::crash_history& history,
                         const routing::trait_quarantine& quarantine,
                         const std::vector<request_trait>& traits,
                         time_point now)
{
    trait_knowledge known;
    known.crashes = history.reports_with(traits, now);
    for (const request_trait& trait : traits)
    {
        if (const auto when = history.last_survival(trait))
        {
            known.survivals[trait] = *when;
        }
    }
    known.verdicts = quarantine.all();
    return known;
}

std::string encode(const trait_knowledge& knowledge, time_point now)
{
    wire::trait_knowledge message;
    message.traits = to_text(knowledge.asked);
    for (const routing::crash_report& report : knowledge.crashes)
    {
        wire::trait_crash& crash = message.crashes.emplace_back();
        crash.request = report.request.str();
        crash.replica_process = report.replica_process.str();
        crash.traits = to_text(report.traits);
        crash.age_ms = to_milliseconds(now - report.at);
        if (report.after_output)
        {
            crash.__set_after_output(true);
        }
    }
    for (const auto& [trait, when] : knowledge.survivals)
    {
        wire::trait_survival& survival = message.survivals.emplace_back();
        survival.trait = trait.str();
        survival.age_ms = to_milliseconds(now - when);
    }
    for (const routing::trait_verdict& known : knowledge.verdicts)
    {
        wire::trait_verdict& verdict = message.verdicts.emplace_back();
        verdict.trait = known.trait.str();
        verdict.blocked = known.blocked;
        verdict.revision = known.revision;
        verdict.trial_in_ms = to_milliseconds(known.trial_at - now);
        verdict.hold_ms = to_milliseconds(known.hold);
    }
    return wire::encode(message);
}

result<trait_knowledge> decode_trait_knowledge(std::string_view bytes,
                                               time_point now)
{
    const auto message = wire::decode<wire::trait_knowledge>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    trait_knowledge knowledge;
    knowledge.asked = to_traits(message.value().traits);
    for (const wire::trait_crash& crash : message.value().crashes)
    {
        knowledge.crashes.push_back(routing::crash_report{
            request_id(crash.request),
            replica_process_id(crash.replica_process), to_traits(crash.traits),
            time_of(crash.age_ms, now),
            crash.__isset.after_output && crash.after_output});
    }
    for (const wire::trait_survival& survival : message.value().survivals)
    {
        knowledge.survivals[request_trait(survival.trait)] =
            time_of(survival.age_ms, now);
    }
    for (const wire::trait_verdict& received : message.value().verdicts)
    {
        routing::trait_verdict& verdict = knowledge.verdicts.emplace_back();
        verdict.trait = request_trait(received.trait);
        verdict.blocked = received.blocked;
        verdict.revision = received.revision;
        verdict.hold =
            std::clamp<duration>(std::chrono::milliseconds(received.hold_ms),
                                 routing::trait_quarantine::first_hold,
                                 routing::trait_quarantine::longest_hold);
        verdict.trial_at =
            now + std::clamp<duration>(
                      std::chrono::milliseconds(received.trial_in_ms),
                      duration::zero(),
                      routing::trait_quarantine::longest_hold);
    }
    return knowledge;
}

} // namespace parsleytrack::relay
