#include "feeds/record_feed.hpp"

#include "feeds/feed_codec.hpp"
#include "feeds/feed_sources.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace parsleytrack::feeds
{

namespace
{

/// Interval of heartbeats and of attempts to resubscribe to a lost source.
constexpr duration tick_interval = std::chrono::milliseconds(600);
/// Longest time between two messages of a source: two lost heartbeats. Together
/// with the subsequent call to the store it is well below the two seconds
/// within which changes must arrive.
constexpr duration source_timeout = std::chrono::milliseconds(1600);
/// Delay before resubscribing to a source that was not healthy.
constexpr duration retry_delay = std::chrono::seconds(1);
/// How long a source must be healthy before this node stops reading from the
/// store.
constexpr duration settling_time = std::chrono::seconds(1);
/// Time in which a source may regain the store before its subscribers ask the
/// store themselves. Watches are cut now and then without an outage.
constexpr duration source_grace = std::chrono::milliseconds(700);
/// Subscribers that lose their sources together do not ask the store together.
constexpr duration max_fallback_jitter = std::chrono::milliseconds(500);
/// Longest delay between two attempts of a node that has sources. They notice
/// the end of an outage sooner and cost the store less.
constexpr duration max_retry_delay_with_sources = std::chrono::seconds(4);
constexpr duration max_retry_delay_alone = std::chrono::seconds(1);

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
           { this->apply_listing(listing, after_failure); },
           [this](const std::vector<key_value::record_change>& changes)
           { this->apply_changes(changes); },
           [this](const error& reason)
           {
               this->handle_failure(reason);
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
    return std::max(this->own_follower.confirmed_at(), this->last_message_at);
}

void record_feed::choose_sources()
{
    const std::vector<node_info> all = feed_sources(
        this->group.live_nodes(), this->options.prefix,
        this->options.max_direct_followers, this->options.sources_per_zone);
    const node_id& self = this->group.own().id;
    const bool is_source =
        std::any_of(all.begin(), all.end(),
                    [&self](const node_info& node) { return node.id == self; });
    this->sources =
        all.empty() || is_source
            ? std::vector<node_info>()
            : followed_sources(all, this->group.own().availability_zone);
    this->own_follower.set_max_retry_delay(this->sources.empty()
                                               ? max_retry_delay_alone
                                               : max_retry_delay_with_sources);
    std::erase_if(this->subscriptions,
                  [this](const auto& entry)
                  {
                      return std::none_of(this->sources.begin(),
                                          this->sources.end(),
                                          [&entry](const node_info& source)
                                          { return source.id == entry.first; });
                  });
    if (this->sources.empty() && !this->own_follower.is_running())
    {
        this->log_source("store_followed_alone", self.str(), "chosen");
        this->own_follower.start();
    }
}

void record_feed::tick()
{
    if (!this->own_follower.is_failing())
    {
        this->publisher.send(
            feed_message{feed_message::kind::unchanged, {}, {}});
    }
    for (const node_info& source : this->sources)
    {
        if (!this->subscriptions.contains(source.id) &&
            net::event_loop::now() >= this->retry_at[source.id])
        {
            this->subscribe(source);
        }
    }
    this->ask_another_node();
    const time_point now = net::event_loop::now();
    if (!this->has_healthy_source())
    {
        this->healthy_since = now;
        return;
    }
    if (this->own_follower.is_running() &&
        now - this->healthy_since >= settling_time)
    {
        this->log_source("store_followed_through_others",
                         this->sources.front().id.str(), "well");
        this->own_follower.stop();
        this->publisher.close();
    }
}

void record_feed::subscribe(const node_info& source)
{
    subscription& entry = this->subscriptions[source.id];
    entry.call = this->peers.call(
        source.peer, this->options.call,
        encode(feed_request{this->options.prefix, this->records.position()}),
        source_timeout,
        {[this, id = source.id](const std::string& bytes)
         { this->handle_message(id, bytes); },
         [this, id = source.id](const result<std::string>& end)
         {
             this->end_subscription(id, end.has_error() ? end.error().message
                                                        : "ended");
         }});
}

void record_feed::handle_message(const node_id& source,
                                 const std::string& bytes)
{
    auto message = decode_message(bytes);
    const auto found = this->subscriptions.find(source);
    if (message.has_error() || found == this->subscriptions.end())
    {
        this->log_source("feed_part_refused", source.str(),
                         message.has_error() ? message.error().message
                                             : "no subscription");
        return;
    }
    if (message.value().what != feed_message::kind::failing &&
        message.value().what != feed_message::kind::last_known)
    {
        this->last_message_at = net::event_loop::now();
    }
    switch (message.value().what)
    {
    case feed_message::kind::all:
    {
        found->second.healthy = true;
        key_value::record_listing listing;
        listing.read_revision = message.value().position;
        for (key_value::record_change& change : message.value().records)
        {
            listing.records.push_back(std::move(change.record));
        }
        this->apply_listing(listing, false);
        return;
    }
    case feed_message::kind::changes:
        found->second.healthy = true;
        this->apply_changes(message.value().records);
        this->recover();
        return;
    case feed_message::kind::unchanged:
    case feed_message::kind::last_known:
        // The latter only answers a question of ask_another_node().
        return;
    case feed_message::kind::failing:
        this->source_failed = true;
        this->end_subscription(source, "the source cannot reach the store");
        return;
    }
}

void record_feed::end_subscription(const node_id& source,
                                   const std::string& reason)
{
    const auto found = this->subscriptions.find(source);
    if (found == this->subscriptions.end())
    {
        return;
    }
    // This may run inside a callback of the call itself.
    this->loop.free_later(std::move(found->second.call));
    const bool was_healthy = found->second.healthy;
    this->retry_at[source] =
        net::event_loop::now() + (was_healthy ? duration::zero() : retry_delay);
    this->subscriptions.erase(found);
    if (was_healthy)
    {
        this->log_source("feed_lost", source.str(), reason);
    }
    if (!this->has_healthy_source() && !this->own_follower.is_running())
    {
        this->log_source("store_followed_alone", source.str(), reason);
        this->follow_store_soon();
    }
}

void record_feed::follow_store_soon()
{
    std::uniform_int_distribution<duration::rep> jitter(
        0, max_fallback_jitter.count());
    this->fallback_timer =
        this->loop.call_after(duration(jitter(this->random)),
                              [this]
                              {
                                  if (!this->has_healthy_source())
                                  {
                                      this->own_follower.start();
                                  }
                              });
}

bool record_feed::has_healthy_source() const
{
    return std::any_of(this->subscriptions.begin(), this->subscriptions.end(),
                       [](const auto& entry) { return entry.second.healthy; });
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
        this->publisher.send(
            feed_message{feed_message::kind::changes, *changes, {}});
    }
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
    this->publisher.send(
        feed_message{feed_message::kind::changes, updates, {}});
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
    this->grace_timer =
        this->loop.call_after(source_grace,
                              [this]
                              {
                                  if (this->own_follower.is_failing())
                                  {
                                      this->publisher.send(feed_message{
                                          feed_message::kind::failing, {}, {}});
                                      this->publisher.close();
                                  }
                              });
    if (this->has_healthy_source() || std::exchange(this->failing, true))
    {
        return;
    }
    this->notify_failure(reason);
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
               {"age_ms", to_milliseconds(net::event_loop::now() -
                                          this->confirmed_at())}});
}

} // namespace parsleytrack::feeds
