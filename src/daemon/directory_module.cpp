#include "daemon/directory_module.hpp"

#include "decisions/store_watchers.hpp"
#include "logging/log.hpp"
#include "wire/codec.hpp"
#include "wire/generated/directory_types.h"

#include <charconv>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr const char* list_topic = "directory";
constexpr const char* leaving_topic = "leaving";
constexpr duration tick_interval = std::chrono::milliseconds(500);
constexpr duration shortest_poll = std::chrono::seconds(15);
constexpr duration longest_poll = std::chrono::seconds(30);
// A node without a list asks sooner.
constexpr duration poll_without_list = std::chrono::seconds(1);
// The gossip board takes about 1,000 bytes for a topic.
constexpr std::size_t longest_word_list = 900;

wire::directory_reply to_wire(const replica_list& list, bool known)
{
    wire::directory_reply reply;
    reply.known = known;
    reply.revision = list.revision.count();
    for (const auto& [id, replica] : list.replicas)
    {
        wire::listed_replica entry;
        entry.id = id.str();
        entry.service_name = replica.service.str();
        entry.host = replica.address.host;
        entry.port = replica.address.port;
        entry.availability_zone = replica.availability_zone.str();
        entry.leaving = replica.state == replica_state::leaving;
        reply.replicas.push_back(std::move(entry));
    }
    return reply;
}

replica_list from_wire(const wire::directory_reply& reply)
{
    replica_list list;
    list.revision = store_revision(reply.revision);
    for (const wire::listed_replica& entry : reply.replicas)
    {
        replica_info replica;
        replica.id = replica_id(entry.id);
        replica.service = service_name(entry.service_name);
        replica.address = {entry.host, static_cast<std::uint16_t>(entry.port)};
        replica.availability_zone =
            availability_zone_name(entry.availability_zone);
        replica.state =
            entry.leaving ? replica_state::leaving : replica_state::live;
        list.replicas[replica.id] = std::move(replica);
    }
    return list;
}

std::vector<replica_info>
static_replicas(const settings::node_settings& settings)
{
    std::vector<replica_info> replicas;
    for (const settings::service_settings& service : settings.services)
    {
        for (const settings::replica_settings& entry : service.replicas)
        {
            replica_info replica;
            replica.id = entry.id;
            replica.service = service.name;
            replica.address = entry.address;
            replica.availability_zone = entry.availability_zone;
            replicas.push_back(std::move(replica));
        }
    }
    return replicas;
}

} // namespace

directory_module::directory_module(node_context& node)
    : context(node), fetcher(node, wire::message_type::directory_get)
{
    this->directory.set_static(static_replicas(node.settings));
    this->apply();
    this->context.peers.on_call(
        wire::message_type::directory_get,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->answer(exchange); });
    this->context.board.subscribe(
        list_topic, [this](const node_id& from, const std::string& value)
        { this->handle_announcement(from, value); });
    this->context.board.subscribe(leaving_topic,
                                  [this](const node_id&, const std::string&)
                                  { this->apply(); });
    this->tick_timer =
        this->context.loop.call_every(tick_interval, [this] { this->tick(); });
    this->context.loop.post([this] { this->tick(); });
}

void directory_module::report_leaving(const replica_id& replica)
{
    this->directory.report_leaving(replica, net::event_loop::now());
    this->announce_words();
    this->apply();
}

void directory_module::report_live(const replica_id& replica,
                                   time_point asked_at)
{
    this->directory.report_live(replica, asked_at);
    this->announce_words();
}

void directory_module::drain(std::function<void()> done)
{
    this->context.loop.post(std::move(done));
}

void directory_module::tick()
{
    this->choose_role();
    this->announce_words();
    this->apply();
    if (net::event_loop::now() >= this->next_poll)
    {
        this->poll();
    }
}

void directory_module::choose_role()
{
    const bool wanted = is_store_watcher(this->context.fleet,
                                         this->context.settings.id, list_topic);
    if (wanted == (this->watch != nullptr))
    {
        return;
    }
    if (!wanted)
    {
        this->watch.reset();
        return;
    }
    this->watch = std::make_unique<instance_watch>(
        this->context, this->directory.list().revision,
        [this](const replica_list& list) { this->take_list(list, true); });
}

void directory_module::take_list(const replica_list& list, bool from_store)
{
    const bool was_known = std::exchange(this->list_known, true);
    const announcement next{list.revision, hash_of(list)};
    const bool changed = !was_known || next.revision != this->own.revision ||
                         next.hash != this->own.hash;
    if (!changed)
    {
        return;
    }
    this->own = next;
    this->directory.set_list(list);
    log_event(log_level::info, "replica_list_changed",
              {{"revision", list.revision.count()},
               {"replicas", list.replicas.size()},
               {"source", from_store ? "store" : "peer"}});
    this->apply();
    if (from_store)
    {
        this->announce();
    }
}

void directory_module::apply()
{
    const time_point now = net::event_loop::now();
    this->directory.hear_leaving(this->heard_words(), now);
    std::vector<replica_info> served;
    for (replica_info& replica : this->directory.joined(now))
    {
        for (const auto& service : this->context.settings.services)
        {
            if (service.name == replica.service)
            {
                served.push_back(std::move(replica));
                break;
            }
        }
    }
    this->context.fleet.set_replicas(std::move(served));
}

void directory_module::announce()
{
    this->context.board.publish(list_topic,
                                std::to_string(this->own.revision.count()) +
                                    " " + std::to_string(this->own.hash));
}

void directory_module::announce_words()
{
    std::set<replica_id> words =
        this->directory.own_words(net::event_loop::now());
    if (words == this->announced_words)
    {
        return;
    }
    std::string text;
    for (const replica_id& replica : words)
    {
        if (text.size() + replica.str().size() >= longest_word_list)
        {
            break;
        }
        text += replica.str() + "\n";
    }
    this->announced_words = std::move(words);
    this->context.board.publish(leaving_topic, text);
}

std::set<replica_id> directory_module::heard_words() const
{
    std::set<replica_id> words;
    for (const auto& [node, entry] : this->context.board.latest(leaving_topic))
    {
        if (node == this->context.settings.id)
        {
            continue;
        }
        std::size_t start = 0;
        std::size_t end = entry.value.find('\n');
        while (end != std::string::npos)
        {
            words.insert(replica_id(entry.value.substr(start, end - start)));
            start = end + 1;
            end = entry.value.find('\n', start);
        }
    }
    return words;
}

bool directory_module::is_news(const announcement& other) const
{
    if (!this->list_known || other.revision > this->own.revision)
    {
        return true;
    }
    // A deletion has no revision of its own in the list.
    return this->watch == nullptr && other.revision == this->own.revision &&
           other.hash != this->own.hash;
}

void directory_module::handle_announcement(const node_id& from,
                                           const std::string& value)
{
    announcement other;
    std::int64_t revision = 0;
    const char* end = value.data() + value.size();
    const auto number = std::from_chars(value.data(), end, revision);
    if (number.ec != std::errc() || number.ptr == end)
    {
        return;
    }
    std::from_chars(number.ptr + 1, end, other.hash);
    other.revision = store_revision(revision);
    if (this->is_news(other))
    {
        this->fetch(from);
    }
}

void directory_module::poll()
{
    const duration shortest =
        this->list_known ? shortest_poll : poll_without_list / 2;
    const duration longest =
        this->list_known ? longest_poll : poll_without_list;
    std::uniform_int_distribution<duration::rep> wait(shortest.count(),
                                                      longest.count());
    this->next_poll =
        net::event_loop::now() + duration(wait(this->context.random));
    if (this->watch != nullptr && this->list_known)
    {
        return;
    }
    const auto watchers = store_watchers(this->context.fleet, list_topic);
    if (this->list_known && !watchers.empty())
    {
        this->fetch(watchers[this->context.random() % watchers.size()]);
        return;
    }
    this->fetch(this->fetcher.any_peer());
}

void directory_module::fetch(const node_id& target)
{
    this->fetcher.ask(
        target, std::string(),
        [this](const result<std::string>& end)
        {
            if (end.has_error())
            {
                this->context.metrics.count(
                    "parsleytrack_peer_fetch_failures_total",
                    {{"what", "directory"},
                     {"reason", std::string(to_string(end.error().code))}});
                return;
            }
            const auto reply = wire::decode<wire::directory_reply>(end.value());
            if (reply.has_error() || !reply.value().known)
            {
                return;
            }
            const replica_list list = from_wire(reply.value());
            if (this->is_news({list.revision, hash_of(list)}))
            {
                this->take_list(list, false);
            }
        });
}

void directory_module::answer(
    const std::shared_ptr<wire::peer_exchange>& exchange) const
{
    exchange->finish(
        wire::encode(to_wire(this->directory.list(), this->list_known)));
}

} // namespace parsleytrack
