// Answers other nodes that ask for the records, and asks them while the store
// does not respond to this one.

#include "feeds/feed_codec.hpp"
#include "feeds/feed_timing.hpp"
#include "feeds/record_feed.hpp"
#include "logging/log.hpp"

#include <random>
#include <utility>

namespace parsleytrack::feeds
{

namespace
{

/// Time that another node has to answer.
constexpr duration question_timeout = std::chrono::milliseconds(1600);
/// Largest listing that a source sends as a whole: a few hundred kilobytes.
/// Nodes that need a larger one read from the store until they are up to date.
constexpr std::size_t max_listing_records = 500;

} // namespace

bool record_feed::lacks_store_and_sources() const
{
    return !this->has_healthy_source() && (this->own_follower.is_failing() ||
                                           this->age() > detail::outage_age);
}

void record_feed::ask_another_node()
{
    const std::vector<node_info>& nodes = this->group.live_nodes();
    if (!this->lacks_store_and_sources() || this->question || nodes.empty())
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> draw(0, nodes.size() - 1);
    const node_info& node = nodes[draw(this->random)];
    if (node.id == this->group.own().id)
    {
        return;
    }
    this->question = this->peers.call(
        node.peer, this->options.call,
        encode(feed_request{this->options.prefix, this->records.position()}),
        question_timeout,
        {[this, name = node.id](const std::string& bytes)
         { this->handle_reply(name, bytes); },
         [this](const result<std::string>&)
         {
             this->loop.free_later(std::move(this->question));
         }});
}

void record_feed::handle_reply(const node_id& from, const std::string& bytes)
{
    // A node that reaches the store would go on sending changes.
    this->loop.free_later(std::move(this->question));
    const auto message = decode_message(bytes);
    if (message.has_error() || !this->lacks_store_and_sources())
    {
        return;
    }
    this->origin = from.str();
    if (message.value().what == feed_message::kind::changes)
    {
        this->apply_changes(message.value().records);
        return;
    }
    if (message.value().what != feed_message::kind::last_known &&
        message.value().what != feed_message::kind::all)
    {
        return;
    }
    key_value::record_listing listing;
    listing.read_revision = message.value().position;
    for (const key_value::record_change& change : message.value().records)
    {
        listing.records.push_back(change.record);
    }
    if (!this->records.apply_listing(listing))
    {
        return;
    }
    this->log_source("records_learned_unconfirmed", from.str(),
                     "the store does not respond to this node");
    this->hooks.on_listing(listing, false);
    this->failing = true;
    this->notify_failure(error{error_code::store_unavailable,
                               "the records come from another node",
                               ran_state::no,
                               {}});
}

void record_feed::handle_request(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto request = decode_request(exchange->request());
    const bool can_serve =
        request.has_value() && request.value().prefix == this->options.prefix &&
        this->own_follower.is_running() && !this->own_follower.is_failing() &&
        this->is_confirmed();
    if (!can_serve)
    {
        const bool knows_more =
            request.has_value() &&
            request.value().prefix == this->options.prefix &&
            this->records.position() > request.value().position;
        if (knows_more && this->records.size() <= max_listing_records)
        {
            exchange->send_part(
                encode(this->all_records(feed_message::kind::last_known)));
        }
        exchange->fail(error{error_code::no_replica,
                             "this node does not follow the store",
                             ran_state::no,
                             {}});
        return;
    }
    feed_message first;
    if (auto changes = this->records.changes_since(request.value().position))
    {
        first.what = feed_message::kind::changes;
        first.records = std::move(*changes);
        first.age = this->age();
        this->publisher.add(exchange, first);
        return;
    }
    if (this->records.size() > max_listing_records)
    {
        exchange->fail(
            error{error_code::no_replica,
                  "the changes since this position are no longer known",
                  ran_state::no,
                  {}});
        return;
    }
    first = this->all_records(feed_message::kind::all);
    first.age = this->age();
    this->publisher.add(exchange, first);
}

feed_message record_feed::all_records(feed_message::kind what) const
{
    const key_value::record_listing all = this->records.all();
    feed_message message;
    message.what = what;
    message.position = all.read_revision;
    for (const key_value::stored_record& record : all.records)
    {
        message.records.push_back({record, false});
    }
    return message;
}

} // namespace parsleytrack::feeds
