#include "relay/crash_memory.hpp"

#include "net/event_loop.hpp"
#include "relay/trait_messages.hpp"

namespace parsleytrack::relay
{

crash_memory::crash_memory(wire::peer_network& network)
{
    using exchange_pointer = std::shared_ptr<wire::peer_exchange>;
    network.on_call(
        wire::message_type::trait_inquiry,
        [this](const exchange_pointer& exchange)
        { answer_inquiry(*exchange, this->history, this->quarantine); });
    network.on_call(wire::message_type::trait_verdicts,
                    [this](const exchange_pointer& exchange)
                    { this->handle_verdicts(*exchange); });
}

void crash_memory::handle_verdicts(wire::peer_exchange& exchange)
{
    const auto message = read_message(exchange, "trait_verdicts_refused",
                                      net::event_loop::now());
    if (!message)
    {
        return;
    }
    for (const routing::trait_verdict& verdict : message->verdicts)
    {
        this->quarantine.merge(verdict);
    }
    exchange.finish({});
}

} // namespace parsleytrack::relay
