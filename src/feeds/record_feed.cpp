#include "feeds/record_feed.hpp"

#include "feeds/feed_codec.hpp"
#include "feeds/feed_timing.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::feeds
{

namespace
{

constexpr const char* store_origin = "store";
/// Interval of attempts to resubscribe to a lost source.
constexpr duration tick_interval = std::chrono::milliseconds(600);
/// Time in which a source may regain the store before its subscribers ask the
/// store themselves. Watches are cut now and then without an outage.
constexpr duration source_grace = std::chrono::milliseconds(700);

} // namespace

record_feed::record_feed(net::event_loop& event_loop,
                         key_value::record_client& client,
                         wire::peer_network& network,
                         peering::peer_group& nodes,
                         random_source& random_numbers, feed_options chosen,
                         key_value::record_follower::callbacks listener)
    : loop(event_loop), peers(network), group(nodes), random(random_numbers),
      options(std::move(chosen)), hooks(std::move(listener)),
      own_follower(
          event_loop, client, random_numbers, this->options.prefix,
          this->options.pause_after_changes,
          {[this](const key_value::record_listing& listing, bool after_failure)
           {
               this->origin = store_origin;
               this->apply_listing(listing, after_failure);
           },
           [this](const std::vector<key_value::record_change>& changes)
           {
               this->origin = store_origin;
               this->apply_changes(changes);
           },
           [this](const error& reason) { this->handle_failure(reason); },
           [this]
           {
               this->handle_confirmation();
               this->publish_heartbeat();
           }})
{
    this->peers.on_call(
        this->options.call,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->handle_request(exchange); });
}

void record_feed::start()
{
    // A node that has just started does not know any sources yet.
    this->own_follower.start();
    this->group.on_change([this] { this->choose_sources(); });
    this->tick_timer =
        this->loop.call_every(tick_interval, [this] { this->tick(); });
}

time_point record_feed::confirmed_at() const
{
    return std::max(this->own_follower.confirmed_at(),
                    this->learned_confirmation);
}

duration record_feed::age() const
{
    return net::event_loop::now() - this->confirmed_at();
}

bool record_feed::is_confirmed() const
{
    return this->age() <= detail::max_confirmation_age;
}

void record_feed::apply_listing(const key_value::record_listing& listing,
                                bool after_failure)
{
    const auto changes = this->records.apply_listing(listing);
    if (!changes)
    {
        this->recover();
        return;
    }
    const bool recovered = std::exchange(this->failing, false);
    const bool lost = std::exchange(this->source_failed, false);
    this->hooks.on_listing(listing, after_failure || recovered || lost);
    if (!changes->empty())
    {
        this->publish(
            feed_message{feed_message::kind::changes, *changes, {}, {}});
    }
    this->handle_confirmation();
}

void record_feed::apply_changes(
    const std::vector<key_value::record_change>& changes)
{
    const std::vector<key_value::record_change> updates =
        this->records.apply_changes(changes);
    if (updates.empty())
    {
        return;
    }
    this->hooks.on_changes(updates);
    this->publish(feed_message{feed_message::kind::changes, updates, {}, {}});
}

void record_feed::recover()
{
    if (std::exchange(this->failing, false))
    {
        this->hooks.on_listing(this->records.all(), true);
    }
}

void record_feed::handle_failure(const error& reason)
{
    this->grace_timer = this->loop.call_after(
        source_grace,
        [this]
        {
            if (this->own_follower.is_failing())
            {
                this->publish(
                    feed_message{feed_message::kind::failing, {}, {}, {}});
                this->publisher.close();
            }
        });
    if (this->has_healthy_source() || std::exchange(this->failing, true))
    {
        return;
    }
    this->notify_failure(reason);
}

void record_feed::publish(feed_message message)
{
    this->last_published = net::event_loop::now();
    message.age = this->age();
    this->publisher.send(message);
}

void record_feed::publish_heartbeat()
{
    // Calls of other parts of the node confirm the records, too.
    if (net::event_loop::now() - this->last_published >=
        detail::heartbeat_interval)
    {
        this->publish(feed_message{feed_message::kind::unchanged, {}, {}, {}});
    }
}

void record_feed::notify_failure(const error& reason)
{
    if (this->hooks.on_failure)
    {
        this->hooks.on_failure(reason);
    }
}

void record_feed::log_source(const char* event, const std::string& source,
                             const std::string& reason) const
{
    log_event(log_level::info, event,
              {{"prefix", this->options.prefix},
               {"source", source},
               {"reason", reason},
               {"position", this->records.position().count()},
               {"sources", this->sources.size()},
               {"age_ms", to_milliseconds(this->age())}});
}

} // namespace parsleytrack::feeds
