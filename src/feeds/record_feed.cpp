#include "feeds/record_feed.hpp"

#include "feeds/feed_codec.hpp"
#include "feeds/feed_sources.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::feeds
{

namespace
{

/// Signs of life, and attempts to reach a source that was lost.
constexpr duration tick_interval = std::chrono::milliseconds(600);
/// Longest time between two messages of a source. Two lost signs of life; with
/// the call to the store that follows it is well below the two seconds in which
/// changes are due.
constexpr duration silence_timeout = std::chrono::milliseconds(1600);
/// Largest list that a source sends as a whole: some hundred kilobytes. Nodes
/// with an older list of more records ask the store until they are up to date.
constexpr std::size_t most_records_at_once = 500;
/// How long a source that could not be followed is left alone.
constexpr duration retry_pause = std::chrono::seconds(3);
/// How long a source must be well before the store is no longer asked.
constexpr duration settling_time = std::chrono::seconds(2);

} // namespace

record_feed::record_feed(net::event_loop& event_loop,
                         key_value::record_client& client,
                         wire::peer_network& network,
                         peering::peer_group& nodes,
                         random_source& random_numbers, std::string key_prefix,
                         duration pause_after_changes,
                         std::size_t most_nodes_alone,
                         key_value::record_follower::callbacks listener)
    : loop(event_loop), peers(network), group(nodes),
      prefix(std::move(key_prefix)), most_alone(most_nodes_alone),
      hooks(std::move(listener)),
      own(event_loop, client, random_numbers, this->prefix, pause_after_changes,
          {[this](const key_value::record_listing& listing, bool after_failure)
           { this->take_all(listing, after_failure); },
           [this](const std::vector<key_value::record_change>& changes)
           { this->take_changes(changes); },
           [this](const error& reason)
           {
               this->take_failure(reason);
           }})
{
    this->peers.on_call(
        wire::message_type::record_feed,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->answer(exchange); });
}

void record_feed::start()
{
    // A node that has just started knows of no sources yet.
    this->own.start();
    this->group.on_change([this] { this->choose_sources(); });
    this->tick_timer =
        this->loop.call_every(tick_interval, [this] { this->tick(); });
}

time_point record_feed::confirmed_at() const
{
    return std::max(this->own.confirmed_at(), this->last_part);
}

void record_feed::choose_sources()
{
    const std::vector<node_info> all =
        feed_sources(this->group.living(), this->prefix, this->most_alone);
    const node_id& self = this->group.own().id;
    const bool is_source =
        std::any_of(all.begin(), all.end(),
                    [&self](const node_info& node) { return node.id == self; });
    this->sources = all.empty() || is_source
                        ? std::vector<node_info>()
                        : feeds_of(all, this->group.own().availability_zone);
    std::erase_if(this->subscriptions,
                  [this](const auto& entry)
                  {
                      return std::none_of(this->sources.begin(),
                                          this->sources.end(),
                                          [&entry](const node_info& source)
                                          { return source.id == entry.first; });
                  });
    if (this->sources.empty() && !this->own.is_running())
    {
        this->log_source("store_followed_alone", self.str(), "chosen");
        this->own.start();
    }
}

void record_feed::tick()
{
    this->publisher.send(feed_part{feed_part::kind::unchanged, {}, {}});
    for (const node_info& source : this->sources)
    {
        if (!this->subscriptions.contains(source.id) &&
            net::event_loop::now() >= this->retry_at[source.id])
        {
            this->subscribe(source);
        }
    }
    const time_point now = net::event_loop::now();
    if (!this->has_well_source())
    {
        this->well_since = now;
        return;
    }
    if (this->own.is_running() && now - this->well_since >= settling_time)
    {
        this->log_source("store_followed_through_others",
                         this->sources.front().id.str(), "well");
        this->own.stop();
        this->publisher.close();
    }
}

void record_feed::subscribe(const node_info& source)
{
    subscription& entry = this->subscriptions[source.id];
    entry.call = this->peers.call(
        source.peer, wire::message_type::record_feed,
        encode(feed_question{this->prefix, this->records.position()}),
        silence_timeout,
        {[this, id = source.id](const std::string& bytes)
         { this->take_part(id, bytes); },
         [this, id = source.id](const result<std::string>& end)
         {
             this->lose(id, end.has_error() ? end.error().message : "ended");
         }});
}

void record_feed::take_part(const node_id& source, const std::string& bytes)
{
    auto part = decode_part(bytes);
    const auto found = this->subscriptions.find(source);
    if (part.has_error() || found == this->subscriptions.end())
    {
        this->log_source("feed_part_refused", source.str(),
                         part.has_error() ? part.error().message : "not asked");
        return;
    }
    this->last_part = net::event_loop::now();
    switch (part.value().what)
    {
    case feed_part::kind::all:
    {
        found->second.well = true;
        key_value::record_listing listing;
        listing.read_at = part.value().position;
        for (key_value::record_change& change : part.value().records)
        {
            listing.records.push_back(std::move(change.record));
        }
        this->take_all(listing, false);
        return;
    }
    case feed_part::kind::changes:
        found->second.well = true;
        this->take_changes(part.value().records);
        this->recover();
        return;
    case feed_part::kind::unchanged:
        return;
    case feed_part::kind::failing:
        this->source_failed = true;
        this->lose(source, "the source does not reach the store");
        return;
    }
}

void record_feed::lose(const node_id& source, const std::string& reason)
{
    const auto found = this->subscriptions.find(source);
    if (found == this->subscriptions.end())
    {
        return;
    }
    // The call may be the one whose callback runs.
    this->loop.free_later(std::move(found->second.call));
    const bool was_well = found->second.well;
    this->retry_at[source] =
        net::event_loop::now() + (was_well ? duration::zero() : retry_pause);
    this->subscriptions.erase(found);
    if (was_well)
    {
        this->log_source("feed_lost", source.str(), reason);
    }
    if (!this->has_well_source() && !this->own.is_running())
    {
        this->log_source("store_followed_alone", source.str(), reason);
        this->own.start();
    }
}

bool record_feed::has_well_source() const
{
    return std::any_of(this->subscriptions.begin(), this->subscriptions.end(),
                       [](const auto& entry) { return entry.second.well; });
}

void record_feed::answer(const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto question = decode_question(exchange->request());
    const bool can_answer = question.has_value() &&
                            question.value().prefix == this->prefix &&
                            this->own.is_running() && !this->own.is_failing() &&
                            this->records.position() > store_revision();
    if (!can_answer)
    {
        exchange->fail(error{error_code::no_replica,
                             "this node does not follow the store",
                             ran_state::no,
                             {}});
        return;
    }
    feed_part first;
    if (auto changes = this->records.since(question.value().position))
    {
        first.what = feed_part::kind::changes;
        first.records = std::move(*changes);
        this->publisher.add(exchange, first);
        return;
    }
    if (this->records.size() > most_records_at_once)
    {
        exchange->fail(error{error_code::no_replica,
                             "what has changed since is not known any more",
                             ran_state::no,
                             {}});
        return;
    }
    first.what = feed_part::kind::all;
    const key_value::record_listing all = this->records.all();
    first.position = all.read_at;
    for (const key_value::stored_record& record : all.records)
    {
        first.records.push_back({record, false});
    }
    this->publisher.add(exchange, first);
}

void record_feed::take_all(const key_value::record_listing& listing,
                           bool after_failure)
{
    const auto changes = this->records.take_all(listing);
    if (!changes)
    {
        this->recover();
        return;
    }
    const bool recovered = std::exchange(this->failing, false);
    const bool lost = std::exchange(this->source_failed, false);
    this->hooks.on_all(listing, after_failure || recovered || lost);
    if (!changes->empty())
    {
        this->publisher.send(feed_part{feed_part::kind::changes, *changes, {}});
    }
}

void record_feed::take_changes(
    const std::vector<key_value::record_change>& changes)
{
    const std::vector<key_value::record_change> news =
        this->records.take_changes(changes);
    if (news.empty())
    {
        return;
    }
    this->hooks.on_changes(news);
    this->publisher.send(feed_part{feed_part::kind::changes, news, {}});
}

void record_feed::recover()
{
    if (std::exchange(this->failing, false))
    {
        this->hooks.on_all(this->records.all(), true);
    }
}

void record_feed::take_failure(const error& reason)
{
    this->publisher.send(feed_part{feed_part::kind::failing, {}, {}});
    this->publisher.close();
    if (this->has_well_source() || std::exchange(this->failing, true))
    {
        return;
    }
    this->hooks.on_failure(reason);
}

void record_feed::log_source(const char* event, const std::string& source,
                             const std::string& reason) const
{
    log_event(log_level::info, event,
              {{"prefix", this->prefix},
               {"source", source},
               {"reason", reason},
               {"position", this->records.position().count()},
               {"sources", this->sources.size()},
               {"age_ms", to_milliseconds(net::event_loop::now() -
                                          this->confirmed_at())}});
}

} // namespace parsleytrack::feeds
