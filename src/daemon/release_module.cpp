#include "daemon/release_module.hpp"

#include "daemon/release_answers.hpp"
#include "daemon/release_keys.hpp"
#include "daemon/release_submission.hpp"
#include "decisions/release_note_parser.hpp"
#include "decisions/release_record_codec.hpp"
#include "decisions/store_watchers.hpp"
#include "logging/log.hpp"
#include "net/error_response.hpp"
#include "wire/codec.hpp"
#include "wire/generated/release_types.h"

#include <charconv>
#include <optional>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr const char* topic = "release";
constexpr int status_ok = 200;
constexpr std::size_t longest_note = 1'000'000;
constexpr duration tick_interval = std::chrono::milliseconds(250);
constexpr duration shortest_poll = std::chrono::seconds(3);
constexpr duration longest_poll = std::chrono::seconds(5);

std::optional<std::int64_t> parse_number(std::string_view text)
{
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < 0)
    {
        return std::nullopt;
    }
    return number;
}

} // namespace

release_module::release_module(node_context& node)
    : context(node), fetcher(node, wire::message_type::release_get)
{
    this->add_routes();
    this->context.peers.on_call(
        wire::message_type::release_get,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->answer_peer(exchange); });
    this->context.board.subscribe(
        topic, [this](const node_id& from, const std::string& value)
        { this->handle_announcement(from, value); });
    this->tick_timer =
        this->context.loop.call_every(tick_interval, [this] { this->tick(); });
    this->context.loop.post([this] { this->tick(); });
}

void release_module::drain(std::function<void()> done)
{
    this->context.loop.post(std::move(done));
}

void release_module::add_routes()
{
    this->context.router.add(
        "GET", "/v1/release",
        [this](const exchange_pointer& exchange)
        {
            exchange->respond_json(
                status_ok, describe_release(this->context.catalogue.current()));
        });
    this->context.router.add("PUT", "/v1/release",
                             [this](const exchange_pointer& exchange)
                             { this->receive_note(exchange); });
}

void release_module::receive_note(const exchange_pointer& exchange)
{
    const auto& query = exchange->head().query;
    const auto field = query.find("expected_version");
    const auto expected =
        field == query.end() ? std::nullopt : parse_number(field->second);
    if (!expected)
    {
        this->refuse("bad_request");
        respond_error(*exchange,
                      error{error_code::bad_request,
                            "expected_version is to be the version in force",
                            ran_state::no,
                            {}});
        return;
    }
    exchange->on_body(
        longest_note, [this, exchange, expected](const std::string& body)
        { this->submit(exchange, release_version(*expected), body); });
}

void release_module::submit(const exchange_pointer& exchange,
                            release_version expected, const std::string& body)
{
    const auto parsed = parse_release_note(body);
    if (const auto* problems = std::get_if<findings>(&parsed))
    {
        this->refuse("bad_release_note");
        respond_findings(*exchange, *problems);
        return;
    }
    const release_note& note = std::get<release_note>(parsed);
    std::make_shared<release_submission>(
        this->context, note, expected,
        [this, exchange, note](const result<release_ledger::outcome>& end)
        { this->answer_submission(exchange, note, end); })
        ->start();
}

void release_module::answer_submission(
    const exchange_pointer& exchange, const release_note& note,
    const result<release_ledger::outcome>& end)
{
    if (end.has_error())
    {
        this->refuse(std::string(to_string(end.error().code)));
        log_event(log_level::warning, "release_note_failed",
                  {{"note_id", note.id.str()},
                   {"reason", to_string(end.error().code)}});
        respond_error(*exchange, end.error());
        return;
    }
    const release_ledger::outcome& outcome = end.value();
    if (const auto* problems = std::get_if<findings>(&outcome))
    {
        this->refuse("bad_release_note");
        respond_findings(*exchange, *problems);
    }
    else if (const auto* conflict =
                 std::get_if<release_ledger::conflict>(&outcome))
    {
        this->refuse("conflict");
        log_event(log_level::info, "release_note_conflict",
                  {{"note_id", note.id.str()},
                   {"version", conflict->in_force.count()}});
        respond_conflict(*exchange, *conflict);
    }
    else if (const auto* earlier =
                 std::get_if<release_ledger::repetition>(&outcome))
    {
        respond_version(*exchange, earlier->version);
    }
    else
    {
        const auto& accepted = std::get<release_ledger::acceptance>(outcome);
        log_event(log_level::info, "release_note_accepted",
                  {{"note_id", note.id.str()},
                   {"version", accepted.next.contents.version.count()}});
        this->take(encode_release_record(accepted.next), "operator");
        respond_version(*exchange, accepted.next.contents.version);
    }
}

void release_module::refuse(const std::string& reason)
{
    this->context.metrics.count("parsleytrack_refusals_total",
                                {{"reason", reason}, {"what", "release_note"}});
}

void release_module::tick()
{
    this->choose_role();
    if (net::event_loop::now() < this->next_poll)
    {
        return;
    }
    std::uniform_int_distribution<duration::rep> wait(shortest_poll.count(),
                                                      longest_poll.count());
    this->next_poll =
        net::event_loop::now() + duration(wait(this->context.random));
    this->poll();
}

void release_module::choose_role()
{
    const bool wanted =
        is_store_watcher(this->context.fleet, this->context.settings.id, topic);
    if (wanted == (this->watch != nullptr))
    {
        return;
    }
    if (!wanted)
    {
        this->watch.reset();
        return;
    }
    this->watch = this->context.store.watch(
        current_release_key,
        [this](const std::string& key,
               const std::optional<key_value::versioned_value>& value)
        {
            if (key == current_release_key && value)
            {
                this->take(value->value, "store");
            }
        });
}

void release_module::poll()
{
    // Any node may have heard of a version first.
    this->fetch(this->fetcher.any_peer());
    if (this->watch != nullptr)
    {
        this->read_store();
    }
}

void release_module::read_store()
{
    // The module lives as long as the store does.
    this->context.store.get(
        current_release_key,
        [this](const result<std::optional<key_value::versioned_value>>& end)
        {
            if (end.has_error())
            {
                this->context.metrics.count("parsleytrack_store_retries_total",
                                            {{"reason", "release_poll"}});
                return;
            }
            if (end.value())
            {
                this->take(end.value()->value, "store");
            }
        });
}

void release_module::take(const std::string& record_text, const char* source)
{
    if (record_text == this->record)
    {
        return;
    }
    auto decoded = decode_release_record(record_text);
    if (!decoded)
    {
        this->refuse("corrupt_data");
        log_event(log_level::error, "bad_release_record", {{"source", source}});
        return;
    }
    const release_version version = decoded->contents.version;
    if (version <= this->context.catalogue.current().version)
    {
        return;
    }
    // Subscribers are told by apply(), so the record is kept before.
    this->record = record_text;
    this->context.catalogue.apply(std::move(decoded->contents));
    log_event(log_level::info, "release_in_force",
              {{"version", version.count()}, {"source", source}});
    this->context.metrics.set_gauge("parsleytrack_release_version", {},
                                    static_cast<double>(version.count()));
    this->context.board.publish(topic, std::to_string(version.count()));
}

void release_module::handle_announcement(const node_id& from,
                                         const std::string& value)
{
    const auto version = parse_number(value);
    if (version && *version > this->context.catalogue.current().version.count())
    {
        this->fetch(from);
    }
}

void release_module::fetch(const node_id& target)
{
    const std::string own =
        std::to_string(this->context.catalogue.current().version.count());
    this->fetcher.ask(
        target, own,
        [this](const result<std::string>& end)
        {
            if (end.has_error())
            {
                this->context.metrics.count(
                    "parsleytrack_peer_fetch_failures_total",
                    {{"what", "release"},
                     {"reason", std::string(to_string(end.error().code))}});
                return;
            }
            const auto reply = wire::decode<wire::release_reply>(end.value());
            if (reply.has_value() && !reply.value().record.empty())
            {
                this->take(reply.value().record, "peer");
            }
        });
}

void release_module::answer_peer(
    const std::shared_ptr<wire::peer_exchange>& exchange) const
{
    const auto known = parse_number(exchange->request());
    wire::release_reply reply;
    reply.version = this->context.catalogue.current().version.count();
    if (known.value_or(0) < reply.version)
    {
        reply.record = this->record;
    }
    exchange->finish(wire::encode(reply));
}

} // namespace parsleytrack
