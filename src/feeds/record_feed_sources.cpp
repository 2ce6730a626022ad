// Follows the records through sources, and the store itself when these are not
// healthy.

#include "feeds/feed_codec.hpp"
#include "feeds/feed_sources.hpp"
#include "feeds/feed_timing.hpp"
#include "feeds/record_feed.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace parsleytrack::feeds
{

namespace
{

/// Delay before resubscribing to a source that was not healthy.
constexpr duration retry_delay = std::chrono::seconds(1);
/// How long a source must be healthy before this node stops reading from the
/// store.
constexpr duration settling_time = std::chrono::seconds(1);
/// Subscribers that lose their sources together do not ask the store together.
constexpr duration max_fallback_jitter = std::chrono::milliseconds(500);
/// Longest delay between two attempts of a node that has sources. They notice
/// the end of an outage sooner and cost the store less.
constexpr duration max_retry_delay_with_sources = std::chrono::seconds(4);
constexpr duration max_retry_delay_alone = std::chrono::seconds(1);
/// Interval of confirmations of a node that reads from the store for itself.
constexpr duration own_confirmation_interval = std::chrono::seconds(1);
constexpr duration expiry_margin = std::chrono::milliseconds(1);

} // namespace

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
    this->subscribe_to_sources();
}

void record_feed::tick()
{
    // A source with subscribers passes confirmations on.
    this->own_follower.set_confirmation_interval(
        this->publisher.size() > 0 ? detail::heartbeat_interval
                                   : own_confirmation_interval);
    this->subscribe_to_sources();
    this->ask_another_node();
    this->check_confirmation();
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

void record_feed::subscribe_to_sources()
{
    for (const node_info& source : this->sources)
    {
        if (!this->subscriptions.contains(source.id) &&
            net::event_loop::now() >= this->retry_at[source.id])
        {
            this->subscribe(source);
        }
    }
}

void record_feed::subscribe(const node_info& source)
{
    subscription& entry = this->subscriptions[source.id];
    entry.call = this->peers.call(
        source.peer, this->options.call,
        encode(feed_request{this->options.prefix, this->records.position()}),
        detail::max_confirmation_age,
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
    this->origin = source.str();
    if (message.has_error() || found == this->subscriptions.end())
    {
        this->log_source("feed_part_refused", source.str(),
                         message.has_error() ? message.error().message
                                             : "no subscription");
        return;
    }
    found->second.state.observe(message.value(), net::event_loop::now());
    this->learned_confirmation = std::max(this->learned_confirmation,
                                          found->second.state.confirmed_at());
    switch (message.value().what)
    {
    case feed_message::kind::all:
    {
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
        this->apply_changes(message.value().records);
        this->handle_confirmation();
        return;
    case feed_message::kind::unchanged:
        this->handle_confirmation();
        return;
    case feed_message::kind::last_known:
        // Only answers a question of ask_another_node().
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
    const bool was_healthy =
        found->second.state.is_healthy(net::event_loop::now());
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
    if (std::exchange(this->fallback_pending, true))
    {
        return;
    }
    std::uniform_int_distribution<duration::rep> jitter(
        0, max_fallback_jitter.count());
    this->fallback_timer =
        this->loop.call_after(duration(jitter(this->random)),
                              [this]
                              {
                                  this->fallback_pending = false;
                                  if (!this->has_healthy_source())
                                  {
                                      this->own_follower.start();
                                  }
                              });
}

bool record_feed::has_healthy_source() const
{
    const time_point now = net::event_loop::now();
    return std::any_of(this->subscriptions.begin(), this->subscriptions.end(),
                       [now](const auto& entry)
                       { return entry.second.state.is_healthy(now); });
}

void record_feed::handle_confirmation()
{
    if (!this->is_confirmed())
    {
        return;
    }
    this->recover();
    this->confirmation_timer = this->loop.call_after(
        detail::max_confirmation_age - this->age() + expiry_margin,
        [this] { this->check_confirmation(); });
}

void record_feed::check_confirmation()
{
    if (this->is_confirmed())
    {
        return;
    }
    if (!this->own_follower.is_running() && !this->has_healthy_source())
    {
        if (!this->fallback_pending)
        {
            this->log_source("store_followed_alone", this->group.own().id.str(),
                             "the store's last confirmation is too old");
        }
        this->follow_store_soon();
    }
    if (this->is_known() && this->age() > detail::outage_age &&
        !std::exchange(this->failing, true))
    {
        this->notify_failure(
            error{error_code::store_unavailable,
                  "the store has not confirmed the records for too long",
                  ran_state::no,
                  {}});
    }
}

} // namespace parsleytrack::feeds
