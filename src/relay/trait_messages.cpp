#include "relay/trait_messages.hpp"

#include "logging/log.hpp"
#include "net/event_loop.hpp"

#include <utility>

namespace parsleytrack::relay
{

std::optional<trait_knowledge> read_message(wire::peer_exchange& exchange,
                                            const char* event, time_point now)
{
    auto message = decode_trait_knowledge(exchange.request(), now);
    if (message.has_error())
    {
        log_event(log_level::warning, event,
                  {{"reason", message.error().message}});
        exchange.fail(message.error());
        return std::nullopt;
    }
    return std::move(message.value());
}

void answer_inquiry(wire::peer_exchange& exchange,
                    routing::crash_history& history,
                    const routing::trait_quarantine& quarantine)
{
    const time_point now = net::event_loop::now();
    const auto question = read_message(exchange, "trait_inquiry_refused", now);
    if (!question)
    {
        return;
    }
    for (const routing::crash_report& report : question->crashes)
    {
        history.add_report(report);
    }
    for (const auto& [trait, when] : question->survivals)
    {
        history.record_survival({trait}, when);
    }
    exchange.finish(
        encode(known_of(history, quarantine, question->asked, now), now));
}

} // namespace parsleytrack::relay
