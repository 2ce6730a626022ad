#include "fake_store/fake_store_server.hpp"

#include "key_value/base64.hpp"

#include <nlohmann/json.hpp>

namespace parsleytrack::key_value
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t body_limit = 2'000'000;

std::string decode_field(const json& object, const char* name)
{
    return *decode_base64(object.value(name, std::string()));
}

json key_value(const std::string& key, const fake_store_server::entry& entry)
{
    return {{"key", encode_base64(key)},
            {"value", encode_base64(entry.bytes)},
            {"mod_revision", std::to_string(entry.revision)}};
}

} // namespace

fake_store_server::fake_store_server(net::event_loop& loop)
    : event_loop(loop), server(loop)
{
    this->address.port = this->server.listen(this->address).value();
    this->server.set_handler(
        [this](const std::shared_ptr<net::http_exchange>& exchange)
        {
            exchange->on_body(body_limit,
                              [this, exchange](const std::string& body)
                              { this->handle(exchange, body); });
        });
}

void fake_store_server::put(const std::string& key, const std::string& bytes,
                            std::int64_t lease)
{
    this->keys[key] = entry{bytes, ++this->revision, lease};
    if (this->on_write)
    {
        this->on_write(key, bytes);
    }
    const json event{{"type", "PUT"}, {"kv", key_value(key, this->keys[key])}};
    this->notify_watches(key, event.dump());
}

void fake_store_server::erase(const std::string& key)
{
    this->keys.erase(key);
    const json event{{"type", "DELETE"},
                     {"kv", key_value(key, {"", ++this->revision, 0})}};
    this->notify_watches(key, event.dump());
}

void fake_store_server::drop_watches()
{
    for (const open_watch& watch : this->watches)
    {
        watch.exchange->abort();
    }
    this->watches.clear();
}

void fake_store_server::notify_watches(const std::string& key,
                                       const std::string& event)
{
    for (const open_watch& watch : this->watches)
    {
        if (key.starts_with(watch.prefix))
        {
            watch.exchange->write_chunk(R"({"result":{"events":[)" + event +
                                        "]}}\n");
        }
    }
}

void fake_store_server::handle(
    const std::shared_ptr<net::http_exchange>& exchange,
    const std::string& body)
{
    ++this->calls;
    if (this->unavailable)
    {
        exchange->respond_json(503, "{}");
        return;
    }
    const auto chance = static_cast<int>(this->random() % 100);
    if (chance < this->request_loss_percent)
    {
        exchange->abort();
        return;
    }
    const std::string& path = exchange->head().path;
    if (path == "/v3/watch")
    {
        exchange->start_stream(200, {});
        exchange->write_chunk("{\"result\":{\"created\":true}}\n");
        const json request = json::parse(body)["create_request"];
        this->watches.push_back({decode_field(request, "key"), exchange});
        return;
    }
    std::string response;
    if (path.starts_with("/v3/lease/"))
    {
        response = this->lease_call(path, body);
    }
    else
    {
        response =
            path == "/v3/kv/txn" ? this->transaction(body) : this->range(body);
    }
    if (chance < this->request_loss_percent + this->response_loss_percent)
    {
        exchange->abort();
        return;
    }
    exchange->respond_json(200, response);
}

std::string fake_store_server::range(const std::string& body) const
{
    const json request = json::parse(body);
    const std::string first = decode_field(request, "key");
    const std::string end = request.contains("range_end")
                                ? decode_field(request, "range_end")
                                : first + '\0';
    const auto limit =
        std::stoul(request.value("limit", std::string("1000000")));
    json response{{"header", {{"revision", std::to_string(this->revision)}}}};
    for (auto found = this->keys.lower_bound(first);
         found != this->keys.end() && found->first < end; ++found)
    {
        if (response["kvs"].size() == limit)
        {
            response["more"] = true;
            break;
        }
        response["kvs"].push_back(key_value(found->first, found->second));
    }
    return response.dump();
}

std::string fake_store_server::lease_call(const std::string& path,
                                          const std::string& body)
{
    const json request = json::parse(body);
    std::int64_t id = std::stoll(request.value("ID", std::string("0")));
    if (path == "/v3/lease/grant")
    {
        id = ++this->last_lease;
        this->leases[id].time_to_live_s =
            std::stoi(request.at("TTL").get<std::string>());
    }
    if (path == "/v3/lease/revoke")
    {
        this->expire(id);
        return "{}";
    }
    const auto found = this->leases.find(id);
    json response{{"ID", std::to_string(id)}};
    if (found != this->leases.end())
    {
        const int span = found->second.time_to_live_s;
        response["TTL"] = std::to_string(span);
        found->second.timer = this->event_loop.call_after(
            std::chrono::seconds(span), [this, id] { this->expire(id); });
    }
    return path == "/v3/lease/keepalive" ? json{{"result", response}}.dump()
                                         : response.dump();
}

void fake_store_server::expire(std::int64_t lease)
{
    this->leases.erase(lease);
    std::vector<std::string> expired_keys;
    for (const auto& [key, held] : this->keys)
    {
        if (lease != 0 && held.lease == lease)
        {
            expired_keys.push_back(key);
        }
    }
    for (const std::string& key : expired_keys)
    {
        this->erase(key);
    }
}

std::string fake_store_server::transaction(const std::string& body)
{
    const json request = json::parse(body);
    const json& compare = request["compare"][0];
    const std::string key = decode_field(compare, "key");
    const auto expected =
        std::stoll(compare.value("mod_revision", std::string("0")));
    const auto found = this->keys.find(key);
    const std::int64_t current_revision =
        found == this->keys.end() ? 0 : found->second.revision;
    const bool succeeded = current_revision == expected;
    json response{{"succeeded", succeeded}, {"responses", json::array()}};
    if (!succeeded)
    {
        json range_response = json::object();
        if (found != this->keys.end())
        {
            range_response["kvs"] =
                json::array({key_value(key, found->second)});
        }
        response["responses"].push_back({{"response_range", range_response}});
    }
    else if (request["success"][0].contains("request_put"))
    {
        const json& put_request = request["success"][0]["request_put"];
        this->put(key, decode_field(put_request, "value"),
                  std::stoll(put_request.value("lease", std::string("0"))));
    }
    else
    {
        this->erase(key);
    }
    response["header"] = {{"revision", std::to_string(this->revision)}};
    return response.dump();
}

} // namespace parsleytrack::key_value
