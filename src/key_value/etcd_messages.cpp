#include "key_value/etcd_messages.hpp"

#include "key_value/base64.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleytrack::key_value::detail
{

namespace
{

using json = nlohmann::json;

error unreadable_response(const char* what)
{
    return error{error_code::corrupt_data,
                 std::string("the store's response to a ") + what +
                     " is malformed",
                 ran_state::no,
                 {}};
}

// The API writes 64-bit numbers as strings and omits fields that are zero.
std::int64_t read_number(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
    {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>())
                              : found->get<std::int64_t>();
}

std::string read_bytes(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
    {
        return std::string();
    }
    const auto bytes = decode_base64(found->get<std::string>());
    if (!bytes)
    {
        throw std::invalid_argument("invalid base64");
    }
    return *bytes;
}

bool read_flag(const json& object, const char* name)
{
    return object.value(name, false);
}

const json& member(const json& object, const char* name)
{
    static const json empty_object = json::object();
    const auto found = object.find(name);
    return found == object.end() ? empty_object : *found;
}

stored_key read_key(const json& object)
{
    stored_key entry;
    entry.key = read_bytes(object, "key");
    entry.bytes = read_bytes(object, "value");
    entry.revision = store_revision(read_number(object, "mod_revision"));
    return entry;
}

range_response read_range(const json& object)
{
    range_response parsed;
    parsed.revision =
        store_revision(read_number(member(object, "header"), "revision"));
    for (const json& entry : member(object, "kvs"))
    {
        parsed.keys.push_back(read_key(entry));
    }
    parsed.more = read_flag(object, "more");
    return parsed;
}

json make_compare(const std::string& key, store_revision expected)
{
    json compare{{"key", encode_base64(key)}, {"result", "EQUAL"}};
    if (expected == store_revision())
    {
        compare["target"] = "VERSION";
        compare["version"] = "0";
        return compare;
    }
    compare["target"] = "MOD";
    compare["mod_revision"] = std::to_string(expected.count());
    return compare;
}

std::string transaction_body(const std::string& key, store_revision expected,
                             json operation)
{
    const json body{
        {"compare", json::array({make_compare(key, expected)})},
        {"success", json::array({std::move(operation)})},
        {"failure", json::array({json{
                        {"request_range", {{"key", encode_base64(key)}}}}})}};
    return body.dump();
}

// Parses a body; a value of the wrong type makes the reader throw.
template <class Response, class Reader>
result<Response> read(std::string_view body, const char* what, Reader reader)
{
    try
    {
        return reader(json::parse(body));
    }
    catch (const std::exception&)
    {
        return unreadable_response(what);
    }
}

} // namespace

std::string prefix_range_end(std::string prefix)
{
    while (!prefix.empty() && prefix.back() == '\xff')
    {
        prefix.pop_back();
    }
    if (prefix.empty())
    {
        // The API reads a single zero byte as "to the end of all keys".
        return std::string(1, '\0');
    }
    ++prefix.back();
    return prefix;
}

std::string get_body(const std::string& key)
{
    return json{{"key", encode_base64(key)}}.dump();
}

std::string range_body(const std::string& first, const std::string& end,
                       std::size_t limit)
{
    return json{{"key", encode_base64(first)},
                {"range_end", encode_base64(end)},
                {"limit", std::to_string(limit)}}
        .dump();
}

std::string put_body(const std::string& key, store_revision expected,
                     const std::string& bytes, store_lease lease)
{
    json put{{"key", encode_base64(key)}, {"value", encode_base64(bytes)}};
    if (lease != store_lease())
    {
        put["lease"] = std::to_string(lease.count());
    }
    return transaction_body(key, expected, json{{"request_put", put}});
}

std::string erase_body(const std::string& key, store_revision expected)
{
    return transaction_body(
        key, expected,
        json{{"request_delete_range", {{"key", encode_base64(key)}}}});
}

std::string grant_body(duration time_to_live)
{
    const auto whole =
        std::chrono::ceil<std::chrono::seconds>(time_to_live).count();
    return json{{"TTL", std::to_string(std::max<std::int64_t>(1, whole))}}
        .dump();
}

std::string lease_body(store_lease lease)
{
    return json{{"ID", std::to_string(lease.count())}}.dump();
}

std::string watch_body(const std::string& prefix)
{
    return json{{"create_request",
                 {{"key", encode_base64(prefix)},
                  {"range_end", encode_base64(prefix_range_end(prefix))}}}}
        .dump();
}

result<range_response> parse_range(std::string_view body)
{
    return read<range_response>(body, "range", read_range);
}

result<transaction_response> parse_transaction(std::string_view body)
{
    return read<transaction_response>(
        body, "txn",
        [](const json& object)
        {
            transaction_response parsed;
            parsed.succeeded = read_flag(object, "succeeded");
            parsed.revision = store_revision(
                read_number(member(object, "header"), "revision"));
            for (const json& response : member(object, "responses"))
            {
                const auto keys =
                    read_range(member(response, "response_range")).keys;
                if (!keys.empty())
                {
                    parsed.current = keys.front();
                }
            }
            return parsed;
        });
}

result<lease_response> parse_lease(std::string_view body)
{
    return read<lease_response>(
        body, "lease call",
        [](const json& object)
        {
            // The response to a keep-alive is an element of a stream, wrapped
            // in "result".
            const json& lease_object =
                object.contains("result") ? object["result"] : object;
            lease_response parsed;
            parsed.lease = store_lease(read_number(lease_object, "ID"));
            parsed.time_to_live =
                std::chrono::seconds(read_number(lease_object, "TTL"));
            return parsed;
        });
}

result<watch_response> parse_watch(std::string_view line)
{
    return read<watch_response>(
        line, "watch",
        [](const json& object)
        {
            const json& body =
                object.contains("result") ? object["result"] : object;
            watch_response parsed;
            parsed.created = read_flag(body, "created");
            parsed.cancelled =
                read_flag(body, "canceled") || object.contains("error");
            for (const json& event : member(body, "events"))
            {
                watch_event change;
                change.deleted = event.value("type", "PUT") == "DELETE";
                change.entry = read_key(member(event, "kv"));
                parsed.events.push_back(std::move(change));
            }
            return parsed;
        });
}

} // namespace parsleytrack::key_value::detail
