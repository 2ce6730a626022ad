#include "daemon/call_set.hpp"

#include <utility>

namespace parsleytrack
{

void call_set::call(const endpoint& target, wire::message_type type,
                    std::string_view payload, duration timeout,
                    end_callback on_end)
{
    const std::uint64_t number = this->next_number++;
    wire::peer_network::callbacks hooks;
    hooks.on_end =
        [this, number, on_end = std::move(on_end)](result<std::string> answer)
    {
        this->pending.erase(number);
        on_end(std::move(answer));
    };
    this->pending[number] = this->context.peers.call(target, type, payload,
                                                     timeout, std::move(hooks));
}

} // namespace parsleytrack
