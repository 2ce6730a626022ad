#include "relay/crash_memory.hpp"

#include "logging/log.hpp"
#include "net/event_loop.hpp"
#include "relay/trait_knowledge.hpp"

namespace parsleytrack::relay
{

crash_memory::crash_memory(wire::peer_network& network)
{
    using exchange_pointer = std::shared_ptr<wire::peer_exchange>;
    network.on_call(wire::message_type::trait_inquiry,
                    [this](const exchange_pointer& exchange)
                    { this->handle_inquiry(exchange); });
    network.on_call(wire::message_type::trait_verdicts,
                    [this](const exchange_pointer& exchange)
                    { this->handle_verdicts(exchange); });
}

void crash_memory::handle_inquiry(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const time_point now = net::event_loop::now();
    const auto question = decode_trait_knowledge(exchange->request(), now);
    if (question.has_error())
    {
        log_event(log_level::warning, "trait_inquiry_refused",
                  {{"reason", question.error().message}});
        exchange->fail(question.error());
        return;
    }
    for (const routing::crash_report& report : question.value().crashes)
    {
        this->history.add_report(report);
    }
    for (const auto& [trait, when] : question.value().survivals)
    {
        this->history.record_survival({trait}, when);
    }
    exchange->finish(encode(
        known_of(this->history, this->quarantine, question.value().asked, now),
        now));
}

void crash_memory::handle_verdicts(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto message =
        decode_trait_knowledge(exchange->request(), net::event_loop::now());
    if (message.has_error())
    {
        log_event(log_level::warning, "trait_verdicts_refused",
                  {{"reason", message.error().message}});
        exchange->fail(message.error());
        return;
    }
    for (const routing::trait_verdict& verdict : message.value().verdicts)
    {
        this->quarantine.merge(verdict);
    }
    exchange->finish({});
}

} // namespace parsleytrack::relay
