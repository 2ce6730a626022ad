#include "feeds/feed_publisher.hpp"

#include "feeds/feed_codec.hpp"
#include "logging/log.hpp"

#include <utility>

namespace parsleytrack::feeds
{

namespace
{

/// Several full listings of the largest fleet. A subscriber with more unread
/// data is considered hung.
constexpr std::size_t max_unread_bytes = 4 * 1024 * 1024;

error disconnected_error(const char* why)
{
    return error{error_code::shutting_down, why, ran_state::no, {}};
}

} // namespace

void feed_publisher::add(const std::shared_ptr<wire::peer_exchange>& exchange,
                         const feed_message& first)
{
    this->subscribers.push_back(exchange);
    const std::weak_ptr<wire::peer_exchange> observed = exchange;
    exchange->on_cancelled(
        [this, observed]
        {
            std::erase_if(this->subscribers,
                          [kept = observed.lock()](const auto& subscriber)
                          { return subscriber == kept; });
        });
    exchange->send_part(encode(first));
}

void feed_publisher::send(const feed_message& message)
{
    if (this->subscribers.empty())
    {
        return;
    }
    const std::string bytes = encode(message);
    for (auto entry = this->subscribers.begin();
         entry != this->subscribers.end();)
    {
        const auto subscriber = *entry;
        if (subscriber->pending_output_bytes() > max_unread_bytes)
        {
            log_event(log_level::warning, "feed_receiver_let_go",
                      {{"unread_bytes", subscriber->pending_output_bytes()}});
            entry = this->subscribers.erase(entry);
            subscriber->fail(disconnected_error(
                "the subscriber does not read its messages"));
            continue;
        }
        subscriber->send_part(bytes);
        ++entry;
    }
}

void feed_publisher::close()
{
    for (const auto& subscriber : std::exchange(this->subscribers, {}))
    {
        subscriber->fail(
            disconnected_error("this node no longer follows the store"));
    }
}

} // namespace parsleytrack::feeds
