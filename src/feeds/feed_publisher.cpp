#include "feeds/feed_publisher.hpp"

#include "feeds/feed_codec.hpp"
#include "logging/log.hpp"

#include <utility>

namespace parsleytrack::feeds
{

namespace
{

/// Several full lists of the largest fleet; a node that has so much unread has
/// hung.
constexpr std::size_t max_unread_bytes = 4 * 1024 * 1024;

error let_go(const char* why)
{
    return error{error_code::shutting_down, why, ran_state::no, {}};
}

} // namespace

void feed_publisher::add(const std::shared_ptr<wire::peer_exchange>& exchange,
                         const feed_part& first)
{
    this->receivers.push_back(exchange);
    const std::weak_ptr<wire::peer_exchange> observed = exchange;
    exchange->on_cancelled(
        [this, observed]
        {
            std::erase_if(this->receivers,
                          [kept = observed.lock()](const auto& receiver)
                          { return receiver == kept; });
        });
    exchange->send_part(encode(first));
}

void feed_publisher::send(const feed_part& part)
{
    if (this->receivers.empty())
    {
        return;
    }
    const std::string bytes = encode(part);
    for (auto entry = this->receivers.begin(); entry != this->receivers.end();)
    {
        const auto receiver = *entry;
        if (receiver->pending_output_bytes() > max_unread_bytes)
        {
            log_event(log_level::warning, "feed_receiver_let_go",
                      {{"unread_bytes", receiver->pending_output_bytes()}});
            entry = this->receivers.erase(entry);
            receiver->fail(let_go("the messages are not read"));
            continue;
        }
        receiver->send_part(bytes);
        ++entry;
    }
}

void feed_publisher::close()
{
    for (const auto& receiver : std::exchange(this->receivers, {}))
    {
        receiver->fail(let_go("this node no longer follows the store"));
    }
}

} // namespace parsleytrack::feeds
