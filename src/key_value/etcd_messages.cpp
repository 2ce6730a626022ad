#include "key_value/etcd_messages.hpp"

#include "key_value/base64.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleytrack::key_value::detail
{

namespace
{

using json = nlohmann::json;

error unreadable(const char* what)
{
    return error{error_code::corrupt_data,
                 std::string("the store's answer to a ") + what +
                     " cannot be read",
                 ran_state::no,
                 {}};
}

// The API writes 64-bit numbers as strings and leaves out zeros.
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
        throw std::invalid_argument("not base64");
    }
    return *bytes;
}

bool read_flag(const json& object, const char* name)
{
    return object.value(name, false);
}

const json& member(const json& object, const char* name)
{
    static const json nothing = json::object();
    const auto found = object.find(name);
    return found == object.end() ? nothing : *found;
}

stored_key read_key(const json& object)
{
    stored_key entry;
    entry.key = read_bytes(object, "key");
    entry.bytes = read_bytes(object, "value");
    entry.revision = store_revision(read_number(object, "mod_revision"));
    return entry;
}

range_answer read_range(const json& object)
{
    range_answer answer;
    answer.revision =
        store_revision(read_number(member(object, "header"), "revision"));
    for (const json& entry : member(object, "kvs"))
    {
        answer.keys.push_back(read_key(entry));
    }
    answer.more = read_flag(object, "more");
    return answer;
}

json compare_of(const std::string& key, store_revision expected)
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
        {"compare", json::array({compare_of(key, expected)})},
        {"success", json::array({std::move(operation)})},
        {"failure", json::array({json{
                        {"request_range", {{"key", encode_base64(key)}}}}})}};
    return body.dump();
}

// Reads a body with a function that may throw on a wrong type.
template <class Answer, class Reader>
result<Answer> read(std::string_view body, const char* what, Reader reader)
{
    try
    {
        return reader(json::parse(body));
    }
    catch (const std::exception&)
    {
        return unreadable(what);
    }
}

} // namespace

std::string end_of_prefix(std::string prefix)
{
    while (!prefix.empty() && prefix.back() == '\xff')
    {
        prefix.pop_back();
    }
    if (prefix.empty())
    {
        // A single zero byte stands for "to the end of all keys".
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
                  {"range_end", encode_base64(end_of_prefix(prefix))}}}}
        .dump();
}

result<range_answer> parse_range(std::string_view body)
{
    return read<range_answer>(body, "range", read_range);
}

result<transaction_answer> parse_transaction(std::string_view body)
{
    return read<transaction_answer>(
        body, "txn",
        [](const json& object)
        {
            transaction_answer answer;
            answer.succeeded = read_flag(object, "succeeded");
            answer.revision = store_revision(
                read_number(member(object, "header"), "revision"));
            for (const json& response : member(object, "responses"))
            {
                const auto keys =
                    read_range(member(response, "response_range")).keys;
                if (!keys.empty())
                {
                    answer.current = keys.front();
                }
            }
            return answer;
        });
}

result<lease_answer> parse_lease(std::string_view body)
{
    return read<lease_answer>(
        body, "lease call",
        [](const json& object)
        {
            // A keep-alive is answered as an element of a stream.
            const json& answer =
                object.contains("result") ? object["result"] : object;
            lease_answer lease;
            lease.lease = store_lease(read_number(answer, "ID"));
            lease.time_to_live =
                std::chrono::seconds(read_number(answer, "TTL"));
            return lease;
        });
}

result<watch_answer> parse_watch(std::string_view line)
{
    return read<watch_answer>(
        line, "watch",
        [](const json& object)
        {
            const json& body =
                object.contains("result") ? object["result"] : object;
            watch_answer answer;
            answer.created = read_flag(body, "created");
            answer.cancelled =
                read_flag(body, "canceled") || object.contains("error");
            for (const json& event : member(body, "events"))
            {
                watch_event change;
                change.deleted = event.value("type", "PUT") == "DELETE";
                change.entry = read_key(member(event, "kv"));
                answer.events.push_back(std::move(change));
            }
            return answer;
        });
}

} // namespace parsleytrack::key_value::detail
