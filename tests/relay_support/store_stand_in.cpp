#include "relay_support/store_stand_in.hpp"

#include "key_value/base64.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay_support
{

using nlohmann::json;

namespace
{

constexpr std::size_t max_body_bytes = 8 * 1024 * 1024;
/// The platform's bounds of one page of a listing.
constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = 1024 * 1024;

std::string query(const net::http_exchange& exchange, const char* name)
{
    const auto found = exchange.head().query.find(name);
    return found == exchange.head().query.end() ? "" : found->second;
}

} // namespace

store_stand_in::store_stand_in(net::event_loop& event_loop) : loop(event_loop)
{
}

endpoint store_stand_in::add_address()
{
    access_point& entry = this->access_points.emplace_back(this->loop);
    entry.address = endpoint{"127.0.0.1", 0};
    entry.address.port = entry.server.listen(entry.address).value();
    entry.server.set_handler(
        [this, &entry](const std::shared_ptr<net::http_exchange>& exchange)
        { this->handle_request(entry, exchange); });
    return entry.address;
}

void store_stand_in::put(const std::string& key, const std::string& value)
{
    ++this->revision;
    this->write(key, value, false);
    this->notify_watches();
}

void store_stand_in::erase(const std::string& key)
{
    ++this->revision;
    this->write(key, "", true);
    this->notify_watches();
}

std::vector<std::string> store_stand_in::values(const std::string& prefix) const
{
    std::vector<std::string> found;
    for (const auto& [key, entry] : this->keys)
    {
        if (!entry.deleted && key.starts_with(prefix))
        {
            found.push_back(entry.value);
        }
    }
    return found;
}

store_stand_in::access_point& store_stand_in::find(const endpoint& address)
{
    return *std::find_if(this->access_points.begin(), this->access_points.end(),
                         [&address](const access_point& entry)
                         { return entry.address == address; });
}

void store_stand_in::replace_at(const endpoint& address,
                                const std::string& text,
                                const std::string& replacement)
{
    this->find(address).replacements.emplace_back(text, replacement);
}

void store_stand_in::set_refusing(const endpoint& address, bool refusing)
{
    this->find(address).refusing = refusing;
}

void store_stand_in::hold_transactions_of(const endpoint& address, bool held)
{
    this->find(address).holding_transactions = held;
}

void store_stand_in::hold_reads_of(const endpoint& address, bool held)
{
    this->find(address).holding_reads = held;
}

std::set<endpoint> store_stand_in::watchers(const std::string& prefix) const
{
    std::set<endpoint> found;
    for (const pending_watch& watch : this->watches)
    {
        if (watch.prefix == prefix && watch.exchange->is_open())
        {
            found.insert(watch.address);
        }
    }
    return found;
}

void store_stand_in::cut_watches()
{
    for (const pending_watch& watch : std::exchange(this->watches, {}))
    {
        watch.exchange->abort();
    }
}

void store_stand_in::forget_watches()
{
    for (pending_watch& watch : this->watches)
    {
        this->forgotten.push_back(std::move(watch.exchange));
    }
    this->watches.clear();
}

void store_stand_in::handle_request(
    const access_point& entry,
    const std::shared_ptr<net::http_exchange>& exchange)
{
    if (entry.refusing)
    {
        ++this->refused_count;
        exchange->respond(503, {}, "");
        return;
    }
    const std::string& path = exchange->head().path;
    if (path == "/v1/kv-key" && entry.holding_reads)
    {
        ++this->held_read_count;
        this->forgotten.push_back(exchange);
    }
    else if (path == "/v1/kv-key")
    {
        this->get(entry, *exchange);
    }
    else if (path == "/v1/kv-range")
    {
        this->list(entry, *exchange);
    }
    else if (path == "/v1/kv-watch")
    {
        this->watch(entry, exchange);
    }
    else if (path == "/v1/kv-txn" && entry.holding_transactions)
    {
        this->forgotten.push_back(exchange);
    }
    else if (path == "/v1/kv-txn")
    {
        exchange->on_body(max_body_bytes,
                          [this, exchange](const std::string& body)
                          { this->commit(*exchange, body); });
    }
    else
    {
        exchange->respond(404, {}, "");
    }
}

json store_stand_in::item(const std::string& key, const stored& entry,
                          const access_point* source) const
{
    std::string value = entry.value;
    if (source != nullptr)
    {
        for (const auto& [text, replacement] : source->replacements)
        {
            const std::size_t begin = value.find(text);
            if (begin != std::string::npos)
            {
                value.replace(begin, text.size(), replacement);
            }
        }
    }
    return {{"key", key},
            {"value", key_value::encode_base64(value)},
            {"revision", entry.revision},
            {"createRev", entry.created},
            {"lease", 0},
            {"currentRev", this->revision}};
}

void store_stand_in::get(const access_point& entry,
                         net::http_exchange& exchange)
{
    const std::string key = query(exchange, "key");
    const auto found = this->keys.find(key);
    if (found == this->keys.end() || found->second.deleted)
    {
        exchange.respond(404, {}, "");
        return;
    }
    exchange.respond_json(200, this->item(key, found->second, &entry).dump());
}

void store_stand_in::list(const access_point& source,
                          net::http_exchange& exchange)
{
    const std::string prefix = query(exchange, "prefix");
    json items = json::array();
    bool truncated = false;
    std::size_t page_bytes = 0;
    for (const auto& [key, entry] : this->keys)
    {
        if (entry.deleted || !key.starts_with(prefix) ||
            key <= query(exchange, "after"))
        {
            continue;
        }
        page_bytes += entry.value.size();
        truncated = !items.empty() && (items.size() == max_page_items ||
                                       page_bytes > max_page_bytes);
        if (truncated)
        {
            break;
        }
        items.push_back(this->item(key, entry, &source));
    }
    exchange.respond_json(200, json{{"items", items},
                                    {"truncated", truncated},
                                    {"currentRev", this->revision}}
                                   .dump());
}

json store_stand_in::events(const access_point& source,
                            const std::string& prefix, std::int64_t after) const
{
    json found = json::array();
    for (const auto& [key, entry] : this->keys)
    {
        if (!key.starts_with(prefix) || entry.revision <= after)
        {
            continue;
        }
        json event = this->item(key, entry, &source);
        if (entry.deleted)
        {
            event.erase("value");
            event["deleted"] = true;
        }
        found.push_back(event);
    }
    return found;
}

void store_stand_in::watch(const access_point& source,
                           const std::shared_ptr<net::http_exchange>& exchange)
{
    pending_watch& entry = this->watches.emplace_back();
    entry.prefix = query(*exchange, "prefix");
    entry.after = std::stoll("0" + query(*exchange, "after"));
    entry.address = source.address;
    entry.exchange = exchange;
    entry.expiry = this->loop.call_after(
        std::chrono::milliseconds(std::stoll("0" + query(*exchange, "waitMs"))),
        [exchange, this]
        {
            exchange->respond_json(200, json{{"events", json::array()},
                                             {"currentRev", this->revision}}
                                            .dump());
        });
    this->notify_watches();
}

void store_stand_in::notify_watches()
{
    for (auto entry = this->watches.begin(); entry != this->watches.end();)
    {
        const json found = this->events(this->find(entry->address),
                                        entry->prefix, entry->after);
        if (entry->exchange->is_open() && found.empty())
        {
            ++entry;
            continue;
        }
        entry->exchange->respond_json(
            200,
            json{{"events", found}, {"currentRev", this->revision}}.dump());
        entry = this->watches.erase(entry);
    }
}

void store_stand_in::write(const std::string& key, const std::string& value,
                           bool deleted)
{
    stored& entry = this->keys[key];
    if (entry.deleted || entry.created == 0)
    {
        entry.created = this->revision;
    }
    entry.value = value;
    entry.revision = this->revision;
    entry.deleted = deleted;
}

void store_stand_in::commit(net::http_exchange& exchange,
                            const std::string& body)
{
    ++this->transaction_count;
    const json change = json::parse(body);
    json current = json::array();
    bool conditions_hold = true;
    for (const json& condition : change["expectRev"])
    {
        const std::string key = condition["key"];
        const auto found = this->keys.find(key);
        const bool exists = found != this->keys.end() && !found->second.deleted;
        const std::int64_t current_revision =
            exists ? found->second.revision : 0;
        conditions_hold =
            conditions_hold &&
            current_revision == condition["revision"].get<std::int64_t>();
        if (exists)
        {
            current.push_back(this->item(key, found->second, nullptr));
        }
    }
    if (conditions_hold)
    {
        ++this->revision;
        for (const json& put : change["puts"])
        {
            this->write(
                put["key"],
                *key_value::decode_base64(put["value"].get<std::string>()),
                false);
        }
        for (const json& key : change["deletes"])
        {
            this->write(key, "", true);
        }
    }
    if (this->lost_responses > 0)
    {
        --this->lost_responses;
        exchange.abort();
    }
    else if (conditions_hold)
    {
        exchange.respond_json(200, json{{"revision", this->revision}}.dump());
    }
    else
    {
        exchange.respond_json(412, json{{"items", current}}.dump());
    }
    this->notify_watches();
}

} // namespace parsleytrack::relay_support
